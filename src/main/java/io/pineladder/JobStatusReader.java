package io.pineladder;

import io.pineladder.model.Job;
import io.pineladder.reconciliation.JobLookup;
import io.pineladder.reconciliation.JobReconciler;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.JobWire;
import java.util.function.Consumer;

/** Reads the status of jobs for users, from the leader's memory or from the store. */
final class JobStatusReader {
  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final JobReconciler reconciler;
  private final PendingSubmissions pendingSubmissions;

  JobStatusReader(
      ClusterState cluster,
      Scheduler scheduler,
      JobReconciler reconciler,
      PendingSubmissions pendingSubmissions) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.reconciler = reconciler;
    this.pendingSubmissions = pendingSubmissions;
  }

  /** Reads a job's status from memory, or from the store if the job is not in memory. */
  void read(String id, Consumer<JobView> onDone) {
    Job job = cluster.jobs.get(id);
    if (job != null) {
      answerAfterPendingCommit(job, onDone);
      return;
    }
    // The job may be stored already, and another node may have returned it to a user.
    if (pendingSubmissions.await(id, result -> onDone.accept(result.view()))) {
      return;
    }
    lookUp(id, found -> answerAfterPendingCommit(found, onDone), onDone);
  }

  /**
   * Looks up a job that is not in memory in the store.
   *
   * @param onFound receives a job that has not ended; it is in memory from then on
   * @param onOther receives the view for any other outcome
   */
  void lookUp(String id, Consumer<Job> onFound, Consumer<JobView> onOther) {
    reconciler.lookUpForUser(
        id,
        lookup -> {
          if (lookup instanceof JobLookup.Uncertain) {
            onOther.accept(JobView.UNCERTAIN);
          } else if (lookup instanceof JobLookup.Found found) {
            onFound.accept(found.job());
          } else if (lookup instanceof JobLookup.Ended ended) {
            onOther.accept(JobView.ended(ended.finalState()));
          } else {
            onOther.accept(JobView.NOT_FOUND);
          }
        });
  }

  /**
   * Reads the status of a job in memory. While its final state is being stored, another node may
   * already read that state from the store and return it to a user, so a non-final status from here
   * could be stale. The response therefore waits for the commit. The same applies while the
   * cancellation of a prerequisite is being stored, which also cancels this job.
   */
  void answerAfterPendingCommit(Job job, Consumer<JobView> onDone) {
    Job prerequisite = job.cancellingPrerequisite;
    if (job.cancelledByDependency) {
      onDone.accept(viewOf(job));
    } else if (job.finalStatePending && !job.finalStateStored) {
      job.finalStateCallbacks.add(() -> onDone.accept(viewOf(job)));
    } else if (prerequisite != null && !prerequisite.finalStateStored) {
      prerequisite.finalStateCallbacks.add(() -> onDone.accept(viewOf(job)));
    } else if (scheduler.dependencies().isUncertain(job)) {
      onDone.accept(JobView.UNCERTAIN);
    } else {
      onDone.accept(viewOf(job));
    }
  }

  /** The current status of a job in memory, ignoring commits in flight that may change it. */
  static JobView viewOf(Job job) {
    if (job.cancelledByDependency || (!job.isActive() && job.finalStateStored)) {
      return new JobView(JobView.toStatus(job.state()), job.completedTasks.cardinality(), 0, true);
    }
    int running = Scheduler.countRunning(job);
    return new JobView(
        running > 0 ? JobWire.Status.RUNNING : JobWire.Status.PENDING,
        job.completedTasks.cardinality(),
        running,
        true);
  }
}
