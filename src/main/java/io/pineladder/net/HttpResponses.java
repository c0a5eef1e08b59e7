package io.pineladder.net;

import io.pineladder.wire.JobWire;
import java.time.Duration;
import java.util.function.Consumer;

/** Factory methods for common HTTP responses. */
public final class HttpResponses {
  private HttpResponses() {}

  /** Creates a response with status 200. */
  public static HttpResponse ok(byte[] body) {
    return new HttpResponse(200, body);
  }

  /** Creates an error response that states a reason to the user. */
  public static HttpResponse error(int status, String reason) {
    return new HttpResponse(status, JobWire.error(reason));
  }

  /** Creates a response with status 503 that allows a retry after one second. */
  public static HttpResponse unavailable(String reason) {
    return new HttpResponse(503, JobWire.error(reason), 1);
  }

  /**
   * Limits how long a request waits: after {@code timeout} it gets an {@link #unavailable}
   * response, and a later response is dropped.
   */
  public static Consumer<HttpResponse> withTimeout(
      EventLoop eventLoop, Consumer<HttpResponse> answer, Duration timeout) {
    return withTimeout(eventLoop, answer, timeout, unavailable("not certain yet"));
  }

  /**
   * Limits how long a request waits: after {@code timeout} it gets the response {@code onTimeout},
   * and a later response is dropped.
   */
  public static Consumer<HttpResponse> withTimeout(
      EventLoop eventLoop,
      Consumer<HttpResponse> answer,
      Duration timeout,
      HttpResponse onTimeout) {
    boolean[] answered = new boolean[1];
    Consumer<HttpResponse> firstAnswer =
        response -> {
          if (!answered[0]) {
            answered[0] = true;
            answer.accept(response);
          }
        };
    eventLoop.schedule(timeout, () -> firstAnswer.accept(onTimeout));
    return firstAnswer;
  }
}
