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
  static final Duration LONG_WAIT = Duration.ofSeconds(60);

  /** What runs for longer than it was said to is thought to run for this part of that yet. */
  private static final int OVERRUN_PART = 4;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private Job holder;

  GangReservation(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /** A machine, and the seconds until it is thought to have room. */
  private record Soon(Machine machine, double seconds) {}

  /** The gang was turned away once more: room is held for it, or longer, if it is its turn. */
  void turnedAway(Job job, Instant now) {
    JobSpec spec = job.spec;
    if (!spec.isMultiTaskGang() || spec.spreadAcrossZones() || !isItsTurn(job)) {
      return;
    }
    List<Soon> first = first(job, now);
    if (first.isEmpty()) {
      return;
    }
    if (holder != job) {
      log.info("room is held for {} on {} machines", job, first.size());
      letGo();
    }
    holder = job;
    Instant start = now.plusMillis((long) (first.get(first.size() - 1).seconds * 1000));
    for (Soon each : first) {
      Machine machine = each.machine;
      boolean others =
          machine.reservedFor != null
              && machine.reservedFor != job
              && machine.reservationExpiresAt.isAfter(now);
      if (!others) {
        Instant started = machine.reservedFor == job ? machine.reservationStartsAt : null;
        cluster.reserve(machine, job, now.plus(PreemptionPolicy.RESERVATION));
        // A wrong estimate must not put the start off again and again.
        machine.reservationStartsAt = started != null && started.isBefore(start) ? started : start;
      }
    }
  }

  private boolean isItsTurn(Job job) {
    if (job.failing || job.readyAt.plus(LONG_WAIT).isAfter(eventLoop.wallClock())) {
      return false;
    }
    boolean free = holder == null || !holder.isActive() || holder.pending.isEmpty();
    return free
        || holder == job
        || job.priorityClass().isAbove(holder.priorityClass())
        || (job.priorityClass() == holder.priorityClass()
            && job.acceptedAt.isBefore(holder.acceptedAt));
  }

  private void letGo() {
    if (holder != null) {
      List.copyOf(cluster.reservedFor(holder)).forEach(cluster::unreserve);
    }
  }

  /**
   * As many machines as the gang has tasks, of one zone if they must be together; empty if too few.
   */
  private List<Soon> first(Job job, Instant now) {
    JobSpec spec = job.spec;
    Map<String, List<Soon>> zones = new LinkedHashMap<>();
    for (Machine machine : cluster.machines()) {
      if (!machine.isSchedulable() || !Placer.isAllowed(job, machine)) {
        continue;
      }
      double seconds = untilRoom(spec, machine, now);
      if (seconds < Double.MAX_VALUE) {
        zones
            .computeIfAbsent(spec.sameZone() ? machine.zone : "", z -> new ArrayList<>())
            .add(new Soon(machine, seconds));
      }
    }
    List<Soon> best = List.of();
    for (List<Soon> there : zones.values()) {
      if (there.size() >= spec.tasks()) {
        there.sort(Comparator.comparingDouble(Soon::seconds));
        List<Soon> first = there.subList(0, spec.tasks());
        if (best.isEmpty() || last(first) < last(best)) {
          best = first;
        }
      }
    }
    return best;
  }

  private static double last(List<Soon> soon) {
    return soon.get(soon.size() - 1).seconds;
  }

  private static double untilRoom(JobSpec spec, Machine machine, Instant now) {
    Resources room = machine.free();
    if (spec.resourcesPerTask().fitsIn(room)) {
      return 0;
    }
    List<Attempt> ending = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.holdsCapacity()
          && (attempt.job.spec.kind() != JobKind.SERVICE || !attempt.isWanted())) {
        ending.add(attempt);
      }
    }
    ending.sort(Comparator.comparingDouble(attempt -> left(attempt, now)));
    for (Attempt attempt : ending) {
      room = room.plus(attempt.job.spec.resourcesPerTask());
      if (spec.resourcesPerTask().fitsIn(room)) {
        return left(attempt, now);
      }
    }
    return Double.MAX_VALUE;
  }

  private static double left(Attempt attempt, Instant now) {
    if (!attempt.isWanted()) {
      return 0;
    }
    Duration estimate = attempt.job.spec.estimatedRunTime();
    Instant from = attempt.runningSince == null ? now : attempt.runningSince;
    Duration left = estimate.minus(Duration.between(from, now));
    Duration least = estimate.dividedBy(OVERRUN_PART);
    return (left.compareTo(least) > 0 ? left : least).toMillis() / 1000.0;
  }
}
