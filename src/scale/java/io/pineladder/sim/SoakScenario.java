package io.pineladder.sim;

import java.nio.file.Path;
import java.util.random.RandomGenerator;

/** One soak run: a cluster, its users, a plan of faults and the checks. Event thread only. */
final class SoakScenario {
  private static final int CHECK_MILLIS = 500;

  private final SoakPlan plan;
  private final RealTimeWorld realTimeWorld;
  private final SafetyRules rules;
  private final SoakInvariants invariants;
  private final SoakCluster cluster;
  private final SoakUsers users;
  private final StarvationCheck starvation;

  SoakScenario(
      ScaleOptions options,
      SoakPlan plan,
      Path directory,
      RealTimeWorld realTimeWorld,
      RandomGenerator random) {
    this.plan = plan;
    this.realTimeWorld = realTimeWorld;
    SimulatedWorld world = realTimeWorld.world();
    this.rules = new SafetyRules(world, ScaleSettings.teams(options));
    this.invariants = new SoakInvariants(world, rules);
    this.cluster = new SoakCluster(options, directory, realTimeWorld, rules, invariants, random);
    this.users =
        new SoakUsers(
            realTimeWorld, rules, invariants, cluster.apiAddresses(), options.teams, random);
    this.starvation =
        new StarvationCheck(world, rules, cluster.fleet, ScaleSettings.teams(options));
  }

  SoakInvariants invariants() {
    return invariants;
  }

  SoakCluster cluster() {
    return cluster;
  }

  /** Begins the load and schedules the faults. */
  void begin(int jobMillis) {
    users.start(jobMillis);
    plan.faults()
        .forEach(
            fault ->
                realTimeWorld.world().after(fault.at().toMillis(), () -> cluster.inject(fault)));
    check();
  }

  private void check() {
    invariants.check(rules::checkCancelledJobs);
    invariants.check(rules::checkAcceptedJobs);
    invariants.check(starvation::check);
    if (invariants.violations().isEmpty()) {
      realTimeWorld.world().after(CHECK_MILLIS, this::check);
    }
  }

  /** All faults are over: users submit for some time more, and everything has to end in time. */
  void onFaultsEnded() {
    invariants.record("faults ended");
    rules.faultsEndedAt = realTimeWorld.world().now();
    realTimeWorld.world().after(5_000, users::stopSubmitting);
  }

  /** Whether all jobs have ended, or a rule was broken. */
  boolean isSettled() {
    return !invariants.violations().isEmpty()
        || (users.hasStoppedSubmitting()
            && rules.jobs.values().stream().allMatch(SafetyRules.TrackedJob::isFinished));
  }

  /** What the run did, in a few words. */
  String summary() {
    return rules.starts + " starts, " + rules.jobs.size() + " jobs";
  }
}
