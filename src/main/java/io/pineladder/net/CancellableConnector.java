package io.pineladder.net;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;
import org.xnio.ssl.XnioSsl;

/**
 * Opens connections that can be cancelled. Undertow's client does not expose a connection attempt
 * in progress, and the operating system retries for minutes, so attempts to unreachable hosts could
 * exhaust the sockets of the process. This decorator of the I/O thread records the future of each
 * attempt, so that the caller can cancel it. Event thread only.
 */
final class CancellableConnector extends XnioIoThread {
  private final XnioIoThread delegate;
  private IoFuture<StreamConnection> pendingConnection;

  CancellableConnector(XnioIoThread delegate) {
    super(delegate.getWorker(), delegate.getNumber());
    this.delegate = delegate;
  }

  /**
   * Opens a connection. Until {@code onConnected} is called, cancelling the future aborts the
   * attempt.
   */
  IoFuture<StreamConnection> connect(
      URI address, ByteBufferPool buffers, ClientCallback<ClientConnection> onConnected) {
    pendingConnection = null;
    UndertowClient.getInstance().connect(onConnected, address, this, buffers, OptionMap.EMPTY);
    return pendingConnection;
  }

  /**
   * Opens a TLS connection; otherwise like the method without TLS.
   *
   * @param address a URL with a literal IP address, so that no name is resolved
   * @param host the host name that the server's certificate must contain
   */
  IoFuture<StreamConnection> connect(
      URI address,
      String host,
      XnioSsl ssl,
      ByteBufferPool buffers,
      ClientCallback<ClientConnection> onConnected) {
    pendingConnection = null;
    OptionMap options =
        OptionMap.builder()
            .set(Options.SSL_PEER_HOST_NAME, host)
            .set(UndertowOptions.ENDPOINT_IDENTIFICATION_ALGORITHM, "HTTPS")
            .getMap();
    UndertowClient.getInstance().connect(onConnected, address, this, ssl, buffers, options);
    return pendingConnection;
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress destination,
      ChannelListener<? super StreamConnection> openListener,
      OptionMap options) {
    pendingConnection = delegate.openStreamConnection(destination, openListener, options);
    return pendingConnection;
  }

  @Override
  public IoFuture<StreamConnection> openStreamConnection(
      SocketAddress bindAddress,
      SocketAddress destination,
      ChannelListener<? super StreamConnection> openListener,
      ChannelListener<? super BoundChannel> bindListener,
      OptionMap options) {
    pendingConnection =
        delegate.openStreamConnection(
            bindAddress, destination, openListener, bindListener, options);
    return pendingConnection;
  }

  /** Returns the connection of a future that has completed successfully. */
  static StreamConnection completedConnection(IoFuture<StreamConnection> connecting) {
    try {
      return connecting.get();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void execute(Runnable command) {
    delegate.execute(command);
  }

  @Override
  public Key executeAfter(Runnable command, long delay, TimeUnit unit) {
    return delegate.executeAfter(command, delay, unit);
  }

  @Override
  public Key executeAtInterval(Runnable command, long interval, TimeUnit unit) {
    return delegate.executeAtInterval(command, interval, unit);
  }
}
