package io.pineladder;

import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.net.EventLoop;
import io.pineladder.reconciliation.JobLookup;
import io.pineladder.reconciliation.JobReconciler;
import io.pineladder.replica.RecordReplica;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.store.Records;
import io.pineladder.wire.JobWire;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts jobs: stores a new one, and answers a repeated submission like the first, since
 * submission is idempotent.
 */
final class SubmissionHandler {
  private static final Logger log = LoggerFactory.getLogger(SubmissionHandler.class);

  /** What follows an acceptance. */
  interface Listener {
    /** The job is stored and not in memory yet; it may start from now on. */
    void onAccepted(Job job);

    /** The job is in memory already, and a second copy would run its tasks twice. */
    void onDuplicate(String reason);
  }

  private final ClusterState cluster;
  private final Records records;
  private final RecordReplica replica;
  private final JobReconciler reconciler;
  private final JobStatusReader statuses;
  private final PendingSubmissions pendingSubmissions;
  private final EventLoop eventLoop;
  private final Listener listener;

  SubmissionHandler(
      ClusterState cluster,
      Records records,
      RecordReplica replica,
      JobReconciler reconciler,
      JobStatusReader statuses,
      PendingSubmissions pendingSubmissions,
      EventLoop eventLoop,
      Listener listener) {
    this.cluster = cluster;
    this.records = records;
    this.replica = replica;
    this.reconciler = reconciler;
    this.statuses = statuses;
    this.pendingSubmissions = pendingSubmissions;
    this.eventLoop = eventLoop;
    this.listener = listener;
  }

  /** Whether the job is known here, so that a submission of it is a repeated one. */
  boolean isKnown(String id) {
    return cluster.jobs.containsKey(id) || pendingSubmissions.contains(id);
  }

  /**
   * Stores a new job.
   *
   * @param onStored gets the status after the commit; uncertain when the outcome is not known
   * @param onKnown gets the status of a job that was accepted before
   */
  void submit(JobSpec spec, Consumer<JobView> onStored, Consumer<JobView> onKnown) {
    String id = spec.id();
    Job known = cluster.jobs.get(id);
    if (known != null) {
      statuses.answerWhenCertain(known, onKnown);
      return;
    }
    if (pendingSubmissions.await(id, onStored)) {
      return;
    }
    Job.State finalState = replica.finalState(id);
    if (finalState != null) {
      // Its own record of that may be lost, or be one of many in a value of the generation before.
      onKnown.accept(JobView.ended(finalState));
      return;
    }
    pendingSubmissions.begin(id, onStored);
    Job job = new Job(spec, eventLoop.wallClock(), Job.State.ACTIVE);
    records.storeAcceptance(job, () -> onStored(job), () -> onStoredElsewhere(id));
  }

  private void onStored(Job job) {
    String id = job.spec.id();
    List<Consumer<JobView>> waiters = pendingSubmissions.complete(id);
    log.debug(
        "Job accepted: job={} tasks={} kind={} class={} team={}",
        id,
        job.spec.tasks(),
        job.spec.kind(),
        job.spec.jobClass(),
        job.spec.team());
    if (cluster.jobs.containsKey(id)) {
      // The reconciler leaves jobs alone whose submission is pending; this guards against a fault.
      listener.onDuplicate("job " + id + " was taken up while it was being accepted");
      return;
    }
    listener.onAccepted(job);
    JobView view =
        JobView.of(job.cancelledByDependency ? JobWire.Status.CANCELLED : JobWire.Status.PENDING);
    waiters.forEach(waiter -> waiter.accept(view));
  }

  /** Another node has stored the job first; its record is the one that counts. */
  private void onStoredElsewhere(String id) {
    List<Consumer<JobView>> waiters = pendingSubmissions.complete(id);
    reconciler.lookUp(
        id,
        lookup -> {
          JobView view;
          if (lookup instanceof JobLookup.Found found) {
            view = JobView.of(JobStatusReader.viewOf(found.job()).status());
          } else if (lookup instanceof JobLookup.Ended ended) {
            view = JobView.ended(ended.finalState());
          } else {
            view = JobView.UNCERTAIN;
          }
          waiters.forEach(waiter -> waiter.accept(view));
        });
  }
}
