package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;

/**
 * Delays between the retries of one operation. The upper bound doubles with each retry up to a
 * maximum, and each delay is drawn at random from the upper half of its range, so that clients that
 * failed together do not retry together. Event thread only.
 */
public final class Backoff {
  private final EventLoop eventLoop;
  private final Duration initialDelay;
  private final Duration maxDelay;
  private Duration nextDelay;

  /**
   * Creates a series of delays.
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

  /** Draws the delay before the next retry, and doubles the upper bound of the one after it. */
  public Duration nextDelay() {
    long halfNanos = nextDelay.toNanos() / 2;
    nextDelay =
        nextDelay.multipliedBy(2).compareTo(maxDelay) < 0 ? nextDelay.multipliedBy(2) : maxDelay;
    return Duration.ofNanos(halfNanos + (long) (eventLoop.random().nextDouble() * halfNanos));
  }

  /** The operation has succeeded: the next delay is an initial one again. */
  public void reset() {
    nextDelay = initialDelay;
  }
}
