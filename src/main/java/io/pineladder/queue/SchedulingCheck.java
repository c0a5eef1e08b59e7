package io.pineladder.queue;

/** The checks that can reject a pending entry. Shown to operators by these names. */
public enum SchedulingCheck {
  /** The team's limit allows no more tasks. */
  TEAM_LIMIT,
  /** No machine has a type and zone that the job allows, or all of those are spot machines. */
  PLACE,
  /** No machine that the job may use has enough free capacity. */
  FIT,
  /** There is capacity only where too many tasks would be in one zone. */
  SPREAD,
  /** There is capacity, but not in the one zone that all tasks must share. */
  TOGETHER,
  /** Tasks of the gang's earlier attempt may still be on a machine. */
  PREDECESSOR,
  /** The job fails wherever it runs, and as many of its tasks as are probed at a time are out. */
  FAILING,
  /** The rate at which tasks of large arrays are started is used up. */
  PACE,
  /** A prerequisite is not done; the end of the last one activates the entry, and nothing else. */
  DEPENDENCY
}
