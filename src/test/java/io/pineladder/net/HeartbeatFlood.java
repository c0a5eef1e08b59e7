package io.pineladder.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends heartbeats to a listener on loopback without a pause: each worker sends the next one as
 * soon as the last is answered, either on the same connection or on a new one.
 */
final class HeartbeatFlood implements AutoCloseable {
  private static final byte[] REQUEST =
      "POST /v1/report HTTP/1.1\r\nHost: test\r\nContent-Length: 2\r\n\r\n{}"
          .getBytes(StandardCharsets.US_ASCII);

  private final InetSocketAddress address;
  private final boolean newConnectionForEach;
  private final Selector selector;
  private final Thread thread;
  private volatile boolean closed;
  private final AtomicLong answered = new AtomicLong();

  HeartbeatFlood(InetSocketAddress address, int workers, boolean newConnectionForEach)
      throws IOException {
    this.address = address;
    this.newConnectionForEach = newConnectionForEach;
    this.selector = Selector.open();
    for (int i = 0; i < workers; i++) {
      connect();
    }
    this.thread = new Thread(this::run, "heartbeat-flood");
    thread.setDaemon(true);
    thread.start();
  }

  /** The number of heartbeats that were answered. */
  long answered() {
    return answered.get();
  }

  private void connect() throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.configureBlocking(false);
    channel.register(selector, SelectionKey.OP_CONNECT);
    channel.connect(address);
  }

  private void run() {
    try {
      while (!closed) {
        selector.select(100);
        for (SelectionKey key : selector.selectedKeys()) {
          handle(key);
        }
        selector.selectedKeys().clear();
      }
      closeChannels();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void handle(SelectionKey key) throws IOException {
    SocketChannel channel = (SocketChannel) key.channel();
    try {
      if (key.isConnectable()) {
        channel.finishConnect();
        key.interestOps(SelectionKey.OP_READ);
        send(channel);
      } else if (read(channel)) {
        answered.incrementAndGet();
        if (newConnectionForEach) {
          reconnect(channel);
        } else {
          send(channel);
        }
      } else {
        reconnect(channel);
      }
    } catch (IOException e) {
      reconnect(channel);
    }
  }

  /** Reads an answer, which is small enough to arrive at once; false at the end of the stream. */
  private static boolean read(SocketChannel channel) throws IOException {
    return channel.read(ByteBuffer.allocate(4096)) >= 0;
  }

  private static void send(SocketChannel channel) throws IOException {
    channel.write(ByteBuffer.wrap(REQUEST));
  }

  private void reconnect(SocketChannel channel) throws IOException {
    channel.close();
    connect();
  }

  private void closeChannels() throws IOException {
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }

  @Override
  public void close() {
    closed = true;
    selector.wakeup();
  }
}
