package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;

/**
 * Exponential backoff with jitter for the retries of one operation. The upper bound of the delay
 * doubles with each retry up to a maximum, and each delay is drawn at random between half of the
 * bound and the bound, so that clients that fail at the same time do not retry at the same time.
 * Event thread only.
 */
public final class Backoff {
  private final EventLoop eventLoop;
  private final Duration initialDelay;
  private final Duration maxDelay;
  private Duration nextDelay;

  /**
   * Creates a backoff.
   *
   * @param initialDelay upper bound of the first delay
   * @param maxDelay upper bound of all delays
   */
  public Backoff(EventLoop eventLoop, Duration initialDelay, Duration maxDelay) {
    this.eventLoop = eventLoop;
    this.initialDelay = initialDelay;
    this.maxDelay = maxDelay;
    this.nextDelay = initialDelay;
  }

  /** Returns the delay before the next retry and doubles the upper bound of the following one. */
  public Duration nextDelay() {
    long halfNanos = nextDelay.toNanos() / 2;
    nextDelay =
        nextDelay.multipliedBy(2).compareTo(maxDelay) < 0 ? nextDelay.multipliedBy(2) : maxDelay;
    return Duration.ofNanos(halfNanos + (long) (eventLoop.random().nextDouble() * halfNanos));
  }

  /** Resets the upper bound to the initial delay; to be called when the operation succeeds. */
  public void reset() {
    nextDelay = initialDelay;
  }
}
