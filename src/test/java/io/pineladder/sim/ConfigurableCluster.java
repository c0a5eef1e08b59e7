package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.Team;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** A simulated cluster in one of several shapes that deployments have. */
abstract class ConfigurableCluster extends SimulatedCluster {
  /** What a deployment is like. */
  enum Layout {
    PAIR(2, List.of("a", "b")),
    /** As FLEET, all controllers in one zone. */
    ONE_ZONE(3, List.of("a")),
    /** Cards, reports every 3 s, leases of 20 s. */
    FLEET(3, List.of("a", "b")),
    /** No cards, two types of which one is not everywhere, reports every second, leases of 11 s. */
    SHORT(5, List.of("a", "b", "c"));

    final int nodes;

    /** Made by {@link List#of}, so it never changes. */
    @SuppressWarnings("ImmutableEnumChecker")
    final List<String> zones;

    Layout(int nodes, List<String> zones) {
      this.nodes = nodes;
      this.zones = zones;
    }
  }

  Layout layout = Layout.FLEET;

  String zoneOf(int node) {
    return layout.zones.get(node % layout.zones.size());
  }

  @Override
  Settings settings(int index) {
    Settings of = super.settings(0);
    boolean fast = layout == Layout.SHORT;
    Settings.StoreLimits inForce =
        fast ? new Settings.StoreLimits(80, 30, 8192, 12) : of.currentStoreLimits();
    List<Settings.Peer> peers = new ArrayList<>();
    for (int i = 0; i < layout.nodes; i++) {
      if (i != index) {
        peers.add(new Settings.Peer("rung-" + i, zoneOf(i), host(i) + ":8081"));
      }
    }
    return new Settings(
        "rung-" + index,
        zoneOf(index),
        apiAddresses.get(index),
        host(index) + ":8081",
        peers,
        of.cloudAddress(),
        of.storeAddress(),
        layout.zones,
        fast ? of.teams().stream().map(ConfigurableCluster::inCpus).toList() : of.teams(),
        of.objectives(),
        fast
            ? new Settings.WorkerTimes(
                Duration.ofSeconds(1),
                Duration.ofSeconds(11),
                Duration.ofSeconds(30),
                Duration.ofSeconds(6),
                Duration.ofSeconds(41))
            : of.workerTimes(),
        storeLimits(index, inForce),
        inForce,
        fast ? new Settings.CloudLimits(1.5, Duration.ofSeconds(8)) : of.cloudLimits(),
        of.maxSockets(),
        of.coreShare());
  }

  /** The limits of the state service that a controller keeps to. */
  Settings.StoreLimits storeLimits(int index, Settings.StoreLimits inForce) {
    return inForce;
  }

  /** The team with its limit in processors, where there are no cards: as many tasks of two. */
  private static Team inCpus(Team team) {
    return new Team(team.name(), Resources.ZERO, 2 * team.maxGpus(), 0);
  }

  static String host(int node) {
    return "10.0.0." + (node + 1);
  }

  void begin(Layout of, long seed) {
    layout = of;
    apiAddresses = IntStream.range(0, of.nodes).mapToObj(i -> host(i) + ":8080").toList();
    begin(seed);
    if (of == Layout.SHORT) {
      fleet.types =
          List.of(
              new FakeFleet.MachineType("small", 8, 0, 16, 0.25, 0.5, 0.11, 8, of.zones),
              new FakeFleet.MachineType("large", 64, 0, 128, 1, 3.86, 0.84, 12, List.of("a", "b")));
      fleet.leaseMillis = 11_000;
      fleet.reportMillis = 1_000;
    }
    world.runFor(Duration.ofSeconds(5));
  }

  ObjectNode simpleJobSpec(String shape, int tasks) {
    ObjectNode spec = jobSpec(shape, tasks, "red").put("together", false).put("spread", false);
    return layout == Layout.SHORT ? spec.put("cards", 0.0) : spec;
  }

  /** The host that leads, or some other while none does. */
  String leaderHost() {
    return store.value("lead/holder") == null
        ? host(world.random.nextInt(layout.nodes))
        : host(leaderIndex());
  }

  /**
   * Cuts the leader from the state service and the other controllers, not from workers or users.
   */
  void isolateLeader(long millis) {
    String alone = leaderHost();
    List<String> others = new ArrayList<>(List.of("10.2.0.1"));
    controllerHosts().stream().filter(node -> !node.equals(alone)).forEach(others::add);
    cutTemporarily(List.of(alone), others, millis);
  }

  /** Neither side reaches the other, in both directions. */
  void cutTemporarily(List<String> some, List<String> others, long millis) {
    for (String one : some) {
      for (String other : others) {
        world.cut(one, other);
        world.after(millis, () -> world.heal(one, other));
      }
    }
  }

  /** The hosts of all controllers. */
  List<String> controllerHosts() {
    return IntStream.range(0, layout.nodes).mapToObj(ConfigurableCluster::host).toList();
  }
}
