package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Pairs of faults in several layouts. The first is one of: machines that send heartbeats but
 * receive nothing, duplicated heartbeats, an isolated leader, controllers that are killed and
 * restart within half a second, or commands that are executed and of which a copy arrives later.
 */
class RandomFaultsTest extends ConfigurableCluster {
  private static final Duration FAULT_DURATION = Duration.ofSeconds(40);

  enum Fault {
    MACHINE_RECEIVES_NOTHING,
    THIRD_OF_MACHINES_RECEIVES_NOTHING,
    DUPLICATED_HEARTBEATS,
    ISOLATED_LEADER,
    RAPID_RESTARTS,
    COPIED_COMMANDS
  }

  enum SecondFault {
    NONE,
    FAILOVER,
    STORE_OUTAGE,
    ZONE_PARTITION,
    SPOT_RECLAIM
  }

  private void submitJobs(int steps) {
    for (int step = 0; step < steps; step++) {
      submit(simpleJobSpec(step % 4 == 0 ? "service" : "array", 1 + world.random.nextInt(4)));
      if (step % 5 == 1) {
        submit(simpleJobSpec("group", 2 + world.random.nextInt(2)));
      }
      if (step % 8 == 2) {
        submit(simpleJobSpec("array", 24));
      }
      world.runFor(Duration.ofSeconds(2));
    }
  }

  private void inject(Fault fault) {
    long millis = FAULT_DURATION.toMillis();
    switch (fault) {
      case MACHINE_RECEIVES_NOTHING, THIRD_OF_MACHINES_RECEIVES_NOTHING -> {
        List<FakeFleet.Worker> up = fleet.runningWorkers();
        int first = world.random.nextInt(up.size());
        for (int i = 0; i < up.size(); i++) {
          if (fault == Fault.MACHINE_RECEIVES_NOTHING ? i == first : i % 3 == first % 3) {
            String host = SimulatedWorld.host(up.get(i).address);
            world.unreachableHosts.add(host);
            world.after(millis, () -> world.unreachableHosts.remove(host));
          }
        }
      }
      case DUPLICATED_HEARTBEATS -> {
        fleet.duplicateHeartbeatRate = 0.2;
        world.after(millis, () -> fleet.duplicateHeartbeatRate = 0);
      }
      case ISOLATED_LEADER -> isolateLeader(millis);
      case RAPID_RESTARTS -> {
        for (int i = 0; i < 8; i++) {
          world.after(
              i * (400L + world.random.nextInt(900)),
              () -> {
                int killed =
                    world.random.nextBoolean() && store.value("lead/holder") != null
                        ? leaderIndex()
                        : world.random.nextInt(layout.nodes);
                kill(controllers.get(killed), world.random.nextInt(500));
              });
        }
      }
      case COPIED_COMMANDS -> {
        fleet.copiedCommandRate = 0.5;
        world.after(millis, () -> fleet.copiedCommandRate = 0);
      }
      default -> throw new AssertionError(fault);
    }
  }

