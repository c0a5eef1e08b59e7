package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
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

/** What no user or worker should send, through every node and again and again. */
class BadInputTest extends ConfigurableCluster {
  private static final int TIMES = 100;

  /** How often each answer came, as its status and what it says of the job. */
  private Map<String, Integer> send(String method, String path, byte[] body) {
    Map<String, Integer> answers = new HashMap<>();
    for (int i = 0; i < TIMES; i++) {
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

  private static byte[] report(
      String host, String hull, long shift, long tally, long baton, String piece) {
    ObjectNode out =
        Json.object()
            .put("host", host)
            .put("addr", "10.1.9.9:9000")
            .put("hull", hull)
            .put("yard", "a")
            .put("loaners", false)
            .put("shift", shift)
            .put("tally", tally)
            .put("baton", baton);
    var pieces = out.putArray("pieces");
    if (piece != null) {
      pieces
          .addObject()
          .put("piece", piece)
          .put("try", 1)
          .put("status", "ended")
          .put("cause", "done");
    }
    return Json.bytes(out);
  }

  @Test
  void nothingThatShouldNotBeSentChangesAJobOrEndsATerm() {
    begin(Layout.FLEET, 41);
    SafetyRules.TrackedJob done = submit(simpleJobSpec("array", 1).put("guess_s", 5));
    SafetyRules.TrackedJob cancelled = submit(simpleJobSpec("service", 1));
    SafetyRules.TrackedJob runs = submit(simpleJobSpec("service", 1));
    world.runFor(Duration.ofSeconds(50));
    cancel(cancelled);
    world.runFor(Duration.ofSeconds(20));
    assertTrue(done.done && cancelled.cancelledAt != null);
    String holder = String.valueOf(store.value("lead/holder"));

    String jobs = "/v1/jobs/";
    Map<String, Integer> all = Map.of("200 done", TIMES);
    assertEquals(
        all, send("POST", jobs + done.id + "/cancel", null), "a job that is done stays done");
    assertEquals(all, send("POST", "/v1/jobs", Json.bytes(done.spec)), "and is no new one");
    assertEquals(Map.of("200 aborted", TIMES), send("POST", jobs + cancelled.id + "/cancel", null));
    assertEquals(
        Map.of("200 aborted", TIMES), send("POST", "/v1/jobs", Json.bytes(cancelled.spec)));
    for (String unknown : List.of("req-999999", "nonsense", "req-1", "..", "req-000001x")) {
      assertEquals(Map.of("404", TIMES), send("POST", jobs + unknown + "/cancel", null), unknown);
      assertEquals(Map.of("404", TIMES), send("GET", jobs + unknown, null), unknown);
    }
    for (String malformed : List.of("", "[]", "{", "{}", "null", "{\"ref\":7}", "\u0000")) {
      assertEquals(
          Map.of("400", TIMES),
          send("POST", "/v1/jobs", malformed.getBytes(StandardCharsets.UTF_8)),
          malformed);
      assertEquals(
          Map.of("400", TIMES),
          send("POST", "/v1/report", malformed.getBytes(StandardCharsets.UTF_8)),
          malformed);
    }

    // Machines that nobody rented, of a known type and of none, and old words of one that is there.
    FakeFleet.Worker there =
        fleet.runningWorkers().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
    List<byte[]> reports = new ArrayList<>();
    reports.add(report("m-999998", "g4", 1, 1, 0, null));
    reports.add(report("m-999999", "no-such", 1, 1, 0, "req-000777/0"));
    reports.add(report("m-999997", "g4", 3, 900, 0, runs.id + "/0"));
    reports.add(report(there.name, "g4", 0, 1, 0, runs.id + "/0"));
    reports.add(report(there.name, "g4", 1, 0, 0, null));
    reports.add(report(there.name, "g4", 0, Long.MAX_VALUE, 0, null));
    for (byte[] each : reports) {
      Map<String, Integer> answers = send("POST", "/v1/report", each);
      answers.keySet().forEach(a -> assertTrue(List.of("200", "421").contains(a), "answered " + a));
    }
    for (byte[] each :
        List.of(
            report("m-000001", "g4", -1, 1, 0, null),
            report("m-000001", "g4", 1, -1, 0, null),
            report("m-000001", "g4", 1, 1, -1, null))) {
      assertEquals(Map.of("400", TIMES), send("POST", "/v1/report", each));
    }
    world.runFor(Duration.ofSeconds(60));
    assertEquals(holder, String.valueOf(store.value("lead/holder")), "the term goes on");
    assertTrue(store.generationPrefix().isEmpty(), "nobody takes data for lost");
    assertEquals(1, fleet.machinesHolding(runs.id).size(), "what runs goes on");
    assertTrue(!runs.isFinished());
    settle(Duration.ofSeconds(30));
  }

  /** What is sent, by what is done to a good job, and how every node answers it. */
  private static final Map<String, Integer> SUBMISSIONS = new LinkedHashMap<>();

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
      // Only a field that may be null may be absent, or null.
      SUBMISSIONS.put(field, 400);
      SUBMISSIONS.put(field + "=null", 400);
      SUBMISSIONS.put(field + "=[1]", 400);
      SUBMISSIONS.put(field + "={}", 400);
    }
    for (String amount :
        List.of("vcpus", "cards", "memory_gb", "image_gb", "guess_s", "mark_every_s", "stow_s")) {
      for (String value : List.of("-1", "1e400", "\"NaN\"", "\"7\"", "true")) {
        SUBMISSIONS.put(amount + "=" + value, 400);
      }
    }
    for (String value : List.of("0", "100001", "-3", "1.5", "99999999999999999999", "\"2\"")) {
      SUBMISSIONS.put("pieces=" + value, 400);
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
      SUBMISSIONS.put(each, 400);
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
      SUBMISSIONS.put(each, 422);
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
      SUBMISSIONS.put(each, 201);
    }
  }

