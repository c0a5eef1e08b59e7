package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Job dependencies and the rolling upgrade that introduces them. Controllers that are not upgraded
 * support only the previous cluster version, ignore announced store limits and store large values.
 */
class ChainedJobsTest extends FaultInjectionCluster {
  private static final int LOWERED_VALUE_BYTES = 2048;
  private static final int LOWERED_TXN_OPS = 4;
  private static final double LOWERED_CHANGES_PER_SECOND = 28;

  private boolean[] upgraded = new boolean[5];

  @Override
  Settings.StoreLimits storeLimits(int index, Settings.StoreLimits current) {
    Settings.StoreLimits next =
        new Settings.StoreLimits(
            current.requestsPerSecond(),
            LOWERED_CHANGES_PER_SECOND,
            LOWERED_VALUE_BYTES,
            LOWERED_TXN_OPS);
    return upgraded[index] ? current.strictest(next) : current;
  }

  @Override
  ClusterVersion version(int index) {
    return new ClusterVersion(
        upgraded[index] ? ClusterVersion.SUPPORTED : ClusterVersion.UNVERSIONED);
  }

  private void beginUpgraded(Layout layout, long seed) {
    upgraded = new boolean[] {true, true, true, true, true};
    begin(layout, seed);
    world.runFor(Duration.ofSeconds(10));
    assertEquals(ClusterVersion.CHAINED_JOBS, store.value("conf/version").get("version").asInt());
  }

  /** A job array that runs for some seconds and depends on the given jobs. */
  private ObjectNode dependentJob(int tasks, List<SafetyRules.TrackedJob> dependencies) {
    ObjectNode spec = simpleJobSpec("array", tasks).put("guess_s", randomBetween(2, 9));
    ArrayNode ids = spec.putArray("waits_on");
    dependencies.forEach(each -> ids.add(each.id));
    return spec;
  }

  private SafetyRules.TrackedJob submitDependent(
      int tasks, SafetyRules.TrackedJob... dependencies) {
    return submit(dependentJob(tasks, List.of(dependencies)));
  }

  /**
   * Submits a pipeline of three stages; each stage is submitted once its dependencies are accepted.
   */
  private void submitPipeline(int fan) {
    SafetyRules.TrackedJob first = submit(dependentJob(2, List.of()));
    List<SafetyRules.TrackedJob> middle = new ArrayList<>();
    runOnceAccepted(
        List.of(first),
        () -> {
          for (int i = 0; i < fan; i++) {
            middle.add(submitDependent(1 + i % 3, first));
          }
          runOnceAccepted(
              middle,
              () -> {
                ObjectNode last = dependentJob(1, middle).put("due_s", 120.0).put("rank", "urgent");
                schedule(world.random.nextInt(4) == 0 ? 40_000 : 0, () -> submit(last));
              });
        });
  }

  private void runOnceAccepted(List<SafetyRules.TrackedJob> jobs, Runnable action) {
    if (jobs.stream().allMatch(job -> job.accepted)) {
      action.run();
    } else {
      schedule(100, () -> runOnceAccepted(jobs, action));
    }
  }

  /** A job ends cancelled if it or a transitive dependency was cancelled, and done otherwise. */
  private void assertFinalStates() {
    for (SafetyRules.TrackedJob job : rules.jobs.values()) {
      boolean cancelled =
          job.cancelledAt != null || rules.anyPrerequisite(job, each -> each.cancelledAt != null);
      assertEquals(cancelled, job.cancelledAt != null, job.id + " " + job.spec);
    }
  }

  private int submissionStatus(ObjectNode spec) {
    return requestStatus(apiAddresses.get(0), "POST", "/v1/jobs", Json.bytes(spec));
  }

  private int requestStatus(String node, String method, String path, byte[] body) {
    int[] status = new int[1];
    world
        .httpClient("user", () -> true)
        .call(
            new AsyncHttpClient.Request(node, method, path, body, Duration.ofSeconds(5)),
            reply -> status[0] = reply.status());
    world.runFor(Duration.ofSeconds(6));
    return status[0];
  }

  @Test
  void startsJobsAfterTheirDependencies() {
    beginUpgraded(Layout.FLEET, 1);
    SafetyRules.TrackedJob first = submitDependent(3);
    SafetyRules.TrackedJob second = submit(simpleJobSpec("array", 2).put("guess_s", 20));
    world.runFor(Duration.ofSeconds(2));
    SafetyRules.TrackedJob third = submitDependent(2, first, second);
    world.runFor(Duration.ofSeconds(2));
    SafetyRules.TrackedJob last = submitDependent(1, third, first);
    world.runFor(Duration.ofSeconds(90));
    assertTrue(last.done);
    assertTrue(third.firstStartedAt.isAfter(first.firstStartedAt.plusSeconds(2)));
    settle(Duration.ofSeconds(20));
    assertFinalStates();
  }

