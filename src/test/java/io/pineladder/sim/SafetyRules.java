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

/** The rules at the end of the protocol, checked at every start, exit and answer. */
final class SafetyRules implements TaskWatcher {
  /**
   * What some user of a job has been told: of two answers the higher may not come before the lower
   * is asked for.
   */
  enum Told {
    NOTHING,
    ACCEPTED,
    OVER
  }

  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration MAX_UNANSWERED_TIME = Duration.ofSeconds(75);
  private static final Duration MAX_START_DELAY = Duration.ofMinutes(4);

  /** A submitted job as its user knows it. */
  static final class Known {
    final String id;
    final ObjectNode spec;
    boolean accepted;

    /** Submitted with a mistake: every task of it fails. */
    boolean broken;

    /** It can't run or lacks a field: no node may accept it. */
    boolean unfit;

    /** The last of what was told of it that was new. */
    Told lastAdvancedState = Told.NOTHING;

    /** Its user asks for it every few seconds. */
    boolean polled;

    /**
     * When its user first asked for it, a task of it first began, and a question was answered last.
     */
    Instant submitted;

    Instant begun;
    Instant answered;

    /** How often a task of it began. */
    int begins;

    final Set<String> everStarted = new HashSet<>();

    boolean cancelAsked;
    Instant cancelled;
    boolean done;
    final Set<Integer> completedTasks = new HashSet<>();

    Known(String id, ObjectNode spec) {
      this.id = id;
      this.spec = spec;
    }

    int tasks() {
      return spec.get("pieces").asInt();
    }

    /** The jobs that have to be done before any task of this one starts. */
    List<String> prerequisites() {
      List<String> ids = new ArrayList<>();
      spec.path("waits_on").forEach(id -> ids.add(id.asText()));
      return ids;
    }

    boolean isOver() {
      return done || cancelled != null;
    }

    /** What has been told of it by any node so far. */
    Told told() {
      return isOver() ? Told.OVER : accepted ? Told.ACCEPTED : Told.NOTHING;
    }
  }

  private final SimulatedWorld world;
  private final List<Team> teams;
  final Map<String, Known> jobs = new LinkedHashMap<>();

  /** Where each task is. */
  private final Map<String, Worker> workerByTask = new HashMap<>();

  /** What the tasks of each team use, and how many of each job's are in each zone. */
  private final Map<String, Resources> usageByTeam = new HashMap<>();

  private final Map<String, Map<String, Integer>> taskCountsByZone = new HashMap<>();

  /** Told of each job whose last task has just completed. */
  Consumer<Known> onLastTaskCompleted = job -> {};

  private final Map<String, Map<String, Worker>> readyGangTasks = new HashMap<>();
  int starts;

  /** Since when all troubles are over, or null. */
  Instant calmSince;

  /**
   * Which machines hold anything of a job; null where nobody promises that a cancellation is told
   * only once none does. Leases may be kept without limit because of that promise, so breaking it
   * is as bad as a task that runs on, which shows only when nobody can be reached.
   */
  Function<String, List<String>> holding;

  /** Asks the store for the placement of a start. */
  interface PlacementLookup {
    boolean isStored(String machine, String piece, long attempt);
  }

  /**
   * A start is to be executed only while its placement is stored: one that comes when its attempt
   * is taken for gone has been given up without proof. Null where the store may lose data.
   */
  PlacementLookup placed;

  SafetyRules(SimulatedWorld world, List<Team> teams) {
    this.world = world;
    this.teams = teams;
  }

  private AssertionError violation(String rule, Object what) {
    return new AssertionError(rule + " at " + world.now() + ": " + what);
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
    long apart = task.index() * spec.path("apart_ms").asLong();
    return spec.get("shape").asText().equals("service")
        ? 0
        : (long) (spec.get("guess_s").asDouble() * 1000) + apart;
  }

