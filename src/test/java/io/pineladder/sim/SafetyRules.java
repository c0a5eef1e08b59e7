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

/**
 * The safety rules of the protocol, checked at every task start, task exit and answer to a user.
 */
final class SafetyRules implements TaskWatcher {
  /**
   * The state of a job as shown to its user, in ascending order. Once an answer has shown a state,
   * later requests must not be answered with a lower one.
   */
  enum ReportedState {
    UNKNOWN,
    ACCEPTED,
    FINISHED
  }

  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration MAX_UNANSWERED_TIME = Duration.ofSeconds(75);
  private static final Duration MAX_START_DELAY = Duration.ofMinutes(4);

  /** A submitted job with the answers its user got and the events of its tasks. */
  static final class TrackedJob {
    final String id;
    final ObjectNode spec;
    boolean accepted;

    /** Whether every attempt of its tasks fails. */
    boolean alwaysFails;

    /** Whether the only value with its record was damaged, so that nobody can know it any more. */
    boolean recordLost;

    /** Whether the specification is invalid, so that no node may accept the job. */
    boolean invalid;

    /** The reported state at the last call of {@link SimulatedCluster#onStateAdvanced}. */
    ReportedState lastAdvancedState = ReportedState.UNKNOWN;

    /** Whether its user polls it every few seconds. */
    boolean polled;

    Instant submittedAt;
    Instant firstStartedAt;
    Instant lastAnsweredAt;

    /** How many task attempts have started. */
    int startCount;

    final Set<String> startedTasks = new HashSet<>();

    boolean cancelRequested;

    /** When an answer first showed that the job was cancelled. */
    Instant cancelledAt;

    /** Whether an answer has shown that the job is done. */
    boolean done;

    final Set<Integer> completedTasks = new HashSet<>();

    TrackedJob(String id, ObjectNode spec) {
      this.id = id;
      this.spec = spec;
    }

    int taskCount() {
      return spec.get("pieces").asInt();
    }

    /** The IDs of the jobs that must be done before any task of this one starts. */
    List<String> prerequisites() {
      List<String> ids = new ArrayList<>();
      spec.path("waits_on").forEach(id -> ids.add(id.asText()));
      return ids;
    }

    boolean isFinished() {
      return done || cancelledAt != null;
    }

    /** The latest state that any node has answered so far. */
    ReportedState reportedState() {
      return isFinished()
          ? ReportedState.FINISHED
          : accepted ? ReportedState.ACCEPTED : ReportedState.UNKNOWN;
    }
  }

  private final SimulatedWorld world;
  private final List<Team> teams;
  final Map<String, TrackedJob> jobs = new LinkedHashMap<>();

  /** The worker on which each task occupies resources. */
  private final Map<String, Worker> workerByTask = new HashMap<>();

  /** The resources in use by the tasks of each team. */
  private final Map<String, Resources> usageByTeam = new HashMap<>();

  /** How many tasks of each job are in each zone. */
  private final Map<String, Map<String, Integer>> taskCountsByZone = new HashMap<>();

  /** Called with each job whose last task has just completed. */
  Consumer<TrackedJob> onLastTaskCompleted = job -> {};

  /** The tasks of each gang attempt that are ready, with their workers. */
  private final Map<String, Map<String, Worker>> readyGangTasks = new HashMap<>();

  int starts;

  /** When all faults ended, or null if they have not. Liveness is checked from this time. */
  Instant faultsEndedAt;

  /**
   * Finds the machines with unfinished tasks of a job; null skips the check. A job may be reported
   * cancelled only once there are none, because leases can be renewed without limit.
   */
  Function<String, List<String>> machinesHolding;

  /** Looks up in the store whether the placement of a task attempt is stored. */
  interface PlacementLookup {
    boolean isStored(String machine, String taskId, long attempt);
  }

  /**
   * A worker may execute a start command only while the placement of the attempt is stored; null
   * skips the check. A violation means that the leader dropped an attempt that could still start.
   */
  PlacementLookup placementLookup;

  SafetyRules(SimulatedWorld world, List<Team> teams) {
    this.world = world;
    this.teams = teams;
  }

  private AssertionError violation(String rule, Object details) {
    return new AssertionError(rule + " at " + world.now() + ": " + details);
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
    long staggerMillis = task.index() * spec.path("apart_ms").asLong();
    return spec.get("shape").asText().equals("service")
        ? 0
        : (long) (spec.get("guess_s").asDouble() * 1000) + staggerMillis;
  }

