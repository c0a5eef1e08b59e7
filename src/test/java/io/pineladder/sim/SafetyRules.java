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
  enum ReportedState {
    UNKNOWN,
    ACCEPTED,
    FINISHED
  }

  private static final Duration CANCEL = Duration.ofSeconds(40);
  private static final Duration KNOWN = Duration.ofSeconds(75);
  private static final Duration BEGINS = Duration.ofMinutes(4);

  /** A submitted job as its user knows it. */
  static final class TrackedJob {
    final String id;
    final ObjectNode spec;
    boolean accepted;

    /** Submitted with a mistake: every task of it fails. */
    boolean alwaysFails;

    /** It can't run or lacks a field: no node may accept it. */
    boolean invalid;

    /** The last of what was told of it that was new. */
    ReportedState news = ReportedState.UNKNOWN;

    /** Its user asks for it every few seconds. */
    boolean polled;

    /**
     * When its user first asked for it, a task of it first began, and a question was answered last.
     */
    Instant submittedAt;

    Instant firstStartedAt;
    Instant lastAnsweredAt;

    /** How often a task of it began. */
    int startCount;

    final Set<String> startedTasks = new HashSet<>();

    boolean cancelRequested;
    Instant cancelledAt;
    boolean done;
    final Set<Integer> completed = new HashSet<>();

    TrackedJob(String id, ObjectNode spec) {
      this.id = id;
      this.spec = spec;
    }

    int taskCount() {
      return spec.get("pieces").asInt();
    }

    /** The jobs that have to be done before any task of this one starts. */
    List<String> prerequisites() {
      List<String> ids = new ArrayList<>();
      spec.path("waits_on").forEach(id -> ids.add(id.asText()));
      return ids;
    }

    boolean isFinished() {
      return done || cancelledAt != null;
    }

    /** What has been told of it by any node so far. */
    ReportedState reportedState() {
      return isFinished() ? ReportedState.FINISHED : accepted ? ReportedState.ACCEPTED : ReportedState.UNKNOWN;
    }
  }

  private final SimulatedWorld world;
  private final List<Team> teams;
  final Map<String, TrackedJob> jobs = new LinkedHashMap<>();

  /** Where each task is. */
  private final Map<String, Worker> places = new HashMap<>();

  /** What the tasks of each team use, and how many of each job's are in each zone. */
  private final Map<String, Resources> usage = new HashMap<>();

  private final Map<String, Map<String, Integer>> zonesOf = new HashMap<>();

  /** Told of each job whose last task has just completed. */
  Consumer<TrackedJob> onLastDone = job -> {};

  private final Map<String, Map<String, Worker>> gathered = new HashMap<>();
  int starts;

  /** Since when all troubles are over, or null. */
  Instant faultsEndedAt;

  /**
   * Which machines hold anything of a job; null where nobody promises that a cancellation is told
   * only once none does. Leases may be kept without limit because of that promise, so breaking it
   * is as bad as a task that runs on, which shows only when nobody can be reached.
   */
  Function<String, List<String>> machinesHolding;

  /** Asks the store for the placement of a start. */
  interface Placed {
    boolean isStored(String machine, String piece, long attempt);
  }

  /**
   * A start is to be executed only while its placement is stored: one that comes when its attempt
   * is taken for gone has been given up without proof. Null where the store may lose data.
   */
  Placed placementLookup;

  SafetyRules(SimulatedWorld world, List<Team> teams) {
    this.world = world;
    this.teams = teams;
  }

  private AssertionError broken(String rule, Object what) {
    return new AssertionError(rule + " at " + world.now() + ": " + what);
  }

  @Override
  public boolean alwaysFails(Task task) {
    return jobs.get(task.jobId()).alwaysFails;
  }

  @Override
  public boolean isGang(Task task) {
    return jobs.get(task.jobId()).spec.get("shape").asText().equals("group");
  }

  @Override
  public long runMillis(Task task) {
    ObjectNode spec = jobs.get(task.jobId()).spec;
    long apart = task.index() * spec.path("apart_ms").asLong();
    return spec.get("shape").asText().equals("service")
        ? 0
        : (long) (spec.get("guess_s").asDouble() * 1000) + apart;
  }

  @Override
  public void onStartCommand(Task task, Worker on) {
    TrackedJob job = jobs.get(task.jobId());
    if (job == null) {
      throw broken("unknown job started", task.id);
    }
    if (placementLookup != null && !placementLookup.isStored(on.name, task.id, task.attempt)) {
      throw broken("not_stored", task.id + "#" + task.attempt + " starts on " + on.name);
    }
    if (machinesHolding != null && job.cancelledAt != null) {
      throw broken(
          "told_too_soon", task.id + " is sent to " + on.name + ", its job told cancelled");
    }
  }

  @Override
  public void onStarted(Task task, Worker on) {
    starts++;
    TrackedJob job = jobs.get(task.jobId());
    job.firstStartedAt = job.firstStartedAt == null ? world.now() : job.firstStartedAt;
    job.startedTasks.add(task.id);
    job.startCount++;
    if (job.cancelledAt != null) {
      throw broken(
          "started_cancelled", task.id + " starts on " + on.name + " after its user was told");
    }
    Worker other = places.get(task.id);
    if (other != null && other != on) {
      throw broken("ran_twice", task.id + " on " + other.name + " and " + on.name);
    }
    places.put(task.id, on);
    for (String id : job.prerequisites()) {
      TrackedJob needed = jobs.get(id);
      if (needed.completed.size() < needed.taskCount()) {
        throw broken("too_early", task.id + " starts before " + id + " is done");
      }
    }
    ObjectNode spec = job.spec;
    if (on.spot && !spec.get("loaners").asBoolean()) {
      throw broken("wrong_place", task.id + " on a spot machine");
    }
    if (spec.hasNonNull("yard") && !spec.get("yard").asText().equals(on.zone)) {
      throw broken("wrong_place", task.id + " in zone " + on.zone);
    }
    Resources each = StarvationCheck.each(spec);
    String owner = spec.get("owner").asText();
    Map<String, Integer> zones = zonesOf.computeIfAbsent(job.id, id -> new TreeMap<>());
    if (other == null) {
      usage.merge(owner, each, Resources::plus);
      zones.merge(on.zone, 1, Integer::sum);
    }
    Resources used = usage.get(owner);
    int inZone = zones.get(on.zone);
    if (spec.get("together").asBoolean() && zones.size() > 1) {
      throw broken("wrong_place", task.id + " apart from the others");
    }
    if (spec.get("spread").asBoolean() && inZone > (job.taskCount() + 1) / 2) {
      throw broken("wrong_place", task.id + " is one too many in zone " + on.zone);
    }
    for (Team team : teams) {
      if (team.name().equals(owner) && !team.allows(used)) {
        throw broken("quota", used + " used at the start of " + task.id);
      }
    }
  }

  @Override
  public void onLeft(Task task, Worker from) {
    if (places.remove(task.id, from)) {
      ObjectNode spec = jobs.get(task.jobId()).spec;
      usage.merge(spec.get("owner").asText(), StarvationCheck.each(spec), Resources::minus);
      zonesOf.get(task.jobId()).computeIfPresent(from.zone, (zone, n) -> n == 1 ? null : n - 1);
    }
    Map<String, Worker> of = gathered.get(task.jobId() + "#" + task.attempt);
    if (of != null) {
      of.remove(task.id);
    }
  }

  /** A gang's tasks start together once all of one attempt are there. */
  @Override
  public void onGangTaskReady(Task task) {
    String key = task.jobId() + "#" + task.attempt;
    Map<String, Worker> of = gathered.computeIfAbsent(key, k -> new HashMap<>());
    of.put(task.id, places.get(task.id));
    if (of.size() == jobs.get(task.jobId()).taskCount()) {
      for (var each : of.entrySet()) {
        String at = each.getKey() + "#" + task.attempt;
        each.getValue().runTask(at, each.getValue().tasks.get(at));
      }
    }
  }

  @Override
  public void onCompleted(Task task) {
    TrackedJob job = jobs.get(task.jobId());
    job.completed.add(task.index());
    if (isGang(task)) {
      for (int i = 0; i < job.taskCount(); i++) {
        job.completed.add(i);
      }
    }
    if (job.completed.size() == job.taskCount()) {
      onLastDone.accept(job);
    }
  }

  /** Tasks of cancelled jobs must be gone in time; asked again and again. */
  void checkCancelledJobs() {
    for (var place : places.entrySet()) {
      TrackedJob job = jobs.get(place.getKey().substring(0, place.getKey().indexOf('/')));
      if (job.cancelledAt != null && job.cancelledAt.plus(CANCEL).isBefore(world.now())) {
        throw broken("ran_cancelled", place.getKey() + " is still on " + place.getValue().name);
      }
    }
  }

  /**
   * An accepted job that was not cancelled stays known: once all troubles are over some question
   * about it is answered every 75 s, however others fare. Its user asks more often than that.
   */
  void watchKnown() {
    if (faultsEndedAt == null) {
      return;
    }
    for (TrackedJob job : jobs.values()) {
      if (job.accepted && !job.cancelRequested) {
        Instant last = job.lastAnsweredAt.isAfter(faultsEndedAt) ? job.lastAnsweredAt : faultsEndedAt;
        if (last.plus(KNOWN).isBefore(world.now())) {
          throw broken("forgotten", job.id + " had no answer since " + job.lastAnsweredAt);
        }
      }
    }
  }

  /** Of a class, of a team, and of the largest quarter of a class's jobs half must be served. */
  void checkServedShares() {
    Map<String, List<TrackedJob>> groups = new TreeMap<>();
    for (TrackedJob job : jobs.values()) {
      // What waits for others is served when those are done, and may be cancelled with one.
      if (!job.cancelRequested && !job.alwaysFails && job.prerequisites().isEmpty()) {
        String owner = job.spec.get("owner").asText();
        groups.computeIfAbsent("team " + owner, g -> new ArrayList<>()).add(job);
        String of = job.spec.get("jobclass").asText();
        groups.computeIfAbsent("class " + of, g -> new ArrayList<>()).add(job);
      }
    }
    groups.forEach(this::checkShare);
    groups.forEach(
        (name, group) -> {
          if (name.startsWith("class ")) {
            group.sort(Comparator.comparingInt(TrackedJob::taskCount).reversed());
            List<TrackedJob> largest = group.subList(0, (group.size() + 3) / 4);
            checkShare("largest of " + name, largest);
            for (TrackedJob job : largest) {
              if (job.firstStartedAt == null || job.firstStartedAt.isAfter(job.submittedAt.plus(BEGINS))) {
                throw broken("largest began late", job.id + " of " + name + " at " + job.firstStartedAt);
              }
            }
          }
        });
  }

  private void checkShare(String name, List<TrackedJob> group) {
    long served = group.stream().filter(SafetyRules::isServed).count();
    if (2 * served < group.size()) {
      throw broken("less than half served", name + ": " + served + " of " + group.size());
    }
  }

  private static boolean isServed(TrackedJob job) {
    boolean service = job.spec.get("shape").asText().equals("service");
    return service ? job.startedTasks.size() == job.taskCount() : job.done;
  }

  private boolean isLongCancelled(TrackedJob job) {
    return job.cancelledAt != null && job.cancelledAt.plus(CANCEL).isBefore(world.now());
  }

  /** Whether the condition holds for a job that this one needs, directly or through others. */
  boolean anyPrerequisite(TrackedJob job, Predicate<TrackedJob> condition) {
    Deque<TrackedJob> left = new ArrayDeque<>(List.of(job));
    Set<TrackedJob> seen = new HashSet<>();
    while (!left.isEmpty()) {
      for (String id : left.poll().prerequisites()) {
        TrackedJob needed = jobs.get(id);
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
  void checkReportedState(TrackedJob job, String status) {
    job.lastAnsweredAt = world.now();
    if (status.equals("done") && job.completed.size() < job.taskCount()) {
      throw broken("not_done", job.id);
    }
    if (job.done && !status.equals("done")) {
      throw broken("went_back", job.id + " was done and is called " + status);
    }
    if (job.cancelledAt != null && !status.equals("aborted")) {
      throw broken("went_back", job.id + " was cancelled and is called " + status);
    }
    if (status.equals("aborted") && !job.cancelRequested && !anyPrerequisite(job, each -> each.cancelRequested)) {
      throw broken("went_back", job.id + " is called cancelled by no wish of its user");
    }
    boolean isOver = status.equals("done") || status.equals("aborted");
    if (!isOver && anyPrerequisite(job, SafetyRules.this::isLongCancelled)) {
      throw broken(
          "orphaned", job.id + " is called " + status + " after one before it was cancelled");
    }
    if (status.equals("done")) {
      job.done = true;
    } else if (status.equals("aborted") && job.cancelledAt == null) {
      job.cancelledAt = world.now();
      List<String> on = machinesHolding == null ? List.of() : machinesHolding.apply(job.id);
      if (!on.isEmpty()) {
        throw broken("told_too_soon", job.id + " is called cancelled and is on " + on);
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
  void checkAnswer(TrackedJob job, ReportedState before, int status, String state) {
    if (status == 404 || status == 400 || status == 422) {
      if (before != ReportedState.UNKNOWN) {
        throw broken("forgotten", job.id + " got " + status + " asked when told " + before);
      }
    } else if (state != null) {
      if (job.invalid) {
        throw broken("accepted_unfit", job.id + " is called " + state);
      }
      boolean over = state.equals("done") || state.equals("aborted");
      // What was asked before the job was over may be answered as it was then.
      if (over || before == ReportedState.FINISHED || !job.isFinished()) {
        checkReportedState(job, state);
      } else {
        job.lastAnsweredAt = world.now();
      }
      job.accepted = true;
    }
  }
}
