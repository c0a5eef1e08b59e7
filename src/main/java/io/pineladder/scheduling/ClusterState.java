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
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What the leader knows: teams, types, jobs, machines, and what each of them uses. Beside them it
 * keeps the indexes that let one event be dealt with without a look at the whole fleet.
 */
public final class ClusterState {
  /** A loss that is likelier than this is worth the price of ordinary machines. */
  private static final double SPOT_LOSS_THRESHOLD = 0.1;

  /** Work for idle time that has waited so long gets ordinary machines after all. */
  private static final Duration IDLE_ONLY_PERIOD = Duration.ofMinutes(10);

  public final Settings settings;
  public final Map<String, Job> jobs = new LinkedHashMap<>();
  private final NavigableMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Resources> usage = new HashMap<>();
  private final Map<String, TeamJobs> jobsByTeam = new HashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Machines that take work and have room for tasks that need an accelerator. */
  private final Set<Machine> withGpuCapacity = new LinkedHashSet<>();

  /** Machines that take work and have any processor and memory left. */
  private final Set<Machine> withCapacity = new LinkedHashSet<>();

  /** Machines with any processor and memory left that policy alone keeps from work. */
  private final Set<Machine> withheldByPolicy = new LinkedHashSet<>();

  /** How many machines there are of each kind. */
  private final Map<MachineKind, Integer> machineCounts = new HashMap<>();

  /** Attempts that wait for their image, by image; the one that gets it last comes first. */
  private final Map<String, NavigableSet<Attempt>> fetchingByImage = new HashMap<>();

  private static final Comparator<Attempt> LATEST_IMAGE_FIRST =
      Comparator.<Attempt, Instant>comparing(attempt -> attempt.imageReadyAt)
          .reversed()
          .thenComparing(attempt -> attempt.key);

  /**
   * How many attempts hold room, by the rank that their users chose; what a chain adds is left out.
   */
  private final EnumMap<PriorityClass, Integer> capacityHolders =
      new EnumMap<>(PriorityClass.class);

  /** Machines that keep room for a job, by job. */
  private final Map<Job, Set<Machine>> reservations = new HashMap<>();

  private final ServiceObjectives objectives;
  public final SpotReclaimRisk spotRisk = new SpotReclaimRisk();
  private final Map<String, Map<String, Double>> expectedImages = new HashMap<>();

  /** What distinguishes machines for a job's wishes. */
  record MachineKind(String type, String zone, boolean spot) {}

  /** A team's jobs in the order of their acceptance, and which of them the guarantee covers. */
  private static final class TeamJobs {
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final Set<Job> guaranteed = new LinkedHashSet<>();
    boolean stale = true;
  }

  public ClusterState(Settings settings) {
    this.settings = settings;
    this.objectives = new ServiceObjectives(settings);
    for (Team team : settings.teams()) {
      teams.put(team.name(), team);
    }
  }

  ServiceObjectives objectives() {
    return objectives;
  }

  /** How long after its submission the job should have started. */
  public Duration startAllowance(Job job, Instant wallClock) {
    return objectives.startAllowance(job, wallClock);
  }

