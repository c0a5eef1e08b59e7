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

/** Gangs that lose a task before all of them run. */
class GangRestartTest {
  private final LeaderHarness leader = new LeaderHarness();

  /** While a gang gathers, the others keep waiting and a replacement completes it. */
  @Test
  void aLostTaskOfAWaitingGangIsReplacedUnderItsAttemptNumber() {
    leader.heartbeat("m-1", 1);
    leader.heartbeat("m-2", 1);
    leader.cluster.machine("m-1").draining = true;
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 2, "i"));
    Attempt first = gang.attempts.get(0).iterator().next();
    Attempt second = gang.attempts.get(1).iterator().next();
    leader.heartbeat(
        "m-2",
        2,
        LeaderHarness.task(first, TaskState.WAITING_FOR_GANG),
        LeaderHarness.exited(second, EndReason.NO_CAPACITY));
    assertFalse(first.isWanted(), "the only machine lists it already, so the gang starts again");
    LeaderHarness other = new LeaderHarness();
    other.heartbeat("m-2", 1);
    gang = other.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 2, "i"));
    first = gang.attempts.get(0).iterator().next();
    second = gang.attempts.get(1).iterator().next();
    other.cluster.machine("m-2").draining = true;
    other.heartbeat("m-1", 1);
    other.heartbeat(
        "m-2",
        2,
        LeaderHarness.task(first, TaskState.WAITING_FOR_GANG),
        LeaderHarness.exited(second, EndReason.NO_CAPACITY));
    assertTrue(first.isWanted());
    Attempt replacement = gang.attempts.get(1).iterator().next();
    assertEquals(second.number, replacement.number);
    assertEquals("m-1", replacement.machine.name);
  }

  /**
   * Found by the simulation: a gang was displaced before its starts went out. Task after task was
   * taken for lost and started anew, all but the one that had made way, and the gang never
   * completed.
   */
  @Test
  void aGangPreemptedBeforeItsStartsWereSentIsPendingAsAWhole() {
    leader.heartbeat("m-1", 1);
    leader.heartbeat("m-2", 1);
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 3, "i"));
    for (Attempt attempt : leader.attempts()) {
      attempt.startAgentEpoch = 0;
    }
    leader.scheduler.preempt(gang.attempts.get(2).iterator().next());
    assertTrue(gang.attempts.isEmpty(), "none was started anew: " + gang.attempts);
    assertEquals(3, gang.pendingTasks.cardinality());
  }

  /** Found on the grown laval: one task's vain wait stopped the other's fetch, again and again. */
  @Test
  void aGangTaskThatTimedOutStartsAgainWhileTheOtherGoesOnFetching() {
    leader.heartbeat("m-1", 1);
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 2, "i"));
    Attempt first = gang.attempts.get(0).iterator().next();
    Attempt second = gang.attempts.get(1).iterator().next();
    leader.heartbeat(
        "m-1",
        2,
        LeaderHarness.exited(first, EndReason.GANG_INCOMPLETE),
        LeaderHarness.task(second, TaskState.FETCHING_IMAGE));
    assertTrue(second.isWanted());
    assertFalse(gang.attempts.containsKey(0), "its machine still lists the attempt");
    leader.heartbeat("m-1", 3, LeaderHarness.task(second, TaskState.FETCHING_IMAGE));
    Attempt again = gang.attempts.get(0).iterator().next();
    assertEquals(first.number, again.number);
    assertEquals("m-1", again.machine.name);
  }
}