  private void inject(SecondFault secondFault) {
    switch (secondFault) {
      case NONE -> {}
      case FAILOVER -> kill(controllers.get(leaderIndex()), 6_000);
      case STORE_OUTAGE -> {
        store.outage = true;
        world.after(15_000, store::endOutage);
      }
      case ZONE_PARTITION -> {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of("10.2.0.1", "10.2.0.2", "user"));
        for (int i = 0; i < layout.nodes; i++) {
          (zoneOf(i).equals("b") ? inside : outside).add(host(i));
        }
        fleet
            .machines
            .values()
            .forEach(
                w -> (w.zone.equals("b") ? inside : outside).add(SimulatedWorld.host(w.address)));
        inside.forEach(
            insideHost -> outside.forEach(outsideHost -> world.cut(insideHost, outsideHost)));
        world.after(
            25_000,
            () ->
                inside.forEach(
                    insideHost ->
                        outside.forEach(outsideHost -> world.heal(insideHost, outsideHost))));
      }
      case SPOT_RECLAIM -> {
        for (FakeFleet.Worker worker : fleet.runningWorkers()) {
          if (worker.spot && world.random.nextInt(3) == 0) {
            fleet.machines.remove(worker.name);
            worker.end();
          }
        }
      }
      default -> throw new AssertionError(secondFault);
    }
  }

  /** All pairs of faults; more seeds of each with {@code -Dpineladder.unlisted=100}. */
  static Stream<Arguments> faultPairs() {
    return Stream.of(Fault.values())
        .flatMap(
            fault ->
                Stream.of(SecondFault.values())
                    .flatMap(
                        secondFault ->
                            IntStream.range(0, Integer.getInteger("pineladder.unlisted", 1))
                                .mapToObj(seed -> Arguments.of(fault, secondFault, seed))));
  }

  @ParameterizedTest
  @MethodSource("faultPairs")
  void servesAllJobsUnderTwoFaults(Fault fault, SecondFault secondFault, int seed) {
    int pair = fault.ordinal() * SecondFault.values().length + secondFault.ordinal();
    Layout layout = Layout.values()[(pair + seed) % Layout.values().length];
    begin(layout, 9_000 + 100L * seed + pair);
    submitJobs(12);
    inject(fault);
    world.runFor(Duration.ofMillis(1_000 + world.random.nextInt(6_000)));
    inject(secondFault);
    submitJobs(20);
    world.runFor(FAULT_DURATION);
    rules.faultsEndedAt = world.now();
    settle(Duration.ofSeconds(200));
    rules.checkServedShares();
  }

  /** Guards against placement of tasks on a machine that sends heartbeats but receives nothing. */
  @Test
  void replacesMachineThatReceivesNothing() {
    begin(Layout.SHORT, 31);
    for (int i = 0; i < 4; i++) {
      submit(simpleJobSpec("service", 4));
    }
    world.runFor(Duration.ofSeconds(40));
    FakeFleet.Worker unreachable =
        fleet.runningWorkers().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
    world.unreachableHosts.add(SimulatedWorld.host(unreachable.address));
    world.runFor(Duration.ofSeconds(14));
    assertTrue(unreachable.tasks.isEmpty(), "its lease has expired");
    SafetyRules.TrackedJob late = submit(simpleJobSpec("array", 6));
    world.runFor(Duration.ofSeconds(45));
    assertTrue(late.done, "the job ran on another machine");
    int running = 0;
    for (FakeFleet.Worker worker : fleet.runningWorkers()) {
      running += (int) worker.tasks.values().stream().filter(t -> t.onMachine).count();
    }
    assertEquals(16, running, "its tasks run on other machines");
    world.runFor(Duration.ofSeconds(30));
    assertTrue(!fleet.machines.containsKey(unreachable.name), "the machine was released");
  }

  /** Guards against machines that stay excluded after they receive messages again. */
  @Test
  void reusesMachineThatReceivesAgain() {
    begin(Layout.FLEET, 32);
    fleet.zoneCapacity = 1;
    submit(simpleJobSpec("service", 2));
    submit(simpleJobSpec("service", 2));
    world.runFor(Duration.ofSeconds(40));
    List<String> hosts =
        fleet.runningWorkers().stream().map(w -> SimulatedWorld.host(w.address)).toList();
    world.unreachableHosts.addAll(hosts);
    world.runFor(Duration.ofSeconds(6));
    SafetyRules.TrackedJob job = submit(simpleJobSpec("array", 2));
    world.runFor(Duration.ofSeconds(5));
    world.unreachableHosts.clear();
    world.runFor(Duration.ofSeconds(60));
    assertTrue(job.done);
  }

  /** Guards against starvation of a gang when small tasks take all capacity that becomes free. */
  @Test
  void startsGangDespiteStreamOfSmallTasks() {
    begin(Layout.FLEET, 36);
    fleet.zoneCapacity = 2;
    for (int i = 0; i < 8; i++) {
      submit(
          simpleJobSpec("array", 6)
              .put("rank", "standard")
              .put("guess_s", 7 + i)
              .put("loaners", false));
    }
    world.runFor(Duration.ofSeconds(20));
    SafetyRules.TrackedJob gang =
        submit(
            simpleJobSpec("group", 2)
                .put("rank", "standard")
                .put("cards", 4.0)
                .put("guess_s", 10)
                .put("loaners", false));
    for (int second = 0; second < 220; second += 2) {
      submit(
          simpleJobSpec("array", 5)
              .put("rank", "standard")
              .put("guess_s", 6 + second % 7)
              .put("loaners", false));
      world.runFor(Duration.ofSeconds(2));
    }
    assertTrue(gang.startedTasks.size() == 2, "tasks started: " + gang.startedTasks);
    assertTrue(gang.firstStartedAt.isBefore(gang.submittedAt.plusSeconds(240)));
  }

  // Negative tests: each check fails on a run that violates its rule.

  private SafetyRules.TrackedJob acceptedJob(String shape, int tasks) {
    SafetyRules.TrackedJob job = trackJob(simpleJobSpec(shape, tasks));
    job.accepted = true;
    job.lastAnsweredAt = world.now();
    return job;
  }

  @Test
  void detectsForgottenJob() {
    begin(Layout.FLEET, 33);
    rules.faultsEndedAt = world.now();
    acceptedJob("array", 1);
    assertThrows(AssertionError.class, () -> world.runFor(Duration.ofSeconds(77)));
  }

  @Test
  void detectsUnservedHalf() {
    begin(Layout.FLEET, 34);
    acceptedJob("array", 1).done = true;
    acceptedJob("array", 1);
    rules.jobs.values().forEach(job -> job.firstStartedAt = world.now());
    rules.checkServedShares();
    acceptedJob("array", 1);
    assertThrows(AssertionError.class, rules::checkServedShares);
  }

  @Test
  void detectsLateStartOfLargestJob() {
    begin(Layout.FLEET, 35);
    SafetyRules.TrackedJob large = acceptedJob("array", 9);
    for (int i = 0; i < 3; i++) {
      acceptedJob("array", 1).done = true;
    }
    rules.jobs.values().forEach(job -> job.firstStartedAt = world.now());
    large.done = true;
    rules.checkServedShares();
    large.firstStartedAt = large.submittedAt.plusSeconds(241);
    assertThrows(AssertionError.class, rules::checkServedShares);
  }
}
