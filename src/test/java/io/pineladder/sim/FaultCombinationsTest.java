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
     * The store rejects only the leader and a new leader confirms cancellations; then a long outage
     * of the store begins.
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
    /**
     * Frequent failovers; then all controllers are killed, and one of them restarts within a
     * second.
     */
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
    NO_HEARTBEATS,
    /**
     * Copies of executed commands arrive up to minutes later, across failovers, a restart of all
     * controllers within a second, and machines that are cut off.
     */
    COPIED_COMMANDS
  }

  /** Machines per zone, enough for all work that is submitted at once. */
  private static final int MACHINES_PER_ZONE = 20;

  private static final Duration CANCELLATION_BOUND = Duration.ofSeconds(40);

  /** All faults end within this time after the first one. */
  private static final Duration FAULTS_END = CANCELLATION_BOUND.multipliedBy(4);

  /**
   * Maximum time from the end of all faults until each cancellation is shown to users. It is shown
   * once no machine can hold a task of the job: within this time, each machine sends heartbeats
   * again or is released.
   */
  private static final Duration CANCELLATION_REPORT_TIMEOUT = Duration.ofSeconds(75);

  private void inject(Combination combination) {
    switch (combination) {
      case LEADER_REJECTED_THEN_OUTAGE -> {
        String oldLeader = leaderHost();
        long delayMillis = randomBetween(500, 20_000);
        rejectLeaderAtStore(delayMillis + randomBetween(0, 30_000));
        // Some workers can reach only the old leader.
        for (String machine : randomMachines(3)) {
          cutTemporarily(
              List.of(machine),
              controllerHosts().stream().filter(h -> !h.equals(oldLeader)).toList(),
              90_000);
        }
        schedule(
            delayMillis,
            () ->
                storeOutage(
                    randomBetween(
                        CANCELLATION_BOUND.toMillis() / 2, 3 * CANCELLATION_BOUND.toMillis())));
      }
      case SLOW_STORE_THEN_OUTAGE -> {
        store.maxAnswerDelayMillis = 2_500;
        schedule(10_000, () -> rejectLeaderAtStore(randomBetween(2_000, 15_000)));
        schedule(randomBetween(12_000, 25_000), () -> storeOutage(randomBetween(15_000, 60_000)));
        schedule(70_000, () -> store.maxAnswerDelayMillis = 0);
      }
      case TASKS_END_FAR_APART -> {
        for (int i = 0; i < 6; i++) {
          submit(
              simpleJobSpec(i % 3 == 2 ? "group" : "array", 2 + i % 2)
                  .put("apart_ms", randomBetween(1_000, 25_000)));
          schedule(randomBetween(3_000, 60_000), () -> killLeader(randomBetween(0, 8_000)));
        }
      }
      case STALE_HEARTBEATS -> {
        fleet.duplicateHeartbeatRate = 0.4;
        schedule(60_000, () -> fleet.duplicateHeartbeatRate = 0);
        for (int i = 0; i < 3; i++) {
          schedule(
              randomBetween(3_000, 50_000),
              () -> makeUnreachable(randomMachines(5), randomBetween(5_000, 25_000)));
          schedule(randomBetween(3_000, 50_000), () -> killLeader(randomBetween(0, 6_000)));
        }
      }
      case DELAYED_MESSAGES -> {
        world.delayRate = 0.15;
        schedule(50_000, () -> world.delayRate = 0);
        for (int i = 0; i < 12; i++) {
          schedule(
              randomBetween(0, 45_000),
              () -> randomMachines(4).forEach(m -> world.freeze(m, randomBetween(500, 9_000))));
        }
        schedule(randomBetween(5_000, 45_000), () -> killLeader(randomBetween(0, 6_000)));
      }
      case FREQUENT_FAILOVERS -> {
        for (int i = 0; i < 8; i++) {
          schedule(randomBetween(0, 30_000), () -> killLeader(randomBetween(0, 1_000)));
        }
        schedule(
            35_000,
            () -> {
              int first = world.random.nextInt(layout.nodes);
              controllers.forEach(
                  each ->
                      kill(
                          each,
                          each.index == first
                              ? randomBetween(0, 1_000)
                              : randomBetween(2_000, 12_000)));
            });
      }
      case LATE_TRANSACTIONS -> {
        store.delayedTransactionRate = 0.3;
        schedule(50_000, () -> store.delayedTransactionRate = 0);
        schedule(randomBetween(5_000, 25_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            randomBetween(25_000, 45_000), () -> rejectLeaderAtStore(randomBetween(1_000, 6_000)));
      }
      case UNREACHABLE_MACHINES -> {
        List<String> machines = randomMachines(2);
        long millis = randomBetween(20_000, 70_000);
        if (world.random.nextBoolean()) {
          makeUnreachable(machines, millis);
        } else {
          cutTemporarily(machines, controllerHosts(), millis);
        }
        schedule(randomBetween(500, 15_000), () -> killLeader(randomBetween(0, 8_000)));
      }
      case ISOLATED_LEADER -> isolateLeader(randomBetween(20_000, 70_000));
      case RAPID_POLLING -> {
        sendsRequestBursts = true;
        schedule(60_000, () -> sendsRequestBursts = false);
        for (int i = 0; i < 3; i++) {
          schedule(randomBetween(2_000, 50_000), () -> killLeader(randomBetween(0, 8_000)));
        }
      }
      case LOST_STORE_ANSWERS -> {
        sendsRequestBursts = true;
        store.lostAnswerRate = 0.3;
        schedule(
            50_000,
            () -> {
              sendsRequestBursts = false;
              store.lostAnswerRate = 0;
            });
        schedule(randomBetween(5_000, 45_000), () -> killLeader(randomBetween(0, 8_000)));
      }
      case TEAMS_AT_QUOTA -> {
        for (int i = 0; i < 10; i++) {
          submit(
              simpleJobSpec("array", 4).put("owner", "blue").put("guess_s", randomBetween(20, 90)));
        }
        schedule(
            12_000,
            () -> {
              List<String> machines = randomMachines(2);
              machines.forEach(
                  machine -> {
                    if (world.random.nextBoolean()) {
                      world.freeze(machine, randomBetween(5_000, 40_000));
                    } else {
                      cutTemporarily(
                          List.of(machine), controllerHosts(), randomBetween(10_000, 60_000));
                    }
                  });
              schedule(randomBetween(0, 2_000), () -> cancelRandomJobs(0.6));
              schedule(randomBetween(0, 4_000), () -> killLeader(randomBetween(0, 8_000)));
              schedule(randomBetween(4_000, 12_000), () -> cancelRandomJobs(0.6));
            });
      }
      case CANCELS_AT_FAILOVER -> {
        schedule(3_000, () -> killLeader(randomBetween(0, 8_000)));
        for (int i = 0; i < 80; i++) {
          schedule(i * 100L, () -> cancelRandomJobs(0.03));
        }
        schedule(30_000, () -> killLeader(0));
        for (int i = 0; i < 80; i++) {
          schedule(27_000 + i * 100L, () -> cancelRandomJobs(0.03));
        }
      }
      case FAST_BOOTS -> {
        fleet.fastBoots = true;
        store.delayedTransactionRate = 0.2;
        for (int i = 0; i < 12; i++) {
          submit(simpleJobSpec("array", 8));
        }
        schedule(randomBetween(1_000, 8_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            randomBetween(10_000, 20_000),
            () -> fleet.runningWorkers().forEach(this::killWithLowProbability));
        schedule(randomBetween(15_000, 30_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            40_000,
            () -> {
              fleet.fastBoots = false;
              store.delayedTransactionRate = 0;
            });
      }
      case STALE_HEARTBEATS_AT_FAILOVER -> {
        fleet.duplicateHeartbeatRate = 0.4;
        fleet.retainsHeartbeatCopies = true;
        for (int i = 0; i < 3; i++) {
          schedule(randomBetween(10_000, 50_000), () -> killLeader(randomBetween(0, 6_000)));
        }
        schedule(
            randomBetween(5_000, 40_000),
            () -> makeUnreachable(randomMachines(4), randomBetween(5_000, 25_000)));
        schedule(
            60_000,
            () -> {
              fleet.duplicateHeartbeatRate = 0;
              fleet.retainsHeartbeatCopies = false;
            });
      }
      case MANY_SMALL_JOBS -> {
        for (int i = 0; i < 200; i++) {
          schedule(
              i * 250L,
              () -> {
                SafetyRules.TrackedJob job =
                    submit(simpleJobSpec("array", 1).put("guess_s", randomBetween(3, 12)));
                if (world.random.nextInt(4) == 0) {
                  schedule(randomBetween(200, 9_000), () -> cancel(job));
                }
              });
        }
        schedule(randomBetween(15_000, 35_000), () -> killLeader(randomBetween(0, 6_000)));
      }
      case ZONE_CONSTRAINTS -> {
        for (int i = 0; i < 6; i++) {
          String shape = List.of("array", "service", "group").get(i % 3);
          ObjectNode spec =
              simpleJobSpec(shape, 2 + i % 2)
                  .put("guess_s", shape.equals("service") ? 0 : randomBetween(20, 80));
          submit(i % 2 == 0 ? spec.put("yard", layout.zones.get(0)) : spec.put("together", true));
        }
        for (int i = 0; i < 4; i++) {
          schedule(
              randomBetween(5_000, 50_000),
              () -> fleet.runningWorkers().forEach(this::killWithLowProbability));
        }
        schedule(randomBetween(5_000, 50_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            randomBetween(5_000, 30_000),
            () ->
                cutTemporarily(
                    randomMachines(4), controllerHosts(), randomBetween(10_000, 40_000)));
      }
      case CANCELS_AT_STORE_REJECTION -> {
        long rejectionMillis = randomBetween(5_000, 40_000);
        schedule(
            5_000,
            () -> {
              rejectLeaderAtStore(rejectionMillis);
              cancelRandomJobs(0.3);
            });
        for (int i = 0; i < 20; i++) {
          schedule(4_900 + i * 60L, () -> cancelRandomJobs(0.05));
        }
        schedule(
            6_000,
            () ->
                storeOutage(
                    randomBetween(
                        CANCELLATION_BOUND.toMillis(), 2 * CANCELLATION_BOUND.toMillis())));
      }
      case OVERLOAD -> {
        fleet.zoneCapacity = Math.max(2, fleet.runningWorkers().size() / (2 * layout.zones.size()));
        world.delayRate = 0.1;
        for (int i = 0; i < 25; i++) {
          ObjectNode spec =
              simpleJobSpec(i % 4 == 0 ? "group" : "array", 2 + i % 3)
                  .put("rank", List.of("prod", "urgent", "standard", "low").get(i % 4))
                  .put("mark_every_s", i % 2 * 5.0)
                  .put("stow_s", i % 2 * 2.0);
          schedule(randomBetween(0, 40_000), () -> submit(spec));
        }
        schedule(
            60_000,
            () -> {
              world.delayRate = 0;
              fleet.zoneCapacity = MACHINES_PER_ZONE;
            });
      }
      case REQUESTS_AT_COMPLETION -> {
        cancelAtEndRate = 0.7;
        cancelJobsAtEnd();
        for (int i = 0; i < 120; i++) {
          schedule(
              randomBetween(0, 50_000),
              () -> submit(simpleJobSpec("array", 1 + world.random.nextInt(2)).put("guess_s", 3)));
        }
        schedule(70_000, () -> cancelAtEndRate = 0);
      }
      case ALL_CONTROLLERS_DOWN -> {
        long downtimeMillis = fleet.leaseMillis + randomBetween(1_000, 25_000);
        controllers.forEach(each -> kill(each, downtimeMillis + randomBetween(0, 3_000)));
        schedule(randomBetween(0, 3_000), () -> cancelRandomJobs(0.2));
      }
      case TEN_FAILOVERS -> {
        for (int i = 0; i < 10; i++) {
          schedule(
              randomBetween(i * 10_000L, i * 10_000L + 9_000),
              () -> killLeader(randomBetween(0, 4_000)));
        }
        schedule(randomBetween(20_000, 40_000), () -> storeOutage(randomBetween(10_000, 50_000)));
      }
      case ZONE_PARTITION -> {
        String zone = layout.zones.get(world.random.nextInt(layout.zones.size()));
        cutZone(zone, fleet.leaseMillis + randomBetween(5_000, 60_000));
        schedule(randomBetween(0, 20_000), () -> cancelRandomJobs(0.3));
        schedule(randomBetween(5_000, 30_000), () -> killLeader(randomBetween(0, 6_000)));
      }
      case NO_HEARTBEATS -> {
        blockOutgoing(randomMachines(2), randomBetween(10_000, 60_000));
        schedule(randomBetween(1_000, 15_000), () -> cancelRandomJobs(0.3));
        schedule(randomBetween(5_000, 40_000), () -> killLeader(randomBetween(0, 6_000)));
      }
      case COPIED_COMMANDS -> {
        fleet.copiedCommandRate = 1;
        for (int i = 0; i < 40; i++) {
          schedule(
              randomBetween(0, 50_000),
              () -> submit(simpleJobSpec("array", 3).put("guess_s", randomBetween(1, 9))));
        }
        for (int i = 0; i < 3; i++) {
          schedule(randomBetween(2_000, 60_000), () -> killLeader(randomBetween(0, 4_000)));
        }
        schedule(
            randomBetween(10_000, 60_000),
            () -> controllers.forEach(each -> kill(each, randomBetween(100, 1_000))));
        schedule(
            randomBetween(2_000, 60_000),
            () -> makeUnreachable(randomMachines(3), randomBetween(1_000, 25_000)));
      }
      default -> throw new AssertionError(combination);
    }
  }

  private void killWithLowProbability(FakeFleet.Worker worker) {
    if (world.random.nextInt(6) == 0) {
      fleet.failMachine(worker);
    }
  }

  @Override
  void onStoreChange(String key) {
    if (key.endsWith("lead/holder") && fleet.retainsHeartbeatCopies) {
      fleet.deliverRetainedHeartbeats();
    }
  }

  void runWithFaults(Layout layout, long seed, Set<Combination> combinations) {
    begin(layout, seed);
    fleet.zoneCapacity = MACHINES_PER_ZONE;
    int number = 0;
    for (; number < 14; number++) {
      runWorkloadStep(number);
    }
    for (Combination combination : combinations) {
      inject(combination);
      world.runFor(Duration.ofMillis(randomBetween(0, 4_000)));
    }
    for (; number < 45; number++) {
      runWorkloadStep(number);
    }
    world.runFor(FAULTS_END.minusSeconds(60));
    rules.faultsEndedAt = world.now();
    world.runFor(CANCELLATION_REPORT_TIMEOUT);
    for (SafetyRules.TrackedJob job : rules.jobs.values()) {
      assertTrue(
          !job.cancelRequested || job.isFinished(),
          job.id + " was cancelled and not reported as over");
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
      runWorkloadStep(number);
    }
    killLeader(400);
    for (; number < 24; number++) {
      runWorkloadStep(number);
    }
    isolateLeader(25_000);
    for (; number < 45; number++) {
      runWorkloadStep(number);
    }
  }

  /** Guards against effects of a transaction that is executed again 2 to 12 s later. */
  @Test
  void ignoresRepeatedTransactions() {
    begin(Layout.FLEET, 77);
    store.replaysTransactions = true;
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
          store.replaysByPrefix.getOrDefault(kind, 0) > 0,
          "no repeated transaction for " + kind + " in " + store.replaysByPrefix);
    }
    assertEquals(Map.of(), store.effectiveReplaysByPrefix);
  }

  /**
   * Guards against stale answers, and against a sender that mistakes its own executed transaction
   * for a conflicting one, when only the answer to a transaction is lost.
   */
  @Test
  void toleratesLostStoreAnswers() {
    begin(Layout.SHORT, 79);
    store.lostAnswerRate = 0.3;
    sendsRequestBursts = true;
    causeTransactionsOfAllKinds();
    sendsRequestBursts = false;
    world.runFor(Duration.ofSeconds(30));
    store.lostAnswerRate = 0;
    world.runFor(Duration.ofSeconds(30));
    rules.faultsEndedAt = world.now();
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
          store.lostAnswersByPrefix.getOrDefault(kind, 0) > 0,
          "no lost answer for " + kind + " in " + store.lostAnswersByPrefix);
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
      submit(simpleJobSpec("service", 3).put("spread", true));
    }
    world.runFor(Duration.ofSeconds(60));
    assertTrue(fleet.runningWorkers().stream().map(w -> w.zone).distinct().count() > 1);
    List<String> machines = fleet.runningWorkers().stream().map(w -> w.name).toList();
    rejectLeaderAtStore(14_000);
    schedule(2_000, () -> storeOutage(90_000));
    world.runFor(Duration.ofSeconds(130));
    assertEquals(0, fleet.tasksEndedByLeaseExpiry);
    // One machine may be released because it is idle, but none because it is unreachable.
    List<String> gone = machines.stream().filter(m -> !fleet.machines.containsKey(m)).toList();
    assertTrue(gone.size() <= 1, "machines released: " + gone);
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
      runWorkloadStep(number);
    }
    int leader = leaderIndex();
    kill(controllers.get(leader), randomBetween(0, 1_000));
    schedule(
        delayMillis,
        () -> {
          int next =
              store.value("lead/holder") == null ? (leader + 1) % layout.nodes : leaderIndex();
          kill(controllers.get(next), randomBetween(0, 1_000));
          kill(controllers.get((next + 1) % layout.nodes), randomBetween(0, 200));
        });
    schedule(
        delayMillis + 600L,
        () -> controllers.forEach(each -> kill(each, each.index * randomBetween(0, 250))));
    for (; number < 18; number++) {
      runWorkloadStep(number);
    }
    rules.faultsEndedAt = world.now();
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
  void keepsRulesUnderThreeFaultCombinations(int first, int seed) {
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
