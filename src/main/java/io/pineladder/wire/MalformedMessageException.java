package io.pineladder.wire;

/**
 * A message that violates its protocol. Without a stack trace, since such messages can be frequent
 * and the reason says what is wrong.
 */
public final class MalformedMessageException extends Exception {
  /** Creates the exception with a reason that may be shown to the sender. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
