package io.pineladder.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket with a burst of one second's worth, kept a little below what the service allows.
 */
public final class TokenBucket {
  private final double perSecond;
  private final double burst;
  private double level;
  private Instant at;

  public TokenBucket(double perSecond, double burst, Instant now) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.level = burst;
    this.at = now;
  }

  private void refill(Instant now) {
    double seconds = Duration.between(at, now).toNanos() / 1e9;
    if (seconds > 0) {
      level = Math.min(burst, level + seconds * perSecond);
      at = now;
    }
  }

  /** Whole units that may be taken now. */
  public int available(Instant now) {
    refill(now);
    return (int) Math.floor(Math.max(0, level));
  }

  /** Takes {@code count}; the level may go below zero, which later takers pay. */
  public void take(int count, Instant now) {
    refill(now);
    level -= count;
  }

  /** Gives a part of a unit back, up to the burst. */
  void give(double part, Instant now) {
    refill(now);
    level = Math.min(burst, level + part);
  }

  /** How long until {@code count} units are there. */
  public Duration until(int count, Instant now) {
    refill(now);
    double missing = Math.min(count, burst) - level;
    return missing <= 0 ? Duration.ZERO : Duration.ofNanos((long) (missing / perSecond * 1e9) + 1);
  }
}
