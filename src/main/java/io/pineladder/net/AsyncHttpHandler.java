package io.pineladder.net;

import java.util.function.Consumer;

/** Handles requests without blocking, on the event thread. */
@FunctionalInterface
public interface AsyncHttpHandler {
  /**
   * Handles a request.
   *
   * @param path with the query, if there is one
   * @param answer takes the response exactly once, on the event thread, at once or later
   */
  void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer);
}
