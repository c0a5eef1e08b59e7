package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.wire.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Creates the settings files of the controllers of a scale run. */
final class ScaleSettings {
  private final ScaleOptions options;
  private final String storeAddress;
  private final String cloudAddress;
  private final List<String> apiAddresses;
  private final List<String> clusterAddresses;

  ScaleSettings(
      ScaleOptions options,
      String storeAddress,
      String cloudAddress,
      List<String> apiAddresses,
      List<String> clusterAddresses) {
    this.options = options;
    this.storeAddress = storeAddress;
    this.cloudAddress = cloudAddress;
    this.apiAddresses = apiAddresses;
    this.clusterAddresses = clusterAddresses;
  }

  /** The only machine type, offered in as many zones. */
  static List<FakeFleet.MachineType> machineTypes(int zones) {
    return List.of(new FakeFleet.MachineType("w16", 16, 2, 64, 1, 4, 1, 10, zones(zones)));
  }

  static List<String> zones(int count) {
    return IntStream.range(0, count).mapToObj(i -> "z" + i).toList();
  }

  /**
   * Returns the teams. The limit of each is its share of the load plus 20% and two whole jobs; half
   * of the limit is guaranteed.
   */
  static List<Team> teams(ScaleOptions options) {
    List<Team> teams = new ArrayList<>();
    double maxCpus =
        1.2 * options.running / options.teams + 2.0 * Math.max(options.tasks, options.gang);
    for (int i = 0; i < options.teams; i++) {
      teams.add(new Team("team-" + i, Resources.of(maxCpus / 2, 0, 0), maxCpus, 0));
    }
    return teams;
  }

  /** Returns the settings file of a controller as TOML. */
  String toml(int index) throws IOException {
    ObjectNode root =
        Json.object()
            .put("member", "rung-" + index)
            .put("area", "z" + index % options.zones)
            .put("front", apiAddresses.get(index))
            .put("cluster_listen", clusterAddresses.get(index));
    ArrayNode seeds = root.putArray("seeds");
    for (int i = 0; i < apiAddresses.size(); i++) {
      if (i != index) {
        seeds
            .addObject()
            .put("member", "rung-" + i)
            .put("area", "z" + i % options.zones)
            .put("address", clusterAddresses.get(i));
      }
    }
    root.putObject("external").put("cloud", cloudAddress).put("state", storeAddress);
    ObjectNode deployment = root.putObject("deployment").put("count", apiAddresses.size());
    zones(options.zones).forEach(deployment.putArray("zones")::add);
    deployment.put("time_bound_ms", 100.0);
    ArrayNode teams = deployment.putArray("teams");
    for (Team team : teams(options)) {
      teams
          .addObject()
          .put("name", team.name())
          .put("cpus", team.maxCpus() / 2)
          .put("cpus_max", team.maxCpus())
          .put("gpus", 0.0)
          .put("gpus_max", 0.0);
    }
    ArrayNode objectives = deployment.putArray("objectives");
    for (String jobClass : List.of("urgent", "serve", "batch", "gang")) {
      objectives
          .addObject()
          .put("kind", "wait")
          .put("class", jobClass)
          .put("within_s", jobClass.equals("urgent") ? 7.3 : 30.0)
          .put("share", 0.95);
    }
    deployment
        .putObject("workers")
        .put("report_s", options.reportSeconds)
        .put("lease_s", options.leaseSeconds)
        .put("gang_wait_s", 40.0)
        .put("gang_peer_s", 6.0)
        .put("cancel_s", 50.0);
    deployment
        .putObject("state")
        .put("rps", options.storeRequests)
        .put("write_rps", options.storeChanges)
        .put("value_kb", options.valueKb)
        .put("txn_ops", options.txnOps);
    deployment.putObject("cloud").put("rps", 10.0).put("list_lag_s", 3.0);
    deployment
        .putObject("resources")
        .put("core_share", 1.0)
        .put("memory_mb", options.heapMb + 150.0)
        .put("max_sockets", 9_000);
    return new TomlMapper().writeValueAsString(root);
  }
}
