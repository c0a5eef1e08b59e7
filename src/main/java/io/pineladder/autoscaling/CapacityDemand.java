package io.pineladder.autoscaling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.queue.QueueEntry;
import io.pineladder.queue.SchedulingCheck;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * What machines the jobs that found no room want, as seen at one moment. Each takes what it lacks
 * from the machines that boot, then from the cheapest kind for it that can be had. Jobs that can
 * wait do so for room that comes free: an ordinary machine, several times as dear, is worth its
 * price only if they would be late without it. Found on galleharbour, where most of the money went
 * to ordinary machines for work that had minutes left.
 */
final class CapacityDemand {
  /** The last task of an array takes so much longer than the estimate, as a part of it. */
  private static final double LAST_TASK_MARGIN = 0.25;

  /** A kind of machine that can be rented, by the name of its type, since prices move. */
  record MachineKind(String type, boolean spot) {}

  /** Machines wanted of a kind, and for which zone if their jobs have one. */
  static final class MissingMachines {
    double machines;
    final Map<String, Double> byZone = new HashMap<>();

    String zoneInGreatestNeed() {
      return byZone.entrySet().stream()
          .max(Map.Entry.comparingByValue())
          .map(Map.Entry::getKey)
          .orElse(null);
    }
  }

  /** What waits of one job: tasks that found no room, within what its team may use. */
  private record PendingJob(Job job, int tasks, Instant dueAt) {}

  private final ClusterState cluster;
  private final Instant now;
  private final Instant wallClock;
  private final boolean mayDeferArrays;
  private final BiFunction<Boolean, JobSpec, MachineType> cheapestAvailable;
  private final Function<JobSpec, MachineType> cheapestListed;
  private final ToDoubleFunction<PriorityClass> arrivalRate;
  private final Map<MachineKind, Double> bootingMachines = new HashMap<>();
  private final Map<MachineKind, MissingMachines> missing = new LinkedHashMap<>();

  /** Ordinary machines that work, and only for jobs that could wait. */
  private final List<Machine> deferrableOnly = new ArrayList<>();

  private double capacity;
  private final BatchBacklog backlog;

  /** The first job that an ordinary machine would help, or null. */
  private JobSpec criticalJob;

  /**
   * At list prices an hour: what is wanted, boots, and is free; of ordinary machines, then of spot
   * ones.
   */
  private final double[] wantedValue = new double[2];

  private final double[] bootingValue = new double[2];
  private final double[] freeValue = new double[2];

  /**
   * A look at the cluster.
   *
   * @param freePart the part of a machine that is free
   * @param arraysWait whether arrays that can wait do; not where work comes that may use ordinary
   *     machines only: what arrays hold of those is the room that it finds at once, by stopping
   *     them
   * @param arriving the work above a rank, or all if it is null, that comes each second and can
   *     wait
   * @param best the type that would serve a job best if all could be had; what waits counts whether
   *     or not machines are refused at the moment, or those it needs would be given up with each
   *     refusal
   * @param cheapest the type that serves a job best of those that can be had, spot machines or not;
   *     null for none
   */
  CapacityDemand(
      ClusterState cluster,
      Scheduler scheduler,
      BootTimeEstimator bootTimes,
      ToDoubleFunction<Machine> freeShare,
      Instant now,
      Instant wallClock,
      boolean mayDeferArrays,
      ToDoubleFunction<PriorityClass> arrivalRate,
      Function<JobSpec, MachineType> cheapestListed,
      BiFunction<Boolean, JobSpec, MachineType> cheapestAvailable) {
    this.cluster = cluster;
    this.now = now;
    this.wallClock = wallClock;
    this.mayDeferArrays = mayDeferArrays;
    this.cheapestListed = cheapestListed;
    this.cheapestAvailable = cheapestAvailable;
    this.arrivalRate = arrivalRate;
    for (Machine machine : cluster.machines()) {
      countMachine(machine, bootTimes, freeShare);
    }
    backlog = new BatchBacklog(capacity);
    pendingJobs(scheduler).forEach(this::addDemand);
  }

  /** What a task takes of such a machine, at its list price an hour. */
  static double taskValue(JobSpec spec, MachineType type) {
    return type.onDemandPrice()
        / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
  }

  /** Machines wanted of each kind by jobs that cannot wait, or of spot machines. */
  Map<MachineKind, MissingMachines> missing() {
    return missing;
  }

