package io.pineladder.net;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Sends HTTP requests to known addresses without blocking. Each request gets exactly one reply, on
 * the event thread.
 */
public interface AsyncHttpClient {
  /** Sends a request; {@code onReply} is called exactly once, within the request's timeout. */
  void call(Request request, Consumer<Reply> onReply);

  /**
   * An HTTP request.
   *
   * @param address IPv4 address and port
   * @param body the body, or null for none
   */
  record Request(String address, String method, String path, byte[] body, Duration timeout) {
    /** Creates a GET request without a body. */
    public static Request get(String address, String path, Duration timeout) {
      return new Request(address, "GET", path, null, timeout);
    }

    /** Creates a POST request with a JSON or MessagePack body. */
    public static Request post(String address, String path, byte[] body, Duration timeout) {
      return new Request(address, "POST", path, body, timeout);
    }
  }

  /** How a request ended. */
  enum Outcome {
    /** A response arrived. */
    ANSWERED,
    /** No connection was established: the request was not sent and will not be. */
    NOT_SENT,
    /** A response arrived that is longer than the client reads; the request was processed. */
    TOO_LARGE,
    /** No response arrived: the request may or may not have been executed, or may be later. */
    UNKNOWN
  }

  /** The result of a request; {@code status} and {@code body} are valid only when answered. */
  record Reply(Outcome outcome, int status, byte[] body) {
    private static final byte[] EMPTY = new byte[0];
    public static final Reply NOT_SENT = new Reply(Outcome.NOT_SENT, 0, EMPTY);
    public static final Reply TOO_LARGE = new Reply(Outcome.TOO_LARGE, 0, EMPTY);
    public static final Reply UNKNOWN = new Reply(Outcome.UNKNOWN, 0, EMPTY);

    /** Creates the reply for a response that arrived. */
    public static Reply answered(int status, byte[] body) {
      return new Reply(Outcome.ANSWERED, status, body);
    }

    /** Whether a response with this status arrived. */
    public boolean hasStatus(int expected) {
      return outcome == Outcome.ANSWERED && status == expected;
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
