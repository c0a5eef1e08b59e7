package io.pineladder.queue;

/**
 * What a cluster event means for an entry that a check has rejected, in ascending order of effect.
 */
public enum QueueingHint {
  /** The event does not help: the entry stays unschedulable. */
  SKIP,
  /** The entry may be schedulable: it becomes active once its back-off has expired. */
  QUEUE,
  /** The entry is schedulable: it becomes active without waiting for its back-off. */
  QUEUE_IMMEDIATELY
}
