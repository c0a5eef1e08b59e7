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

/**
 * Which machines the pending jobs without capacity need, at one moment. Each job takes what it
 * lacks from the machines that boot, then from the cheapest kind for it that is available.
 * Deferrable jobs wait for capacity that comes free: an on-demand machine, several times as dear,
 * is worth its price only if they would be late without it. Found on galleharbour, where most of
 * the money went to on-demand machines for work that had minutes left.
 *
 * <p>A value is the list price an hour of a share of machines, so that all types compare.
 */
final class CapacityDemand {
  /** The last task of an array takes this much longer than the estimate, as a share of it. */
  private static final double LAST_TASK_MARGIN = 0.25;

  /** A kind of machine that can be rented, by the name of its type, since prices change. */
  record MachineKind(String type, boolean spot) {}

  /** Machines missing of a kind, and in which zone if their jobs are restricted to one. */
  static final class MissingMachines {
    double machines;
    final Map<String, Double> byZone = new HashMap<>();

    /** The zone with the most missing machines, or null if no job is restricted to one. */
    String zoneInGreatestNeed() {
      return byZone.entrySet().stream()
          .max(Map.Entry.comparingByValue())
          .map(Map.Entry::getKey)
          .orElse(null);
    }
  }

  /**
   * The pending tasks of one job that lack capacity.
   *
   * @param tasks their number, within what the team may use
   * @param dueAt when they should have started
   */
  private record PendingJob(Job job, int tasks, Instant dueAt) {}

  private final ClusterState cluster;
  private final CapacityEstimates estimates;
  private final MachineTypeSelector types;
  private final Instant now;
  private final Instant wallClock;

  /**
   * Whether arrays that can wait are made to. Not where work arrives that may use on-demand
   * machines only: what arrays hold of those is the capacity that it gets at once, by preempting
   * them.
   */
  private final boolean mayDeferArrays;

  private final Map<MachineKind, Double> bootingMachines = new HashMap<>();
  private final Map<MachineKind, MissingMachines> missing = new LinkedHashMap<>();
  private final List<Machine> deferrableOnly = new ArrayList<>();
  private final BatchBacklog backlog;

  /** The value of the machines that are up or boot, less what tasks that cannot wait take. */
  private double capacity;

  /** The first job that an on-demand machine would help, or null. */
  private JobSpec criticalJob;

  /** Values of on-demand machines, then of spot machines. */
  private final double[] wantedValue = new double[2];

  private final double[] bootingValue = new double[2];
  private final double[] freeValue = new double[2];

  /**
   * Takes stock of the machines and the pending jobs.
   *
   * @param now the event loop's time
   * @param wallClock the time of day, to compare with times of acceptance
   */
  CapacityDemand(
      ClusterState cluster,
      Scheduler scheduler,
      CapacityEstimates estimates,
      MachineTypeSelector types,
      Instant now,
      Instant wallClock) {
    this.cluster = cluster;
    this.estimates = estimates;
    this.types = types;
    this.now = now;
    this.wallClock = wallClock;
    this.mayDeferArrays = estimates.arrivals().mayDeferArrays();
    for (Machine machine : cluster.machines()) {
      countMachine(machine);
    }
    backlog = new BatchBacklog(capacity);
    pendingJobs(scheduler).forEach(this::addDemand);
  }

  /** The value of what one task takes of a machine of the type. */
  static double taskValue(JobSpec spec, MachineType type) {
    return type.onDemandPrice()
        / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
  }

  /** Machines missing of each kind: on-demand ones for jobs that cannot wait, or spot machines. */
  Map<MachineKind, MissingMachines> missing() {
    return missing;
  }

  /** Adds missing machines of a kind that are for no present job. */
  void addMissing(MachineType type, boolean spot, double machines) {
    missing.computeIfAbsent(new MachineKind(type.name(), spot), k -> new MissingMachines())
            .machines +=
        machines;
  }

  /** The value of all that the pending jobs need, whatever boots. */
  double wantedValue(boolean spot) {
    return wantedValue[market(spot)];
  }

