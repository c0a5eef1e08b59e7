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

/** The checks that a placement must pass, and the choice among the machines that pass them. */
public final class Placer {
  /** What speaks against a second task on a machine that is to fetch a slow image, in seconds. */
  private static final double SECOND_FETCH_COST_SECONDS = 10;

  /** What speaks against a spot machine for a job that its loss would make late, in seconds. */
  private static final double SPOT_RISK_COST_SECONDS = 12;

  /** What speaks for a machine rented in a rush that the task fills, in seconds. */
  private static final double DEADLINE_MACHINE_BONUS_SECONDS = 5;

  private final ClusterState cluster;

  private final EventLoop eventLoop;

  public Placer(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /**
   * Machines for as many of the tasks asked for as could be placed, and the check that rejected the
   * rest; null when none was rejected.
   */
  public record Decision(List<Machine> machines, SchedulingCheck rejectedBy) {
    static Decision rejected(SchedulingCheck by) {
      return new Decision(List.of(), by);
    }

    public boolean isPlaced() {
      return rejectedBy == null;
    }
  }

  /**
   * Decides for so many tasks in one look at the machines with room. A gang gets a place as a whole
   * or not at all; of other jobs the first tasks may be placed and the rest rejected.
   */
  Decision place(Job job, int taskCount, Instant now) {
    return place(job, taskCount, false, now);
  }

  /** Decides as {@link #place(Job, int, Instant)} does, by the checks alone that the rules need. */
  Decision placeIgnoringPolicy(Job job, int taskCount, Instant now) {
    return place(job, taskCount, true, now);
  }

  private Decision place(Job job, int taskCount, boolean ignorePolicy, Instant now) {
    JobSpec spec = job.spec;
    boolean allOrNothing = spec.kind() == JobKind.GANG;
    Team team = cluster.team(spec.team());
    long withinLimit =
        team == null ? 0 : team.countWithin(cluster.usage(spec.team()), spec.resourcesPerTask());
    if (withinLimit == 0 || (allOrNothing && withinLimit < taskCount)) {
      return Decision.rejected(SchedulingCheck.TEAM_LIMIT);
    }
    int maxTasks = (int) Math.min(taskCount, withinLimit);
    boolean avoidsSpot = cluster.avoidsSpot(job, eventLoop.wallClock());
    // Of thousands of machines a job takes a few: a heap gives those without putting all in order.
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

  /** Adds a machine that passes the checks and has room, once or in two parts of different cost. */
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
   * Whether the image is yet to be fetched there and takes longer than another machine would to
   * boot. Then copies are scarcer than machines: tasks that have to fetch go to different ones, and
   * leave room next to them where the image will be.
   */
  private static boolean isSlowFetch(Job job, Machine machine) {
    if (machine.images.containsKey(job.spec.image())) {
      return false;
    }
    double fetchSeconds = job.spec.imageGb() / Math.max(1e-3, machine.type.fetchGbPerSecond());
    return fetchSeconds > machine.type.bootTime().toMillis() / 1000.0;
  }

  /** A machine with room for so many tasks of the job. */
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

  /** Type, zone and kind. */
  private static boolean satisfiesConstraints(
      JobSpec spec, String type, String zone, boolean spot) {
    return spec.allowsType(type) && spec.allowsZone(zone) && (spec.spotAllowed() || !spot);
  }

  private static boolean satisfiesConstraints(JobSpec spec, Machine machine) {
    return satisfiesConstraints(spec, machine.type.name(), machine.zone, machine.spot);
  }

  /** Type, zone, kind, and no earlier failure of this job there. */
  static boolean isAllowed(Job job, Machine machine) {
    return satisfiesConstraints(job.spec, machine) && !job.avoidedMachines.contains(machine.name);
  }

  /**
   * Whether a task would keep a dear machine for long: it takes a small part of it for twice the
   * time that another machine takes, and has time to wait. The last of such tasks kept each for
   * minutes after the rush that it was rented for; the others leave it soon, and spot machines to
   * them.
   */
  static boolean wouldBlockDeadlineMachine(
      ClusterState cluster, Job job, Machine machine, Instant wallClock) {
    Duration readyElsewhereAfter = cluster.soonestStartElsewhere(job.spec);
    boolean isShort =
        job.spec.estimatedRunTime().compareTo(readyElsewhereAfter.multipliedBy(2)) <= 0;
    if (isShort || fillsMachine(job.spec, machine.type) || !cluster.canWaitForCapacity(job)) {
      return false;
    }
    return cluster.startSlack(job, wallClock).compareTo(readyElsewhereAfter) > 0;
  }

  /** Whether a task takes half of such a machine or more. */
  public static boolean fillsMachine(JobSpec spec, MachineType type) {
    return 2 * spec.resourcesPerTask().shareOf(type.capacity()) >= 1;
  }

  /** Whether one more task there keeps to the job's wishes about zones. */
  static boolean allowsZoneOf(Job job, Machine machine) {
    Map<String, Integer> zones = attemptsByZone(job);
    if (job.spec.sameZone() && !zones.isEmpty() && !zones.containsKey(machine.zone)) {
      return false;
    }
    return zones.getOrDefault(machine.zone, 0) < maxTasksPerZone(job);
  }

  /** So many of a job's tasks may be in one zone. */
  private static int maxTasksPerZone(Job job) {
    return job.spec.spreadAcrossZones() ? (job.spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
  }

  /** What a job may take of a machine: free room less what is kept there for another job. */
  static Resources availableCapacity(Job job, Machine machine, Instant now) {
    Resources free = machine.free();
    boolean isReservedForOther =
        machine.reservedFor != null
            && machine.reservedFor != job
            && machine.reservationExpiresAt.isAfter(now)
            && !job.priorityClass().isAbove(machine.reservedFor.priorityClass())
            && !endsBeforeReservation(job, machine, now);
    return isReservedForOther ? free.minus(machine.reserved) : free;
  }

  /** Whether a task is thought to end there before the job that room is kept for can start. */
  private static boolean endsBeforeReservation(Job job, Machine machine, Instant now) {
    if (machine.reservationStartsAt == null || job.spec.kind() != JobKind.ARRAY) {
      return false;
    }
    long millis = (long) (fetchSeconds(job, machine) * 1000);
    return now.plusMillis(millis)
        .plus(job.spec.estimatedRunTime())
        .isBefore(machine.reservationStartsAt);
  }

  /** Everything of a job that may be somewhere, by zone. */
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
      // One that is to be spread as well runs half at a time; a gang of several never does.
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
   * Fills the cheapest machine, then the next, until enough tasks have a place.
   *
   * @param cheapest gives the next machine by cost; null when there is none left
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
   * What speaks against a machine, in seconds: mostly the time until the image is there. A job that
   * may use spot machines leaves the others to those that may not, and fuller machines come first
   * so that some become empty and can be returned.
   */
  private static double cost(Job job, Machine machine, boolean avoidsSpot) {
    double cost = fetchSeconds(job, machine);
    if (avoidsSpot) {
      cost += machine.spot ? SPOT_RISK_COST_SECONDS : 0;
    } else if (job.spec.spotAllowed() && !machine.spot) {
      cost +=
          machine.rentedForDeadlines && fillsMachine(job.spec, machine.type)
              ? -DEADLINE_MACHINE_BONUS_SECONDS
              : 3;
    }
    cost += 1 - machine.used.shareOf(machine.type.capacity());
    return cost;
  }

  /** How long the image takes to get there, given what else is being fetched. */
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
        return 0.5 * job.spec.imageGb() / machine.type.fetchGbPerSecond();
      }
      gb += attempt.job.spec.imageGb();
    }
    return gb / Math.max(1e-3, machine.type.fetchGbPerSecond());
  }

  private static boolean isFetching(Attempt attempt) {
    return switch (attempt.state()) {
      case PLACEMENT_PENDING, PLACEMENT_STORED, FETCHING_IMAGE -> true;
      default -> false;
    };
  }
}
