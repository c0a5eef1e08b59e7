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

/** Tests preemption, and the migration of tasks that fetch their image. */
class PreemptionTest {
  private final LeaderHarness leader = new LeaderHarness();

  /** Guards against late starts of services on machines that have to fetch their image first. */
  @Test
  void preemptsOnMachineWithCachedImageWhenFetchingTakesTooLong() {
    leader.heartbeat("warm", 1);
    Machine warm = leader.cluster.machine("warm");
    warm.touchImage("img-s", 5);
    Job array =
        leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 4, "img-a"));
    TaskStatus[] running =
        array.attempts.values().stream()
            .map(set -> LeaderHarness.taskStatus(set.iterator().next(), TaskState.RUNNING))
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
    assertTrue(job.attempts.isEmpty(), "it waits for capacity on the machine with its image");
    Attempt preempted =
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
                    a == preempted
                        ? LeaderHarness.exitedStatus(a, EndReason.STOPPED)
                        : LeaderHarness.taskStatus(a, TaskState.RUNNING))
            .toArray(TaskStatus[]::new);
    leader.heartbeat("warm", 3, after);
    assertEquals(warm, LeaderHarness.firstAttempt(job).machine);
  }

  /**
   * Guards against scanning all machines once per task, which blocked the leader for longer than
   * its lease, and against preempting tasks that do not hold the missing resource.
   */
  @Test
  void preemptsOnlyUsefulTasksInOneSchedulingCycle() {
    for (int i = 0; i < 4; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec cpuOnlySpec =
        LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 4, "i");
    Job cpuOnly = leader.accept(LeaderHarness.withResources(cpuOnlySpec, Resources.of(1, 0, 1)));
    Job low =
        leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 16, "i"));
    assertTrue(low.pendingTasks.isEmpty());
    for (Attempt attempt : leader.attempts()) {
      leader.scheduler.onAttemptObserved(attempt, Attempt.State.RUNNING);
    }
    leader.accept(LeaderHarness.spec("req-000003", JobKind.ARRAY, PriorityClass.HIGH, 3, "i"));
    assertEquals(3, low.attempts.values().stream().filter(LeaderHarness::isStopped).count());
    assertEquals(0, cpuOnly.attempts.values().stream().filter(LeaderHarness::isStopped).count());
  }

  /**
   * Guards against gangs that wait for minutes because no tasks of lower priority are preempted for
   * them.
   */
  @Test
  void preemptsForWholeGangOrNotAtAll() {
    for (int i = 0; i < 3; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    Job low =
        leader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 12, "i"));
    for (Attempt attempt : leader.attempts()) {
      leader.scheduler.onAttemptObserved(attempt, Attempt.State.RUNNING);
    }
    Resources wholeMachine = Resources.of(16, 4, 64);
    leader.accept(
        LeaderHarness.withResources(
            LeaderHarness.spec("req-000002", JobKind.GANG, PriorityClass.HIGH, 4, "i"),
            wholeMachine));
    assertEquals(
        0,
        low.attempts.values().stream().filter(LeaderHarness::isStopped).count(),
        "four tasks do not fit on three machines");
    Job gang =
        leader.accept(
            LeaderHarness.withResources(
                LeaderHarness.spec("req-000003", JobKind.GANG, PriorityClass.HIGH, 2, "i"),
                wholeMachine));
    assertEquals(8, low.attempts.values().stream().filter(LeaderHarness::isStopped).count());
    for (int i = 0; i < 3; i++) {
      TaskStatus[] tasks =
          leader.cluster.machine("m-" + i).attempts.values().stream()
              .map(
                  a ->
                      a.isWanted()
                          ? LeaderHarness.taskStatus(a, TaskState.RUNNING)
                          : LeaderHarness.exitedStatus(a, EndReason.STOPPED))
              .toArray(TaskStatus[]::new);
      leader.heartbeat("m-" + i, 2, tasks);
    }
    assertEquals(2, gang.attempts.size(), "the gang gets the freed machines");
  }

  /** Guards against large arrays that keep the leader from renewing its lease in time. */
  @Test
  void limitsStartRateOfLargeArray() {
    for (int i = 0; i < 40; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec largeSpec =
        LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.NORMAL, 1000, "i");
    Job huge = leader.accept(LeaderHarness.withResources(largeSpec, Resources.of(0.25, 0, 0.5)));
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

  /** Guards against waiting for a slow fetch although a machine with the image is free. */
  @Test
  void movesFetchingTaskToMachineWithCachedImage() {
    leader.heartbeat("cold", 1);
    Job job =
        leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "img"));
    Attempt first = LeaderHarness.firstAttempt(job);
    leader.heartbeat("cold", 2, LeaderHarness.taskStatus(first, TaskState.FETCHING_IMAGE));
    Machine warm = new Machine("warm", LeaderHarness.TYPE, "a", false, leader.now());
    warm.touchImage("img", 5);
    leader.cluster.addMachine(warm);
    leader.heartbeat("warm", 1);
    assertFalse(first.isWanted());
    leader.heartbeat("cold", 3, LeaderHarness.exitedStatus(first, EndReason.STOPPED));
    assertEquals("warm", LeaderHarness.firstAttempt(job).machine.name);
  }
}
