package io.pineladder.net;

import io.pineladder.wire.JobWire;
import java.time.Duration;
import java.util.function.Consumer;

/** Common responses. */
public final class HttpResponses {
  private HttpResponses() {}

  /** Status 200 with a body. */
  public static HttpResponse ok(byte[] body) {
    return new HttpResponse(200, body);
  }

  /** An error status with a reason for the user. */
  public static HttpResponse error(int status, String reason) {
    return new HttpResponse(status, JobWire.error(reason));
  }

  /** Status 503: the request cannot be decided now and may be retried after a second. */
  public static HttpResponse unavailable(String reason) {
    return new HttpResponse(503, JobWire.error(reason), 1);
  }

  /**
   * Limits how long a request waits: after {@code timeout} it is answered with {@link
   * #unavailable}, and a response that arrives later is dropped.
   */
  public static Consumer<HttpResponse> withTimeout(
      EventLoop eventLoop, Consumer<HttpResponse> answer, Duration timeout) {
    return withTimeout(eventLoop, answer, timeout, unavailable("not certain yet"));
  }

  /**
   * Limits how long a request waits: after {@code timeout} it is answered with {@code onTimeout},
   * and a response that arrives later is dropped.
   */
  public static Consumer<HttpResponse> withTimeout(
      EventLoop eventLoop,
      Consumer<HttpResponse> answer,
      Duration timeout,
      HttpResponse onTimeout) {
    boolean[] answered = new boolean[1];
    Consumer<HttpResponse> firstAnswer =
        http -> {
          if (!answered[0]) {
            answered[0] = true;
            answer.accept(http);
          }
        };
    eventLoop.schedule(timeout, () -> firstAnswer.accept(onTimeout));
    return firstAnswer;
  }
}
