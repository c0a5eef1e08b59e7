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
 * The leader's view of the cluster: teams, machine types, jobs, machines and their resource usage,
 * with indexes that avoid a scan of all machines for each event. Not thread-safe: used on the event
 * loop's thread only.
 *
 * <p>Parameters named {@code wallClock} are wall-clock times, which are compared with submission
 * times and deadlines; all other instants are the event loop's monotonic time.
 */
public final class ClusterState {
  /**
   * Above this reclaim probability, jobs at risk of missing an objective use on-demand machines.
   */
  private static final double MAX_RECLAIM_PROBABILITY = 0.1;

  /** How long a job waits for idle or spot capacity before it may use on-demand machines. */
  private static final Duration IDLE_CAPACITY_ONLY_PERIOD = Duration.ofMinutes(10);

  /** The settings of the cluster. */
  public final Settings settings;

  /**
   * The jobs in memory by id, in the order in which they were added. Modified by this class only.
   */
  public final Map<String, Job> jobs = new LinkedHashMap<>();

  private final NavigableMap<String, Machine> machines = new TreeMap<>();
  private final TeamQuotas quotas;
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Schedulable machines with free CPU, memory and GPUs. */
  private final Set<Machine> machinesWithGpuCapacity = new LinkedHashSet<>();

  /** Schedulable machines with free CPU and memory. */
  private final Set<Machine> machinesWithCapacity = new LinkedHashSet<>();

  /** Machines with free CPU and memory that only policy makes unschedulable. */
  private final Set<Machine> excludedByPolicy = new LinkedHashSet<>();

  /** The number of machines of each kind. */
  private final Map<MachineKind, Integer> machineCounts = new HashMap<>();

  private final ImageFetchIndex imageFetches = new ImageFetchIndex();

  /**
   * The number of attempts that hold capacity, by the priority class in the job specification.
   * Priority inherited from dependent jobs is ignored.
   */
  private final EnumMap<PriorityClass, Integer> attemptCountByPriority =
      new EnumMap<>(PriorityClass.class);

  /** The machines with capacity reserved for each job. */
  private final Map<Job, Set<Machine>> reservations = new HashMap<>();

  private final ServiceObjectives objectives;

  /** The estimated reclaim rate of spot machines. */
  public final SpotReclaimRisk spotRisk = new SpotReclaimRisk();

  /** Images, with their size in GB, that machines not yet added are expected to have cached. */
  private final Map<String, Map<String, Double>> expectedImages = new HashMap<>();

  /** The properties of a machine that jobs can constrain. */
  record MachineKind(String type, String zone, boolean spot) {}

  private final MemoryBudget memoryBudget;

  /** Creates a cluster without machines and jobs, bounded by the heap of this process. */
  public ClusterState(Settings settings) {
    this(settings, new MemoryBudget(Runtime.getRuntime().maxMemory()));
  }

  /** Creates a cluster without machines and jobs. */
  public ClusterState(Settings settings, MemoryBudget memoryBudget) {
    this.settings = settings;
    this.memoryBudget = memoryBudget;
    this.objectives = new ServiceObjectives(settings);
    this.quotas = new TeamQuotas(settings.teams());
  }

  /** Bounds the jobs and attempts in memory. */
  public MemoryBudget memoryBudget() {
    return memoryBudget;
  }

  /** The service-level objectives in the settings. */
  ServiceObjectives objectives() {
    return objectives;
  }

  /** How long after its acceptance the job should have started. */
  public Duration startAllowance(Job job, Instant wallClock) {
    return objectives.startAllowance(job, wallClock);
  }

  /** When the job should be done according to its own deadline; null without one. */
  ChainDeadlines ownDeadlines(Job job) {
    return objectives.ownDeadlines(job);
  }

  /** How long the job can wait before it is late to start; negative if it is already late. */
  public Duration startSlack(Job job, Instant wallClock) {
    return Duration.between(wallClock, job.acceptedAt.plus(startAllowance(job, wallClock)));
  }

  /**
   * Whether the job allows spot machines but should not use them: a reclaim would make it miss an
   * objective, and is too probable for its size and run time.
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
        double machinesPerTask =
            Math.min(1, spec.resourcesPerTask().dominantShareOf(type.capacity()));
        machineCount =
            Math.max(
                machineCount, (spec.tasks() - job.completedTasks.cardinality()) * machinesPerTask);
      }
    }
    return spotRisk.reclaimProbability(machineCount, spec.estimatedRunTime())
        > MAX_RECLAIM_PROBABILITY;
  }

  /** Whether the job would meet an objective if no task is restarted, but miss it if one is. */
  public boolean wouldMissObjectiveAfterRestart(Job job, Instant wallClock) {
    return objectives.wouldMissObjectiveAfterRestart(job, wallClock);
  }

  /** Whether no service-level objective applies to the job. */
  public boolean hasNoObjective(Job job) {
    return objectives.hasNoObjective(job);
  }

