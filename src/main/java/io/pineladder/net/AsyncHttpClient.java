package io.pineladder.net;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Sends HTTP requests to known addresses without blocking; the reply arrives on the event thread,
 * exactly once.
 */
public interface AsyncHttpClient {
  /** Sends a request; {@code onReply} is called once, within the request's timeout. */
  void call(Request request, Consumer<Reply> onReply);

  /**
   * One request.
   *
   * @param address IPv4 address and port
   * @param body may be null
   */
  record Request(String address, String method, String path, byte[] body, Duration timeout) {
    /** A GET without a body. */
    public static Request get(String address, String path, Duration timeout) {
      return new Request(address, "GET", path, null, timeout);
    }

    /** A POST with a JSON or MessagePack body. */
    public static Request post(String address, String path, byte[] body, Duration timeout) {
      return new Request(address, "POST", path, body, timeout);
    }
  }

  /** What is known of the end of a request. */
  enum Outcome {
    /** A response arrived. */
    ANSWERED,
    /** The connection could not be made, so the request was never sent and never will be. */
    NOT_SENT,
    /** No response: the request may have been executed, or may yet be. */
    UNKNOWN
  }

  /** The end of one request; {@code status} and {@code body} are valid only when answered. */
  record Reply(Outcome outcome, int status, byte[] body) {
    private static final byte[] EMPTY = new byte[0];
    public static final Reply NOT_SENT = new Reply(Outcome.NOT_SENT, 0, EMPTY);
    public static final Reply UNKNOWN = new Reply(Outcome.UNKNOWN, 0, EMPTY);

    /** A response that arrived. */
    public static Reply answered(int status, byte[] body) {
      return new Reply(Outcome.ANSWERED, status, body);
    }

    /** Whether a response with this status arrived. */
    public boolean hasStatus(int wanted) {
      return outcome == Outcome.ANSWERED && status == wanted;
    }

    /** Whether a response arrived, with any status. */
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
