package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Faults that coincide while users cancel and poll jobs. Each run also checks that no task of a job
 * is on any machine when the job is reported as cancelled.
 */
class FaultCombinationsTest extends FaultInjectionCluster {
  /** The combined faults; docs/fault-combinations.md has a row for each. */
  enum Combination {
    /**
     * The store rejects only the leader, a new leader confirms cancellations, then a long outage of
     * the store follows.
     */
    LEADER_REJECTED_THEN_OUTAGE,
    /** The store answers slowly, rejects the leader, then is unavailable. */
    SLOW_STORE_THEN_OUTAGE,
    /** Tasks of a job end far apart, across failovers. */
    TASKS_END_FAR_APART,
    /** Stale heartbeats arrive after newer ones, also of earlier agent epochs and attempts. */
    STALE_HEARTBEATS,
    /** Messages are delayed for seconds, and machines freeze and resume. */
    DELAYED_MESSAGES,
    /** Frequent failovers, then all controllers are killed and one restarts within a second. */
    FREQUENT_FAILOVERS,
    /** Transactions get no answer and are executed late, after newer ones. */
    LATE_TRANSACTIONS,
    /** The leader is killed while machines are unreachable or receive nothing. */
    UNREACHABLE_MACHINES,
    /** The leader is cut off from the store and its peers; a new leader cancels jobs. */
    ISOLATED_LEADER,
    /**
     * Users poll, resubmit and cancel at all nodes within milliseconds of each answer, across
     * failovers.
     */
    RAPID_POLLING,
    /** Transactions are executed but their answers are lost, while users poll all nodes. */
    LOST_STORE_ANSWERS,
    /** Teams are at their quota while jobs on partitioned or frozen machines are cancelled. */
    TEAMS_AT_QUOTA,
    /** Jobs are cancelled every 100 ms around failovers. */
    CANCELS_AT_FAILOVER,
    /** Machines boot within two seconds while store writes are late, across failovers. */
    FAST_BOOTS,
    /** Stale heartbeats reach every controller just as a new leader is elected. */
    STALE_HEARTBEATS_AT_FAILOVER,
    /** Four one-task jobs per second, a quarter of them cancelled. */
    MANY_SMALL_JOBS,
    /** Jobs that must run in one zone lose machines. */
    ZONE_CONSTRAINTS,
    /** Jobs are cancelled as the store rejects the leader; a second later a long outage begins. */
    CANCELS_AT_STORE_REJECTION,
    /** More work than capacity, of all priorities, over slow links. */
    OVERLOAD,
    /** Cancellations, polls and repeated submissions arrive as a job's last task completes. */
    REQUESTS_AT_COMPLETION,
    /** All controllers are down for longer than a worker lease. */
    ALL_CONTROLLERS_DOWN,
    /** Ten failovers in two minutes, some during a store outage. */
    TEN_FAILOVERS,
    /** A zone is partitioned for longer than a worker lease. */
    ZONE_PARTITION,
    /** Workers can't connect to any controller, but receive commands. */
    NO_HEARTBEATS
  }

  /** Machines per zone, enough for all work that is submitted at once. */
  private static final int MACHINES_PER_ZONE = 20;

  private static final Duration CANCELLATION_BOUND = Duration.ofSeconds(40);

  /** All faults have ended after this time. */
  private static final Duration FAULTS_END = CANCELLATION_BOUND.multipliedBy(4);

  /**
   * Bound, from the end of the last fault, on the report of a cancellation that had to wait until
   * no machine holds a task: within it a machine sends heartbeats again or is returned to the
   * cloud.
   */
  private static final Duration CANCELLATION_REPORT_BOUND = Duration.ofSeconds(75);

