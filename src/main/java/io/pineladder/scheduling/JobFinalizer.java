package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import java.util.List;

/** Takes jobs out of scheduling and through their final states, until their records are removed. */
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

  /** Nothing of the job is started from here on. */
  void removeFromQueue(Job job) {
    job.pendingTasks.clear();
    starvationBound.clear(job);
    faultAttribution.remove(job);
    pendingJobs.remove(job);
  }

  /** All tasks of the job are complete: it is done once that is stored. */
  void onAllTasksDone(Job job) {
    job.transitionTo(Job.State.DONE);
    removeFromQueue(job);
    context.records().storeFinalState(job);
  }

  /**
   * Stores that a job is cancelled once no attempt of it holds capacity, so that no user is told
   * sooner. Were it told at once its tasks would have to be gone in time, also where no machine can
   * be reached, and no lease could last longer than that: a zone that is cut off would lose all
   * that runs in it for the few jobs that may have been cancelled.
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

  /** Calls, once, those who wait for the job's final state. */
  void runFinalStateCallbacks(Job job) {
    List<Runnable> callbacks = List.copyOf(job.finalStateCallbacks);
    job.finalStateCallbacks.clear();
    callbacks.forEach(Runnable::run);
  }

  /** Removes the record of a job whose final state is stored and none of whose attempts is left. */
  void removeRecordIfFinished(Job job) {
    if (job.finalStateStored && job.attempts.isEmpty()) {
      context.records().removeJob(job);
    }
  }
}
