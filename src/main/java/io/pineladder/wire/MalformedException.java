package io.pineladder.wire;

/** A message that does not have the form its protocol asks for. */
public final class MalformedException extends Exception {
  public MalformedException(String message) {
    super(message, null, false, false);
  }
}
