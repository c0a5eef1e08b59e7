package io.pineladder;

import io.pineladder.net.EventLoop;
import io.pineladder.reconciliation.JobReconciler;
import io.pineladder.replica.RecordReplica;
import io.pineladder.store.Committer;
import java.time.Duration;

/**
 * Detects during a term that the key-value store has lost records: by auditing the records that
 * this leader has stored, and by checking jobs that workers run but that are not in memory.
 */
final class RecordLossDetector {
  /** The interval between audit steps, and between checks of unknown jobs. */
  private static final Duration AUDIT_INTERVAL = Duration.ofSeconds(1);

  private final TermLifecycle lifecycle;
  private final Committer committer;
  private final JobReconciler reconciler;
  private final RecordReplica replica;
  private final RecordLossReporter recordLoss;
  private final EventLoop eventLoop;

  /** The time until a heartbeat of every worker has arrived, even if its first one was lost. */
  private final Duration maxHeartbeatDelay;

  /** The store had no records of jobs or machines when this term began. */
  private boolean storeEmptyAtStart;

  /** An unknown job was checked within the last {@link #AUDIT_INTERVAL}. */
  private boolean unknownJobCheckThrottled;

  RecordLossDetector(
      TermLifecycle lifecycle,
      Committer committer,
      JobReconciler reconciler,
      RecordReplica replica,
      RecordLossReporter recordLoss,
      EventLoop eventLoop,
      Duration heartbeatInterval) {
    this.lifecycle = lifecycle;
    this.committer = committer;
    this.reconciler = reconciler;
    this.replica = replica;
    this.recordLoss = recordLoss;
    this.eventLoop = eventLoop;
    this.maxHeartbeatDelay = heartbeatInterval.plus(heartbeatInterval.dividedBy(4)).plusSeconds(2);
  }

  /** The records were read; {@code empty} if there were none of jobs or machines. */
  void onRecordsRead(boolean empty) {
    storeEmptyAtStart = empty;
  }

  /** Starts the audit, which continues until the term ends. */
  void startAudit() {
    eventLoop.schedule(AUDIT_INTERVAL, () -> audit(null));
  }

  /** Compares a batch of records after this key with what this leader has stored. */
  private void audit(String afterKey) {
    if (lifecycle.isLeading()) {
      committer.audit(
          afterKey, lastKey -> eventLoop.schedule(AUDIT_INTERVAL, () -> audit(lastKey)));
    }
  }

  /**
   * Checks whether the store has a record of a job that a worker runs but that is not in memory.
   * Checks at most one job per interval, since a single unknown job proves a data loss.
   */
  void checkUnknownJob(String job) {
    if (unknownJobCheckThrottled
        || recordLoss.isRebuildIncomplete()
        || recordLoss.mayRecordsBeMissing()) {
      return;
    }
    unknownJobCheckThrottled = true;
    eventLoop.schedule(AUDIT_INTERVAL, () -> unknownJobCheckThrottled = false);
    reconciler.ifUnknown(job, () -> recordLoss.onUnknownJob(job));
  }

  /** Whether the record of a job that is not in the store may have been lost. */
  boolean mayJobBeLost() {
    return recordLoss.mayRecordsBeMissing() || !replica.isComplete() || mayBeFirstStart();
  }

  /**
   * Whether the store was empty when this term began and not all workers have had time to send a
   * heartbeat. Until then a first start cannot be distinguished from the loss of all records.
   */
  private boolean mayBeFirstStart() {
    return storeEmptyAtStart
        && eventLoop.now().isBefore(lifecycle.startedAt().plus(maxHeartbeatDelay));
  }
}