  /** When a job should be over by its own deadline; null without one. */
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
   * Whether a job that may use spot machines is better kept off them: the loss of one would make it
   * miss an objective, and is likely enough for a job of its size and length.
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
        double machinesPerTask = Math.min(1, spec.resourcesPerTask().shareOf(type.capacity()));
        machineCount =
            Math.max(machineCount, (spec.tasks() - job.done.cardinality()) * machinesPerTask);
      }
    }
    return spotRisk.reclaimProbability(machineCount, spec.estimatedRunTime()) > SPOT_LOSS_THRESHOLD;
  }

  /**
   * Whether the job keeps an objective if its tasks run through, and not if one has to start anew.
   */
  public boolean wouldMissObjectiveAfterRestart(Job job, Instant wallClock) {
    return objectives.wouldMissObjectiveAfterRestart(job, wallClock);
  }

  /** Whether the operators expect nothing of the job's class. */
  public boolean hasNoObjective(Job job) {
    return objectives.hasNoObjective(job);
  }

  /**
   * How soon a machine rented now that the job may use would have its image; zero if there is none.
   */
  public Duration soonestStartElsewhere(JobSpec spec) {
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
   * Whether a job can wait for room that comes free: an array that may use spot machines, with
   * twice the time at its submission that another machine takes to be ready. Others get machines at
   * once.
   */
  public boolean canWaitForCapacity(Job job) {
    JobSpec spec = job.spec;
    return spec.kind() == JobKind.ARRAY
        && spec.spotAllowed()
        && startAllowance(job, job.readyAt)
                .minus(ServiceObjectives.dependencyWait(job))
                .compareTo(soonestStartElsewhere(spec).multipliedBy(2))
            >= 0;
  }

  /**
   * Work of the lowest rank of which nothing is expected: it fills what is idle and spot machines.
   * Found on colombo-ops: a guest's work for idle time had every ordinary machine rented.
   */
  public boolean runsOnIdleCapacityOnly(Job job, Instant wallClock) {
    return job.priorityClass() == PriorityClass.LOW
        && job.spec.deadline() == null
        && hasNoObjective(job)
        && job.readyAt.plus(IDLE_ONLY_PERIOD).isAfter(wallClock);
  }

  public Team team(String name) {
    return teams.get(name);
  }

  public void setTypes(List<MachineType> machineTypes) {
    for (MachineType type : machineTypes) {
      types.put(type.name(), type);
    }
  }

  public Collection<MachineType> types() {
    return types.values();
  }

  public MachineType type(String name) {
    return types.get(name);
  }

  public Resources usage(String team) {
    return usage.getOrDefault(team, Resources.ZERO);
  }

  public void addJob(Job job) {
    jobs.put(job.spec.id(), job);
    jobsByTeam.computeIfAbsent(job.spec.team(), t -> new TeamJobs()).jobs.put(job.spec.id(), job);
    onDemandChanged(job);
  }

  public void removeJob(Job job) {
    jobs.remove(job.spec.id());
    TeamJobs teamJobs = jobsByTeam.get(job.spec.team());
    if (teamJobs != null) {
      teamJobs.jobs.remove(job.spec.id());
      teamJobs.stale = true;
    }
  }

  /** A job needs less, or no longer anything, of what its team may use. */
  public void onDemandChanged(Job job) {
    TeamJobs teamJobs = jobsByTeam.get(job.spec.team());
    if (teamJobs != null) {
      teamJobs.stale = true;
    }
  }

  /** Whether the job fits into its team's guarantee together with the team's earlier jobs. */
  public boolean isGuaranteed(Job job) {
    Team team = teams.get(job.spec.team());
    if (team == null || !team.hasGuarantee()) {
      return false;
    }
    TeamJobs teamJobs = jobsByTeam.get(job.spec.team());
    if (teamJobs == null) {
      return false;
    }
    if (teamJobs.stale) {
      teamJobs.stale = false;
      teamJobs.guaranteed.clear();
      Resources demand = Resources.ZERO;
      for (Job teamJob : teamJobs.jobs.values()) {
        if (!teamJob.isActive() || teamJob.blockedByDependencies) {
          continue;
        }
        demand =
            demand.plus(
                teamJob
                    .spec
                    .resourcesPerTask()
                    .times(teamJob.spec.tasks() - teamJob.done.cardinality()));
        if (!team.guarantees(demand)) {
          break;
        }
        teamJobs.guaranteed.add(teamJob);
      }
    }
    return teamJobs.guaranteed.contains(job);
  }

  // ---- machines

  public Collection<Machine> machines() {
    return Collections.unmodifiableCollection(machines.values());
  }

  /** Machines whose names follow {@code after}, up to {@code last}; null is no bound. */
  public Collection<Machine> machinesBetween(String after, String last) {
    NavigableMap<String, Machine> following = machines.tailMap(after, false);
    return (last == null ? following : following.headMap(last, true)).values();
  }

  public Machine machine(String name) {
    return machines.get(name);
  }

  /** Remembers images that a machine not known yet is thought to have. */
  public void expectImages(String machine, Map<String, Double> images) {
    expectedImages.put(machine, images);
  }

  public void addMachine(Machine machine) {
    machines.put(machine.name, machine);
    Map<String, Double> expected = expectedImages.remove(machine.name);
    if (expected != null) {
      expected.forEach(machine::touchImage);
    }
    machineCounts.merge(machineKind(machine), 1, Integer::sum);
    updateIndexes(machine);
  }

  /** Forgets a machine that is gone; null when there was none. */
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

  Set<MachineKind> machineKinds() {
    return machineCounts.keySet();
  }

  /** Brings the indexes in step with a machine whose state, notice or use has changed. */
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

  /** The machines on which a job's tasks may find room; all others have none for it. */
  Collection<Machine> machinesWithCapacityFor(Job job) {
    return job.spec.resourcesPerTask().microGpus() > 0 ? withGpuCapacity : withCapacity;
  }

  /** The machines with room that policy alone keeps from work. */
  Collection<Machine> machinesWithheldByPolicy() {
    return withheldByPolicy;
  }

  /**
   * Whether policy may keep any room from the job; not which, which takes a look at the machines.
   */
  boolean isWithheldByPolicy(Job job) {
    return !withheldByPolicy.isEmpty()
        || !reservations.isEmpty()
        || !job.avoidedMachines.isEmpty()
        || canWaitForCapacity(job);
  }

  // ---- room kept

  /** Keeps room on the machine for one task of the job. */
  void reserve(Machine machine, Job job, Instant until) {
    unreserve(machine);
    machine.reservedFor = job;
    machine.reserved = job.spec.resourcesPerTask();
    machine.reservationExpiresAt = until;
    machine.reservationStartsAt = null;
    reservations.computeIfAbsent(job, j -> new LinkedHashSet<>(2)).add(machine);
  }

  void unreserve(Machine machine) {
    Job job = machine.reservedFor;
    if (job == null) {
      return;
    }
    machine.reservedFor = null;
    machine.reserved = Resources.ZERO;
    Set<Machine> reserved = reservations.get(job);
    if (reserved != null && reserved.remove(machine) && reserved.isEmpty()) {
      reservations.remove(job);
    }
  }

  /** The machines that keep room for the job. */
  Set<Machine> reservedFor(Job job) {
    return reservations.getOrDefault(job, Set.of());
  }

  /**
   * Attempts that wait for this image, on whatever machine; the one that gets it last comes first.
   */
  Collection<Attempt> fetching(String image) {
    NavigableSet<Attempt> attempts = fetchingByImage.get(image);
    return attempts == null ? List.of() : attempts;
  }

  // ---- attempts

  /** Counts a new attempt everywhere it counts. */
  public Attempt addAttempt(
      Job job, int task, long number, Machine machine, Instant now, Attempt.State initialState) {
    Attempt attempt = new Attempt(job, task, number, machine, now, initialState);
    job.add(attempt);
    machine.attempts.put(attempt.key, attempt);
    machine.used = machine.used.plus(job.spec.resourcesPerTask());
    machine.idleSince = null;
    usage.merge(job.spec.team(), job.spec.resourcesPerTask(), Resources::plus);
    capacityHolders.merge(job.spec.priorityClass(), 1, Integer::sum);
    updateIndexes(machine);
    return attempt;
  }

  /** Changes an attempt's state and, when it ends, gives back what it held. */
  public void transition(Attempt attempt, Attempt.State next) {
    boolean heldCapacity = attempt.holdsCapacity();
    Attempt.State before = attempt.state();
    attempt.transitionTo(next);
    if (before != next) {
      indexFetch(attempt, before, next);
    }
    if (heldCapacity && !attempt.holdsCapacity()) {
      Resources freed = attempt.job.spec.resourcesPerTask();
      attempt.machine.used = attempt.machine.used.minus(freed);
      usage.merge(attempt.job.spec.team(), freed, Resources::minus);
      capacityHolders.merge(attempt.job.spec.priorityClass(), -1, Integer::sum);
      attempt.job.remove(attempt);
      updateIndexes(attempt.machine);
    }
    if (next == Attempt.State.GONE) {
      attempt.machine.attempts.remove(attempt.key);
    }
  }

  /**
   * Whether there is any work that could make way for the job; where, a look at the fleet tells.
   */
  boolean mayPreemptAny(Job job) {
    if (isGuaranteed(job)) {
      return true;
    }
    return capacityHolders.entrySet().stream()
        .anyMatch(e -> e.getValue() > 0 && job.priorityClass().isAbove(e.getKey()));
  }

  private void indexFetch(Attempt attempt, Attempt.State before, Attempt.State next) {
    String image = attempt.job.spec.image();
    if (next == Attempt.State.FETCHING_IMAGE) {
      fetchingByImage.computeIfAbsent(image, i -> new TreeSet<>(LATEST_IMAGE_FIRST)).add(attempt);
    } else if (before == Attempt.State.FETCHING_IMAGE) {
      Set<Attempt> attempts = fetchingByImage.get(image);
      if (attempts != null && attempts.remove(attempt) && attempts.isEmpty()) {
        fetchingByImage.remove(image);
      }
    }
  }
}
