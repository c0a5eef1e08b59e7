package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;

/**
 * Limits retries to a ratio of the successful calls plus a fixed rate, so that retries do not
 * overload a failing service. Event thread only.
 */
public final class RetryBudget {
  private final EventLoop eventLoop;
  private final double retriesPerSuccess;
  private final TokenBucket tokens;

  /**
   * Creates a full budget.
   *
   * @param retriesPerSuccess retries added per successful call; below one
   * @param retriesPerSecond retries added per second regardless of successful calls
   * @param maxBurst maximum number of retries that accumulate
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

  /** Takes one retry from the budget and returns the delay until it may be sent, possibly zero. */
  public Duration acquireDelay() {
    Instant now = eventLoop.now();
    tokens.consume(1, now);
    return tokens.delayUntilAvailable(0, now);
  }
}
