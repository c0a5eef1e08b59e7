package io.pineladder.workers;

import io.pineladder.autoscaling.Autoscaler;
import io.pineladder.model.Attempt;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.TermTokens;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.NotificationLog;
import io.pineladder.store.Records;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import io.pineladder.wire.WorkerWire;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.TaskId;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The scheduler, worker manager and autoscaler of one leader, with a store that commits at once.
 */
final class LeaderHarness implements EventLoop {
  static final long TERM = 7;
  static final MachineType TYPE =
      new MachineType(
          "g4", Resources.of(16, 4, 64), 50, 0.1, 4, 1, Duration.ofSeconds(10), List.of("a", "b"));

  /** A sent request that awaits its reply. */
  record SentRequest(AsyncHttpClient.Request request, Consumer<AsyncHttpClient.Reply> onReply) {}

  private record Timer(Instant at, long sequence, Runnable action) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.at.equals(b.at) ? Long.compare(a.sequence, b.sequence) : a.at.compareTo(b.at));
  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
  private Instant now = Instant.EPOCH.plusSeconds(100);
  private long nextTimerSequence;

  private final TermTokens tokens = new TermTokens(TERM);
  private long lastRevision = TERM;

  /** Whether the lease is certain and heartbeats are accepted. */
  boolean leaseCertain = true;

  final ArrayDeque<SentRequest> sentRequests = new ArrayDeque<>();
  final List<String> resignations = new ArrayList<>();
  final ClusterState cluster;
  final Scheduler scheduler;
  final WorkerManager workerManager;
  final Autoscaler autoscaler;

  /** Sends commands to the worker manager and collects resignations. */
  private final class SchedulerCallbacks implements Scheduler.Callbacks {
    @Override
    public boolean mayStartTasks() {
      return true;
    }

    @Override
    public void onCommandsDue(Machine machine) {
      workerManager.requestCommand(machine);
    }

    @Override
    public void resign(String reason) {
      resignations.add(reason);
    }

    @Override
    public void onReady(Job job) {}

    @Override
    public void onCancelledByDependency(Job job) {}

    @Override
    public Job.State knownFinalState(String job) {
      return null;
    }

    @Override
    public void lookUpJob(String job) {}
  }

  /** Passes storage events to the scheduler and the cluster state. */
  private final class RecordsListener implements Records.Listener {
    @Override
    public void onPlacementStored(Attempt attempt) {
      scheduler.onPlacementStored(attempt);
    }

    @Override
    public void onFinalStateStored(Job job) {
      scheduler.onFinalStateStored(job);
    }

    @Override
    public void onRemoved(Job job) {
      cluster.removeJob(job);
    }

    @Override
    public void onUnpagedRecordFound(Job job, Runnable again) {}
  }

  /** Answers lease queries from {@link #leaseCertain} and collects resignations. */
  private final class AutoscalerCallbacks implements Autoscaler.Callbacks {
    @Override
    public int workersSeenByPeers(String zone) {
      return 0;
    }

    @Override
    public boolean isLeadingWithValidLease() {
      return leaseCertain;
    }

    @Override
    public boolean acceptsHeartbeats() {
      return leaseCertain;
    }

    @Override
    public void resign(String reason) {
      resignations.add(reason);
    }

    @Override
    public void transferLeadership(String reason) {
      resignations.add(reason);
    }

    @Override
    public void probe(Machine machine) {}
  }

  /** Listener of a leader with complete records. */
  private final class WorkersListener implements WorkerManager.Listener {
    @Override
    public void onUnknownTask(String job) {}

    @Override
    public boolean isJobEnded(String job) {
      return false;
    }

    @Override
    public boolean areRecordsIncomplete() {
      return false;
    }

    @Override
    public void onNewerFencingToken(long token) {
      resignations.add("token " + token);
    }

    @Override
    public boolean wasReleased(String machine) {
      return autoscaler.wasReleased(machine);
    }

    @Override
    public void onUnexpectedMachine(Machine machine) {}

    @Override
    public void onCancellationUnprovable(Machine machine) {
      autoscaler.release(machine);
    }
  }

  LeaderHarness() {
    Settings settings;
    try {
      settings = SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS);
    } catch (SettingsReader.BadSettingsException e) {
      throw new AssertionError(e);
    }
    cluster = new ClusterState(settings);
    cluster.setTypes(List.of(TYPE));
    AsyncHttpClient httpClient =
        (request, onReply) -> sentRequests.add(new SentRequest(request, onReply));
    scheduler =
        new Scheduler(cluster, this, TERM, OperatorSettings.DEFAULTS, new SchedulerCallbacks());
    Records records =
        new Records(
            8192,
            8192,
            new ClusterVersion(),
            this,
            mutation -> {
              for (var write : mutation.writes()) {
                // Like the store, serializes each value when it is written.
                var unused = write.value().get();
              }
              schedule(
                  Duration.ZERO,
                  () -> {
                    tokens.onCommitted(++lastRevision);
                    mutation.onCommitted().run();
                  });
            },
            new RecordsListener(),
            NotificationLog.DISABLED);
    scheduler.setRecords(records);
    autoscaler =
        new Autoscaler(
            cluster,
            scheduler,
            records,
            httpClient,
            this,
            TERM,
            OperatorSettings.DEFAULTS,
            new AutoscalerCallbacks());
    workerManager =
        new WorkerManager(
            cluster, scheduler, httpClient, this, tokens, () -> true, new WorkersListener());
  }

  @Override
  public Instant now() {
    return now;
  }

  @Override
  public Instant wallClock() {
    return now;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void schedule(Duration delay, Runnable action) {
    timers.add(new Timer(now.plus(delay), nextTimerSequence++, action));
  }

  void runFor(Duration duration) {
    Instant end = now.plus(duration);
    while (!timers.isEmpty() && !timers.peek().at.isAfter(end)) {
      Timer next = timers.poll();
      now = next.at.isAfter(now) ? next.at : now;
      next.action.run();
    }
    now = end;
  }

  /** Simulates a process pause: timers that become due run after it. */
  void pauseProcessFor(Duration duration) {
    now = now.plus(duration);
  }

  static JobSpec spec(
      String id, JobKind kind, PriorityClass priorityClass, int tasks, String image) {
    return new JobSpec(
        id,
        "class",
        "red",
        kind,
        priorityClass,
        tasks,
        Resources.of(2, 1, 4),
        null,
        null,
        false,
        false,
        true,
        image,
        5,
        Duration.ofSeconds(30),
        Duration.ZERO,
        Duration.ZERO,
        null);
  }

  Job accept(JobSpec spec) {
    Job job = new Job(spec, now, Job.State.ACTIVE);
    scheduler.add(job);
    runFor(Duration.ofMillis(60));
    return job;
  }

  static TaskStatus taskStatus(Attempt attempt, TaskState state) {
    return new TaskStatus(
        new TaskId(attempt.job.spec.id(), attempt.task), attempt.number, state, null, false);
  }

  /** Sends a heartbeat from zone a in the first agent epoch; returns the response body. */
  byte[] heartbeat(String machine, long sequence, TaskStatus... tasks) {
    return heartbeat("a", machine, sequence, tasks);
  }

  byte[] heartbeat(String zone, String machine, long sequence, TaskStatus... tasks) {
    WorkerManager.Response response =
        workerManager.onHeartbeat(
            new Heartbeat(
                machine,
                "10.1.0.1:9000",
                "g4",
                zone,
                false,
                1,
                sequence,
                TERM,
                null,
                List.of(tasks)));
    runFor(Duration.ofMillis(60));
    return WorkerWire.heartbeatResponse(response.token(), response.commands());
  }

  /** The response to a heartbeat of m-1 without tasks; does not advance the time. */
  String heartbeatResponse(long agentEpoch, long sequence, long token) {
    WorkerManager.Response response =
        workerManager.onHeartbeat(
            new Heartbeat(
                "m-1",
                "10.1.0.1:9000",
                "g4",
                "a",
                false,
                agentEpoch,
                sequence,
                token,
                null,
                List.of()));
    return bodyText(WorkerWire.heartbeatResponse(response.token(), response.commands()));
  }

  /** Removes and returns the next command request; cloud requests are discarded. */
  SentRequest nextCommand() {
    while (!sentRequests.isEmpty()) {
      SentRequest next = sentRequests.poll();
      if (next.request.path().equals("/do")) {
        return next;
      }
    }
    throw new AssertionError("no command request was sent");
  }

  /** The attempts on all machines. */
  List<Attempt> attempts() {
    List<Attempt> all = new ArrayList<>();
    cluster.machines().forEach(machine -> all.addAll(machine.attempts.values()));
    return all;
  }

  static Attempt firstAttempt(Job job) {
    return job.attempts.values().iterator().next().iterator().next();
  }

  static String bodyText(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** The status of an exited task. */
  static TaskStatus exitedStatus(Attempt attempt, EndReason cause) {
    return new TaskStatus(
        new TaskId(attempt.job.spec.id(), attempt.task),
        attempt.number,
        TaskState.EXITED,
        cause,
        false);
  }

  /** A cloud list response with running spot machines. */
  static byte[] machineList(String... machines) {
    StringBuilder hosts = new StringBuilder();
    for (String machine : machines) {
      hosts.append(hosts.isEmpty() ? "" : ",");
      hosts.append(
          """
          {"ref":"%s","addr":"10.1.0.1:9000","hull":"g4","yard":"a","loaners":true,
           "status":"running","age_s":60}\
          """
              .formatted(machine));
    }
    return ("{\"hosts\":[" + hosts + "],\"truncated\":false}").getBytes(StandardCharsets.UTF_8);
  }

  /** A copy of the job with other resources per task; gangs are restricted to one zone. */
  static JobSpec withResources(JobSpec spec, Resources perTask) {
    return new JobSpec(
        spec.id(),
        spec.jobClass(),
        spec.team(),
        spec.kind(),
        spec.priorityClass(),
        spec.tasks(),
        perTask,
        null,
        null,
        spec.kind() == JobKind.GANG,
        false,
        true,
        spec.image(),
        5,
        spec.estimatedRunTime(),
        Duration.ZERO,
        Duration.ZERO,
        null);
  }

  static boolean isStopped(Set<Attempt> attempts) {
    return attempts.stream().noneMatch(Attempt::isWanted);
  }

  /** The machine's attempts with a stored placement, reported as running. */
  static TaskStatus[] runningStatuses(Machine machine) {
    return machine.attempts.values().stream()
        .filter(a -> a.state() != Attempt.State.PLACEMENT_PENDING)
        .map(a -> taskStatus(a, TaskState.RUNNING))
        .toArray(TaskStatus[]::new);
  }
}
