package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.SchedulingCheck;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Checks which machines a job may use, and chooses among them by cost: bin packing, with the fetch
 * time of the image as the largest cost. Costs are in seconds.
 */
public final class Placer {
  /** The additional cost of each further task on a machine that has to fetch the image slowly. */
  private static final double SECOND_FETCH_COST_SECONDS = 10;

  /** The cost of a spot machine for a job that would miss an objective if it is reclaimed. */
  private static final double SPOT_RISK_COST_SECONDS = 12;

  /** The bonus of a machine that was provisioned for deadlines, for a task that fills it. */
  private static final double DEADLINE_MACHINE_BONUS_SECONDS = 5;

  /** The cost of an on-demand machine for a job that allows spot machines. */
  private static final double ON_DEMAND_COST_SECONDS = 3;

  /** The average fraction of a fetch that remains if the image is already being fetched. */
  private static final double REMAINING_FETCH_FRACTION = 0.5;

  /**
   * The minimum fetch rate assumed, which avoids a division by zero for machine types without a
   * rate.
   */
  private static final double MIN_FETCH_GB_PER_SECOND = 1e-3;

  private final ClusterState cluster;
  private final EventLoop eventLoop;

  /** Creates a placer for the machines of the cluster. */
  public Placer(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /**
   * The result of a placement.
   *
   * @param machines a machine for each task that could be placed; a machine may occur more than
   *     once
   * @param rejectedBy the check that rejected the remaining tasks; null if all tasks were placed
   */
  public record Decision(List<Machine> machines, SchedulingCheck rejectedBy) {
    static Decision rejected(SchedulingCheck check) {
      return new Decision(List.of(), check);
    }

    /** Whether all requested tasks are placed. */
    public boolean isPlaced() {
      return rejectedBy == null;
    }
  }

  /**
   * Chooses machines for up to {@code taskCount} tasks in one scan of the machines with free
   * capacity. A gang is placed completely or not at all; for other jobs some tasks may be placed
   * and the rest rejected.
   */
  Decision place(Job job, int taskCount, Instant now) {
    return place(job, taskCount, false, now);
  }

  /**
   * Chooses machines like {@link #place(Job, int, Instant)}, but by the constraints of the job
   * only: reservations, avoided machines, and the retiring and quarantined states of machines are
   * ignored.
   */
  Decision placeIgnoringPolicy(Job job, int taskCount, Instant now) {
    return place(job, taskCount, true, now);
  }

  private Decision place(Job job, int taskCount, boolean ignorePolicy, Instant now) {
    JobSpec spec = job.spec;
    boolean allOrNothing = spec.kind() == JobKind.GANG;
    Team team = cluster.team(spec.team());
    long withinLimit =
        team == null
            ? 0
            : team.maxAdditionalUnits(cluster.usage(spec.team()), spec.resourcesPerTask());
    if (withinLimit == 0 || (allOrNothing && withinLimit < taskCount)) {
      return Decision.rejected(SchedulingCheck.TEAM_LIMIT);
    }
    int maxTasks = (int) Math.min(taskCount, withinLimit);
    boolean avoidsSpot = cluster.avoidsSpot(job, eventLoop.wallClock());
    // A job needs few of thousands of machines: a heap avoids sorting all of them.
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(BY_COST);
    for (Machine machine : cluster.machinesWithCapacityFor(job)) {
      addCandidate(job, machine, taskCount, ignorePolicy, avoidsSpot, now, candidates);
    }
    if (ignorePolicy) {
      for (Machine machine : cluster.machinesExcludedByPolicy()) {
        addCandidate(job, machine, taskCount, true, avoidsSpot, now, candidates);
      }
    }
    if (candidates.isEmpty()) {
      return Decision.rejected(
          anyMachineKindAllowed(spec) ? SchedulingCheck.FIT : SchedulingCheck.PLACE);
    }
    Decision decision =
        spec.sameZone()
            ? placeInOneZone(job, maxTasks, sortedByCost(candidates), allOrNothing)
            : placeAnywhere(job, maxTasks, candidates, allOrNothing);
    boolean isReducedByLimit = decision.isPlaced() && maxTasks < taskCount;
    return isReducedByLimit
        ? new Decision(decision.machines(), SchedulingCheck.TEAM_LIMIT)
        : decision;
  }

  private static List<Candidate> sortedByCost(PriorityQueue<Candidate> candidates) {
    List<Candidate> sorted = new ArrayList<>(candidates);
    sorted.sort(BY_COST);
    return sorted;
  }

  /**
   * Adds a machine as a candidate if it passes the checks and has capacity; adds a second candidate
   * if further tasks on it cost more.
   */
  private void addCandidate(
      Job job,
      Machine machine,
      int taskCount,
      boolean ignorePolicy,
      boolean avoidsSpot,
      Instant now,
      Collection<Candidate> candidates) {
    boolean isEligible =
        ignorePolicy
            ? machine.isSafeToSchedule() && satisfiesConstraints(job.spec, machine)
            : machine.isSchedulable()
                && isAllowed(job, machine)
                && !(machine.provisionedForDeadlines
                    && wouldBlockDeadlineMachine(cluster, job, machine, eventLoop.wallClock()));
    if (!isEligible) {
      return;
    }
    Resources free = ignorePolicy ? machine.free() : availableCapacity(job, machine, now);
    int count = (int) Math.min(job.spec.resourcesPerTask().timesFittingIn(free), taskCount);
    if (count <= 0) {
      return;
    }
    double cost = cost(job, machine, avoidsSpot);
    if (count > 1 && isSlowFetch(job, machine)) {
      candidates.add(new Candidate(machine, cost, 1));
      candidates.add(new Candidate(machine, cost + SECOND_FETCH_COST_SECONDS, count - 1));
    } else {
      candidates.add(new Candidate(machine, cost, count));
    }
  }

  /**
   * Whether the image is not cached on the machine and takes longer to fetch than a new machine
   * takes to boot. Tasks that fetch such an image are spread over several machines, which leaves
   * capacity next to each copy of the image.
   */
  private static boolean isSlowFetch(Job job, Machine machine) {
    if (machine.images.containsKey(job.spec.image())) {
      return false;
    }
    double uncontendedFetchSeconds =
        job.spec.imageGb() / Math.max(MIN_FETCH_GB_PER_SECOND, machine.type.fetchGbPerSecond());
    return uncontendedFetchSeconds > machine.type.bootTime().toMillis() / 1000.0;
  }

  /** A machine with capacity for {@code count} tasks of the job. */
  private record Candidate(Machine machine, double cost, int count) {}

  private static final Comparator<Candidate> BY_COST =
      Comparator.<Candidate>comparingDouble(candidate -> candidate.cost)
          .thenComparing(candidate -> candidate.machine.name);

  private boolean anyMachineKindAllowed(JobSpec spec) {
    for (ClusterState.MachineKind kind : cluster.machineKinds()) {
      if (satisfiesConstraints(spec, kind.type(), kind.zone(), kind.spot())) {
        return true;
      }
    }
    return false;
  }

  /** Whether the job's constraints on machine type, zone and spot machines are met. */
  private static boolean satisfiesConstraints(
      JobSpec spec, String type, String zone, boolean spot) {
    return spec.allowsType(type) && spec.allowsZone(zone) && (spec.spotAllowed() || !spot);
  }

  private static boolean satisfiesConstraints(JobSpec spec, Machine machine) {
    return satisfiesConstraints(spec, machine.type.name(), machine.zone, machine.spot);
  }

  /** Whether the machine meets the job's constraints and the job does not avoid it. */
  static boolean isAllowed(Job job, Machine machine) {
    return satisfiesConstraints(job.spec, machine) && !job.avoidedMachines.contains(machine.name);
  }

  /**
   * Whether a task would occupy a machine provisioned for deadlines for too long: it uses less than
   * half of the machine, runs for more than twice the time in which another machine can be ready,
   * and can wait for that one. The last of such tasks kept each machine for minutes after the load
   * peak for which it was rented; other tasks end soon and leave spot machines to such ones.
   */
  static boolean wouldBlockDeadlineMachine(
      ClusterState cluster, Job job, Machine machine, Instant wallClock) {
    Duration provisioningTime = cluster.minProvisioningTime(job.spec);
    boolean isShort = job.spec.estimatedRunTime().compareTo(provisioningTime.multipliedBy(2)) <= 0;
    if (isShort || fillsMachine(job.spec, machine.type) || !cluster.canWaitForCapacity(job)) {
      return false;
    }
    return cluster.startSlack(job, wallClock).compareTo(provisioningTime) > 0;
  }

  /** Whether a task needs at least half of a machine of this type. */
  public static boolean fillsMachine(JobSpec spec, MachineType type) {
    return 2 * spec.resourcesPerTask().dominantShareOf(type.capacity()) >= 1;
  }

  /** Whether another task on the machine satisfies the job's zone constraints. */
  static boolean satisfiesZoneConstraints(Job job, Machine machine) {
    Map<String, Integer> zones = attemptsByZone(job);
    if (job.spec.sameZone() && !zones.isEmpty() && !zones.containsKey(machine.zone)) {
      return false;
    }
    return zones.getOrDefault(machine.zone, 0) < maxTasksPerZone(job);
  }

  /** The maximum number of tasks of the job in one zone. */
  private static int maxTasksPerZone(Job job) {
    return job.spec.spreadAcrossZones() ? (job.spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
  }

  /**
   * The capacity that the job may use on the machine: free capacity minus capacity reserved for
   * another job.
   */
  static Resources availableCapacity(Job job, Machine machine, Instant now) {
    Resources free = machine.free();
    boolean isReservedForOther =
        machine.isReservedForOther(job, now)
            && !job.priorityClass().isAbove(machine.reservedFor().priorityClass())
            && !endsBeforeReservation(job, machine, now);
    return isReservedForOther ? free.minus(machine.reserved()) : free;
  }

  /**
   * Whether a task on the machine should end before the job that holds the reservation can start.
   */
  private static boolean endsBeforeReservation(Job job, Machine machine, Instant now) {
    if (machine.reservationStartsAt() == null || job.spec.kind() != JobKind.ARRAY) {
      return false;
    }
    long millis = (long) (fetchSeconds(job, machine) * 1000);
    return now.plusMillis(millis)
        .plus(job.spec.estimatedRunTime())
        .isBefore(machine.reservationStartsAt());
  }

  /** The number of attempts of the job in each zone. */
  private static Map<String, Integer> attemptsByZone(Job job) {
    Map<String, Integer> zones = new HashMap<>();
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt attempt : attempts) {
        zones.merge(attempt.machine.zone, 1, Integer::sum);
      }
    }
    return zones;
  }

