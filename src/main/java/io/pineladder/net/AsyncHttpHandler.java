package io.pineladder.net;

import java.util.function.Consumer;

/** Answers requests, at once or later, always on the event thread. */
@FunctionalInterface
public interface AsyncHttpHandler {
  void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer);
}
