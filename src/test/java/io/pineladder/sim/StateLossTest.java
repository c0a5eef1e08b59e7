package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.ControllerNode;
import io.pineladder.generation.GenerationManager;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Days on which the state service loses data, in each of the ways in which it can. */
class StateLossTest extends SimulatedCluster {
  private static final Logger log = LoggerFactory.getLogger(StateLossTest.class);

  /** What is lost. */
  enum Loss {
    NOTHING,
    EVERYTHING,
    LAST_SECONDS,
    LAST_SECONDS_LEASES_KEPT,
    PLACEMENTS,
    ACCEPTED,
    ENDS,
    DAMAGED_DONE,
    DAMAGED_ACCEPTED,
    DAMAGED_PLACED
  }

  /** Two days of each kind; more by hand with {@code -Dpineladder.losses=20}. */
  static Stream<Arguments> days() {
    long days = Long.getLong("pineladder.losses", 2);
    long first = Long.getLong("pineladder.first", 1);
    List<Arguments> all = new ArrayList<>();
    String only = System.getProperty("pineladder.loss", "");
    for (Loss loss : Loss.values()) {
      if (!only.isEmpty() && !loss.name().equals(only)) {
        continue;
      }
      for (long seed = first; seed < first + days; seed++) {
        all.add(Arguments.of(loss, seed));
      }
    }
    return all.stream();
  }

  private void lose(Loss loss) {
    switch (loss) {
      case NOTHING -> {}
      case EVERYTHING -> store.loseEverything();
      case LAST_SECONDS -> store.restoreBackup(Duration.ofSeconds(15), false);
      case LAST_SECONDS_LEASES_KEPT -> store.restoreBackup(Duration.ofSeconds(15), true);
      case PLACEMENTS -> store.losePrefix("placed/");
      case ACCEPTED -> store.losePrefix("accepted/");
      case ENDS -> store.losePrefix("end/");
      case DAMAGED_DONE -> store.corruptValue("done/");
      case DAMAGED_ACCEPTED -> store.corruptValue("accepted/");
      case DAMAGED_PLACED -> store.corruptValue("placed/");
    }
  }

  private void work(int steps) {
    for (int step = 0; step < steps; step++) {
      submit(randomJobSpec());
      List<SafetyRules.TrackedJob> open =
          rules.jobs.values().stream().filter(j -> j.accepted && !j.isFinished()).toList();
      if (!open.isEmpty() && world.random.nextInt(3) == 0) {
        cancel(open.get(world.random.nextInt(open.size())));
      }
      world.runFor(Duration.ofMillis(1_000 + world.random.nextInt(3_000)));
    }
  }

  /** Who is left when it is lost. */
  enum Left {
    ALL,
    /** The leader's process ends with the data. */
    FOLLOWERS,
    /** All processes end with it, and begin again with the snapshots that they kept. */
    SNAPSHOTS
  }

  /** Every job is served to its end and no rule breaks. */
  private void served(Loss loss, Left left, long seed) {
    if (left == Left.SNAPSHOTS) {
      for (int i = 0; i < 3; i++) {
        snapshotStores.put(i, new InMemorySnapshotStore());
      }
    }
    begin(seed);
    allowsDataLoss = loss != Loss.NOTHING;
    store.startBackups();
    world.runFor(Duration.ofSeconds(4));
    world.lossRate = 0.02;
    work(20);
    log.debug("what is lost now, at {}: {}", world.now(), loss);
    lose(loss);
    if (left == Left.SNAPSHOTS) {
      controllers.forEach(each -> kill(each, 6_000 + each.index * 300L));
    } else if (left == Left.FOLLOWERS || loss.name().startsWith("DAMAGED")) {
      // Whoever reads what is damaged is a new leader.
      kill(controllers.get(leading()), 6_000);
    }
    work(20);
    settle(Duration.ofSeconds(400));
    boolean rebuilt =
        controllers.stream()
            .anyMatch(
                c ->
                    c.node.replicaManager().generations().state()
                        == GenerationManager.State.REBUILT);
    assertTrue(rebuilt || loss == Loss.NOTHING || loss.name().startsWith("DAMAGED"));
  }

