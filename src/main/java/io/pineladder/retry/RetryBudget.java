package io.pineladder.retry;

import io.pineladder.net.Timeline;
import java.time.Duration;
import java.time.Instant;

/**
 * How many tries may be made again: a share of the calls that succeed, and a few each second, so that
 * when everything fails the tries do not make up most of what is sent.
 */
public final class RetryBudget {
  private final Timeline time;
  private final double share;
  private final double perSecond;
  private final double most;
  private double level;
  private Instant at;

  /**
   * A budget, full at first.
   *
   * @param share of a try that each success allows
   * @param perSecond tries that are allowed each second in any case
   * @param most tries that can be saved up
   */
  public RetryBudget(Timeline time, double share, double perSecond, double most) {
    this.time = time;
    this.share = share;
    this.perSecond = perSecond;
    this.most = most;
    this.level = most;
    this.at = time.now();
  }

  private void refill() {
    Instant now = time.now();
    double seconds = Duration.between(at, now).toNanos() / 1e9;
    if (seconds > 0) {
      level = Math.min(most, level + seconds * perSecond);
      at = now;
    }
  }

  /** A call has succeeded. */
  public void succeeded() {
    refill();
    level = Math.min(most, level + share);
  }

  /** How long a try has to wait for its turn, which it takes; zero when it may go out now. */
  public Duration take() {
    refill();
    level -= 1;
    return level >= 0 ? Duration.ZERO : Duration.ofNanos((long) (-level / perSecond * 1e9));
  }
}
