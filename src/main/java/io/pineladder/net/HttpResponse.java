package io.pineladder.net;

/**
 * A response of this process to an HTTP request.
 *
 * @param retryAfterSeconds value of the Retry-After header; 0 omits the header
 */
public record HttpResponse(int status, byte[] body, int retryAfterSeconds) {
  /** Creates a response without a Retry-After header. */
  public HttpResponse(int status, byte[] body) {
    this(status, body, 0);
  }
}
