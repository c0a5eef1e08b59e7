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
 * Sends requests to the cloud within its rate limit; a circuit breaker pauses them for some seconds
 * after a failure.
 */
final class CloudClient {
  /** The share of the cloud's rate limit that is used. */
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
    double rps = settings.cloudLimits().requestsPerSecond() * RATE_SHARE;
    this.callBudget = new TokenBucket(rps, Math.max(1, rps * 2), eventLoop.now());
  }

  /** Ignores all replies from now on. */
  void close() {
    closed = true;
  }

  /**
   * Sends a GET request, unless the rate limit or the circuit breaker forbids it now.
   *
   * @return whether it was sent, and so {@code onReply} will be called
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

  /** Whether the cloud refuses for want of capacity, which is no failure of it. */
  static boolean isCapacityRefusal(Reply reply) {
    return reply.hasStatus(503)
        && new String(reply.body(), StandardCharsets.UTF_8).contains("no capacity");
  }
}