  private Decision placeInOneZone(
      Job job, int taskCount, List<Candidate> candidates, boolean allOrNothing) {
    Map<String, Integer> attemptsByZone = attemptsByZone(job);
    Set<String> occupiedZones = attemptsByZone.keySet();
    Set<String> zones = new LinkedHashSet<>();
    for (Candidate candidate : candidates) {
      String zone = candidate.machine.zone;
      if (occupiedZones.isEmpty() || (occupiedZones.size() == 1 && occupiedZones.contains(zone))) {
        zones.add(zone);
      }
    }
    List<Machine> best = List.of();
    double bestCost = Double.MAX_VALUE;
    for (String zone : zones) {
      Iterator<Candidate> inZone =
          candidates.stream().filter(candidate -> candidate.machine.zone.equals(zone)).iterator();
      // A job that must also spread across zones can run only half of its tasks at a time here.
      List<Machine> chosen =
          fillCheapest(
              taskCount,
              () -> inZone.hasNext() ? inZone.next() : null,
              attemptsByZone,
              maxTasksPerZone(job));
      if (chosen.isEmpty() || (allOrNothing && chosen.size() < taskCount)) {
        continue;
      }
      double slowestFetch = 0;
      for (Machine machine : chosen) {
        slowestFetch = Math.max(slowestFetch, fetchSeconds(job, machine));
      }
      if (chosen.size() > best.size()
          || (chosen.size() == best.size() && slowestFetch < bestCost)) {
        best = chosen;
        bestCost = slowestFetch;
      }
    }
    if (best.size() == taskCount) {
      return new Decision(best, null);
    }
    return new Decision(
        best,
        allOrNothing && occupiedZones.isEmpty() ? SchedulingCheck.FIT : SchedulingCheck.TOGETHER);
  }

