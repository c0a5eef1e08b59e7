package io.pineladder.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.leadership.Election;
import io.pineladder.model.Settings;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.ManualEventLoop;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Accepted settings, and the error messages for rejected ones. */
public class SettingsReaderTest {
  /** A deployment with two zones; other tests replace {@code member} and the addresses. */
  public static final String VALID_SETTINGS =
      """
      member = "rung-0"
      area = "a"
      front = "10.0.0.1:8080"
      cluster_listen = "10.0.0.1:8081"
      novelty = 3
      [[seeds]]
      member = "rung-1"
      area = "b"
      address = "10.0.0.2:8081"
      [[seeds]]
      member = "rung-2"
      area = "a"
      address = "10.0.0.3:8081"
      [external]
      cloud = "10.2.0.2:8443"
      state = "10.2.0.1:2379"
      [deployment]
      count = 3
      zones = ["a", "b"]
      time_bound_ms = 100.0
      [[deployment.teams]]
      name = "blue"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 4.0
      gpus_max = 8.0
      [[deployment.teams]]
      name = "red"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0
      [[deployment.objectives]]
      kind = "wait"
      class = "serve"
      within_s = 6.0
      share = 0.92
      [[deployment.objectives]]
      kind = "guarantee"
      within_s = 10.0
      share = 0.97
      [deployment.workers]
      report_s = 3.0
      lease_s = 20.0
      gang_wait_s = 30.0
      gang_peer_s = 5.0
      cancel_s = 40.0
      [deployment.state]
      rps = 100.0
      write_rps = 60.0
      value_kb = 8.0
      txn_ops = 12
      [deployment.cloud]
      rps = 5.0
      list_lag_s = 3.0
      [deployment.resources]
      core_share = 0.2
      memory_mb = 250.0
      max_sockets = 1100
      """;

  @Test
  void readsSettings() throws SettingsReader.BadSettingsException {
    Settings settings = SettingsReader.parse(VALID_SETTINGS);
    assertEquals("rung-0", settings.controllerName());
    assertEquals(2, settings.peers().size());
    assertEquals(Duration.ofSeconds(20), settings.workerTimes().leaseDuration());
    assertEquals(8192, settings.storeLimits().valueBytes());
    assertEquals(1100, settings.maxSockets());
    assertEquals(Duration.ofSeconds(6), settings.objectives().get(0).latestAfter());
  }

  @Test
  void reportsAllErrorsInOneMessage() {
    String invalid =
        VALID_SETTINGS
            .replace("area = \"a\"\nfront", "front")
            .replace("txn_ops = 12", "txn_ops = \"many\"")
            .replace("10.2.0.1:2379", "state.example:99")
            .replace("lease_s = 20.0", "lease_s = -1.0")
            .replace("max_sockets = 1100", "max_sockets = 3")
            .replace("gpus_max = 8.0", "gpus_max = true");
    var thrown =
        assertThrows(
            SettingsReader.BadSettingsException.class, () -> SettingsReader.parse(invalid));
    for (String error :
        new String[] {
          "area is missing",
          "deployment.state.txn_ops is not a number",
          "external.state is not an IPv4 address",
          "deployment.workers.lease_s is out of range",
          "deployment.resources.max_sockets is out of range",
          "deployment.teams[0].gpus_max is not a number"
        }) {
      assertTrue(thrown.getMessage().contains(error), thrown.getMessage());
    }
  }

  /** Settings with which the controller cannot work are rejected with the name of the field. */
  @Test
  void rejectsUnsupportedSettings() {
    String seeds =
        VALID_SETTINGS.substring(
            VALID_SETTINGS.indexOf("[[seeds]]"), VALID_SETTINGS.indexOf("[external]"));
    Map<String, String> errorsByToml =
        Map.of(
            VALID_SETTINGS.replace(seeds, ""), "seeds names no other controller",
            VALID_SETTINGS.replace("lease_s = 20.0", "lease_s = 3.5"),
                "deployment.workers.lease_s is not longer than a report may take to come");
    errorsByToml.forEach(
        (toml, error) -> {
          var thrown =
              assertThrows(
                  SettingsReader.BadSettingsException.class, () -> SettingsReader.parse(toml));
          assertEquals("bad settings: " + error, thrown.getMessage());
        });
  }

  /** More zones, no objectives, and a cancellation bound shorter than the lease. */
  @Test
  void acceptsUnusualDeployments() throws SettingsReader.BadSettingsException {
    String objectives =
        VALID_SETTINGS.substring(
            VALID_SETTINGS.indexOf("[[deployment.objectives]]"),
            VALID_SETTINGS.indexOf("[deployment.workers]"));
    Settings settings =
        SettingsReader.parse(
            VALID_SETTINGS
                .replace(objectives, "")
                .replace("zones = [\"a\", \"b\"]", "zones = [\"a\", \"b\", \"c\", \"d\"]")
                .replace("report_s = 3.0", "report_s = 1.0")
                .replace("lease_s = 20.0", "lease_s = 30.0")
                .replace("cancel_s = 40.0", "cancel_s = 4.0"));
    assertEquals(4, settings.zones().size());
    assertTrue(settings.objectives().isEmpty());
    assertEquals(Duration.ZERO, Election.maxWorkerLeaseExtension(settings.workerTimes()));
  }

  /** The default number of sockets allows a connection for each worker of a large fleet. */
  @Test
  void defaultMaxSocketsSufficeForLargeFleet() throws SettingsReader.BadSettingsException {
    ConnectionLimiter sockets =
        new ConnectionLimiter(
            SettingsReader.defaultMaxSockets(20_000), Duration.ofSeconds(3), new ManualEventLoop());
    for (int worker = 0; worker < 4_200; worker++) {
      assertNotNull(
          sockets.tryOpen(ConnectionLimiter.TrafficClass.REPORTS, () -> {}), "worker " + worker);
    }
    assertEquals(1_000, SettingsReader.defaultMaxSockets(0));
    assertEquals(1_000, SettingsReader.defaultMaxSockets(1_024));
    assertEquals(3_996, SettingsReader.defaultMaxSockets(4_096));
    assertEquals(7_000, SettingsReader.defaultMaxSockets(Long.MAX_VALUE));
    int defaultSockets =
        SettingsReader.parse(
                VALID_SETTINGS.substring(0, VALID_SETTINGS.indexOf("[deployment.resources]")))
            .maxSockets();
    assertTrue(defaultSockets >= 1_000 && defaultSockets <= 7_000);
  }

  @Test
  void rejectsInvalidToml() {
    var thrown =
        assertThrows(
            SettingsReader.BadSettingsException.class, () -> SettingsReader.parse("member = "));
    assertTrue(thrown.getMessage().contains("not TOML"), thrown.getMessage());
  }
}
