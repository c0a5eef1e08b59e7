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

/** What a loss costs with thirteen hundred machines at work. */
class StateLossAtScaleTest extends SimulatedCluster {
  private static final Logger log = LoggerFactory.getLogger(StateLossAtScaleTest.class);
  private static final int MACHINES = 1_300;
  private static final int JOBS = 250;
  private static final int TASKS_EACH = 20;

  /** What is on the machines, with its attempt. */
  private Map<String, String> there() {
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

  private Duration until(Instant from, Duration most, BooleanSupplier is) {
    while (!is.getAsBoolean()) {
      assertTrue(Duration.between(from, world.now()).compareTo(most) < 0, "not within " + most);
      world.runFor(Duration.ofMillis(10));
    }
    return Duration.between(from, world.now());
  }

  private boolean any(State state) {
    return controllers.stream()
        .anyMatch(c -> c.node.replicaManager().generations().state() == state);
  }

  private void loseAll(int cost) {
    Map<String, String> before = there();
    int requests = store.requestCount;
    int changes = store.changesByPrefix.values().stream().mapToInt(n -> n).sum();
    Instant at = world.now();
    store.loseEverything();
    Duration noticed = until(at, Duration.ofSeconds(2), () -> any(State.LOST));
    until(at, Duration.ofSeconds(15), () -> any(State.REBUILT));
    int written = store.changesByPrefix.values().stream().mapToInt(n -> n).sum() - changes;
    SafetyRules.TrackedJob late = submit(jobSpec("array", 4, "red").put("together", false));
    Duration accepted = until(at, Duration.ofSeconds(12), () -> late.accepted);
    Duration first =
        until(
            at,
            Duration.ofSeconds(15),
            () -> there().keySet().stream().anyMatch(key -> key.startsWith(late.id)));
    int asked = store.requestCount - requests;
    world.runFor(Duration.ofSeconds(60));
    Map<String, String> after = there();
    before.forEach((task, machine) -> assertEquals(machine, after.get(task), task + " was lost"));
    log.info(
        "noticed after {}, accepted after {}, started after {}; {} changes, {} requests",
        noticed,
        accepted,
        first,
        written,
        asked);
    assertTrue(written <= cost, written + " changes of the store to rebuild");
    assertTrue(asked <= 600, asked + " requests until the first start");
  }

  @Test
  void nothingThatRunsIsLostWithAllThatWasStored() {
    begin(51);
    allowsDataLoss = true;
    fleet.zoneCapacity = MACHINES;
    fleet.addRunningMachines(MACHINES);
    world.runFor(Duration.ofSeconds(10));
    for (int i = 0; i < JOBS; i++) {
      submit(jobSpec("service", TASKS_EACH, "red").put("spread", false).put("together", false));
    }
    world.runFor(Duration.ofSeconds(60));
    assertEquals(JOBS * TASKS_EACH, there().size(), "all runs before the loss");
    loseAll(250);
    // Once more, a minute later.
    loseAll(250);
    // And with the leader, of which nothing is left then but what the others have copied.
    world.runFor(Duration.ofSeconds(20));
    Map<String, String> before = there();
    store.loseEverything();
    controllers.stream().filter(c -> c.node.election().holdsTerm()).forEach(c -> kill(c, 6_000));
    world.runFor(Duration.ofSeconds(90));
    Map<String, String> after = there();
    before.forEach((task, machine) -> assertEquals(machine, after.get(task), task + " was lost"));
  }
}