  private Decision placeAnywhere(
      Job job, int taskCount, PriorityQueue<Candidate> candidates, boolean allOrNothing) {
    boolean spread = job.spec.spreadAcrossZones();
    Map<String, Integer> zones = spread ? attemptsByZone(job) : Map.of();
    List<Machine> chosen = fillCheapest(taskCount, candidates::poll, zones, maxTasksPerZone(job));
    if (chosen.size() == taskCount) {
      return new Decision(chosen, null);
    }
    return new Decision(
        allOrNothing ? List.of() : chosen, spread ? SchedulingCheck.SPREAD : SchedulingCheck.FIT);
  }

  /**
   * Fills the cheapest machine, then the next, until enough tasks are placed.
   *
   * @param nextCheapest supplies the next machine in order of cost; null if there is none left
   * @param attemptsByZone the number of the job's tasks that each zone already has
   * @param maxInZone the maximum number of tasks in one zone
   */
  private static List<Machine> fillCheapest(
      int taskCount,
      Supplier<Candidate> nextCheapest,
      Map<String, Integer> attemptsByZone,
      int maxInZone) {
    Map<String, Integer> tasksByZone = new HashMap<>(attemptsByZone);
    List<Machine> chosen = new ArrayList<>();
    for (Candidate candidate = nextCheapest.get();
        candidate != null;
        candidate = nextCheapest.get()) {
      int tasksInZone = tasksByZone.getOrDefault(candidate.machine.zone, 0);
      int count =
          Math.min(taskCount - chosen.size(), Math.min(candidate.count, maxInZone - tasksInZone));
      for (int i = 0; i < count; i++) {
        chosen.add(candidate.machine);
      }
      if (count > 0) {
        tasksByZone.put(candidate.machine.zone, tasksInZone + count);
      }
      if (chosen.size() == taskCount) {
        break;
      }
    }
    return chosen;
  }

