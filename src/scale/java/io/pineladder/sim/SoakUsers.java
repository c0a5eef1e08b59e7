package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Users who submit jobs, and meanwhile ask about, cancel and submit them again at all controllers.
 * Event thread only.
 */
final class SoakUsers {
  private static final int POLL_MILLIS = 3_000;
  private static final int RETRY_MILLIS = 1_000;
  private static final double CANCEL_SHARE = 0.2;
  private static final double REPEAT_SHARE = 0.5;
  private static final int MAX_REPEAT_MILLIS = 4_000;
  private static final int MAX_TASKS = 6;
  private static final int MAX_RUN_SECONDS = 12;

  private final SimulatedWorld world;
  private final AsyncHttpClient httpClient;
  private final SafetyRules rules;
  private final SoakInvariants invariants;
  private final List<String> controllers;
  private final int teams;
  private final RandomGenerator random;
  private int lastJobNumber;
  private boolean submitting = true;

  SoakUsers(
      RealTimeWorld realTimeWorld,
      SafetyRules rules,
      SoakInvariants invariants,
      List<String> controllers,
      int teams,
      RandomGenerator random) {
    this.world = realTimeWorld.world();
    this.httpClient = realTimeWorld.httpClient();
    this.rules = rules;
    this.invariants = invariants;
    this.controllers = controllers;
    this.teams = teams;
    this.random = random;
  }

  /** Submits a job at random intervals around the given one, until {@link #stopSubmitting}. */
  void start(long intervalMillis) {
    if (submitting) {
      submit();
      askAboutUnknownJob();
      world.after(random.nextLong(2 * intervalMillis) + 1, () -> start(intervalMillis));
    }
  }

  /** Ends the submissions; jobs are polled until they have ended. */
  void stopSubmitting() {
    submitting = false;
  }

  boolean hasStoppedSubmitting() {
    return !submitting;
  }

  private void submit() {
    ObjectNode spec = jobSpec();
    SafetyRules.TrackedJob job = new SafetyRules.TrackedJob(spec.get("ref").asText(), spec);
    rules.jobs.put(job.id, job);
    job.submittedAt = world.now();
    job.lastAnsweredAt = world.now();
    callUntilDone(job, "/v1/jobs", Json.bytes(spec), () -> onAccepted(job));
  }

  private ObjectNode jobSpec() {
    int number = ++lastJobNumber;
    boolean gang = random.nextInt(5) == 0;
    boolean service = !gang && random.nextInt(8) == 0;
    return Json.object()
        .put("ref", String.format("req-%06d", number))
        .put("jobclass", service ? "serve" : gang ? "gang" : "batch")
        .put("owner", "team-" + number % teams)
        .put("shape", service ? "service" : gang ? "group" : "array")
        .put("rank", service ? "prod" : number % 4 == 0 ? "low" : "standard")
        .put("pieces", service ? 1 : 1 + random.nextInt(MAX_TASKS))
        .put("vcpus", 1.0)
        .put("cards", 0.0)
        .put("memory_gb", 2.0)
        .put("bundle", "img-" + number % 5)
        .put("image_gb", 1.0)
        .put("together", gang && number % 2 == 0)
        .put("spread", false)
        .put("loaners", false)
        .put("guess_s", service ? 0.0 : 1.0 + random.nextInt(MAX_RUN_SECONDS))
        .put("mark_every_s", 0.0)
        .put("stow_s", 0.0);
  }

  private void onAccepted(SafetyRules.TrackedJob job) {
    poll(job);
    if (random.nextDouble() < CANCEL_SHARE || job.spec.get("shape").asText().equals("service")) {
      world.after(random.nextInt(1_000 * MAX_RUN_SECONDS), () -> cancel(job));
    }
    if (random.nextDouble() < REPEAT_SHARE) {
      repeatSubmission(job);
    }
  }

  /** Submits the job again from time to time, also after its end. */
  private void repeatSubmission(SafetyRules.TrackedJob job) {
    world.after(
        1 + random.nextInt(MAX_REPEAT_MILLIS),
        () -> {
          call(job, "POST", "/v1/jobs", Json.bytes(job.spec), Duration.ofSeconds(5), s -> {});
          if (submitting) {
            repeatSubmission(job);
          }
        });
  }

  private void cancel(SafetyRules.TrackedJob job) {
    if (!job.isFinished()) {
      job.cancelRequested = true;
      callUntilDone(job, "/v1/jobs/" + job.id + "/cancel", new byte[0], () -> {});
    }
  }

  private void poll(SafetyRules.TrackedJob job) {
    call(job, "GET", "/v1/jobs/" + job.id, null, Duration.ofSeconds(2), success -> {});
    long interval = job.isFinished() ? 4L * POLL_MILLIS : POLL_MILLIS;
    world.after(interval + random.nextInt(POLL_MILLIS), () -> poll(job));
  }

  private void callUntilDone(
      SafetyRules.TrackedJob job, String path, byte[] body, Runnable onDone) {
    call(
        job,
        "POST",
        path,
        body,
        Duration.ofSeconds(5),
        success -> {
          if (success) {
            onDone.run();
          } else {
            world.after(RETRY_MILLIS, () -> callUntilDone(job, path, body, onDone));
          }
        });
  }

  private void call(
      SafetyRules.TrackedJob job,
      String method,
      String path,
      byte[] body,
      Duration timeout,
      Consumer<Boolean> onResult) {
    SafetyRules.ReportedState before = job.reportedState();
    httpClient.call(
        new AsyncHttpClient.Request(anyController(), method, path, body, timeout),
        reply -> {
          boolean success = reply.hasStatus(200) || reply.hasStatus(201);
          if (reply.isAnswered()) {
            invariants.onAnswer(
                job, before, reply.status(), success ? LoadGenerator.state(reply.body()) : null);
          }
          onResult.accept(success);
        });
  }

  private void askAboutUnknownJob() {
    String id = String.format("req-9%05d", random.nextInt(100_000));
    httpClient.call(
        AsyncHttpClient.Request.get(anyController(), "/v1/jobs/" + id, Duration.ofSeconds(2)),
        reply -> {
          if (reply.isAnswered()) {
            invariants.onAnswerAboutUnknownJob(id, reply.status());
          }
        });
  }

  private String anyController() {
    return controllers.get(random.nextInt(controllers.size()));
  }
}
