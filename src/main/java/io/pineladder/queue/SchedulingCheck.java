package io.pineladder.queue;

/** The checks that can reject a pending entry; a parked entry is kept under the one that did. */
public enum SchedulingCheck {
  /** The team's limit leaves no room. */
  TEAM_LIMIT,
  /** No machine known has an allowed type, zone and kind. */
  PLACE,
  /** No allowed machine has enough room. */
  FIT,
  /** There is room only where it would put too many tasks into one zone. */
  SPREAD,
  /** There is room, but not in the one zone that all tasks must share. */
  TOGETHER,
  /** Tasks of an older attempt may still be on a machine. */
  PREDECESSOR,
  /** The job fails wherever it is tried, and as much of it as may be tried at a time is out. */
  FAILING,
  /** As many tasks of large jobs have been started of late as may be. */
  PACE,
  /** A job that it needs is not done; the end of the last one wakes it, and nothing else. */
  DEPENDENCY
}