  private void inject(Combination combination) {
    switch (combination) {
      case LEADER_REJECTED_THEN_OUTAGE -> {
        String old = leading();
        long before = some(500, 20_000);
        refuseLeader(before + some(0, 30_000));
        // Some workers can reach only the old leader.
        for (String machine : someMachines(3)) {
          cutFor(List.of(machine), nodes().stream().filter(h -> !h.equals(old)).toList(), 90_000);
        }
        at(
            before,
            () ->
                outage(some(CANCELLATION_BOUND.toMillis() / 2, 3 * CANCELLATION_BOUND.toMillis())));
      }
      case SLOW_STORE_THEN_OUTAGE -> {
        store.slowMillis = 2_500;
        at(10_000, () -> refuseLeader(some(2_000, 15_000)));
        at(some(12_000, 25_000), () -> outage(some(15_000, 60_000)));
        at(70_000, () -> store.slowMillis = 0);
      }
      case TASKS_END_FAR_APART -> {
        for (int i = 0; i < 6; i++) {
          submit(
              work(i % 3 == 2 ? "group" : "array", 2 + i % 2).put("apart_ms", some(1_000, 25_000)));
          at(some(3_000, 60_000), () -> killLeader(some(0, 8_000)));
        }
      }
      case STALE_HEARTBEATS -> {
        fleet.copies = 0.4;
        at(60_000, () -> fleet.copies = 0);
        for (int i = 0; i < 3; i++) {
          at(some(3_000, 50_000), () -> deafen(someMachines(5), some(5_000, 25_000)));
          at(some(3_000, 50_000), () -> killLeader(some(0, 6_000)));
        }
      }
      case DELAYED_MESSAGES -> {
        world.held = 0.15;
        at(50_000, () -> world.held = 0);
        for (int i = 0; i < 12; i++) {
          at(
              some(0, 45_000),
              () -> someMachines(4).forEach(m -> world.freeze(m, some(500, 9_000))));
        }
        at(some(5_000, 45_000), () -> killLeader(some(0, 6_000)));
      }
      case FREQUENT_FAILOVERS -> {
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
      case LATE_TRANSACTIONS -> {
        store.lateWrites = 0.3;
        at(50_000, () -> store.lateWrites = 0);
        at(some(5_000, 25_000), () -> killLeader(some(0, 6_000)));
        at(some(25_000, 45_000), () -> refuseLeader(some(1_000, 6_000)));
      }
      case UNREACHABLE_MACHINES -> {
        List<String> away = someMachines(2);
        long millis = some(20_000, 70_000);
        if (world.random.nextBoolean()) {
          deafen(away, millis);
        } else {
          cutFor(away, nodes(), millis);
        }
        at(some(500, 15_000), () -> killLeader(some(0, 8_000)));
      }
      case ISOLATED_LEADER -> aloneFor(some(20_000, 70_000));
      case RAPID_POLLING -> {
        looksClosely = true;
        at(60_000, () -> looksClosely = false);
        for (int i = 0; i < 3; i++) {
          at(some(2_000, 50_000), () -> killLeader(some(0, 8_000)));
        }
      }
      case LOST_STORE_ANSWERS -> {
        looksClosely = true;
        store.unanswered = 0.3;
        at(
            50_000,
            () -> {
              looksClosely = false;
              store.unanswered = 0;
            });
        at(some(5_000, 45_000), () -> killLeader(some(0, 8_000)));
      }
      case TEAMS_AT_QUOTA -> {
        for (int i = 0; i < 10; i++) {
          submit(work("array", 4).put("owner", "blue").put("guess_s", some(20, 90)));
        }
        at(
            12_000,
            () -> {
              List<String> away = someMachines(2);
              away.forEach(
                  machine -> {
                    if (world.random.nextBoolean()) {
                      world.freeze(machine, some(5_000, 40_000));
                    } else {
                      cutFor(List.of(machine), nodes(), some(10_000, 60_000));
                    }
                  });
              at(some(0, 2_000), () -> cancelSome(0.6));
              at(some(0, 4_000), () -> killLeader(some(0, 8_000)));
              at(some(4_000, 12_000), () -> cancelSome(0.6));
            });
      }
      case CANCELS_AT_FAILOVER -> {
        at(3_000, () -> killLeader(some(0, 8_000)));
        for (int i = 0; i < 80; i++) {
          at(i * 100L, () -> cancelSome(0.03));
        }
        at(30_000, () -> killLeader(0));
        for (int i = 0; i < 80; i++) {
          at(27_000 + i * 100L, () -> cancelSome(0.03));
        }
      }
      case FAST_BOOTS -> {
        fleet.quickBoots = true;
        store.lateWrites = 0.2;
        for (int i = 0; i < 12; i++) {
          submit(work("array", 8));
        }
        at(some(1_000, 8_000), () -> killLeader(some(0, 6_000)));
        at(some(10_000, 20_000), () -> fleet.up().forEach(this::killWithLowProbability));
        at(some(15_000, 30_000), () -> killLeader(some(0, 6_000)));
        at(
            40_000,
            () -> {
              fleet.quickBoots = false;
              store.lateWrites = 0;
            });
      }
      case STALE_HEARTBEATS_AT_FAILOVER -> {
        fleet.copies = 0.4;
        fleet.keepsCopies = true;
        for (int i = 0; i < 3; i++) {
          at(some(10_000, 50_000), () -> killLeader(some(0, 6_000)));
        }
        at(some(5_000, 40_000), () -> deafen(someMachines(4), some(5_000, 25_000)));
        at(
            60_000,
            () -> {
              fleet.copies = 0;
              fleet.keepsCopies = false;
            });
      }
      case MANY_SMALL_JOBS -> {
        for (int i = 0; i < 200; i++) {
          at(
              i * 250L,
              () -> {
                SafetyRules.Known job = submit(work("array", 1).put("guess_s", some(3, 12)));
                if (world.random.nextInt(4) == 0) {
                  at(some(200, 9_000), () -> cancel(job));
                }
              });
        }
        at(some(15_000, 35_000), () -> killLeader(some(0, 6_000)));
      }
      case ZONE_CONSTRAINTS -> {
        for (int i = 0; i < 6; i++) {
          String shape = List.of("array", "service", "group").get(i % 3);
          ObjectNode spec =
              work(shape, 2 + i % 2).put("guess_s", shape.equals("service") ? 0 : some(20, 80));
          submit(i % 2 == 0 ? spec.put("yard", layout.zones.get(0)) : spec.put("together", true));
        }
        for (int i = 0; i < 4; i++) {
          at(some(5_000, 50_000), () -> fleet.up().forEach(this::killWithLowProbability));
        }
        at(some(5_000, 50_000), () -> killLeader(some(0, 6_000)));
        at(some(5_000, 30_000), () -> cutFor(someMachines(4), nodes(), some(10_000, 40_000)));
      }
      case CANCELS_AT_STORE_REJECTION -> {
        long refused = some(5_000, 40_000);
        at(
            5_000,
            () -> {
              refuseLeader(refused);
              cancelSome(0.3);
            });
        for (int i = 0; i < 20; i++) {
          at(4_900 + i * 60L, () -> cancelSome(0.05));
        }
        at(
            6_000,
            () -> outage(some(CANCELLATION_BOUND.toMillis(), 2 * CANCELLATION_BOUND.toMillis())));
      }
      case OVERLOAD -> {
        fleet.capacity = Math.max(2, fleet.up().size() / (2 * layout.zones.size()));
        world.held = 0.1;
        for (int i = 0; i < 25; i++) {
          ObjectNode spec =
              work(i % 4 == 0 ? "group" : "array", 2 + i % 3)
                  .put("rank", List.of("prod", "urgent", "standard", "low").get(i % 4))
                  .put("mark_every_s", i % 2 * 5.0)
                  .put("stow_s", i % 2 * 2.0);
          at(some(0, 40_000), () -> submit(spec));
        }
        at(
            60_000,
            () -> {
              world.held = 0;
              fleet.capacity = MACHINES_PER_ZONE;
            });
      }
      case REQUESTS_AT_COMPLETION -> {
        cancelledAtEnd = 0.7;
        meetEnds();
        for (int i = 0; i < 120; i++) {
          at(
              some(0, 50_000),
              () -> submit(work("array", 1 + world.random.nextInt(2)).put("guess_s", 3)));
        }
        at(70_000, () -> cancelledAtEnd = 0);
      }
      case ALL_CONTROLLERS_DOWN -> {
        long away = fleet.leaseMillis + some(1_000, 25_000);
        controllers.forEach(each -> kill(each, away + some(0, 3_000)));
        at(some(0, 3_000), () -> cancelSome(0.2));
      }
      case TEN_FAILOVERS -> {
        for (int i = 0; i < 10; i++) {
          at(some(i * 10_000L, i * 10_000L + 9_000), () -> killLeader(some(0, 4_000)));
        }
        at(some(20_000, 40_000), () -> outage(some(10_000, 50_000)));
      }
      case ZONE_PARTITION -> {
        String zone = layout.zones.get(world.random.nextInt(layout.zones.size()));
        cutZone(zone, fleet.leaseMillis + some(5_000, 60_000));
        at(some(0, 20_000), () -> cancelSome(0.3));
        at(some(5_000, 30_000), () -> killLeader(some(0, 6_000)));
      }
      case NO_HEARTBEATS -> {
        muteFor(someMachines(2), some(10_000, 60_000));
        at(some(1_000, 15_000), () -> cancelSome(0.3));
        at(some(5_000, 40_000), () -> killLeader(some(0, 6_000)));
      }
      default -> throw new AssertionError(combination);
    }
  }

  private void killWithLowProbability(FakeFleet.Worker worker) {
    if (world.random.nextInt(6) == 0) {
      fleet.die(worker);
    }
  }

  @Override
  void onStored(String key) {
    if (key.endsWith("lead/holder") && fleet.keepsCopies) {
      fleet.deliverKept();
    }
  }

  void runWithFaults(Layout layout, long seed, Set<Combination> combinations) {
    begin(layout, seed);
    fleet.capacity = MACHINES_PER_ZONE;
    int number = 0;
    for (; number < 14; number++) {
      step(number);
    }
    for (Combination combination : combinations) {
      inject(combination);
      world.runFor(Duration.ofMillis(some(0, 4_000)));
    }
    for (; number < 45; number++) {
      step(number);
    }
    world.runFor(FAULTS_END.minusSeconds(60));
    rules.calmSince = world.now();
    world.runFor(CANCELLATION_REPORT_BOUND);
    for (SafetyRules.Known job : rules.jobs.values()) {
      assertTrue(
          !job.cancelAsked || job.isOver(), job.id + " was cancelled and not reported as over");
    }
    settle(Duration.ofSeconds(400));
  }

  /**
   * Causes transactions of all kinds: jobs, a failover, and a partition in which one controller
   * renews leases and another stores submissions.
   */
  private void causeTransactionsOfAllKinds() {
    int number = 0;
    for (; number < 20; number++) {
      step(number);
    }
    killLeader(400);
    for (; number < 24; number++) {
      step(number);
    }
    aloneFor(25_000);
    for (; number < 45; number++) {
      step(number);
    }
  }

  /** Guards against effects of a transaction that is executed again 2 to 12 s later. */
  @Test
  void aTransactionThatWasExecutedHasNoEffectASecondTime() {
    begin(Layout.FLEET, 77);
    store.repeats = true;
    causeTransactionsOfAllKinds();
    world.runFor(Duration.ofSeconds(60));
    settle(Duration.ofSeconds(400));
    Set<String> kinds =
        Set.of(
            "accepted/",
            "placed/",
            "done/",
            "images/",
            "end/",
            "job/",
            "-job/",
            "inbox/",
            "-inbox/",
            "lead/",
            "apart/");
    for (String kind : kinds) {
      assertTrue(
          store.repeated.getOrDefault(kind, 0) > 0,
          "no repeated transaction for " + kind + " in " + store.repeated);
    }
    assertEquals(Map.of(), store.repeatedWithEffect);
  }

  /**
   * Guards against stale answers, and against a sender that mistakes its own executed transaction
   * for a conflicting one, when only the answer to a transaction is lost.
   */
  @Test
  void anAnswerThatIsLostIsNoRefusalAndNobodyElsesWork() {
    begin(Layout.SHORT, 79);
    store.unanswered = 0.3;
    looksClosely = true;
    causeTransactionsOfAllKinds();
    looksClosely = false;
    world.runFor(Duration.ofSeconds(30));
    store.unanswered = 0;
    world.runFor(Duration.ofSeconds(30));
    rules.calmSince = world.now();
    settle(Duration.ofSeconds(400));
    Set<String> kinds =
        Set.of(
            "accepted/",
            "placed/",
            "done/",
            "images/",
            "end/",
            "job/",
            "-job/",
            "inbox/",
            "-inbox/",
            "lead/");
    for (String kind : kinds) {
      assertTrue(
          store.unansweredKinds.getOrDefault(kind, 0) > 0,
          "no lost answer for " + kind + " in " + store.unansweredKinds);
    }
  }

  /**
   * Guards against lease expiry of tasks outside the leader's zone in a store outage that follows a
   * rejection of the leader.
   */
  @ParameterizedTest
  @EnumSource(
      value = Layout.class,
      names = {"FLEET", "SHORT"})
  void keepsTasksInLongOutageAfterRejectionOfLeader(Layout layout) {
    begin(layout, 50);
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
    // One machine may be returned because it is idle, but none because it is unreachable.
    List<String> gone = machines.stream().filter(m -> !fleet.machines.containsKey(m)).toList();
    assertTrue(gone.size() <= 1, "machines returned: " + gone);
    settle(Duration.ofSeconds(20));
  }

  /** Delays in milliseconds from the kill of the leader to the next kill, around an election. */
  static IntStream killDelaysMillis() {
    return IntStream.rangeClosed(0, 10).map(i -> 400 * i);
  }

  /** Guards against broken rules when candidates are killed at any time during an election. */
  @ParameterizedTest
  @MethodSource("killDelaysMillis")
  void recoversFromKillsDuringElection(int delayMillis) {
    begin(Layout.SHORT, 30_000 + delayMillis);
    int number = 0;
    for (; number < 10; number++) {
      step(number);
    }
    int leader = leader();
    kill(controllers.get(leader), some(0, 1_000));
    at(
        delayMillis,
        () -> {
          int next = store.value("lead/holder") == null ? (leader + 1) % layout.nodes : leader();
          kill(controllers.get(next), some(0, 1_000));
          kill(controllers.get((next + 1) % layout.nodes), some(0, 200));
        });
    at(
        delayMillis + 600L,
        () -> controllers.forEach(each -> kill(each, each.index * some(0, 250))));
    for (; number < 18; number++) {
      step(number);
    }
    rules.calmSince = world.now();
    settle(Duration.ofMinutes(5));
  }

  /** Each combination in two layouts; more seeds with {@code -Dpineladder.combinations=100}. */
  static Stream<Arguments> singleCombinations() {
    return Stream.of(Combination.values())
        .flatMap(m -> Stream.of(Layout.ONE_ZONE, Layout.SHORT).map(layout -> List.of(m, layout)))
        .flatMap(cell -> seeds().mapToObj(s -> Arguments.of(cell.get(0), cell.get(1), s)));
  }

  private static IntStream seeds() {
    int first = Integer.getInteger("pineladder.first", 0);
    return IntStream.range(first, first + Integer.getInteger("pineladder.combinations", 1));
  }

  @ParameterizedTest
  @MethodSource("singleCombinations")
  void keepsRulesUnderFaultCombination(Combination combination, Layout layout, int seed) {
    runWithFaults(layout, 20_000 + 100L * seed + combination.ordinal(), Set.of(combination));
  }

  /** Three combinations at a time, once for each as the first; the others depend on the seed. */
  static Stream<Arguments> tripleCombinations() {
    return seeds()
        .boxed()
        .flatMap(
            s -> IntStream.range(0, Combination.values().length).mapToObj(i -> Arguments.of(i, s)));
  }

  @ParameterizedTest
  @MethodSource("tripleCombinations")
  void theRulesHoldWhereThreeMeet(int first, int seed) {
    Combination[] all = Combination.values();
    Set<Combination> combinations = new TreeSet<>();
    combinations.add(all[first]);
    int others = all.length - 1;
    combinations.add(all[(first + 1 + (5 * seed + 2) % others) % all.length]);
    combinations.add(all[(first + 1 + (seed / others + 7 * seed + 11) % others) % all.length]);
    Layout layout = Layout.values()[(first + seed) % Layout.values().length];
    runWithFaults(layout, 400_000 + 100L * seed + first, combinations);
  }
}
