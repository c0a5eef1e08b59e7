package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.queue.SchedulingCheck;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

/**
 * What becomes of a placement: policy may be ignored for a job that it would starve, capacity may
 * be preempted or reserved for a rejected one, and one that would fetch its image for too long may
 * wait for a machine that has it.
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

  /** Chooses machines for the job's next tasks, without policy where its bound is exceeded. */
  Placer.Decision place(Job job, int taskCount, Instant now) {
    Placer.Decision decision = placer.place(job, taskCount, now);
    return decision.isPlaced()
        ? decision
        : starvationBound.reviewRejection(job, taskCount, decision, now);
  }

  /** Preempts or reserves capacity for a job that was rejected for lack of it. */
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

  /** Whether the job waits for capacity that is being preempted where its image is cached. */
  boolean waitsForCachedImage(Job job, Machine machineWithoutImage, Instant now) {
    if (starvationBound.isExceeded(job, now)
        || !preemptionPolicy.waitsForCachedImage(
            job, machineWithoutImage, ordering.startAllowance(job), now)) {
      return false;
    }
    starvationBound.recordWithheld(job, now);
    return true;
  }

  /** Jobs that policy alone denies capacity now. */
  List<Job> withheldJobs() {
    return starvationBound.withheldJobs();
  }

  /** Has tasks that still fetch their image start again on idle machines that have it. */
  void moveSlowFetches(List<Machine> freedMachines, Instant now, Consumer<Attempt> stop) {
    preemptionPolicy.moveSlowFetches(freedMachines, now, stop);
  }
}
