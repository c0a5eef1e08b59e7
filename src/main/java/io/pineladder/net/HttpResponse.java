package io.pineladder.net;

/**
 * A response of this program to a request.
 *
 * @param retryAfterSeconds value of the Retry-After header; 0 for none
 */
public record HttpResponse(int status, byte[] body, int retryAfterSeconds) {
  /** A response without a Retry-After header. */
  public HttpResponse(int status, byte[] body) {
    this(status, body, 0);
  }
}
