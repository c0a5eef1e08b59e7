package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;
import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room where there is none, or where it would come too late: work of less weight makes way.
 */
final class PreemptionPolicy {
  private static final Logger log = LoggerFactory.getLogger(PreemptionPolicy.class);

  /** A fetch that takes longer yet is worth a new start where the image is. */
  private static final Duration MIN_REMAINING_FETCH_TO_MOVE = Duration.ofSeconds(6);

  /**
   * Tasks that fetch one image of which the last ones are looked at for one machine at the most.
   */
  private static final int MAX_FETCHES_EXAMINED_PER_IMAGE = 64;

  /** Room that others made way for is kept so long. */
  static final Duration RESERVATION_DURATION = Duration.ofSeconds(20);

  /** The part of the time that looks at the whole fleet for work to displace may take. */
  private static final int SCAN_TIME_DIVISOR = 5;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final VictimSelector victimSelector;
  private final Consumer<Attempt> preempt;

  /** When the fleet may next be looked over for work to displace. */
  private Instant nextScanAt = Instant.MIN;

  /**
   * A maker of room.
   *
   * @param displace stops an attempt to free its room
   */
  PreemptionPolicy(ClusterState cluster, EventLoop eventLoop, Consumer<Attempt> preempt) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.victimSelector = new VictimSelector(cluster, eventLoop);
    this.preempt = preempt;
  }

  /**
   * Stops work for as many of the job's tasks as still lack a place, in one look at the fleet,
   * which no index answers. Looks take a bounded part of the time, and the first by priority get
   * them.
   */
  boolean preemptFor(Job job, double maxFetchSeconds, Instant now) {
    int tasksWithoutCapacity =
        job.pending.cardinality() - victimSelector.countMachinesBeingFreed(job, now);
    Instant scanStartedAt = eventLoop.now();
    if (tasksWithoutCapacity <= 0
        || nextScanAt.isAfter(scanStartedAt)
        || !cluster.mayPreemptAny(job)) {
      return false;
    }
    boolean isGang = job.spec.isMultiTaskGang();
    if (isGang
        && cluster.reservedFor(job).stream().anyMatch(m -> m.reservationExpiresAt.isAfter(now))) {
      return false;
    }
    List<VictimSelector.PreemptionPlan> plans =
        isGang
            ? victimSelector.selectForGang(job, now)
            : victimSelector.selectForTasks(
                job, tasksWithoutCapacity, maxFetchSeconds, isUrgent(job), now);
    Instant scanEndedAt = eventLoop.now();
    nextScanAt =
        scanEndedAt.plus(
            Duration.between(scanStartedAt, scanEndedAt).multipliedBy(SCAN_TIME_DIVISOR - 1));
    for (VictimSelector.PreemptionPlan plan : plans) {
      Machine machine = plan.machine();
      log.debug("{} displaces {} on {}", job, plan.victims(), machine);
      cluster.reserve(machine, job, now.plus(RESERVATION_DURATION));
      plan.victims().forEach(preempt);
    }
    return !plans.isEmpty();
  }

  /**
   * Whether the job cannot wait until other room is had. The tasks of an array can: room comes free
   * all the time, and another machine boots. So those that have longer than that until they should
   * start stop only work of which nothing is expected. Found on galleharbour, where two of five
   * tasks of low rank were stopped, many of them several times, for jobs that had minutes left.
   */
  private boolean isUrgent(Job job) {
    if (job.spec.kind() != JobKind.ARRAY || cluster.isGuaranteed(job)) {
      return true;
    }
    Duration slack = cluster.startSlack(job, eventLoop.wallClock());
    return slack.compareTo(cluster.soonestStartElsewhere(job.spec)) < 0;
  }

  /**
   * There is room, but fetching the image there would make the task late, while work of lower
   * priority sits where the image is: then that work makes way, and the entry waits for it.
   */
  boolean waitsForCachedImage(
      Job job, Machine machineWithoutImage, Duration allowance, Instant now) {
    double fetchSeconds = Placer.fetchSeconds(job, machineWithoutImage);
    Duration remaining = Duration.between(eventLoop.wallClock(), job.acceptedAt.plus(allowance));
    double remainingSeconds = remaining.toMillis() / 1000.0;
    if (job.failing
        || fetchSeconds < 1
        || remainingSeconds < 0
        || fetchSeconds < remainingSeconds) {
      return false;
    }
    return victimSelector.countMachinesBeingFreed(job, now) > 0
        || preemptFor(job, remainingSeconds, now);
  }

  /**
   * Nothing waits, and there is room where an image is that some task is still fetching elsewhere
   * for a good while: that task moves there. It has done no work yet, so nothing is lost.
   *
   * @param roomy machines on which room came free
   * @param stop ends an attempt at once
   */
  void moveSlowFetches(Iterable<Machine> freedMachines, Instant now, Consumer<Attempt> stop) {
    for (Machine machine : freedMachines) {
      if (!machine.isSchedulable()) {
        continue;
      }
      Resources freeCapacity = machine.free();
      while (true) {
        Attempt best = slowestMovableFetch(machine, freeCapacity, now);
        if (best == null) {
          break;
        }
        log.debug("{} moves to {}, which has its image", best, machine);
        freeCapacity = freeCapacity.minus(best.job.spec.resourcesPerTask());
        cluster.reserve(machine, best.job, now.plus(RESERVATION_DURATION));
        stop.accept(best);
      }
    }
  }

  /** The fetching attempt that would gain most by starting on this machine instead, or null. */
  private Attempt slowestMovableFetch(Machine machine, Resources freeCapacity, Instant now) {
    Attempt best = null;
    Instant latestImage = now.plus(MIN_REMAINING_FETCH_TO_MOVE);
    for (String image : machine.images.keySet()) {
      int examined = 0;
      for (Attempt attempt : cluster.fetching(image)) {
        if (!attempt.imageReadyAt.isAfter(latestImage)
            || ++examined > MAX_FETCHES_EXAMINED_PER_IMAGE) {
          // Whatever follows is ready sooner yet.
          break;
        }
        Job job = attempt.job;
        if (attempt.machine != machine
            && attempt.isWanted()
            && (job.spec.kind() != JobKind.GANG || job.spec.tasks() == 1)
            && job.spec.resourcesPerTask().fitsIn(freeCapacity)
            && job.spec.resourcesPerTask().fitsIn(Placer.availableCapacity(job, machine, now))
            && Placer.isAllowed(job, machine)
            && (Placer.allowsZoneOf(job, machine) || job.spec.tasks() == 1)) {
          best = attempt;
          latestImage = attempt.imageReadyAt;
        }
      }
    }
    return best;
  }
}
