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
 * Follows attempts from their stored placement to their end, and decides what becomes of the task:
 * complete, pending again, or, with its gang, stopped and started anew.
 */
final class AttemptLifecycle {
  private static final Logger log = LoggerFactory.getLogger(AttemptLifecycle.class);

  /** Machines that a job avoids at the most because its tasks failed there. */
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
   * Stops all attempts of a job. All that were never sent are marked as killed before any is gone:
   * those are gone at once, and were taken for lost tasks of a starting gang and started anew, all
   * but one for which there was no capacity. Found by the simulation, as a gang that waited for its
   * last task for ever.
   */
  void killAll(Job job, Duration gracePeriod) {
    List<Attempt> all = new ArrayList<>();
    job.attempts.values().forEach(all::addAll);
    for (Attempt attempt : all) {
      if (attempt.holdsCapacity() && wasNeverSent(attempt)) {
        attempt.kill(context.now(), gracePeriod);
      }
    }
    all.forEach(attempt -> kill(attempt, gracePeriod));
  }

  /**
   * Stops an attempt; one that is being stopped already stops sooner if the grace period is shorter
   * than before.
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

  /** Stops an attempt to free its capacity, after its checkpoint; a gang is stopped as a whole. */
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

  /** The placement is stored, so its start may be sent. */
  void onPlacementStored(Attempt attempt) {
    context.cluster.transition(attempt, Attempt.State.PLACEMENT_STORED);
    context.callbacks.onCommandsDue(attempt.machine);
  }

  /** A machine lists the attempt in a state other than exited. */
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
          "Task runs: attempt={} sincePlacement={} sinceSubmission={}",
          attempt,
          Duration.between(attempt.createdAt, context.now()),
          Duration.between(attempt.job.acceptedAt, context.eventLoop.wallClock()));
    }
    context.cluster.transition(attempt, state);
  }

  /** A machine lists the attempt as exited. */
  void onExited(Attempt attempt, EndReason endReason) {
    if (!attempt.holdsCapacity()) {
      return;
    }
    boolean wanted = attempt.isWanted();
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
      onLost(attempt, wanted && isRefusalOrError(endReason));
    }
    freedCapacity.onAttemptEnded(attempt);
  }

  /**
   * Proof has come that the attempt is not on its machine and never will be.
   *
   * @param proof what proves it, for the log
   */
  void onGone(Attempt attempt, String proof) {
    boolean heldCapacity = attempt.holdsCapacity();
    context.cluster.transition(attempt, Attempt.State.GONE);
    resumeCompletion(attempt);
    if (heldCapacity) {
      log.debug("Attempt gone: attempt={} proof={}", attempt, proof);
      onLost(attempt, false);
      freedCapacity.onAttemptEnded(attempt);
    } else if (attempt.endReason == EndReason.GANG_INCOMPLETE
        && attempt.job.mayStartTask(attempt.task)
        && gangRecovery.isGangStillStarting(attempt)) {
      // Its machine has forgotten it, so it can be started again where its image is.
      gangRecovery.replace(attempt);
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
    // The tasks of a gang complete together.
    if (job.spec.kind() == JobKind.GANG) {
      job.completedTasks.set(0, job.spec.tasks());
    } else {
      job.completedTasks.set(attempt.task);
    }
    job.pendingTasks.clear(attempt.task);
    faultAttribution.recordSuccess(job);
    context.cluster.onDemandChanged(job);
    stopOtherAttempts(attempt);
    if (job.completedTasks.cardinality() == job.spec.tasks()) {
      jobFinalizer.onAllTasksDone(job);
    }
  }

  /**
   * Stops attempts of a complete task, and stores its completion once none is left. The task was
   * started anew because an earlier leader knew of its completion and had not stored it; the next
   * leader assumes that no attempt of a complete task is anywhere. Found by the simulation, as a
   * team's limit that was exceeded after two failovers.
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

  /** If the ended attempt delayed the storing of its task's completion, that goes on. */
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
    // A job that fails everywhere must not run out of machines.
    int maxAvoided = Math.min(MAX_AVOIDED_MACHINES, context.cluster.machines().size() / 2);
    if (job.avoidedMachines.size() > maxAvoided) {
      job.avoidedMachines.remove(job.avoidedMachines.iterator().next());
    }
    Duration ran =
        attempt.runningSince == null ? Duration.ZERO : Duration.between(attempt.runningSince, now);
    faultAttribution.recordFailure(job, attempt.machine, ran, now);
  }

  /** The attempt ended without completing its task. */
  private void onLost(Attempt attempt, boolean backOff) {
    Job job = attempt.job;
    if (!job.isActive()) {
      jobFinalizer.storeCancellationIfStopped(job);
      jobFinalizer.removeRecordIfFinished(job);
      return;
    }
    if (job.spec.kind() == JobKind.GANG) {
      if (job.attempts.containsKey(attempt.task)) {
        // An earlier attempt of a task that has been started anew does not affect the gang.
        return;
      }
      if (!job.attempts.isEmpty()) {
        boolean mayReplace = !job.failing && gangRecovery.isGangStillStarting(attempt);
        if (mayReplace
            && (gangRecovery.replace(attempt) || gangRecovery.reserveUntilForgotten(attempt))) {
          return;
        }
        // A gang that lost a task is stopped as a whole and started again as a whole.
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
    // The last task of a failing gang to end may have been stopped because of the others.
    if (backOff || job.failing) {
      backOffAfterError(job, attempt);
    } else {
      pendingJobs.enqueue(job);
    }
  }

  private void backOffAfterError(Job job, Attempt attempt) {
    QueueEntry entry = pendingJobs.entry(job);
    // Tasks that fail together, while the entry is in back-off already, count as one failure.
    if (entry.state() != QueueEntry.State.ACTIVE
        && entry.state() != QueueEntry.State.BACKOFF_ERROR) {
      boolean failing = job.failing || attempt.endReason == EndReason.ERROR;
      int failures = failing ? faultAttribution.countFailureRound(job) : entry.attempts() + 1;
      pendingJobs.queue().backOffAfterError(entry, failures, context.now());
      pendingJobs.scheduleBackoffWakeUp();
    }
  }
}
