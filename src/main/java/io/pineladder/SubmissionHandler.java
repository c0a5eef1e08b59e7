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
 * Accepts jobs. Submission is idempotent: a repeated one gets the response of the first and does
 * not store the job again.
 */
final class SubmissionHandler {
  private static final Logger log = LoggerFactory.getLogger(SubmissionHandler.class);

  /** Receives the results of submissions. */
  interface Listener {
    /** The job is stored and has to be added to memory, after which it may start. */
    void onAccepted(Job job);

    /**
     * The job was already in memory when its submission committed; adding it would run it twice.
     */
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

  /** Whether the job is in memory or being stored, so that a submission of it is a repeated one. */
  boolean isKnown(String id) {
    return cluster.jobs.containsKey(id) || pendingSubmissions.contains(id);
  }

  /** Stores a job unless it was accepted before; {@code onDone} is called after the commit. */
  void submit(JobSpec spec, Consumer<SubmissionResult> onDone) {
    String id = spec.id();
    Job accepted = cluster.jobs.get(id);
    if (accepted != null) {
      answerAccepted(accepted, onDone);
      return;
    }
    if (pendingSubmissions.await(id, onDone)) {
      return;
    }
    Job.State finalState = replica.finalState(id);
    if (finalState != null) {
      // Its record in the store may be lost, or archived with others by an earlier generation.
      onDone.accept(SubmissionResult.ended(finalState));
      return;
    }
    if (!cluster.memoryBudget().hasRoomFor(spec)) {
      log.info("Submission refused, no memory for it: job={} tasks={}", id, spec.tasks());
      onDone.accept(SubmissionResult.REFUSED);
      return;
    }
    cluster.memoryBudget().reserve(spec);
    pendingSubmissions.begin(id, onDone);
    Job job = new Job(spec, eventLoop.wallClock(), Job.State.ACTIVE);
    records.storeAcceptance(job, () -> onStored(job), () -> onStoredElsewhere(spec));
  }

  private void answerAccepted(Job job, Consumer<SubmissionResult> onDone) {
    statuses.answerAfterPendingCommit(
        job, view -> onDone.accept(SubmissionResult.alreadyAccepted(view)));
  }

  private void onStored(Job job) {
    String id = job.spec.id();
    List<Consumer<SubmissionResult>> waiters = pendingSubmissions.complete(id);
    cluster.memoryBudget().release(job.spec);
    log.debug(
        "Job accepted: job={} tasks={} kind={} class={} team={}",
        id,
        job.spec.tasks(),
        job.spec.kind(),
        job.spec.jobClass(),
        job.spec.team());
    if (cluster.jobs.containsKey(id)) {
      // The reconciler skips jobs whose submission is pending, so this must not happen.
      listener.onDuplicate("job " + id + " was already in memory when its submission committed");
      return;
    }
    listener.onAccepted(job);
    JobView view =
        JobView.of(job.cancelledByDependency ? JobWire.Status.CANCELLED : JobWire.Status.PENDING);
    waiters.forEach(waiter -> waiter.accept(SubmissionResult.stored(view)));
  }

  /** Another node stored the job first; responds with the status of that record. */
  private void onStoredElsewhere(JobSpec spec) {
    String id = spec.id();
    cluster.memoryBudget().release(spec);
    List<Consumer<SubmissionResult>> waiters = pendingSubmissions.complete(id);
    reconciler.lookUp(
        id,
        lookup -> {
          if (lookup instanceof JobLookup.Found found) {
            waiters.forEach(waiter -> answerAccepted(found.job(), waiter));
            return;
          }
          SubmissionResult result =
              lookup instanceof JobLookup.Ended ended
                  ? SubmissionResult.ended(ended.finalState())
                  : SubmissionResult.alreadyAccepted(JobView.UNCERTAIN);
          waiters.forEach(waiter -> waiter.accept(result));
        });
  }
}
