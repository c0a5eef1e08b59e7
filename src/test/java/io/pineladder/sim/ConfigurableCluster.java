package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.Team;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** A simulated cluster with one of several deployment layouts. */
abstract class ConfigurableCluster extends SimulatedCluster {
  /** The number of controllers, the zones and the timings of a deployment. */
  enum Layout {
    /** Two controllers in two zones; otherwise like {@link #FLEET}. */
    PAIR(2, List.of("a", "b")),
    /** Like {@link #FLEET}, but in a single zone. */
    ONE_ZONE(3, List.of("a")),
    /**
     * Three controllers in two zones, machines with GPUs, heartbeats every 3 s and leases of 20 s.
     */
    FLEET(3, List.of("a", "b")),
    /**
     * Five controllers in three zones, two machine types without GPUs, of which zone c offers only
     * one, heartbeats every second and leases of 11 s.
     */
    SHORT(5, List.of("a", "b", "c"));

    final int nodes;

    /** Immutable. */
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
    Settings defaults = super.settings(0);
    boolean fast = layout == Layout.SHORT;
    Settings.StoreLimits storeLimits =
        fast ? new Settings.StoreLimits(80, 30, 8192, 12) : defaults.currentStoreLimits();
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
        defaults.cloudAddress(),
        defaults.storeAddress(),
        layout.zones,
        fast
            ? defaults.teams().stream().map(ConfigurableCluster::withCpuLimit).toList()
            : defaults.teams(),
        defaults.objectives(),
        fast
            ? new Settings.WorkerTimes(
                Duration.ofSeconds(1),
                Duration.ofSeconds(11),
                Duration.ofSeconds(30),
                Duration.ofSeconds(6),
                Duration.ofSeconds(41))
            : defaults.workerTimes(),
        storeLimits(index, storeLimits),
        storeLimits,
        fast ? new Settings.CloudLimits(1.5, Duration.ofSeconds(8)) : defaults.cloudLimits(),
        defaults.maxSockets(),
        defaults.coreShare());
  }

  /**
   * The store limits that a controller respects, given the current ones; see {@link
   * Settings#storeLimits}.
   */
  Settings.StoreLimits storeLimits(int index, Settings.StoreLimits current) {
    return current;
  }

  /** The team with a CPU limit in place of its GPU limit: two CPUs for each GPU. */
  private static Team withCpuLimit(Team team) {
    return new Team(team.name(), Resources.ZERO, 2 * team.maxGpus(), 0);
  }

  static String host(int node) {
    return "10.0.0." + (node + 1);
  }

  void begin(Layout selected, long seed) {
    layout = selected;
    apiAddresses = IntStream.range(0, selected.nodes).mapToObj(i -> host(i) + ":8080").toList();
    begin(seed);
    if (selected == Layout.SHORT) {
      fleet.types =
          List.of(
              new FakeFleet.MachineType("small", 8, 0, 16, 0.25, 0.5, 0.11, 8, selected.zones),
              new FakeFleet.MachineType("large", 64, 0, 128, 1, 3.86, 0.84, 12, List.of("a", "b")));
      fleet.leaseMillis = 11_000;
      fleet.heartbeatMillis = 1_000;
    }
    world.runFor(Duration.ofSeconds(5));
  }

  ObjectNode simpleJobSpec(String shape, int tasks) {
    ObjectNode spec = jobSpec(shape, tasks, "red").put("together", false).put("spread", false);
    return layout == Layout.SHORT ? spec.put("cards", 0.0) : spec;
  }

  /** The host of the leader, or a random controller host while there is none. */
  String leaderHost() {
    return store.value("lead/holder") == null
        ? host(world.random.nextInt(layout.nodes))
        : host(leaderIndex());
  }

  /** Cuts the leader off from the store and the other controllers, not from workers or users. */
  void isolateLeader(long millis) {
    String isolated = leaderHost();
    List<String> others = new ArrayList<>(List.of("10.2.0.1"));
    controllerHosts().stream().filter(node -> !node.equals(isolated)).forEach(others::add);
    cutTemporarily(List.of(isolated), others, millis);
  }

  /** Cuts all connections between two groups of hosts for some time. */
  void cutTemporarily(List<String> hosts, List<String> peers, long millis) {
    for (String host : hosts) {
      for (String peer : peers) {
        world.cut(host, peer);
        world.after(millis, () -> world.heal(host, peer));
      }
    }
  }

  /** The hosts of all controllers. */
  List<String> controllerHosts() {
    return IntStream.range(0, layout.nodes).mapToObj(ConfigurableCluster::host).toList();
  }
}
