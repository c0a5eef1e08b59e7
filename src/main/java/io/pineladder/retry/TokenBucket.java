package io.pineladder.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket. The level may go below zero; callers then wait until it is refilled. Not
 * thread-safe.
 */
public final class TokenBucket {
  private final double tokensPerSecond;
  private final double burst;
  private double tokens;
  private Instant refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerSecond refill rate
   * @param burst upper bound of the level, in tokens
   */
  public TokenBucket(double tokensPerSecond, double burst, Instant now) {
    this.tokensPerSecond = tokensPerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAt = now;
  }

  private void refill(Instant now) {
    double seconds = Duration.between(refilledAt, now).toNanos() / 1e9;
    if (seconds > 0) {
      tokens = Math.min(burst, tokens + seconds * tokensPerSecond);
      refilledAt = now;
    }
  }

  /** Whole tokens that can be consumed now; never below zero. */
  public int available(Instant now) {
    refill(now);
    return (int) Math.floor(Math.max(0, tokens));
  }

  /** Consumes {@code count} tokens; a level below zero delays later callers. */
  public void consume(int count, Instant now) {
    refill(now);
    tokens -= count;
  }

  /** Adds a fraction of a token, up to the burst. */
  void add(double fraction, Instant now) {
    refill(now);
    tokens = Math.min(burst, tokens + fraction);
  }

  /** How long until {@code count} tokens are available; zero when they are now. */
  public Duration delayUntilAvailable(int count, Instant now) {
    refill(now);
    double missing = Math.min(count, burst) - tokens;
    return missing <= 0
        ? Duration.ZERO
        : Duration.ofNanos((long) (missing / tokensPerSecond * 1e9) + 1);
  }
}
