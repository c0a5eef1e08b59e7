package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;

/**
 * How many tries may be made again: a share of the calls that succeed, and a few each second, so
 * that when everything fails the tries do not make up most of what is sent.
 */
public final class RetryBudget {
  private final EventLoop eventLoop;
  private final double retriesPerSuccess;
  private final TokenBucket tokens;

  /**
   * A budget, full at first.
   *
   * @param share of a try that each success allows
   * @param perSecond tries that are allowed each second in any case
   * @param most tries that can be saved up
   */
  public RetryBudget(
      EventLoop eventLoop, double retriesPerSuccess, double retriesPerSecond, double maxBurst) {
    this.eventLoop = eventLoop;
    this.retriesPerSuccess = retriesPerSuccess;
    this.tokens = new TokenBucket(retriesPerSecond, maxBurst, eventLoop.now());
  }

  /** A call has succeeded. */
  public void onSuccess() {
    tokens.add(retriesPerSuccess, eventLoop.now());
  }

  /** How long a try has to wait for its turn, which it takes; zero when it may go out now. */
  public Duration acquireDelay() {
    Instant now = eventLoop.now();
    tokens.consume(1, now);
    return tokens.delayUntilAvailable(0, now);
  }
}