  /** What is wanted, at list prices an hour, whatever boots. */
  double wantedValue(boolean spot) {
    return wantedValue[market(spot)];
  }

  /** What boots, at list prices an hour. */
  double bootingValue(boolean spot) {
    return bootingValue[market(spot)];
  }

  /** What is free on machines that take work, at list prices an hour. */
  double freeValue(boolean spot) {
    return freeValue[market(spot)];
  }

  /**
   * What is to be added in ordinary machines for arrays that would be late, at list prices an hour.
   * Spot machines that are asked for now may well be had: what is refused of them lacks the next
   * time.
   */
  double missingForDeferrable() {
    double requestedSpotValue = 0;
    for (Map.Entry<MachineKind, MissingMachines> want : missing.entrySet()) {
      double price = cluster.type(want.getKey().type()).onDemandPrice();
      requestedSpotValue += want.getKey().spot() ? want.getValue().machines * price : 0;
    }
    return Math.max(0, backlog.missingCapacity() - requestedSpotValue);
  }

  JobSpec criticalJob() {
    return criticalJob;
  }

  /**
   * Ordinary machines that serve only arrays that can wait, and how much of them is needed in time.
   */
  List<Machine> deferrableOnly() {
    return deferrableOnly;
  }

  double neededForDeferrable(double deferrableValue) {
    return backlog.neededCapacity(deferrableValue, arrivalRate.applyAsDouble(null));
  }

