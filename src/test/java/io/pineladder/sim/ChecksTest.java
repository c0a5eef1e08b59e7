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
    return fleet.up().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
  }

  /** A service whose one task runs. */
  private SafetyRules.Known serving(long seed) {
    begin(Layout.ONE_ZONE, seed);
    SafetyRules.Known job = submit(work("service", 1));
    world.runFor(Duration.ofSeconds(60));
    return job;
  }

  @Test
  void whatIsToldTooSoonOrStartedUnstoredIsSeen() {
    SafetyRules.Known job = serving(60);
    Worker on = holder();
    Task task = on.tasks.values().iterator().next();
    rules.commanded(task, on);
    assertBroken("not_stored", () -> rules.commanded(new Task(task.piece, 999), on));
    job.cancelAsked = true;
    assertBroken("told_too_soon", () -> rules.told(job, "aborted"));
    assertBroken("told_too_soon", () -> rules.commanded(task, on));
  }

  /**
   * A task that was fetching when its job was told cancelled, and one that goes on after its
   * machine hung.
   */
  @Test
  void whatStartsOrGoesOnAfterItsUserWasToldIsSeen() {
    SafetyRules.Known job = serving(61);
    Worker on = holder();
    Task task = on.tasks.values().iterator().next();
    world.freeze(SimulatedWorld.host(on.address), 50_000);
    controllers.forEach(each -> kill(each, 3_600_000));
    fleet.leaseMillis = 3_600_000;
    job.cancelAsked = true;
    rules.holding = null;
    rules.told(job, "aborted");
    assertBroken("started_cancelled", () -> rules.started(task, on));
    assertBroken("ran_cancelled", () -> world.runFor(Duration.ofSeconds(45)));
  }

  @Test
  void anAnswerThatIsOlderThanOneBeforeItIsSeen() {
    begin(Layout.FLEET, 62);
    SafetyRules.Known job = known(work("array", 1));
    rules.answered(job, SafetyRules.Told.NOTHING, 404, null);
    rules.answered(job, job.told(), 201, "pending");
    // Asked before anybody was told that it is accepted.
    rules.answered(job, SafetyRules.Told.NOTHING, 404, null);
    for (int status : new int[] {404, 400, 422}) {
      assertBroken("forgotten", () -> rules.answered(job, SafetyRules.Told.ACCEPTED, status, null));
    }
    job.cancelAsked = true;
    rules.answered(job, SafetyRules.Told.ACCEPTED, 200, "aborted");
    rules.answered(job, SafetyRules.Told.ACCEPTED, 200, "running");
    assertBroken("went_back", () -> rules.answered(job, SafetyRules.Told.OVER, 200, "running"));
    assertBroken("not_done", () -> rules.answered(job, SafetyRules.Told.ACCEPTED, 200, "done"));
    SafetyRules.Known unfit = known(work("array", 1));
    unfit.unfit = true;
    rules.answered(unfit, SafetyRules.Told.NOTHING, 422, null);
    assertBroken(
        "accepted_unfit", () -> rules.answered(unfit, SafetyRules.Told.NOTHING, 201, "pending"));
  }

  /** Machines with room, and nobody who places anything on them. */
  @Test
  void aJobThatWaitsBesideRoomIsSeen() {
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
    runWatching(check, Duration.ofSeconds(100));
    rules.calmSince = world.now();
    assertBroken("starved", () -> runWatching(check, StarvationCheck.MOST.plusSeconds(2)));
    // Its team at its limit, it may wait; the gang finds room for two tasks in a zone.
    spec.put("cards", 9.0);
    runWatching(check, Duration.ofSeconds(200));
    gang.spec.put("pieces", 2);
    assertBroken("starved", () -> runWatching(check, Duration.ofSeconds(95)));
    fleet.up().forEach(fleet::die);
    runWatching(check, Duration.ofSeconds(200));
  }

  private void runWatching(StarvationCheck check, Duration time) {
    for (int i = 0; i < time.toSeconds(); i++) {
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
