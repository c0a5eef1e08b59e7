package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.queue.QueueEntry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks attempts from their stored placement to their end, and decides what happens to the task:
 * it is complete, pending again, or stopped and restarted with its gang.
 */
final class AttemptLifecycle {
  private static final Logger log = LoggerFactory.getLogger(AttemptLifecycle.class);

  /** The maximum number of machines that a job avoids because its tasks failed there. */
  private static final int MAX_AVOIDED_MACHINES = 16;

  private final SchedulerContext context;
  private final PendingJobs pendingJobs;
  private final FreedCapacity freedCapacity;
  private final JobFinalizer jobFinalizer;
  private final GangRecovery gangRecovery;
  private final FaultAttribution faultAttribution;

  AttemptLifecycle(
      SchedulerContext context,
      PendingJobs pendingJobs,
      FreedCapacity freedCapacity,
      JobFinalizer jobFinalizer,
      GangRecovery gangRecovery,
      FaultAttribution faultAttribution) {
    this.context = context;
    this.pendingJobs = pendingJobs;
    this.freedCapacity = freedCapacity;
    this.jobFinalizer = jobFinalizer;
    this.gangRecovery = gangRecovery;
    this.faultAttribution = faultAttribution;
  }

  // ---- stopping

  /**
   * Stops all attempts of a job. Attempts that were never sent end immediately, so all of them are
   * marked as killed first; otherwise they would be treated as lost tasks of a starting gang and
   * restarted. In the simulation such a gang waited forever for its last task, which found no
   * capacity.
   */
  void killAll(Job job, Duration gracePeriod) {
    List<Attempt> attempts = new ArrayList<>();
    job.attempts.values().forEach(attempts::addAll);
    for (Attempt attempt : attempts) {
      if (attempt.holdsCapacity() && wasNeverSent(attempt)) {
        attempt.kill(context.now(), gracePeriod);
      }
    }
    attempts.forEach(attempt -> kill(attempt, gracePeriod));
  }

  /**
   * Stops an attempt. If it is being stopped already, a shorter grace period replaces the earlier
   * one.
   */
  void kill(Attempt attempt, Duration gracePeriod) {
    if (!attempt.holdsCapacity()) {
      return;
    }
    if (wasNeverSent(attempt)) {
      onGone(attempt, "never started");
      return;
    }
    if (attempt.isWanted()) {
      attempt.kill(context.now(), gracePeriod);
    } else if (gracePeriod.compareTo(attempt.killGracePeriod()) < 0) {
      attempt.shortenGracePeriod(gracePeriod);
    } else {
      return;
    }
    context.callbacks.onCommandsDue(attempt.machine);
  }

  /** Preempts an attempt after its checkpoint. A gang is preempted as a whole. */
  void preempt(Attempt attempt) {
    JobSpec spec = attempt.job.spec;
    Duration gracePeriod =
        spec.isCheckpointed() ? spec.checkpointDuration().plusSeconds(1) : Duration.ZERO;
    if (spec.kind() == JobKind.GANG) {
      killAll(attempt.job, gracePeriod);
    } else {
      kill(attempt, gracePeriod);
    }
  }

  private static boolean wasNeverSent(Attempt attempt) {
    return attempt.state() == Attempt.State.PLACEMENT_PENDING
        || (attempt.state() == Attempt.State.PLACEMENT_STORED && attempt.startAgentEpoch == 0);
  }

  // ---- observations

  /** Handles a stored placement: the start command may be sent now. */
  void onPlacementStored(Attempt attempt) {
    context.cluster.transition(attempt, Attempt.State.PLACEMENT_STORED);
    context.callbacks.onCommandsDue(attempt.machine);
  }

  /** Handles a machine that reports the attempt in a state other than exited. */
  void onObserved(Attempt attempt, Attempt.State state) {
    if (attempt.state() == Attempt.State.EXITED) {
      return;
    }
    boolean hasImage = state == Attempt.State.RUNNING || state == Attempt.State.WAITING_FOR_GANG;
    if (hasImage && attempt.state() != state) {
      String image = attempt.job.spec.image();
      boolean isNew = !attempt.machine.images.containsKey(image);
      attempt.machine.touchImage(image, attempt.job.spec.imageGb());
      if (isNew) {
        context.records().storeImages(attempt.machine);
      }
    }
    if (state == Attempt.State.RUNNING && attempt.runningSince == null) {
      attempt.runningSince = context.now();
      log.debug(
          "Task is running: attempt={} sincePlacement={} sinceSubmission={}",
          attempt,
          Duration.between(attempt.createdAt, context.now()),
          Duration.between(attempt.job.acceptedAt, context.eventLoop.wallClock()));
    }
    context.cluster.transition(attempt, state);
  }

  /** Handles a machine that reports the attempt as exited. */
  void onExited(Attempt attempt, EndReason endReason) {
    if (!attempt.holdsCapacity()) {
      return;
    }
    boolean wasWanted = attempt.isWanted();
    attempt.endReason = endReason;
    context.cluster.transition(attempt, Attempt.State.EXITED);
    resumeCompletion(attempt);
    Job job = attempt.job;
    if (endReason == EndReason.DONE && job.spec.kind() != JobKind.SERVICE) {
      onTaskCompleted(attempt);
    } else {
      attempt.endProcessed = true;
      if (endReason == EndReason.ERROR && job.isActive()) {
        onTaskFailed(attempt);
      }
      onEndedIncomplete(attempt, wasWanted && isRefusalOrError(endReason));
    }
    freedCapacity.onAttemptEnded(attempt);
  }

