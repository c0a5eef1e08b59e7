package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tasks that are preempted for others, or moved to another machine. */
class PreemptionTest {
  private final LeaderHarness leader = new LeaderHarness();

  /** Found on colombo: services started on machines without their image came too late. */
  @Test
  void tasksArePreemptedWhereTheImageIsCachedWhenFetchingWouldBeTooLate() {
    leader.heartbeat("warm", 1);
    Machine warm = leader.cluster.machine("warm");
    warm.touchImage("img-s", 5);
    Job array =
        leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 4, "img-a"));
    TaskStatus[] running =
        array.attempts.values().stream()
            .map(set -> LeaderHarness.task(set.iterator().next(), TaskState.RUNNING))
            .toArray(TaskStatus[]::new);
    leader.heartbeat("warm", 2, running);
    leader.heartbeat("cold", 1);
    var service =
        LeaderHarness.spec("req-2", JobKind.SERVICE, PriorityClass.PRODUCTION, 1, "img-s");
    Job job =
        leader.accept(
            new JobSpec(
                service.id(),
                "serve",
                "red",
                service.kind(),
                service.priorityClass(),
                1,
                service.resourcesPerTask(),
                null,
                null,
                false,
                false,
                false,
                "img-s",
                5,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                null));
    assertTrue(job.attempts.isEmpty(), "it waits for the warm room");
    Attempt displaced =
        array.attempts.values().stream()
            .map(set -> set.iterator().next())
            .filter(a -> !a.isWanted())
            .findFirst()
            .orElseThrow();
    TaskStatus[] after =
        array.attempts.values().stream()
            .map(set -> set.iterator().next())
            .map(
                a ->
                    a == displaced
                        ? LeaderHarness.exited(a, EndReason.STOPPED)
                        : LeaderHarness.task(a, TaskState.RUNNING))
            .toArray(TaskStatus[]::new);
    leader.heartbeat("warm", 3, after);
    assertEquals(warm, LeaderHarness.onlyAttempt(job).machine);
  }

  /**
   * Found on colombo-ops: a look at the whole fleet for each of a job's tasks stopped the leader
   * for longer than its lease. And work that holds none of what is lacking was stopped as well.
   */
  @Test
  void oneSchedulingCyclePreemptsForAllTasksAndOnlyWhatHelps() {
    for (int i = 0; i < 4; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec cpus = LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 4, "i");
    Job tiny = leader.accept(LeaderHarness.withResources(cpus, Resources.of(1, 0, 1)));
    Job low =
        leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 16, "i"));
    assertTrue(low.pendingTasks.isEmpty());
    for (Attempt attempt : leader.attempts()) {
      leader.scheduler.onAttemptObserved(attempt, Attempt.State.RUNNING);
    }
    leader.accept(LeaderHarness.spec("req-000003", JobKind.ARRAY, PriorityClass.HIGH, 3, "i"));
    assertEquals(3, low.attempts.values().stream().filter(LeaderHarness::isStopped).count());
    assertEquals(0, tiny.attempts.values().stream().filter(LeaderHarness::isStopped).count());
  }

  /**
   * Found on laval-ops: a guest's work of low rank was on every machine, and gangs of two, for
   * which nothing made way, waited for minutes until two machines happened to be empty at once.
   */
  @Test
  void tasksArePreemptedForAWholeGangOrNotAtAll() {
    for (int i = 0; i < 3; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    Job low =
        leader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 12, "i"));
    for (Attempt attempt : leader.attempts()) {
      leader.scheduler.onAttemptObserved(attempt, Attempt.State.RUNNING);
    }
    Resources whole = Resources.of(16, 4, 64);
    leader.accept(
        LeaderHarness.withResources(
            LeaderHarness.spec("req-000002", JobKind.GANG, PriorityClass.HIGH, 4, "i"), whole));
    assertEquals(
        0,
        low.attempts.values().stream().filter(LeaderHarness::isStopped).count(),
        "three machines are no room for four");
    Job gang =
        leader.accept(
            LeaderHarness.withResources(
                LeaderHarness.spec("req-000003", JobKind.GANG, PriorityClass.HIGH, 2, "i"), whole));
    assertEquals(8, low.attempts.values().stream().filter(LeaderHarness::isStopped).count());
    for (int i = 0; i < 3; i++) {
      TaskStatus[] tasks =
          leader.cluster.machine("m-" + i).attempts.values().stream()
              .map(
                  a ->
                      a.isWanted()
                          ? LeaderHarness.task(a, TaskState.RUNNING)
                          : LeaderHarness.exited(a, EndReason.STOPPED))
              .toArray(TaskStatus[]::new);
      leader.heartbeat("m-" + i, 2, tasks);
    }
    assertEquals(2, gang.attempts.size(), "the freed rooms are the gang's");
  }

  /** Found on colombo-ops: an array of 25,000 tasks kept the leader from renewing its lease. */
  @Test
  void aHugeArrayStartsAtABoundedRateAndASmallOneAtOnce() {
    for (int i = 0; i < 40; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec many = LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.NORMAL, 1000, "i");
    Job huge = leader.accept(LeaderHarness.withResources(many, Resources.of(0.25, 0, 0.5)));
    leader.runFor(Duration.ofMillis(500));
    assertTrue(huge.attempts.size() <= 240, "at once: " + huge.attempts.size());
    Job small =
        leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(8, small.attempts.size());
    leader.runFor(Duration.ofSeconds(4));
    int later = huge.attempts.size();
    assertTrue(later > 300 && later < 900, "after some seconds: " + later);
    leader.runFor(Duration.ofSeconds(8));
    assertTrue(huge.pendingTasks.isEmpty());
  }

  /** Found on laval: tasks sat out fetches of minutes while machines with the image came free. */
  @Test
  void aFetchingTaskMovesToFreeCapacityWhereItsImageIsCached() {
    leader.heartbeat("cold", 1);
    Job job =
        leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "img"));
    Attempt first = LeaderHarness.onlyAttempt(job);
    leader.heartbeat("cold", 2, LeaderHarness.task(first, TaskState.FETCHING_IMAGE));
    Machine warm = new Machine("warm", LeaderHarness.TYPE, "a", false, leader.now());
    warm.touchImage("img", 5);
    leader.cluster.addMachine(warm);
    leader.heartbeat("warm", 1);
    assertFalse(first.isWanted());
    leader.heartbeat("cold", 3, LeaderHarness.exited(first, EndReason.STOPPED));
    assertEquals("warm", LeaderHarness.onlyAttempt(job).machine.name);
  }
}
