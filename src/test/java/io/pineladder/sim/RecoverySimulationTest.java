package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What bursts, outages and takeovers cost, and what users are told meanwhile. */
class RecoverySimulationTest extends SimulatedCluster {
  private String host(int index) {
    return "10.0.0." + (index + 1);
  }

  /** Asks one node, and runs until it has answered. */
  private AsyncHttpClient.Reply ask(String host, String method, String path, byte[] body) {
    AsyncHttpClient.Reply[] got = new AsyncHttpClient.Reply[1];
    world
        .httpClient("user", () -> true)
        .call(
            new AsyncHttpClient.Request(host + ":8080", method, path, body, Duration.ofSeconds(5)),
            reply -> got[0] = reply);
    for (int i = 0; i < 600 && got[0] == null; i++) {
      world.runFor(Duration.ofMillis(10));
    }
    return got[0];
  }

  private static String status(AsyncHttpClient.Reply reply) throws Exception {
    return Json.parseObject(reply.body()).get("status").asText();
  }

  /**
   * Seen on the larger fleets: each acceptance cost a change of the store, which takes 35 a second.
   */
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
   * Seen on the larger fleets: all controllers ended in an outage of the store, and when it was
   * back the dead leader's lease had its full time again, in which workers' leases ran out.
   */
  @Test
  void afterAnOutageNobodyWaitsForALeaseThatNobodyHolds() {
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
    assertTrue(job.accepted, "a leader accepts within 2.4 s of the store's return");
    settle(Duration.ofMinutes(2));
  }

  /** What the nodes send as soon as the store is back must leave room for what matters. */
  @Test
  void noHerdComesBackWithTheStore() {
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
    // The settings allow 500 in that time; a new leader reads, and a hundred submissions wait.
    assertTrue(requests <= 200, requests + " requests in the first 5 s");
    settle(Duration.ofMinutes(5));
  }

  /**
   * A node that reaches the store and not the leader finds what the leader accepted into a page.
   */
  @Test
  void nodeWithoutLeaderAnswersForJobsInPages() throws Exception {
    begin(13);
    world.runFor(Duration.ofSeconds(5));
    ObjectNode spec = jobSpec("service", 1, "red");
    SafetyRules.TrackedJob job = trackJob(spec);
    int leader = leaderIndex();
    assertEquals(
        201, ask(host(leader), "POST", "/v1/jobs", Json.bytes(spec)).status(), "stored in a page");
    assertEquals(0, store.countKeys("job/"));
    String alone = host((leader + 1) % 3);
    world.cut(alone, host(leader));
    world.cut(alone, host((leader + 2) % 3));
    world.runFor(Duration.ofSeconds(6));
    AsyncHttpClient.Reply known = ask(alone, "GET", "/v1/jobs/" + job.id, null);
    assertEquals(200, known.status());
    assertEquals("pending", status(known));
    assertEquals(404, ask(alone, "GET", "/v1/jobs/req-999999", null).status());
    job.cancelRequested = true;
    AsyncHttpClient.Reply cancelled =
        ask(host(leader), "POST", "/v1/jobs/" + job.id + "/cancel", null);
    assertEquals("aborted", status(cancelled));
    // The index that it has read by now must not tell what has been overtaken.
    assertEquals("aborted", status(ask(alone, "GET", "/v1/jobs/" + job.id, null)));
  }

  /**
   * A job that another node stores again, while it cannot reach the leader, ends once and for all.
   */
  @Test
  void aJobStoredTwiceEndsWithItsCopy() throws Exception {
    begin(14);
    world.runFor(Duration.ofSeconds(5));
    ObjectNode spec = jobSpec("service", 1, "red");
    SafetyRules.TrackedJob job = trackJob(spec);
    int leader = leaderIndex();
    assertEquals(201, ask(host(leader), "POST", "/v1/jobs", Json.bytes(spec)).status());
    job.accepted = true;
    String alone = host((leader + 1) % 3);
    world.cut(alone, host(leader));
    world.cut(alone, host((leader + 2) % 3));
    world.runFor(Duration.ofSeconds(6));
    // The user's repeat: its first answer was lost.
    assertEquals(201, ask(alone, "POST", "/v1/jobs", Json.bytes(spec)).status());
    assertEquals(1, store.countKeys("job/"));
    world.runFor(Duration.ofSeconds(3));
    job.cancelRequested = true;
    AsyncHttpClient.Reply cancelled =
        ask(host(leader), "POST", "/v1/jobs/" + job.id + "/cancel", null);
    assertEquals("aborted", status(cancelled));
    rules.checkReportedState(job, "aborted");
    controllers.forEach(each -> kill(each, 6_000));
    world.heal(alone, host(leader));
    world.heal(alone, host((leader + 2) % 3));
    world.runFor(Duration.ofSeconds(30));
    assertTrue(store.jobIds().isEmpty(), store.jobIds() + " would be taken up again");
    assertEquals("aborted", status(ask(alone, "GET", "/v1/jobs/" + job.id, null)));
  }

  /**
   * Sent to the store it was refused as malformed, and each repeat of it ended the leader's term.
   */
  @Test
  void aDescriptionThatCannotBeStoredIsRefusedAndEndsNoTerm() throws Exception {
    begin(15);
    // Before, a cluster that begins cannot tell that it never accepted the job.
    world.runFor(Duration.ofSeconds(8));
    ObjectNode spec = jobSpec("array", 1, "red");
    var types = spec.putArray("hulls").add("g4");
    for (int i = 0; i < 500; i++) {
      types.add("a-machine-type-of-a-long-name-" + i);
    }
    String nonce = store.value("lead/holder").get("nonce").asText();
    assertEquals(422, ask(host(leaderIndex()), "POST", "/v1/jobs", Json.bytes(spec)).status());
    world.runFor(Duration.ofSeconds(5));
    assertEquals(nonce, store.value("lead/holder").get("nonce").asText());
  }
}
