package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/** The safety rules of the protocol, checked at every start, exit and answer in a simulation. */
final class SafetyRules implements TaskWatcher {
  /**
   * The latest state of a job that any answer has shown, in ascending order. A request sent after
   * an answer must not be answered with a lower state.
   */
  enum Told {
    NOTHING,
    ACCEPTED,
    OVER
  }

  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration MAX_UNANSWERED_TIME = Duration.ofSeconds(75);
  private static final Duration MAX_START_DELAY = Duration.ofMinutes(4);

  /** A submitted job with the answers its user got and the events of its tasks. */
  static final class Known {
    final String id;
    final ObjectNode spec;
    boolean accepted;

    /** Whether every attempt of its tasks fails. */
    boolean broken;

    /** Whether the specification is invalid, so that no node may accept the job. */
    boolean unfit;

    /** The last state that was passed to {@link SimulatedCluster#onStateAdvanced}. */
    Told lastAdvancedState = Told.NOTHING;

    /** Whether its user polls it every few seconds. */
    boolean polled;

    Instant submitted;
    Instant begun;
    Instant answered;

    /** How many task attempts have started. */
    int begins;

    final Set<String> everStarted = new HashSet<>();

    boolean cancelAsked;

    /** When an answer first showed that the job was cancelled. */
    Instant cancelled;

    /** Whether an answer has shown that the job is done. */
    boolean done;

    final Set<Integer> completedTasks = new HashSet<>();

    Known(String id, ObjectNode spec) {
      this.id = id;
      this.spec = spec;
    }

    int tasks() {
      return spec.get("pieces").asInt();
    }

    /** The IDs of the jobs that must be done before any task of this one starts. */
    List<String> prerequisites() {
      List<String> ids = new ArrayList<>();
      spec.path("waits_on").forEach(id -> ids.add(id.asText()));
      return ids;
    }

    boolean isOver() {
      return done || cancelled != null;
    }

    /** The latest state that any node has answered so far. */
    Told told() {
      return isOver() ? Told.OVER : accepted ? Told.ACCEPTED : Told.NOTHING;
    }
  }

  private final SimulatedWorld world;
  private final List<Team> teams;
  final Map<String, Known> jobs = new LinkedHashMap<>();

  /** The worker on which each task occupies resources. */
  private final Map<String, Worker> workerByTask = new HashMap<>();

  /** The resources in use by the tasks of each team. */
  private final Map<String, Resources> usageByTeam = new HashMap<>();

  /** How many tasks of each job are in each zone. */
  private final Map<String, Map<String, Integer>> taskCountsByZone = new HashMap<>();

  /** Called with each job whose last task has just completed. */
  Consumer<Known> onLastTaskCompleted = job -> {};

  /** The tasks of each gang attempt that are ready, with their workers. */
  private final Map<String, Map<String, Worker>> readyGangTasks = new HashMap<>();

  int starts;

  /** When all faults ended, or null while there are any. Liveness is checked from then on. */
  Instant calmSince;

  /**
   * Finds the machines with unfinished tasks of a job; null skips the check. A job may be reported
   * cancelled only once there are none, because leases can be renewed without limit.
   */
  Function<String, List<String>> holding;

  /** Looks up in the store whether the placement of a task attempt is stored. */
  interface PlacementLookup {
    boolean isStored(String machine, String piece, long attempt);
  }

  /**
   * A start may be executed only while its placement is stored; null skips the check. A violation
   * means that an attempt was abandoned before it was proven to be gone.
   */
  PlacementLookup placed;

  SafetyRules(SimulatedWorld world, List<Team> teams) {
    this.world = world;
    this.teams = teams;
  }

  private AssertionError violation(String rule, Object details) {
    return new AssertionError(rule + " at " + world.now() + ": " + details);
  }

  @Override
  public boolean isBroken(Task task) {
    return jobs.get(task.job()).broken;
  }

  @Override
  public boolean isGang(Task task) {
    return jobs.get(task.job()).spec.get("shape").asText().equals("group");
  }

  @Override
  public long runMillis(Task task) {
    ObjectNode spec = jobs.get(task.job()).spec;
    long staggerMillis = task.index() * spec.path("apart_ms").asLong();
    return spec.get("shape").asText().equals("service")
        ? 0
        : (long) (spec.get("guess_s").asDouble() * 1000) + staggerMillis;
  }

  @Override
  public void commanded(Task task, Worker worker) {
    Known job = jobs.get(task.job());
    if (job == null) {
      throw violation("unknown job started", task.piece);
    }
    if (placed != null && !placed.isStored(worker.name, task.piece, task.attempt)) {
      throw violation("not_stored", task.piece + "#" + task.attempt + " starts on " + worker.name);
    }
    if (holding != null && job.cancelled != null) {
      throw violation(
          "told_too_soon",
          task.piece + " started on " + worker.name + " after its job was reported cancelled");
    }
  }