  /**
   * The shortest time in which a newly provisioned machine that the job may use is booted and has
   * its image cached; zero if the job can use no machine type.
   */
  public Duration minProvisioningTime(JobSpec spec) {
    Duration shortest = null;
    for (MachineType type : types.values()) {
      if (spec.allowsType(type.name()) && spec.resourcesPerTask().fitsIn(type.capacity())) {
        Duration imageReadyAfter = type.bootTime().plus(type.fetchTime(spec.imageGb()));
        shortest =
            shortest == null || imageReadyAfter.compareTo(shortest) < 0
                ? imageReadyAfter
                : shortest;
      }
    }
    return shortest == null ? Duration.ZERO : shortest;
  }

  /**
   * Whether the job can wait for capacity to be freed instead of machines being provisioned at
   * once: an array that allows spot machines and whose start allowance, when it became ready, was
   * at least twice the provisioning time of a machine.
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
   * Whether the job may use only idle capacity and spot machines: it has the lowest priority class,
   * no deadline and no objective, and has not waited longer than the limit. This prevents
   * low-priority work from causing on-demand machines to be provisioned: on the colombo-ops
   * deployment it had caused all of them to be rented.
   */
  public boolean runsOnIdleCapacityOnly(Job job, Instant wallClock) {
    return job.priorityClass() == PriorityClass.LOW
        && job.spec.deadline() == null
        && hasNoObjective(job)
        && job.readyAt.plus(IDLE_CAPACITY_ONLY_PERIOD).isAfter(wallClock);
  }

  /** The team of that name; null if the settings do not define it. */
  public Team team(String name) {
    return quotas.team(name);
  }

  /** Adds machine types offered by the cloud, replacing those of the same name. */
  public void setTypes(List<MachineType> machineTypes) {
    for (MachineType type : machineTypes) {
      types.put(type.name(), type);
    }
  }

  /** All machine types offered by the cloud so far. */
  public Collection<MachineType> types() {
    return types.values();
  }

  /** The machine type of that name; null if it is unknown. */
  public MachineType type(String name) {
    return types.get(name);
  }

  /** The resources held by the team's attempts on all machines. */
  public Resources usage(String team) {
    return quotas.usage(team);
  }

  /** Adds a job. Jobs must be added in the order of their acceptance. */
  public void addJob(Job job) {
    jobs.put(job.spec.id(), job);
    memoryBudget.reserve(job.spec);
    quotas.addJob(job);
  }

  /** Removes a job that is done or cancelled. */
  public void removeJob(Job job) {
    if (jobs.remove(job.spec.id()) != null) {
      memoryBudget.release(job.spec);
    }
    quotas.removeJob(job);
  }

  /** Handles a change of the job's current or total demand on its team's quota. */
  public void onQuotaDemandChanged(Job job) {
    quotas.onQuotaDemandChanged(job);
  }

  /**
   * Whether the job fits into its team's guaranteed quota together with the team's earlier jobs.
   */
  public boolean isGuaranteed(Job job) {
    return quotas.isGuaranteed(job);
  }

  /** Drops all jobs, machines and attempts, after the term has ended. */
  public void clear() {
    jobs.values().forEach(job -> job.attempts.clear());
    machines.values().forEach(machine -> machine.attempts.clear());
    jobs.clear();
    machines.clear();
    machinesWithGpuCapacity.clear();
    machinesWithCapacity.clear();
    excludedByPolicy.clear();
    machineCounts.clear();
    imageFetches.clear();
    reservations.clear();
    expectedImages.clear();
  }

  // ---- machines

  /** All machines, by name. */
  public Collection<Machine> machines() {
    return Collections.unmodifiableCollection(machines.values());
  }

  /**
   * Machines with names greater than {@code after} and up to {@code last}, inclusive; a null {@code
   * last} means no upper bound.
   */
  public Collection<Machine> machinesBetween(String after, String last) {
    NavigableMap<String, Machine> following = machines.tailMap(after, false);
    return (last == null ? following : following.headMap(last, true)).values();
  }

  /** The machine of that name; null if there is none. */
  public Machine machine(String name) {
    return machines.get(name);
  }

  /**
   * Records images, with their size in GB, that a machine not yet added is expected to have cached.
   */
  public void expectImages(String machine, Map<String, Double> images) {
    expectedImages.put(machine, images);
  }

  /** Adds a machine that was provisioned, or listed by the cloud. */
  public void addMachine(Machine machine) {
    machines.put(machine.name, machine);
    Map<String, Double> expected = expectedImages.remove(machine.name);
    if (expected != null) {
      expected.forEach(machine::touchImage);
    }
    machineCounts.merge(machineKind(machine), 1, Integer::sum);
    updateIndexes(machine);
  }

