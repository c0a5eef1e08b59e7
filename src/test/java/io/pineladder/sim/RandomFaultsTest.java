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
 * Pairs of faults in several layouts: machines that send heartbeats but receive nothing, duplicated
 * heartbeats, an isolated controller and processes that restart at once, each with a second fault.
 */
class RandomFaultsTest extends ConfigurableCluster {
  private static final Duration FAULT_DURATION = Duration.ofSeconds(40);

  enum Trouble {
    MACHINE_RECEIVES_NOTHING,
    THIRD_OF_MACHINES_RECEIVES_NOTHING,
    DUPLICATED_HEARTBEATS,
    ISOLATED_LEADER,
    RAPID_RESTARTS
  }

  enum Beside {
    NONE,
    FAILOVER,
    STORE_OUTAGE,
    ZONE_PARTITION,
    SPOT_RECLAIM
  }

  private void arrivals(int steps) {
    for (int step = 0; step < steps; step++) {
      submit(work(step % 4 == 0 ? "service" : "array", 1 + world.random.nextInt(4)));
      if (step % 5 == 1) {
        submit(work("group", 2 + world.random.nextInt(2)));
      }
      if (step % 8 == 2) {
        submit(work("array", 24));
      }
      world.runFor(Duration.ofSeconds(2));
    }
  }

  private void inject(Trouble fault) {
    long millis = FAULT_DURATION.toMillis();
    switch (fault) {
      case MACHINE_RECEIVES_NOTHING, THIRD_OF_MACHINES_RECEIVES_NOTHING -> {
        List<FakeFleet.Worker> up = fleet.up();
        int first = world.random.nextInt(up.size());
        for (int i = 0; i < up.size(); i++) {
          if (fault == Trouble.MACHINE_RECEIVES_NOTHING ? i == first : i % 3 == first % 3) {
            String host = SimulatedWorld.host(up.get(i).address);
            world.deaf.add(host);
            world.after(millis, () -> world.deaf.remove(host));
          }
        }
      }
      case DUPLICATED_HEARTBEATS -> {
        fleet.copies = 0.2;
        world.after(millis, () -> fleet.copies = 0);
      }
      case ISOLATED_LEADER -> aloneFor(millis);
      case RAPID_RESTARTS -> {
        for (int i = 0; i < 8; i++) {
          world.after(
              i * (400L + world.random.nextInt(900)),
              () -> {
                int killed =
                    world.random.nextBoolean() && store.value("lead/holder") != null
                        ? leader()
                        : world.random.nextInt(layout.nodes);
                kill(controllers.get(killed), world.random.nextInt(500));
              });
        }
      }
      default -> throw new AssertionError(fault);
    }
  }

