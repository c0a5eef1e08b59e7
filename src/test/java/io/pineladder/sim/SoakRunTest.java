package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A short soak run, and planted violations of what it checks. */
class SoakRunTest {
  private static final int FIRST_SEED = 1;
  private static final int SEEDS = 2;

  @Test
  @Timeout(420)
  void rulesHoldUnderRandomFaultsOnRealProcesses() throws Exception {
    SoakRun run = new SoakRun();
    run.seed = FIRST_SEED;
    run.seeds = SEEDS;
    run.faultSeconds = 10;
    run.workers = 24;
    run.port = ScaleRunTest.firstFreePort();
    int exitCode = run.call();
    assertEquals(List.of(), run.failures());
    assertEquals(0, exitCode);
  }

  /** A plan follows from its seed alone, so that a failed run can be repeated. */
  @Test
  void planFollowsFromSeed() {
    Duration length = Duration.ofSeconds(25);
    assertEquals(SoakPlan.random(7, length, 3), SoakPlan.random(7, length, 3));
  }

  // ---- planted violations

  private final SimulatedWorld world = new SimulatedWorld(1);
  private final SafetyRules rules =
      new SafetyRules(world, List.of(new Team("red", Resources.of(1, 0, 0), 2, 0)));
  private final SoakInvariants invariants = new SoakInvariants(world, rules);
  private final FakeFleet fleet = new FakeFleet(world, invariants, List.of());
  private final Worker first = fleet.new Worker("m-000001", "10.1.0.1:9000", "g4", "a", false);
  private final Worker second = fleet.new Worker("m-000002", "10.1.0.2:9000", "g4", "b", false);
  private SafetyRules.TrackedJob job;

  /** A violation of one rule, planted as the events that a run would show. */
  private record Planted(String rule, Consumer<SoakRunTest> events) {
    @Override
    public String toString() {
      return rule;
    }
  }

  static Stream<Planted> plantedViolations() {
    return Stream.of(
        new Planted(
            "ran_twice",
            test -> {
              test.run(test.first, 0);
              test.run(test.second, 0);
            }),
        new Planted(
            "quota",
            test -> {
              test.run(test.first, 0);
              test.run(test.first, 1);
              test.run(test.first, 2);
            }),
        new Planted(
            "wrong_place",
            test -> {
              test.job.spec.put("yard", "a");
              test.run(test.second, 0);
            }),
        new Planted(
            "started_cancelled",
            test -> {
              test.cancelled();
              test.run(test.first, 0);
            }),
        new Planted(
            "ran_cancelled",
            test -> {
              test.run(test.first, 0);
              test.cancelled();
              test.world.runFor(Duration.ofSeconds(60));
              test.invariants.check(test.rules::checkCancelledJobs);
            }),
        new Planted(
            "forgotten",
            test ->
                test.invariants.onAnswer(test.job, SafetyRules.ReportedState.ACCEPTED, 404, null)),
        new Planted(
            "accepted_again",
            test ->
                test.invariants.onAnswer(
                    test.job, SafetyRules.ReportedState.ACCEPTED, 201, "pending")),
        new Planted(
            "unanswered",
            test -> {
              test.answered("pending");
              test.rules.faultsEndedAt = test.world.now();
              test.world.runFor(Duration.ofSeconds(80));
              test.invariants.check(test.rules::checkAcceptedJobs);
            }),
        new Planted("invented", test -> test.invariants.onAnswerAboutUnknownJob("req-999999", 200)),
        new Planted("not_done", test -> test.answered("done")),
        new Planted(
            "went_back",
            test -> {
              test.cancelled();
              test.invariants.onAnswer(
                  test.job, SafetyRules.ReportedState.FINISHED, 200, "running");
            }),
        new Planted("nothing_ran", test -> test.invariants.onEnd()),
        new Planted("process_ended", test -> test.invariants.onControllerExited(1, 70)));
  }

  @BeforeEach
  void acceptJob() {
    ObjectNode spec =
        Json.object()
            .put("ref", "req-000001")
            .put("owner", "red")
            .put("shape", "array")
            .put("pieces", 3)
            .put("vcpus", 1.0)
            .put("cards", 0.0)
            .put("memory_gb", 1.0)
            .put("together", false)
            .put("spread", false)
            .put("loaners", false)
            .put("guess_s", 10.0);
    job = new SafetyRules.TrackedJob("req-000001", spec);
    rules.jobs.put(job.id, job);
    job.submittedAt = world.now();
    answered("pending");
  }

  private void answered(String state) {
    invariants.onAnswer(job, job.reportedState(), 200, state);
  }

  private void cancelled() {
    job.cancelRequested = true;
    answered("aborted");
  }

  private void run(Worker worker, int index) {
    invariants.onStarted(new Task(job.id + "/" + index, 1), worker);
  }

  @ParameterizedTest
  @MethodSource("plantedViolations")
  void detectsPlantedViolation(Planted planted) {
    assertEquals(List.of(), invariants.violations());
    planted.events.accept(this);
    assertTrue(!invariants.violations().isEmpty(), planted + " should be detected");
  }
}