  @Override
  public void started(Task task, Worker worker) {
    starts++;
    Known job = jobs.get(task.job());
    job.begun = job.begun == null ? world.now() : job.begun;
    job.everStarted.add(task.piece);
    job.begins++;
    if (job.cancelled != null) {
      throw violation(
          "started_cancelled",
          task.piece + " starts on " + worker.name + " after its job was reported cancelled");
    }
    Worker previous = workerByTask.get(task.piece);
    if (previous != null && previous != worker) {
      throw violation("ran_twice", task.piece + " on " + previous.name + " and " + worker.name);
    }
    workerByTask.put(task.piece, worker);
    for (String id : job.prerequisites()) {
      Known prerequisite = jobs.get(id);
      if (prerequisite.completedTasks.size() < prerequisite.tasks()) {
        throw violation("too_early", task.piece + " starts before " + id + " is done");
      }
    }
    ObjectNode spec = job.spec;
    if (worker.spot && !spec.get("loaners").asBoolean()) {
      throw violation("wrong_place", task.piece + " runs on a spot machine");
    }
    if (spec.hasNonNull("yard") && !spec.get("yard").asText().equals(worker.zone)) {
      throw violation("wrong_place", task.piece + " runs in zone " + worker.zone);
    }
    Resources perTask = StarvationCheck.resourcesPerTask(spec);
    String owner = spec.get("owner").asText();
    Map<String, Integer> zones = taskCountsByZone.computeIfAbsent(job.id, id -> new TreeMap<>());
    if (previous == null) {
      usageByTeam.merge(owner, perTask, Resources::plus);
      zones.merge(worker.zone, 1, Integer::sum);
    }
    Resources used = usageByTeam.get(owner);
    int inZone = zones.get(worker.zone);
    if (spec.get("together").asBoolean() && zones.size() > 1) {
      throw violation("wrong_place", task.piece + " is not in the zone of the other tasks");
    }
    if (spec.get("spread").asBoolean() && inZone > (job.tasks() + 1) / 2) {
      throw violation(
          "wrong_place", task.piece + " exceeds the task limit of its job in zone " + worker.zone);
    }
    for (Team team : teams) {
      if (team.name().equals(owner) && !team.allows(used)) {
        throw violation(
            "quota", "team " + owner + " uses " + used + " after the start of " + task.piece);
      }
    }
  }

  @Override
  public void left(Task task, Worker worker) {
    if (workerByTask.remove(task.piece, worker)) {
      ObjectNode spec = jobs.get(task.job()).spec;
      usageByTeam.merge(
          spec.get("owner").asText(), StarvationCheck.resourcesPerTask(spec), Resources::minus);
      taskCountsByZone
          .get(task.job())
          .computeIfPresent(worker.zone, (zone, n) -> n == 1 ? null : n - 1);
    }
    Map<String, Worker> ready = readyGangTasks.get(task.job() + "#" + task.attempt);
    if (ready != null) {
      ready.remove(task.piece);
    }
  }

  /** Starts the tasks of a gang together once all tasks of one attempt are ready. */
  @Override
  public void gather(Task task) {
    String key = task.job() + "#" + task.attempt;
    Map<String, Worker> ready = readyGangTasks.computeIfAbsent(key, k -> new HashMap<>());
    ready.put(task.piece, workerByTask.get(task.piece));
    if (ready.size() == jobs.get(task.job()).tasks()) {
      for (var entry : ready.entrySet()) {
        String taskKey = entry.getKey() + "#" + task.attempt;
        entry.getValue().run(taskKey, entry.getValue().tasks.get(taskKey));
      }
    }
  }

  @Override
  public void completed(Task task) {
    Known job = jobs.get(task.job());
    job.completedTasks.add(task.index());
    if (isGang(task)) {
      for (int i = 0; i < job.tasks(); i++) {
        job.completedTasks.add(i);
      }
    }
    if (job.completedTasks.size() == job.tasks()) {
      onLastTaskCompleted.accept(job);
    }
  }

  /** Checks that tasks of cancelled jobs stop in time; called periodically. */
  void watchCancelled() {
    for (var place : workerByTask.entrySet()) {
      Known job = jobs.get(place.getKey().substring(0, place.getKey().indexOf('/')));
      if (job.cancelled != null && job.cancelled.plus(CANCEL_TIMEOUT).isBefore(world.now())) {
        throw violation(
            "ran_cancelled", place.getKey() + " still runs on " + place.getValue().name);
      }
    }
  }

  /**
   * Checks that once all faults have ended, some request about each accepted job is answered at
   * least every 75 s, unless its user has cancelled it. Its user polls more often than that.
   */
  void checkAcceptedJobs() {
    if (calmSince == null) {
      return;
    }
    for (Known job : jobs.values()) {
      if (job.accepted && !job.cancelAsked) {
        Instant last = job.answered.isAfter(calmSince) ? job.answered : calmSince;
        if (last.plus(MAX_UNANSWERED_TIME).isBefore(world.now())) {
          throw violation("forgotten", job.id + " got no answer since " + job.answered);
        }
      }
    }
  }