  private void inject(Beside secondFault) {
    switch (secondFault) {
      case NONE -> {}
      case FAILOVER -> kill(controllers.get(leader()), 6_000);
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
        inside.forEach(one -> outside.forEach(other -> world.cut(one, other)));
        world.after(
            25_000, () -> inside.forEach(one -> outside.forEach(other -> world.heal(one, other))));
      }
      case SPOT_RECLAIM -> {
        for (FakeFleet.Worker worker : fleet.up()) {
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
    return Stream.of(Trouble.values())
        .flatMap(
            fault ->
                Stream.of(Beside.values())
                    .flatMap(
                        secondFault ->
                            IntStream.range(0, Integer.getInteger("pineladder.unlisted", 1))
                                .mapToObj(seed -> Arguments.of(fault, secondFault, seed))));
  }

  @ParameterizedTest
  @MethodSource("faultPairs")
  void allIsKnownAndServed(Trouble fault, Beside secondFault, int seed) {
    int pair = fault.ordinal() * Beside.values().length + secondFault.ordinal();
    Layout layout = Layout.values()[(pair + seed) % Layout.values().length];
    begin(layout, 9_000 + 100L * seed + pair);
    arrivals(12);
    inject(fault);
    world.runFor(Duration.ofMillis(1_000 + world.random.nextInt(6_000)));
    inject(secondFault);
    arrivals(20);
    world.runFor(FAULT_DURATION);
    rules.calmSince = world.now();
    settle(Duration.ofSeconds(200));
    rules.checkShares();
  }

  /** Guards against placement of tasks on a machine that sends heartbeats but receives nothing. */
  @Test
  void replacesMachineThatReceivesNothing() {
    begin(Layout.SHORT, 31);
    for (int i = 0; i < 4; i++) {
      submit(work("service", 4));
    }
    world.runFor(Duration.ofSeconds(40));
    FakeFleet.Worker unreachable =
        fleet.up().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
    world.deaf.add(SimulatedWorld.host(unreachable.address));
    world.runFor(Duration.ofSeconds(14));
    assertTrue(unreachable.tasks.isEmpty(), "its lease has expired");
    SafetyRules.Known late = submit(work("array", 6));
    world.runFor(Duration.ofSeconds(45));
    assertTrue(late.done, "the job ran on another machine");
    int running = 0;
    for (FakeFleet.Worker worker : fleet.up()) {
      running += (int) worker.tasks.values().stream().filter(t -> t.there).count();
    }
    assertEquals(16, running, "its tasks run on other machines");
    world.runFor(Duration.ofSeconds(30));
    assertTrue(!fleet.machines.containsKey(unreachable.name), "the machine was returned");
  }

  /** Guards against machines that stay excluded after they receive messages again. */
  @Test
  void reusesMachineThatReceivesAgain() {
    begin(Layout.FLEET, 32);
    fleet.capacity = 1;
    submit(work("service", 2));
    submit(work("service", 2));
    world.runFor(Duration.ofSeconds(40));
    List<String> hosts = fleet.up().stream().map(w -> SimulatedWorld.host(w.address)).toList();
    world.deaf.addAll(hosts);
    world.runFor(Duration.ofSeconds(6));
    SafetyRules.Known job = submit(work("array", 2));
    world.runFor(Duration.ofSeconds(5));
    world.deaf.clear();
    world.runFor(Duration.ofSeconds(60));
    assertTrue(job.done);
  }

  /** Guards against starvation of a gang when small tasks take all capacity that becomes free. */
  @Test
  void aGangBeginsThoughSmallTasksOfItsRankTakeEachFreedPiece() {
    begin(Layout.FLEET, 36);
    fleet.capacity = 2;
    for (int i = 0; i < 8; i++) {
      submit(work("array", 6).put("rank", "standard").put("guess_s", 7 + i).put("loaners", false));
    }
    world.runFor(Duration.ofSeconds(20));
    SafetyRules.Known gang =
        submit(
            work("group", 2)
                .put("rank", "standard")
                .put("cards", 4.0)
                .put("guess_s", 10)
                .put("loaners", false));
    for (int second = 0; second < 220; second += 2) {
      submit(
          work("array", 5)
              .put("rank", "standard")
              .put("guess_s", 6 + second % 7)
              .put("loaners", false));
      world.runFor(Duration.ofSeconds(2));
    }
    assertTrue(gang.everStarted.size() == 2, "tasks started: " + gang.everStarted);
    assertTrue(gang.begun.isBefore(gang.submitted.plusSeconds(240)));
  }

  // Negative tests: each check fails on a run that violates its rule.

  private SafetyRules.Known acceptedJob(String shape, int tasks) {
    SafetyRules.Known job = known(work(shape, tasks));
    job.accepted = true;
    job.answered = world.now();
    return job;
  }

  @Test
  void detectsForgottenJob() {
    begin(Layout.FLEET, 33);
    rules.calmSince = world.now();
    acceptedJob("array", 1);
    assertThrows(AssertionError.class, () -> world.runFor(Duration.ofSeconds(77)));
  }

  @Test
  void detectsUnservedHalf() {
    begin(Layout.FLEET, 34);
    acceptedJob("array", 1).done = true;
    acceptedJob("array", 1);
    rules.jobs.values().forEach(job -> job.begun = world.now());
    rules.checkShares();
    acceptedJob("array", 1);
    assertThrows(AssertionError.class, rules::checkShares);
  }

  @Test
  void detectsLateStartOfLargestJob() {
    begin(Layout.FLEET, 35);
    SafetyRules.Known large = acceptedJob("array", 9);
    for (int i = 0; i < 3; i++) {
      acceptedJob("array", 1).done = true;
    }
    rules.jobs.values().forEach(job -> job.begun = world.now());
    large.done = true;
    rules.checkShares();
    large.begun = large.submitted.plusSeconds(241);
    assertThrows(AssertionError.class, rules::checkShares);
  }
}