  /**
   * Handles proof that the attempt is not on its machine and cannot start there later.
   *
   * @param proof a description of the proof, for the log
   */
  void onGone(Attempt attempt, String proof) {
    boolean heldCapacity = attempt.holdsCapacity();
    context.cluster.transition(attempt, Attempt.State.GONE);
    resumeCompletion(attempt);
    if (heldCapacity) {
      log.debug("Attempt gone: attempt={} proof={}", attempt, proof);
      onEndedIncomplete(attempt, false);
      freedCapacity.onAttemptEnded(attempt);
    } else if (attempt.endReason == EndReason.GANG_INCOMPLETE
        && attempt.job.mayStartTask(attempt.task)
        && gangRecovery.isGangStillStarting(attempt)) {
      // The machine no longer lists the attempt, so the task can restart where its image is cached.
      gangRecovery.restartTask(attempt);
    }
  }

  private static boolean isRefusalOrError(EndReason endReason) {
    return switch (endReason) {
      case ERROR, NO_CAPACITY, MACHINE_BUSY, UNKNOWN_JOB -> true;
      default -> false;
    };
  }

  // ---- completion

  private void onTaskCompleted(Attempt attempt) {
    Job job = attempt.job;
    if (!job.isActive()) {
      attempt.endProcessed = true;
      jobFinalizer.storeCancellationIfStopped(job);
      jobFinalizer.removeRecordIfFinished(job);
      return;
    }
    // All tasks of a gang complete together.
    if (job.spec.kind() == JobKind.GANG) {
      job.completedTasks.set(0, job.spec.tasks());
    } else {
      job.completedTasks.set(attempt.task);
    }
    job.pendingTasks.clear(attempt.task);
    faultAttribution.recordSuccess(job);
    context.cluster.onQuotaDemandChanged(job);
    stopOtherAttempts(attempt);
    if (job.completedTasks.cardinality() == job.spec.tasks()) {
      jobFinalizer.onAllTasksDone(job);
    }
  }

  /**
   * Stops the other attempts of a completed task, and stores the completion once none of them holds
   * capacity. Other attempts exist if the task was restarted because an earlier leader had not
   * stored the completion. A new leader assumes that completed tasks hold no capacity, so storing
   * the completion sooner could let the team exceed its limit after a failover, as happened in the
   * simulation after two failovers.
   */
  private void stopOtherAttempts(Attempt complete) {
    Job job = complete.job;
    List<Attempt> others = new ArrayList<>();
    for (Attempt other : job.attempts.getOrDefault(complete.task, Set.of())) {
      if (other != complete && other.holdsCapacity()) {
        others.add(other);
      }
    }
    if (others.isEmpty()) {
      job.unconfirmedCompletedTasks.clear(complete.task);
      context.records().storeCompletion(job, complete);
      return;
    }
    job.unconfirmedCompletedTasks.set(complete.task);
    others.get(0).completedBy = complete;
    others.forEach(other -> kill(other, Duration.ZERO));
  }

  /** Resumes storing the completion of the task if the ended attempt delayed it. */
  private void resumeCompletion(Attempt ended) {
    Attempt complete = ended.completedBy;
    if (complete != null) {
      ended.completedBy = null;
      stopOtherAttempts(complete);
    }
  }

  // ---- failure

  private void onTaskFailed(Attempt attempt) {
    Job job = attempt.job;
    Instant now = context.now();
    job.avoidedMachines.add(attempt.machine.name);
    // A job that fails on every machine must still have machines left.
    int maxAvoided = Math.min(MAX_AVOIDED_MACHINES, context.cluster.machines().size() / 2);
    if (job.avoidedMachines.size() > maxAvoided) {
      job.avoidedMachines.remove(job.avoidedMachines.iterator().next());
    }
    Duration runTime =
        attempt.runningSince == null ? Duration.ZERO : Duration.between(attempt.runningSince, now);
    faultAttribution.recordFailure(job, attempt.machine, runTime, now);
  }

  /** Handles an attempt that ended without completing its task. */
  private void onEndedIncomplete(Attempt attempt, boolean backOff) {
    Job job = attempt.job;
    if (!job.isActive()) {
      jobFinalizer.storeCancellationIfStopped(job);
      jobFinalizer.removeRecordIfFinished(job);
      return;
    }
    if (job.spec.kind() == JobKind.GANG) {
      if (job.attempts.containsKey(attempt.task)) {
        // The end of a superseded attempt does not affect the gang.
        return;
      }
      if (!job.attempts.isEmpty()) {
        boolean mayReplace = !job.failing && gangRecovery.isGangStillStarting(attempt);
        if (mayReplace
            && (gangRecovery.restartTask(attempt) || gangRecovery.reserveForRestart(attempt))) {
          return;
        }
        // A gang that lost a task is stopped and restarted as a whole.
        killAll(job, job.spec.checkpointDuration());
        return;
      }
      job.pendingTasks.set(0, job.spec.tasks());
    } else if (job.mayStartTask(attempt.task)) {
      job.pendingTasks.set(attempt.task);
    }
    if (job.pendingTasks.isEmpty()) {
      return;
    }
    // In a failing gang, the task that ends last may only have been stopped after another failed.
    if (backOff || job.failing) {
      backOffAfterError(job, attempt);
    } else {
      pendingJobs.enqueue(job);
    }
  }

  private void backOffAfterError(Job job, Attempt attempt) {
    QueueEntry entry = pendingJobs.entry(job);
    // Failures during the back-off belong to the same round and count once.
    if (entry.state() != QueueEntry.State.ACTIVE
        && entry.state() != QueueEntry.State.BACKOFF_ERROR) {
      boolean failing = job.failing || attempt.endReason == EndReason.ERROR;
      int failures = failing ? faultAttribution.countFailureRound(job) : entry.attempts() + 1;
      pendingJobs.queue().backOffAfterError(entry, failures, context.now());
      pendingJobs.scheduleBackoffWakeUp();
    }
  }
}
