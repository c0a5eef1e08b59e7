package io.pineladder.queue;

/** The checks that can reject a pending entry. Operators see these names. */
public enum SchedulingCheck {
  /** The team's resource limit allows no more tasks. */
  TEAM_LIMIT,
  /**
   * No machine of a type and zone that the job allows exists, or all of them are spot machines and
   * the job does not allow those.
   */
  PLACE,
  /** No machine that the job may use has enough free capacity. */
  FIT,
  /** There is capacity, but only in zones that already have the maximum share of the tasks. */
  SPREAD,
  /** There is capacity, but not in the single zone that all tasks must share. */
  TOGETHER,
  /** Tasks of the gang's previous attempt may still be on a machine. */
  PREDECESSOR,
  /** The job's failures are attributed to it, and its maximum number of probe tasks is placed. */
  FAILING,
  /** The start rate limit for the tasks of large arrays is used up. */
  PACE,
  /**
   * A prerequisite is not done; only the completion of the last prerequisite activates the entry.
   */
  DEPENDENCY
}