  /**
   * Checks that at least half of the jobs are served in each team, in each job class, and among the
   * largest quarter of each class, and that the latter start in time.
   */
  void checkShares() {
    Map<String, List<Known>> groups = new TreeMap<>();
    for (Known job : jobs.values()) {
      // Dependent jobs are left out: they wait for their prerequisites and are cancelled with them.
      if (!job.cancelAsked && !job.broken && job.prerequisites().isEmpty()) {
        String owner = job.spec.get("owner").asText();
        groups.computeIfAbsent("team " + owner, g -> new ArrayList<>()).add(job);
        String jobClass = job.spec.get("jobclass").asText();
        groups.computeIfAbsent("class " + jobClass, g -> new ArrayList<>()).add(job);
      }
    }
    groups.forEach(this::checkServedShare);
    groups.forEach(
        (name, group) -> {
          if (name.startsWith("class ")) {
            group.sort(Comparator.comparingInt(Known::tasks).reversed());
            List<Known> largest = group.subList(0, (group.size() + 3) / 4);
            checkServedShare("largest of " + name, largest);
            for (Known job : largest) {
              if (job.begun == null || job.begun.isAfter(job.submitted.plus(MAX_START_DELAY))) {
                throw violation("largest began late", job.id + " of " + name + " at " + job.begun);
              }
            }
          }
        });
  }

  private void checkServedShare(String name, List<Known> group) {
    long served = group.stream().filter(SafetyRules::isServed).count();
    if (2 * served < group.size()) {
      throw violation("less than half served", name + ": " + served + " of " + group.size());
    }
  }

  private static boolean isServed(Known job) {
    boolean service = job.spec.get("shape").asText().equals("service");
    return service ? job.everStarted.size() == job.tasks() : job.done;
  }

  private boolean isLongCancelled(Known job) {
    return job.cancelled != null && job.cancelled.plus(CANCEL_TIMEOUT).isBefore(world.now());
  }

  /** Whether the condition holds for any direct or transitive prerequisite of the job. */
  boolean anyBefore(Known job, Predicate<Known> condition) {
    Deque<Known> pending = new ArrayDeque<>(List.of(job));
    Set<Known> seen = new HashSet<>();
    while (!pending.isEmpty()) {
      for (String id : pending.poll().prerequisites()) {
        Known prerequisite = jobs.get(id);
        if (condition.test(prerequisite)) {
          return true;
        }
        if (seen.add(prerequisite)) {
          pending.add(prerequisite);
        }
      }
    }
    return false;
  }

  /** Checks a job state that an answer shows, and records it. */
  void told(Known job, String status) {
    job.answered = world.now();
    if (status.equals("done") && job.completedTasks.size() < job.tasks()) {
      throw violation("not_done", job.id + " is reported done before all tasks completed");
    }
    if (job.done && !status.equals("done")) {
      throw violation("went_back", job.id + " was reported done and now " + status);
    }
    if (job.cancelled != null && !status.equals("aborted")) {
      throw violation("went_back", job.id + " was reported cancelled and now " + status);
    }
    if (status.equals("aborted") && !job.cancelAsked && !anyBefore(job, each -> each.cancelAsked)) {
      throw violation(
          "went_back",
          job.id + " is reported cancelled without a request to cancel it or a prerequisite");
    }
    boolean isOver = status.equals("done") || status.equals("aborted");
    if (!isOver && anyBefore(job, SafetyRules.this::isLongCancelled)) {
      throw violation(
          "orphaned", job.id + " is reported " + status + " after a prerequisite was cancelled");
    }
    if (status.equals("done")) {
      job.done = true;
    } else if (status.equals("aborted") && job.cancelled == null) {
      job.cancelled = world.now();
      List<String> machines = holding == null ? List.of() : holding.apply(job.id);
      if (!machines.isEmpty()) {
        throw violation(
            "told_too_soon", job.id + " is reported cancelled but has tasks on " + machines);
      }
    }
  }

  /**
   * Checks an answer of any node for read-your-writes and monotonic reads over all nodes.
   *
   * @param before the latest state that any node had answered when the request was sent
   * @param state the job state in the answer, or null
   */
  void answered(Known job, Told before, int status, String state) {
    if (status == 404 || status == 400 || status == 422) {
      if (before != Told.NOTHING) {
        throw violation(
            "forgotten",
            job.id + " got " + status + " for a request sent after it was reported " + before);
      }
    } else if (state != null) {
      if (job.unfit) {
        throw violation("accepted_unfit", job.id + " is invalid and reported " + state);
      }
      boolean finished = state.equals("done") || state.equals("aborted");
      // A request sent before the job finished may get an older state as its answer.
      if (finished || before == Told.OVER || !job.isOver()) {
        told(job, state);
      } else {
        job.answered = world.now();
      }
      job.accepted = true;
    }
  }
}
