package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real controllers on loopback whose state service is emptied, with them and without. */
class StateLossProcessTest {
  private static final int JOBS = 60;

  @TempDir Path folder;

  private static void cancel(LoopbackCluster cluster, String id) throws InterruptedException {
    ObjectNode told =
        cluster.requestUntilSuccess(false, "POST", "/v1/jobs/" + id + "/cancel", null);
    assertEquals("aborted", told.get("status").asText(), id);
  }

  /** Each accepted job reaches one final answer, whatever was lost in between. */
  @Test
  void eachJobReachesOneFinalAnswerThoughTheStoreIsEmptied() throws Exception {
    Path snapshots = folder.resolve("snapshots");
    try (LoopbackCluster cluster =
        new LoopbackCluster(folder, 3, 1, List.of("--snapshots", snapshots.toString()))) {
      List<String> ended = new ArrayList<>();
      List<String> open = new ArrayList<>();
      for (int n = 0; n < JOBS; n++) {
        if (n % 2 == 0) {
          ended.add(DeliveryProcessTest.submitAndCancel(cluster, n));
        } else {
          open.add(DeliveryProcessTest.submit(cluster, n));
        }
        if (n == JOBS / 3) {
          // The controllers live on.
          cluster.readOnEventLoop(() -> empty(cluster));
        }
      }
      // What is on the disk is as old as the last write; nothing was accepted in that time.
      awaitSnapshots(cluster);
      cluster.readOnEventLoop(() -> empty(cluster));
      for (int i = 0; i < 3; i++) {
        cluster.controller(i).destroyForcibly().waitFor();
      }
      for (int i = 0; i < 3; i++) {
        cluster.startController(i);
      }
      for (String id : open) {
        assertEquals("pending", status(cluster, id), id);
        cancel(cluster, id);
      }
      ended.addAll(open);
      for (String id : ended) {
        assertEquals("aborted", status(cluster, id), id);
      }
    }
  }

  private static boolean empty(LoopbackCluster cluster) {
    cluster.store.loseEverything();
    return true;
  }

  private static String status(LoopbackCluster cluster, String id) throws InterruptedException {
    return cluster.requestUntilSuccess(false, "GET", "/v1/jobs/" + id, null).get("status").asText();
  }

  /** Waits until every controller has a snapshot of all that was accepted. */
  private static void awaitSnapshots(LoopbackCluster cluster) throws InterruptedException {
    for (String address : cluster.adminAddresses()) {
      JsonNode records;
      do {
        Thread.sleep(200);
        records =
            cluster.requestAddressUntilSuccess(address, "GET", "/admin/v1/status").get("records");
      } while (!records.at("/copy/whole").asBoolean()
          || records.at("/copy/generation").asLong() != records.get("generation").asLong()
          || records.at("/snapshots/kept").asInt() == 0);
    }
    Thread.sleep(3_000);
  }
}
