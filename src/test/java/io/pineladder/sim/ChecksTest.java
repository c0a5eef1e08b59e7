package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** The checks of the simulated days, each seen to fail on a run that is wrong. */
class ChecksTest extends ConfigurableCluster {
  private static void assertBroken(String rule, Executable wrong) {
    AssertionError seen = assertThrows(AssertionError.class, wrong);
    assertTrue(seen.getMessage().startsWith(rule), seen.getMessage());
  }

  private Worker holder() {
    return fleet.runningWorkers().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
  }

  /** A service whose one task runs. */
  private SafetyRules.TrackedJob serving(long seed) {
    begin(Layout.ONE_ZONE, seed);
    SafetyRules.TrackedJob job = submit(simpleJobSpec("service", 1));
    world.runFor(Duration.ofSeconds(60));
    return job;
  }

  @Test
  void whatIsToldTooSoonOrStartedUnstoredIsSeen() {
    SafetyRules.TrackedJob job = serving(60);
    Worker on = holder();
    Task task = on.tasks.values().iterator().next();
    rules.onStartCommand(task, on);
    assertBroken("not_stored", () -> rules.onStartCommand(new Task(task.id, 999), on));
    job.cancelRequested = true;
    assertBroken("told_too_soon", () -> rules.checkReportedState(job, "aborted"));
    assertBroken("told_too_soon", () -> rules.onStartCommand(task, on));
  }

  /**
   * A task that was fetching when its job was told cancelled, and one that goes on after its
   * machine hung.
   */
  @Test
  void whatStartsOrGoesOnAfterItsUserWasToldIsSeen() {
    SafetyRules.TrackedJob job = serving(61);
    Worker on = holder();
    Task task = on.tasks.values().iterator().next();
    world.freeze(SimulatedWorld.host(on.address), 50_000);
    controllers.forEach(each -> kill(each, 3_600_000));
    fleet.leaseMillis = 3_600_000;
    job.cancelRequested = true;
    rules.machinesHolding = null;
    rules.checkReportedState(job, "aborted");
    assertBroken("started_cancelled", () -> rules.onStarted(task, on));
    assertBroken("ran_cancelled", () -> world.runFor(Duration.ofSeconds(45)));
  }

  @Test
  void anAnswerThatIsOlderThanOneBeforeItIsSeen() {
    begin(Layout.FLEET, 62);
    SafetyRules.TrackedJob job = trackJob(simpleJobSpec("array", 1));
    rules.checkAnswer(job, SafetyRules.ReportedState.UNKNOWN, 404, null);
    rules.checkAnswer(job, job.reportedState(), 201, "pending");
    // Asked before anybody was told that it is accepted.
    rules.checkAnswer(job, SafetyRules.ReportedState.UNKNOWN, 404, null);
    for (int status : new int[] {404, 400, 422}) {
      assertBroken("forgotten", () -> rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, status, null));
    }
    job.cancelRequested = true;
    rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, 200, "aborted");
    rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, 200, "running");
    assertBroken("went_back", () -> rules.checkAnswer(job, SafetyRules.ReportedState.FINISHED, 200, "running"));
    assertBroken("not_done", () -> rules.checkAnswer(job, SafetyRules.ReportedState.ACCEPTED, 200, "done"));
    SafetyRules.TrackedJob unfit = trackJob(simpleJobSpec("array", 1));
    unfit.invalid = true;
    rules.checkAnswer(unfit, SafetyRules.ReportedState.UNKNOWN, 422, null);
    assertBroken(
        "accepted_unfit", () -> rules.checkAnswer(unfit, SafetyRules.ReportedState.UNKNOWN, 201, "pending"));
  }

  /** Machines with room, and nobody who places anything on them. */
  @Test
  void aJobThatWaitsBesideRoomIsSeen() {
    begin(Layout.FLEET, 63);
    world.runFor(Duration.ofSeconds(10));
    controllers.forEach(each -> kill(each, 3_600_000));
    fleet.addRunningMachines(2);
    ObjectNode spec = simpleJobSpec("array", 2).put("owner", "blue");
    SafetyRules.TrackedJob job = trackJob(spec);
    job.accepted = true;
    job.lastAnsweredAt = world.now();
    SafetyRules.TrackedJob gang = trackJob(simpleJobSpec("group", 3).put("together", true).put("cards", 2.0));
    gang.accepted = true;
    gang.lastAnsweredAt = world.now();
    StarvationCheck check = new StarvationCheck(world, rules, fleet, settings(0).teams());
    runWatching(check, Duration.ofSeconds(100));
    rules.faultsEndedAt = world.now();
    assertBroken("starved", () -> runWatching(check, StarvationCheck.MAX_WAIT.plusSeconds(2)));
    // Its team at its limit, it may wait; the gang finds room for two tasks in a zone.
    spec.put("cards", 9.0);
    runWatching(check, Duration.ofSeconds(200));
    gang.spec.put("pieces", 2);
    assertBroken("starved", () -> runWatching(check, Duration.ofSeconds(95)));
    fleet.runningWorkers().forEach(fleet::failMachine);
    runWatching(check, Duration.ofSeconds(200));
  }

  private void runWatching(StarvationCheck check, Duration time) {
    for (int i = 0; i < time.toSeconds(); i++) {
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
