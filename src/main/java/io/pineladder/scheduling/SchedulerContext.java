package io.pineladder.scheduling;

import io.pineladder.net.EventLoop;
import io.pineladder.store.Records;
import java.time.Instant;

/**
 * What the parts of one term's scheduler share: the cluster state, the clock, the callbacks to the
 * leader, and the records that changes are written to. Like all parts of the scheduler it is used
 * on the event loop's thread only.
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

  /** Sets the records; they call back into the scheduler, so they are built after it. */
  void setRecords(Records termRecords) {
    records = termRecords;
  }

  /** The records of this term; set before the first job is added. */
  Records records() {
    return records;
  }

  /** The event loop's monotonic time. */
  Instant now() {
    return eventLoop.now();
  }
}
