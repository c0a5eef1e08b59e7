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
 * Which fetching task moves to a machine that has its image, compared with a reference model that
 * examines all of them.
 */
class PreemptionPolicyTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

  private static final MachineType TYPE =
      new MachineType(
          "g4", Resources.of(16, 4, 64), 500, 1, 4, 1, Duration.ofSeconds(10), List.of("a"));

  private ClusterState cluster;

  private PreemptionPolicy preemptionPolicy;
  private int numbers;

  private static final EventLoop TIME =
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
          throw new AssertionError("moving leaves nothing to chance");
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
          throw new UnsupportedOperationException();
        }
      };

  @BeforeEach
  void begin() throws SettingsReader.BadSettingsException {
    cluster = new ClusterState(SettingsReader.parse(SettingsReaderTest.VALID_SETTINGS));
    cluster.setTypes(List.of(TYPE));
    preemptionPolicy = new PreemptionPolicy(cluster, TIME, attempt -> {});
  }

  private Machine machine(String name) {
    Machine machine = new Machine(name, TYPE, "a", false, NOW);
    machine.transitionTo(Machine.State.HEARD);
    machine.transitionTo(Machine.State.CONFIRMED);
    cluster.addMachine(machine);
    return machine;
  }

  private Attempt fetching(Machine on, String image, double cpus, Duration ready) {
    JobSpec spec =
        new JobSpec(
            "req-" + ++numbers,
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
    Attempt attempt = cluster.addAttempt(job, 0, numbers, on, NOW, Attempt.State.PLACEMENT_PENDING);
    attempt.imageReadyAt = NOW.plus(ready);
    cluster.transition(attempt, Attempt.State.PLACEMENT_STORED);
    cluster.transition(attempt, Attempt.State.FETCHING_IMAGE);
    return attempt;
  }

  private List<Attempt> moved(Machine to) {
    List<Attempt> moved = new ArrayList<>();
    preemptionPolicy.moveSlowFetches(
        List.of(to),
        NOW,
        attempt -> {
          moved.add(attempt);
          // Stopped, it is gone at once, as an attempt that was never sent is.
          cluster.transition(attempt, Attempt.State.GONE);
        });
    return moved;
  }

  /** The time that the model's best choice would still wait; null when none is worth moving. */
  private static Instant best(List<Attempt> all, Machine to, Resources room) {
    Instant latest = null;
    for (Attempt attempt : all) {
      boolean worth =
          attempt.holdsCapacity()
              && attempt.machine != to
              && to.images.containsKey(attempt.job.spec.image())
              && attempt.imageReadyAt.isAfter(NOW.plusSeconds(6))
              && attempt.job.spec.resourcesPerTask().fitsIn(room);
      if (worth && (latest == null || attempt.imageReadyAt.isAfter(latest))) {
        latest = attempt.imageReadyAt;
      }
    }
    return latest;
  }

  @Test
  void theSlowestFetchIsMoved() throws SettingsReader.BadSettingsException {
    int moves = 0;
    for (int seed = 0; seed < 40; seed++) {
      begin();
      RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
      Machine to = machine("m-0");
      to.touchImage("img-0", 5);
      to.touchImage("img-1", 5);
      List<Attempt> all = new ArrayList<>();
      for (int i = 1; i <= 2 + seed; i++) {
        Duration ready = Duration.ofMillis(random.nextInt(12_000));
        all.add(
            fetching(machine("m-" + i), "img-" + random.nextInt(3), 1 + random.nextInt(20), ready));
      }
      Instant expected = best(all, to, to.free());
      List<Attempt> moved = moved(to);
      assertEquals(expected, moved.isEmpty() ? null : moved.get(0).imageReadyAt, "seed " + seed);
      moves += moved.isEmpty() ? 0 : 1;
    }
    assertTrue(moves > 10 && moves < 40, "moves: " + moves);
  }

  /** Of thousands of short fetches not each is examined for a machine with freed capacity. */
  @Test
  void fetchesThatEndSoonAreNotExamined() {
    Machine to = machine("m-0");
    for (int i = 0; i < 20; i++) {
      to.touchImage("img-" + i, 1);
    }
    Machine on = machine("m-1");
    List<Attempt> looked = new ArrayList<>();
    for (int i = 0; i < 3_000; i++) {
      looked.add(fetching(on, "img-" + i % 20, 0, Duration.ofMillis(1_000 + i)));
    }
    assertTrue(moved(to).isEmpty());
    for (int i = 0; i < 20; i++) {
      // The first in order is the last to be ready, so one is examined for each image.
      Attempt first = cluster.fetching("img-" + i).iterator().next();
      assertTrue(
          looked.stream()
              .filter(attempt -> attempt.job.spec.image().equals(first.job.spec.image()))
              .noneMatch(attempt -> attempt.imageReadyAt.isAfter(first.imageReadyAt)));
    }
  }
}
