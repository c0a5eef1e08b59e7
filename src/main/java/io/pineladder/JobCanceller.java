package io.pineladder;

import io.pineladder.model.Job;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import java.util.function.Consumer;

/** Cancels jobs on behalf of users, and responds after the commit. */
final class JobCanceller {
  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final JobStatusReader statuses;
  private final PendingSubmissions pendingSubmissions;

  JobCanceller(
      ClusterState cluster,
      Scheduler scheduler,
      JobStatusReader statuses,
      PendingSubmissions pendingSubmissions) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.statuses = statuses;
    this.pendingSubmissions = pendingSubmissions;
  }

  /**
   * Cancels a job that is in memory or found by a read of the store. A job that has ended is not
   * changed, and the response has its final state. The status of a job whose submission is pending
   * is uncertain.
   */
  void cancel(String id, Consumer<JobView> onDone) {
    Job job = cluster.jobs.get(id);
    if (job != null) {
      cancelKnown(job, onDone);
      return;
    }
    if (pendingSubmissions.contains(id)) {
      onDone.accept(JobView.UNCERTAIN);
      return;
    }
    statuses.lookUp(id, found -> cancelKnown(found, onDone), onDone);
  }

  private void cancelKnown(Job job, Consumer<JobView> onDone) {
    if (job.finalStateStored || job.cancelledByDependency) {
      onDone.accept(JobStatusReader.viewOf(job));
      return;
    }
    job.finalStateCallbacks.add(() -> onDone.accept(JobStatusReader.viewOf(job)));
    scheduler.cancel(job);
  }
}
