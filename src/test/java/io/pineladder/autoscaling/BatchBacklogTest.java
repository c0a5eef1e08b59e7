package io.pineladder.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** Compares the backlog's estimates with a simple model that processes the work in time steps. */
class BatchBacklogTest {
  private static final double STEP_SECONDS = 0.05;

  /** The arguments of one call of {@link BatchBacklog#add}. */
  private record TaskGroup(
      double value,
      double runSeconds,
      double secondsLeft,
      double secondsToReady,
      double arrivalRate) {}

  /**
   * Whether all groups start in time, with {@code extra} capacity added once new machines are
   * ready.
   */
  private static boolean startsInTime(List<TaskGroup> groups, double capacity, double extra) {
    double cumulativeWork = 0;
    for (TaskGroup group : groups) {
      cumulativeWork += group.value * group.runSeconds;
      double remainingWork = cumulativeWork;
      for (double elapsed = 0; elapsed < group.secondsLeft; elapsed += STEP_SECONDS) {
        remainingWork += group.arrivalRate * STEP_SECONDS;
        remainingWork -= (capacity + (elapsed >= group.secondsToReady ? extra : 0)) * STEP_SECONDS;
      }
      if (remainingWork > 1e-3 * cumulativeWork + group.arrivalRate * STEP_SECONDS) {
        return false;
      }
    }
    return true;
  }

  private static List<TaskGroup> randomGroups(RandomGenerator random) {
    List<TaskGroup> groups = new ArrayList<>();
    double secondsLeft = 90;
    int count = 1 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      secondsLeft += random.nextInt(40);
      groups.add(
          new TaskGroup(
              1 + random.nextInt(60),
              5 + random.nextInt(80),
              secondsLeft,
              10 + random.nextInt(20),
              random.nextInt(6)));
    }
    return groups;
  }

  /**
   * Whether every group starts in time with extra capacity below the value of its tasks and those
   * before, which caps the missing capacity.
   */
  private static boolean sufficesWhenAllRunConcurrently(List<TaskGroup> groups, double capacity) {
    double concurrentValue = 0;
    for (int i = 0; i < groups.size(); i++) {
      concurrentValue += groups.get(i).value;
      if (!startsInTime(groups.subList(0, i + 1), capacity, concurrentValue * 0.98)) {
        return false;
      }
    }
    return true;
  }

  private static BatchBacklog backlogOf(List<TaskGroup> groups, double capacity) {
    BatchBacklog backlog = new BatchBacklog(capacity);
    groups.forEach(
        group ->
            backlog.add(
                group.value,
                group.runSeconds,
                group.secondsLeft,
                group.secondsToReady,
                group.arrivalRate));
    return backlog;
  }

  @Test
  void missingCapacityMatchesStepwiseModel() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(27);
    int roundsWithMissing = 0;
    for (int round = 0; round < 400; round++) {
      List<TaskGroup> groups = randomGroups(random);
      double capacity = 4 + random.nextInt(60);
      double missing = backlogOf(groups, capacity).missingCapacity();
      if (missing > 0) {
        roundsWithMissing++;
        assertTrue(!startsInTime(groups, capacity * 0.98, 0), "no capacity should be missing");
        if (sufficesWhenAllRunConcurrently(groups, capacity)) {
          assertTrue(startsInTime(groups, capacity, missing * 1.02), "missing capacity is too low");
          assertTrue(
              !startsInTime(groups, capacity * 0.98, missing * 0.9),
              "missing capacity is too high");
        }
      } else {
        assertTrue(startsInTime(groups, capacity * 1.02, 0), "some capacity should be missing");
      }
    }
    assertTrue(roundsWithMissing > 100, roundsWithMissing + " rounds with missing capacity");
  }

  @Test
  void neededCapacityMatchesStepwiseModel() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(28);
    for (int round = 0; round < 400; round++) {
      List<TaskGroup> groups = randomGroups(random);
      double capacity = 20 + random.nextInt(60);
      double reducible = capacity / 2;
      double needed = backlogOf(groups, capacity).neededCapacity(reducible, 0);
      if (needed < reducible) {
        assertTrue(
            startsInTime(groups, (capacity - reducible + needed) * 1.02, 0),
            "needed capacity is too low");
      }
      if (needed > 0) {
        assertTrue(
            !startsInTime(groups, (capacity - reducible + needed) * 0.95, 0),
            "needed capacity is too high");
      }
    }
  }

  @Test
  void arrivingWorkNeedsCapacityWithoutBacklog() {
    assertEquals(3, new BatchBacklog(10).neededCapacity(5, 8));
    assertEquals(0, new BatchBacklog(10).neededCapacity(5, 4));
    assertEquals(5, new BatchBacklog(10).neededCapacity(5, 80));
  }

  @Test
  void ignoresDeadlinesThatNewMachinesCannotMeet() {
    BatchBacklog backlog = new BatchBacklog(1);
    backlog.add(100, 60, 15, 20, 0);
    assertEquals(0, backlog.missingCapacity());
  }
}
