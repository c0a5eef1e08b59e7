import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A link to one address through which bytes pass, or are held while its network is silent. One thread
 * serves all links. Connections that are begun in the silence are closed at its end.
 */
final class Silence {
  private static final Loop LOOP = new Loop();

  private final int target;
  private final int port;
  private boolean silent;
  private final Set<Side> sides = new HashSet<>();
  private final Set<SocketChannel> begunInSilence = new HashSet<>();

  /** One end of a connection that passes through, with the bytes that wait to be written to it. */
  private static final class Side {
    final Silence link;
    final SocketChannel channel;
    final SelectionKey key;
    final ByteBuffer waiting = ByteBuffer.allocate(16 * 1024).limit(0);
    Side other;

    Side(Silence link, SocketChannel channel) throws IOException {
      this.link = link;
      this.channel = channel;
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = channel.register(LOOP.selector, 0, this);
      link.sides.add(this);
    }

    void updateInterest() {
      if (key.isValid()) {
        boolean open = !link.silent && !channel.isConnectionPending() && !other.channel.isConnectionPending();
        key.interestOps(
            channel.isConnectionPending()
                ? SelectionKey.OP_CONNECT
                : !open
                    ? 0
                    : (other.waiting.hasRemaining() ? 0 : SelectionKey.OP_READ)
                        | (waiting.hasRemaining() ? SelectionKey.OP_WRITE : 0));
      }
    }

    void handle() {
      try {
        if (key.isConnectable()) {
          channel.finishConnect();
        } else {
          if (key.isReadable()) {
            other.waiting.clear();
            int read = channel.read(other.waiting);
            other.waiting.flip();
            if (read < 0) {
              closeBoth();
              return;
            }
            other.channel.write(other.waiting);
          }
          if (key.isWritable()) {
            channel.write(waiting);
          }
        }
        updateInterest();
        other.updateInterest();
      } catch (IOException | CancelledKeyException e) {
        closeBoth();
      }
    }

    void closeBoth() {
      close(channel);
      close(other.channel);
      link.sides.remove(this);
      link.sides.remove(other);
    }
  }

  private static final class Loop extends Thread {
    final Selector selector;
    final Queue<Runnable> actions = new ConcurrentLinkedQueue<>();

    Loop() {
      try {
        selector = Selector.open();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      setDaemon(true);
      start();
    }

    void submit(Runnable action) {
      actions.add(action);
      selector.wakeup();
    }

    @Override
    public void run() {
      while (true) {
        try {
          for (Runnable action = actions.poll(); action != null; action = actions.poll()) {
            action.run();
          }
          selector.select(key -> {
            if (key.attachment() instanceof Side side) {
              side.handle();
            } else {
              ((Silence) key.attachment()).accept((ServerSocketChannel) key.channel());
            }
          });
        } catch (IOException | RuntimeException e) {
          e.printStackTrace();
        }
      }
    }
  }

  Silence(int target) throws IOException {
    this.target = target;
    ServerSocketChannel server = ServerSocketChannel.open();
    server.bind(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0), 512);
    server.configureBlocking(false);
    port = server.socket().getLocalPort();
    LOOP.submit(() -> {
      try {
        server.register(LOOP.selector, SelectionKey.OP_ACCEPT, this);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    });
  }

  int port() {
    return port;
  }

  void set(boolean on) {
    LOOP.submit(() -> {
      silent = on;
      List.copyOf(sides).forEach(Side::updateInterest);
      if (!on) {
        begunInSilence.forEach(Silence::close);
        begunInSilence.clear();
      }
    });
  }

  private void accept(ServerSocketChannel server) {
    SocketChannel from = null;
    SocketChannel to = null;
    try {
      from = server.accept();
      if (from == null) {
        return;
      }
      if (silent) {
        begunInSilence.add(from);
        return;
      }
      to = SocketChannel.open();
      to.configureBlocking(false);
      to.connect(new InetSocketAddress("127.0.0.1", target));
      Side user = new Side(this, from);
      Side served = new Side(this, to);
      user.other = served;
      served.other = user;
      user.updateInterest();
      served.updateInterest();
    } catch (IOException e) {
      close(from);
      close(to);
    }
  }

  private static void close(SocketChannel channel) {
    try {
      if (channel != null) {
        channel.close();
      }
    } catch (IOException e) {
      // Closed already.
    }
  }
}
