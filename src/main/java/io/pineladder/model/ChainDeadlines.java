package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;

/**
 * The deadlines that a job inherits from the jobs that depend on it, in wall-clock time.
 *
 * @param target the latest end of this job with which the last job of the chain can meet its
 *     deadline
 * @param latest the latest end with which the last job can meet the loosest objective on its end;
 *     not before {@code target}
 */
public record ChainDeadlines(Instant target, Instant latest) {
  /** The earlier target and the earlier latest end; {@code null} means no deadlines. */
  public static ChainDeadlines earlier(ChainDeadlines a, ChainDeadlines b) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    return new ChainDeadlines(
        a.target.isBefore(b.target) ? a.target : b.target,
        a.latest.isBefore(b.latest) ? a.latest : b.latest);
  }

  /** The deadlines moved earlier by that duration. */
  public ChainDeadlines minus(Duration duration) {
    return new ChainDeadlines(target.minus(duration), latest.minus(duration));
  }
}
