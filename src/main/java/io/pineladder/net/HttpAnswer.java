package io.pineladder.net;

/** A response this program gives; {@code retryAfterSeconds} 0 means no such header. */
public record HttpAnswer(int status, byte[] body, int retryAfterSeconds) {
  public HttpAnswer(int status, byte[] body) {
    this(status, body, 0);
  }
}
