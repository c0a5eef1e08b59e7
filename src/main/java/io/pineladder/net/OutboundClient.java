package io.pineladder.net;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

/** Posts to receivers outside the cluster; the answer arrives on the event thread, exactly once. */
public interface OutboundClient {
  void post(Message message, Consumer<Result> onResult);

  /** One request. */
  record Message(URI url, Map<String, String> headers, byte[] body, Duration timeout) {}

  /** How a request ended. */
  enum Outcome {
    ANSWERED,
    /** No answer: it may have arrived or may yet. */
    FAILED,
    /** No address of the destination may be sent to. */
    NOT_ALLOWED
  }

  /**
   * The end of one request.
   *
   * @param retryAfter what the receiver asks for, or null
   * @param fault why there is no answer, or null
   */
  record Result(
      Outcome outcome, int status, Duration retryAfter, byte[] body, String failureReason) {
    public static Result answered(int status, Duration retryAfter, byte[] body) {
      return new Result(Outcome.ANSWERED, status, retryAfter, body, null);
    }

    public static Result failed(String reason) {
      return new Result(Outcome.FAILED, 0, null, new byte[0], reason);
    }

    public static Result notAllowed(String reason) {
      return new Result(Outcome.NOT_ALLOWED, 0, null, new byte[0], reason);
    }
  }
}