  @Override
  public void commanded(Task task, Worker on) {
    Known job = jobs.get(task.job());
    if (job == null) {
      throw violation("unknown job started", task.piece);
    }
    if (placed != null && !placed.isStored(on.name, task.piece, task.attempt)) {
      throw violation("not_stored", task.piece + "#" + task.attempt + " starts on " + on.name);
    }
    if (holding != null && job.cancelled != null) {
      throw violation(
          "told_too_soon", task.piece + " is sent to " + on.name + ", its job told cancelled");
    }
  }

  @Override
  public void started(Task task, Worker on) {
    starts++;
    Known job = jobs.get(task.job());
    job.begun = job.begun == null ? world.now() : job.begun;
    job.everStarted.add(task.piece);
    job.begins++;
    if (job.cancelled != null) {
      throw violation(
          "started_cancelled", task.piece + " starts on " + on.name + " after its user was told");
    }
    Worker other = workerByTask.get(task.piece);
    if (other != null && other != on) {
      throw violation("ran_twice", task.piece + " on " + other.name + " and " + on.name);
    }
    workerByTask.put(task.piece, on);
    for (String id : job.prerequisites()) {
      Known needed = jobs.get(id);
      if (needed.completedTasks.size() < needed.tasks()) {
        throw violation("too_early", task.piece + " starts before " + id + " is done");
      }
    }
    ObjectNode spec = job.spec;
    if (on.spot && !spec.get("loaners").asBoolean()) {
      throw violation("wrong_place", task.piece + " on a spot machine");
    }
    if (spec.hasNonNull("yard") && !spec.get("yard").asText().equals(on.zone)) {
      throw violation("wrong_place", task.piece + " in zone " + on.zone);
    }
    Resources each = StarvationCheck.resourcesPerTask(spec);
    String owner = spec.get("owner").asText();
    Map<String, Integer> zones = taskCountsByZone.computeIfAbsent(job.id, id -> new TreeMap<>());
    if (other == null) {
      usageByTeam.merge(owner, each, Resources::plus);
      zones.merge(on.zone, 1, Integer::sum);
    }
    Resources used = usageByTeam.get(owner);
    int inZone = zones.get(on.zone);
    if (spec.get("together").asBoolean() && zones.size() > 1) {
      throw violation("wrong_place", task.piece + " apart from the others");
    }
    if (spec.get("spread").asBoolean() && inZone > (job.tasks() + 1) / 2) {
      throw violation("wrong_place", task.piece + " is one too many in zone " + on.zone);
    }
    for (Team team : teams) {
      if (team.name().equals(owner) && !team.allows(used)) {
        throw violation("quota", used + " used at the start of " + task.piece);
      }
    }
  }

  @Override
  public void left(Task task, Worker from) {
    if (workerByTask.remove(task.piece, from)) {
      ObjectNode spec = jobs.get(task.job()).spec;
      usageByTeam.merge(
          spec.get("owner").asText(), StarvationCheck.resourcesPerTask(spec), Resources::minus);
      taskCountsByZone
          .get(task.job())
          .computeIfPresent(from.zone, (zone, n) -> n == 1 ? null : n - 1);
    }
    Map<String, Worker> of = readyGangTasks.get(task.job() + "#" + task.attempt);
    if (of != null) {
      of.remove(task.piece);
    }
  }

