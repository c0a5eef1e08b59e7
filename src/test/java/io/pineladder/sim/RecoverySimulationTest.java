package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Store load in bursts, outages and failovers, and the answers that users get during them. */
class RecoverySimulationTest extends SimulatedCluster {
  private String host(int index) {
    return "10.0.0." + (index + 1);
  }

  /** Cuts a node from the others until they count as unreachable; returns its host. */
  private String cutFromOtherNodes(int index) {
    for (int other = 1; other <= 2; other++) {
      world.cut(host(index), host((index + other) % 3));
    }
    world.runFor(Duration.ofSeconds(6));
    return host(index);
  }

  private AsyncHttpClient.Reply request(String host, String method, String path, byte[] body) {
    return sendAndAwait(host + ":8080", method, path, body);
  }

  private static String status(AsyncHttpClient.Reply reply) throws Exception {
    return Json.parseObject(reply.body()).get("status").asText();
  }

  /** Guards against a controller that never catches up after it has missed too many changes. */
  @Test
  void followerCatchesUpByPagesWhenItMissedTooMuch() {
    begin(19);
    world.runFor(Duration.ofSeconds(20));
    int follower = (leaderIndex() + 1) % 3;
    world.cut(host(follower), "10.2.0.1");
    for (int i = 0; i < 60; i++) {
      submit(jobSpec("array", 2, "red"));
      world.runFor(Duration.ofSeconds(1));
    }
    world.maxResponseBytes = 50_000;
    world.heal(host(follower), "10.2.0.1");
    world.runFor(Duration.ofSeconds(40));
    assertTrue(world.responsesTooLarge > 0, "the changes exceed the limit");
    assertTrue(controllers.get(follower).node.replicaManager().follower().isFresh());
    settle(Duration.ofMinutes(2));
  }

  /** Guards against users' questions that keep accepted jobs from being stored and started. */
  @Test
  void startsAcceptedJobsAfterStormOfQuestionsAboutUnknownJobs() {
    begin(20);
    submit(jobSpec("service", 1, "red"));
    world.runFor(Duration.ofSeconds(60));
    String leader = host(leaderIndex()) + ":8080";
    for (int step = 0; step < 150; step++) {
      for (int i = 0; i < 40; i++) {
        String path = String.format("/v1/jobs/req-%06d", 500_000 + step * 40 + i);
        world
            .httpClient("user", () -> true)
            .call(AsyncHttpClient.Request.get(leader, path, Duration.ofSeconds(2)), reply -> {});
      }
      world.runFor(Duration.ofMillis(100));
    }
    SafetyRules.TrackedJob job = submit(jobSpec("array", 2, "red").put("guess_s", 3));
    world.runFor(Duration.ofSeconds(30));
    assertTrue(job.firstStartedAt != null, "started within 30 s of the storm's end");
    settle(Duration.ofMinutes(1));
  }

  /** Guards against one store change per accepted job, which exceeds the store's rate limit. */
  @Test
  void batchesBurstOfSubmissionsIntoFewStoreChanges() {
    begin(11);
    world.runFor(Duration.ofSeconds(5));
    String leader = host(leaderIndex());
    int[] accepted = new int[1];
    for (int i = 0; i < 500; i++) {
      byte[] body = Json.bytes(jobSpec("array", 1, "nobody-runs-it").put("owner", "red"));
      world
          .httpClient("user", () -> true)
          .call(
              AsyncHttpClient.Request.post(
                  leader + ":8080", "/v1/jobs", body, Duration.ofSeconds(5)),
              reply -> accepted[0] += reply.hasStatus(201) ? 1 : 0);
    }
    world.runFor(Duration.ofMillis(1_500));
    assertEquals(500, accepted[0]);
    int changes =
        store.changesByPrefix.get("accepted/") + store.changesByPrefix.getOrDefault("job/", 0);
    assertTrue(changes <= 100, changes + " changes for 500 acceptances");
  }

  /**
   * Guards against worker leases that expire because candidates wait for the lease of a dead
   * leader, which the store renews in full when an outage ends.
   */
  @Test
  void doesNotWaitForLeaseOfDeadLeaderAfterOutage() {
    begin(12);
    world.runFor(Duration.ofSeconds(5));
    store.outage = true;
    world.runFor(Duration.ofSeconds(2));
    controllers.forEach(each -> kill(each, 6_000));
    world.runFor(Duration.ofSeconds(12));
    store.endOutage();
    world.runFor(Duration.ofMillis(1_500));
    SafetyRules.TrackedJob job = submit(jobSpec("array", 2, "red"));
    world.runFor(Duration.ofMillis(900));
    assertTrue(job.accepted, "a leader accepts jobs within 2.4 s of the end of the outage");
    settle(Duration.ofMinutes(2));
  }

  /** Guards against a thundering herd of store requests at the end of an outage. */
  @Test
  void limitsRequestsAfterStoreOutage() {
    begin(16);
    world.runFor(Duration.ofSeconds(5));
    for (int i = 0; i < 30; i++) {
      submit(jobSpec("array", 2, "red"));
    }
    world.runFor(Duration.ofSeconds(20));
    store.outage = true;
    for (int i = 0; i < 100; i++) {
      submit(jobSpec("array", 1, "red"));
    }
    world.runFor(Duration.ofSeconds(25));
    store.endOutage();
    int before = store.requestCount;
    world.runFor(Duration.ofSeconds(5));
    int requests = store.requestCount - before;
    // The settings allow 500; a new leader reads its state and 100 submissions are waiting.
    assertTrue(requests <= 200, requests + " requests in the first 5 s");
    settle(Duration.ofMinutes(5));
  }

