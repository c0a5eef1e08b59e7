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
 * Decides when work is preempted: for a job that finds no capacity, or none where its image is in
 * time. Also moves tasks that still fetch their image to machines that have it.
 */
final class PreemptionPolicy {
  private static final Logger log = LoggerFactory.getLogger(PreemptionPolicy.class);

  /** A fetch with more time remaining is worth a new start where the image is cached. */
  private static final Duration MIN_REMAINING_FETCH_TO_MOVE = Duration.ofSeconds(6);

  /**
   * Fetching tasks of one image, the latest first, that are considered for one machine at the most.
   */
  private static final int MAX_FETCHES_EXAMINED_PER_IMAGE = 64;

  /** For how long capacity that was preempted or freed for a job is reserved for it. */
  static final Duration RESERVATION_DURATION = Duration.ofSeconds(20);

  /** Scans of the whole fleet for victims may take one part in so many of the time. */
  private static final int SCAN_TIME_DIVISOR = 5;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final VictimSelector victimSelector;
  private final Consumer<Attempt> preempt;

  /** When the fleet may next be scanned for victims. */
  private Instant nextScanAt = Instant.MIN;

  /**
   * A policy without any preemption yet.
   *
   * @param preempt stops an attempt to free its capacity
   */
  PreemptionPolicy(ClusterState cluster, EventLoop eventLoop, Consumer<Attempt> preempt) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.victimSelector = new VictimSelector(cluster, eventLoop);
    this.preempt = preempt;
  }

  /**
   * Preempts work for as many of the job's tasks as still lack capacity, in one scan of the fleet,
   * which no index can replace. Scans take a bounded part of the time, and the first jobs by
   * priority get them.
   *
   * @param maxFetchSeconds only machines on which the job's image is cached by then
   * @return whether any capacity is being freed
   */
  boolean preemptFor(Job job, double maxFetchSeconds, Instant now) {
    int tasksWithoutCapacity =
        job.pendingTasks.cardinality() - victimSelector.countMachinesBeingFreed(job, now);
    Instant scanStartedAt = eventLoop.now();
    if (tasksWithoutCapacity <= 0
        || nextScanAt.isAfter(scanStartedAt)
        || !cluster.mayPreemptAny(job)) {
      return false;
    }
    boolean isGang = job.spec.isMultiTaskGang();
    if (isGang && cluster.reservedFor(job).stream().anyMatch(m -> m.isReservedFor(job, now))) {
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
      log.debug("Preempting: job={} victims={} machine={}", job, plan.victims(), machine);
      cluster.reserve(machine, job, now.plus(RESERVATION_DURATION));
      plan.victims().forEach(preempt);
    }
    return !plans.isEmpty();
  }

  /**
   * Whether the job cannot wait for other capacity. The tasks of an array can: capacity is freed
   * all the time, and another machine boots. So an array with more start slack than that preempts
   * only jobs without an objective. Found on galleharbour, where two of five tasks of low priority
   * were preempted, many of them several times, for jobs that had minutes left.
   */
  private boolean isUrgent(Job job) {
    if (job.spec.kind() != JobKind.ARRAY || cluster.isGuaranteed(job)) {
      return true;
    }
    Duration slack = cluster.startSlack(job, eventLoop.wallClock());
    return slack.compareTo(cluster.minProvisioningTime(job.spec)) < 0;
  }

  /**
   * Whether the job waits for a machine that has its image, although another has capacity: fetching
   * the image there would make the task late, and work of lower priority is preempted where the
   * image is.
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
   * Moves tasks whose fetch takes long yet to machines with freed capacity that have their image,
   * when no job wants that capacity. Such a task has done no work yet, so none is lost.
   *
   * @param freedMachines machines with freed capacity
   * @param stop stops an attempt at once
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
        log.debug("Moving a slow fetch: attempt={} machine={}", best, machine);
        freeCapacity = freeCapacity.minus(best.job.spec.resourcesPerTask());
        cluster.reserve(machine, best.job, now.plus(RESERVATION_DURATION));
        stop.accept(best);
      }
    }
  }

  /** The fetching attempt that would gain most by a start on this machine instead, or null. */
  private Attempt slowestMovableFetch(Machine machine, Resources freeCapacity, Instant now) {
    Attempt best = null;
    Instant latestImage = now.plus(MIN_REMAINING_FETCH_TO_MOVE);
    for (String image : machine.images.keySet()) {
      int examined = 0;
      for (Attempt attempt : cluster.fetching(image)) {
        if (!attempt.imageReadyAt.isAfter(latestImage)
            || ++examined > MAX_FETCHES_EXAMINED_PER_IMAGE) {
          // All that follow have their image sooner.
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
