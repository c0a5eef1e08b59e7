package io.pineladder;

import io.pineladder.generation.GenerationManager;
import io.pineladder.recovery.ReplicaManager;
import io.pineladder.replica.RecordReplica;
import java.time.Duration;

/**
 * What a term learns of the records as a whole, reported to this controller's replica manager,
 * which decides whether they are rebuilt; and what a term has to know of such a rebuild.
 */
final class RecordLossReporter {
  private final ReplicaManager replicaManager;

  RecordLossReporter(ReplicaManager replicaManager) {
    this.replicaManager = replicaManager;
  }

  /** The new leader has read all records; its replica is complete from now on. */
  void onRecordsRead(RecordReplica replica) {
    replicaManager.onTermStarted(replica);
  }

  /** A record is missing, or older than this controller has seen it stored. */
  void onRecordMissing(String reason) {
    replicaManager.generations().declareLoss(GenerationManager.Evidence.RECORD_MISSING, reason);
  }

  /**
   * A worker runs a task of a job of which nothing is stored. Whoever was told that a job is
   * accepted may ask for it for ever, so none vanishes unless its records are lost.
   */
  void onUnknownJob(String job) {
    replicaManager
        .generations()
        .declareLoss(
            GenerationManager.Evidence.JOB_UNKNOWN,
            "a worker runs " + job + ", of which nothing is stored");
  }

  /** A record cannot be read, and this controller's replica does not have it either. */
  void onUnreadable(String key) {
    replicaManager
        .generations()
        .declareLoss(GenerationManager.Evidence.UNREADABLE, key + " cannot be read");
  }

  /** Whether a record that is not in the store may have been lost, and come back. */
  boolean mayRecordsBeMissing() {
    return replicaManager.recordsMayBeIncomplete();
  }

  /** Whether the records in force were rebuilt without certainty that they are complete. */
  boolean isRebuildIncomplete() {
    return replicaManager.timeSinceInexactRebuild() != null;
  }

  /** Whether such a rebuild ended less than {@code age} ago. */
  boolean isRebuildIncompleteWithin(Duration age) {
    Duration incompleteFor = replicaManager.timeSinceInexactRebuild();
    return incompleteFor != null && incompleteFor.compareTo(age) < 0;
  }
}
