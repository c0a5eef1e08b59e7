package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** Submits jobs at a constant average rate, polls each until it has ended, and cancels some. */
final class LoadGenerator {
  private static final long POLL_INTERVAL_MILLIS = 5_000;
  private static final long RETRY_DELAY_MILLIS = 1_000;
  private static final int TASKS_PER_SERVICE = 12;

  /** Interval between the submissions of the jobs that make up the initial load. */
  private static final long INITIAL_SUBMIT_INTERVAL_MILLIS = 20;

  /** Run time of a job that outlasts every run. */
  private static final double ENDLESS_SECONDS = 1e6;

  private final ScaleOptions options;
  private final SimulatedWorld world;
  private final AsyncHttpClient httpClient;
  private final SafetyRules rules;
  private final TaskHistory history;
  private final List<String> controllerAddresses;
  private final Histogram acceptanceTimes = new Histogram(120_000_000L, 3);
  private final Deque<ObjectNode> initialJobs = new ArrayDeque<>();

  /**
   * The latest state of each job reported to any user. The safety rules see it later, in the order
   * of the task history.
   */
  private final Map<String, SafetyRules.ReportedState> reportedStates = new HashMap<>();

  private int lastJobNumber;
  private int failedRequests;
  private boolean stopped;

  LoadGenerator(
      ScaleOptions options,
      RealTimeWorld realTimeWorld,
      SafetyRules rules,
      TaskHistory history,
      List<String> controllerAddresses) {
    this.options = options;
    this.world = realTimeWorld.world();
    this.httpClient = realTimeWorld.httpClient();
    this.rules = rules;
    this.history = history;
    this.controllerAddresses = controllerAddresses;
  }

  /**
   * Returns the times from the first attempt of a submission to its acceptance, in microseconds.
   */
  Histogram acceptanceTimes() {
    return acceptanceTimes;
  }

  int submittedJobs() {
    return lastJobNumber;
  }

  /** Returns the number of requests without a successful response within the timeout. */
  int failedRequests() {
    return failedRequests;
  }

  void start() {
    for (int remaining = options.serviceTasks(); remaining > 0; remaining -= TASKS_PER_SERVICE) {
      initialJobs.add(
          jobSpec("service", "serve", "prod", Math.min(remaining, TASKS_PER_SERVICE), 0));
    }
    if (options.kept > 0) {
      ObjectNode endless = jobSpec("array", "batch", "low", 1, ENDLESS_SECONDS);
      initialJobs.add(endless);
      for (int i = 0; i < options.kept; i++) {
        ObjectNode dependent = jobSpec("array", "batch", "low", options.tasks, options.runSeconds);
        dependent.putArray("waits_on").add(endless.get("ref").asText());
        initialJobs.add(dependent);
      }
    }
    submitInitial();
    double arrayStarts = options.starts * (options.gang == 0 ? 1 : 1 - options.gangShare);
    runRepeatedly((long) (1000 * options.tasks / arrayStarts), this::submitArray);
    if (options.gang > 0 && options.gangShare > 0) {
      runRepeatedly(
          (long) (1000 * options.gang / (options.starts * options.gangShare)), this::submitGang);
    }
  }

  void stop() {
    stopped = true;
  }

  private void submitInitial() {
    if (!initialJobs.isEmpty() && !stopped) {
      submit(initialJobs.poll());
      world.after(INITIAL_SUBMIT_INTERVAL_MILLIS, this::submitInitial);
    }
  }

  /** Runs an action repeatedly at this mean interval, with a jitter of up to 50%. */
  private void runRepeatedly(long meanMillis, Runnable action) {
    long intervalMillis = Math.max(1, meanMillis);
    if (!stopped) {
      action.run();
      long delayMillis = intervalMillis / 2 + world.random.nextLong(intervalMillis + 1);
      world.after(delayMillis, () -> runRepeatedly(intervalMillis, action));
    }
  }

  private void submitArray() {
    int roll = world.random.nextInt(10);
    String rank = roll == 0 ? "urgent" : roll < 7 ? "standard" : "low";
    String jobClass = rank.equals("urgent") ? "urgent" : "batch";
    submit(jobSpec("array", jobClass, rank, options.tasks, options.runSeconds));
  }

  private void submitGang() {
    submit(jobSpec("group", "gang", "standard", options.gang, options.runSeconds));
  }

