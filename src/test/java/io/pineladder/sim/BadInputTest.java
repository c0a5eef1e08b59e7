package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.PeerWire;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Invalid and repeated requests of users and workers, sent many times to all nodes. */
class BadInputTest extends ConfigurableCluster {
  private static final int REQUEST_COUNT = 100;

  /** Sends a request repeatedly, to the nodes in turn; counts answers by code and job status. */
  private Map<String, Integer> sendRepeatedly(String method, String path, byte[] body) {
    Map<String, Integer> answers = new HashMap<>();
    for (int i = 0; i < REQUEST_COUNT; i++) {
      String node = apiAddresses.get(i % apiAddresses.size());
      world
          .httpClient("user", () -> true)
          .call(
              new AsyncHttpClient.Request(node, method, path, body, Duration.ofSeconds(5)),
              reply -> answers.merge(describe(reply), 1, Integer::sum));
      world.runFor(Duration.ofMillis(150));
    }
    world.runFor(Duration.ofSeconds(6));
    return answers;
  }

  private static String describe(AsyncHttpClient.Reply reply) {
    String text = reply.body() == null ? "" : new String(reply.body(), StandardCharsets.UTF_8);
    for (String status : List.of("done", "aborted", "running", "pending")) {
      if (text.contains("\"status\":\"" + status + "\"")) {
        return reply.status() + " " + status;
      }
    }
    return String.valueOf(reply.status());
  }

  private static byte[] heartbeat(
      String host, String machineType, long epoch, long sequence, long fencingToken, String task) {
    ObjectNode out =
        Json.object()
            .put("host", host)
            .put("addr", "10.1.9.9:9000")
            .put("hull", machineType)
            .put("yard", "a")
            .put("loaners", false)
            .put("shift", epoch)
            .put("tally", sequence)
            .put("baton", fencingToken);
    var pieces = out.putArray("pieces");
    if (task != null) {
      pieces
          .addObject()
          .put("piece", task)
          .put("try", 1)
          .put("status", "ended")
          .put("cause", "done");
    }
    return Json.bytes(out);
  }

  /** Guards against a forwarded request that ends the process of the leader. */
  @Test
  void answersForwardedRequestWithPathThatNoUserMayAskFor() throws Exception {
    begin(Layout.FLEET, 53);
    for (String path : List.of("", "/", "/v1/jobs/", "/v1/job", "/v1/jobs/req-1/x", "/v1/jobs//")) {
      for (String method : List.of("GET", "POST", "PUT")) {
        byte[] body = PeerWire.write(new PeerWire.ForwardedRequest(method, path, new byte[0], 0));
        AsyncHttpClient.Reply reply =
            sendAndAwait(leaderHost() + ":8081", "POST", PeerWire.PATH, body);
        assertEquals(404, PeerWire.parseResponse(reply.body()).response().status(), path);
      }
    }
  }

