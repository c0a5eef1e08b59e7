package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import java.util.List;

/**
 * Removes jobs from scheduling and moves them through their final states until their records are
 * removed.
 */
final class JobFinalizer {
  private final SchedulerContext context;
  private final PendingJobs pendingJobs;
  private final StarvationBound starvationBound;
  private final FaultAttribution faultAttribution;
  private final JobDependencies dependencies;

  JobFinalizer(
      SchedulerContext context,
      PendingJobs pendingJobs,
      StarvationBound starvationBound,
      FaultAttribution faultAttribution,
      JobDependencies dependencies) {
    this.context = context;
    this.pendingJobs = pendingJobs;
    this.starvationBound = starvationBound;
    this.faultAttribution = faultAttribution;
    this.dependencies = dependencies;
  }

  /** Removes the job from the queue; no task of it is started after this. */
  void removeFromQueue(Job job) {
    job.pendingTasks.clear();
    starvationBound.clear(job);
    faultAttribution.remove(job);
    pendingJobs.remove(job);
  }

  /** Handles the completion of all tasks: the job is done once that is stored. */
  void onAllTasksDone(Job job) {
    job.transitionTo(Job.State.DONE);
    removeFromQueue(job);
    context.records().storeFinalState(job);
  }

  /**
   * Stores the cancellation of a job once none of its attempts holds capacity. Clients are answered
   * only after that, because tasks on an unreachable machine end no sooner than its lease expires.
   * Answering earlier would require leases short enough that an isolated zone loses all of its
   * work, for the few jobs that may have been cancelled.
   */
  void storeCancellationIfStopped(Job job) {
    if (job.state() != Job.State.CANCELLED || job.finalStatePending) {
      return;
    }
    boolean stopped =
        job.attempts.values().stream()
            .allMatch(attempts -> attempts.stream().noneMatch(Attempt::holdsCapacity));
    if (stopped) {
      dependencies.onCancellationPending(job);
      context.records().storeFinalState(job);
    }
  }

  /** Runs and removes the callbacks that wait for the final state of the job. */
  void runFinalStateCallbacks(Job job) {
    List<Runnable> callbacks = List.copyOf(job.finalStateCallbacks);
    job.finalStateCallbacks.clear();
    callbacks.forEach(Runnable::run);
  }

  /** Removes the record of a job whose final state is stored and which has no attempts left. */
  void removeRecordIfFinished(Job job) {
    if (job.finalStateStored && job.attempts.isEmpty()) {
      context.records().removeJob(job);
    }
  }
}
