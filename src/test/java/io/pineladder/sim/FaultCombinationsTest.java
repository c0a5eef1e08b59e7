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
 * Two troubles that meet, while users cancel and ask. Beside the rules each of these days asks for
 * the promise behind them: nothing of a job is on any machine when its user is told that it is
 * cancelled.
 */
class FaultCombinationsTest extends FaultInjectionCluster {
  /** What meets; the rows of docs/fault-combinations.md. */
  enum Combination {
    /**
     * The leader alone is refused, another confirms cancellations, then nobody is served for long.
     */
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
    ALONE,
    /**
     * Users ask at all nodes within milliseconds of each answer, submit again, some cancel; the
     * leader ends.
     */
    CLOSE_LOOKS,
    /**
     * Transactions are carried out at once and only the answer is lost, while users look closely.
     */
    ANSWERS_LOST,
    /**
     * Every team is at its limit, jobs are cancelled whose machines are cut off or hang, the leader
     * changes.
     */
    AT_LIMIT,
    /** Jobs are cancelled every 100 ms from before the leader changes until after. */
    CANCELS_AT_HANDOVER,
    /** Machines are up within two seconds and get work while writes lag, and the leader ends. */
    QUICK_BOOTS,
    /** Old reports reach every controller just as a new leader begins. */
    REPORTS_FOR_NEXT,
    /** One-task jobs, four a second, a quarter of them cancelled. */
    SWARM,
    /** Jobs bound to one zone lose machines. */
    BOUND_TO_ZONE,
    /**
     * Jobs are cancelled as the state service refuses the leader; a second later it is out for
     * long.
     */
    CANCELS_AT_REFUSAL,
    /** More work than room, urgent and not, over slow links. */
    PRESSURE,
    /** A cancellation, a question and a repeated submission meet the end of a job's last task. */
    AT_THE_END,
    /** All controllers are away for longer than a lease. */
    ALL_AWAY,
    /** Leaders change ten times in two minutes, also inside an outage. */
    TEN_LEADERS,
    /** A zone with workers and a controller is cut off for longer than a lease. */
    ZONE_CUT,
    /** Workers can't open connections to any controller, while direct commands still reach them. */
    MUTE
  }

  /** Machines of a zone at most: room for all that the days ask for at once. */
  private static final int CAPACITY = 20;

  private static final Duration CANCEL = Duration.ofSeconds(40);

  /** The last trouble is over by then. */
  private static final Duration LONGEST = CANCEL.multipliedBy(4);

  /**
   * A cancellation that waits for proof is told so long after the last trouble: a machine that was
   * out of reach is heard within a few reports, or it is returned.
   */
  private static final Duration TOLD = Duration.ofSeconds(75);