  private int leading() {
    for (Controller each : controllers) {
      if (each.node.election().holdsTerm()) {
        return each.index;
      }
    }
    return 0;
  }

  @ParameterizedTest
  @MethodSource("days")
  void recoversFromReplicasOfAllControllers(Loss loss, long seed) {
    served(loss, Left.ALL, seed);
  }

  @ParameterizedTest
  @MethodSource("days")
  void recoversFromReplicasOfFollowers(Loss loss, long seed) {
    served(loss, Left.FOLLOWERS, seed);
  }

  @ParameterizedTest
  @MethodSource("days")
  void recoversFromSnapshots(Loss loss, long seed) {
    served(loss, Left.SNAPSHOTS, seed);
  }

  /** Found with real processes: a loss by which controllers lived, and one with them soon after. */
  @Test
  void recoversFromSecondLossAfterFirst() {
    for (int i = 0; i < 3; i++) {
      snapshotStores.put(i, new InMemorySnapshotStore());
    }
    begin(78);
    allowsDataLoss = true;
    world.runFor(Duration.ofSeconds(4));
    work(10);
    store.loseEverything();
    work(10);
    store.loseEverything();
    controllers.forEach(each -> kill(each, 6_000 + each.index * 300L));
    work(10);
    settle(Duration.ofSeconds(400));
  }

  /** What earlier generations leave does not add up, however often data is lost. */
  @Test
  void deletesKeysOfEarlierGenerations() {
    begin(79);
    allowsDataLoss = true;
    world.runFor(Duration.ofSeconds(4));
    work(10);
    // Not all of it: so the keys of the first generation stay behind.
    store.losePrefix("placed/");
    work(10);
    store.losePrefix("accepted/");
    work(10);
    assertTrue(store.countKeysOutsideGeneration() > 10, "old keys are there");
    world.runFor(Duration.ofMinutes(5));
    kill(controllers.get(leading()), 6_000);
    world.runFor(Duration.ofMinutes(15));
    assertEquals(1, store.countKeysOutsideGeneration(), "the name of the generation alone");
    settle(Duration.ofSeconds(60));
  }

  /** Found with real processes: whoever had read nothing yet wrote that, and jobs were gone. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void recoversFromLossInFirstSeconds(long seed) {
    begin(90 + seed);
    allowsDataLoss = true;
    world.runFor(Duration.ofMillis(300));
    for (int i = 0; i < 10; i++) {
      submit(randomJobSpec());
      world.runFor(Duration.ofMillis(10 * seed));
    }
    store.loseEverything();
    work(5);
    settle(Duration.ofSeconds(400));
  }

  /** Nothing is left but a file that an operator has kept. */
  @Test
  void recoversFromImportedSnapshot() throws Exception {
    begin(77);
    allowsDataLoss = true;
    world.runFor(Duration.ofSeconds(4));
    work(10);
    List<SafetyRules.TrackedJob> before = List.copyOf(rules.jobs.values());
    world.runFor(Duration.ofSeconds(15));
    byte[] kept = controllers.get(leading()).node.replicaManager().exportSnapshot();
    store.loseEverything();
    controllers.forEach(each -> kill(each, 6_000 + each.index * 300L));
    // Users who ask meanwhile are told that nothing is certain.
    world.runFor(Duration.ofSeconds(45));
    ControllerNode leader = controllers.get(leading()).node;
    byte[] damaged = kept.clone();
    damaged[damaged.length / 2] ^= 1;
    assertThrows(
        MalformedMessageException.class, () -> leader.replicaManager().importSnapshot(damaged));
    assertThrows(
        MalformedMessageException.class,
        () -> leader.replicaManager().importSnapshot(Arrays.copyOf(kept, kept.length / 2)));
    assertTrue(leader.replicaManager().importSnapshot(kept) > 0);
    work(5);
    settle(Duration.ofSeconds(400));
    assertTrue(before.stream().allMatch(job -> job.accepted));
  }
}
