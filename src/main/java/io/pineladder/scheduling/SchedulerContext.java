package io.pineladder.scheduling;

import io.pineladder.net.EventLoop;
import io.pineladder.store.Records;
import java.time.Instant;

/**
 * Objects shared by the components of one term's scheduler: the cluster state, the clock, the
 * callbacks to the leader, and the records that changes are written to. Not thread-safe: used on
 * the event loop's thread only.
 */
final class SchedulerContext {
  final ClusterState cluster;
  final EventLoop eventLoop;
  final Scheduler.Callbacks callbacks;
  private Records records;

  SchedulerContext(ClusterState cluster, EventLoop eventLoop, Scheduler.Callbacks callbacks) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.callbacks = callbacks;
  }

  /** Sets the records. They call back into the scheduler, so they are created after it. */
  void setRecords(Records termRecords) {
    records = termRecords;
  }

  /** The records of this term; must be set before the first job is added. */
  Records records() {
    return records;
  }

  /** The event loop's monotonic time. */
  Instant now() {
    return eventLoop.now();
  }
}
