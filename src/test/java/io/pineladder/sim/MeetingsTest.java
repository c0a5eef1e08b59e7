package io.pineladder.sim;


import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Two troubles that meet, while users cancel and ask. Beside the rules each of these days asks for the promise
 * behind them: nothing of a job is on any machine when its user is told that it is cancelled.
 */
class MeetingsTest extends LaidOutCluster {
  /** What meets; the rows of docs/meetings.md. */
  enum Meeting {
    /** The leader alone is refused, another confirms cancellations, then nobody is served for long. */
    GAP,
    /** The state service answers slowly, refuses the leader, then everybody. */
    SLOW_THEN_OUT,
    /** Jobs of two or three tasks that end far apart, across changes of leader. */
    ENDS_FAR_APART,
    /** Old reports after newer ones, also of earlier sessions and attempts. */
    OLD_REPORTS,
    /** Commands and answers are held up for seconds, and machines stand still and go on. */
    HELD_UP,
    /** Controllers hand over and back, all end, and one returns, also within a second. */
    HANDOVERS,
    /** Transactions without an answer are carried out late, after newer ones. */
    LATE_WRITES,
    /** A leader ends while machines with long tasks can't be reached, or do not hear. */
    UNREACHED,
    /** A leader without state service and peers, while jobs are cancelled through the new one. */
    ALONE
  }

  private static final Duration CANCEL = Duration.ofSeconds(40);

  /** The last trouble is over by then. */
  private static final Duration LONGEST = CANCEL.multipliedBy(4);

  /**
   * A cancellation that waits for proof is told so long after the last trouble: a machine that was out of
   * reach is heard within a few reports, or it is returned.
   */
  private static final Duration TOLD = Duration.ofSeconds(75);

  /** The part of the open jobs that are cancelled, a step. */
  private static final double CANCELS = 0.08;

  private long some(long least, long most) {
    return least + world.random.nextLong(most - least);
  }

  private void at(long millis, Runnable action) {
    world.after(millis, action);
  }

  private void killLeader(long backMillis) {
    kill(controllers.get(leading().charAt(leading().length() - 1) - '1'), backMillis);
  }

  private void refuseLeader(long millis) {
    String refused = leading();
    world.answerRefused(refused, "10.2.0.1", true);
    at(millis, () -> world.answerRefused(refused, "10.2.0.1", false));
  }

  private void outage(long millis) {
    store.outage = true;
    at(millis, store::endOutage);
  }

  private List<String> someMachines(int oneOf) {
    return fleet.up().stream()
        .map(w -> World.host(w.address))
        .filter(h -> world.random.nextInt(oneOf) == 0)
        .toList();
  }

  private void meet(Meeting meeting) {
    switch (meeting) {
      case GAP -> {
        String old = leading();
        long before = some(500, 20_000);
        refuseLeader(before + some(0, 30_000));
        // Some workers are left to the old leader: no other controller reaches them.
        for (String machine : someMachines(3)) {
          IntStream.range(0, layout.nodes)
              .mapToObj(LaidOutCluster::host)
              .filter(h -> !h.equals(old))
              .forEach(
                  h -> {
                    world.cut(h, machine);
                    at(90_000, () -> world.heal(h, machine));
                  });
        }
        at(before, () -> outage(some(CANCEL.toMillis() / 2, 3 * CANCEL.toMillis())));
      }
      case SLOW_THEN_OUT -> {
        store.slowMillis = 2_500;
        at(10_000, () -> refuseLeader(some(2_000, 15_000)));
        at(some(12_000, 25_000), () -> outage(some(15_000, 60_000)));
        at(70_000, () -> store.slowMillis = 0);
      }
      case ENDS_FAR_APART -> {
        for (int i = 0; i < 6; i++) {
          submit(work(i % 3 == 2 ? "group" : "array", 2 + i % 2).put("apart_ms", some(1_000, 25_000)));
          at(some(3_000, 60_000), () -> killLeader(some(0, 8_000)));
        }
      }
      case OLD_REPORTS -> {
        fleet.copies = 0.4;
        at(60_000, () -> fleet.copies = 0);
        for (int i = 0; i < 3; i++) {
          at(some(3_000, 50_000), () -> deafen(someMachines(5), some(5_000, 25_000)));
          at(some(3_000, 50_000), () -> killLeader(some(0, 6_000)));
        }
      }
      case HELD_UP -> {
        world.held = 0.15;
        at(50_000, () -> world.held = 0);
        for (int i = 0; i < 12; i++) {
          at(some(0, 45_000), () -> someMachines(4).forEach(m -> world.freeze(m, some(500, 9_000))));
        }
        at(some(5_000, 45_000), () -> killLeader(some(0, 6_000)));
      }
      case HANDOVERS -> {
        for (int i = 0; i < 8; i++) {
          at(some(0, 30_000), () -> killLeader(some(0, 1_000)));
        }
        at(
            35_000,
            () -> {
              int first = world.random.nextInt(layout.nodes);
              controllers.forEach(
                  each -> kill(each, each.index == first ? some(0, 1_000) : some(2_000, 12_000)));
            });
      }
      case LATE_WRITES -> {
        store.lateWrites = 0.3;
        at(50_000, () -> store.lateWrites = 0);
        at(some(5_000, 25_000), () -> killLeader(some(0, 6_000)));
        at(some(25_000, 45_000), () -> refuseLeader(some(1_000, 6_000)));
      }
      case UNREACHED -> {
        List<String> away = someMachines(2);
        long millis = some(20_000, 70_000);
        if (world.random.nextBoolean()) {
          deafen(away, millis);
        } else {
          for (String machine : away) {
            for (int i = 0; i < layout.nodes; i++) {
              String node = host(i);
              world.cut(node, machine);
              at(millis, () -> world.heal(node, machine));
            }
          }
        }
        at(some(500, 15_000), () -> killLeader(some(0, 8_000)));
      }
      case ALONE -> aloneFor(some(20_000, 70_000));
      default -> throw new AssertionError(meeting);
    }
  }

