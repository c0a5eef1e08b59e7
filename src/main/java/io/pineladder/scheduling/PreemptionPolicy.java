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
 * Decides when to preempt attempts: for a job without sufficient capacity, or without capacity
 * where its image is available in time. Also moves tasks that are still fetching their image to
 * machines that have it cached.
 */
final class PreemptionPolicy {
  private static final Logger log = LoggerFactory.getLogger(PreemptionPolicy.class);

  /**
   * The minimum remaining fetch time for which a task is moved to a machine that has the image
   * cached.
   */
  private static final Duration MIN_REMAINING_FETCH_TO_MOVE = Duration.ofSeconds(6);

  /**
   * The maximum number of fetching attempts per image that are considered for one machine, latest
   * first.
   */
  private static final int MAX_FETCHES_EXAMINED_PER_IMAGE = 64;

  /** How long capacity that was preempted or freed for a job stays reserved for it. */
  static final Duration RESERVATION_DURATION = Duration.ofSeconds(20);

  /**
   * Scans of all machines for victims may take at most 1 / {@code SCAN_TIME_DIVISOR} of the time.
   */
  private static final int SCAN_TIME_DIVISOR = 5;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final VictimSelector victimSelector;
  private final Consumer<Attempt> preempt;

  /** The earliest time of the next scan of all machines for victims. */
  private Instant nextScanAt = Instant.MIN;

  /**
   * Creates a policy without preemptions in progress.
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
   * Preempts attempts for those of the job's pending tasks that lack capacity, in one scan of all
   * machines. Scans are skipped while they exceed their share of the time. Jobs of high priority
   * are scheduled first and so get the scans.
   *
   * @param maxFetchSeconds only machines on which the image of the job is cached within this time
   *     are considered
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
      log.debug("Preempting attempts: job={} victims={} machine={}", job, plan.victims(), machine);
      cluster.reserve(machine, job, now.plus(RESERVATION_DURATION));
      plan.victims().forEach(preempt);
    }
    return !plans.isEmpty();
  }

  /**
   * Whether the job cannot wait for other capacity. An array with more start slack than the
   * provisioning time of a machine can wait, so it preempts only jobs without an objective. This
   * avoids repeated preemption of low-priority tasks for jobs that are not close to missing their
   * objective. On the galleharbour deployment two of five of these tasks had been preempted, many
   * of them several times, for jobs with minutes left.
   */
  private boolean isUrgent(Job job) {
    if (job.spec.kind() != JobKind.ARRAY || cluster.isGuaranteed(job)) {
      return true;
    }
    Duration slack = cluster.startSlack(job, eventLoop.wallClock());
    return slack.compareTo(cluster.minProvisioningTime(job.spec)) < 0;
  }

  /**
   * Whether the job should wait for a machine that has its image cached although another machine
   * has capacity: fetching the image on that machine would make the task late, and work of lower
   * priority is being preempted where the image is cached.
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
   * Moves tasks with a long remaining image fetch to machines that have freed capacity and the
   * image cached, if no pending job can use that capacity. A task that is fetching its image has
   * done no work yet, so none is lost.
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
        Attempt slowest = slowestMovableFetch(machine, freeCapacity, now);
        if (slowest == null) {
          break;
        }
        log.debug("Moving task with slow image fetch: attempt={} machine={}", slowest, machine);
        freeCapacity = freeCapacity.minus(slowest.job.spec.resourcesPerTask());
        cluster.reserve(machine, slowest.job, now.plus(RESERVATION_DURATION));
        stop.accept(slowest);
      }
    }
  }

  /**
   * Returns the fetching attempt that would gain most time by a start on this machine instead, or
   * null.
   */
  private Attempt slowestMovableFetch(Machine machine, Resources freeCapacity, Instant now) {
    Attempt best = null;
    Instant latestReadyAt = now.plus(MIN_REMAINING_FETCH_TO_MOVE);
    for (String image : machine.images.keySet()) {
      int examined = 0;
      for (Attempt attempt : cluster.fetchingAttempts(image)) {
        if (!attempt.imageReadyAt.isAfter(latestReadyAt)
            || ++examined > MAX_FETCHES_EXAMINED_PER_IMAGE) {
          // The remaining attempts have their image sooner.
          break;
        }
        Job job = attempt.job;
        if (attempt.machine != machine
            && attempt.isWanted()
            && (job.spec.kind() != JobKind.GANG || job.spec.tasks() == 1)
            && job.spec.resourcesPerTask().fitsIn(freeCapacity)
            && job.spec.resourcesPerTask().fitsIn(Placer.availableCapacity(job, machine, now))
            && Placer.isAllowed(job, machine)
            && (Placer.satisfiesZoneConstraints(job, machine) || job.spec.tasks() == 1)) {
          best = attempt;
          latestReadyAt = attempt.imageReadyAt;
        }
      }
    }
    return best;
  }
}