  private void strike(Combination combination) {
    switch (combination) {
      case GAP -> {
        String old = leaderHost();
        long before = randomBetween(500, 20_000);
        rejectLeaderAtStore(before + randomBetween(0, 30_000));
        // Some workers are left to the old leader: no other controller reaches them.
        for (String machine : randomMachines(3)) {
          cutTemporarily(
              List.of(machine),
              controllerHosts().stream().filter(h -> !h.equals(old)).toList(),
              90_000);
        }
        schedule(
            before, () -> storeOutage(randomBetween(CANCEL.toMillis() / 2, 3 * CANCEL.toMillis())));
      }
      case SLOW_THEN_OUT -> {
        store.maxAnswerDelayMillis = 2_500;
        schedule(10_000, () -> rejectLeaderAtStore(randomBetween(2_000, 15_000)));
        schedule(randomBetween(12_000, 25_000), () -> storeOutage(randomBetween(15_000, 60_000)));
        schedule(70_000, () -> store.maxAnswerDelayMillis = 0);
      }
      case ENDS_FAR_APART -> {
        for (int i = 0; i < 6; i++) {
          submit(
              simpleJobSpec(i % 3 == 2 ? "group" : "array", 2 + i % 2)
                  .put("apart_ms", randomBetween(1_000, 25_000)));
          schedule(randomBetween(3_000, 60_000), () -> killLeader(randomBetween(0, 8_000)));
        }
      }
      case OLD_REPORTS -> {
        fleet.duplicateReportRate = 0.4;
        schedule(60_000, () -> fleet.duplicateReportRate = 0);
        for (int i = 0; i < 3; i++) {
          schedule(
              randomBetween(3_000, 50_000),
              () -> makeUnreachable(randomMachines(5), randomBetween(5_000, 25_000)));
          schedule(randomBetween(3_000, 50_000), () -> killLeader(randomBetween(0, 6_000)));
        }
      }
      case HELD_UP -> {
        world.delayRate = 0.15;
        schedule(50_000, () -> world.delayRate = 0);
        for (int i = 0; i < 12; i++) {
          schedule(
              randomBetween(0, 45_000),
              () -> randomMachines(4).forEach(m -> world.freeze(m, randomBetween(500, 9_000))));
        }
        schedule(randomBetween(5_000, 45_000), () -> killLeader(randomBetween(0, 6_000)));
      }
      case HANDOVERS -> {
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
      case LATE_WRITES -> {
        store.delayedTransactionRate = 0.3;
        schedule(50_000, () -> store.delayedTransactionRate = 0);
        schedule(randomBetween(5_000, 25_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            randomBetween(25_000, 45_000), () -> rejectLeaderAtStore(randomBetween(1_000, 6_000)));
      }
      case UNREACHED -> {
        List<String> away = randomMachines(2);
        long millis = randomBetween(20_000, 70_000);
        if (world.random.nextBoolean()) {
          makeUnreachable(away, millis);
        } else {
          cutTemporarily(away, controllerHosts(), millis);
        }
        schedule(randomBetween(500, 15_000), () -> killLeader(randomBetween(0, 8_000)));
      }
      case ALONE -> isolateLeader(randomBetween(20_000, 70_000));
      case CLOSE_LOOKS -> {
        sendsRequestBursts = true;
        schedule(60_000, () -> sendsRequestBursts = false);
        for (int i = 0; i < 3; i++) {
          schedule(randomBetween(2_000, 50_000), () -> killLeader(randomBetween(0, 8_000)));
        }
      }
      case ANSWERS_LOST -> {
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
      case AT_LIMIT -> {
        for (int i = 0; i < 10; i++) {
          submit(
              simpleJobSpec("array", 4).put("owner", "blue").put("guess_s", randomBetween(20, 90)));
        }
        schedule(
            12_000,
            () -> {
              List<String> away = randomMachines(2);
              away.forEach(
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
      case CANCELS_AT_HANDOVER -> {
        schedule(3_000, () -> killLeader(randomBetween(0, 8_000)));
        for (int i = 0; i < 80; i++) {
          schedule(i * 100L, () -> cancelRandomJobs(0.03));
        }
        schedule(30_000, () -> killLeader(0));
        for (int i = 0; i < 80; i++) {
          schedule(27_000 + i * 100L, () -> cancelRandomJobs(0.03));
        }
      }
      case QUICK_BOOTS -> {
        fleet.fastBoots = true;
        store.delayedTransactionRate = 0.2;
        for (int i = 0; i < 12; i++) {
          submit(simpleJobSpec("array", 8));
        }
        schedule(randomBetween(1_000, 8_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            randomBetween(10_000, 20_000), () -> fleet.runningWorkers().forEach(this::perhapsDies));
        schedule(randomBetween(15_000, 30_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            40_000,
            () -> {
              fleet.fastBoots = false;
              store.delayedTransactionRate = 0;
            });
      }
      case REPORTS_FOR_NEXT -> {
        fleet.duplicateReportRate = 0.4;
        fleet.retainsReportCopies = true;
        for (int i = 0; i < 3; i++) {
          schedule(randomBetween(10_000, 50_000), () -> killLeader(randomBetween(0, 6_000)));
        }
        schedule(
            randomBetween(5_000, 40_000),
            () -> makeUnreachable(randomMachines(4), randomBetween(5_000, 25_000)));
        schedule(
            60_000,
            () -> {
              fleet.duplicateReportRate = 0;
              fleet.retainsReportCopies = false;
            });
      }
      case SWARM -> {
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
      case BOUND_TO_ZONE -> {
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
              () -> fleet.runningWorkers().forEach(this::perhapsDies));
        }
        schedule(randomBetween(5_000, 50_000), () -> killLeader(randomBetween(0, 6_000)));
        schedule(
            randomBetween(5_000, 30_000),
            () ->
                cutTemporarily(
                    randomMachines(4), controllerHosts(), randomBetween(10_000, 40_000)));
      }
      case CANCELS_AT_REFUSAL -> {
        long refused = randomBetween(5_000, 40_000);
        schedule(
            5_000,
            () -> {
              rejectLeaderAtStore(refused);
              cancelRandomJobs(0.3);
            });
        for (int i = 0; i < 20; i++) {
          schedule(4_900 + i * 60L, () -> cancelRandomJobs(0.05));
        }
        schedule(6_000, () -> storeOutage(randomBetween(CANCEL.toMillis(), 2 * CANCEL.toMillis())));
      }
      case PRESSURE -> {
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
              fleet.zoneCapacity = CAPACITY;
            });
      }
      case AT_THE_END -> {
        cancelAtEndRate = 0.7;
        cancelJobsAtEnd();
        for (int i = 0; i < 120; i++) {
          schedule(
              randomBetween(0, 50_000),
              () -> submit(simpleJobSpec("array", 1 + world.random.nextInt(2)).put("guess_s", 3)));
        }
        schedule(70_000, () -> cancelAtEndRate = 0);
      }
      case ALL_AWAY -> {
        long away = fleet.leaseMillis + randomBetween(1_000, 25_000);
        controllers.forEach(each -> kill(each, away + randomBetween(0, 3_000)));
        schedule(randomBetween(0, 3_000), () -> cancelRandomJobs(0.2));
      }
      case TEN_LEADERS -> {
        for (int i = 0; i < 10; i++) {
          schedule(
              randomBetween(i * 10_000L, i * 10_000L + 9_000),
              () -> killLeader(randomBetween(0, 4_000)));
        }
        schedule(randomBetween(20_000, 40_000), () -> storeOutage(randomBetween(10_000, 50_000)));
      }
      case ZONE_CUT -> {
        String zone = layout.zones.get(world.random.nextInt(layout.zones.size()));
        cutZone(zone, fleet.leaseMillis + randomBetween(5_000, 60_000));
        schedule(randomBetween(0, 20_000), () -> cancelRandomJobs(0.3));
        schedule(randomBetween(5_000, 30_000), () -> killLeader(randomBetween(0, 6_000)));
      }
      case MUTE -> {
        blockOutgoing(randomMachines(2), randomBetween(10_000, 60_000));
        schedule(randomBetween(1_000, 15_000), () -> cancelRandomJobs(0.3));
        schedule(randomBetween(5_000, 40_000), () -> killLeader(randomBetween(0, 6_000)));
      }
      default -> throw new AssertionError(combination);
    }
  }

  private void perhapsDies(FakeFleet.Worker worker) {
    if (world.random.nextInt(6) == 0) {
      fleet.failMachine(worker);
    }
  }

  @Override
  void onStoreChange(String key) {
    if (key.endsWith("lead/holder") && fleet.retainsReportCopies) {
      fleet.deliverRetainedReports();
    }
  }

  void day(Layout of, long seed, Set<Combination> combinations) {
    begin(of, seed);
    fleet.zoneCapacity = CAPACITY;
    int number = 0;
    for (; number < 14; number++) {
      runStep(number);
    }
    for (Combination combination : combinations) {
      strike(combination);
      world.runFor(Duration.ofMillis(randomBetween(0, 4_000)));
    }
    for (; number < 45; number++) {
      runStep(number);
    }
    world.runFor(LONGEST.minusSeconds(60));
    rules.faultsEndedAt = world.now();
    world.runFor(TOLD);
    for (SafetyRules.TrackedJob job : rules.jobs.values()) {
      assertTrue(
          !job.cancelRequested || job.isFinished(),
          job.id + " was asked to be cancelled, and nothing was told");
    }
    settle(Duration.ofSeconds(400));
  }

  /**
   * Has transactions of all kinds committed: work, a change of leader, and two parts apart, so that
   * leases are kept by one controller and submissions stored by another.
   */
  private void changesOfAllKinds() {
    int number = 0;
    for (; number < 20; number++) {
      runStep(number);
    }
    killLeader(400);
    for (; number < 24; number++) {
      runStep(number);
    }
    isolateLeader(25_000);
    for (; number < 45; number++) {
      runStep(number);
    }
  }

  /**
   * A copy of each transaction is carried out again 2 to 12 s after it, the same leader still
   * leading or another, or none: whatever was executed once has no effect a second time.
   */
  @Test
  void ignoresRepeatedTransactions() {
    begin(Layout.FLEET, 77);
    store.replaysTransactions = true;
    changesOfAllKinds();
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
          "no copy of " + kind + " in " + store.replaysByPrefix);
    }
    assertEquals(Map.of(), store.effectiveReplaysByPrefix);
  }

  /**
   * Of each kind of transaction some are carried out at once and only the answer is lost, while
   * users look closely at every node: its sender takes its own work for nobody else's, and no node
   * tells what is older.
   */
  @Test
  void toleratesLostStoreAnswers() {
    begin(Layout.SHORT, 79);
    store.lostAnswerRate = 0.3;
    sendsRequestBursts = true;
    changesOfAllKinds();
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
          "none of " + kind + " in " + store.lostAnswersByPrefix);
    }
  }

  /**
   * Found on the gap days of laval and galleharbour: in an outage for all that lasts for longer
   * than leases are kept from memory, what ran outside the leader's zone ended with its leases.
   */
  @ParameterizedTest
  @EnumSource(
      value = Layout.class,
      names = {"FLEET", "SHORT"})
  void nothingEndsInALongOutageThoughTheLeaderWasRefusedBefore(Layout of) {
    begin(of, 50);
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
    // One may be returned for having no work, none for its silence.
    List<String> gone = machines.stream().filter(m -> !fleet.machines.containsKey(m)).toList();
    assertTrue(gone.size() <= 1, "returned: " + gone);
    settle(Duration.ofSeconds(20));
  }

  /**
   * Milliseconds from the leader's end to that of whoever is there then: before, in and after an
   * election.
   */
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
      runStep(number);
    }
    int leader = leaderIndex();
    kill(controllers.get(leader), randomBetween(0, 1_000));
    schedule(
        step,
        () -> {
          int next =
              store.value("lead/holder") == null ? (leader + 1) % layout.nodes : leaderIndex();
          kill(controllers.get(next), randomBetween(0, 1_000));
          kill(controllers.get((next + 1) % layout.nodes), randomBetween(0, 200));
        });
    schedule(
        step + 600L,
        () -> controllers.forEach(each -> kill(each, each.index * randomBetween(0, 250))));
    for (; number < 18; number++) {
      runStep(number);
    }
    rules.faultsEndedAt = world.now();
    settle(Duration.ofMinutes(5));
  }

