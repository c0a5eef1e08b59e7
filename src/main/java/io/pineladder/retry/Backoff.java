package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;

/**
 * Pauses between tries of one thing: they double up to a cap, and each is drawn from its upper
 * half, so that those who failed together do not come back together.
 */
public final class Backoff {
  private final EventLoop eventLoop;
  private final Duration initialDelay;
  private final Duration maxDelay;
  private Duration nextDelay;

  /**
   * A series of pauses.
   *
   * @param first the longest that the first pause can be
   * @param most the longest that any can be
   */
  public Backoff(EventLoop eventLoop, Duration initialDelay, Duration maxDelay) {
    this.eventLoop = eventLoop;
    this.initialDelay = initialDelay;
    this.maxDelay = maxDelay;
    this.nextDelay = initialDelay;
  }

  /** The pause before the next try. */
  public Duration nextDelay() {
    long upperBoundNanos = nextDelay.toNanos();
    nextDelay =
        nextDelay.multipliedBy(2).compareTo(maxDelay) < 0 ? nextDelay.multipliedBy(2) : maxDelay;
    return Duration.ofNanos(
        upperBoundNanos / 2 + (long) (eventLoop.random().nextDouble() * (upperBoundNanos / 2)));
  }

  /** It has succeeded: the next pause is a first one. */
  public void reset() {
    nextDelay = initialDelay;
  }
}
