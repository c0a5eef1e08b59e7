package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Controller processes with the heap of the deploy file and the most records that it must hold. */
class LargeStateProcessTest {
  private static final int CONTROLLERS = 3;
  private static final int FAILOVERS = 10;
  private static final int TERMS = 8;
  private static final int TASKS = 100_000;
  private static final int JOBS = 30_000;

  private static final Duration MAX_FAILOVER = Duration.ofSeconds(60);

  @TempDir Path folder;

  private static void prepare(FakeKeyValueStore store, FakeFleet fleet) {
    LargeState.storeService(store, fleet, TASKS);
  }

  private static void prepareManyJobs(FakeKeyValueStore store, FakeFleet fleet) {
    LargeState.storeJobs(store, JOBS);
  }

  /** Guards against controllers that end for memory, one by one, while they load placements. */
  @Test
  @Timeout(400)
  void eachNextLeaderLoadsPlacementsOfLargestJob() throws Exception {
    try (LoopbackCluster cluster =
        new LoopbackCluster(folder, CONTROLLERS, 1, List.of(), LargeStateProcessTest::prepare)) {
      for (int failover = 0; failover < FAILOVERS; failover++) {
        int leader = awaitLoadedLeader(cluster);
        cluster.killController(leader);
      }
      awaitLoadedLeader(cluster);
    }
  }

  /** Guards against a controller that leads again and ends for the memory of its earlier terms. */
  @Test
  @Timeout(400)
  void leaderElectedAgainHoldsOneTerm() throws Exception {
    try (LoopbackCluster cluster =
        new LoopbackCluster(folder, 2, 1, List.of(), LargeStateProcessTest::prepare)) {
      Set<Long> terms = new HashSet<>();
      while (terms.size() < TERMS) {
        int leader = awaitLoadedLeader(cluster);
        ObjectNode queue = cluster.adminRequestOnce(leader, "/admin/v1/queue");
        if (queue != null && terms.add(queue.get("term").asLong())) {
          cluster.runOnEventLoop(cluster.store::endAllLeases);
        }
      }
    }
  }

  /** Guards against a leader that ends for the memory of the records of many pending jobs. */
  @Test
  @Timeout(200)
  void leaderLoadsManyJobs() throws Exception {
    try (LoopbackCluster cluster =
        new LoopbackCluster(
            folder, CONTROLLERS, 1, List.of(), LargeStateProcessTest::prepareManyJobs)) {
      cluster.killController(awaitLoadedLeader(cluster, JOBS));
      awaitLoadedLeader(cluster, JOBS);
    }
  }

  /** Guards against jobs that are accepted although no leader has memory to run their tasks. */
  @Test
  @Timeout(200)
  void jobBeyondTheHeapIsRefusedBeforeItIsAccepted() throws Exception {
    try (LoopbackCluster cluster =
        new LoopbackCluster(folder, CONTROLLERS, 1, List.of(), LargeStateProcessTest::prepare)) {
      int leader = awaitLoadedLeader(cluster);
      assertEquals(
          503, statusOfSubmission(cluster, leader, LargeState.job("req-000002", "service", TASKS)));
      assertEquals(
          201, statusOfSubmission(cluster, leader, LargeState.job("req-000003", "array", TASKS)));
      ObjectNode small = DeliveryProcessTest.unplaceableJob("req-000004");
      assertEquals(201, statusOfSubmission(cluster, leader, small));
      assertEquals(404, awaitCertainStatus(cluster, leader, "/v1/jobs/req-000002"));
    }
  }

  /** Asks until the leader has read all final states, before which it answers 503. */
  private static int awaitCertainStatus(LoopbackCluster cluster, int leader, String path)
      throws InterruptedException {
    Instant deadline = Instant.now().plus(MAX_FAILOVER);
    int status = 503;
    while (status == 503 && Instant.now().isBefore(deadline)) {
      status = cluster.requestOnce(leader, "GET", path).statusCode();
      Thread.sleep(100);
    }
    return status;
  }

  private static int statusOfSubmission(LoopbackCluster cluster, int index, ObjectNode spec)
      throws InterruptedException {
    HttpResponse<String> response = cluster.submitOnce(index, spec);
    return response == null ? 0 : response.statusCode();
  }

  /** Waits for a leader that has loaded the job; fails if a controller ends by itself meanwhile. */
  private static int awaitLoadedLeader(LoopbackCluster cluster) throws Exception {
    return awaitLoadedLeader(cluster, 1);
  }

  private static int awaitLoadedLeader(LoopbackCluster cluster, int jobs) throws Exception {
    Instant deadline = Instant.now().plus(MAX_FAILOVER);
    while (Instant.now().isBefore(deadline)) {
      for (int i = 0; i < cluster.adminAddresses().size(); i++) {
        Process controller = cluster.controller(i);
        assertTrue(controller.isAlive(), () -> "ended with exit code " + controller.exitValue());
        ObjectNode status = cluster.adminRequestOnce(i, "/admin/v1/status");
        if (status == null || !status.get("leadership").asText().equals("leading")) {
          continue;
        }
        ObjectNode queue = cluster.adminRequestOnce(i, "/admin/v1/queue");
        if (queue != null) {
          assertEquals(jobs, queue.get("jobs").asInt());
          return i;
        }
      }
      Thread.sleep(100);
    }
    throw new AssertionError("no leader within " + MAX_FAILOVER);
  }
}
