package io.pineladder.queue;

/** What an event means for a parked entry. */
public enum QueueingHint {
  /** Nothing: it stays parked. */
  SKIP,
  /** It may be placed now: it is tried when its back-off is over. */
  QUEUE,
  /** It can be placed now: it is tried without waiting for its back-off. */
  QUEUE_IMMEDIATELY
}
