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
 * Two zones, a controller of which stands in the second, which is cut off, parted, or comes and
 * goes.
 */
class ZoneSimulationTest extends SimulatedCluster {
  private static final String INSIDE = "10.0.0.2";

  private static String zoneOf(String member) {
    return member.equals("rung-1") ? "b" : "a";
  }

  @Override
  Settings settings(int index) {
    Settings of = super.settings(index);
    List<Settings.Peer> peers =
        of.peers().stream()
            .map(
                p -> new Settings.Peer(p.controllerName(), zoneOf(p.controllerName()), p.address()))
            .toList();
    return new Settings(
        of.controllerName(),
        zoneOf(of.controllerName()),
        of.apiAddress(),
        of.clusterAddress(),
        peers,
        of.cloudAddress(),
        of.storeAddress(),
        of.zones(),
        of.teams(),
        of.objectives(),
        of.workerTimes(),
        of.storeLimits(),
        of.currentStoreLimits(),
        of.cloudLimits(),
        of.maxSockets(),
        of.coreShare());
  }

  private List<String> hosts(String zone) {
    List<String> hosts = new ArrayList<>();
    fleet.machines.values().stream()
        .filter(w -> w.zone.equals(zone))
        .forEach(w -> hosts.add(SimulatedWorld.host(w.address)));
    hosts.addAll(zone.equals("b") ? List.of(INSIDE) : List.of("10.0.0.1", "10.0.0.3"));
    return hosts;
  }

  /** Cuts the second zone from the first, and from everything else if so asked. */
  private Runnable part(boolean fromAll) {
    List<String> inside = hosts("b");
    List<String> outside = new ArrayList<>(hosts("a"));
    if (fromAll) {
      outside.addAll(List.of("10.2.0.1", "10.2.0.2", "user"));
    }
    inside.forEach(one -> outside.forEach(other -> world.cut(one, other)));
    return () -> inside.forEach(one -> outside.forEach(other -> world.heal(one, other)));
  }

  private Map<String, String> there(String zone) {
    Map<String, String> found = new TreeMap<>();
    for (FakeFleet.Worker worker : fleet.machines.values()) {
      if (worker.zone.equals(zone)) {
        worker.tasks.forEach((key, task) -> found.put(key, worker.name));
      }
    }
    return found;
  }

  private void fill() {
    fleet.zoneCapacity = 40;
    world.runFor(Duration.ofSeconds(5));
    for (int i = 0; i < 12; i++) {
      submit(jobSpec("service", 4, "red").put("together", false).put("spread", true));
    }
    world.runFor(Duration.ofSeconds(90));
    assertEquals(24, there("b").size(), "half of all is in the second zone");
  }

  static LongStream seeds() {
    return LongStream.range(0, Long.getLong("pineladder.cuts", 6));
  }

  private void lead(int wanted) {
    for (int tries = 0; tries < 20 && leaderIndex() != wanted; tries++) {
      kill(controllers.get(leaderIndex()), 4_000);
      world.runFor(Duration.ofSeconds(12));
    }
  }

  /** Seen on laval-fleet: it was luck what a cut cost, by the node that led. */
  @ParameterizedTest
  @MethodSource("seeds")
  void keepsTasksOfPartitionedZone(long seed) {
    begin(600 + seed);
    fill();
    lead((int) seed % 3);
    Map<String, String> before = there("b");
    Runnable heal = part(true);
    world.runFor(Duration.ofSeconds(20));
    if (seed >= 3) {
      // Whoever begins inside knows neither leader nor store.
      kill(controllers.get(1), 4_000);
    }
    world.runFor(Duration.ofSeconds(100));
    assertEquals(before, there("b"), "nothing was ended while the zone was away");
    heal.run();
    world.runFor(Duration.ofSeconds(60));
    Map<String, String> after = there("b");
    before.forEach((task, machine) -> assertEquals(machine, after.get(task), task));
    settle(Duration.ofSeconds(60));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void keepsTasksWhenZonesCannotReachEachOther(long seed) {
    begin(700 + seed);
    fill();
    lead((int) seed % 3);
    Map<String, String> before = there("b");
    before.putAll(there("a"));
    Runnable heal = part(false);
    world.runFor(Duration.ofSeconds(150));
    heal.run();
    world.runFor(Duration.ofSeconds(40));
    Map<String, String> after = there("b");
    after.putAll(there("a"));
    before.forEach((task, machine) -> assertEquals(machine, after.get(task), task));
    settle(Duration.ofSeconds(60));
  }

  /** A task that nobody can reach may run for long, so its user is not told that it is gone. */
  @Test
  void reportsCancellationOnceZoneIsReachable() {
    begin(800);
    fill();
    lead(0);
    Runnable heal = part(true);
    world.runFor(Duration.ofSeconds(15));
    SafetyRules.TrackedJob job = rules.jobs.values().iterator().next();
    cancel(job);
    world.runFor(Duration.ofSeconds(90));
    assertTrue(job.cancelledAt == null, "told while tasks of it run");
    heal.run();
    world.runFor(Duration.ofSeconds(30));
    assertTrue(job.cancelledAt != null);
    settle(Duration.ofSeconds(60));
  }

  /** Machines that have died are known by the cloud's list, and what they held runs elsewhere. */
  @Test
  void recoversFromLossOfZone() {
    begin(801);
    fill();
    lead(0);
    List<FakeFleet.Worker> dead =
        fleet.machines.values().stream().filter(w -> w.zone.equals("b")).toList();
    for (FakeFleet.Worker worker : dead) {
      fleet.machines.remove(worker.name);
      worker.end();
    }
    world.runFor(Duration.ofMinutes(2));
    assertEquals(24, there("b").size(), "rented and started anew");
    settle(Duration.ofSeconds(60));
  }
}
