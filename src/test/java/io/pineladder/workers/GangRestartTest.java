package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.PriorityClass;
import io.pineladder.wire.WorkerWire.TaskState;
import org.junit.jupiter.api.Test;

/** Tests gangs that lose a task before all their tasks run. */
class GangRestartTest {
  private final LeaderHarness leader = new LeaderHarness();

  /** While a gang waits for its tasks, a lost task is replaced and the others are kept. */
  @Test
  void replacesLostTaskOfWaitingGangWithSameAttemptNumber() {
    leader.heartbeat("m-1", 1);
    leader.heartbeat("m-2", 1);
    leader.cluster.machine("m-1").draining = true;
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 2, "i"));
    Attempt first = gang.attempts.get(0).iterator().next();
    Attempt second = gang.attempts.get(1).iterator().next();
    leader.heartbeat(
        "m-2",
        2,
        LeaderHarness.taskStatus(first, TaskState.WAITING_FOR_GANG),
        LeaderHarness.exitedStatus(second, EndReason.NO_CAPACITY));
    assertFalse(
        first.isWanted(),
        "the only machine still lists the lost attempt, so the whole gang restarts");
    LeaderHarness otherLeader = new LeaderHarness();
    otherLeader.heartbeat("m-2", 1);
    gang = otherLeader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 2, "i"));
    first = gang.attempts.get(0).iterator().next();
    second = gang.attempts.get(1).iterator().next();
    otherLeader.cluster.machine("m-2").draining = true;
    otherLeader.heartbeat("m-1", 1);
    otherLeader.heartbeat(
        "m-2",
        2,
        LeaderHarness.taskStatus(first, TaskState.WAITING_FOR_GANG),
        LeaderHarness.exitedStatus(second, EndReason.NO_CAPACITY));
    assertTrue(first.isWanted());
    Attempt replacement = gang.attempts.get(1).iterator().next();
    assertEquals(second.number, replacement.number);
    assertEquals("m-1", replacement.machine.name);
  }

  /**
   * Guards against treating the tasks as lost and restarting them one by one: the preempted task is
   * not restarted, so the gang would never be complete.
   */
  @Test
  void requeuesWholeGangPreemptedBeforeStart() {
    leader.heartbeat("m-1", 1);
    leader.heartbeat("m-2", 1);
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 3, "i"));
    for (Attempt attempt : leader.attempts()) {
      attempt.startAgentEpoch = 0;
    }
    leader.scheduler.preempt(gang.attempts.get(2).iterator().next());
    assertTrue(gang.attempts.isEmpty(), "no task was restarted: " + gang.attempts);
    assertEquals(3, gang.pendingTasks.cardinality());
  }

  /** Guards against stopping a task's image fetch because another task timed out waiting. */
  @Test
  void restartsTimedOutGangTaskWhileOtherTaskFetchesImage() {
    leader.heartbeat("m-1", 1);
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 2, "i"));
    Attempt first = gang.attempts.get(0).iterator().next();
    Attempt second = gang.attempts.get(1).iterator().next();
    leader.heartbeat(
        "m-1",
        2,
        LeaderHarness.exitedStatus(first, EndReason.GANG_INCOMPLETE),
        LeaderHarness.taskStatus(second, TaskState.FETCHING_IMAGE));
    assertTrue(second.isWanted());
    assertFalse(gang.attempts.containsKey(0), "its machine still lists the attempt");
    leader.heartbeat("m-1", 3, LeaderHarness.taskStatus(second, TaskState.FETCHING_IMAGE));
    Attempt restarted = gang.attempts.get(0).iterator().next();
    assertEquals(first.number, restarted.number);
    assertEquals("m-1", restarted.machine.name);
  }
}
