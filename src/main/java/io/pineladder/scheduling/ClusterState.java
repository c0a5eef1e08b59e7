package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.ChainDeadlines;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.Team;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * The leader's view of the cluster: teams, machine types, jobs, machines, and what each of them
 * uses, with the indexes that let one event be handled without a scan of the whole fleet. Used on
 * the event loop's thread only.
 *
 * <p>Times of day ({@code wallClock}) are compared with submissions and deadlines; all other
 * instants are the event loop's monotonic time.
 */
public final class ClusterState {
  /** With a higher probability of a reclaim the price of on-demand machines is worth it. */
  private static final double SPOT_LOSS_THRESHOLD = 0.1;

  /** A job for idle capacity that has waited for so long gets on-demand machines after all. */
  private static final Duration IDLE_ONLY_PERIOD = Duration.ofMinutes(10);

  /** The platform's settings. */
  public final Settings settings;

  /** The jobs in memory by id, in the order in which they were added; changed here only. */
  public final Map<String, Job> jobs = new LinkedHashMap<>();

  private final NavigableMap<String, Machine> machines = new TreeMap<>();
  private final TeamQuotas quotas;
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Schedulable machines with free processors, memory and accelerators. */
  private final Set<Machine> withGpuCapacity = new LinkedHashSet<>();

  /** Schedulable machines with free processors and memory. */
  private final Set<Machine> withCapacity = new LinkedHashSet<>();

  /** Machines with free processors and memory that policy alone makes unschedulable. */
  private final Set<Machine> withheldByPolicy = new LinkedHashSet<>();

  /** How many machines there are of each kind. */
  private final Map<MachineKind, Integer> machineCounts = new HashMap<>();

  private final ImageFetchIndex imageFetches = new ImageFetchIndex();

  /**
   * How many attempts hold capacity, by the priority class that their users chose; a higher one
   * inherited from dependent jobs is not considered.
   */
  private final EnumMap<PriorityClass, Integer> capacityHolders =
      new EnumMap<>(PriorityClass.class);

  /** The machines with capacity reserved for a job, by job. */
  private final Map<Job, Set<Machine>> reservations = new HashMap<>();

  private final ServiceObjectives objectives;

  /** How often spot machines are reclaimed. */
  public final SpotReclaimRisk spotRisk = new SpotReclaimRisk();

  /** Images, with their size in GB, that machines not added yet are thought to have cached. */
  private final Map<String, Map<String, Double>> expectedImages = new HashMap<>();

  /** What jobs may require of a machine. */
  record MachineKind(String type, String zone, boolean spot) {}

  /** A cluster without machines and jobs. */
  public ClusterState(Settings settings) {
    this.settings = settings;
    this.objectives = new ServiceObjectives(settings);
    this.quotas = new TeamQuotas(settings.teams());
  }

  /** The service-level objectives of the settings. */
  ServiceObjectives objectives() {
    return objectives;
  }

  /** How long after its submission the job should have started. */
  public Duration startAllowance(Job job, Instant wallClock) {
    return objectives.startAllowance(job, wallClock);
  }

  /** When the job should be over by its own deadline; null without one. */
  ChainDeadlines ownDeadlines(Job job) {
    return objectives.ownDeadlines(job);
  }

  /**
   * How long the job may still wait before it should have started; negative when it should have.
   */
  public Duration startSlack(Job job, Instant wallClock) {
    return Duration.between(wallClock, job.acceptedAt.plus(startAllowance(job, wallClock)));
  }

  /**
   * Whether a job that may use spot machines had better not: the reclaim of one would make it miss
   * an objective, and is probable enough for a job of its size and run time.
   */
  public boolean avoidsSpot(Job job, Instant wallClock) {
    JobSpec spec = job.spec;
    if (!spec.spotAllowed()
        || spec.isCheckpointed()
        || !objectives.wouldMissObjectiveAfterRestart(job, wallClock)) {
      return false;
    }
    double machineCount = 0;
    for (MachineType type : types.values()) {
      if (spec.allowsType(type.name())) {
        double machinesPerTask = Math.min(1, spec.resourcesPerTask().dominantShareOf(type.capacity()));
        machineCount =
            Math.max(machineCount, (spec.tasks() - job.completedTasks.cardinality()) * machinesPerTask);
      }
    }
    return spotRisk.reclaimProbability(machineCount, spec.estimatedRunTime()) > SPOT_LOSS_THRESHOLD;
  }

  /** Whether the job meets an objective if its tasks run through, and not if one is restarted. */
  public boolean wouldMissObjectiveAfterRestart(Job job, Instant wallClock) {
    return objectives.wouldMissObjectiveAfterRestart(job, wallClock);
  }

  /** Whether no service-level objective holds for the job. */
  public boolean hasNoObjective(Job job) {
    return objectives.hasNoObjective(job);
  }