  @Override
  public void onStartCommand(Task task, Worker worker) {
    TrackedJob job = jobs.get(task.jobId());
    if (job == null) {
      throw violation("unknown job started", task.id);
    }
    if (placementLookup != null && !placementLookup.isStored(worker.name, task.id, task.attempt)) {
      Worker other = workerByTask.get(task.id);
      boolean runsElsewhere = other != null && other != worker;
      throw violation(
          runsElsewhere ? "ran_twice" : "not_stored",
          task.id + "#" + task.attempt + " starts on " + worker.name);
    }
    if (machinesHolding != null && job.cancelledAt != null) {
      throw violation(
          "told_too_soon",
          task.id + " started on " + worker.name + " after its job was reported cancelled");
    }
  }

  @Override
  public void onStarted(Task task, Worker worker) {
    starts++;
    TrackedJob job = jobs.get(task.jobId());
    job.firstStartedAt = job.firstStartedAt == null ? world.now() : job.firstStartedAt;
    job.startedTasks.add(task.id);
    job.startCount++;
    if (job.cancelledAt != null) {
      throw violation(
          "started_cancelled",
          task.id + " starts on " + worker.name + " after its job was reported cancelled");
    }
    Worker previous = workerByTask.get(task.id);
    if (previous != null && previous != worker) {
      throw violation("ran_twice", task.id + " on " + previous.name + " and " + worker.name);
    }
    workerByTask.put(task.id, worker);
    for (String id : job.prerequisites()) {
      TrackedJob prerequisite = jobs.get(id);
      if (prerequisite.completedTasks.size() < prerequisite.taskCount()) {
        throw violation("too_early", task.id + " starts before " + id + " is done");
      }
    }
    ObjectNode spec = job.spec;
    if (worker.spot && !spec.get("loaners").asBoolean()) {
      throw violation("wrong_place", task.id + " runs on a spot machine");
    }
    if (spec.hasNonNull("yard") && !spec.get("yard").asText().equals(worker.zone)) {
      throw violation("wrong_place", task.id + " runs in zone " + worker.zone);
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
      throw violation("wrong_place", task.id + " is not in the zone of the other tasks");
    }
    if (spec.get("spread").asBoolean() && inZone > (job.taskCount() + 1) / 2) {
      throw violation(
          "wrong_place", task.id + " exceeds the task limit of its job in zone " + worker.zone);
    }
    for (Team team : teams) {
      if (team.name().equals(owner) && !team.allows(used)) {
        throw violation(
            "quota", "team " + owner + " uses " + used + " after the start of " + task.id);
      }
    }
  }

  @Override
  public void onLeft(Task task, Worker worker) {
    if (workerByTask.remove(task.id, worker)) {
      ObjectNode spec = jobs.get(task.jobId()).spec;
      usageByTeam.merge(
          spec.get("owner").asText(), StarvationCheck.resourcesPerTask(spec), Resources::minus);
      taskCountsByZone
          .get(task.jobId())
          .computeIfPresent(worker.zone, (zone, n) -> n == 1 ? null : n - 1);
    }
    Map<String, Worker> ready = readyGangTasks.get(task.jobId() + "#" + task.attempt);
    if (ready != null) {
      ready.remove(task.id);
    }
  }

  /** Starts the tasks of a gang together once all tasks of one attempt are ready. */
  @Override
  public void onGangTaskReady(Task task) {
    String key = task.jobId() + "#" + task.attempt;
    Map<String, Worker> ready = readyGangTasks.computeIfAbsent(key, k -> new HashMap<>());
    ready.put(task.id, workerByTask.get(task.id));
    if (ready.size() == jobs.get(task.jobId()).taskCount()) {
      for (var entry : ready.entrySet()) {
        String taskKey = entry.getKey() + "#" + task.attempt;
        entry.getValue().runTask(taskKey, entry.getValue().tasks.get(taskKey));
      }
    }
  }

  @Override
  public void onCompleted(Task task) {
    TrackedJob job = jobs.get(task.jobId());
    job.completedTasks.add(task.index());
    if (isGang(task)) {
      for (int i = 0; i < job.taskCount(); i++) {
        job.completedTasks.add(i);
      }
    }
    if (job.completedTasks.size() == job.taskCount()) {
      onLastTaskCompleted.accept(job);
    }
  }

  /** Checks that tasks of cancelled jobs stop in time; called periodically. */
  void checkCancelledJobs() {
    for (var place : workerByTask.entrySet()) {
      TrackedJob job = jobs.get(place.getKey().substring(0, place.getKey().indexOf('/')));
      if (job.cancelledAt != null && job.cancelledAt.plus(CANCEL_TIMEOUT).isBefore(world.now())) {
        throw violation(
            "ran_cancelled", place.getKey() + " still runs on " + place.getValue().name);
      }
    }
  }