  private void deafen(List<String> hosts, long millis) {
    world.deaf.addAll(hosts);
    at(millis, () -> hosts.forEach(world.deaf::remove));
  }

  private void step(int number) {
    String shape = number % 5 == 0 ? "service" : number % 5 == 3 ? "group" : "array";
    ObjectNode spec = work(shape, 1 + world.random.nextInt(shape.equals("group") ? 3 : 5));
    boolean together = shape.equals("group") && number % 2 == 0;
    spec.put("together", together).put("spread", !together && number % 7 == 0);
    if (number % 2 == 0 && !shape.equals("service")) {
      // Long enough to be there from before the troubles until after them.
      spec.put("guess_s", some(30, 110));
    }
    if (number % 3 == 0 && !shape.equals("service")) {
      // Services run on, and would fill this team's limit for good.
      spec.put("owner", "blue");
    }
    submit(spec);
    for (Rules.Known job : new ArrayList<>(rules.jobs.values())) {
      if (job.accepted && !job.cancelAsked && !job.isOver() && world.random.nextDouble() < CANCELS) {
        cancel(job);
      }
      if (world.random.nextInt(10) == 0) {
        ask(job);
      }
    }
    world.runFor(Duration.ofMillis(2_000));
  }

  void day(Layout of, long seed, Set<Meeting> meetings) {
    begin(of, seed);
    fleet.capacity = 20;
    int number = 0;
    for (; number < 14; number++) {
      step(number);
    }
    for (Meeting meeting : meetings) {
      meet(meeting);
      world.runFor(Duration.ofMillis(some(0, 4_000)));
    }
    for (; number < 45; number++) {
      step(number);
    }
    world.runFor(LONGEST.minusSeconds(60));
    rules.calmSince = world.now();
    world.runFor(TOLD);
    for (Rules.Known job : rules.jobs.values()) {
      assertTrue(!job.cancelAsked || job.isOver(), job.id + " was asked to be cancelled, and nothing was told");
    }
    settle(Duration.ofSeconds(400));
  }

  /**
   * A copy of each transaction is carried out again 2 to 12 s after it, the same leader still leading or
   * another, or none: whatever was executed once has no effect a second time. But for the notes on workers
   * that are kept, of which the newest counts, and which nothing but service depends on.
   */
  @Test
  void aTransactionThatWasExecutedHasNoEffectASecondTime() {
    begin(Layout.FLEET, 77);
    store.repeats = true;
    int number = 0;
    for (; number < 20; number++) {
      step(number);
    }
    killLeader(400);
    for (; number < 24; number++) {
      step(number);
    }
    // Two zones apart, so that leases are kept by one controller and submissions stored by another.
    aloneFor(25_000);
    for (; number < 45; number++) {
      step(number);
    }
    world.runFor(Duration.ofSeconds(60));
    settle(Duration.ofSeconds(400));
    Set<String> kinds =
        Set.of("accepted/", "placed/", "done/", "images/", "end/", "job/", "-job/", "inbox/", "-inbox/", "lead/");
    for (String kind : kinds) {
      assertTrue(store.repeated.getOrDefault(kind, 0) > 0, "no copy of " + kind + " in " + store.repeated);
    }
    store.repeatedWithEffect.remove("apart/");
    assertEquals(Map.of(), store.repeatedWithEffect);
  }

