package io.pineladder.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.net.EventLoop;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Compares the choice of the fetching task that moves to a machine with its image cached with a
 * reference model that examines all fetching tasks.
 */
class PreemptionPolicyTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

  private static final MachineType TYPE =
      new MachineType(
          "g4", Resources.of(16, 4, 64), 500, 1, 4, 1, Duration.ofSeconds(10), List.of("a"));

  private ClusterState cluster;

  private PreemptionPolicy preemptionPolicy;
  private int jobCount;

  private static final EventLoop FIXED_TIME =
      new EventLoop() {
        @Override
        public Instant now() {
          return NOW;
        }

        @Override
        public Instant wallClock() {
          return NOW;
        }

        @Override
        public RandomGenerator random() {
          throw new AssertionError("moving fetches must not use random numbers");
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
          throw new UnsupportedOperationException();
        }
      };

  @BeforeEach
  void setUp() throws SettingsReader.BadSettingsException {
    cluster = new ClusterState(SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS));
    cluster.setTypes(List.of(TYPE));
    preemptionPolicy = new PreemptionPolicy(cluster, FIXED_TIME, attempt -> {});
  }

  private Machine machine(String name) {
    Machine machine = new Machine(name, TYPE, "a", false, NOW);
    machine.transitionTo(Machine.State.HEARD);
    machine.transitionTo(Machine.State.CONFIRMED);
    cluster.addMachine(machine);
    return machine;
  }

  private Attempt addFetchingAttempt(
      Machine machine, String image, double cpus, Duration timeUntilReady) {
    JobSpec spec =
        new JobSpec(
            "req-" + ++jobCount,
            "work",
            "red",
            JobKind.ARRAY,
            PriorityClass.NORMAL,
            1,
            Resources.of(cpus, 0, 1),
            null,
            null,
            false,
            false,
            true,
            image,
            5,
            Duration.ofSeconds(10),
            Duration.ZERO,
            Duration.ZERO,
            null);
    Job job = new Job(spec, NOW, Job.State.ACTIVE);
    Attempt attempt =
        cluster.addAttempt(job, 0, jobCount, machine, NOW, Attempt.State.PLACEMENT_PENDING);
    attempt.imageReadyAt = NOW.plus(timeUntilReady);
    cluster.transition(attempt, Attempt.State.PLACEMENT_STORED);
    cluster.transition(attempt, Attempt.State.FETCHING_IMAGE);
    return attempt;
  }

  private List<Attempt> moveSlowFetches(Machine target) {
    List<Attempt> moved = new ArrayList<>();
    preemptionPolicy.moveSlowFetches(
        List.of(target),
        NOW,
        attempt -> {
          moved.add(attempt);
          // The stopped attempt ends at once, like an attempt that was never sent.
          cluster.transition(attempt, Attempt.State.GONE);
        });
    return moved;
  }

  /**
   * Returns when the image of the attempt that the model would move is ready; null if no attempt is
   * worth moving.
   */
  private static Instant expectedImageReadyAt(
      List<Attempt> attempts, Machine target, Resources freeCapacity) {
    Instant latest = null;
    for (Attempt attempt : attempts) {
      boolean isWorthMoving =
          attempt.holdsCapacity()
              && attempt.machine != target
              && target.images.containsKey(attempt.job.spec.image())
              && attempt.imageReadyAt.isAfter(NOW.plusSeconds(6))
              && attempt.job.spec.resourcesPerTask().fitsIn(freeCapacity);
      if (isWorthMoving && (latest == null || attempt.imageReadyAt.isAfter(latest))) {
        latest = attempt.imageReadyAt;
      }
    }
    return latest;
  }

  @Test
  void movesSlowestFetch() throws SettingsReader.BadSettingsException {
    int moves = 0;
    for (int seed = 0; seed < 40; seed++) {
      setUp();
      RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
      Machine target = machine("m-0");
      target.touchImage("img-0", 5);
      target.touchImage("img-1", 5);
      List<Attempt> attempts = new ArrayList<>();
      for (int i = 1; i <= 2 + seed; i++) {
        Duration timeUntilReady = Duration.ofMillis(random.nextInt(12_000));
        attempts.add(
            addFetchingAttempt(
                machine("m-" + i),
                "img-" + random.nextInt(3),
                1 + random.nextInt(20),
                timeUntilReady));
      }
      Instant expected = expectedImageReadyAt(attempts, target, target.free());
      List<Attempt> moved = moveSlowFetches(target);
      assertEquals(expected, moved.isEmpty() ? null : moved.get(0).imageReadyAt, "seed " + seed);
      moves += moved.isEmpty() ? 0 : 1;
    }
    assertTrue(moves > 10 && moves < 40, "moves: " + moves);
  }

  /** The cost of a search must not grow with the number of fetches that end soon. */
  @Test
  void doesNotExamineFetchesThatEndSoon() {
    Machine target = machine("m-0");
    for (int i = 0; i < 20; i++) {
      target.touchImage("img-" + i, 1);
    }
    Machine source = machine("m-1");
    List<Attempt> attempts = new ArrayList<>();
    for (int i = 0; i < 3_000; i++) {
      attempts.add(addFetchingAttempt(source, "img-" + i % 20, 0, Duration.ofMillis(1_000 + i)));
    }
    assertTrue(moveSlowFetches(target).isEmpty());
    for (int i = 0; i < 20; i++) {
      // Attempts are ordered by ready time, latest first, so only one is examined per image.
      Attempt first = cluster.fetchingAttempts("img-" + i).iterator().next();
      assertTrue(
          attempts.stream()
              .filter(attempt -> attempt.job.spec.image().equals(first.job.spec.image()))
              .noneMatch(attempt -> attempt.imageReadyAt.isAfter(first.imageReadyAt)));
    }
  }
}