  private ObjectNode jobSpec(
      String shape, String jobClass, String rank, int tasks, double seconds) {
    int number = ++lastJobNumber;
    return Json.object()
        .put("ref", String.format("req-%06d", number))
        .put("jobclass", jobClass)
        .put("owner", "team-" + number % options.teams)
        .put("shape", shape)
        .put("rank", rank)
        .put("pieces", tasks)
        .put("vcpus", 1.0)
        .put("cards", 0.0)
        .put("memory_gb", 2.0)
        .put("bundle", "img-" + number % 20)
        .put("image_gb", 1.0)
        .put("together", false)
        .put("spread", false)
        .put("loaners", false)
        .put("guess_s", seconds)
        .put("mark_every_s", 0.0)
        .put("stow_s", 0.0);
  }

  private void submit(ObjectNode spec) {
    SafetyRules.TrackedJob job = new SafetyRules.TrackedJob(spec.get("ref").asText(), spec);
    rules.jobs.put(job.id, job);
    job.submittedAt = world.now();
    history.recordSubmission(job.id);
    long startNanos = System.nanoTime();
    callUntilAccepted(
        job,
        "/v1/jobs",
        Json.bytes(spec),
        () -> {
          acceptanceTimes.recordValue((System.nanoTime() - startNanos) / 1_000);
          world.after(world.random.nextLong(POLL_INTERVAL_MILLIS), () -> poll(job));
          if (world.random.nextDouble() < options.cancelled && !spec.has("waits_on")) {
            world.after(
                world.random.nextLong((long) (options.runSeconds * 1000)), () -> cancel(job));
          }
        });
  }

  private void cancel(SafetyRules.TrackedJob job) {
    if (lastReportedState(job) != SafetyRules.ReportedState.FINISHED) {
      job.cancelRequested = true;
      callUntilAccepted(job, "/v1/jobs/" + job.id + "/cancel", new byte[0], () -> {});
    }
  }

  private void callUntilAccepted(
      SafetyRules.TrackedJob job, String path, byte[] body, Runnable onAccepted) {
    call(
        job,
        "POST",
        path,
        body,
        Duration.ofSeconds(5),
        success -> {
          if (success) {
            onAccepted.run();
          } else {
            world.after(RETRY_DELAY_MILLIS, () -> callUntilAccepted(job, path, body, onAccepted));
          }
        });
  }

  private void poll(SafetyRules.TrackedJob job) {
    if (lastReportedState(job) != SafetyRules.ReportedState.FINISHED) {
      call(job, "GET", "/v1/jobs/" + job.id, null, Duration.ofSeconds(2), success -> {});
      world.after(POLL_INTERVAL_MILLIS, () -> poll(job));
    }
  }

  private void call(
      SafetyRules.TrackedJob job,
      String method,
      String path,
      byte[] body,
      Duration timeout,
      Consumer<Boolean> onResult) {
    SafetyRules.ReportedState before = lastReportedState(job);
    String address = controllerAddresses.get(world.random.nextInt(controllerAddresses.size()));
    httpClient.call(
        new AsyncHttpClient.Request(address, method, path, body, timeout),
        reply -> {
          boolean success = reply.hasStatus(200) || reply.hasStatus(201);
          if (reply.isAnswered()) {
            String state = success ? state(reply.body()) : null;
            if (state != null) {
              boolean ended = state.equals("done") || state.equals("aborted");
              reportedStates.merge(
                  job.id,
                  ended ? SafetyRules.ReportedState.FINISHED : SafetyRules.ReportedState.ACCEPTED,
                  LoadGenerator::max);
            }
            history.recordAction(() -> rules.checkAnswer(job, before, reply.status(), state));
          }
          failedRequests += success ? 0 : 1;
          onResult.accept(success);
        });
  }

  static String state(byte[] body) {
    try {
      return Json.parseObject(body).get("status").asText();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private static SafetyRules.ReportedState max(
      SafetyRules.ReportedState first, SafetyRules.ReportedState second) {
    return first.compareTo(second) > 0 ? first : second;
  }

  private SafetyRules.ReportedState lastReportedState(SafetyRules.TrackedJob job) {
    return reportedStates.getOrDefault(job.id, SafetyRules.ReportedState.UNKNOWN);
  }
}
