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
 * The checks that a placement must pass, and the choice among the machines that pass them by cost:
 * bin packing, with the image's fetch time as the largest part. Costs are in seconds.
 */
public final class Placer {
  /** The cost of a second task on a machine that still has to fetch a slow image. */
  private static final double SECOND_FETCH_COST_SECONDS = 10;

  /** The cost of a spot machine for a job that would miss an objective by its reclaim. */
  private static final double SPOT_RISK_COST_SECONDS = 12;

  /** The benefit of a machine that was rented to meet deadlines, for a task that fills it. */
  private static final double DEADLINE_MACHINE_BONUS_SECONDS = 5;

  /** The cost of an on-demand machine for a job that may use spot machines. */
  private static final double ON_DEMAND_COST_SECONDS = 3;

  /** An image that is being fetched already takes this part of the whole fetch on average. */
  private static final double REMAINING_FETCH_PART = 0.5;

  /** The least fetch rate assumed, so that a machine type without one is not divided by zero. */
  private static final double MIN_FETCH_GB_PER_SECOND = 1e-3;

  private final ClusterState cluster;

  private final EventLoop eventLoop;

  /** A placer for the machines of the cluster. */
  public Placer(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /**
   * The outcome of one placement.
   *
   * @param machines a machine for each task that could be placed; one machine may occur repeatedly
   * @param rejectedBy the check that rejected the rest; null when all tasks were placed
   */
  public record Decision(List<Machine> machines, SchedulingCheck rejectedBy) {
    /** No task is placed. */
    static Decision rejected(SchedulingCheck by) {
      return new Decision(List.of(), by);
    }

    /** Whether all tasks that were asked for are placed. */
    public boolean isPlaced() {
      return rejectedBy == null;
    }
  }

  /**
   * Chooses machines for up to that many tasks in one scan of the machines with capacity. A gang is
   * placed as a whole or not at all; of other jobs the first tasks may be placed and the rest
   * rejected.
   */
  Decision place(Job job, int taskCount, Instant now) {
    return place(job, taskCount, false, now);
  }

  /**
   * Chooses machines as {@link #place(Job, int, Instant)} does, by the job's own constraints only:
   * reservations, avoided, retiring and quarantined machines are ignored.
   */
  Decision placeIgnoringPolicy(Job job, int taskCount, Instant now) {
    return place(job, taskCount, true, now);
  }

  private Decision place(Job job, int taskCount, boolean ignorePolicy, Instant now) {
    JobSpec spec = job.spec;
    boolean allOrNothing = spec.kind() == JobKind.GANG;
    Team team = cluster.team(spec.team());
    long withinLimit =
        team == null ? 0 : team.maxAdditionalUnits(cluster.usage(spec.team()), spec.resourcesPerTask());
    if (withinLimit == 0 || (allOrNothing && withinLimit < taskCount)) {
      return Decision.rejected(SchedulingCheck.TEAM_LIMIT);
    }
    int maxTasks = (int) Math.min(taskCount, withinLimit);
    boolean avoidsSpot = cluster.avoidsSpot(job, eventLoop.wallClock());
    // Of thousands of machines a job takes a few: a heap yields those without sorting all.
    PriorityQueue<Candidate> candidates = new PriorityQueue<>(BY_COST);
    for (Machine machine : cluster.machinesWithCapacityFor(job)) {
      addCandidate(job, machine, taskCount, ignorePolicy, avoidsSpot, now, candidates);
    }
    if (ignorePolicy) {
      for (Machine machine : cluster.machinesWithheldByPolicy()) {
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
    boolean isCutByLimit = decision.isPlaced() && maxTasks < taskCount;
    return isCutByLimit ? new Decision(decision.machines(), SchedulingCheck.TEAM_LIMIT) : decision;
  }

  private static List<Candidate> sortedByCost(PriorityQueue<Candidate> candidates) {
    List<Candidate> sorted = new ArrayList<>(candidates);
    sorted.sort(BY_COST);
    return sorted;
  }

  /** Adds a machine that passes the checks and has capacity; twice if a second task costs more. */
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
                && !(machine.rentedForDeadlines
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
   * Whether the image is not cached there and takes longer to fetch than another machine takes to
   * boot. Then copies are scarcer than machines: tasks that have to fetch go to different ones, and
   * leave capacity beside them where the image will be.
   */
  private static boolean isSlowFetch(Job job, Machine machine) {
    if (machine.images.containsKey(job.spec.image())) {
      return false;
    }
    double undisturbedFetchSeconds =
        job.spec.imageGb() / Math.max(MIN_FETCH_GB_PER_SECOND, machine.type.fetchGbPerSecond());
    return undisturbedFetchSeconds > machine.type.bootTime().toMillis() / 1000.0;
  }

  /** A machine with capacity for that many tasks of the job. */
  private record Candidate(Machine machine, double cost, int count) {}

  private static final Comparator<Candidate> BY_COST =
      Comparator.<Candidate>comparingDouble(c -> c.cost).thenComparing(c -> c.machine.name);

  private boolean anyMachineKindAllowed(JobSpec spec) {
    for (ClusterState.MachineKind kind : cluster.machineKinds()) {
      if (satisfiesConstraints(spec, kind.type(), kind.zone(), kind.spot())) {
        return true;
      }
    }
    return false;
  }

  /** Whether the job's constraints on type, zone and spot machines are met. */
  private static boolean satisfiesConstraints(
      JobSpec spec, String type, String zone, boolean spot) {
    return spec.allowsType(type) && spec.allowsZone(zone) && (spec.spotAllowed() || !spot);
  }

  private static boolean satisfiesConstraints(JobSpec spec, Machine machine) {
    return satisfiesConstraints(spec, machine.type.name(), machine.zone, machine.spot);
  }

  /** Whether the job's constraints are met, and the job does not avoid the machine. */
  static boolean isAllowed(Job job, Machine machine) {
    return satisfiesConstraints(job.spec, machine) && !job.avoidedMachines.contains(machine.name);
  }

  /**
   * Whether a task would occupy an on-demand machine rented for deadlines for long: it takes a
   * small part of the machine for more than twice the time until another machine is ready, and can
   * wait for that. The last of such tasks occupied each machine for minutes after the peak that it
   * was rented for; other tasks leave it soon, and leave spot machines to such ones.
   */
  static boolean wouldBlockDeadlineMachine(
      ClusterState cluster, Job job, Machine machine, Instant wallClock) {
    Duration readyElsewhereAfter = cluster.minProvisioningTime(job.spec);
    boolean isShort =
        job.spec.estimatedRunTime().compareTo(readyElsewhereAfter.multipliedBy(2)) <= 0;
    if (isShort || fillsMachine(job.spec, machine.type) || !cluster.canWaitForCapacity(job)) {
      return false;
    }
    return cluster.startSlack(job, wallClock).compareTo(readyElsewhereAfter) > 0;
  }

  /** Whether a task takes half of a machine of this type or more. */
  public static boolean fillsMachine(JobSpec spec, MachineType type) {
    return 2 * spec.resourcesPerTask().dominantShareOf(type.capacity()) >= 1;
  }

  /** Whether one more task on the machine satisfies the job's constraints on zones. */
  static boolean allowsZoneOf(Job job, Machine machine) {
    Map<String, Integer> zones = attemptsByZone(job);
    if (job.spec.sameZone() && !zones.isEmpty() && !zones.containsKey(machine.zone)) {
      return false;
    }
    return zones.getOrDefault(machine.zone, 0) < maxTasksPerZone(job);
  }

  /** How many of the job's tasks may be in one zone. */
  private static int maxTasksPerZone(Job job) {
    return job.spec.spreadAcrossZones() ? (job.spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
  }

  /** What the job may take of a machine: free capacity less what is reserved for another job. */
  static Resources availableCapacity(Job job, Machine machine, Instant now) {
    Resources free = machine.free();
    boolean isReservedForOther =
        machine.isReservedForOther(job, now)
            && !job.priorityClass().isAbove(machine.reservedFor().priorityClass())
            && !endsBeforeReservation(job, machine, now);
    return isReservedForOther ? free.minus(machine.reserved()) : free;
  }

  /** Whether a task should end there before the job that holds the reservation can start. */
  private static boolean endsBeforeReservation(Job job, Machine machine, Instant now) {
    if (machine.reservationStartsAt() == null || job.spec.kind() != JobKind.ARRAY) {
      return false;
    }
    long millis = (long) (fetchSeconds(job, machine) * 1000);
    return now.plusMillis(millis)
        .plus(job.spec.estimatedRunTime())
        .isBefore(machine.reservationStartsAt());
  }

  /** How many attempts of the job there are, by zone. */
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
          candidates.stream().filter(c -> c.machine.zone.equals(zone)).iterator();
      // One that is to be spread as well runs half of its tasks at a time; a gang never does.
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
   * @param cheapest supplies the next machine by cost; null when there is none left
   */
  private static List<Machine> fillCheapest(
      int taskCount, Supplier<Candidate> cheapest, Map<String, Integer> zones, int maxInZone) {
    Map<String, Integer> tasksByZone = new HashMap<>(zones);
    List<Machine> chosen = new ArrayList<>();
    for (Candidate candidate = cheapest.get(); candidate != null; candidate = cheapest.get()) {
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
   * The cost of a task on the machine, in seconds: mostly the time until the image is there. A job
   * that may use spot machines leaves the others to jobs that may not, and fuller machines come
   * first so that some become empty and can be returned.
   */
  private static double cost(Job job, Machine machine, boolean avoidsSpot) {
    double cost = fetchSeconds(job, machine);
    if (avoidsSpot) {
      cost += machine.spot ? SPOT_RISK_COST_SECONDS : 0;
    } else if (job.spec.spotAllowed() && !machine.spot) {
      cost +=
          machine.rentedForDeadlines && fillsMachine(job.spec, machine.type)
              ? -DEADLINE_MACHINE_BONUS_SECONDS
              : ON_DEMAND_COST_SECONDS;
    }
    cost += 1 - machine.used.dominantShareOf(machine.type.capacity());
    return cost;
  }

  /** The seconds until the job's image is cached there, given what else is being fetched. */
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
        return REMAINING_FETCH_PART * job.spec.imageGb() / machine.type.fetchGbPerSecond();
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
