import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;

/** HTTP servers on loopback. */
final class Http {
  interface Handler {
    void handle(HttpExchange exchange) throws IOException;
  }

  private Http() {}

  static HttpServer serve(int port, ExecutorService threads, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 1024);
    server.setExecutor(threads);
    server.createContext("/", exchange -> {
      try {
        handler.handle(exchange);
      } catch (IOException e) {
        exchange.close();
      } catch (RuntimeException e) {
        e.printStackTrace();
        exchange.close();
      }
    });
    server.start();
    return server;
  }

  static int port(HttpServer server) {
    return server.getAddress().getPort();
  }

  static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  static Map<String, String> query(String path) {
    Map<String, String> found = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        found.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return found;
  }
}
