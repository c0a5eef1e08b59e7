package io.pineladder.front;

import io.pineladder.net.HttpAnswer;
import io.pineladder.net.Timeline;
import io.pineladder.wire.JobWire;
import java.time.Duration;
import java.util.function.Consumer;

/** The usual answers. */
final class Answers {
  private Answers() {}

  static HttpAnswer ok(byte[] body) {
    return new HttpAnswer(200, body);
  }

  static HttpAnswer error(int status, String reason) {
    return new HttpAnswer(status, JobWire.error(reason));
  }

  /** What cannot be taken or decided now. */
  static HttpAnswer later(String reason) {
    return new HttpAnswer(503, JobWire.error(reason), 1);
  }

  /** An answer is given in time, as "later" if need be; what comes after that is dropped. */
  static Consumer<HttpAnswer> once(
      Timeline time, Consumer<HttpAnswer> answer, Duration within) {
    boolean[] given = new boolean[1];
    Consumer<HttpAnswer> first =
        http -> {
          if (!given[0]) {
            given[0] = true;
            answer.accept(http);
          }
        };
    time.after(within, () -> first.accept(later("not certain yet")));
    return first;
  }
}
