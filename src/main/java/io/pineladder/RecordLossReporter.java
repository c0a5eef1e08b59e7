package io.pineladder;

import io.pineladder.generation.GenerationManager;
import io.pineladder.recovery.ReplicaManager;
import io.pineladder.replica.RecordReplica;
import java.time.Duration;

/**
 * Reports records that a term finds missing to this controller's replica manager, which decides
 * whether to rebuild the records, and exposes the status of rebuilds to the term.
 */
final class RecordLossReporter {
  private final ReplicaManager replicaManager;

  RecordLossReporter(ReplicaManager replicaManager) {
    this.replicaManager = replicaManager;
  }

  /** The new leader has read all records, so its replica is complete. */
  void onRecordsRead(RecordReplica replica) {
    replicaManager.onTermStarted(replica);
  }

  /** A record is missing, or older than a version that this controller has seen stored. */
  void onRecordMissing(String reason) {
    replicaManager.generations().declareLoss(GenerationManager.Evidence.RECORD_MISSING, reason);
  }

  /**
   * A worker runs a task of a job that has no record. Records of accepted jobs are never removed
   * entirely, since users may query them at any time, so this one was lost.
   */
  void onUnknownJob(String job) {
    replicaManager
        .generations()
        .declareLoss(
            GenerationManager.Evidence.JOB_UNKNOWN,
            "a worker runs a task of " + job + ", which has no record");
  }

  /** A record is unreadable, and this controller's replica has no copy of it. */
  void onUnreadable(String key, String reason) {
    replicaManager
        .generations()
        .declareLoss(
            GenerationManager.Evidence.UNREADABLE,
            key + " is unreadable and not in the replica: " + reason);
  }

  /** Whether a record that is not in the store may have been lost and may still be restored. */
  boolean mayRecordsBeMissing() {
    return replicaManager.recordsMayBeIncomplete();
  }

  /** Whether the current records result from a rebuild that may be incomplete. */
  boolean isRebuildIncomplete() {
    return replicaManager.timeSinceInexactRebuild() != null;
  }

  /** Whether a rebuild that may be incomplete ended less than {@code age} ago. */
  boolean isRebuildIncompleteWithin(Duration age) {
    Duration sinceRebuild = replicaManager.timeSinceInexactRebuild();
    return sinceRebuild != null && sinceRebuild.compareTo(age) < 0;
  }
}
