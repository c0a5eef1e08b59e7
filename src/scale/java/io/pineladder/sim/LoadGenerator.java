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

/** Users who submit jobs at a steady rate, ask about each until it is over, and cancel some. */
final class LoadGenerator {
  private static final long POLL_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 1_000;
  private static final int SERVICE_TASKS = 12;

  /** A service's or a placeholder's first job comes so soon after the one before. */
  private static final long INITIAL_MILLIS = 20;

  private static final double ENDLESS_SECONDS = 1e6;

  private final ScaleOptions options;
  private final SimulatedWorld world;
  private final AsyncHttpClient httpClient;
  private final SafetyRules rules;
  private final TaskHistory history;
  private final List<String> fronts;
  private final Histogram accepted = new Histogram(120_000_000L, 3);
  private final Deque<ObjectNode> initial = new ArrayDeque<>();

  /** What any user was told of each job so far; the rules see it a moment later, in order. */
  private final Map<String, SafetyRules.ReportedState> told = new HashMap<>();

  private int ids;
  private int refused;
  private boolean stopped;

  LoadGenerator(
      ScaleOptions options,
      RealTimeWorld real,
      SafetyRules rules,
      TaskHistory history,
      List<String> fronts) {
    this.options = options;
    this.world = real.world();
    this.httpClient = real.httpClient();
    this.rules = rules;
    this.history = history;
    this.fronts = fronts;
  }

  /** From the first try to the answer that a submission is accepted, in microseconds. */
  Histogram accepted() {
    return accepted;
  }

  int submitted() {
    return ids;
  }

  /** Answers to users that were none: 503, or none in time. */
  int unanswered() {
    return refused;
  }

  void start() {
    for (int left = options.replicas(); left > 0; left -= SERVICE_TASKS) {
      initial.add(job("service", "serve", "prod", Math.min(left, SERVICE_TASKS), 0));
    }
    if (options.kept > 0) {
      ObjectNode endless = job("array", "batch", "low", 1, ENDLESS_SECONDS);
      initial.add(endless);
      for (int i = 0; i < options.kept; i++) {
        ObjectNode waits = job("array", "batch", "low", options.tasks, options.runSeconds);
        waits.putArray("waits_on").add(endless.get("ref").asText());
        initial.add(waits);
      }
    }
    submitInitial();
    double ofArrays = options.starts * (options.gang == 0 ? 1 : 1 - options.gangShare);
    repeat((long) (1000 * options.tasks / ofArrays), this::array);
    if (options.gang > 0 && options.gangShare > 0) {
      repeat((long) (1000 * options.gang / (options.starts * options.gangShare)), this::gang);
    }
  }

  void stop() {
    stopped = true;
  }

  private void submitInitial() {
    if (!initial.isEmpty() && !stopped) {
      submit(initial.poll());
      world.after(INITIAL_MILLIS, this::submitInitial);
    }
  }

  /** Does it at this interval, give or take a half. */
  private void repeat(long everyMillis, Runnable action) {
    long every = Math.max(1, everyMillis);
    if (!stopped) {
      action.run();
      long wait = every / 2 + world.random.nextLong(every + 1);
      world.after(wait, () -> repeat(every, action));
    }
  }

  private void array() {
    int luck = world.random.nextInt(10);
    String rank = luck == 0 ? "urgent" : luck < 7 ? "standard" : "low";
    String jobClass = rank.equals("urgent") ? "urgent" : "batch";
    submit(job("array", jobClass, rank, options.tasks, options.runSeconds));
  }

  private void gang() {
    submit(job("group", "gang", "standard", options.gang, options.runSeconds));
  }

  private ObjectNode job(String shape, String jobClass, String rank, int tasks, double seconds) {
    int number = ++ids;
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
    history.submitted(job.id);
    long begun = System.nanoTime();
    insist(
        job,
        "/v1/jobs",
        Json.bytes(spec),
        () -> {
          accepted.recordValue((System.nanoTime() - begun) / 1_000);
          world.after(world.random.nextLong(POLL_MILLIS), () -> poll(job));
          if (world.random.nextDouble() < options.cancelled && !spec.has("waits_on")) {
            world.after(
                world.random.nextLong((long) (options.runSeconds * 1000)), () -> cancel(job));
          }
        });
  }

  private void cancel(SafetyRules.TrackedJob job) {
    if (told(job) != SafetyRules.ReportedState.FINISHED) {
      job.cancelRequested = true;
      insist(job, "/v1/jobs/" + job.id + "/cancel", new byte[0], () -> {});
    }
  }

  private void insist(SafetyRules.TrackedJob job, String path, byte[] body, Runnable then) {
    call(
        job,
        "POST",
        path,
        body,
        Duration.ofSeconds(5),
        good -> {
          if (good) {
            then.run();
          } else {
            world.after(RETRY_MILLIS, () -> insist(job, path, body, then));
          }
        });
  }

  private void poll(SafetyRules.TrackedJob job) {
    if (told(job) != SafetyRules.ReportedState.FINISHED) {
      call(job, "GET", "/v1/jobs/" + job.id, null, Duration.ofSeconds(2), good -> {});
      world.after(POLL_MILLIS, () -> poll(job));
    }
  }

  private void call(
      SafetyRules.TrackedJob job,
      String method,
      String path,
      byte[] body,
      Duration patience,
      Consumer<Boolean> then) {
    SafetyRules.ReportedState before = told(job);
    String front = fronts.get(world.random.nextInt(fronts.size()));
    httpClient.call(
        new AsyncHttpClient.Request(front, method, path, body, patience),
        reply -> {
          boolean good = reply.hasStatus(200) || reply.hasStatus(201);
          if (reply.isAnswered()) {
            String state = good ? state(reply.body()) : null;
            if (state != null) {
              boolean over = state.equals("done") || state.equals("aborted");
              told.merge(
                  job.id,
                  over ? SafetyRules.ReportedState.FINISHED : SafetyRules.ReportedState.ACCEPTED,
                  LoadGenerator::later);
            }
            history.now(() -> rules.checkAnswer(job, before, reply.status(), state));
          }
          refused += good ? 0 : 1;
          then.accept(good);
        });
  }

  private static String state(byte[] body) {
    try {
      return Json.parseObject(body).get("status").asText();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private static SafetyRules.ReportedState later(SafetyRules.ReportedState one, SafetyRules.ReportedState other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  private SafetyRules.ReportedState told(SafetyRules.TrackedJob job) {
    return told.getOrDefault(job.id, SafetyRules.ReportedState.UNKNOWN);
  }
}