  /**
   * Each combination in two shapes; more seeds by hand with {@code -Dpineladder.combinations=100}.
   */
  static Stream<Arguments> alone() {
    return Stream.of(Combination.values())
        .flatMap(m -> Stream.of(Layout.ONE_ZONE, Layout.SHORT).map(of -> List.of(m, of)))
        .flatMap(cell -> seeds().mapToObj(s -> Arguments.of(cell.get(0), cell.get(1), s)));
  }

  private static IntStream seeds() {
    int first = Integer.getInteger("pineladder.first", 0);
    return IntStream.range(first, first + Integer.getInteger("pineladder.combinations", 1));
  }

  @ParameterizedTest
  @MethodSource("alone")
  void theRulesHoldWhereTroublesMeet(Combination combination, Layout of, int seed) {
    day(of, 20_000 + 100L * seed + combination.ordinal(), Set.of(combination));
  }

  /** Three at a time, each in its turn first, in all shapes; each seed takes three others. */
  static Stream<Arguments> together() {
    return seeds()
        .boxed()
        .flatMap(
            s -> IntStream.range(0, Combination.values().length).mapToObj(i -> Arguments.of(i, s)));
  }

  @ParameterizedTest
  @MethodSource("together")
  void keepsRulesUnderThreeFaultCombinations(int first, int seed) {
    Combination[] all = Combination.values();
    Set<Combination> met = new TreeSet<>();
    met.add(all[first]);
    int others = all.length - 1;
    met.add(all[(first + 1 + (5 * seed + 2) % others) % all.length]);
    met.add(all[(first + 1 + (seed / others + 7 * seed + 11) % others) % all.length]);
    Layout of = Layout.values()[(first + seed) % Layout.values().length];
    day(of, 400_000 + 100L * seed + first, met);
  }
}
