package io.pineladder;

import io.pineladder.model.Job;
import io.pineladder.reconciliation.JobLookup;
import io.pineladder.reconciliation.JobReconciler;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.JobWire;
import java.util.function.Consumer;

/** Answers the status of jobs to users, from the leader's memory or by a fresh read. */
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

  /** Answers a job's status, from memory or by a fresh read. */
  void read(String id, Consumer<JobView> onDone) {
    Job job = cluster.jobs.get(id);
    if (job != null) {
      answerWhenCertain(job, onDone);
      return;
    }
    // Its record may be there already: another node may have read it, and told its user so.
    if (pendingSubmissions.await(id, onDone)) {
      return;
    }
    lookUp(id, found -> answerWhenCertain(found, onDone), onDone);
  }

  /**
   * Looks up a job that is not in memory by a fresh read.
   *
   * @param onFound gets a job that has not ended; it is in memory from then on
   * @param onOther gets the answer for any other outcome
   */
  void lookUp(String id, Consumer<Job> onFound, Consumer<JobView> onOther) {
    reconciler.lookUp(
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
   * Answers the status of a job in memory. While its final state is on its way to the store,
   * another node may read it there before this one hears of the commit; an answer that is not final
   * would then be older than what a user has been told already. So the answer waits for the commit,
   * also where the final state would follow from that of a prerequisite.
   */
  void answerWhenCertain(Job job, Consumer<JobView> onDone) {
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

  /**
   * The status of a job in memory as it is now, whether a commit may be about to change it or not.
   */
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
