package io.pineladder.wire;

/** A message that does not have the form its protocol asks for. */
public final class MalformedMessageException extends Exception {
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
