package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.queue.SchedulingCheck;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

/**
 * Applies scheduling policy to placements: overrides policy for jobs that it would starve, preempts
 * or reserves capacity for rejected jobs, and defers a placement with a long image fetch in favor
 * of a machine that has the image cached.
 */
final class PlacementPolicy {
  private final Placer placer;
  private final StarvationBound starvationBound;
  private final PreemptionPolicy preemptionPolicy;
  private final GangReservation gangReservation;
  private final ObjectiveOrdering ordering;

  PlacementPolicy(
      Placer placer,
      StarvationBound starvationBound,
      PreemptionPolicy preemptionPolicy,
      GangReservation gangReservation,
      ObjectiveOrdering ordering) {
    this.placer = placer;
    this.starvationBound = starvationBound;
    this.preemptionPolicy = preemptionPolicy;
    this.gangReservation = gangReservation;
    this.ordering = ordering;
  }

  /**
   * Chooses machines for the job's next tasks, ignoring policy if the starvation bound is exceeded.
   */
  Placer.Decision place(Job job, int taskCount, Instant now) {
    Placer.Decision decision = placer.place(job, taskCount, now);
    return decision.isPlaced()
        ? decision
        : starvationBound.reviewRejection(job, taskCount, decision, now);
  }

  /** Preempts or reserves capacity for a job that was rejected for lack of capacity. */
  void onRejected(Job job, SchedulingCheck check, Instant now) {
    boolean lacksCapacity =
        check == SchedulingCheck.FIT
            || check == SchedulingCheck.SPREAD
            || check == SchedulingCheck.TOGETHER;
    if (lacksCapacity && !job.failing) {
      preemptionPolicy.preemptFor(job, Double.MAX_VALUE, now);
      gangReservation.onGangRejected(job, now);
    }
  }

  /**
   * Whether the job should wait for capacity that is being preempted on machines that have its
   * image cached.
   */
  boolean waitsForCachedImage(Job job, Machine machineWithoutImage, Instant now) {
    if (starvationBound.isExceeded(job, now)
        || !preemptionPolicy.waitsForCachedImage(
            job, machineWithoutImage, ordering.startAllowance(job), now)) {
      return false;
    }
    starvationBound.recordWithheld(job, now);
    return true;
  }

  /** The jobs that are currently denied capacity by policy alone. */
  List<Job> withheldJobs() {
    return starvationBound.withheldJobs();
  }

  /** Moves tasks that are still fetching their image to idle machines that have it cached. */
  void moveSlowFetches(List<Machine> freedMachines, Instant now, Consumer<Attempt> stop) {
    preemptionPolicy.moveSlowFetches(freedMachines, now, stop);
  }
}
