package io.pineladder;

import io.pineladder.model.Job;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import java.util.function.Consumer;

/** Cancels jobs for users; the answer follows the commit. */
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
   * Cancels a job, in memory or as a fresh read finds it. A job that has ended stays as it is and
   * is answered with its final state; one whose submission is still pending is uncertain.
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