  @Test
  void rejectsInvalidDependencies() {
    beginUpgraded(Layout.FLEET, 2);
    SafetyRules.TrackedJob known = submit(simpleJobSpec("array", 1));
    world.runFor(Duration.ofSeconds(40));
    ObjectNode spec = simpleJobSpec("array", 1);
    rules.jobs.remove(spec.get("ref").asText());
    assertEquals(400, submissionStatus(spec.deepCopy().put("waits_on", known.id)));
    assertEquals(400, submissionStatus(spec.deepCopy().set("waits_on", Json.array().add(7))));
    assertEquals(400, submissionStatus(spec.deepCopy().set("waits_on", Json.array().add("job-1"))));
    assertEquals(
        422, submissionStatus(spec.deepCopy().set("waits_on", Json.array().add("req-999999"))));
    ObjectNode selfDependent = spec.deepCopy();
    selfDependent.set("waits_on", Json.array().add(spec.get("ref").asText()));
    assertEquals(422, submissionStatus(selfDependent));
    ObjectNode valid = spec.deepCopy();
    valid.set("waits_on", Json.array().add(known.id).add(known.id));
    SafetyRules.TrackedJob job = trackJob(valid);
    assertEquals(201, submissionStatus(valid));
    job.accepted = true;
    // A repeated submission returns the status, whatever dependencies it names.
    assertEquals(200, submissionStatus(selfDependent));
    ObjectNode nullDependencies = simpleJobSpec("array", 1).putNull("waits_on");
    trackJob(nullDependencies).accepted = true;
    assertEquals(201, submissionStatus(nullDependencies));
    rules.jobs.values().forEach(this::poll);
    settle(Duration.ofSeconds(60));
  }