  @Test
  void ignoresInvalidAndRepeatedRequests() {
    begin(Layout.FLEET, 41);
    SafetyRules.TrackedJob done = submit(simpleJobSpec("array", 1).put("guess_s", 5));
    SafetyRules.TrackedJob cancelled = submit(simpleJobSpec("service", 1));
    SafetyRules.TrackedJob running = submit(simpleJobSpec("service", 1));
    world.runFor(Duration.ofSeconds(50));
    cancel(cancelled);
    world.runFor(Duration.ofSeconds(20));
    assertTrue(done.done && cancelled.cancelledAt != null);
    String holder = String.valueOf(store.value("lead/holder"));

    String jobs = "/v1/jobs/";
    Map<String, Integer> allDone = Map.of("200 done", REQUEST_COUNT);
    assertEquals(
        allDone,
        sendRepeatedly("POST", jobs + done.id + "/cancel", null),
        "cancelling a completed job has no effect");
    assertEquals(
        allDone,
        sendRepeatedly("POST", "/v1/jobs", Json.bytes(done.spec)),
        "a repeated submission creates no job");
    assertEquals(
        Map.of("200 aborted", REQUEST_COUNT),
        sendRepeatedly("POST", jobs + cancelled.id + "/cancel", null));
    assertEquals(
        Map.of("200 aborted", REQUEST_COUNT),
        sendRepeatedly("POST", "/v1/jobs", Json.bytes(cancelled.spec)));
    for (String unknown : List.of("req-999999", "nonsense", "req-1", "..", "req-000001x")) {
      assertEquals(
          Map.of("404", REQUEST_COUNT),
          sendRepeatedly("POST", jobs + unknown + "/cancel", null),
          unknown);
      assertEquals(
          Map.of("404", REQUEST_COUNT), sendRepeatedly("GET", jobs + unknown, null), unknown);
    }
    for (String malformed : List.of("", "[]", "{", "{}", "null", "{\"ref\":7}", "\u0000")) {
      assertEquals(
          Map.of("400", REQUEST_COUNT),
          sendRepeatedly("POST", "/v1/jobs", malformed.getBytes(StandardCharsets.UTF_8)),
          malformed);
      assertEquals(
          Map.of("400", REQUEST_COUNT),
          sendRepeatedly("POST", "/v1/report", malformed.getBytes(StandardCharsets.UTF_8)),
          malformed);
    }

    // Heartbeats of unknown machines, with known and unknown types, and stale heartbeats of a known
    // machine.
    FakeFleet.Worker busy =
        fleet.runningWorkers().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
    List<byte[]> heartbeats = new ArrayList<>();
    heartbeats.add(heartbeat("m-999998", "g4", 1, 1, 0, null));
    heartbeats.add(heartbeat("m-999999", "no-such", 1, 1, 0, "req-000777/0"));
    heartbeats.add(heartbeat("m-999997", "g4", 3, 900, 0, running.id + "/0"));
    heartbeats.add(heartbeat(busy.name, "g4", 0, 1, 0, running.id + "/0"));
    heartbeats.add(heartbeat(busy.name, "g4", 1, 0, 0, null));
    heartbeats.add(heartbeat(busy.name, "g4", 0, Long.MAX_VALUE, 0, null));
    for (byte[] heartbeat : heartbeats) {
      Map<String, Integer> answers = sendRepeatedly("POST", "/v1/report", heartbeat);
      answers
          .keySet()
          .forEach(a -> assertTrue(List.of("200", "421").contains(a), "unexpected status " + a));
    }
    for (byte[] each :
        List.of(
            heartbeat("m-000001", "g4", -1, 1, 0, null),
            heartbeat("m-000001", "g4", 1, -1, 0, null),
            heartbeat("m-000001", "g4", 1, 1, -1, null))) {
      assertEquals(Map.of("400", REQUEST_COUNT), sendRepeatedly("POST", "/v1/report", each));
    }
    world.runFor(Duration.ofSeconds(60));
    assertEquals(holder, String.valueOf(store.value("lead/holder")), "the leader keeps its term");
    assertTrue(store.generationPrefix().isEmpty(), "no data loss is assumed");
    assertEquals(1, fleet.machinesHolding(running.id).size(), "the running task is kept");
    assertTrue(!running.isFinished());
    settle(Duration.ofSeconds(30));
  }

  /**
   * The expected status code for each change to a valid job. A change is a field to remove, or
   * fields to set as {@code field=value,...}.
   */
  private static final Map<String, Integer> STATUS_BY_CHANGE = new LinkedHashMap<>();

  static {
    List<String> required =
        List.of(
            "ref",
            "jobclass",
            "owner",
            "shape",
            "rank",
            "pieces",
            "vcpus",
            "cards",
            "memory_gb",
            "together",
            "spread",
            "loaners",
            "bundle",
            "image_gb",
            "guess_s",
            "mark_every_s",
            "stow_s");
    for (String field : required) {
      // Required fields may be neither absent nor null.
      STATUS_BY_CHANGE.put(field, 400);
      STATUS_BY_CHANGE.put(field + "=null", 400);
      STATUS_BY_CHANGE.put(field + "=[1]", 400);
      STATUS_BY_CHANGE.put(field + "={}", 400);
    }
    for (String amount :
        List.of("vcpus", "cards", "memory_gb", "image_gb", "guess_s", "mark_every_s", "stow_s")) {
      for (String value : List.of("-1", "1e400", "\"NaN\"", "\"7\"", "true")) {
        STATUS_BY_CHANGE.put(amount + "=" + value, 400);
      }
    }
    for (String value : List.of("0", "100001", "-3", "1.5", "99999999999999999999", "\"2\"")) {
      STATUS_BY_CHANGE.put("pieces=" + value, 400);
    }
    for (String each :
        List.of(
            "shape=\"heap\"",
            "rank=\"first\"",
            "rank=1",
            "together=\"true\"",
            "spread=0",
            "loaners=\"no\"",
            "ref=\"job-000412\"",
            "ref=\"req-\"",
            "ref=\"req-00a412\"",
            "ref=\"REQ-000412\"",
            "ref=412",
            "hulls=\"g4\"",
            "hulls=[]",
            "hulls=[4]",
            "yard=4",
            "due_s=\"soon\"",
            "due_s=-1",
            "owner=\"\"")) {
      STATUS_BY_CHANGE.put(each, 400);
    }
    for (String each :
        List.of(
            "owner=\"nobody\"",
            "hulls=[\"none\"]",
            "yard=\"nowhere\"",
            "vcpus=17",
            "cards=5",
            "memory_gb=65",
            "owner=\"blue\",shape=\"group\",pieces=9",
            "owner=\"blue\",shape=\"service\",pieces=9",
            "shape=\"group\",together=true,spread=true",
            "shape=\"group\",yard=\"a\",spread=true")) {
      STATUS_BY_CHANGE.put(each, 422);
    }
    for (String each :
        List.of(
            "hulls=null",
            "yard=null",
            "due_s=null",
            "novelty={}",
            "owner=\"blue\",shape=\"array\",pieces=9",
            "shape=\"array\",together=true,spread=true",
            "shape=\"group\",spread=true",
            "shape=\"group\",pieces=1,together=true,spread=true",
            "yard=\"a\"")) {
      STATUS_BY_CHANGE.put(each, 201);
    }
  }

