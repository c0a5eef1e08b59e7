package io.pineladder.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket with a burst of one second's worth, kept a little below what the service allows.
 */
public final class TokenBucket {
  private final double tokensPerSecond;
  private final double burst;
  private double tokens;
  private Instant refilledAt;

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

  /** Whole units that may be taken now. */
  public int available(Instant now) {
    refill(now);
    return (int) Math.floor(Math.max(0, tokens));
  }

  /** Takes {@code count}; the level may go below zero, which later takers pay. */
  public void consume(int count, Instant now) {
    refill(now);
    tokens -= count;
  }

  /** Gives a part of a unit back, up to the burst. */
  void add(double fraction, Instant now) {
    refill(now);
    tokens = Math.min(burst, tokens + fraction);
  }

  /** How long until {@code count} units are there. */
  public Duration delayUntilAvailable(int count, Instant now) {
    refill(now);
    double missing = Math.min(count, burst) - tokens;
    return missing <= 0
        ? Duration.ZERO
        : Duration.ofNanos((long) (missing / tokensPerSecond * 1e9) + 1);
  }
}
