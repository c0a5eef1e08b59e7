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

/** Recovery from each kind of data loss in the key-value store. */
class StateLossTest extends SimulatedCluster {
  private static final Logger log = LoggerFactory.getLogger(StateLossTest.class);

  /** The data that is lost or damaged. */
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

  /** Two runs for each kind of loss; more with {@code -Dpineladder.losses=20}. */
  static Stream<Arguments> lossesAndSeeds() {
    long count = Long.getLong("pineladder.losses", 2);
    long first = Long.getLong("pineladder.first", 1);
    List<Arguments> all = new ArrayList<>();
    String only = System.getProperty("pineladder.loss", "");
    for (Loss loss : Loss.values()) {
      if (!only.isEmpty() && !loss.name().equals(only)) {
        continue;
      }
      for (long seed = first; seed < first + count; seed++) {
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

  private void submitAndCancelJobs(int steps) {
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

  /** The copies of the data that remain. */
  enum SurvivingCopies {
    ALL,
    /** The leader is killed at the same time. */
    FOLLOWERS,
    /** All controllers are killed at the same time and restart with their snapshots. */
    SNAPSHOTS
  }

  /** Asserts that all jobs end and no rule is violated. */
  private void assertServedDespite(Loss loss, SurvivingCopies surviving, long seed) {
    if (surviving == SurvivingCopies.SNAPSHOTS) {
      for (int i = 0; i < 3; i++) {
        snapshotStores.put(i, new InMemorySnapshotStore());
      }
    }
    begin(seed);
    allowsDataLoss = loss != Loss.NOTHING;
    store.startBackups();
    world.runFor(Duration.ofSeconds(4));
    world.lossRate = 0.02;
    submitAndCancelJobs(20);
    log.debug("Losing data: time={} loss={}", world.now(), loss);
    lose(loss);
    if (surviving == SurvivingCopies.SNAPSHOTS) {
      controllers.forEach(each -> kill(each, 6_000 + each.index * 300L));
    } else if (surviving == SurvivingCopies.FOLLOWERS || loss.name().startsWith("DAMAGED")) {
      // Only a new leader reads the damaged records.
      kill(controllers.get(termHolderIndex()), 6_000);
    }
    submitAndCancelJobs(20);
    settle(Duration.ofSeconds(400));
    boolean rebuilt =
        controllers.stream()
            .anyMatch(
                c ->
                    c.node.replicaManager().generations().state()
                        == GenerationManager.State.REBUILT);
    assertTrue(rebuilt || loss == Loss.NOTHING || loss.name().startsWith("DAMAGED"));
  }

  private int termHolderIndex() {
    for (Controller each : controllers) {
      if (each.node.election().holdsTerm()) {
        return each.index;
      }
    }
    return 0;
  }

  @ParameterizedTest
  @MethodSource("lossesAndSeeds")
  void recoversFromReplicasOfAllControllers(Loss loss, long seed) {
    assertServedDespite(loss, SurvivingCopies.ALL, seed);
  }

  @ParameterizedTest
  @MethodSource("lossesAndSeeds")
  void recoversFromReplicasOfFollowers(Loss loss, long seed) {
    assertServedDespite(loss, SurvivingCopies.FOLLOWERS, seed);
  }

  @ParameterizedTest
  @MethodSource("lossesAndSeeds")
  void recoversFromSnapshots(Loss loss, long seed) {
    assertServedDespite(loss, SurvivingCopies.SNAPSHOTS, seed);
  }

  /** Guards against a failed recovery from a second loss soon after the first. */
  @Test
  void recoversFromSecondLossAfterFirst() {
    for (int i = 0; i < 3; i++) {
      snapshotStores.put(i, new InMemorySnapshotStore());
    }
    begin(78);
    allowsDataLoss = true;
    world.runFor(Duration.ofSeconds(4));
    submitAndCancelJobs(10);
    store.loseEverything();
    submitAndCancelJobs(10);
    store.loseEverything();
    controllers.forEach(each -> kill(each, 6_000 + each.index * 300L));
    submitAndCancelJobs(10);
    settle(Duration.ofSeconds(400));
  }

  /** Guards against an accumulation of keys of earlier generations. */
  @Test
  void deletesKeysOfEarlierGenerations() {
    begin(79);
    allowsDataLoss = true;
    world.runFor(Duration.ofSeconds(4));
    submitAndCancelJobs(10);
    // A partial loss leaves the other keys of the first generation behind.
    store.losePrefix("placed/");
    submitAndCancelJobs(10);
    store.losePrefix("accepted/");
    submitAndCancelJobs(10);
    assertTrue(store.countKeysOutsideGeneration() > 10, "keys of earlier generations remain");
    world.runFor(Duration.ofMinutes(5));
    kill(controllers.get(termHolderIndex()), 6_000);
    world.runFor(Duration.ofMinutes(15));
    assertEquals(
        1, store.countKeysOutsideGeneration(), "only the key of the current generation remains");
    settle(Duration.ofSeconds(60));
  }

  /** Guards against jobs lost because a controller that has read nothing rebuilds the store. */
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
    submitAndCancelJobs(5);
    settle(Duration.ofSeconds(400));
  }

  /** Guards against jobs lost when only an operator's snapshot file remains. */
  @Test
  void recoversFromImportedSnapshot() throws Exception {
    begin(77);
    allowsDataLoss = true;
    world.runFor(Duration.ofSeconds(4));
    submitAndCancelJobs(10);
    List<SafetyRules.TrackedJob> before = List.copyOf(rules.jobs.values());
    world.runFor(Duration.ofSeconds(15));
    byte[] snapshot = controllers.get(termHolderIndex()).node.replicaManager().exportSnapshot();
    store.loseEverything();
    controllers.forEach(each -> kill(each, 6_000 + each.index * 300L));
    // Until the import, users get no definite answers.
    world.runFor(Duration.ofSeconds(45));
    ControllerNode leader = controllers.get(termHolderIndex()).node;
    byte[] damaged = snapshot.clone();
    damaged[damaged.length / 2] ^= 1;
    assertThrows(
        MalformedMessageException.class, () -> leader.replicaManager().importSnapshot(damaged));
    assertThrows(
        MalformedMessageException.class,
        () -> leader.replicaManager().importSnapshot(Arrays.copyOf(snapshot, snapshot.length / 2)));
    assertTrue(leader.replicaManager().importSnapshot(snapshot) > 0);
    submitAndCancelJobs(5);
    settle(Duration.ofSeconds(400));
    assertTrue(before.stream().allMatch(job -> job.accepted));
  }
}
