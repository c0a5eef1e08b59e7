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

/** Fifteen hundred machines under faults that pile up, with bounds on what recovery takes. */
class CascadingFaultsSimulationTest extends SimulatedCluster {
  private static final int MACHINES = 1_500;
  private static final int JOBS = 250;
  private static final int TASKS_EACH = 20;

  private void cutFromAll(FakeFleet.Worker worker, long millis) {
    String there = SimulatedWorld.host(worker.address);
    for (int i = 1; i <= 3; i++) {
      String node = "10.0.0." + i;
      world.cut(node, there);
      world.after(millis, () -> world.heal(node, there));
    }
  }

  private FailoverSummary latestTakeover() {
    return controllers.get(leaderIndex()).node.failoverTimings().recentFailovers().get(0);
  }

  private void assertWithin(FailoverSummary taken, Phase phase, Duration most) {
    Duration took = taken.phases().get(phase);
    assertTrue(took != null && took.compareTo(most) <= 0, phase + " took " + took);
  }

  private int running() {
    return fleet.machines.values().stream()
        .mapToInt(w -> (int) w.tasks.values().stream().filter(t -> t.onMachine).count())
        .sum();
  }

  private List<FakeFleet.Worker> busy(int count) {
    List<FakeFleet.Worker> busy = new ArrayList<>();
    for (FakeFleet.Worker worker : fleet.runningWorkers()) {
      if (!worker.tasks.isEmpty() && busy.size() < count) {
        busy.add(worker);
      }
    }
    return busy;
  }

  /**
   * Seen on laval-fleet: with the store out, machines dead, all controllers ended, machines cut and
   * the leader frozen, 435 tasks were ended by their workers' leases.
   */
  @Test
  void recoversFromCascadingFaults() {
    begin(41);
    fleet.zoneCapacity = MACHINES;
    fleet.addRunningMachines(MACHINES);
    world.runFor(Duration.ofSeconds(10));
    for (int i = 0; i < JOBS; i++) {
      submit(jobSpec("service", TASKS_EACH, "red").put("spread", false).put("together", false));
    }
    int wanted = JOBS * TASKS_EACH;
    world.runFor(Duration.ofSeconds(60));
    assertEquals(wanted, running(), "all runs before the faults");

    store.outage = true;
    world.runFor(Duration.ofSeconds(5));
    List<FakeFleet.Worker> dead = busy(120);
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
    FailoverSummary first = latestTakeover();
    assertWithin(first, Phase.STORE_READ, Duration.ofSeconds(2));
    assertWithin(first, Phase.FIRST_REPORT, Duration.ofSeconds(3));
    assertWithin(first, Phase.FLEET_HEARD, Duration.ofSeconds(8));
    // Nine in ten machines were answered in time: what ran there still runs.
    int kept = running();
    assertTrue(kept >= wanted - 120 * 4, kept + " of " + wanted + " tasks");
    world.runFor(Duration.ofSeconds(45));
    assertEquals(wanted, running(), "what ran on dead machines runs elsewhere");

    busy(250).forEach(worker -> cutFromAll(worker, 70_000));
    world.runFor(Duration.ofSeconds(5));
    int frozen = leaderIndex();
    world.freeze("10.0.0." + (frozen + 1), 30_000);
    world.runFor(Duration.ofSeconds(20));
    assertTrue(leaderIndex() != frozen, "another leads");
    assertWithin(latestTakeover(), Phase.FIRST_PLACEMENT, Duration.ofSeconds(14));
    world.runFor(Duration.ofSeconds(90));
    assertEquals(wanted, running(), "what was cut off runs elsewhere");

    // Machines that hang for less than they may be silent lose nothing.
    List<FakeFleet.Worker> hung = busy(150);
    Set<String> there = new HashSet<>();
    for (FakeFleet.Worker worker : hung) {
      worker.tasks.forEach((key, task) -> there.add(worker.name + " " + key));
      world.freeze(SimulatedWorld.host(worker.address), 6_000);
    }
    world.runFor(Duration.ofSeconds(20));
    for (FakeFleet.Worker worker : hung) {
      worker.tasks.keySet().forEach(key -> there.remove(worker.name + " " + key));
    }
    assertTrue(there.isEmpty(), there.size() + " tasks were lost before their time: " + there);
    assertEquals(wanted, running());
  }
}
