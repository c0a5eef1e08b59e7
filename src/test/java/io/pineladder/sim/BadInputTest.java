package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.HttpCaller;
import io.pineladder.wire.Json;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What no user or worker should send, through every node and again and again. */
class BadInputTest extends LaidOutCluster {
  private static final int TIMES = 100;

  /** How often each answer came, as its status and what it says of the job. */
  private Map<String, Integer> send(String method, String path, byte[] body) {
    Map<String, Integer> answers = new HashMap<>();
    for (int i = 0; i < TIMES; i++) {
      String node = fronts.get(i % fronts.size());
      world
          .caller("user", () -> true)
          .call(
              new HttpCaller.Request(node, method, path, body, Duration.ofSeconds(5)),
              reply -> answers.merge(describe(reply), 1, Integer::sum));
      world.runFor(Duration.ofMillis(150));
    }
    world.runFor(Duration.ofSeconds(6));
    return answers;
  }

  private static String describe(HttpCaller.Reply reply) {
    String text = reply.body() == null ? "" : new String(reply.body(), StandardCharsets.UTF_8);
    for (String status : List.of("done", "aborted", "running", "pending")) {
      if (text.contains("\"status\":\"" + status + "\"")) {
        return reply.status() + " " + status;
      }
    }
    return String.valueOf(reply.status());
  }

  private static byte[] report(String host, String hull, long shift, long tally, long baton, String piece) {
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
      pieces.addObject().put("piece", piece).put("try", 1).put("status", "ended").put("cause", "done");
    }
    return Json.bytes(out);
  }

  @Test
  void nothingThatShouldNotBeSentChangesAJobOrEndsATerm() {
    begin(Layout.FLEET, 41);
    Rules.Known done = submit(work("array", 1).put("guess_s", 5));
    Rules.Known cancelled = submit(work("service", 1));
    Rules.Known runs = submit(work("service", 1));
    world.runFor(Duration.ofSeconds(50));
    cancel(cancelled);
    world.runFor(Duration.ofSeconds(20));
    assertTrue(done.done && cancelled.cancelled != null);
    String holder = String.valueOf(store.value("lead/holder"));

    String jobs = "/v1/jobs/";
    Map<String, Integer> all = Map.of("200 done", TIMES);
    assertEquals(all, send("POST", jobs + done.id + "/cancel", null), "a job that is done stays done");
    assertEquals(all, send("POST", "/v1/jobs", Json.bytes(done.spec)), "and is no new one");
    assertEquals(
        Map.of("200 aborted", TIMES), send("POST", jobs + cancelled.id + "/cancel", null));
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
    FleetStandIn.Worker there =
        fleet.up().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
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
    assertTrue(store.space().isEmpty(), "nobody takes data for lost");
    assertEquals(1, fleet.holding(runs.id).size(), "what runs goes on");
    assertTrue(!runs.isOver());
    settle(Duration.ofSeconds(30));
  }
}
