package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.failover.FailoverTimings.FailoverSummary;
import io.pineladder.failover.FailoverTimings.Phase;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** 1,500 machines under consecutive faults, with bounds on the time that recovery takes. */
class CascadingFaultsSimulationTest extends SimulatedCluster {
  private static final int MACHINES = 1_500;
  private static final int JOBS = 250;
  private static final int TASKS_PER_JOB = 20;

  private void cutFromControllers(FakeFleet.Worker worker, long millis) {
    String host = SimulatedWorld.host(worker.address);
    for (int i = 1; i <= 3; i++) {
      String node = "10.0.0." + i;
      world.cut(node, host);
      world.after(millis, () -> world.heal(node, host));
    }
  }

  private FailoverSummary latestFailover() {
    return controllers.get(leaderIndex()).node.failoverTimings().recentFailovers().get(0);
  }

  private void assertWithin(FailoverSummary failover, Phase phase, Duration bound) {
    Duration took = failover.phases().get(phase);
    assertTrue(took != null && took.compareTo(bound) <= 0, phase + " took " + took);
  }

  private int runningTasks() {
    return fleet.machines.values().stream()
        .mapToInt(w -> (int) w.tasks.values().stream().filter(t -> t.onMachine).count())
        .sum();
  }

  private List<FakeFleet.Worker> busyWorkers(int count) {
    List<FakeFleet.Worker> busy = new ArrayList<>();
    for (FakeFleet.Worker worker : fleet.runningWorkers()) {
      if (!worker.tasks.isEmpty() && busy.size() < count) {
        busy.add(worker);
      }
    }
    return busy;
  }

  /**
   * Guards against tasks lost to lease expiry when a store outage, dead machines, a restart of all
   * controllers, network partitions and a frozen leader follow one another.
   */
  @Test
  void recoversFromCascadingFaults() {
    begin(41);
    fleet.zoneCapacity = MACHINES;
    fleet.addRunningMachines(MACHINES);
    world.runFor(Duration.ofSeconds(10));
    for (int i = 0; i < JOBS; i++) {
      submit(jobSpec("service", TASKS_PER_JOB, "red").put("spread", false).put("together", false));
    }
    int wanted = JOBS * TASKS_PER_JOB;
    world.runFor(Duration.ofSeconds(60));
    assertEquals(wanted, runningTasks(), "all tasks run before the faults");

    store.outage = true;
    world.runFor(Duration.ofSeconds(5));
    List<FakeFleet.Worker> dead = busyWorkers(120);
    for (FakeFleet.Worker worker : dead) {
      fleet.machines.remove(worker.name);
      worker.end();
    }
    world.runFor(Duration.ofSeconds(3));
    controllers.forEach(each -> kill(each, 3_000));
    world.runFor(Duration.ofSeconds(6));
    store.endOutage();
    int before = store.requestCount;
    world.runFor(Duration.ofSeconds(5));
    int requests = store.requestCount - before;
    assertTrue(requests <= 350, requests + " requests in the first 5 s after the outage");
    world.runFor(Duration.ofSeconds(15));
    FailoverSummary first = latestFailover();
    assertWithin(first, Phase.STORE_READ, Duration.ofSeconds(2));
    assertWithin(first, Phase.FIRST_REPORT, Duration.ofSeconds(3));
    assertWithin(first, Phase.FLEET_HEARD, Duration.ofSeconds(8));
    // The other machines renewed their leases in time: their tasks still run.
    int kept = runningTasks();
    assertTrue(kept >= wanted - 120 * 4, kept + " of " + wanted + " tasks");
    world.runFor(Duration.ofSeconds(45));
    assertEquals(wanted, runningTasks(), "tasks of dead machines run elsewhere");

    busyWorkers(250).forEach(worker -> cutFromControllers(worker, 70_000));
    world.runFor(Duration.ofSeconds(5));
    int frozen = leaderIndex();
    world.freeze("10.0.0." + (frozen + 1), 30_000);
    world.runFor(Duration.ofSeconds(20));
    assertTrue(leaderIndex() != frozen, "another controller leads");
    assertWithin(latestFailover(), Phase.FIRST_PLACEMENT, Duration.ofSeconds(14));
    world.runFor(Duration.ofSeconds(90));
    assertEquals(wanted, runningTasks(), "tasks of partitioned machines run elsewhere");

    // Machines that hang for less than the failure-detection timeout lose no tasks.
    List<FakeFleet.Worker> hung = busyWorkers(150);
    Set<String> missing = new HashSet<>();
    for (FakeFleet.Worker worker : hung) {
      worker.tasks.forEach((key, task) -> missing.add(worker.name + " " + key));
      world.freeze(SimulatedWorld.host(worker.address), 6_000);
    }
    world.runFor(Duration.ofSeconds(20));
    for (FakeFleet.Worker worker : hung) {
      worker.tasks.keySet().forEach(key -> missing.remove(worker.name + " " + key));
    }
    assertTrue(
        missing.isEmpty(),
        missing.size() + " tasks were lost on machines that hung briefly: " + missing);
    assertEquals(wanted, runningTasks());
  }
}