  /**
   * Found on the gap days of laval and galleharbour: in an outage for all that lasts for longer than leases
   * are kept from memory, what ran outside the leader's zone ended with its leases.
   */
  @ParameterizedTest
  @EnumSource(
      value = Layout.class,
      names = {"FLEET", "SHORT"})
  void nothingEndsInALongOutageThoughTheLeaderWasRefusedBefore(Layout of) {
    begin(of, 50);
    for (int i = 0; i < 8; i++) {
      submit(work("service", 3).put("spread", true));
    }
    world.runFor(Duration.ofSeconds(60));
    assertTrue(fleet.up().stream().map(w -> w.zone).distinct().count() > 1);
    List<String> machines = fleet.up().stream().map(w -> w.name).toList();
    refuseLeader(14_000);
    at(2_000, () -> outage(90_000));
    world.runFor(Duration.ofSeconds(130));
    assertEquals(0, fleet.endedByLease);
    // One may be returned for having no work, none for its silence.
    List<String> gone = machines.stream().filter(m -> !fleet.machines.containsKey(m)).toList();
    assertTrue(gone.size() <= 1, "returned: " + gone);
    settle(Duration.ofSeconds(20));
  }

  /** Milliseconds from the leader's end to that of whoever is there then: before, in and after an election. */
  static IntStream steps() {
    return IntStream.rangeClosed(0, 10).map(i -> 400 * i);
  }

  /** Whoever leads or is about to ends at each step of an election, and is back within a second. */
  @ParameterizedTest
  @MethodSource("steps")
  void controllersEndAndReturnAtEachStepOfAnElection(int step) {
    begin(Layout.SHORT, 30_000 + step);
    int number = 0;
    for (; number < 10; number++) {
      step(number);
    }
    int leader = leader();
    kill(controllers.get(leader), some(0, 1_000));
    at(
        step,
        () -> {
          int next = store.value("lead/holder") == null ? (leader + 1) % layout.nodes : leader();
          kill(controllers.get(next), some(0, 1_000));
          kill(controllers.get((next + 1) % layout.nodes), some(0, 200));
        });
    at(step + 600L, () -> controllers.forEach(each -> kill(each, each.index * some(0, 250))));
    for (; number < 18; number++) {
      step(number);
    }
    rules.calmSince = world.now();
    settle(Duration.ofSeconds(300));
  }

  /** Each meeting in two shapes; more seeds by hand with {@code -Dpineladder.meetings=100}. */
  static Stream<Arguments> alone() {
    return Stream.of(Meeting.values())
        .flatMap(m -> Stream.of(Layout.ONE_ZONE, Layout.SHORT).map(of -> List.of(m, of)))
        .flatMap(cell -> seeds().mapToObj(s -> Arguments.of(cell.get(0), cell.get(1), s)));
  }

  private static IntStream seeds() {
    int first = Integer.getInteger("pineladder.first", 0);
    return IntStream.range(first, first + Integer.getInteger("pineladder.meetings", 1));
  }

  @ParameterizedTest
  @MethodSource("alone")
  void theRulesHoldWhereTroublesMeet(Meeting meeting, Layout of, int seed) {
    day(of, 20_000 + 100L * seed + meeting.ordinal(), Set.of(meeting));
  }

  /** Three of the nine at a time, in turn, in all shapes; each seed takes three others. */
  static Stream<Arguments> together() {
    return seeds().boxed().flatMap(s -> IntStream.range(0, 9).mapToObj(i -> Arguments.of(i, s)));
  }

  @ParameterizedTest
  @MethodSource("together")
  void theRulesHoldWhereThreeMeet(int first, int seed) {
    Meeting[] all = Meeting.values();
    Set<Meeting> met = new TreeSet<>();
    met.add(all[first]);
    met.add(all[(first + 1 + seed % 8) % 9]);
    met.add(all[(first + 1 + (seed / 8 + 3 + seed) % 8) % 9]);
    Layout of = Layout.values()[(first + seed) % Layout.values().length];
    day(of, 400_000 + 100L * seed + first, met);
  }

  // ---- the checks of the checks

  @Test
  void whatIsToldTooSoonOrStartedUnstoredIsSeen() {
    begin(Layout.ONE_ZONE, 60);
    Rules.Known job = submit(work("service", 1));
    world.runFor(Duration.ofSeconds(60));
    FleetStandIn.Worker on =
        fleet.up().stream().filter(w -> !w.tasks.isEmpty()).findFirst().orElseThrow();
    FleetStandIn.Task task = on.tasks.values().iterator().next();
    rules.commanded(task, on);
    assertBroken("not_stored", () -> rules.commanded(new FleetStandIn.Task(task.piece, 999), on));
    job.cancelAsked = true;
    assertBroken("told_too_soon", () -> rules.told(job, "aborted"));
    assertBroken("told_too_soon", () -> rules.commanded(task, on));
  }

  private static void assertBroken(String rule, Executable wrong) {
    AssertionError seen = assertThrows(AssertionError.class, wrong);
    assertTrue(seen.getMessage().startsWith(rule), seen.getMessage());
  }
}
