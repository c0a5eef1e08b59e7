package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Measures what leader and follower hold after a load, with the command of the deploy file: {@code
 * LargeStateMeasurement tasks|jobs COUNT...}. Prints the live heap after a collection, in MB.
 */
public final class LargeStateMeasurement {
  private static final Duration MAX_LOAD = Duration.ofSeconds(60);

  /** The follower reads one listing a second. */
  private static final Duration FOLLOWER_LISTING = Duration.ofSeconds(40);

  private LargeStateMeasurement() {}

  /** Measures each count in a cluster of its own. */
  public static void main(String[] arguments) throws Exception {
    System.out.println("| " + arguments[0] + " | leader MB | follower MB | loaded after s |");
    for (String argument : List.of(arguments).subList(1, arguments.length)) {
      int count = Integer.parseInt(argument);
      measure(
          count,
          arguments[0].equals("tasks")
              ? (store, fleet) -> LargeState.storeService(store, fleet, count)
              : (store, fleet) -> LargeState.storeJobs(store, count));
    }
    System.exit(0);
  }

  private static void measure(int count, BiConsumer<FakeKeyValueStore, FakeFleet> preparation)
      throws Exception {
    Path folder = Files.createTempDirectory("large-state-");
    Instant startedAt = Instant.now();
    try (LoopbackCluster cluster = new LoopbackCluster(folder, 2, 1, List.of(), preparation)) {
      int leader = awaitLeader(cluster);
      if (leader < 0) {
        System.out.println("| " + count + " | no leader within " + MAX_LOAD + " | | |");
        return;
      }
      double seconds = Duration.between(startedAt, Instant.now()).toMillis() / 1e3;
      Thread.sleep(FOLLOWER_LISTING.toMillis());
      System.out.printf(
          "| %d | %.1f | %.1f | %.1f |%n",
          count,
          liveMegabytes(cluster.controller(leader)),
          liveMegabytes(cluster.controller(1 - leader)),
          seconds);
    }
  }

  private static int awaitLeader(LoopbackCluster cluster) throws InterruptedException {
    Instant deadline = Instant.now().plus(MAX_LOAD);
    while (Instant.now().isBefore(deadline)) {
      for (int i = 0; i < 2; i++) {
        ObjectNode status = cluster.adminRequestOnce(i, "/admin/v1/status");
        if (status != null
            && status.get("leadership").asText().equals("leading")
            && cluster.adminRequestOnce(i, "/admin/v1/queue") != null) {
          return i;
        }
      }
      Thread.sleep(100);
    }
    return -1;
  }

  /** The size of all reachable objects; the histogram collects the heap first. */
  private static double liveMegabytes(Process controller) throws Exception {
    Process histogram =
        new ProcessBuilder("jcmd", Long.toString(controller.pid()), "GC.class_histogram").start();
    String text =
        new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    String total = text.substring(text.lastIndexOf('\n') + 1).strip();
    String[] columns = total.split(" +", -1);
    return total.startsWith("Total") ? Long.parseLong(columns[2]) / 1e6 : Double.NaN;
  }
}
