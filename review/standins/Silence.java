import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;

/** A link to one address through which bytes pass, or are held while its network is silent. */
final class Silence {
  private final ServerSocket server;
  private final int target;
  private final ExecutorService threads;
  private boolean silent;

  Silence(int target, ExecutorService threads) throws IOException {
    this.target = target;
    this.threads = threads;
    this.server = new ServerSocket(0, 512, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
    threads.execute(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  synchronized void set(boolean on) {
    silent = on;
    notifyAll();
  }

  private synchronized void pass() throws InterruptedException {
    while (silent) {
      wait();
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket from = server.accept();
        threads.execute(() -> connect(from));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket from) {
    try {
      pass();
      Socket to = new Socket();
      to.connect(new InetSocketAddress("127.0.0.1", target), 1000);
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      threads.execute(() -> copy(from, to));
      threads.execute(() -> copy(to, from));
    } catch (IOException | InterruptedException e) {
      close(from);
    }
  }

  private void copy(Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[65536];
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        pass();
        out.write(buffer, 0, n);
      }
    } catch (IOException | InterruptedException e) {
      // Closed by either side.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }
}
