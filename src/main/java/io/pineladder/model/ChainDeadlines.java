package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;

/**
 * When a job should be over for the sake of its dependents, by the time of day.
 *
 * @param target by then the last job of the chain can keep its deadline
 * @param latest by then it can meet the loosest objective on its end; not before the target
 */
public record ChainDeadlines(Instant target, Instant latest) {
  /** The earlier of each; {@code null} stands for no bound. */
  public static ChainDeadlines earlier(ChainDeadlines one, ChainDeadlines other) {
    if (one == null || other == null) {
      return one == null ? other : one;
    }
    return new ChainDeadlines(
        one.target.isBefore(other.target) ? one.target : other.target,
        one.latest.isBefore(other.latest) ? one.latest : other.latest);
  }

  /** The deadlines earlier by that time. */
  public ChainDeadlines minus(Duration time) {
    return new ChainDeadlines(target.minus(time), latest.minus(time));
  }
}
