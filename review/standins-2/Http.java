import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers and a client on loopback. */
final class Http {
  /** The answer of a handler; status 0 stands for no answer. */
  record Answer(int status, String body) {
    static final Answer NONE = new Answer(0, "");
  }

  interface Handler {
    Answer handle(String method, String path, String body) throws Exception;
  }

  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .executor(THREADS)
          .build();

  private static final Random RANDOM = new Random();

  /** The ports that were given out. */
  private static final Set<Integer> GIVEN = new HashSet<>();

  private Http() {}

  /** Serves a port of 127.0.0.1. */
  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 500);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          byte[] body = exchange.getRequestBody().readAllBytes();
          Answer answer;
          try {
            answer =
                handler.handle(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().toString(),
                    new String(body, StandardCharsets.UTF_8));
          } catch (Exception e) {
            e.printStackTrace();
            answer = new Answer(400, "{\"error\":\"malformed\"}");
          }
          if (answer.status == 0) {
            // The connection stays open without an answer until the caller gives up.
            return;
          }
          byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
    return server;
  }

  /** Sends a request; the answer has status 0 if there was none in time. */
  static Answer call(String method, int port, String path, String body, long timeoutMillis) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
              .timeout(Duration.ofMillis(timeoutMillis))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofString(body))
              .build();
      HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return Answer.NONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Answer.NONE;
    }
  }

  /** Free ports of 127.0.0.1, below those that the system uses for outgoing connections. */
  static synchronized int[] freePorts(int count) {
    int[] ports = new int[count];
    for (int i = 0; i < count; ) {
      int port = 12_000 + RANDOM.nextInt(18_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (GIVEN.add(socket.getLocalPort())) {
          ports[i++] = port;
        }
      } catch (IOException e) {
        // In use; another one is tried.
      }
    }
    return ports;
  }
}
