package io.pineladder.net;

/** A response this program gives; {@code retryAfterSeconds} 0 means no such header. */
public record HttpResponse(int status, byte[] body, int retryAfterSeconds) {
  public HttpResponse(int status, byte[] body) {
    this(status, body, 0);
  }
}
