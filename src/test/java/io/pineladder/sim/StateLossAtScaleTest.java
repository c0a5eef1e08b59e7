package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.generation.GenerationManager.State;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cost and duration of the recovery from data loss with 1,300 machines. */
class StateLossAtScaleTest extends SimulatedCluster {
  private static final Logger log = LoggerFactory.getLogger(StateLossAtScaleTest.class);
  private static final int MACHINES = 1_300;
  private static final int JOBS = 250;
  private static final int TASKS_PER_JOB = 20;

  /** The machine of each task attempt that occupies one. */
  private Map<String, String> placements() {
    Map<String, String> found = new TreeMap<>();
    for (FakeFleet.Worker worker : fleet.machines.values()) {
      worker.tasks.forEach(
          (key, task) -> {
            if (task.onMachine) {
              found.put(key, worker.name);
            }
          });
    }
    return found;
  }

  private Duration runUntil(Instant from, Duration bound, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      assertTrue(
          Duration.between(from, world.now()).compareTo(bound) < 0,
          "condition not met within " + bound);
      world.runFor(Duration.ofMillis(10));
    }
    return Duration.between(from, world.now());
  }

  private boolean anyGenerationIs(State state) {
    return controllers.stream()
        .anyMatch(c -> c.node.replicaManager().generations().state() == state);
  }

  private void loseEverythingAndRecover(int maxChanges) {
    Map<String, String> before = placements();
    int requests = store.requestCount;
    int changes = store.changesByPrefix.values().stream().mapToInt(n -> n).sum();
    Instant lostAt = world.now();
    store.loseEverything();
    Duration detected = runUntil(lostAt, Duration.ofSeconds(2), () -> anyGenerationIs(State.LOST));
    runUntil(lostAt, Duration.ofSeconds(15), () -> anyGenerationIs(State.REBUILT));
    int changesForRebuild =
        store.changesByPrefix.values().stream().mapToInt(n -> n).sum() - changes;
    SafetyRules.TrackedJob submitted = submit(jobSpec("array", 4, "red").put("together", false));
    Duration accepted = runUntil(lostAt, Duration.ofSeconds(12), () -> submitted.accepted);
    Duration started =
        runUntil(
            lostAt,
            Duration.ofSeconds(15),
            () -> placements().keySet().stream().anyMatch(key -> key.startsWith(submitted.id)));
    int requestsToStart = store.requestCount - requests;
    world.runFor(Duration.ofSeconds(60));
    Map<String, String> after = placements();
    before.forEach((task, machine) -> assertEquals(machine, after.get(task), task + " was lost"));
    log.info(
        "Recovered from data loss: detected={} accepted={} started={} changes={} requests={}",
        detected,
        accepted,
        started,
        changesForRebuild,
        requestsToStart);
    assertTrue(
        changesForRebuild <= maxChanges, changesForRebuild + " store changes for the recovery");
    assertTrue(
        requestsToStart <= 600, requestsToStart + " store requests until the first task start");
  }

  @Test
  void keepsRunningTasksWhenStoreIsLost() {
    begin(51);
    allowsDataLoss = true;
    fleet.zoneCapacity = MACHINES;
    fleet.addRunningMachines(MACHINES);
    world.runFor(Duration.ofSeconds(10));
    for (int i = 0; i < JOBS; i++) {
      submit(jobSpec("service", TASKS_PER_JOB, "red").put("spread", false).put("together", false));
    }
    world.runFor(Duration.ofSeconds(60));
    assertEquals(JOBS * TASKS_PER_JOB, placements().size(), "all tasks run before the loss");
    loseEverythingAndRecover(250);
    loseEverythingAndRecover(250);
    // Loses the leader at the same time, so that only the followers' replicas are left.
    world.runFor(Duration.ofSeconds(20));
    Map<String, String> before = placements();
    store.loseEverything();
    controllers.stream().filter(c -> c.node.election().holdsTerm()).forEach(c -> kill(c, 6_000));
    world.runFor(Duration.ofSeconds(90));
    Map<String, String> after = placements();
    before.forEach((task, machine) -> assertEquals(machine, after.get(task), task + " was lost"));
  }
}
