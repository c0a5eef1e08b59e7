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
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Compares the dependency graph with a reference model that derives the state of all jobs from the
 * history of events in random order.
 */
class JobDependenciesTest {
  private final Map<String, Job> jobsInMemory = new LinkedHashMap<>();
  private final Map<String, Job.State> storedFinalStates = new HashMap<>();
  private final Map<String, Job> allJobs = new LinkedHashMap<>();
  private final Set<Job> ready = new HashSet<>();
  private final Set<Job> cancelled = new HashSet<>();
  private final Instant now = Instant.EPOCH.plusSeconds(1_000);

  private final JobDependencies dependencies =
      new JobDependencies(
          jobsInMemory::get,
          () -> now,
          this::countedDeadlines,
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
              return storedFinalStates.get(id);
            }

            @Override
            public void lookUpJob(String id) {}
          });

  /** How often the deadlines of a job were computed, which is done for each edge looked at. */
  private int evaluations;

  private ChainDeadlines countedDeadlines(Job job) {
    evaluations++;
    return ownDeadlines(job);
  }

  private static ChainDeadlines ownDeadlines(Job job) {
    Duration deadline = job.spec.deadline();
    Instant end = deadline == null ? null : job.acceptedAt.plus(deadline);
    return end == null ? null : new ChainDeadlines(end, end.plus(deadline));
  }

  private Job job(
      int number, PriorityClass priorityClass, Duration deadline, List<String> prerequisites) {
    JobSpec spec =
        new JobSpec(
            "req-" + number,
            "work",
            "red",
            JobKind.ARRAY,
            priorityClass,
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
            prerequisites);
    return new Job(spec, now, Job.State.ACTIVE);
  }

  private Job add(
      int number, PriorityClass priorityClass, Duration deadline, String... prerequisites) {
    Job job = job(number, priorityClass, deadline, List.of(prerequisites));
    jobsInMemory.put(job.spec.id(), job);
    allJobs.put(job.spec.id(), job);
    dependencies.add(job);
    return job;
  }

  /** Stores the final state of the job and removes it from memory. */
  private void storeFinalState(Job job, Job.State state) {
    job.transitionTo(state);
    if (state == Job.State.CANCELLED) {
      dependencies.remove(job);
      dependencies.onCancellationPending(job);
    }
    job.finalStateStored = true;
    storedFinalStates.put(job.spec.id(), state);
    dependencies.onFinalStateStored(job);
    jobsInMemory.remove(job.spec.id());
  }

  // ---- the reference model

  private boolean isCancelled(String id) {
    return storedFinalStates.get(id) == Job.State.CANCELLED
        || allJobs.get(id).spec.prerequisites().stream().anyMatch(this::isCancelled);
  }

  private boolean mayStart(Job job) {
    return job.spec.prerequisites().stream()
        .allMatch(id -> storedFinalStates.get(id) == Job.State.DONE);
  }

  private PriorityClass expectedPriorityClass(Job job) {
    PriorityClass highest = job.spec.priorityClass();
    for (Job dependent : jobsInMemory.values()) {
      if (dependent.isActive() && dependent.spec.prerequisites().contains(job.spec.id())) {
        PriorityClass inherited = expectedPriorityClass(dependent);
        highest = inherited.isAbove(highest) ? inherited : highest;
      }
    }
    return highest;
  }

  private ChainDeadlines expectedChainDeadlines(Job job) {
    ChainDeadlines earliest = null;
    for (Job dependent : jobsInMemory.values()) {
      if (dependent.isActive() && dependent.spec.prerequisites().contains(job.spec.id())) {
        ChainDeadlines deadlines =
            ChainDeadlines.earlier(expectedChainDeadlines(dependent), ownDeadlines(dependent));
        Duration expected = dependent.spec.estimatedRunTime().plus(ClassLatencies.DEFAULT_OVERHEAD);
        earliest =
            ChainDeadlines.earlier(earliest, deadlines == null ? null : deadlines.minus(expected));
      }
    }
    return earliest;
  }

  private void assertMatchesModelOf(Job job) {
    assertEquals(expectedPriorityClass(job), job.priorityClass(), job.spec.id());
    assertEquals(expectedChainDeadlines(job), job.chainDeadlines, job.spec.id());
  }

  private void assertMatchesModel() {
    for (Job job : allJobs.values()) {
      String id = job.spec.id();
      boolean cancelledByDependency = !storedFinalStates.containsKey(id) && isCancelled(id);
      assertEquals(
          cancelledByDependency,
          job.cancelledByDependency && !storedFinalStates.containsKey(id),
          id);
      if (job.isActive() && !cancelledByDependency) {
        assertEquals(!mayStart(job), job.blockedByDependencies, id);
        assertMatchesModelOf(job);
      }
    }
  }

  @Test
  void matchesReferenceModel() {
    for (int seed = 0; seed < 60; seed++) {
      RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
      List.of(jobsInMemory, storedFinalStates, allJobs).forEach(Map::clear);
      ready.clear();
      cancelled.clear();
      for (int number = 0; number < 40; number++) {
        List<String> prerequisites = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0 && number > 0; i--) {
          String id = "req-" + random.nextInt(number);
          if (!prerequisites.contains(id)) {
            prerequisites.add(id);
          }
        }
        PriorityClass priorityClass = PriorityClass.values()[random.nextInt(4)];
        Duration deadline = random.nextInt(3) == 0 ? Duration.ofSeconds(200 + number) : null;
        add(number, priorityClass, deadline, prerequisites.toArray(String[]::new));
        assertMatchesModel();
        for (Job job : List.copyOf(jobsInMemory.values())) {
          if (job.isActive() && random.nextInt(12) == 0) {
            storeFinalState(job, Job.State.CANCELLED);
          } else if (job.isActive() && !job.blockedByDependencies && random.nextInt(3) == 0) {
            // Keeps the measured overhead at its default, because the model does not track
            // latencies.
            job.readyAt =
                now.minus(job.spec.estimatedRunTime()).minus(ClassLatencies.DEFAULT_OVERHEAD);
            storeFinalState(job, Job.State.DONE);
          }
          assertMatchesModel();
        }
      }
    }
  }

  @Test
  void followsLongChainWithoutRecursion() {
    add(0, PriorityClass.LOW, null);
    for (int number = 1; number <= 5_000; number++) {
      add(number, PriorityClass.LOW, null, "req-" + (number - 1));
    }
    assertEquals(5_000, dependencies.countWaitingJobs());
    assertEquals(5_001, dependencies.longestChainLength());
    Job last = add(5_001, PriorityClass.HIGH, Duration.ofHours(100), "req-5000");
    assertEquals(PriorityClass.HIGH, allJobs.get("req-0").priorityClass());
    assertEquals(
        ownDeadlines(last).minus(Duration.ofSeconds(15 * 5_001)),
        allJobs.get("req-0").chainDeadlines);
    storeFinalState(allJobs.get("req-0"), Job.State.CANCELLED);
    assertEquals(5_001, cancelled.size());
    assertEquals(0, dependencies.countWaitingJobs());
  }

  private static String[] ids(int first, int count) {
    return IntStream.range(first, first + count).mapToObj(i -> "req-" + i).toArray(String[]::new);
  }

  /** Guards against a leader that loses its lease while it loads a wide pipeline. */
  @Test
  void workForWidePipelineGrowsWithItsEdges() {
    int scans = 30;
    int purges = 150;
    String[] scanIds = ids(0, scans);
    for (int i = 0; i < scans; i++) {
      add(i, PriorityClass.LOW, null);
    }
    for (int i = 0; i < purges; i++) {
      add(scans + i, PriorityClass.LOW, null, scanIds);
    }
    for (int i = 0; i < purges; i++) {
      Duration deadline = Duration.ofSeconds(9_000 - i);
      add(scans + purges + i, PriorityClass.HIGH, deadline, "req-" + (scans + i));
    }
    int edges = scans * purges + purges;
    assertTrue(evaluations <= 4 * edges, "after adding: " + evaluations);
    assertMatchesModelOf(allJobs.get("req-0"));
    evaluations = 0;
    storeFinalState(allJobs.get("req-0"), Job.State.CANCELLED);
    assertEquals(2 * purges, cancelled.size());
    assertTrue(evaluations <= 4 * edges, "after cancelling: " + evaluations);
    assertMatchesModelOf(allJobs.get("req-1"));
  }

  /** Guards against a leader that stands still for one urgent job that needs hundreds. */
  @Test
  void workForUrgentLastJobGrowsWithEdgesBeforeIt() {
    int width = 60;
    int first = 0;
    String[] previous = {};
    for (int stage = 0; stage < 3; stage++) {
      for (int i = 0; i < width; i++) {
        add(first + i, PriorityClass.LOW, null, previous);
      }
      previous = ids(first, width);
      first += width;
    }
    evaluations = 0;
    add(first, PriorityClass.HIGH, Duration.ofHours(1), previous);
    assertEquals(PriorityClass.HIGH, allJobs.get("req-0").priorityClass());
    assertTrue(evaluations <= 2 * width * width + width, "evaluations: " + evaluations);
  }

  /**
   * A prerequisite that is being looked up may turn out to be cancelled, so the state of its
   * dependents is uncertain.
   */
  @Test
  void reportsUncertainStateWhilePrerequisiteIsLookedUp() {
    Job job = add(2, PriorityClass.LOW, null, "req-1");
    assertTrue(dependencies.isUncertain(job));
    dependencies.onFinalStateKnown("req-1", Job.State.DONE);
    assertTrue(!dependencies.isUncertain(job) && ready.contains(job));
  }
}