  /**
   * Checks that once all faults have ended, users, who poll every few seconds, get an answer for
   * each accepted job at least every 75 s. Skips jobs that a user has asked to cancel.
   */
  void checkAcceptedJobs() {
    if (faultsEndedAt == null) {
      return;
    }
    for (TrackedJob job : jobs.values()) {
      if (job.accepted && !job.cancelRequested && !job.recordLost) {
        Instant last =
            job.lastAnsweredAt.isAfter(faultsEndedAt) ? job.lastAnsweredAt : faultsEndedAt;
        if (last.plus(MAX_UNANSWERED_TIME).isBefore(world.now())) {
          throw violation("forgotten", job.id + " got no answer since " + job.lastAnsweredAt);
        }
      }
    }
  }

  /**
   * Checks that at least half of the jobs are served in each team, in each job class, and among the
   * largest quarter of each class, and that the jobs of that quarter start in time.
   */
  void checkServedShares() {
    Map<String, List<TrackedJob>> groups = new TreeMap<>();
    for (TrackedJob job : jobs.values()) {
      // Dependent jobs are left out: they wait for their prerequisites and are cancelled with them.
      if (!job.cancelRequested && !job.alwaysFails && job.prerequisites().isEmpty()) {
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
            group.sort(Comparator.comparingInt(TrackedJob::taskCount).reversed());
            List<TrackedJob> largest = group.subList(0, (group.size() + 3) / 4);
            checkServedShare("largest of " + name, largest);
            for (TrackedJob job : largest) {
              if (job.firstStartedAt == null
                  || job.firstStartedAt.isAfter(job.submittedAt.plus(MAX_START_DELAY))) {
                throw violation(
                    "largest began late", job.id + " of " + name + " at " + job.firstStartedAt);
              }
            }
          }
        });
  }

  private void checkServedShare(String name, List<TrackedJob> group) {
    long served = group.stream().filter(SafetyRules::isServed).count();
    if (2 * served < group.size()) {
      throw violation("less than half served", name + ": " + served + " of " + group.size());
    }
  }

  private static boolean isServed(TrackedJob job) {
    boolean service = job.spec.get("shape").asText().equals("service");
    return service ? job.startedTasks.size() == job.taskCount() : job.done;
  }

  private boolean isLongCancelled(TrackedJob job) {
    return job.cancelledAt != null && job.cancelledAt.plus(CANCEL_TIMEOUT).isBefore(world.now());
  }

  /** Whether the condition holds for any direct or transitive prerequisite of the job. */
  boolean anyPrerequisite(TrackedJob job, Predicate<TrackedJob> condition) {
    Deque<TrackedJob> pending = new ArrayDeque<>(List.of(job));
    Set<TrackedJob> seen = new HashSet<>();
    while (!pending.isEmpty()) {
      for (String id : pending.poll().prerequisites()) {
        TrackedJob prerequisite = jobs.get(id);
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

  /** Checks the job state in an answer, and records it. */
  void checkReportedState(TrackedJob job, String status) {
    job.lastAnsweredAt = world.now();
    if (status.equals("done") && job.completedTasks.size() < job.taskCount()) {
      throw violation("not_done", job.id + " is reported done before all tasks completed");
    }
    if (job.done && !status.equals("done")) {
      throw violation("went_back", job.id + " was reported done and now " + status);
    }
    if (job.cancelledAt != null && !status.equals("aborted")) {
      throw violation("went_back", job.id + " was reported cancelled and now " + status);
    }
    if (status.equals("aborted")
        && !job.cancelRequested
        && !anyPrerequisite(job, each -> each.cancelRequested)) {
      throw violation(
          "went_back",
          job.id + " is reported cancelled without a request to cancel it or a prerequisite");
    }
    boolean finished = status.equals("done") || status.equals("aborted");
    if (!finished && anyPrerequisite(job, SafetyRules.this::isLongCancelled)) {
      throw violation(
          "orphaned", job.id + " is reported " + status + " after a prerequisite was cancelled");
    }
    if (status.equals("done")) {
      job.done = true;
    } else if (status.equals("aborted") && job.cancelledAt == null) {
      job.cancelledAt = world.now();
      List<String> machines = machinesHolding == null ? List.of() : machinesHolding.apply(job.id);
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
  void checkAnswer(TrackedJob job, ReportedState before, int status, String state) {
    boolean treatedAsNew = status == 201;
    if (treatedAsNew || status == 404 || status == 400 || status == 422) {
      if (before != ReportedState.UNKNOWN && !job.recordLost) {
        throw violation(
            "forgotten",
            job.id + " got " + status + " for a request sent after it was reported " + before);
      }
    }
    if (state != null) {
      if (job.invalid) {
        throw violation("accepted_unfit", job.id + " is invalid and reported " + state);
      }
      boolean finished = state.equals("done") || state.equals("aborted");
      // The answer to a request that was sent before the job finished may show an earlier state.
      if (finished || before == ReportedState.FINISHED || !job.isFinished()) {
        checkReportedState(job, state);
      } else {
        job.lastAnsweredAt = world.now();
      }
      job.accepted = true;
    }
  }
}
