package io.pineladder.net;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/** Sends POST requests to receivers outside the cluster without blocking. */
public interface OutboundClient {
  /** Sends a request; {@code onResult} is called once, on the event thread. */
  void post(Message message, Consumer<Result> onResult);

  /** One request. */
  record Message(URI url, Map<String, String> headers, byte[] body, Duration timeout) {}

  /** How a request ended. */
  enum Outcome {
    /** A response arrived, with any status. */
    ANSWERED,
    /** No response: the request may have arrived, or may yet. */
    FAILED,
    /** No address of the destination is allowed. */
    NOT_ALLOWED
  }

  /**
   * The end of one request.
   *
   * @param retryAfter delay that the receiver asks for, or null
   * @param failureReason why there is no response, or null
   */
  record Result(
      Outcome outcome, int status, Duration retryAfter, byte[] body, String failureReason) {
    /** A response that arrived. */
    public static Result answered(int status, Duration retryAfter, byte[] body) {
      return new Result(Outcome.ANSWERED, status, retryAfter, body, null);
    }

    /** A request without a response. */
    public static Result failed(String reason) {
      return new Result(Outcome.FAILED, 0, null, new byte[0], reason);
    }

    /** A request that was not sent because of its destination. */
    public static Result notAllowed(String reason) {
      return new Result(Outcome.NOT_ALLOWED, 0, null, new byte[0], reason);
    }
  }
}