  /**
   * How soon a machine rented now that the job may use would have its image; zero if the job can
   * use no machine type.
   */
  public Duration minProvisioningTime(JobSpec spec) {
    Duration soonest = null;
    for (MachineType type : types.values()) {
      if (spec.allowsType(type.name()) && spec.resourcesPerTask().fitsIn(type.capacity())) {
        Duration imageReadyAfter = type.bootTime().plus(type.fetchTime(spec.imageGb()));
        soonest =
            soonest == null || imageReadyAfter.compareTo(soonest) < 0 ? imageReadyAfter : soonest;
      }
    }
    return soonest == null ? Duration.ZERO : soonest;
  }

  /**
   * Whether the job can wait for capacity that is freed: an array that may use spot machines, whose
   * start allowance was at least twice the time that another machine takes to be ready. For others
   * machines are rented at once.
   */
  public boolean canWaitForCapacity(Job job) {
    JobSpec spec = job.spec;
    return spec.kind() == JobKind.ARRAY
        && spec.spotAllowed()
        && startAllowance(job, job.readyAt)
                .minus(ServiceObjectives.dependencyWait(job))
                .compareTo(minProvisioningTime(spec).multipliedBy(2))
            >= 0;
  }

  /**
   * Whether the job, of the lowest priority class and without an objective, runs on idle capacity
   * and spot machines only. Found on colombo-ops: a guest's work for idle time had every on-demand
   * machine rented.
   */
  public boolean runsOnIdleCapacityOnly(Job job, Instant wallClock) {
    return job.priorityClass() == PriorityClass.LOW
        && job.spec.deadline() == null
        && hasNoObjective(job)
        && job.readyAt.plus(IDLE_ONLY_PERIOD).isAfter(wallClock);
  }

  /** The team of that name; null when the settings name none. */
  public Team team(String name) {
    return quotas.team(name);
  }

  /** Adds the machine types that the cloud offers, or replaces them by name. */
  public void setTypes(List<MachineType> machineTypes) {
    for (MachineType type : machineTypes) {
      types.put(type.name(), type);
    }
  }

  /** All machine types that the cloud has offered. */
  public Collection<MachineType> types() {
    return types.values();
  }

  /** The machine type of that name; null when there is none. */
  public MachineType type(String name) {
    return types.get(name);
  }

  /** What the team's attempts hold, wherever they may be. */
  public Resources usage(String team) {
    return quotas.usage(team);
  }

  /** Adds a job; the order of these calls is the order of acceptance. */
  public void addJob(Job job) {
    jobs.put(job.spec.id(), job);
    quotas.addJob(job);
  }

  /** Removes a job that is over. */
  public void removeJob(Job job) {
    jobs.remove(job.spec.id());
    quotas.removeJob(job);
  }

  /** What the job demands of its team's quota, now or in total, has changed. */
  public void onDemandChanged(Job job) {
    quotas.onDemandChanged(job);
  }

  /** Whether the job fits into its team's guarantee together with the team's earlier jobs. */
  public boolean isGuaranteed(Job job) {
    return quotas.isGuaranteed(job);
  }

  // ---- machines

  /** All machines, by name. */
  public Collection<Machine> machines() {
    return Collections.unmodifiableCollection(machines.values());
  }

  /** Machines whose names follow {@code after}, up to {@code last}; null is no bound. */
  public Collection<Machine> machinesBetween(String after, String last) {
    NavigableMap<String, Machine> following = machines.tailMap(after, false);
    return (last == null ? following : following.headMap(last, true)).values();
  }

  /** The machine of that name; null when there is none. */
  public Machine machine(String name) {
    return machines.get(name);
  }

  /** Records images, with their size in GB, that a machine not added yet should have cached. */
  public void expectImages(String machine, Map<String, Double> images) {
    expectedImages.put(machine, images);
  }

  /** Adds a machine that is rented or listed. */
  public void addMachine(Machine machine) {
    machines.put(machine.name, machine);
    Map<String, Double> expected = expectedImages.remove(machine.name);
    if (expected != null) {
      expected.forEach(machine::touchImage);
    }
    machineCounts.merge(machineKind(machine), 1, Integer::sum);
    updateIndexes(machine);
  }

  /** Removes a machine that is gone; null when there was none. */
  public Machine removeMachine(String name) {
    Machine machine = machines.remove(name);
    if (machine != null) {
      machineCounts.computeIfPresent(
          machineKind(machine), (k, count) -> count == 1 ? null : count - 1);
      unreserve(machine);
      withCapacity.remove(machine);
      withGpuCapacity.remove(machine);
      withheldByPolicy.remove(machine);
    }
    return machine;
  }

  private static MachineKind machineKind(Machine machine) {
    return new MachineKind(machine.type.name(), machine.zone, machine.spot);
  }

