package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Simulated runs of a cluster; the safety rules are checked at every task start and answer. */
class ClusterSimulationTest extends SimulatedCluster {
  @Test
  void servesJobsWithoutFaults() {
    begin(1);
    world.runFor(Duration.ofSeconds(5));
    for (int i = 0; i < 8; i++) {
      submit(jobSpec(i % 4 == 0 ? "group" : "array", 3, "red"));
    }
    SafetyRules.TrackedJob service = submit(jobSpec("service", 2, "red"));
    world.runFor(Duration.ofSeconds(60));
    cancel(service);
    settle(Duration.ofSeconds(40));
    assertTrue(service.cancelledAt != null);
    // All nodes know the machine types before the first submission, so no request is rejected.
    assertEquals(0, failedRequests);
  }

  /**
   * Guards against rejected submissions at a node that reaches neither the leader nor the store
   * while a peer can store them.
   */
  @Test
  void storesSubmissionThroughPeerWhenCutFromLeaderAndStore() {
    begin(5);
    world.runFor(Duration.ofSeconds(5));
    int leader = leaderIndex();
    String leaderHost = "10.0.0." + (leader + 1);
    String isolatedHost = "10.0.0." + ((leader + 1) % 3 + 1);
    String peerHost = "10.0.0." + ((leader + 2) % 3 + 1);
    world.cut(isolatedHost, "10.2.0.1");
    world.cut(isolatedHost, leaderHost);
    world.cut(peerHost, leaderHost);
    world.runFor(Duration.ofSeconds(8));
    int[] status = new int[1];
    ObjectNode spec = jobSpec("array", 2, "red");
    SafetyRules.TrackedJob job = trackJob(spec);
    world
        .httpClient("user", () -> true)
        .call(
            new AsyncHttpClient.Request(
                isolatedHost + ":8080",
                "POST",
                "/v1/jobs",
                Json.bytes(spec),
                Duration.ofSeconds(5)),
            reply -> status[0] = reply.status());
    world.runFor(Duration.ofSeconds(5));
    assertEquals(201, status[0]);
    job.accepted = true;
    world.heal(isolatedHost, "10.2.0.1");
    world.heal(isolatedHost, leaderHost);
    world.heal(peerHost, leaderHost);
    poll(job);
    settle(Duration.ofMinutes(2));
  }

  /** Guards against repeated leader changes while a leader is partitioned from the workers. */
  @Test
  void resignsOnceWhenWorkersCannotReachLeader() {
    begin(6);
    world.runFor(Duration.ofSeconds(5));
    for (int i = 0; i < 5; i++) {
      submit(jobSpec("service", 4, "red"));
    }
    world.runFor(Duration.ofSeconds(30));
    int before = leaderIndex();
    String host = "10.0.0." + (before + 1);
    assertTrue(fleet.runningWorkers().size() >= 4);
    for (int i = 1; i <= 60; i++) {
      world.cut(host, "10.1.0." + i);
    }
    world.runFor(Duration.ofSeconds(35));
    int after = leaderIndex();
    assertTrue(before != after, "leader " + after);
    world.runFor(Duration.ofSeconds(40));
    assertEquals(after, leaderIndex());
    SafetyRules.TrackedJob late = submit(jobSpec("array", 4, "blue"));
    world.runFor(Duration.ofSeconds(60));
    assertTrue(late.done, "served during the partition");
  }

  /**
   * Guards against a duplicate of a job whose record is read by a poll before the leader receives
   * the response to the transaction that created it.
   */
  @Test
  void doesNotDuplicateJobReadBeforeItsCommitIsConfirmed() {
    begin(3145);
    runWithRandomFaults();
  }

  /** Twelve runs; more with {@code -Dpineladder.days=1000 -Dpineladder.first=1}. */
  static LongStream seeds() {
    long first = Long.getLong("pineladder.first", 1);
    return LongStream.range(first, first + Long.getLong("pineladder.days", 12));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void keepsRulesUnderRandomFaults(long seed) {
    begin(seed);
    runWithRandomFaults();
  }

  private void runWithRandomFaults() {
    world.runFor(Duration.ofSeconds(4));
    world.lossRate = 0.03;
    for (int step = 0; step < 60; step++) {
      SafetyRules.TrackedJob job = submit(randomJobSpec());
      job.alwaysFails = world.random.nextInt(12) == 0;
      List<SafetyRules.TrackedJob> open =
          rules.jobs.values().stream().filter(j -> j.accepted && !j.isFinished()).toList();
      if (!open.isEmpty() && world.random.nextInt(3) == 0) {
        cancel(open.get(world.random.nextInt(open.size())));
      }
      injectFault(world.random.nextInt(18));
      world.runFor(Duration.ofMillis(2_000 + world.random.nextInt(4_000)));
    }
    settle(Duration.ofMinutes(10));
  }

  /**
   * Guards against an outage of leadership after which nobody can tell what users were answered.
   */
  @Test
  void answersWithoutLeaderAreCounted() {
    begin(3);
    world.runFor(Duration.ofSeconds(4));
    store.outage = true;
    world.runFor(Duration.ofSeconds(10));
    assertEquals(503, sendAndAwait("10.0.0.1:8080", "GET", "/v1/jobs/req-000007", null).status());
    byte[] metrics = sendAndAwait("10.0.0.1:8081", "GET", "/admin/v1/metrics", null).body();
    String counter = "\"pineladder.leaderless.answers operation=poll status=503\":1.0";
    String text = new String(metrics, StandardCharsets.UTF_8);
    assertTrue(text.contains(counter), text);
  }
}
