package io.pineladder.net;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;

/** Sends HTTP requests without blocking; the reply arrives on the event thread, exactly once. */
public interface AsyncHttpClient {
  void call(Request request, Consumer<Reply> onReply);

  /** One request. {@code body} may be null. */
  record Request(String address, String method, String path, byte[] body, Duration timeout) {
    public static Request get(String address, String path, Duration timeout) {
      return new Request(address, "GET", path, null, timeout);
    }

    public static Request post(String address, String path, byte[] body, Duration timeout) {
      return new Request(address, "POST", path, body, timeout);
    }
  }

  /** What is known of a request's fate. */
  enum Outcome {
    /** A response came. */
    ANSWERED,
    /** The connection could not be made, so the request was never sent and never will be. */
    NOT_SENT,
    /** No response: the request may have been executed, or may yet be. */
    UNKNOWN
  }

  /** The end of one call; {@code status} and {@code body} count only when answered. */
  record Reply(Outcome outcome, int status, byte[] body) {
    private static final byte[] EMPTY = new byte[0];
    public static final Reply NOT_SENT = new Reply(Outcome.NOT_SENT, 0, EMPTY);
    public static final Reply UNKNOWN = new Reply(Outcome.UNKNOWN, 0, EMPTY);

    public static Reply answered(int status, byte[] body) {
      return new Reply(Outcome.ANSWERED, status, body);
    }

    public boolean is(int wanted) {
      return outcome == Outcome.ANSWERED && status == wanted;
    }

    public boolean isAnswered() {
      return outcome == Outcome.ANSWERED;
    }

    @Override
    public String toString() {
      return outcome == Outcome.ANSWERED
          ? status + " " + new String(body, 0, Math.min(body.length, 200), StandardCharsets.UTF_8)
          : outcome.name();
    }
  }
}