  /** Guards against 404 answers of a follower without a leader for jobs stored in pages. */
  @Test
  void nodeWithoutLeaderAnswersForJobsInPages() throws Exception {
    begin(13);
    world.runFor(Duration.ofSeconds(5));
    ObjectNode spec = jobSpec("service", 1, "red");
    SafetyRules.TrackedJob job = trackJob(spec);
    int leader = leaderIndex();
    assertEquals(
        201,
        request(host(leader), "POST", "/v1/jobs", Json.bytes(spec)).status(),
        "stored in a page");
    assertEquals(0, store.countKeys("job/"));
    String alone = host((leader + 1) % 3);
    world.cut(alone, host(leader));
    world.cut(alone, host((leader + 2) % 3));
    world.runFor(Duration.ofSeconds(6));
    AsyncHttpClient.Reply known = request(alone, "GET", "/v1/jobs/" + job.id, null);
    assertEquals(200, known.status());
    assertEquals("pending", status(known));
    assertEquals(404, request(alone, "GET", "/v1/jobs/req-999999", null).status());
    job.cancelRequested = true;
    AsyncHttpClient.Reply cancelled =
        request(host(leader), "POST", "/v1/jobs/" + job.id + "/cancel", null);
    assertEquals("aborted", status(cancelled));
    // The index that the node has read must not yield a stale status.
    assertEquals("aborted", status(request(alone, "GET", "/v1/jobs/" + job.id, null)));
  }

  /**
   * Guards against a job that is resumed after its end because another node stored a second record
   * of it.
   */
  @Test
  void endsJobTogetherWithItsCopy() throws Exception {
    begin(14);
    world.runFor(Duration.ofSeconds(5));
    int leader = leaderIndex();
    String alone = cutFromOtherNodes((leader + 1) % 3);
    SafetyRules.TrackedJob job = submitAtBothUntilBothStoreIt(host(leader), alone);
    world.runFor(Duration.ofSeconds(3));
    job.cancelRequested = true;
    AsyncHttpClient.Reply cancelled =
        request(host(leader), "POST", "/v1/jobs/" + job.id + "/cancel", null);
    assertEquals("aborted", status(cancelled));
    rules.checkReportedState(job, "aborted");
    controllers.forEach(each -> kill(each, 6_000));
    world.heal(alone, host(leader));
    world.heal(alone, host((leader + 2) % 3));
    world.runFor(Duration.ofSeconds(30));
    assertFalse(store.jobIds().contains(job.id), job.id + " would be resumed");
    assertEquals("aborted", status(request(alone, "GET", "/v1/jobs/" + job.id, null)));
  }

  /**
   * Submits jobs to the leader and to a node that can't reach it at the same time, until one of
   * them is stored by both: the node has read the pages before, and stores the job after the leader
   * does.
   */
  private SafetyRules.TrackedJob submitAtBothUntilBothStoreIt(String leader, String alone) {
    for (int i = 0; i < 100; i++) {
      SafetyRules.TrackedJob job = trackJob(jobSpec("service", 1, "red"));
      for (String node : List.of(leader, alone)) {
        send(job, node + ":8080", "POST", "/v1/jobs", Json.bytes(job.spec), succeeded -> {});
      }
      world.runFor(Duration.ofSeconds(1));
      if (store.pagedJobIds().contains(job.id) && store.value("job/" + job.id) != null) {
        return job;
      }
    }
    throw new AssertionError("no job was stored by both nodes");
  }

  /** The leader learns of the job only when its own commit conflicts with the other's record. */
  @Test
  void neverAnswersSubmissionAsNewAtLeaderAfterAnotherNodeAcceptedJob() {
    begin(17);
    world.runFor(Duration.ofSeconds(5));
    int leader = leaderIndex();
    String alone = cutFromOtherNodes((leader + 1) % 3);
    Map<Integer, Integer> statusCounts = new TreeMap<>();
    for (int i = 0; i < 30; i++) {
      SafetyRules.TrackedJob job = trackJob(jobSpec("array", 1, "blue"));
      byte[] body = Json.bytes(job.spec);
      assertEquals(201, request(alone, "POST", "/v1/jobs", body).status());
      job.accepted = true;
      int repeated = request(host(leader), "POST", "/v1/jobs", body).status();
      statusCounts.merge(repeated, 1, Integer::sum);
      poll(job);
      world.runFor(Duration.ofSeconds(1));
    }
    assertEquals(Map.of(200, 30), statusCounts);
    settle(Duration.ofSeconds(200));
  }

  /** Guards against a leader that resigns because the store rejects an oversized job. */
  @Test
  void rejectsOversizedJobWithoutLosingTerm() throws Exception {
    begin(15);
    // A starting cluster can't rule out yet that it accepted the job earlier.
    world.runFor(Duration.ofSeconds(8));
    ObjectNode spec = jobSpec("array", 1, "red");
    var types = spec.putArray("hulls").add("g4");
    for (int i = 0; i < 500; i++) {
      types.add("a-machine-type-of-a-long-name-" + i);
    }
    String nonce = store.value("lead/holder").get("nonce").asText();
    assertEquals(422, request(host(leaderIndex()), "POST", "/v1/jobs", Json.bytes(spec)).status());
    world.runFor(Duration.ofSeconds(5));
    assertEquals(nonce, store.value("lead/holder").get("nonce").asText());
  }
}
