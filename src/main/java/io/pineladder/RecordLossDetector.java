package io.pineladder;

import io.pineladder.net.EventLoop;
import io.pineladder.reconciliation.JobReconciler;
import io.pineladder.replica.RecordReplica;
import io.pineladder.store.Committer;
import java.time.Duration;

/**
 * Detects during a term that the state service has lost records: by an audit of what this leader
 * has stored, and by jobs that workers run and nothing in the store tells of.
 */
final class RecordLossDetector {
  /** Between two steps of the audit, and between two checks of unknown jobs. */
  private static final Duration AUDIT_INTERVAL = Duration.ofSeconds(1);

  private final TermLifecycle lifecycle;
  private final Committer committer;
  private final JobReconciler reconciler;
  private final RecordReplica replica;
  private final RecordLossReporter recordLoss;
  private final EventLoop eventLoop;

  /** By then every worker has sent a heartbeat, also one whose first was lost. */
  private final Duration heartbeatBound;

  /** No record of a job or machine was in the store when this term began. */
  private boolean startedEmpty;

  /** An unknown job was checked less than an interval ago. */
  private boolean unknownJobChecked;

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
    this.heartbeatBound = heartbeatInterval.plus(heartbeatInterval.dividedBy(4)).plusSeconds(2);
  }

  /** The records are read; tells whether there were any of jobs or machines. */
  void onRecordsRead(boolean empty) {
    startedEmpty = empty;
  }

  /** Begins the audit, which goes on as long as the term leads. */
  void startAudit() {
    eventLoop.schedule(AUDIT_INTERVAL, () -> audit(null));
  }

  /** Has some records after this key compared with what was stored. */
  private void audit(String afterKey) {
    if (lifecycle.isLeading()) {
      committer.audit(
          afterKey, lastKey -> eventLoop.schedule(AUDIT_INTERVAL, () -> audit(lastKey)));
    }
  }

  /**
   * A worker runs a task of a job that is not in memory: checks whether the store has a record of
   * it. One job an interval is enough to prove a loss.
   */
  void checkUnknownJob(String job) {
    if (unknownJobChecked || recordLoss.isRebuildIncomplete() || recordLoss.mayRecordsBeMissing()) {
      return;
    }
    unknownJobChecked = true;
    eventLoop.schedule(AUDIT_INTERVAL, () -> unknownJobChecked = false);
    reconciler.ifUnknown(job, () -> recordLoss.onUnknownJob(job));
  }

  /** Whether a job that the store has no record of may have been lost. */
  boolean mayJobBeLost() {
    return recordLoss.mayRecordsBeMissing() || !replica.isComplete() || mayBeFirstStart();
  }

  /**
   * Whether the store was empty when this term began, and workers that know better have not had the
   * time to send a heartbeat: a cluster that starts for the first time looks like one that has lost
   * everything.
   */
  private boolean mayBeFirstStart() {
    return startedEmpty && eventLoop.now().isBefore(lifecycle.startedAt().plus(heartbeatBound));
  }
}