  // ---- what there is

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }

  private static int market(boolean spot) {
    return spot ? 1 : 0;
  }

  private void countMachine(
      Machine machine, BootTimeEstimator bootTimes, ToDoubleFunction<Machine> freeShare) {
    double price = machine.type.onDemandPrice();
    switch (machine.state()) {
      case EXPECTED, HEARD -> {
        double weight = bootTimes.weight(machine, now);
        bootingMachines.merge(
            new MachineKind(machine.type.name(), machine.spot), weight, Double::sum);
        bootingValue[market(machine.spot)] += weight * price;
        capacity += weight * price;
      }
      case CONFIRMED -> {
        if (machine.isSchedulable()) {
          double free = freeShare.applyAsDouble(machine);
          freeValue[market(machine.spot)] += free * price;
          capacity += price;
          countUndeferrableWork(machine, free < 1);
        }
      }
      default -> {}
    }
  }

  /**
   * Takes what cannot wait from the capacity.
   *
   * @param works whether anything is there that it is worth to; an idle one is kept for its images
   *     as long as that is worth it
   */
  private void countUndeferrableWork(Machine machine, boolean isBusy) {
    boolean onlyDeferrable = isBusy && !machine.spot;
    for (Attempt attempt : machine.attempts.values()) {
      if (!attempt.holdsCapacity()) {
        continue;
      }
      if (!isDeferrable(attempt.job)) {
        onlyDeferrable = false;
        capacity -= taskValue(attempt.job.spec, machine.type);
      }
    }
    if (onlyDeferrable) {
      deferrableOnly.add(machine);
    }
  }

  private boolean isDeferrable(Job job) {
    return mayDeferArrays && cluster.canWaitForCapacity(job);
  }

  // ---- what waits

  /** What found no room, the first by priority first. */
  private List<PendingJob> pendingJobs(Scheduler scheduler) {
    Map<String, Resources> planned = new HashMap<>();
    List<PendingJob> pendingJobs = new ArrayList<>();
    for (QueueEntry entry : scheduler.pendingEntries()) {
      Job job = entry.job;
      JobSpec spec = job.spec;
      boolean lacksCapacity =
          entry.rejectedBy() != null
              && switch (entry.rejectedBy()) {
                case FIT, PLACE, SPREAD, TOGETHER -> true;
                case TEAM_LIMIT, PREDECESSOR, FAILING, PACE, DEPENDENCY -> false;
              };
      if (!lacksCapacity || entry.place() == QueueEntry.Place.BACKOFF_ERROR) {
        continue;
      }
      if (job.failing && entry.rejectedBy() != SchedulingCheck.PLACE) {
        // It is tried where there happens to be room.
        continue;
      }
      Team team = cluster.team(spec.team());
      Resources used = cluster.usage(spec.team());
      Resources plannedBefore = planned.getOrDefault(spec.team(), Resources.ZERO);
      int count = job.pending.cardinality();
      while (count > 0
          && !team.allows(used.plus(plannedBefore).plus(spec.resourcesPerTask().times(count)))) {
        count = count > 64 ? count / 2 : count - 1;
      }
      planned.merge(spec.team(), spec.resourcesPerTask().times(count), Resources::plus);
      if (count > 0) {
        Instant dueAt = job.acceptedAt.plus(cluster.startAllowance(job, wallClock));
        pendingJobs.add(new PendingJob(job, count, dueAt));
      }
    }
    pendingJobs.sort(
        Comparator.<PendingJob, PriorityClass>comparing(w -> w.job.priorityClass())
            .thenComparing(PendingJob::dueAt));
    return pendingJobs;
  }

  private void addDemand(PendingJob pendingJob) {
    Job job = pendingJob.job;
    JobSpec spec = job.spec;
    MachineType likely = cheapestListed.apply(spec);
    if (likely == null) {
      return;
    }
    MachineType type = cheapestAvailable.apply(false, spec);
    boolean deferrable = isDeferrable(job);
    // Those that can wait would all come to avoid them while they do so, and have dear machines at
    // once.
    boolean avoidsSpot = type != null && !deferrable && cluster.avoidsSpot(job, wallClock);
    boolean maySpot = spec.spotAllowed() && !avoidsSpot;
    boolean idleCapacityOnly = cluster.runsOnIdleCapacityOnly(job, wallClock);
    if (deferrable && !idleCapacityOnly) {
      addToBacklog(pendingJob, likely);
    }
    double tasks = pendingJob.tasks;
    for (MachineType each : cluster.types()) {
      if (ScaleOut.isUsable(spec, each)) {
        wantedValue[market(maySpot)] += each == likely ? tasks * taskValue(spec, each) : 0;
        tasks -= maySpot ? takeBooting(new MachineKind(each.name(), true), spec, each, tasks) : 0;
        tasks -= takeBooting(new MachineKind(each.name(), false), spec, each, tasks);
      }
    }
    if (tasks <= 0) {
      return;
    }
    MachineType spot = maySpot ? cheapestAvailable.apply(true, spec) : null;
    if (spot != null) {
      addMissing(new MachineKind(spot.name(), true), spec, spot, tasks);
    } else if (type != null && (!maySpot || (!idleCapacityOnly && !deferrable))) {
      addMissing(new MachineKind(type.name(), false), spec, type, tasks);
    }
  }

  /** Gives the job what boots of that kind; how many of its tasks that is for. */
  private double takeBooting(MachineKind kind, JobSpec spec, MachineType type, double tasks) {
    double booting = bootingMachines.getOrDefault(kind, 0.0);
    double machinesPerTask =
        1.0 / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
    double taken = Math.min(tasks, booting / machinesPerTask);
    bootingMachines.computeIfPresent(kind, (k, machines) -> machines - taken * machinesPerTask);
    return taken;
  }

  private void addMissing(MachineKind kind, JobSpec spec, MachineType type, double tasks) {
    double machines = tasks / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
    MissingMachines want = missing.computeIfAbsent(kind, k -> new MissingMachines());
    want.machines += machines;
    if (spec.zone() != null) {
      want.byZone.merge(spec.zone(), machines, Double::sum);
    }
  }

  private void addToBacklog(PendingJob pendingJob, MachineType type) {
    JobSpec spec = pendingJob.job.spec;
    Duration startDelay = cluster.soonestStartElsewhere(spec);
    // For an objective that is missed soon after another machine is ready it is too late to rent.
    Duration allowance =
        cluster.startAllowance(pendingJob.job, wallClock.plus(startDelay.multipliedBy(2)));
    Duration slack = Duration.between(wallClock, pendingJob.job.acceptedAt.plus(allowance));
    double runSeconds = seconds(spec.estimatedRunTime());
    // What is late for all of them must not wait for ever.
    double secondsLeft =
        Math.max(seconds(slack) - LAST_TASK_MARGIN * runSeconds, 2 * seconds(startDelay));
    double missingBefore = backlog.missingCapacity();
    backlog.add(
        pendingJob.tasks * taskValue(spec, type),
        runSeconds,
        secondsLeft,
        seconds(startDelay),
        arrivalRate.applyAsDouble(pendingJob.job.priorityClass()));
    if (criticalJob == null && backlog.missingCapacity() > missingBefore) {
      criticalJob = spec;
    }
  }
}