  /** Guards against dependents that survive a cancellation when the leader fails right after it. */
  @Test
  void cancelsDependentsTransitively() {
    beginUpgraded(Layout.FLEET, 3);
    SafetyRules.TrackedJob root = submit(simpleJobSpec("array", 2).put("guess_s", 60));
    world.runFor(Duration.ofSeconds(2));
    List<SafetyRules.TrackedJob> tree = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      SafetyRules.TrackedJob dependency = i < 4 ? root : tree.get(i / 4 - 1);
      tree.add(submitDependent(1, dependency));
      world.runFor(Duration.ofMillis(500));
    }
    world.runFor(Duration.ofSeconds(15));
    cancel(root);
    while (root.cancelledAt == null) {
      world.runFor(Duration.ofMillis(20));
    }
    killLeader(6_000);
    SafetyRules.TrackedJob late = submitDependent(1, tree.get(39));
    world.runFor(Duration.ofSeconds(60));
    tree.forEach(job -> assertTrue(job.cancelledAt != null, job.id));
    assertTrue(late.cancelledAt != null);
    settle(Duration.ofSeconds(60));
    assertFinalStates();
  }

  /**
   * Guards against cancellation of the dependents of a job that completed before its cancellation.
   */
  @Test
  void runsDependentsOfJobDoneBeforeItsCancellation() {
    beginUpgraded(Layout.FLEET, 4);
    SafetyRules.TrackedJob first = submit(simpleJobSpec("array", 1).put("guess_s", 3));
    world.runFor(Duration.ofSeconds(2));
    SafetyRules.TrackedJob second = submitDependent(1, first);
    while (!first.done) {
      world.runFor(Duration.ofMillis(100));
    }
    cancel(first);
    settle(Duration.ofSeconds(60));
    assertTrue(second.done);
  }

  /**
   * Guards against use of new features, such as dependencies, before all controllers support them.
   */
  @Test
  void raisesVersionOnceAllControllersSupportIt() {
    upgraded = new boolean[] {true, true, false};
    begin(Layout.FLEET, 5);
    SafetyRules.TrackedJob job = submit(simpleJobSpec("array", 1));
    world.runFor(Duration.ofSeconds(60));
    assertTrue(store.value("conf/version") == null);
    ObjectNode chained = dependentJob(1, List.of(job));
    SafetyRules.TrackedJob second = trackJob(chained);
    assertEquals(503, submissionStatus(chained));
    upgraded[2] = true;
    kill(controllers.get(2), 3_000);
    world.runFor(Duration.ofSeconds(12));
    assertEquals(2, store.value("conf/version").get("version").asInt());
    send(second, "POST", "/v1/jobs", Json.bytes(chained));
    settle(Duration.ofSeconds(60));
    assertTrue(second.done);
  }

  /**
   * Guards against a controller that serves or leads although it does not support the stored
   * version.
   */
  @Test
  void outdatedControllerRejectsRequests() {
    beginUpgraded(Layout.FLEET, 6);
    upgraded[1] = false;
    kill(controllers.get(1), 1_000);
    world.runFor(Duration.ofSeconds(30));
    assertEquals(503, requestStatus(apiAddresses.get(1), "GET", "/ready", null));
    assertEquals(200, requestStatus(apiAddresses.get(0), "GET", "/ready", null));
    kill(controllers.get(0), 60_000);
    kill(controllers.get(2), 60_000);
    world.runFor(Duration.ofSeconds(40));
    assertEquals(null, store.value("lead/holder"));
  }

  /** Two seeds for each layout; more with {@code -Dpineladder.chains=100}. */
  static Stream<Arguments> layoutsAndSeeds() {
    return Stream.of(Layout.values())
        .flatMap(
            layout ->
                IntStream.range(0, Integer.getInteger("pineladder.chains", 2))
                    .mapToObj(seed -> Arguments.of(layout, seed)));
  }

  private void submitJobs(int steps, boolean chained) {
    for (int i = 0; i < steps; i++) {
      if (chained && i % 3 == 0) {
        submitPipeline(1 + world.random.nextInt(3));
      }
      submit(
          simpleJobSpec(i % 6 == 5 ? "service" : "array", 1 + world.random.nextInt(3))
              .put("owner", i % 6 == 5 ? "red" : "blue"));
      if (world.random.nextInt(4) == 0) {
        cancelRandomJobs(chained ? 0.08 : 0.03);
      }
      List.copyOf(rules.jobs.values()).stream()
          .filter(job -> world.random.nextInt(12) == 0)
          .forEach(this::queryStatus);
      world.runFor(Duration.ofMillis(1_500));
    }
  }

  /**
   * Guards against broken rules in a rolling upgrade with crashes, after which the store limits are
   * lowered below the size of existing values and pipelines are submitted.
   */
  @ParameterizedTest
  @MethodSource("layoutsAndSeeds")
  void keepsRulesDuringRollingUpgrade(Layout layout, int seed) {
    begin(layout, 40_000 + 10L * seed + layout.ordinal());
    for (int i = 0; i < 30; i++) {
      submit(
          simpleJobSpec(i % 8 == 0 ? "service" : "array", 1 + i % 2)
              .put("guess_s", i % 8 == 0 ? 0 : randomBetween(5, 100)));
      if (i % 10 == 0) {
        world.runFor(Duration.ofMillis(700));
      }
    }
    submitJobs(8, false);
    for (Controller each : controllers) {
      upgraded[each.index] = true;
      kill(each, randomBetween(2_000, 7_000));
      if (world.random.nextInt(3) == 0) {
        schedule(
            randomBetween(0, 8_000),
            () ->
                kill(
                    controllers.get(world.random.nextInt(layout.nodes)),
                    randomBetween(500, 6_000)));
      }
      submitJobs(6, false);
    }
    world.runFor(Duration.ofMillis(randomBetween(0, 6_000)));
    store.lowerLimits(LOWERED_TXN_OPS, LOWERED_VALUE_BYTES, LOWERED_CHANGES_PER_SECOND);
    schedule(randomBetween(0, 12_000), () -> killLeader(randomBetween(500, 6_000)));
    schedule(randomBetween(0, 40_000), () -> killLeader(randomBetween(500, 6_000)));
    if (world.random.nextBoolean()) {
      schedule(randomBetween(0, 30_000), () -> storeOutage(randomBetween(2_000, 20_000)));
    }
    store.delayedTransactionRate = world.random.nextInt(3) == 0 ? 0.1 : 0;
    submitJobs(25, true);
    store.delayedTransactionRate = 0;
    sendsRequestBursts = world.random.nextBoolean();
    submitJobs(10, true);
    sendsRequestBursts = false;
    world.runFor(Duration.ofSeconds(60));
    rules.faultsEndedAt = world.now();
    settle(Duration.ofSeconds(400));
    assertFinalStates();
    assertEquals(2, store.value("conf/version").get("version").asInt());
    assertEquals(List.of(), store.oversizedKeys());
    // Before it knows the members' versions, a leader may retry large writes of an earlier leader.
    assertTrue(
        store.oversizedTransactions < 20,
        store.oversizedTransactions + " transactions exceeded the lowered limits");
  }

  // Negative tests: each check fails on a run that violates its rule.

  @Test
  void detectsStartBeforeDependencyIsDone() {
    beginUpgraded(Layout.FLEET, 7);
    SafetyRules.TrackedJob first = submit(simpleJobSpec("array", 1).put("guess_s", 500));
    world.runFor(Duration.ofSeconds(30));
    SafetyRules.TrackedJob second = submitDependent(1, first);
    world.runFor(Duration.ofSeconds(5));
    FakeFleet.Worker on = fleet.runningWorkers().get(0);
    rules.placementLookup = null;
    AssertionError seen =
        assertThrows(
            AssertionError.class,
            () -> rules.onStarted(new FakeFleet.Task(second.id + "/0", 1), on));
    assertTrue(seen.getMessage().startsWith("too_early"), seen.getMessage());
  }

  @Test
  void detectsOrphanedDependent() {
    beginUpgraded(Layout.FLEET, 8);
    SafetyRules.TrackedJob first = trackJob(simpleJobSpec("array", 1));
    SafetyRules.TrackedJob second = trackJob(dependentJob(1, List.of(first)));
    first.cancelRequested = true;
    rules.checkReportedState(first, "aborted");
    rules.checkReportedState(second, "pending");
    world.runFor(Duration.ofSeconds(41));
    AssertionError seen =
        assertThrows(AssertionError.class, () -> rules.checkReportedState(second, "pending"));
    assertTrue(seen.getMessage().startsWith("orphaned"), seen.getMessage());
    rules.checkReportedState(second, "aborted");
    assertFalse(second.cancelledAt == null);
  }
}