  private ObjectNode changedSpec(String change) throws MalformedMessageException {
    ObjectNode spec = simpleJobSpec("array", 2);
    rules.jobs.remove(spec.get("ref").asText());
    if (!change.contains("=")) {
      spec.remove(change);
      return spec;
    }
    for (String assignment : change.split(",(?=[a-z_]+=)", 0)) {
      int separator = assignment.indexOf('=');
      String text =
          spec.toString().replaceAll("\\}$", ",\"" + assignment.substring(0, separator) + "\":");
      spec =
          Json.parseObject(
              (text + assignment.substring(separator + 1) + "}").getBytes(StandardCharsets.UTF_8));
    }
    return spec;
  }

  /** Submits each changed job to each node, with an id per node, and returns the status codes. */
  private Map<String, List<Integer>> submitChangedJobs(
      List<String> nodes, Predicate<Integer> selected) throws MalformedMessageException {
    Map<String, List<Integer>> found = new LinkedHashMap<>();
    for (Map.Entry<String, Integer> each : STATUS_BY_CHANGE.entrySet()) {
      if (!selected.test(each.getValue())) {
        continue;
      }
      for (String node : nodes) {
        ObjectNode spec = changedSpec(each.getKey());
        if (each.getValue() == 201) {
          trackJob(spec);
        }
        world
            .httpClient("user", () -> true)
            .call(
                new AsyncHttpClient.Request(
                    node, "POST", "/v1/jobs", Json.bytes(spec), Duration.ofSeconds(5)),
                reply ->
                    found
                        .computeIfAbsent(each.getKey(), k -> new ArrayList<>())
                        .add(reply.status()));
      }
      world.runFor(Duration.ofMillis(20));
    }
    world.runFor(Duration.ofSeconds(5));
    return found;
  }

  private static Map<String, List<Integer>> expectedAnswers(
      int nodes, Predicate<Integer> selected, Integer replacement) {
    Map<String, List<Integer>> expected = new LinkedHashMap<>();
    STATUS_BY_CHANGE.forEach(
        (change, status) -> {
          if (selected.test(status)) {
            expected.put(
                change, Collections.nCopies(nodes, replacement == null ? status : replacement));
          }
        });
    return expected;
  }

  /** Guards against answers that differ between the leader, the followers and a leaderless node. */
  @Test
  void rejectsInvalidSubmissionsOnEveryNode() throws MalformedMessageException {
    begin(Layout.FLEET, 42);
    world.runFor(Duration.ofSeconds(10));
    Predicate<Integer> all = status -> true;
    assertEquals(expectedAnswers(3, all, null), submitChangedJobs(apiAddresses, all));
    int leader = leaderIndex();
    kill(controllers.get(leader), 3_600_000);
    // The leader's lease has not expired, so there is no new leader yet.
    List<String> others =
        apiAddresses.stream().filter(f -> !f.equals(apiAddresses.get(leader))).toList();
    Predicate<Integer> malformed = status -> status == 400;
    assertEquals(expectedAnswers(2, malformed, null), submitChangedJobs(others, malformed));
    kill(controllers.get(leaderIndex()), 500);
    // Without a leader each request needs reads of the key-value store. They are rate-limited, and
    // a node answers 503 over the limit. The node that was just killed refuses connections.
    Predicate<Integer> unsatisfiable = status -> status == 422;
    Map<String, List<Integer>> found = submitChangedJobs(others, unsatisfiable);
    assertEquals(expectedAnswers(2, unsatisfiable, null).keySet(), found.keySet());
    found.forEach(
        (change, statuses) ->
            assertTrue(Set.of(0, 422, 503).containsAll(statuses), change + " got " + statuses));
    world.runFor(Duration.ofSeconds(10));
    assertEquals(expectedAnswers(2, unsatisfiable, null), submitChangedJobs(others, unsatisfiable));
  }

  /** Guards against 422 answers by nodes that have not read the machine types yet. */
  @Test
  void answersUnavailableWhileMachineTypesAreUnknown() throws MalformedMessageException {
    layout = Layout.FLEET;
    begin(43);
    fleet.outage = true;
    world.runFor(Duration.ofSeconds(10));
    Predicate<Integer> malformed = status -> status == 400;
    assertEquals(expectedAnswers(3, malformed, null), submitChangedJobs(apiAddresses, malformed));
    Predicate<Integer> others = status -> status != 400;
    assertEquals(expectedAnswers(3, others, 503), submitChangedJobs(apiAddresses, others));
  }
}
