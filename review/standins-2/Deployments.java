/** Settings of the small deployments, as in the users' pages. */
final class Deployments {
  private Deployments() {}

  /** The container trackers' deployment: `kit/sites/colombo-tracker-ops.toml`. */
  static String colombo() {
    StringBuilder text = new StringBuilder("zones = [\"wattala\"]\ntime_bound_ms = 100.0\n");
    for (int i = 0; i < 16; i++) {
      text.append(
          String.format(
              "%n[[deployment.teams]]%nname = \"harbourdesk-%02d\"%ncpus = 0.0%ncpus_max = 0.0%n"
                  + "gpus = 8.0%ngpus_max = 24.0%n",
              i));
    }
    text.append(
        """

        [[deployment.objectives]]
        kind = "wait"
        class = "beaconmap"
        within_s = 6.0
        share = 0.92

        [[deployment.objectives]]
        kind = "finished"
        class = "pingdecode"
        within_s = 80.0
        share = 0.85

        [deployment.workers]
        report_s = 3.0
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
        """);
    return text.toString();
  }

  /** The clubs' deployment in one zone: `kit/sites/laval-member-ops.toml`. */
  static String laval() {
    return """
        zones = ["wattala"]
        time_bound_ms = 250.0

        [[deployment.teams]]
        name = "accueil"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0

        [[deployment.objectives]]
        kind = "wait"
        class = "badgegate"
        within_s = 30.0
        share = 0.8

        [deployment.workers]
        report_s = 3.0
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
  }

  /** A job of one team with tasks of one card, as of the class `pingdecode`. */
  static java.util.Map<String, Object> job(
      String ref, String shape, int pieces, double vcpus, double cards, double memoryGb) {
    return Json.map(
        "ref", ref, "jobclass", shape.equals("service") ? "beaconmap" : "pingdecode",
        "owner", "harbourdesk-00", "shape", shape,
        "rank", shape.equals("service") ? "prod" : "standard", "pieces", pieces,
        "vcpus", vcpus, "cards", cards, "memory_gb", memoryGb, "hulls", null, "yard", null,
        "together", false, "spread", false, "loaners", false, "bundle", "img-07",
        "image_gb", 3.5, "guess_s", shape.equals("service") ? 0.0 : 35.0, "mark_every_s", 0.0,
        "stow_s", 0.0, "due_s", null);
  }
}
