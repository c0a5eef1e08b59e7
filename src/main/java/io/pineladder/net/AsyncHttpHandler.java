package io.pineladder.net;

import java.util.function.Consumer;

/** Handles HTTP requests on the event thread, without blocking. */
@FunctionalInterface
public interface AsyncHttpHandler {
  /**
   * Handles a request.
   *
   * @param path the path, with the query string if there is one
   * @param answer receives the response exactly once, on the event thread, immediately or later
   */
  void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer);
}
