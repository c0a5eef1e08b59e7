package io.pineladder.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket. The number of tokens may become negative, which delays later callers until it is
 * refilled. Not thread-safe.
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
   * @param burst capacity of the bucket, in tokens
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

  /** The number of whole tokens available now; never negative. */
  public int available(Instant now) {
    refill(now);
    return (int) Math.floor(Math.max(0, tokens));
  }

  /** Consumes {@code count} tokens, even if fewer are available. */
  public void consume(int count, Instant now) {
    refill(now);
    tokens -= count;
  }

  /** Adds a fraction of a token, up to the capacity. */
  void add(double fraction, Instant now) {
    refill(now);
    tokens = Math.min(burst, tokens + fraction);
  }

  /**
   * Returns the time until {@code count} tokens, or a full bucket if that is less, are available;
   * zero if they are now.
   */
  public Duration delayUntilAvailable(int count, Instant now) {
    refill(now);
    double missing = Math.min(count, burst) - tokens;
    return missing <= 0
        ? Duration.ZERO
        : Duration.ofNanos((long) (missing / tokensPerSecond * 1e9) + 1);
  }
}
