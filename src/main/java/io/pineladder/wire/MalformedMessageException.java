package io.pineladder.wire;

/**
 * Thrown for a message that violates its protocol. It has no stack trace, since such messages can
 * be frequent and the reason identifies the error.
 */
public final class MalformedMessageException extends Exception {
  /** Creates the exception with a reason that may be shown to the sender. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
