package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Copies of commands that were executed and answered, and reach the machine once more. */
class LateStartCopyTest extends FaultInjectionCluster {
  /** Enough rounds that some copies arrive minutes late while jobs still start. */
  private static final int ROUNDS = 60;

  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(3);

  /** What happens to the cluster between a command and its copy. */
  enum Change {
    /** The same leader goes on. */
    NONE,
    /** The leader is killed, and another controller leads when the copy arrives. */
    NEW_LEADER,
    /** All controllers are back within a second. */
    ALL_RESTARTED,
    /** The machines receive nothing for a second. */
    MACHINES_BACK
  }

  static Stream<Arguments> layoutsAndChanges() {
    return Stream.of(Layout.FLEET, Layout.SHORT)
        .flatMap(each -> Arrays.stream(Change.values()).map(change -> Arguments.of(each, change)));
  }

  /** Guards against a task that runs again after it ended, was moved or was cancelled. */
  @ParameterizedTest
  @MethodSource("layoutsAndChanges")
  void copyOfExecutedStartHasNoEffectAtAnyAge(Layout selected, Change change) {
    begin(selected, 91);
    submit(simpleJobSpec("service", 4));
    world.runFor(Duration.ofSeconds(60));
    fleet.failsOneIn = 4;
    fleet.copiedCommandRate = 1;
    for (int round = 0; round < ROUNDS; round++) {
      submit(simpleJobSpec("array", 2).put("guess_s", 1.0 + round % 12));
      if (round % 4 == 1) {
        submit(simpleJobSpec("group", 2).put("guess_s", 2.0));
      }
      if (round % 3 == 2) {
        cancelRandomJobs(0.3);
      }
      if (round % 10 == 9) {
        apply(change);
      }
      world.runFor(ROUND_INTERVAL);
    }
    world.runFor(fleet.maxCommandCopyDelay);
    settle(Duration.ofSeconds(200));
    assertTrue(fleet.commandCopies > ROUNDS, "copies: " + fleet.commandCopies);
  }

  /** Guards against a copy that runs a task again since many others started after it. */
  @ParameterizedTest
  @ValueSource(ints = {0, 5})
  void copyHasNoEffectAfterManyLaterStartsOnTheMachine(int failsOneIn) {
    beginWithCopiesAfterEightSeconds(failsOneIn);
    runManySmallTasks();
  }

  /** Guards against a failed task that a copy runs again while its next attempt runs elsewhere. */
  @Test
  void copyNeverRunsFailedTaskBesideItsNextAttempt() {
    beginWithCopiesAfterEightSeconds(5);
    rules.placementLookup = null;
    runManySmallTasks();
  }

  private void beginWithCopiesAfterEightSeconds(int failsOneIn) {
    begin(Layout.FLEET, 92);
    fleet.sendsHeartbeatOnTaskExit = true;
    submit(simpleJobSpec("service", 1));
    world.runFor(Duration.ofSeconds(60));
    fleet.failsOneIn = failsOneIn;
    fleet.copiedCommandRate = 1;
    fleet.minCommandCopyDelay = Duration.ofSeconds(8);
    fleet.maxCommandCopyDelay = Duration.ofSeconds(9);
  }

  private void runManySmallTasks() {
    for (int round = 0; round < ROUNDS; round++) {
      for (int job = 0; job < 3; job++) {
        submit(
            simpleJobSpec("array", 24)
                .put("vcpus", 0.05)
                .put("cards", 0.0)
                .put("guess_s", 1 + round % 6));
      }
      world.runFor(ROUND_INTERVAL);
    }
    settle(Duration.ofSeconds(200));
    assertTrue(fleet.commandCopies > ROUNDS, "copies: " + fleet.commandCopies);
  }

  private void apply(Change change) {
    switch (change) {
      case NONE -> {}
      case NEW_LEADER -> killLeader(4_000);
      case ALL_RESTARTED -> controllers.forEach(controller -> kill(controller, 700));
      case MACHINES_BACK -> makeUnreachable(randomMachines(1), 1_000);
    }
  }
}
