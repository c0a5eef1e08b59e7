package io.pineladder.autoscaling;

import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.CircuitBreaker;
import io.pineladder.retry.TokenBucket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;

/**
 * Sends requests to the cloud API within its rate limit. A circuit breaker pauses requests for a
 * few seconds after a failure.
 */
final class CloudClient {
  /** The share of the cloud's rate limit that this client uses. */
  private static final double RATE_SHARE = 0.85;

  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration INITIAL_PAUSE = Duration.ofSeconds(2);
  private static final Duration MAX_PAUSE = Duration.ofSeconds(4);

  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final String address;
  private final TokenBucket callBudget;
  private final CircuitBreaker circuitBreaker;
  private boolean closed;

  CloudClient(Settings settings, AsyncHttpClient httpClient, EventLoop eventLoop) {
    this.httpClient = httpClient;
    this.eventLoop = eventLoop;
    this.address = settings.cloudAddress();
    this.circuitBreaker = new CircuitBreaker("the cloud", eventLoop, 1, INITIAL_PAUSE, MAX_PAUSE);
    double requestsPerSecond = settings.cloudLimits().requestsPerSecond() * RATE_SHARE;
    this.callBudget =
        new TokenBucket(requestsPerSecond, Math.max(1, requestsPerSecond * 2), eventLoop.now());
  }

  /** Ignores all replies from now on. */
  void close() {
    closed = true;
  }

  /**
   * Sends a GET request, unless the rate limit or the circuit breaker forbids it.
   *
   * @return whether the request was sent; only then is {@code onReply} called
   */
  boolean get(String path, Consumer<Reply> onReply) {
    return call(Request.get(address, path, TIMEOUT), onReply);
  }

  /** Sends a POST request, under the same conditions as {@link #get}. */
  boolean post(String path, byte[] body, Consumer<Reply> onReply) {
    return call(Request.post(address, path, body, TIMEOUT), onReply);
  }

  private boolean call(Request request, Consumer<Reply> onReply) {
    Instant now = eventLoop.now();
    if (callBudget.available(now) < 1 || !circuitBreaker.tryAcquire()) {
      return false;
    }
    callBudget.consume(1, now);
    httpClient.call(
        request,
        reply -> {
          if (reply.hasStatus(200) || reply.hasStatus(400) || isCapacityRefusal(reply)) {
            circuitBreaker.onSuccess();
          } else {
            circuitBreaker.onFailure();
          }
          if (!closed) {
            onReply.accept(reply);
          }
        });
    return true;
  }

  /** Whether the cloud is out of capacity, which does not count as a failure of its API. */
  static boolean isCapacityRefusal(Reply reply) {
    return reply.hasStatus(503)
        && new String(reply.body(), StandardCharsets.UTF_8).contains("no capacity");
  }
}