  /** The value of the machines that boot. */
  double bootingValue(boolean spot) {
    return bootingValue[market(spot)];
  }

  /** The value of what is free on schedulable machines. */
  double freeValue(boolean spot) {
    return freeValue[market(spot)];
  }

  /**
   * The value of the on-demand machines to add for arrays that would be late. Spot machines that
   * are requested now may well be granted: what is refused of them is missing the next time.
   */
  double missingForDeferrable() {
    double requestedSpotValue = 0;
    for (Map.Entry<MachineKind, MissingMachines> missingOfKind : missing.entrySet()) {
      double price = cluster.type(missingOfKind.getKey().type()).onDemandPrice();
      requestedSpotValue +=
          missingOfKind.getKey().spot() ? missingOfKind.getValue().machines * price : 0;
    }
    return Math.max(0, backlog.missingCapacity() - requestedSpotValue);
  }

  /** The first array that would be late without another on-demand machine, or null. */
  JobSpec criticalJob() {
    return criticalJob;
  }

  /** Busy on-demand machines with deferrable tasks only; the list may be sorted. */
  List<Machine> deferrableOnly() {
    return deferrableOnly;
  }

  /**
   * How much of {@link #deferrableOnly} is needed for all arrays to start in time.
   *
   * @param deferrableValue the value of those machines
   */
  double neededForDeferrable(double deferrableValue) {
    return backlog.neededCapacity(deferrableValue, estimates.arrivals().deferrableWorkRate(null));
  }

