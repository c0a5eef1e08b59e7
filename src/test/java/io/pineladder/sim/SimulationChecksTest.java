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
    return fleet.up().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
  }

  /** Begins a run with a service whose one task is running. */
  private SafetyRules.Known beginWithService(long seed) {
    begin(Layout.ONE_ZONE, seed);
    SafetyRules.Known job = submit(work("service", 1));
    world.runFor(Duration.ofSeconds(60));
    return job;
  }

  @Test
  void detectsEarlyCancellationAndUnstoredPlacement() {
    SafetyRules.Known job = beginWithService(60);
    Worker on = busyWorker();
    Task task = on.tasks.values().iterator().next();
    rules.commanded(task, on);
    assertViolation("not_stored", () -> rules.commanded(new Task(task.piece, 999), on));
    job.cancelAsked = true;
    assertViolation("told_too_soon", () -> rules.told(job, "aborted"));
    assertViolation("told_too_soon", () -> rules.commanded(task, on));
  }

  /** A task that starts, and one that keeps running, after its job was reported as cancelled. */
  @Test
  void detectsTasksRunningAfterReportedCancellation() {
    SafetyRules.Known job = beginWithService(61);
    Worker on = busyWorker();
    Task task = on.tasks.values().iterator().next();
    world.freeze(SimulatedWorld.host(on.address), 50_000);
    controllers.forEach(each -> kill(each, 3_600_000));
    fleet.leaseMillis = 3_600_000;
    job.cancelAsked = true;
    rules.holding = null;
    rules.told(job, "aborted");
    assertViolation("started_cancelled", () -> rules.started(task, on));
    assertViolation("ran_cancelled", () -> world.runFor(Duration.ofSeconds(45)));
  }

  @Test
  void detectsStaleAnswers() {
    begin(Layout.FLEET, 62);
    SafetyRules.Known job = known(work("array", 1));
    rules.answered(job, SafetyRules.Told.NOTHING, 404, null);
    rules.answered(job, job.told(), 201, "pending");
    // The request was sent before any user received the acceptance.
    rules.answered(job, SafetyRules.Told.NOTHING, 404, null);
    for (int status : new int[] {404, 400, 422}) {
      assertViolation(
          "forgotten", () -> rules.answered(job, SafetyRules.Told.ACCEPTED, status, null));
    }
    job.cancelAsked = true;
    rules.answered(job, SafetyRules.Told.ACCEPTED, 200, "aborted");
    rules.answered(job, SafetyRules.Told.ACCEPTED, 200, "running");
    assertViolation("went_back", () -> rules.answered(job, SafetyRules.Told.OVER, 200, "running"));
    assertViolation("not_done", () -> rules.answered(job, SafetyRules.Told.ACCEPTED, 200, "done"));
    SafetyRules.Known unfit = known(work("array", 1));
    unfit.unfit = true;
    rules.answered(unfit, SafetyRules.Told.NOTHING, 422, null);
    assertViolation(
        "accepted_unfit", () -> rules.answered(unfit, SafetyRules.Told.NOTHING, 201, "pending"));
  }

  /** Machines have capacity, but no controller is alive to place tasks. */
  @Test
  void detectsStarvation() {
    begin(Layout.FLEET, 63);
    world.runFor(Duration.ofSeconds(10));
    controllers.forEach(each -> kill(each, 3_600_000));
    fleet.addUp(2);
    ObjectNode spec = work("array", 2).put("owner", "blue");
    SafetyRules.Known job = known(spec);
    job.accepted = true;
    job.answered = world.now();
    SafetyRules.Known gang = known(work("group", 3).put("together", true).put("cards", 2.0));
    gang.accepted = true;
    gang.answered = world.now();
    StarvationCheck check = new StarvationCheck(world, rules, fleet, settings(0).teams());
    runWithStarvationCheck(check, Duration.ofSeconds(100));
    rules.calmSince = world.now();
    assertViolation(
        "starved", () -> runWithStarvationCheck(check, StarvationCheck.MOST.plusSeconds(2)));
    // The job may wait while its team is at its quota; the gang of two fits into a zone.
    spec.put("cards", 9.0);
    runWithStarvationCheck(check, Duration.ofSeconds(200));
    gang.spec.put("pieces", 2);
    assertViolation("starved", () -> runWithStarvationCheck(check, Duration.ofSeconds(95)));
    fleet.up().forEach(fleet::die);
    runWithStarvationCheck(check, Duration.ofSeconds(200));
  }

  private void runWithStarvationCheck(StarvationCheck check, Duration duration) {
    for (int i = 0; i < duration.toSeconds(); i++) {
      world.runFor(Duration.ofSeconds(1));
      check.watch();
    }
  }

  @Override
  void watch() {
    rules.watchCancelled();
    world.after(500, this::watch);
  }
}
