package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.PriorityClass;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.TaskId;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What heartbeats prove about attempts, and what late, duplicate and foreign ones do not. */
class HeartbeatReconciliationTest {
  private final LeaderHarness leader = new LeaderHarness();

  /** A copy of a report changes nothing, whenever it comes, and nobody waits for its answer. */
  @Test
  void aDuplicateHeartbeatChangesNothing() {
    leader.heartbeatResponse(2, 5, LeaderHarness.TERM);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    Machine machine = leader.cluster.machine("m-1");
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    Instant heard = machine.lastHeartbeatAt;
    leader.runFor(Duration.ofSeconds(3));
    long[][] copies = {{2, 5}, {2, 4}, {1, 900}, {2, 0}, {0, 7}};
    for (long[] copy : copies) {
      for (long token : new long[] {0, LeaderHarness.TERM - 1, LeaderHarness.TERM}) {
        String answer = leader.heartbeatResponse(copy[0], copy[1], token);
        assertFalse(answer.contains("start"), answer);
        assertEquals(heard, machine.lastHeartbeatAt);
        assertEquals(Machine.State.CONFIRMED, machine.state());
        assertEquals(2, machine.agentEpoch);
        assertEquals(5, machine.lastHeartbeatSequence);
        assertEquals(Attempt.State.PLACEMENT_STORED, attempt.state());
      }
    }
    assertTrue(leader.heartbeatResponse(2, 6, LeaderHarness.TERM).contains("start"));
  }

  /**
   * Found by the simulation: the leader before knew of the completion and had not stored it, so the
   * task was started anew. Stored as complete while that start ran, the next leader did not count
   * it.
   */
  @Test
  void aCompletionIsStoredOnceNoOtherAttemptOfTheTaskExists() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 2, "i"));
    Attempt anew = job.attempts.get(0).iterator().next();
    Attempt other = job.attempts.get(1).iterator().next();
    leader.heartbeat(
        "m-1",
        2,
        LeaderHarness.task(anew, TaskState.RUNNING),
        LeaderHarness.task(other, TaskState.RUNNING));
    TaskStatus before =
        new TaskStatus(new TaskId("req-1", 0), 3, TaskState.EXITED, EndReason.DONE, false);
    leader.heartbeat("m-2", 1, before);
    Attempt complete = leader.cluster.machine("m-2").attempts.get(before.attemptKey());
    assertTrue(job.completedTasks.get(0));
    leader.runFor(Duration.ofSeconds(2));
    assertFalse(complete.endProcessed, "not stored while the new attempt may run");
    assertFalse(anew.isWanted(), "it is stopped");
    leader.heartbeat(
        "m-1",
        3,
        LeaderHarness.exited(anew, EndReason.STOPPED),
        LeaderHarness.task(other, TaskState.RUNNING));
    leader.runFor(Duration.ofSeconds(2));
    assertTrue(complete.endProcessed);
    assertTrue(job.isActive());
  }

  /** Until a worker has our token an older leader's orders may still reach it. */
  @Test
  void aHeartbeatWithAnOlderTokenProvesNothingAndBringsNoTasks() {
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.workerManager.onHeartbeat(
        new Heartbeat("m-1", "10.1.0.1:9000", "g4", "a", false, 1, 1, 3, null, List.of()));
    leader.runFor(Duration.ofMillis(10));
    assertEquals(Machine.State.HEARD, leader.cluster.machine("m-1").state());
    assertTrue(job.attempts.isEmpty());
    Machine machine = leader.cluster.machine("m-1");
    Attempt older =
        leader.cluster.addAttempt(job, 0, 5, machine, leader.now(), Attempt.State.RECOVERED);
    leader.workerManager.onHeartbeat(
        new Heartbeat("m-1", "10.1.0.1:9000", "g4", "a", false, 1, 2, 3, null, List.of()));
    assertEquals(Attempt.State.RECOVERED, older.state());
    leader.heartbeat("m-1", 3);
    assertEquals(Attempt.State.GONE, older.state());
  }

  @Test
  void aHeartbeatOlderThanTheNewestChangesNothing() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    leader.heartbeat("m-1", 5, LeaderHarness.task(attempt, TaskState.RUNNING));
    leader.heartbeat("m-1", 4);
    assertEquals(Attempt.State.RUNNING, attempt.state());
  }

  @Test
  void aNewerFencingTokenEndsTheTerm() {
    assertNull(
        leader.workerManager.onHeartbeat(
            new Heartbeat("m-1", "10.1.0.1:9000", "g4", "a", false, 1, 1, 99, null, List.of())));
    assertEquals(List.of("token 99"), leader.resignations);
  }

  /** Incident: reports held up in the network revived machines that had been returned. */
  @Test
  void aStaleHeartbeatOfAReleasedMachineDoesNotBlockItsTasks() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    leader.heartbeat("m-1", 2, LeaderHarness.task(attempt, TaskState.RUNNING));
    leader.sent.clear();
    leader.autoscaler.release(leader.cluster.machine("m-1"));
    assertEquals("/rentals/release", leader.sent.peek().request().path());
    leader.sent.poll().onReply().accept(AsyncHttpClient.Reply.answered(200, new byte[] {'{', '}'}));
    assertTrue(job.attempts.isEmpty());
    leader.heartbeat("m-1", 3, LeaderHarness.task(attempt, TaskState.RUNNING));
    assertTrue(job.attempts.isEmpty());
    assertNull(leader.cluster.machine("m-1"));
  }
}