  /** The kinds of which there is a machine. */
  Set<MachineKind> machineKinds() {
    return machineCounts.keySet();
  }

  /** Updates the indexes after a change of the machine's state, reclaim notice or usage. */
  public void updateIndexes(Machine machine) {
    Resources free = machine.free();
    boolean hasFreeCapacity = free.microCpus() > 0 && free.microGb() > 0;
    boolean isSchedulable = machine.isSchedulable() && hasFreeCapacity;
    setMembership(
        withheldByPolicy, machine, hasFreeCapacity && !isSchedulable && machine.isSafeToSchedule());
    setMembership(withCapacity, machine, isSchedulable);
    setMembership(withGpuCapacity, machine, isSchedulable && free.microGpus() > 0);
  }

  private static <T> void setMembership(Set<T> set, T item, boolean isMember) {
    if (isMember) {
      set.add(item);
    } else {
      set.remove(item);
    }
  }

  /** The machines that may have capacity for the job's tasks; all others have none. */
  Collection<Machine> machinesWithCapacityFor(Job job) {
    return job.spec.resourcesPerTask().microGpus() > 0 ? withGpuCapacity : withCapacity;
  }

  /** Machines with free capacity that policy alone makes unschedulable. */
  Collection<Machine> machinesWithheldByPolicy() {
    return withheldByPolicy;
  }

  /** Whether policy may deny the job any capacity; which, only a scan of the machines can tell. */
  boolean isWithheldByPolicy(Job job) {
    return !withheldByPolicy.isEmpty()
        || !reservations.isEmpty()
        || !job.avoidedMachines.isEmpty()
        || canWaitForCapacity(job);
  }

  // ---- reservations

  /**
   * Reserves capacity on the machine for one task of the job, in place of any other reservation.
   */
  void reserve(Machine machine, Job job, Instant until) {
    unreserve(machine);
    machine.reserve(job, until);
    reservations.computeIfAbsent(job, j -> new LinkedHashSet<>(2)).add(machine);
  }

  /** Cancels the machine's reservation, if there is one. */
  void unreserve(Machine machine) {
    Job job = machine.reservedFor();
    if (job == null) {
      return;
    }
    machine.cancelReservation();
    Set<Machine> reserved = reservations.get(job);
    if (reserved != null && reserved.remove(machine) && reserved.isEmpty()) {
      reservations.remove(job);
    }
  }

  /** The machines with capacity reserved for the job, expired reservations included. */
  Set<Machine> reservedFor(Job job) {
    return reservations.getOrDefault(job, Set.of());
  }

  // ---- attempts

  /** The attempts that fetch this image, on whatever machine; the one that has it last first. */
  Collection<Attempt> fetching(String image) {
    return imageFetches.fetching(image);
  }

  /** Creates an attempt and adds it to its job, its machine and all usage. */
  public Attempt addAttempt(
      Job job, int task, long number, Machine machine, Instant now, Attempt.State initialState) {
    Attempt attempt = new Attempt(job, task, number, machine, now, initialState);
    job.addAttempt(attempt);
    machine.attempts.put(attempt.key, attempt);
    machine.used = machine.used.plus(job.spec.resourcesPerTask());
    machine.idleSince = null;
    quotas.addUsage(job.spec.team(), job.spec.resourcesPerTask());
    capacityHolders.merge(job.spec.priorityClass(), 1, Integer::sum);
    updateIndexes(machine);
    return attempt;
  }

  /** Changes an attempt's state and, when it ends, releases the capacity that it held. */
  public void transition(Attempt attempt, Attempt.State next) {
    boolean heldCapacity = attempt.holdsCapacity();
    Attempt.State before = attempt.state();
    attempt.transitionTo(next);
    if (before != next) {
      imageFetches.onTransition(attempt, before, next);
    }
    if (heldCapacity && !attempt.holdsCapacity()) {
      Resources freed = attempt.job.spec.resourcesPerTask();
      attempt.machine.used = attempt.machine.used.minus(freed);
      quotas.removeUsage(attempt.job.spec.team(), freed);
      capacityHolders.merge(attempt.job.spec.priorityClass(), -1, Integer::sum);
      attempt.job.removeAttempt(attempt);
      updateIndexes(attempt.machine);
    }
    if (next == Attempt.State.GONE) {
      attempt.machine.attempts.remove(attempt.key);
    }
  }

  /** Whether any attempt may be preempted for the job; which, only a scan of the fleet can tell. */
  boolean mayPreemptAny(Job job) {
    if (isGuaranteed(job)) {
      return true;
    }
    return capacityHolders.entrySet().stream()
        .anyMatch(e -> e.getValue() > 0 && job.priorityClass().isAbove(e.getKey()));
  }
}