  /** A gang's tasks start together once all of one attempt are there. */
  @Override
  public void gather(Task task) {
    String key = task.job() + "#" + task.attempt;
    Map<String, Worker> of = readyGangTasks.computeIfAbsent(key, k -> new HashMap<>());
    of.put(task.piece, workerByTask.get(task.piece));
    if (of.size() == jobs.get(task.job()).tasks()) {
      for (var each : of.entrySet()) {
        String at = each.getKey() + "#" + task.attempt;
        each.getValue().run(at, each.getValue().tasks.get(at));
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

  /** Tasks of cancelled jobs must be gone in time; asked again and again. */
  void watchCancelled() {
    for (var place : workerByTask.entrySet()) {
      Known job = jobs.get(place.getKey().substring(0, place.getKey().indexOf('/')));
      if (job.cancelled != null && job.cancelled.plus(CANCEL_TIMEOUT).isBefore(world.now())) {
        throw violation("ran_cancelled", place.getKey() + " is still on " + place.getValue().name);
      }
    }
  }

  /**
   * An accepted job that was not cancelled stays known: once all troubles are over some question
   * about it is answered every 75 s, however others fare. Its user asks more often than that.
   */
  void checkAcceptedJobs() {
    if (calmSince == null) {
      return;
    }
    for (Known job : jobs.values()) {
      if (job.accepted && !job.cancelAsked) {
        Instant last = job.answered.isAfter(calmSince) ? job.answered : calmSince;
        if (last.plus(MAX_UNANSWERED_TIME).isBefore(world.now())) {
          throw violation("forgotten", job.id + " had no answer since " + job.answered);
        }
      }
    }
  }

  /** Of a class, of a team, and of the largest quarter of a class's jobs half must be served. */
  void checkShares() {
    Map<String, List<Known>> groups = new TreeMap<>();
    for (Known job : jobs.values()) {
      // What waits for others is served when those are done, and may be cancelled with one.
      if (!job.cancelAsked && !job.broken && job.prerequisites().isEmpty()) {
        String owner = job.spec.get("owner").asText();
        groups.computeIfAbsent("team " + owner, g -> new ArrayList<>()).add(job);
        String of = job.spec.get("jobclass").asText();
        groups.computeIfAbsent("class " + of, g -> new ArrayList<>()).add(job);
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

  /** Whether the condition holds for a job that this one needs, directly or through others. */
  boolean anyBefore(Known job, Predicate<Known> condition) {
    Deque<Known> left = new ArrayDeque<>(List.of(job));
    Set<Known> seen = new HashSet<>();
    while (!left.isEmpty()) {
      for (String id : left.poll().prerequisites()) {
        Known needed = jobs.get(id);
        if (condition.test(needed)) {
          return true;
        }
        if (seen.add(needed)) {
          left.add(needed);
        }
      }
    }
    return false;
  }

  /** A user was told a state. */
  void told(Known job, String status) {
    job.answered = world.now();
    if (status.equals("done") && job.completedTasks.size() < job.tasks()) {
      throw violation("not_done", job.id);
    }
    if (job.done && !status.equals("done")) {
      throw violation("went_back", job.id + " was done and is called " + status);
    }
    if (job.cancelled != null && !status.equals("aborted")) {
      throw violation("went_back", job.id + " was cancelled and is called " + status);
    }
    if (status.equals("aborted") && !job.cancelAsked && !anyBefore(job, each -> each.cancelAsked)) {
      throw violation("went_back", job.id + " is called cancelled by no wish of its user");
    }
    boolean isOver = status.equals("done") || status.equals("aborted");
    if (!isOver && anyBefore(job, SafetyRules.this::isLongCancelled)) {
      throw violation(
          "orphaned", job.id + " is called " + status + " after one before it was cancelled");
    }
    if (status.equals("done")) {
      job.done = true;
    } else if (status.equals("aborted") && job.cancelled == null) {
      job.cancelled = world.now();
      List<String> on = holding == null ? List.of() : holding.apply(job.id);
      if (!on.isEmpty()) {
        throw violation("told_too_soon", job.id + " is called cancelled and is on " + on);
      }
    }
  }

  /**
   * An answer of any node: read-your-writes and monotonic reads over all of them, as one history of
   * the job.
   *
   * @param before what had been told of the job, by whichever node, when the question was sent
   * @param state the state that the answer names, or null
   */
  void answered(Known job, Told before, int status, String state) {
    if (status == 404 || status == 400 || status == 422) {
      if (before != Told.NOTHING) {
        throw violation("forgotten", job.id + " got " + status + " asked when told " + before);
      }
    } else if (state != null) {
      if (job.unfit) {
        throw violation("accepted_unfit", job.id + " is called " + state);
      }
      boolean over = state.equals("done") || state.equals("aborted");
      // What was asked before the job was over may be answered as it was then.
      if (over || before == Told.OVER || !job.isOver()) {
        told(job, state);
      } else {
        job.answered = world.now();
      }
      job.accepted = true;
    }
  }
}
