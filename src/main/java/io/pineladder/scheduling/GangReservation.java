package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;
import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Room held for a gang that has waited for long while freed pieces went to others of its rank. It
 * is held on the machines that are thought to have it first, for one gang at a time: the highest
 * rank, then whichever came first. What ends before the gang can start may run there meanwhile;
 * nothing is stopped for it, so only what would have been placed there later is lost, and higher
 * ranks are not held up.
 */
final class GangReservation {
  private static final Logger log = LoggerFactory.getLogger(GangReservation.class);

  /**
   * A gang that has waited so long has room held for it. It must begin within four minutes; what is
   * left of those is for the tasks that run on its machines, and for its images.
   */
  static final Duration MIN_WAIT = Duration.ofSeconds(60);

  /** What runs for longer than it was said to is thought to run for this part of that yet. */
  private static final int OVERRUN_DIVISOR = 4;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private Job holder;

  GangReservation(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /** A machine, and the seconds until it is thought to have room. */
  private record ExpectedCapacity(Machine machine, double secondsUntilFree) {}

  /** The gang was turned away once more: room is held for it, or longer, if it is its turn. */
  void onGangRejected(Job job, Instant now) {
    JobSpec spec = job.spec;
    if (!spec.isMultiTaskGang() || spec.spreadAcrossZones() || !mayReserve(job)) {
      return;
    }
    List<ExpectedCapacity> soonest = soonestMachines(job, now);
    if (soonest.isEmpty()) {
      return;
    }
    if (holder != job) {
      log.info("room is held for {} on {} machines", job, soonest.size());
      releaseReservations();
    }
    holder = job;
    Instant expectedStart =
        now.plusMillis((long) (soonest.get(soonest.size() - 1).secondsUntilFree * 1000));
    for (ExpectedCapacity capacity : soonest) {
      Machine machine = capacity.machine;
      boolean reservedForOther =
          machine.reservedFor != null
              && machine.reservedFor != job
              && machine.reservationExpiresAt.isAfter(now);
      if (!reservedForOther) {
        Instant earlierExpectedStart =
            machine.reservedFor == job ? machine.reservationStartsAt : null;
        cluster.reserve(machine, job, now.plus(PreemptionPolicy.RESERVATION_DURATION));
        // A wrong estimate must not put the start off again and again.
        machine.reservationStartsAt =
            earlierExpectedStart != null && earlierExpectedStart.isBefore(expectedStart)
                ? earlierExpectedStart
                : expectedStart;
      }
    }
  }

  private boolean mayReserve(Job job) {
    if (job.failing || job.readyAt.plus(MIN_WAIT).isAfter(eventLoop.wallClock())) {
      return false;
    }
    boolean unheld = holder == null || !holder.isActive() || holder.pending.isEmpty();
    return unheld
        || holder == job
        || job.priorityClass().isAbove(holder.priorityClass())
        || (job.priorityClass() == holder.priorityClass()
            && job.acceptedAt.isBefore(holder.acceptedAt));
  }

  private void releaseReservations() {
    if (holder != null) {
      List.copyOf(cluster.reservedFor(holder)).forEach(cluster::unreserve);
    }
  }

  /**
   * As many machines as the gang has tasks, of one zone if they must be together; empty if too few.
   */
  private List<ExpectedCapacity> soonestMachines(Job job, Instant now) {
    JobSpec spec = job.spec;
    Map<String, List<ExpectedCapacity>> machinesByZone = new LinkedHashMap<>();
    for (Machine machine : cluster.machines()) {
      if (!machine.isSchedulable() || !Placer.isAllowed(job, machine)) {
        continue;
      }
      double seconds = secondsUntilFree(spec, machine, now);
      if (seconds < Double.MAX_VALUE) {
        machinesByZone
            .computeIfAbsent(spec.sameZone() ? machine.zone : "", z -> new ArrayList<>())
            .add(new ExpectedCapacity(machine, seconds));
      }
    }
    List<ExpectedCapacity> best = List.of();
    for (List<ExpectedCapacity> inZone : machinesByZone.values()) {
      if (inZone.size() >= spec.tasks()) {
        inZone.sort(Comparator.comparingDouble(ExpectedCapacity::secondsUntilFree));
        List<ExpectedCapacity> soonest = inZone.subList(0, spec.tasks());
        if (best.isEmpty() || secondsUntilAllFree(soonest) < secondsUntilAllFree(best)) {
          best = soonest;
        }
      }
    }
    return best;
  }

  private static double secondsUntilAllFree(List<ExpectedCapacity> machines) {
    return machines.get(machines.size() - 1).secondsUntilFree;
  }

  private static double secondsUntilFree(JobSpec spec, Machine machine, Instant now) {
    Resources freeCapacity = machine.free();
    if (spec.resourcesPerTask().fitsIn(freeCapacity)) {
      return 0;
    }
    List<Attempt> ending = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.holdsCapacity()
          && (attempt.job.spec.kind() != JobKind.SERVICE || !attempt.isWanted())) {
        ending.add(attempt);
      }
    }
    ending.sort(Comparator.comparingDouble(attempt -> remainingSeconds(attempt, now)));
    for (Attempt attempt : ending) {
      freeCapacity = freeCapacity.plus(attempt.job.spec.resourcesPerTask());
      if (spec.resourcesPerTask().fitsIn(freeCapacity)) {
        return remainingSeconds(attempt, now);
      }
    }
    return Double.MAX_VALUE;
  }

  private static double remainingSeconds(Attempt attempt, Instant now) {
    if (!attempt.isWanted()) {
      return 0;
    }
    Duration estimate = attempt.job.spec.estimatedRunTime();
    Instant runningFrom = attempt.runningSince == null ? now : attempt.runningSince;
    Duration remaining = estimate.minus(Duration.between(runningFrom, now));
    Duration minimum = estimate.dividedBy(OVERRUN_DIVISOR);
    return (remaining.compareTo(minimum) > 0 ? remaining : minimum).toMillis() / 1000.0;
  }
}
