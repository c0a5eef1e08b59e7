package io.pineladder.queue;

/** What a cluster event means for an entry that a check has rejected. */
public enum QueueingHint {
  /** It stays unschedulable. */
  SKIP,
  /** It may be placed now: it becomes active when its back-off has expired. */
  QUEUE,
  /** It can be placed now: it becomes active without waiting for its back-off. */
  QUEUE_IMMEDIATELY
}