  /** Removes a machine that no longer exists, and returns it; null if it was unknown. */
  public Machine removeMachine(String name) {
    Machine machine = machines.remove(name);
    if (machine != null) {
      machineCounts.computeIfPresent(
          machineKind(machine), (k, count) -> count == 1 ? null : count - 1);
      unreserve(machine);
      machinesWithCapacity.remove(machine);
      machinesWithGpuCapacity.remove(machine);
      excludedByPolicy.remove(machine);
    }
    return machine;
  }

  private static MachineKind machineKind(Machine machine) {
    return new MachineKind(machine.type.name(), machine.zone, machine.spot);
  }

  /** The kinds of machines that exist in the cluster. */
  Set<MachineKind> machineKinds() {
    return machineCounts.keySet();
  }

  /**
   * Updates the indexes after a change of the machine's state, reclaim notice or resource usage.
   */
  public void updateIndexes(Machine machine) {
    Resources free = machine.free();
    boolean hasFreeCapacity = free.microCpus() > 0 && free.microGb() > 0;
    boolean isSchedulable = machine.isSchedulable() && hasFreeCapacity;
    setMembership(
        excludedByPolicy, machine, hasFreeCapacity && !isSchedulable && machine.isSafeToSchedule());
    setMembership(machinesWithCapacity, machine, isSchedulable);
    setMembership(machinesWithGpuCapacity, machine, isSchedulable && free.microGpus() > 0);
  }

  private static <T> void setMembership(Set<T> set, T item, boolean isMember) {
    if (isMember) {
      set.add(item);
    } else {
      set.remove(item);
    }
  }

  /** The machines that may have free capacity for tasks of the job. */
  Collection<Machine> machinesWithCapacityFor(Job job) {
    return job.spec.resourcesPerTask().microGpus() > 0
        ? machinesWithGpuCapacity
        : machinesWithCapacity;
  }

  /** Machines with free capacity that only policy makes unschedulable. */
  Collection<Machine> machinesExcludedByPolicy() {
    return excludedByPolicy;
  }

  /**
   * Whether policy may deny the job capacity. This is a quick check with false positives; an exact
   * answer takes a scan of the machines.
   */
  boolean isWithheldByPolicy(Job job) {
    return !excludedByPolicy.isEmpty()
        || !reservations.isEmpty()
        || !job.avoidedMachines.isEmpty()
        || canWaitForCapacity(job);
  }

  // ---- reservations

  /** Reserves capacity on the machine for one task of the job, replacing any other reservation. */
  void reserve(Machine machine, Job job, Instant until) {
    unreserve(machine);
    machine.reserve(job, until);
    reservations.computeIfAbsent(job, j -> new LinkedHashSet<>(2)).add(machine);
  }

  /** Cancels the machine's reservation, if any. */
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

  /** The machines with capacity reserved for the job, including expired reservations. */
  Set<Machine> reservedFor(Job job) {
    return reservations.getOrDefault(job, Set.of());
  }

  // ---- attempts

  /**
   * The attempts that are fetching this image on any machine, ordered by when the image should be
   * ready, latest first.
   */
  Collection<Attempt> fetchingAttempts(String image) {
    return imageFetches.fetchingAttempts(image);
  }

  /** Creates an attempt and adds it to its job, its machine and the usage totals. */
  public Attempt addAttempt(
      Job job, int task, long number, Machine machine, Instant now, Attempt.State initialState) {
    Attempt attempt = new Attempt(job, task, number, machine, now, initialState);
    job.addAttempt(attempt);
    machine.attempts.put(attempt.key, attempt);
    machine.used = machine.used.plus(job.spec.resourcesPerTask());
    machine.idleSince = null;
    quotas.addUsage(job.spec.team(), job.spec.resourcesPerTask());
    attemptCountByPriority.merge(job.spec.priorityClass(), 1, Integer::sum);
    if (job.spec.kind() == JobKind.ARRAY) {
      memoryBudget.onArrayAttemptAdded();
    }
    updateIndexes(machine);
    return attempt;
  }

  /** Changes the state of an attempt and, if that ends it, releases its capacity. */
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
      attemptCountByPriority.merge(attempt.job.spec.priorityClass(), -1, Integer::sum);
      attempt.job.removeAttempt(attempt);
      if (attempt.job.spec.kind() == JobKind.ARRAY) {
        memoryBudget.onArrayAttemptRemoved();
      }
      updateIndexes(attempt.machine);
    }
    if (next == Attempt.State.GONE) {
      attempt.machine.attempts.remove(attempt.key);
    }
  }

  /**
   * Whether any attempt may be preempted for the job. This is a quick check with false positives;
   * an exact answer takes a scan of the machines.
   */
  boolean mayPreemptAny(Job job) {
    if (isGuaranteed(job)) {
      return true;
    }
    return attemptCountByPriority.entrySet().stream()
        .anyMatch(e -> e.getValue() > 0 && job.priorityClass().isAbove(e.getKey()));
  }
}