  /**
   * The cost of a task on the machine in seconds, mostly the time until the image is cached. Jobs
   * that allow spot machines are steered away from on-demand machines, and fuller machines are
   * preferred so that others become empty and can be released.
   */
  private static double cost(Job job, Machine machine, boolean avoidsSpot) {
    double cost = fetchSeconds(job, machine);
    if (avoidsSpot) {
      cost += machine.spot ? SPOT_RISK_COST_SECONDS : 0;
    } else if (job.spec.spotAllowed() && !machine.spot) {
      cost +=
          machine.provisionedForDeadlines && fillsMachine(job.spec, machine.type)
              ? -DEADLINE_MACHINE_BONUS_SECONDS
              : ON_DEMAND_COST_SECONDS;
    }
    cost += 1 - machine.used.dominantShareOf(machine.type.capacity());
    return cost;
  }

  /**
   * The seconds until the image of the job is cached on the machine, including other fetches on it.
   */
  static double fetchSeconds(Job job, Machine machine) {
    String image = job.spec.image();
    if (machine.images.containsKey(image)) {
      return 0;
    }
    double gb = job.spec.imageGb();
    for (Attempt attempt : machine.attempts.values()) {
      if (!isFetching(attempt) || machine.images.containsKey(attempt.job.spec.image())) {
        continue;
      }
      if (attempt.job.spec.image().equals(image)) {
        return REMAINING_FETCH_FRACTION * job.spec.imageGb() / machine.type.fetchGbPerSecond();
      }
      gb += attempt.job.spec.imageGb();
    }
    return gb / Math.max(MIN_FETCH_GB_PER_SECOND, machine.type.fetchGbPerSecond());
  }

  private static boolean isFetching(Attempt attempt) {
    return switch (attempt.state()) {
      case PLACEMENT_PENDING, PLACEMENT_STORED, FETCHING_IMAGE -> true;
      default -> false;
    };
  }
}
