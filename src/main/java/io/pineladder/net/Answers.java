package io.pineladder.net;

import io.pineladder.wire.JobWire;
import java.time.Duration;
import java.util.function.Consumer;

/** The usual answers. */
public final class Answers {
  private Answers() {}

  public static HttpAnswer ok(byte[] body) {
    return new HttpAnswer(200, body);
  }

  public static HttpAnswer error(int status, String reason) {
    return new HttpAnswer(status, JobWire.error(reason));
  }

  /** What cannot be taken or decided now. */
  public static HttpAnswer later(String reason) {
    return new HttpAnswer(503, JobWire.error(reason), 1);
  }

  /** An answer is given in time, as "later" if need be; what comes after that is dropped. */
  public static Consumer<HttpAnswer> once(
      Timeline time, Consumer<HttpAnswer> answer, Duration within) {
    return once(time, answer, within, later("not certain yet"));
  }

  /** An answer is given in time, {@code late} if need be; what comes after that is dropped. */
  public static Consumer<HttpAnswer> once(
      Timeline time, Consumer<HttpAnswer> answer, Duration within, HttpAnswer late) {
    boolean[] given = new boolean[1];
    Consumer<HttpAnswer> first =
        http -> {
          if (!given[0]) {
            given[0] = true;
            answer.accept(http);
          }
        };
    time.after(within, () -> first.accept(late));
    return first;
  }
}