  // ---- machines

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }

  private static int market(boolean spot) {
    return spot ? 1 : 0;
  }

  private void countMachine(Machine machine) {
    double price = machine.type.onDemandPrice();
    switch (machine.state()) {
      case EXPECTED, HEARD -> {
        double weight = estimates.bootTimes().weight(machine, now);
        bootingMachines.merge(
            new MachineKind(machine.type.name(), machine.spot), weight, Double::sum);
        bootingValue[market(machine.spot)] += weight * price;
        capacity += weight * price;
      }
      case CONFIRMED -> {
        if (machine.isSchedulable()) {
          double free = estimates.utilization().freeShare(machine);
          freeValue[market(machine.spot)] += free * price;
          capacity += price;
          countUndeferrableWork(machine, free < 1);
        }
      }
      default -> {}
    }
  }

  /**
   * Subtracts the tasks that cannot wait from the capacity.
   *
   * @param isBusy whether tasks run there that the machine is worth keeping for; an idle one is
   *     kept for its images as long as that is worth it
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

  // ---- pending jobs

  /** The jobs that lack capacity, by priority class and then by the time they are due. */
  private List<PendingJob> pendingJobs(Scheduler scheduler) {
    Map<String, Resources> planned = new HashMap<>();
    List<PendingJob> pendingJobs = new ArrayList<>();
    for (QueueEntry entry : scheduler.pendingEntries()) {
      if (!lacksCapacity(entry)) {
        continue;
      }
      Job job = entry.job;
      JobSpec spec = job.spec;
      Resources plannedBefore = planned.getOrDefault(spec.team(), Resources.ZERO);
      int count = tasksWithinLimit(job, plannedBefore);
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

  private static boolean lacksCapacity(QueueEntry entry) {
    boolean rejectedForCapacity =
        entry.rejectedBy() != null
            && switch (entry.rejectedBy()) {
              case FIT, PLACE, SPREAD, TOGETHER -> true;
              case TEAM_LIMIT, PREDECESSOR, FAILING, PACE, DEPENDENCY -> false;
            };
    if (!rejectedForCapacity || entry.state() == QueueEntry.State.BACKOFF_ERROR) {
      return false;
    }
    // A failing job is tried only where capacity happens to be free.
    return !entry.job.failing || entry.rejectedBy() == SchedulingCheck.PLACE;
  }

  /** How many of the job's pending tasks the team may use capacity for, beside what is planned. */
  private int tasksWithinLimit(Job job, Resources plannedBefore) {
    JobSpec spec = job.spec;
    Team team = cluster.team(spec.team());
    Resources used = cluster.usage(spec.team());
    int count = job.pendingTasks.cardinality();
    while (count > 0
        && !team.allows(used.plus(plannedBefore).plus(spec.resourcesPerTask().times(count)))) {
      count = count > 64 ? count / 2 : count - 1;
    }
    return count;
  }

  // The machine types are those of the settings, one object each.
  @SuppressWarnings("ReferenceEquality")
  private void addDemand(PendingJob pendingJob) {
    Job job = pendingJob.job;
    JobSpec spec = job.spec;
    // What is pending counts whether or not machines are refused at the moment, or the machines it
    // needs would be given up with each refusal.
    MachineType listed = types.cheapestListed(spec);
    if (listed == null) {
      return;
    }
    MachineType onDemand = types.cheapestAvailable(false, spec);
    boolean deferrable = isDeferrable(job);
    // Deferrable jobs would all come to avoid spot machines while they wait, and then have dear
    // machines at once.
    boolean avoidsSpot = onDemand != null && !deferrable && cluster.avoidsSpot(job, wallClock);
    boolean maySpot = spec.spotAllowed() && !avoidsSpot;
    boolean idleCapacityOnly = cluster.runsOnIdleCapacityOnly(job, wallClock);
    if (deferrable && !idleCapacityOnly) {
      addToBacklog(pendingJob, listed);
    }
    double tasks = pendingJob.tasks;
    for (MachineType type : cluster.types()) {
      if (MachineTypeSelector.isUsable(spec, type)) {
        wantedValue[market(maySpot)] += type == listed ? tasks * taskValue(spec, type) : 0;
        tasks -= maySpot ? takeBooting(new MachineKind(type.name(), true), spec, type, tasks) : 0;
        tasks -= takeBooting(new MachineKind(type.name(), false), spec, type, tasks);
      }
    }
    if (tasks <= 0) {
      return;
    }
    MachineType spot = maySpot ? types.cheapestAvailable(true, spec) : null;
    if (spot != null) {
      addMissing(new MachineKind(spot.name(), true), spec, spot, tasks);
    } else if (onDemand != null && (!maySpot || (!idleCapacityOnly && !deferrable))) {
      addMissing(new MachineKind(onDemand.name(), false), spec, onDemand, tasks);
    }
  }

  /**
   * Assigns booting machines of the kind to the job.
   *
   * @return the number of its tasks that they suffice for
   */
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
    MissingMachines missingOfKind = missing.computeIfAbsent(kind, k -> new MissingMachines());
    missingOfKind.machines += machines;
    if (spec.zone() != null) {
      missingOfKind.byZone.merge(spec.zone(), machines, Double::sum);
    }
  }

  private void addToBacklog(PendingJob pendingJob, MachineType type) {
    JobSpec spec = pendingJob.job.spec;
    Duration startDelay = cluster.minProvisioningTime(spec);
    // For an objective that is missed soon after another machine is ready it is too late to rent.
    Duration allowance =
        cluster.startAllowance(pendingJob.job, wallClock.plus(startDelay.multipliedBy(2)));
    Duration slack = Duration.between(wallClock, pendingJob.job.acceptedAt.plus(allowance));
    double runSeconds = seconds(spec.estimatedRunTime());
    // What is late by all objectives must not wait for ever.
    double secondsLeft =
        Math.max(seconds(slack) - LAST_TASK_MARGIN * runSeconds, 2 * seconds(startDelay));
    double missingBefore = backlog.missingCapacity();
    backlog.add(
        pendingJob.tasks * taskValue(spec, type),
        runSeconds,
        secondsLeft,
        seconds(startDelay),
        estimates.arrivals().deferrableWorkRate(pendingJob.job.priorityClass()));
    if (criticalJob == null && backlog.missingCapacity() > missingBefore) {
      criticalJob = spec;
    }
  }
}
