package io.pineladder.net;

import io.pineladder.wire.JobWire;
import java.time.Duration;
import java.util.function.Consumer;

/** The usual answers. */
public final class HttpResponses {
  private HttpResponses() {}

  public static HttpResponse ok(byte[] body) {
    return new HttpResponse(200, body);
  }

  public static HttpResponse error(int status, String reason) {
    return new HttpResponse(status, JobWire.error(reason));
  }

  /** What cannot be taken or decided now. */
  public static HttpResponse unavailable(String reason) {
    return new HttpResponse(503, JobWire.error(reason), 1);
  }

  /** An answer is given in time, as "later" if need be; what comes after that is dropped. */
  public static Consumer<HttpResponse> withTimeout(
      EventLoop eventLoop, Consumer<HttpResponse> answer, Duration timeout) {
    return withTimeout(eventLoop, answer, timeout, unavailable("not certain yet"));
  }

  /** An answer is given in time, {@code late} if need be; what comes after that is dropped. */
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
