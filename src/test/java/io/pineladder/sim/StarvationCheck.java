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
 * The users' starvation bound: once all troubles are over no job waits for 90 s while a machine
 * that fits has room and its team is under its limit. Asked of what is on the machines, plainly and
 * of all of them.
 */
final class StarvationCheck {
  static final Duration MAX_WAIT = Duration.ofSeconds(90);

  private final SimulatedWorld world;
  private final SafetyRules rules;
  private final FakeFleet fleet;
  private final List<Team> teams;

  /**
   * Since when each job has waited although it could run, and how many of its tasks were under way
   * then.
   */
  private final Map<String, Instant> since = new HashMap<>();

  private final Map<String, Integer> underWay = new HashMap<>();

  /** Where the tasks of a job are that have not exited, by their number. */
  private final Map<String, Map<Integer, Worker>> places = new HashMap<>();

  private final Map<Worker, Resources> free = new HashMap<>();
  private final Map<String, Resources> usage = new HashMap<>();

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
    look();
    for (SafetyRules.TrackedJob job : rules.jobs.values()) {
      int now = job.completed.size() + places.getOrDefault(job.id, Map.of()).size();
      boolean moves = underWay.getOrDefault(job.id, 0) < now;
      underWay.put(job.id, now);
      if (moves || !waits(job) || !couldRun(job)) {
        since.remove(job.id);
        continue;
      }
      Instant first = since.computeIfAbsent(job.id, id -> world.now());
      if (first.plus(MAX_WAIT).isBefore(world.now())) {
        throw new AssertionError(
            "starved at " + world.now() + ": " + job.id + " waits since " + first + " " + job.spec);
      }
    }
  }

  private void look() {
    places.clear();
    free.clear();
    usage.clear();
    for (Worker worker : fleet.machines.values()) {
      Resources left = fleet.size(worker.type);
      for (Task task : worker.tasks.values()) {
        if (task.status.equals("ended")) {
          continue;
        }
        JsonNode spec = rules.jobs.get(task.jobId()).spec;
        left = left.minus(each(spec));
        usage.merge(spec.get("owner").asText(), each(spec), Resources::plus);
        places.computeIfAbsent(task.jobId(), j -> new HashMap<>()).put(task.index(), worker);
      }
      if (worker.up && world.hears(SimulatedWorld.host(worker.address))) {
        free.put(worker, left);
      }
    }
  }

  static Resources each(JsonNode spec) {
    return Resources.of(
        spec.get("vcpus").asDouble(),
        spec.get("cards").asDouble(),
        spec.get("memory_gb").asDouble());
  }

  /**
   * It is to run, was not submitted with a mistake, and tasks of it are neither complete nor on a
   * machine.
   */
  private boolean waits(SafetyRules.TrackedJob job) {
    boolean wanted = job.accepted && !job.cancelRequested && !job.isFinished() && !job.alwaysFails;
    for (String id : job.prerequisites()) {
      SafetyRules.TrackedJob needed = rules.jobs.get(id);
      // A completion is seen, stored and told before what needs it can start.
      wanted &= needed.done;
    }
    Map<Integer, Worker> there = places.getOrDefault(job.id, Map.of());
    Set<Integer> known = new HashSet<>(job.completed);
    known.addAll(there.keySet());
    boolean gang = job.spec.get("shape").asText().equals("group");
    // What is left of a gang must be gone before it can start anew.
    return wanted && known.size() < job.taskCount() && !(gang && !there.isEmpty());
  }

  private boolean couldRun(SafetyRules.TrackedJob job) {
    JsonNode spec = job.spec;
    boolean gang = spec.get("shape").asText().equals("group");
    int wanted = gang ? job.taskCount() : 1;
    Resources each = each(spec);
    String owner = spec.get("owner").asText();
    Team team = teams.stream().filter(t -> t.name().equals(owner)).findFirst().orElseThrow();
    Resources used = usage.getOrDefault(owner, Resources.ZERO);
    if (!team.allows(used.plus(each.times(wanted)))) {
      return false;
    }
    boolean together = spec.get("together").asBoolean();
    int most = spec.get("spread").asBoolean() ? (job.taskCount() + 1) / 2 : Integer.MAX_VALUE;
    Map<String, Integer> inZone = new HashMap<>();
    places
        .getOrDefault(job.id, Map.of())
        .values()
        .forEach(w -> inZone.merge(w.zone, 1, Integer::sum));
    Map<String, Long> room = new HashMap<>();
    free.forEach(
        (worker, left) -> {
          boolean allowed =
              (!worker.spot || spec.get("loaners").asBoolean())
                  && (!spec.hasNonNull("yard") || spec.get("yard").asText().equals(worker.zone))
                  && (!spec.hasNonNull("hulls") || names(spec.get("hulls")).contains(worker.type));
          boolean apart = together && !inZone.isEmpty() && !inZone.containsKey(worker.zone);
          if (allowed && !apart) {
            room.merge(worker.zone, each.timesFittingIn(left), Long::sum);
          }
        });
    room.replaceAll((zone, count) -> Math.min(count, most - inZone.getOrDefault(zone, 0)));
    return together
        ? room.values().stream().anyMatch(count -> count >= wanted)
        : room.values().stream().mapToLong(count -> Math.max(0, count)).sum() >= wanted;
  }

  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(each -> names.add(each.asText()));
    return names;
  }
}
