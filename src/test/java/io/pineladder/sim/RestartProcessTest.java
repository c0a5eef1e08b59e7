package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Controller processes that are killed and restarted at once with the same addresses. */
class RestartProcessTest {
  private static final int ROUNDS = 6;

  @TempDir Path folder;

  /** Guards against answers that go back to an earlier state after restarts. */
  @Test
  @Timeout(150)
  void keepsAnswersAcrossRestarts() throws Exception {
    try (LoopbackCluster cluster = new LoopbackCluster(folder, 3, 1, List.of())) {
      List<String> pending = new ArrayList<>();
      List<String> aborted = new ArrayList<>();
      for (int round = 0; round < ROUNDS; round++) {
        for (int i = 0; i < 4; i++) {
          String id = DeliveryProcessTest.submitUnplaceableJob(cluster, 4 * round + i);
          if (i % 2 == 0) {
            ObjectNode answer =
                cluster.requestUntilSuccess(false, "POST", "/v1/jobs/" + id + "/cancel", null);
            assertEquals("aborted", answer.get("status").asText(), id);
            aborted.add(id);
          } else {
            pending.add(id);
          }
        }
        if (round % 3 == 2) {
          for (int i = 0; i < 3; i++) {
            cluster.controller(i).destroyForcibly().waitFor();
          }
          for (int i = 0; i < 3; i++) {
            cluster.startController(i);
          }
        } else {
          // Kills a second controller during the election that the first kill causes.
          cluster.killController(round % 3);
          Thread.sleep(150L * round);
          cluster.killController((round + 1) % 3);
        }
        for (int node = 0; node < 3; node++) {
          assertAnswers(cluster, node, pending, "pending");
          assertAnswers(cluster, node, aborted, "aborted");
        }
      }
      for (String id : pending) {
        assertEquals("pending", status(cluster, id), id);
      }
      for (String id : aborted) {
        assertEquals("aborted", status(cluster, id), id);
      }
    }
  }

  private static String status(LoopbackCluster cluster, String id) throws Exception {
    return cluster.requestUntilSuccess(false, "GET", "/v1/jobs/" + id, null).get("status").asText();
  }

  /** Asserts that a controller answers with the expected status or 503. */
  private static void assertAnswers(
      LoopbackCluster cluster, int node, List<String> jobs, String expected) throws Exception {
    for (String id : jobs) {
      HttpResponse<String> got = cluster.requestOnce(node, "GET", "/v1/jobs/" + id);
      if (got == null || got.statusCode() == 503) {
        continue;
      }
      assertEquals(200, got.statusCode(), id + " at " + node);
      String status =
          Json.parseObject(got.body().getBytes(StandardCharsets.UTF_8)).get("status").asText();
      assertTrue(status.equals(expected), id + " is " + status + " at " + node);
    }
  }
}
