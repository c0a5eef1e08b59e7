package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** A small scale run, checked by counts and rules and not by durations. */
class ScaleRunTest {
  private static final int FIRST_PORT = 21_000;
  private static final int LAST_PORT = 31_000;
  private static final int PORTS_PER_RUN = 250;

  private static ScaleRun run(String... args) {
    ScaleRun run = new ScaleRun();
    new CommandLine(run).parseArgs(args);
    return run;
  }

  @Test
  void smallRunKeepsRulesAndStopsItsProcesses() throws Exception {
    ScaleRun run =
        run(
            "--port", Integer.toString(firstFreePort()),
            "--workers", "60",
            "--per-process", "59",
            "--single", "1",
            "--running", "150",
            "--starts", "10",
            "--tasks", "10",
            "--report-seconds", "2",
            "--lease-seconds", "20",
            "--warm-up", "4",
            "--seconds", "5",
            "--settings-per-minute", "20",
            "--heap-mb", "128");
    int exit = run.call();
    JsonNode figures = run.results();
    assertNull(run.failure());
    assertEquals(0, exit);
    assertEquals(0, figures.get("rules_broken").asInt());
    assertTrue(figures.get("starts_a_second").asDouble() > 0, figures.toString());
    assertTrue(figures.at("/roles/single-0/cores").asDouble() > 0, figures.toString());
    assertTrue(figures.at("/roles/leader/resident_mb").asLong() > 0, figures.toString());
    assertTrue(figures.at("/store_changes_a_second/placed~1").asDouble() > 0, figures.toString());
    assertTrue(figures.at("/settings_in_force_s/count").asLong() > 0, figures.toString());
    assertEquals(
        0,
        ProcessHandle.current()
            .descendants()
            .filter(
                each ->
                    each.info().commandLine().orElse("").contains(HollowWorkers.class.getName()))
            .filter(ProcessHandle::isAlive)
            .count());
  }

  /**
   * The first port of a free range, so that several runs can share a machine. The ranges are below
   * the ephemeral ports.
   */
  static int firstFreePort() {
    int ranges = (LAST_PORT - FIRST_PORT) / PORTS_PER_RUN;
    int start = ThreadLocalRandom.current().nextInt(ranges);
    for (int i = 0; i < ranges; i++) {
      int first = FIRST_PORT + (start + i) % ranges * PORTS_PER_RUN;
      if (IntStream.range(first, first + PORTS_PER_RUN).allMatch(ScaleRunTest::isFree)) {
        return first;
      }
    }
    throw new AssertionError("no range of " + PORTS_PER_RUN + " ports is free");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  @ParameterizedTest
  @CsvSource({
    "--workers, 0",
    "--workers, 5000",
    "--controllers, 1",
    "--zones, 21",
    "--teams, 0",
    "--starts, -1",
    "--running, 1",
    "--single, 33",
    "--per-process, 0",
    "--memory-mb, 20000",
    "--run-seconds, 0",
    "--jar, /nowhere/controller.jar"
  })
  void rejectsInvalidOptions(String argument, String value) {
    ScaleRun run = run(argument, value);
    assertTrue(
        run.options().validationError().startsWith(argument), run.options().validationError());
  }
}
