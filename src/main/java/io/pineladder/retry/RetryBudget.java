package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;

/**
 * How many tries may be made again: a share of the calls that succeed, and a few each second, so
 * that when everything fails the tries do not make up most of what is sent.
 */
public final class RetryBudget {
  private final EventLoop eventLoop;
  private final double share;
  private final TokenBucket budget;

  /**
   * A budget, full at first.
   *
   * @param share of a try that each success allows
   * @param perSecond tries that are allowed each second in any case
   * @param most tries that can be saved up
   */
  public RetryBudget(EventLoop eventLoop, double share, double perSecond, double most) {
    this.eventLoop = eventLoop;
    this.share = share;
    this.budget = new TokenBucket(perSecond, most, eventLoop.now());
  }

  /** A call has succeeded. */
  public void succeeded() {
    budget.give(share, eventLoop.now());
  }

  /** How long a try has to wait for its turn, which it takes; zero when it may go out now. */
  public Duration take() {
    Instant now = eventLoop.now();
    budget.take(1, now);
    return budget.until(0, now);
  }
}
