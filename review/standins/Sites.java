/** The settings of two sites, as far as controllers read them. */
final class Sites {
  private Sites() {}

  /** laval-member-ops-ops. */
  static final String LAVAL = """
      [deployment]
      count = 3
      zones = ["laval", "levis"]
      time_bound_ms = 250.0

      [[deployment.teams]]
      name = "accueil"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0

      [deployment.workers]
      report_s = 5.0
      lease_s = 22.0
      gang_wait_s = 40.0
      gang_peer_s = 6.0
      cancel_s = 52.0

      [deployment.state]
      rps = 200.0
      write_rps = 60.0
      value_kb = 8.0
      txn_ops = 12

      [deployment.cloud]
      rps = 5.0
      list_lag_s = 3.0

      [deployment.resources]
      core_share = 0.22
      memory_mb = 263.0
      max_sockets = 1800
      """;

  /** colombo-tracker-ops-grown. */
  static String colombo() {
    StringBuilder text = new StringBuilder("""
        [deployment]
        count = 3
        zones = ["wattala"]
        time_bound_ms = 100.0

        """);
    for (int team = 0; team < 16; team++) {
      text.append(String.format("""
          [[deployment.teams]]
          name = "harbourdesk-%02d"
          cpus = 0.0
          cpus_max = 0.0
          gpus = 250.0
          gpus_max = 800.0

          """, team));
    }
    return text.append("""
        [[deployment.objectives]]
        kind = "wait"
        class = "beaconmap"
        within_s = 10.0
        share = 0.9

        [[deployment.objectives]]
        kind = "finished"
        class = "pingdecode"
        within_s = 120.0
        share = 0.88

        [deployment.workers]
        report_s = 6.0
        lease_s = 36.0
        gang_wait_s = 50.0
        gang_peer_s = 5.0
        cancel_s = 56.0

        [deployment.state]
        rps = 100.0
        write_rps = 40.0
        value_kb = 32.0
        txn_ops = 32

        [deployment.cloud]
        rps = 4.0
        list_lag_s = 4.0

        [deployment.resources]
        core_share = 0.33
        memory_mb = 436.0
        max_sockets = 3500
        """).toString();
  }
}
