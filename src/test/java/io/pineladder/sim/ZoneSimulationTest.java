package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Settings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Two zones and three controllers. The second zone, with one of the controllers, is partitioned or
 * lost.
 */
class ZoneSimulationTest extends SimulatedCluster {
  private static final String ZONE_B_CONTROLLER = "10.0.0.2";

  private static String zoneOf(String member) {
    return member.equals("rung-1") ? "b" : "a";
  }

  @Override
  Settings settings(int index) {
    Settings base = super.settings(index);
    List<Settings.Peer> peers =
        base.peers().stream()
            .map(
                p -> new Settings.Peer(p.controllerName(), zoneOf(p.controllerName()), p.address()))
            .toList();
    return new Settings(
        base.controllerName(),
        zoneOf(base.controllerName()),
        base.apiAddress(),
        base.clusterAddress(),
        peers,
        base.cloudAddress(),
        base.storeAddress(),
        base.zones(),
        base.teams(),
        base.objectives(),
        base.workerTimes(),
        base.storeLimits(),
        base.currentStoreLimits(),
        base.cloudLimits(),
        base.maxSockets(),
        base.coreShare());
  }

  private List<String> hosts(String zone) {
    List<String> hosts = new ArrayList<>();
    fleet.machines.values().stream()
        .filter(w -> w.zone.equals(zone))
        .forEach(w -> hosts.add(SimulatedWorld.host(w.address)));
    hosts.addAll(zone.equals("b") ? List.of(ZONE_B_CONTROLLER) : List.of("10.0.0.1", "10.0.0.3"));
    return hosts;
  }

  /**
   * Partitions the second zone from the first, and optionally from users, cloud and store; returns
   * the action that ends the partition.
   */
  private Runnable partition(boolean fromAll) {
    List<String> hostsInZone = hosts("b");
    List<String> hostsOutsideZone = new ArrayList<>(hosts("a"));
    if (fromAll) {
      hostsOutsideZone.addAll(List.of("10.2.0.1", "10.2.0.2", "user"));
    }
    hostsInZone.forEach(
        insideHost -> hostsOutsideZone.forEach(outsideHost -> world.cut(insideHost, outsideHost)));
    return () ->
        hostsInZone.forEach(
            insideHost ->
                hostsOutsideZone.forEach(outsideHost -> world.heal(insideHost, outsideHost)));
  }

  private Map<String, String> placementsIn(String zone) {
    Map<String, String> found = new TreeMap<>();
    for (FakeFleet.Worker worker : fleet.machines.values()) {
      if (worker.zone.equals(zone)) {
        worker.tasks.forEach((key, task) -> found.put(key, worker.name));
      }
    }
    return found;
  }

  /** Ends the partition and checks that each task still runs on the machine where it was. */
  private void healAndAssertKept(Runnable heal, Duration wait, Map<String, String> before) {
    heal.run();
    world.runFor(wait);
    Map<String, String> after = placementsIn("b");
    after.putAll(placementsIn("a"));
    before.forEach((task, machine) -> assertEquals(machine, after.get(task), task));
    settle(Duration.ofSeconds(60));
  }

  private void fillZones() {
    fleet.zoneCapacity = 40;
    world.runFor(Duration.ofSeconds(5));
    for (int i = 0; i < 12; i++) {
      submit(jobSpec("service", 4, "red").put("together", false).put("spread", true));
    }
    world.runFor(Duration.ofSeconds(90));
    assertEquals(24, placementsIn("b").size(), "half of the tasks run in the second zone");
  }

  static LongStream seeds() {
    return LongStream.range(0, Long.getLong("pineladder.cuts", 6));
  }

  private long leaderTerm() {
    return controllers.get(leaderIndex()).node.election().term();
  }

  private void moveLeadershipTo(int node) {
    for (int attempt = 0; attempt < 20 && leaderIndex() != node; attempt++) {
      kill(controllers.get(leaderIndex()), 4_000);
      world.runFor(Duration.ofSeconds(12));
    }
  }

  /** Guards against tasks lost in a partitioned zone, whichever node leads. */
  @ParameterizedTest
  @MethodSource("seeds")
  void keepsTasksOfPartitionedZone(long seed) {
    begin(600 + seed);
    fillZones();
    moveLeadershipTo((int) seed % 3);
    Map<String, String> before = placementsIn("b");
    Runnable heal = partition(true);
    world.runFor(Duration.ofSeconds(20));
    if (seed >= 3) {
      // The controller inside the zone restarts and reaches neither leader nor store.
      kill(controllers.get(1), 4_000);
    }
    world.runFor(Duration.ofSeconds(100));
    assertEquals(before, placementsIn("b"), "no task ended during the partition");
    healAndAssertKept(heal, Duration.ofSeconds(60), before);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void keepsTasksWhenZonesCannotReachEachOther(long seed) {
    begin(700 + seed);
    fillZones();
    moveLeadershipTo((int) seed % 3);
    Map<String, String> before = placementsIn("b");
    before.putAll(placementsIn("a"));
    Runnable heal = partition(false);
    world.runFor(Duration.ofSeconds(150));
    healAndAssertKept(heal, Duration.ofSeconds(40), before);
  }

  /** Guards against leases that end since the worker's token is above that of the leader key. */
  @ParameterizedTest
  @MethodSource("seeds")
  void keepsTasksOfMachinesWithRaisedTokensWhenZonesCannotReachEachOther(long seed) {
    begin(900 + seed);
    fillZones();
    moveLeadershipTo((int) seed % 3);
    Map<String, String> before = placementsIn("b");
    for (int i = 0; i < 6; i++) {
      submit(jobSpec("array", 12, "red").put("vcpus", 0.1).put("cards", 0.0).put("guess_s", 4));
    }
    world.runFor(Duration.ofSeconds(60));
    long raised =
        fleet.runningWorkers().stream()
            .filter(w -> w.zone.equals("b") && w.fencingToken() > leaderTerm())
            .count();
    assertTrue(raised > 0, "machines with raised tokens in the second zone");
    Runnable heal = partition(false);
    world.runFor(Duration.ofSeconds(100));
    healAndAssertKept(heal, Duration.ofSeconds(40), before);
  }

  /** Guards against a job reported as cancelled while tasks of it run in a partitioned zone. */
  @Test
  void reportsCancellationOnceZoneIsReachable() {
    begin(800);
    fillZones();
    moveLeadershipTo(0);
    Runnable heal = partition(true);
    world.runFor(Duration.ofSeconds(15));
    SafetyRules.TrackedJob job = rules.jobs.values().iterator().next();
    cancel(job);
    world.runFor(Duration.ofSeconds(90));
    assertTrue(job.cancelledAt == null, "reported as cancelled while tasks run");
    heal.run();
    world.runFor(Duration.ofSeconds(30));
    assertTrue(job.cancelledAt != null);
    settle(Duration.ofSeconds(60));
  }

  /** Guards against tasks that are not restarted when the cloud no longer lists their machines. */
  @Test
  void recoversFromLossOfZone() {
    begin(801);
    fillZones();
    moveLeadershipTo(0);
    List<FakeFleet.Worker> dead =
        fleet.machines.values().stream().filter(w -> w.zone.equals("b")).toList();
    for (FakeFleet.Worker worker : dead) {
      fleet.machines.remove(worker.name);
      worker.end();
    }
    world.runFor(Duration.ofMinutes(2));
    assertEquals(24, placementsIn("b").size(), "tasks run on new machines");
    settle(Duration.ofSeconds(60));
  }
}
