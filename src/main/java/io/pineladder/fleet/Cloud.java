package io.pineladder.fleet;

import io.pineladder.model.Settings;
import io.pineladder.net.HttpCaller;
import io.pineladder.net.HttpCaller.Reply;
import io.pineladder.net.HttpCaller.Request;
import io.pineladder.net.Timeline;
import io.pineladder.retry.Breaker;
import io.pineladder.retry.RateBudget;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;

/** Calls to the cloud within its rate; it is left alone for a while when it has trouble. */
final class Cloud {
  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration FIRST_PAUSE = Duration.ofSeconds(2);
  private static final Duration MOST_PAUSE = Duration.ofSeconds(4);

  private final HttpCaller http;
  private final Timeline time;
  private final String address;
  private final RateBudget calls;
  private final Breaker breaker;
  private boolean closed;

  Cloud(Settings settings, HttpCaller http, Timeline time) {
    this.http = http;
    this.time = time;
    this.address = settings.cloudAddress();
    this.breaker = new Breaker("the cloud", time, 1, FIRST_PAUSE, MOST_PAUSE);
    double rps = settings.cloud().requestsPerSecond() * 0.85;
    this.calls = new RateBudget(rps, Math.max(1, rps * 2), time.now());
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
    Instant now = time.now();
    if (calls.available(now) < 1 || !breaker.mayCall()) {
      return false;
    }
    calls.take(1, now);
    http.call(
        request,
        reply -> {
          if (reply.is(200) || reply.is(400) || isRefusal(reply)) {
            breaker.succeeded();
          } else {
            breaker.failed();
          }
          if (!closed) {
            onReply.accept(reply);
          }
        });
    return true;
  }

  /** Whether there is no capacity, which is no trouble. */
  static boolean isRefusal(Reply reply) {
    return reply.is(503)
        && new String(reply.body(), StandardCharsets.UTF_8).contains("no capacity");
  }
}
