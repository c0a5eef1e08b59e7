package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;

/**
 * Limits retries to a ratio of the successful calls, plus a fixed rate, so that during an outage
 * retries do not make up most of the load. Event thread only.
 */
public final class RetryBudget {
  private final EventLoop eventLoop;
  private final double retriesPerSuccess;
  private final TokenBucket tokens;

  /**
   * Creates a full budget.
   *
   * @param retriesPerSuccess retries that each successful call adds, below one
   * @param retriesPerSecond retries that are added each second in any case
   * @param maxBurst upper bound of the retries that accumulate
   */
  public RetryBudget(
      EventLoop eventLoop, double retriesPerSuccess, double retriesPerSecond, double maxBurst) {
    this.eventLoop = eventLoop;
    this.retriesPerSuccess = retriesPerSuccess;
    this.tokens = new TokenBucket(retriesPerSecond, maxBurst, eventLoop.now());
  }

  /** Reports a call that succeeded. */
  public void onSuccess() {
    tokens.add(retriesPerSuccess, eventLoop.now());
  }

  /** Takes a retry from the budget; returns how long it has to wait, zero when it may go now. */
  public Duration acquireDelay() {
    Instant now = eventLoop.now();
    tokens.consume(1, now);
    return tokens.delayUntilAvailable(0, now);
  }
}
