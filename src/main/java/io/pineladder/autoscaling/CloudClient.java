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

/** Calls to the cloud within its rate; it is left alone for a while when it has trouble. */
final class CloudClient {
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
    double rps = settings.cloudLimits().requestsPerSecond() * 0.85;
    this.callBudget = new TokenBucket(rps, Math.max(1, rps * 2), eventLoop.now());
  }

  /** No reply counts any more. */
  void close() {
    closed = true;
  }

  boolean get(String path, Consumer<Reply> onReply) {
    return call(Request.get(address, path, TIMEOUT), onReply);
  }

  boolean post(String path, byte[] body, Consumer<Reply> onReply) {
    return call(Request.post(address, path, body, TIMEOUT), onReply);
  }

  /** Sends at once, or not at all: false. */
  private boolean call(Request request, Consumer<Reply> onReply) {
    Instant now = eventLoop.now();
    if (callBudget.available(now) < 1 || !circuitBreaker.tryAcquire()) {
      return false;
    }
    callBudget.consume(1, now);
    httpClient.call(
        request,
        reply -> {
          if (reply.is(200) || reply.is(400) || isCapacityRefusal(reply)) {
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

  /** Whether there is no capacity, which is no trouble. */
  static boolean isCapacityRefusal(Reply reply) {
    return reply.is(503)
        && new String(reply.body(), StandardCharsets.UTF_8).contains("no capacity");
  }
}
