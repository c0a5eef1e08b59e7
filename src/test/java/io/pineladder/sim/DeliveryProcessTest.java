package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.delivery.WebhookSignature;
import io.pineladder.delivery.receiver.NotificationJournal;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.Json;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Controller and receiver processes on loopback, killed at seeded random points. Larger runs with
 * {@code -Dpineladder.answers=2000 -Dpineladder.subscribers=3}.
 */
class DeliveryProcessTest {
  private static final Duration TEST_TIMEOUT = Duration.ofMinutes(5);
  private static final String SECRET =
      WebhookSignature.SECRET_PREFIX + Base64.getEncoder().encodeToString(new byte[32]);

  @TempDir Path folder;

  private Path journal(int index) {
    return folder.resolve("journal-" + index);
  }

  private Process startReceiver(LoopbackCluster cluster, int index, String address) {
    return cluster.start(
        "receiver-" + index,
        "io.pineladder.cli.Main",
        List.of(
            "receive",
            "--listen",
            address,
            "--journal",
            journal(index).toString(),
            "--secrets",
            folder.resolve("secrets").toString()));
  }

  /** Submits a job that can't be placed and cancels it, which produces a final answer. */
  static String submitAndCancel(LoopbackCluster cluster, int index) throws InterruptedException {
    String id = submitUnplaceableJob(cluster, index);
    ObjectNode answer =
        cluster.requestUntilSuccess(false, "POST", "/v1/jobs/" + id + "/cancel", null);
    assertEquals("aborted", answer.get("status").asText());
    return id;
  }

  /** Submits a job that can't be placed. */
  static String submitUnplaceableJob(LoopbackCluster cluster, int index)
      throws InterruptedException {
    String id = String.format("req-%06d", index);
    ObjectNode spec = unplaceableJob(id).put("owner", index % 2 == 0 ? "red" : "blue");
    cluster.requestUntilSuccess(false, "POST", "/v1/jobs", spec);
    return id;
  }

  /** A submission of team red, which can't be placed on a fleet without machines. */
  static ObjectNode unplaceableJob(String id) {
    return Json.object()
        .put("ref", id)
        .put("jobclass", "work")
        .put("owner", "red")
        .put("shape", "array")
        .put("rank", "low")
        .put("pieces", 1)
        .put("vcpus", 2.0)
        .put("cards", 1.0)
        .put("memory_gb", 4.0)
        .put("bundle", "img-1")
        .put("image_gb", 2.0)
        .put("together", false)
        .put("spread", false)
        .put("loaners", false)
        .put("guess_s", 30)
        .put("mark_every_s", 0.0)
        .put("stow_s", 0.0);
  }

  private List<ObjectNode> readEvents(int index) throws Exception {
    // Opening the journal verifies the checksum and sequence of every line.
    new NotificationJournal(journal(index)).close();
    List<ObjectNode> events = new ArrayList<>();
    for (String line : Files.readAllLines(journal(index))) {
      events.add((ObjectNode) Json.parseObject(line.getBytes(StandardCharsets.UTF_8)).get("event"));
    }
    return events;
  }

  @Test
  void recordsEachEventOnceWhenProcessesAreKilled() throws Exception {
    int answers = Integer.getInteger("pineladder.answers", 150);
    int subscribers = Integer.getInteger("pineladder.subscribers", 2);
    Files.writeString(folder.resolve("key"), Base64.getEncoder().encodeToString(new byte[32]));
    Files.writeString(folder.resolve("secrets"), SECRET + "\n");
    RandomGenerator random =
        RandomGeneratorFactory.of("L64X128MixRandom")
            .create(Integer.getInteger("pineladder.seed", 5));
    try (LoopbackCluster cluster =
        new LoopbackCluster(
            folder, 3, 1, List.of("--delivery", folder.resolve("key").toString()))) {
      ObjectNode networks = Json.object();
      networks.putArray("networks").add("127.0.0.1");
      cluster.requestUntilSuccess(true, "PUT", "/admin/v1/networks", networks);
      List<String> addresses = new ArrayList<>();
      List<Process> receivers = new ArrayList<>();
      for (int i = 0; i < subscribers; i++) {
        addresses.add(LoopbackCluster.freeAddress());
        receivers.add(startReceiver(cluster, i, addresses.get(i)));
        ObjectNode subscription = Json.object().put("url", "http://" + addresses.get(i) + "/hook");
        ArrayNode owners = subscription.putArray("owners");
        if (i > 0) {
          owners.add(i % 2 == 0 ? "red" : "blue");
        }
        subscription.putArray("secrets").add(SECRET);
        cluster.requestUntilSuccess(true, "PUT", "/admin/v1/subscriptions/desk-" + i, subscription);
      }
      ExecutorService users = Executors.newFixedThreadPool(4);
      AtomicInteger next = new AtomicInteger();
      List<Future<?>> userTasks = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        userTasks.add(
            users.submit(
                (Callable<Void>)
                    () -> {
                      for (int n = next.getAndIncrement();
                          n < answers;
                          n = next.getAndIncrement()) {
                        submitAndCancel(cluster, n);
                        // Spreads the final answers over the kills.
                        Thread.sleep(Integer.getInteger("pineladder.pause", 20));
                      }
                      return null;
                    }));
      }
      int kills = 0;
      Instant deadline = Instant.now().plus(TEST_TIMEOUT);
      while (!userTasks.stream().allMatch(Future::isDone) || kills < 6) {
        assertTrue(Instant.now().isBefore(deadline), "users did not finish before the deadline");
        Thread.sleep(300 + random.nextInt(700));
        kills++;
        if (kills % 6 == 0) {
          cluster.killController(random.nextInt(3));
        } else {
          int killed = random.nextInt(subscribers);
          receivers.get(killed).destroyForcibly().waitFor();
          receivers.set(killed, startReceiver(cluster, killed, addresses.get(killed)));
        }
      }
      for (Future<?> each : userTasks) {
        each.get();
      }
      users.shutdown();
      for (int i = 0; i < subscribers; i++) {
        while (!isDelivered(cluster, i)) {
          assertTrue(
              Instant.now().isBefore(deadline),
              "events not delivered to receiver " + i + " before the deadline");
          Thread.sleep(200);
        }
      }
      for (Process each : receivers) {
        each.destroyForcibly().waitFor();
      }
    }
    for (int i = 0; i < subscribers; i++) {
      Set<String> expected = new TreeSet<>();
      for (int n = 0; n < answers; n++) {
        if (i == 0 || (n % 2 == 0) == (i % 2 == 0)) {
          expected.add(String.format("req-%06d", n));
        }
      }
      Set<String> found = new TreeSet<>();
      long sequence = 0;
      for (ObjectNode event : readEvents(i)) {
        assertEquals(++sequence, event.get("sequence").asLong());
        assertEquals(DeliveryWire.JOB_CANCELLED, event.get("type").asText());
        assertTrue(found.add(event.get("subject").asText()), event + " was recorded twice");
      }
      assertEquals(expected, found);
    }
  }

  private static boolean isDelivered(LoopbackCluster cluster, int index)
      throws InterruptedException {
    ObjectNode shown =
        cluster.requestUntilSuccess(true, "GET", "/admin/v1/subscriptions/desk-" + index, null);
    return shown.get("backlog").asInt() == 0 && shown.get("confirmed").asInt() > 0;
  }
}
