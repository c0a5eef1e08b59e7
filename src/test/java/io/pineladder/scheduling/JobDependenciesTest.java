package io.pineladder.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.ChainDeadlines;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/**
 * The dependency graph compared with a reference model that derives everything from the history, in
 * arbitrary orders.
 */
class JobDependenciesTest {
  private final Map<String, Job> memory = new LinkedHashMap<>();
  private final Map<String, Job.State> stored = new HashMap<>();
  private final Map<String, Job> all = new LinkedHashMap<>();
  private final Set<Job> ready = new HashSet<>();
  private final Set<Job> cancelled = new HashSet<>();
  private final Instant now = Instant.EPOCH.plusSeconds(1_000);

  private final JobDependencies dependencies =
      new JobDependencies(
          memory::get,
          () -> now,
          JobDependenciesTest::own,
          new JobDependencies.Listener() {
            @Override
            public void onReady(Job job) {
              assertTrue(ready.add(job), "called once");
            }

            @Override
            public void onCancelled(Job job) {
              assertTrue(cancelled.add(job), "called once");
            }

            @Override
            public void onUrgencyChanged(Job job) {}

            @Override
            public Job.State knownFinalState(String id) {
              return stored.get(id);
            }

            @Override
            public void lookUpJob(String id) {}
          });

  private static ChainDeadlines own(Job job) {
    Duration deadline = job.spec.deadline();
    Instant end = deadline == null ? null : job.acceptedAt.plus(deadline);
    return end == null ? null : new ChainDeadlines(end, end.plus(deadline));
  }

  private Job job(int number, PriorityClass rank, Duration deadline, List<String> needs) {
    JobSpec spec =
        new JobSpec(
            "req-" + number,
            "work",
            "red",
            JobKind.ARRAY,
            rank,
            1,
            Resources.of(1, 0, 1),
            null,
            null,
            false,
            false,
            true,
            "img",
            1,
            Duration.ofSeconds(5),
            Duration.ZERO,
            Duration.ZERO,
            deadline,
            needs);
    return new Job(spec, now, Job.State.ACTIVE);
  }

  private Job add(int number, PriorityClass rank, Duration deadline, String... needs) {
    Job job = job(number, rank, deadline, List.of(needs));
    memory.put(job.spec.id(), job);
    all.put(job.spec.id(), job);
    dependencies.add(job);
    return job;
  }

  /** The job's final state is stored, and it leaves the memory. */
  private void end(Job job, Job.State state) {
    job.transitionTo(state);
    if (state == Job.State.CANCELLED) {
      dependencies.stopWaiting(job);
      dependencies.onCancellationPending(job);
    }
    job.finalStateStored = true;
    stored.put(job.spec.id(), state);
    dependencies.onFinalStateStored(job);
    memory.remove(job.spec.id());
  }

  // ---- the reference model

  private boolean isCancelled(String id) {
    return stored.get(id) == Job.State.CANCELLED
        || all.get(id).spec.prerequisites().stream().anyMatch(this::isCancelled);
  }

  private boolean mayStart(Job job) {
    return job.spec.prerequisites().stream().allMatch(id -> stored.get(id) == Job.State.DONE);
  }

  private PriorityClass rank(Job job) {
    PriorityClass highest = job.spec.priorityClass();
    for (Job other : memory.values()) {
      if (other.isActive() && other.spec.prerequisites().contains(job.spec.id())) {
        PriorityClass of = rank(other);
        highest = of.isAbove(highest) ? of : highest;
      }
    }
    return highest;
  }

  private ChainDeadlines before(Job job) {
    ChainDeadlines earliest = null;
    for (Job other : memory.values()) {
      if (other.isActive() && other.spec.prerequisites().contains(job.spec.id())) {
        ChainDeadlines of = ChainDeadlines.earlier(before(other), own(other));
        Duration expected = other.spec.estimatedRunTime().plus(ClassLatencies.DEFAULT_OVERHEAD);
        earliest = ChainDeadlines.earlier(earliest, of == null ? null : of.minus(expected));
      }
    }
    return earliest;
  }

  private void compare() {
    for (Job job : all.values()) {
      String id = job.spec.id();
      boolean byOthers = !stored.containsKey(id) && isCancelled(id);
      assertEquals(byOthers, job.cancelledByDependency && !stored.containsKey(id), id);
      if (job.isActive() && !byOthers) {
        assertEquals(!mayStart(job), job.blockedByDependencies, id);
        assertEquals(rank(job), job.priorityClass(), id);
        assertEquals(before(job), job.chainDeadlines, id);
      }
    }
  }

  @Test
  void theGraphMatchesTheHistory() {
    for (int seed = 0; seed < 60; seed++) {
      RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
      List.of(memory, stored, all).forEach(Map::clear);
      ready.clear();
      cancelled.clear();
      for (int number = 0; number < 40; number++) {
        List<String> needs = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0 && number > 0; i--) {
          String id = "req-" + random.nextInt(number);
          if (!needs.contains(id)) {
            needs.add(id);
          }
        }
        PriorityClass rank = PriorityClass.values()[random.nextInt(4)];
        Duration deadline = random.nextInt(3) == 0 ? Duration.ofSeconds(200 + number) : null;
        add(number, rank, deadline, needs.toArray(String[]::new));
        compare();
        for (Job job : List.copyOf(memory.values())) {
          if (job.isActive() && random.nextInt(12) == 0) {
            end(job, Job.State.CANCELLED);
          } else if (job.isActive() && !job.blockedByDependencies && random.nextInt(3) == 0) {
            // A completion's time would change the latencies, which the model does not follow.
            job.readyAt =
                now.minus(job.spec.estimatedRunTime()).minus(ClassLatencies.DEFAULT_OVERHEAD);
            end(job, Job.State.DONE);
          }
          compare();
        }
      }
    }
  }

  @Test
  void aLongChainIsFollowedWithoutRecursion() {
    add(0, PriorityClass.LOW, null);
    for (int number = 1; number <= 5_000; number++) {
      add(number, PriorityClass.LOW, null, "req-" + (number - 1));
    }
    assertEquals(5_000, dependencies.countWaitingJobs());
    assertEquals(5_001, dependencies.longestChainLength());
    Job last = add(5_001, PriorityClass.HIGH, Duration.ofHours(100), "req-5000");
    assertEquals(PriorityClass.HIGH, all.get("req-0").priorityClass());
    assertEquals(own(last).minus(Duration.ofSeconds(15 * 5_001)), all.get("req-0").chainDeadlines);
    end(all.get("req-0"), Job.State.CANCELLED);
    assertEquals(5_001, cancelled.size());
    assertEquals(0, dependencies.countWaitingJobs());
  }

  /**
   * A prerequisite that is being looked up may turn out to be cancelled, so its dependents' states
   * are uncertain.
   */
  @Test
  void aPrerequisiteBeingLookedUpMakesItsDependentsUncertain() {
    Job job = add(2, PriorityClass.LOW, null, "req-1");
    assertTrue(dependencies.isUncertain(job));
    dependencies.onFinalStateKnown("req-1", Job.State.DONE);
    assertTrue(!dependencies.isUncertain(job) && ready.contains(job));
  }
}
