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
 * The machines that the pending jobs without capacity need, at one point in time. Each job is
 * assigned booting machines first, then machines to rent of the cheapest available kind. Deferrable
 * jobs wait for capacity to become free, and on-demand machines, which cost several times as much,
 * are rented for them only if they would otherwise be late. Before, most of the money on the
 * galleharbour deployment went to on-demand machines for work that had minutes left.
 *
 * <p>Capacity is measured by its value, the list price per hour, so that all types are comparable.
 */
final class CapacityDemand {
  /** How much longer than estimated the longest task of an array runs, as a share. */
  private static final double STRAGGLER_MARGIN = 0.25;

  /** A kind of machine that can be rented; identified by type name because prices change. */
  record MachineKind(String type, boolean spot) {}

  /** The number of missing machines of a kind, and by zone for jobs restricted to one zone. */
  static final class MissingMachines {
    double machines;
    final Map<String, Double> byZone = new HashMap<>();

    /** The zone with the most missing machines, or null if no job is restricted to one. */
    String zoneWithMostMissing() {
      return byZone.entrySet().stream()
          .max(Map.Entry.comparingByValue())
          .map(Map.Entry::getKey)
          .orElse(null);
    }
  }

  /**
   * The pending tasks of one job that lack capacity.
   *
   * @param tasks the number of tasks that the team's limit allows
   * @param dueAt when the tasks should have started
   */
  private record PendingJob(Job job, int tasks, Instant dueAt) {}

  private final ClusterState cluster;
  private final CapacityEstimates estimates;
  private final MachineTypeSelector types;
  private final Instant now;
  private final Instant wallClock;

  /**
   * Whether job arrays that can wait for capacity are deferred; see {@link
   * ArrivalStatistics#mayDeferArrays}.
   */
  private final boolean mayDeferArrays;

  private final Map<MachineKind, Double> bootingMachines = new HashMap<>();
  private final Map<MachineKind, MissingMachines> missing = new LinkedHashMap<>();
  private final List<Machine> deferrableOnlyMachines = new ArrayList<>();
  private final BatchBacklog backlog;

  /** The value of running and booting machines, minus that of non-deferrable tasks. */
  private double capacity;

  /** The first array that would be late without another on-demand machine, or null. */
  private JobSpec criticalJob;

  /** Values by market: on-demand, then spot. */
  private final double[] pendingValue = new double[2];

  private final double[] bootingValue = new double[2];
  private final double[] freeValue = new double[2];

  /**
   * Computes the demand from the current machines and pending jobs.
   *
   * @param now the event loop's time
   * @param wallClock the time of day, which job acceptance times are compared with
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

  /** The value of the share that one task takes of a machine of the type. */
  static double taskValue(JobSpec spec, MachineType type) {
    return type.onDemandPrice()
        / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
  }

  /** The missing machines by kind; on-demand ones only for jobs that cannot wait. */
  Map<MachineKind, MissingMachines> missing() {
    return missing;
  }

  /** Adds missing machines of a kind that no current job needs. */
  void addMissing(MachineType type, boolean spot, double machines) {
    missing.computeIfAbsent(new MachineKind(type.name(), spot), k -> new MissingMachines())
            .machines +=
        machines;
  }

  /** The value of all capacity that the pending jobs need, including what is booting. */
  double pendingValue(boolean spot) {
    return pendingValue[marketIndex(spot)];
  }

  /** The value of the booting machines. */
  double bootingValue(boolean spot) {
    return bootingValue[marketIndex(spot)];
  }

  /** The value of the free capacity of schedulable machines. */
  double freeValue(boolean spot) {
    return freeValue[marketIndex(spot)];
  }

  /**
   * The value of the on-demand machines to add for arrays that would be late. Missing spot machines
   * are assumed to be granted; if they are refused, the next review accounts for it.
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

  /** Busy on-demand machines that run deferrable tasks only. The caller may sort the list. */
  List<Machine> deferrableOnlyMachines() {
    return deferrableOnlyMachines;
  }

  /**
   * How much of {@link #deferrableOnlyMachines} is needed for all arrays to start in time.
   *
   * @param deferrableValue the value of those machines
   */
  double neededForDeferrable(double deferrableValue) {
    return backlog.neededCapacity(deferrableValue, estimates.arrivals().deferrableWorkRate(null));
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }

  private static int marketIndex(boolean spot) {
    return spot ? 1 : 0;
  }

