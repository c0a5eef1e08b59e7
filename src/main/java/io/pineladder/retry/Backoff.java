package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;

/**
 * Pauses between tries of one thing: they double up to a cap, and each is drawn from its upper
 * half, so that those who failed together do not come back together.
 */
public final class Backoff {
  private final EventLoop eventLoop;
  private final Duration first;
  private final Duration most;
  private Duration next;

  /**
   * A series of pauses.
   *
   * @param first the longest that the first pause can be
   * @param most the longest that any can be
   */
  public Backoff(EventLoop eventLoop, Duration first, Duration most) {
    this.eventLoop = eventLoop;
    this.first = first;
    this.most = most;
    this.next = first;
  }

  /** The pause before the next try. */
  public Duration pause() {
    long full = next.toNanos();
    next = next.multipliedBy(2).compareTo(most) < 0 ? next.multipliedBy(2) : most;
    return Duration.ofNanos(full / 2 + (long) (eventLoop.random().nextDouble() * (full / 2)));
  }

  /** It has succeeded: the next pause is a first one. */
  public void reset() {
    next = first;
  }
}
