package io.pineladder.net;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.IdentityHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The accepted connections of one HTTP listener: counts their sockets, lets the {@link
 * InboundScheduler} decide when they are served, and passes their requests to the handler. Event
 * thread only.
 */
final class InboundConnections {
  private static final Logger log = LoggerFactory.getLogger(InboundConnections.class);

  /** Forwarded requests, with an envelope, and snapshots of administrators. */
  private static final int MAX_CLUSTER_BODY_BYTES = 1 << 20;

  /** Larger than any valid request of a user and than heartbeats of fully used machines. */
  private static final int MAX_API_BODY_BYTES = 256 * 1024;

  private final XnioEventLoop.Listener listener;
  private final ConnectionLimiter connectionLimiter;
  private final InboundScheduler scheduler;
  private final HttpOpenListener http;
  private final IdentityHashMap<StreamConnection, ConnectionLimiter.Socket> sockets =
      new IdentityHashMap<>();

  InboundConnections(
      XnioEventLoop.Listener listener,
      ConnectionLimiter connectionLimiter,
      InboundScheduler scheduler) {
    this.listener = listener;
    this.connectionLimiter = connectionLimiter;
    this.scheduler = scheduler;
    this.http =
        new HttpOpenListener(
            new DefaultByteBufferPool(false, 8 * 1024),
            OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) maxBodyBytes(listener))
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
                .set(UndertowOptions.ENABLE_STATISTICS, false)
                .getMap());
    http.setRootHandler(toUndertowHandler());
  }

  private static int maxBodyBytes(XnioEventLoop.Listener listener) {
    return listener.acceptedClass() == ConnectionLimiter.TrafficClass.PEERS
        ? MAX_CLUSTER_BODY_BYTES
        : MAX_API_BODY_BYTES;
  }

  // ---- accepting

  /**
   * Takes over all connections that XNIO has accepted; it would call again at once for any that is
   * left. While too many new ones wait to be served, no more are accepted.
   */
  void acceptAll(AcceptingChannel<StreamConnection> server) {
    try {
      for (StreamConnection connection = server.accept();
          connection != null;
          connection = server.accept()) {
        accept(connection);
      }
    } catch (IOException e) {
      log.warn("Connection not accepted: error={}", e.getMessage());
    }
    if (scheduler.isSaturated() && server.isAcceptResumed()) {
      server.suspendAccepts();
      scheduler.onceUnsaturated(server::resumeAccepts);
    }
  }

  private void accept(StreamConnection connection) {
    ConnectionLimiter.Socket socket =
        connectionLimiter.tryOpen(listener.acceptedClass(), () -> IoUtils.safeClose(connection));
    if (socket == null) {
      IoUtils.safeClose(connection);
      return;
    }
    sockets.put(connection, socket);
    connection.setCloseListener(this::onClosed);
    if (listener.acceptedClass() == ConnectionLimiter.TrafficClass.PEERS) {
      open(connection);
    } else {
      ScheduledSourceConduit.install(connection, socket, scheduler);
      scheduler.onReady(new NewConnection(connection));
    }
  }

  /** A connection that is accepted and not read yet. */
  private final class NewConnection implements InboundScheduler.Connection {
    private final StreamConnection connection;

    NewConnection(StreamConnection connection) {
      this.connection = connection;
    }

    @Override
    public ConnectionLimiter.TrafficClass trafficClass() {
      return listener.acceptedClass();
    }

    @Override
    public void serve() {
      open(connection);
    }

    @Override
    public void pause() {
      // Nothing is read before the connection is opened.
    }

    @Override
    public void discard() {
      IoUtils.safeClose(connection);
    }
  }

  /** Begins to serve requests; this call may already handle the first one. */
  private void open(StreamConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    ConnectionLimiter.Socket socket = sockets.get(connection);
    if (socket != null) {
      socket.markReceiving();
    }
    http.handleEvent(connection);
    ChannelListener<? super StreamConnection> undertowListener = connection.getCloseListener();
    connection.setCloseListener(
        closed -> {
          onClosed(closed);
          ChannelListeners.invokeChannelListener(closed, undertowListener);
        });
    if (!connection.isOpen()) {
      onClosed(connection);
    }
  }

  private void onClosed(StreamConnection connection) {
    ConnectionLimiter.Socket socket = sockets.remove(connection);
    if (socket != null) {
      socket.markClosed();
    }
  }

  // ---- requests

  private HttpHandler toUndertowHandler() {
    return exchange -> {
      ConnectionLimiter.Socket socket = socketOf(exchange);
      if (socket != null) {
        socket.markReceiving();
        exchange.addExchangeCompleteListener(
            (ex, next) -> {
              socket.markIdle();
              next.proceed();
            });
      }
      exchange
          .getRequestReceiver()
          .receiveFullBytes(
              (ex, body) ->
                  XnioEventLoop.runOrHalt(
                      () -> {
                        classify(ex, socket);
                        dispatch(ex, body);
                      }),
              (ex, failure) -> {
                // A body over the limit is not read completely, so the connection cannot be reused.
                ex.setPersistent(false);
                send(ex, new HttpResponse(400, new byte[0]));
              });
    };
  }

  private ConnectionLimiter.Socket socketOf(HttpServerExchange exchange) {
    return sockets.get(((HttpServerConnection) exchange.getConnection()).getChannel());
  }

  /**
   * Moves the connection to the traffic class of its request, which has arrived. If that class has
   * no capacity, the connection is closed after the response.
   */
  private void classify(HttpServerExchange exchange, ConnectionLimiter.Socket socket) {
    if (socket == null) {
      return;
    }
    socket.markBusy();
    if (!socket.reclassify(listener.trafficClassOf().apply(exchange.getRequestURI()))) {
      exchange.setPersistent(false);
    }
  }

  private void dispatch(HttpServerExchange exchange, byte[] body) {
    String query = exchange.getQueryString();
    String path =
        query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    exchange.dispatch(
        Runnable::run,
        () ->
            listener
                .handler()
                .handle(
                    exchange.getRequestMethod().toString(),
                    path,
                    body,
                    response -> send(exchange, response)));
  }

  private void send(HttpServerExchange exchange, HttpResponse response) {
    ConnectionLimiter.Socket socket = socketOf(exchange);
    if (socket != null) {
      socket.markSending();
    }
    exchange.setStatusCode(response.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (response.retryAfterSeconds() > 0) {
      exchange
          .getResponseHeaders()
          .put(Headers.RETRY_AFTER, Integer.toString(response.retryAfterSeconds()));
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
  }
}