  private void countMachine(Machine machine) {
    double price = machine.type.onDemandPrice();
    switch (machine.state()) {
      case EXPECTED, HEARD -> {
        double weight = estimates.bootTimes().weight(machine, now);
        bootingMachines.merge(
            new MachineKind(machine.type.name(), machine.spot), weight, Double::sum);
        bootingValue[marketIndex(machine.spot)] += weight * price;
        capacity += weight * price;
      }
      case CONFIRMED -> {
        if (machine.isSchedulable()) {
          double free = estimates.utilization().freeShare(machine);
          freeValue[marketIndex(machine.spot)] += free * price;
          capacity += price;
          subtractNonDeferrableTasks(machine, free < 1);
        }
      }
      default -> {}
    }
  }

  /**
   * Subtracts the tasks that cannot wait from the capacity.
   *
   * @param isBusy whether the machine runs tasks that justify keeping it
   */
  private void subtractNonDeferrableTasks(Machine machine, boolean isBusy) {
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
      deferrableOnlyMachines.add(machine);
    }
  }

  private boolean isDeferrable(Job job) {
    return mayDeferArrays && cluster.canWaitForCapacity(job);
  }

  /** The jobs that lack capacity, sorted by priority class and then by due time. */
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
        Comparator.<PendingJob, PriorityClass>comparing(pending -> pending.job.priorityClass())
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
    // A failing job is started only on capacity that is free anyway.
    return !entry.job.failing || entry.rejectedBy() == SchedulingCheck.PLACE;
  }

  /** How many pending tasks of the job the team's limit allows, beside what is planned. */
  private int tasksWithinLimit(Job job, Resources plannedBefore) {
    JobSpec spec = job.spec;
    Team team = cluster.team(spec.team());
    Resources used = cluster.usage(spec.team());
    int count = job.pendingTasks.cardinality();
    while (count > 0
        && !team.allows(used.plus(plannedBefore).plus(spec.resourcesPerTask().times(count)))) {
      // Large counts are halved to limit the number of iterations.
      count = count > 64 ? count / 2 : count - 1;
    }
    return count;
  }

  // Each machine type is a single object, so types can be compared by reference.
  @SuppressWarnings("ReferenceEquality")
  private void addDemand(PendingJob pendingJob) {
    Job job = pendingJob.job;
    JobSpec spec = job.spec;
    // Pending work counts even while the cloud refuses machines. Otherwise each refusal would
    // make the machines that the work needs look unneeded.
    MachineType listed = types.cheapestListed(spec);
    if (listed == null) {
      return;
    }
    MachineType onDemand = types.cheapestAvailable(false, spec);
    boolean deferrable = isDeferrable(job);
    // Deferrable jobs do not avoid spot machines: their slack shrinks while they wait, and they
    // would all switch to on-demand machines.
    boolean avoidsSpot = onDemand != null && !deferrable && cluster.avoidsSpot(job, wallClock);
    boolean mayUseSpot = spec.spotAllowed() && !avoidsSpot;
    boolean idleCapacityOnly = cluster.runsOnIdleCapacityOnly(job, wallClock);
    if (deferrable && !idleCapacityOnly) {
      addToBacklog(pendingJob, listed);
    }
    double tasks = pendingJob.tasks;
    for (MachineType type : cluster.types()) {
      if (MachineTypeSelector.isUsable(spec, type)) {
        pendingValue[marketIndex(mayUseSpot)] += type == listed ? tasks * taskValue(spec, type) : 0;
        tasks -=
            mayUseSpot ? assignBooting(new MachineKind(type.name(), true), spec, type, tasks) : 0;
        tasks -= assignBooting(new MachineKind(type.name(), false), spec, type, tasks);
      }
    }
    if (tasks <= 0) {
      return;
    }
    MachineType spot = mayUseSpot ? types.cheapestAvailable(true, spec) : null;
    if (spot != null) {
      addMissing(new MachineKind(spot.name(), true), spec, spot, tasks);
    } else if (onDemand != null && (!mayUseSpot || (!idleCapacityOnly && !deferrable))) {
      addMissing(new MachineKind(onDemand.name(), false), spec, onDemand, tasks);
    }
  }

  /**
   * Assigns booting machines of the kind to the job.
   *
   * @return the number of tasks that the assigned machines can run
   */
  private double assignBooting(MachineKind kind, JobSpec spec, MachineType type, double tasks) {
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
    // Ignores objectives that will be missed before, or soon after, a new machine is ready.
    Duration allowance =
        cluster.startAllowance(pendingJob.job, wallClock.plus(startDelay.multipliedBy(2)));
    Duration slack = Duration.between(wallClock, pendingJob.job.acceptedAt.plus(allowance));
    double runSeconds = seconds(spec.estimatedRunTime());
    // Jobs that are late by all objectives must not wait indefinitely.
    double secondsLeft =
        Math.max(seconds(slack) - STRAGGLER_MARGIN * runSeconds, 2 * seconds(startDelay));
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
