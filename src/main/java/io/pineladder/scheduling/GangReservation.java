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
 * Reserves capacity for a gang that has waited for long while freed capacity went to smaller jobs
 * of its priority class. It is reserved on the machines that should have it soonest, for one gang
 * at a time: of the highest priority class, then the first accepted. Tasks that end before the gang
 * can start may run there meanwhile (backfilling); nothing is preempted for it, and jobs of a
 * higher class are not delayed.
 */
final class GangReservation {
  private static final Logger log = LoggerFactory.getLogger(GangReservation.class);

  /**
   * How long a gang waits before capacity is reserved for it. It must begin within four minutes;
   * the rest of those is for the tasks that run on its machines, and for its images.
   */
  static final Duration MIN_WAIT = Duration.ofSeconds(60);

  /**
   * A task that has exceeded its estimate is assumed to run on for the estimate divided by this.
   */
  private static final int OVERRUN_DIVISOR = 4;

  private final ClusterState cluster;
  private final EventLoop eventLoop;

  /** The gang that capacity is reserved for, or was last; null before the first. */
  private Job holder;

  GangReservation(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /** A machine, and the expected seconds until it has capacity for one task of the gang. */
  private record ExpectedCapacity(Machine machine, double secondsUntilFree) {}

  /**
   * The job was rejected for lack of capacity: a gang next in line gets or renews a reservation.
   */
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
      log.info("Capacity reserved for gang: job={} machines={}", job, soonest.size());
      releaseReservations();
    }
    holder = job;
    Instant expectedStart =
        now.plusMillis((long) (soonest.get(soonest.size() - 1).secondsUntilFree * 1000));
    for (ExpectedCapacity capacity : soonest) {
      Machine machine = capacity.machine;
      if (!machine.isReservedForOther(job, now)) {
        Instant earlierExpectedStart =
            machine.reservedFor() == job ? machine.reservationStartsAt() : null;
        cluster.reserve(machine, job, now.plus(PreemptionPolicy.RESERVATION_DURATION));
        // A wrong estimate must not defer the expected start again and again.
        boolean isEarlier =
            earlierExpectedStart != null && earlierExpectedStart.isBefore(expectedStart);
        machine.setReservationStart(isEarlier ? earlierExpectedStart : expectedStart);
      }
    }
  }

  private boolean mayReserve(Job job) {
    if (job.failing || job.readyAt.plus(MIN_WAIT).isAfter(eventLoop.wallClock())) {
      return false;
    }
    boolean unheld = holder == null || !holder.isActive() || holder.pendingTasks.isEmpty();
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
   * As many machines as the gang has tasks, of one zone if required; empty when there are too few.
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

  /** The expected seconds until one task fits, when no more is placed; MAX_VALUE for never. */
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