  private ObjectNode changed(String how) throws MalformedMessageException {
    ObjectNode spec = simpleJobSpec("array", 2);
    rules.jobs.remove(spec.get("ref").asText());
    if (!how.contains("=")) {
      spec.remove(how);
      return spec;
    }
    for (String each : how.split(",(?=[a-z_]+=)", 0)) {
      int is = each.indexOf('=');
      String text = spec.toString().replaceAll("\\}$", ",\"" + each.substring(0, is) + "\":");
      spec =
          Json.parseObject((text + each.substring(is + 1) + "}").getBytes(StandardCharsets.UTF_8));
    }
    return spec;
  }

  /** What each node answers to what is done to a good job; every node is sent a job of its own. */
  private Map<String, List<Integer>> answers(List<String> nodes, Predicate<Integer> which)
      throws MalformedMessageException {
    Map<String, List<Integer>> found = new LinkedHashMap<>();
    for (Map.Entry<String, Integer> each : SUBMISSIONS.entrySet()) {
      if (!which.test(each.getValue())) {
        continue;
      }
      for (String node : nodes) {
        ObjectNode spec = changed(each.getKey());
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

  private static Map<String, List<Integer>> expected(
      int nodes, Predicate<Integer> which, Integer instead) {
    Map<String, List<Integer>> all = new LinkedHashMap<>();
    SUBMISSIONS.forEach(
        (how, status) -> {
          if (which.test(status)) {
            all.put(how, Collections.nCopies(nodes, instead == null ? status : instead));
          }
        });
    return all;
  }

  /** The same at the leader, at those that hand on to it, and where there is none. */
  @Test
  void aSubmissionIsRefusedForWhatItLacksAlikeByEveryNode() throws MalformedMessageException {
    begin(Layout.FLEET, 42);
    world.runFor(Duration.ofSeconds(10));
    Predicate<Integer> all = status -> true;
    assertEquals(expected(3, all, null), answers(apiAddresses, all));
    int leader = leaderIndex();
    kill(controllers.get(leader), 3_600_000);
    // Before the leader's lease ends, and so before there is another.
    List<String> others = apiAddresses.stream().filter(f -> !f.equals(apiAddresses.get(leader))).toList();
    Predicate<Integer> malformed = status -> status == 400;
    assertEquals(expected(2, malformed, null), answers(others, malformed));
    kill(controllers.get(leaderIndex()), 500);
    // Without a leader each takes reads of the state service, of which a node has few: who gets
    // none says 503.
    // The one that has just ended refuses connections.
    Predicate<Integer> impossible = status -> status == 422;
    Map<String, List<Integer>> asked = answers(others, impossible);
    assertEquals(expected(2, impossible, null).keySet(), asked.keySet());
    asked.forEach(
        (how, got) -> assertTrue(Set.of(0, 422, 503).containsAll(got), how + " got " + got));
    world.runFor(Duration.ofSeconds(10));
    assertEquals(expected(2, impossible, null), answers(others, impossible));
  }

  /**
   * No node may judge by types that it does not know; what is malformed is so whatever they are.
   */
  @Test
  void whereTypesAreNotKnownNothingIsCalledImpossible() throws MalformedMessageException {
    layout = Layout.FLEET;
    begin(43);
    fleet.outage = true;
    world.runFor(Duration.ofSeconds(10));
    Predicate<Integer> malformed = status -> status == 400;
    assertEquals(expected(3, malformed, null), answers(apiAddresses, malformed));
    Predicate<Integer> others = status -> status != 400;
    assertEquals(expected(3, others, 503), answers(apiAddresses, others));
  }
}
