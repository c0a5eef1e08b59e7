package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that no job starves: once all faults have ended, no job waits for more than 90 s while
 * machines have capacity for it and its team is below its quota. The check compares the jobs with
 * the actual state of all machines.
 */
final class StarvationCheck {
  static final Duration MAX_WAIT = Duration.ofSeconds(90);

  private final SimulatedWorld world;
  private final SafetyRules rules;
  private final FakeFleet fleet;
  private final List<Team> teams;

  /** When each waiting job that could run started to wait. */
  private final Map<String, Instant> waitingSince = new HashMap<>();

  /** How many tasks of each job were on a machine or completed at the last check. */
  private final Map<String, Integer> activeOrCompletedTasks = new HashMap<>();

  /** The workers of the tasks that have not exited, by job and task index. */
  private final Map<String, Map<Integer, Worker>> workersByJob = new HashMap<>();

  private final Map<Worker, Resources> freeResources = new HashMap<>();
  private final Map<String, Resources> usageByTeam = new HashMap<>();

  StarvationCheck(SimulatedWorld world, SafetyRules rules, FakeFleet fleet, List<Team> teams) {
    this.world = world;
    this.rules = rules;
    this.fleet = fleet;
    this.teams = teams;
  }

  void check() {
    if (rules.faultsEndedAt == null) {
      return;
    }
    readFleet();
    for (SafetyRules.TrackedJob job : rules.jobs.values()) {
      int current = job.completedTasks.size() + workersByJob.getOrDefault(job.id, Map.of()).size();
      boolean progressed = activeOrCompletedTasks.getOrDefault(job.id, 0) < current;
      activeOrCompletedTasks.put(job.id, current);
      if (progressed || !isWaiting(job) || !couldRun(job)) {
        waitingSince.remove(job.id);
        continue;
      }
      Instant start = waitingSince.computeIfAbsent(job.id, id -> world.now());
      if (start.plus(MAX_WAIT).isBefore(world.now())) {
        throw new AssertionError(
            "starved at "
                + world.now()
                + ": "
                + job.id
                + " waits since "
                + start
                + " although it could run: "
                + job.spec);
      }
    }
  }

  private void readFleet() {
    workersByJob.clear();
    freeResources.clear();
    usageByTeam.clear();
    for (Worker worker : fleet.machines.values()) {
      Resources available = fleet.machineResources(worker.type);
      for (Task task : worker.tasks.values()) {
        if (task.status.equals("ended")) {
          continue;
        }
        JsonNode spec = rules.jobs.get(task.jobId()).spec;
        available = available.minus(resourcesPerTask(spec));
        usageByTeam.merge(spec.get("owner").asText(), resourcesPerTask(spec), Resources::plus);
        workersByJob.computeIfAbsent(task.jobId(), j -> new HashMap<>()).put(task.index(), worker);
      }
      if (worker.up && world.isReachable(SimulatedWorld.host(worker.address))) {
        freeResources.put(worker, available);
      }
    }
  }

  static Resources resourcesPerTask(JsonNode spec) {
    return Resources.of(
        spec.get("vcpus").asDouble(),
        spec.get("cards").asDouble(),
        spec.get("memory_gb").asDouble());
  }

  /** Whether the job should run and has tasks that are neither complete nor on a machine. */
  private boolean isWaiting(SafetyRules.TrackedJob job) {
    boolean runnable =
        job.accepted
            && !job.cancelRequested
            && !job.isFinished()
            && !job.alwaysFails
            && !job.recordLost;
    for (String id : job.prerequisites()) {
      SafetyRules.TrackedJob prerequisite = rules.jobs.get(id);
      // A prerequisite counts once an answer has shown it as done: its completion is stored by
      // then.
      runnable &= prerequisite.done;
    }
    Map<Integer, Worker> placed = workersByJob.getOrDefault(job.id, Map.of());
    Set<Integer> started = new HashSet<>(job.completedTasks);
    started.addAll(placed.keySet());
    boolean gang = job.spec.get("shape").asText().equals("group");
    // A gang can restart only once all tasks of its last attempt are gone.
    return runnable && started.size() < job.taskCount() && !(gang && !placed.isEmpty());
  }

  private boolean couldRun(SafetyRules.TrackedJob job) {
    JsonNode spec = job.spec;
    boolean gang = spec.get("shape").asText().equals("group");
    int taskCount = gang ? job.taskCount() : 1;
    Resources perTask = resourcesPerTask(spec);
    String owner = spec.get("owner").asText();
    Team team = teams.stream().filter(t -> t.name().equals(owner)).findFirst().orElseThrow();
    Resources used = usageByTeam.getOrDefault(owner, Resources.ZERO);
    if (!team.allows(used.plus(perTask.times(taskCount)))) {
      return false;
    }
    boolean together = spec.get("together").asBoolean();
    int maxPerZone = spec.get("spread").asBoolean() ? (job.taskCount() + 1) / 2 : Integer.MAX_VALUE;
    Map<String, Integer> inZone = new HashMap<>();
    workersByJob
        .getOrDefault(job.id, Map.of())
        .values()
        .forEach(w -> inZone.merge(w.zone, 1, Integer::sum));
    Map<String, Long> fittingTasksByZone = new HashMap<>();
    freeResources.forEach(
        (worker, available) -> {
          boolean allowed =
              (!worker.spot || spec.get("loaners").asBoolean())
                  && (!spec.hasNonNull("yard") || spec.get("yard").asText().equals(worker.zone))
                  && (!spec.hasNonNull("hulls") || names(spec.get("hulls")).contains(worker.type));
          boolean inOtherZone = together && !inZone.isEmpty() && !inZone.containsKey(worker.zone);
          if (allowed && !inOtherZone) {
            fittingTasksByZone.merge(worker.zone, perTask.timesFittingIn(available), Long::sum);
          }
        });
    fittingTasksByZone.replaceAll(
        (zone, count) -> Math.min(count, maxPerZone - inZone.getOrDefault(zone, 0)));
    return together
        ? fittingTasksByZone.values().stream().anyMatch(count -> count >= taskCount)
        : fittingTasksByZone.values().stream().mapToLong(count -> Math.max(0, count)).sum()
            >= taskCount;
  }

  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(each -> names.add(each.asText()));
    return names;
  }
}
