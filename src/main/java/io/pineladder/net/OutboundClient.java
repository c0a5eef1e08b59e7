package io.pineladder.net;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/** Sends POST requests to receivers outside the cluster without blocking. */
public interface OutboundClient {
  /** Sends a request; {@code onResult} is called exactly once, on the event thread. */
  void post(Message message, Consumer<Result> onResult);

  /** A POST request. */
  record Message(URI url, Map<String, String> headers, byte[] body, Duration timeout) {}

  /** How a request ended. */
  enum Outcome {
    /** A response arrived, with any status. */
    ANSWERED,
    /** No complete response arrived: the receiver may or may not have processed the request. */
    FAILED,
    /** Not sent: the host name resolved to no allowed address. */
    NOT_ALLOWED
  }

  /**
   * The result of a request.
   *
   * @param retryAfter the delay requested by the receiver, or null
   * @param failureReason why there is no response, or null if there is one
   */
  record Result(
      Outcome outcome, int status, Duration retryAfter, byte[] body, String failureReason) {
    /** Creates the result for a response that arrived. */
    public static Result answered(int status, Duration retryAfter, byte[] body) {
      return new Result(Outcome.ANSWERED, status, retryAfter, body, null);
    }

    /** Creates the result of a request without a response. */
    public static Result failed(String reason) {
      return new Result(Outcome.FAILED, 0, null, new byte[0], reason);
    }

    /** Creates the result of a request that was not sent because its destination is forbidden. */
    public static Result notAllowed(String reason) {
      return new Result(Outcome.NOT_ALLOWED, 0, null, new byte[0], reason);
    }
  }
}
