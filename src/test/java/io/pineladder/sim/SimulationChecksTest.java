package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Negative tests of the checks of simulated runs: each check fails on a run that violates it. */
class SimulationChecksTest extends ConfigurableCluster {
  private static void assertViolation(String rule, Executable violation) {
    AssertionError seen = assertThrows(AssertionError.class, violation);
    assertTrue(seen.getMessage().startsWith(rule), seen.getMessage());
  }

  private Worker busyWorker() {
    return fleet.runningWorkers().stream()
        .filter(w -> !w.tasks.isEmpty())
        .findFirst()
        .orElseThrow();
  }

  /** Begins a run with a service whose one task is running. */
  private SafetyRules.TrackedJob beginWithService(long seed) {
    begin(Layout.ONE_ZONE, seed);
    SafetyRules.TrackedJob job = submit(simpleJobSpec("service", 1));
    world.runFor(Duration.ofSeconds(60));
    return job;
  }

  @Test
  void detectsEarlyCancellationAndUnstoredPlacement() {
    SafetyRules.TrackedJob job = beginWithService(60);
    Worker on = busyWorker();
    Task task = on.tasks.values().iterator().next();
    rules.onStartCommand(task, on);
    assertViolation("not_stored", () -> rules.onStartCommand(new Task(task.id, 999), on));
    job.cancelRequested = true;
    assertViolation("told_too_soon", () -> rules.checkReportedState(job, "aborted"));
    assertViolation("told_too_soon", () -> rules.onStartCommand(task, on));
  }

  /** A copy of a command runs a task again on workers that do not refuse lower tokens. */
  @Test
  void detectsTaskStartedAgainByCopiedCommand() {
    beginWithService(63);
    fleet.refusesFencedRequests = false;
    fleet.failsOneIn = 4;
    fleet.copiedCommandRate = 1;
    fleet.maxCommandCopyDelay = Duration.ofSeconds(10);
    rules.placementLookup = null;
    for (int i = 0; i < 20; i++) {
      submit(simpleJobSpec("array", 4).put("guess_s", 2 + i % 4));
    }
    assertViolation("ran_twice", () -> world.runFor(Duration.ofMinutes(2)));
  }

  /** A task starts, and a task keeps running, after its job was reported as cancelled. */
  @Test
  void detectsTasksRunningAfterReportedCancellation() {
    SafetyRules.TrackedJob job = beginWithService(61);
    Worker on = busyWorker();
    Task task = on.tasks.values().iterator().next();
    world.freeze(SimulatedWorld.host(on.address), 50_000);
    controllers.forEach(each -> kill(each, 3_600_000));
    fleet.leaseMillis = 3_600_000;
    job.cancelRequested = true;
    rules.machinesHolding = null;
    rules.checkReportedState(job, "aborted");
    assertViolation("started_cancelled", () -> rules.onStarted(task, on));
    assertViolation("ran_cancelled", () -> world.runFor(Duration.ofSeconds(45)));
  }

  @Test
  void detectsStaleAnswers() {
    begin(Layout.FLEET, 62);
    SafetyRules.TrackedJob job = trackJob(simpleJobSpec("array", 1));
    rules.checkAnswer(job, SafetyRules.ReportedState.UNKNOWN, 404, null);
    rules.checkAnswer(job, job.reportedState(), 201, "pending");
    // The request was sent before any user received the acceptance.
    rules.checkAnswer(job, SafetyRules.ReportedState.UNKNOWN, 404, null);
    for (int status : new int[] {404, 400, 422}) {
      assertViolation(
          "forgotten",
          () -> rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, status, null));
    }
    // A repeated submission that was sent before any answer may be accepted as new as well.
    rules.checkAnswer(job, SafetyRules.ReportedState.UNKNOWN, 201, "pending");
    assertViolation(
        "forgotten",
        () -> rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, 201, "pending"));
    job.cancelRequested = true;
    rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, 200, "aborted");
    rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, 200, "running");
    assertViolation(
        "went_back",
        () -> rules.checkAnswer(job, SafetyRules.ReportedState.FINISHED, 200, "running"));
    assertViolation(
        "not_done", () -> rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, 200, "done"));
    SafetyRules.TrackedJob unfit = trackJob(simpleJobSpec("array", 1));
    unfit.invalid = true;
    rules.checkAnswer(unfit, SafetyRules.ReportedState.UNKNOWN, 422, null);
    assertViolation(
        "accepted_unfit",
        () -> rules.checkAnswer(unfit, SafetyRules.ReportedState.UNKNOWN, 201, "pending"));
  }

  /** Machines have capacity, but no controller is alive to place tasks. */
  @Test
  void detectsStarvation() {
    begin(Layout.FLEET, 63);
    world.runFor(Duration.ofSeconds(10));
    controllers.forEach(each -> kill(each, 3_600_000));
    fleet.addRunningMachines(2);
    ObjectNode spec = simpleJobSpec("array", 2).put("owner", "blue");
    SafetyRules.TrackedJob job = trackJob(spec);
    job.accepted = true;
    job.lastAnsweredAt = world.now();
    SafetyRules.TrackedJob gang =
        trackJob(simpleJobSpec("group", 3).put("together", true).put("cards", 2.0));
    gang.accepted = true;
    gang.lastAnsweredAt = world.now();
    StarvationCheck check = new StarvationCheck(world, rules, fleet, settings(0).teams());
    runWithStarvationCheck(check, Duration.ofSeconds(100));
    rules.faultsEndedAt = world.now();
    assertViolation(
        "starved", () -> runWithStarvationCheck(check, StarvationCheck.MAX_WAIT.plusSeconds(2)));
    // The job may wait while its team is at its quota; the gang of two fits into a zone.
    spec.put("cards", 9.0);
    runWithStarvationCheck(check, Duration.ofSeconds(200));
    gang.spec.put("pieces", 2);
    assertViolation("starved", () -> runWithStarvationCheck(check, Duration.ofSeconds(95)));
    fleet.runningWorkers().forEach(fleet::failMachine);
    runWithStarvationCheck(check, Duration.ofSeconds(200));
  }

  private void runWithStarvationCheck(StarvationCheck check, Duration duration) {
    for (int i = 0; i < duration.toSeconds(); i++) {
      world.runFor(Duration.ofSeconds(1));
      check.check();
    }
  }

  @Override
  void runChecks() {
    rules.checkCancelledJobs();
    world.after(500, this::runChecks);
  }
}
