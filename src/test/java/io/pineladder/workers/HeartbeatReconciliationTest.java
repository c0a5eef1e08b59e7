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

/** Tests how current, late, duplicate and foreign heartbeats affect attempts. */
class HeartbeatReconciliationTest {
  private final LeaderHarness leader = new LeaderHarness();

  /** Guards against applying duplicates, or sending commands in their responses. */
  @Test
  void ignoresDuplicateHeartbeats() {
    leader.heartbeatResponse(2, 5, LeaderHarness.TERM);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    Machine machine = leader.cluster.machine("m-1");
    Attempt attempt = LeaderHarness.firstAttempt(job);
    Instant lastHeartbeatAt = machine.lastHeartbeatAt;
    leader.runFor(Duration.ofSeconds(3));
    long[][] copies = {{2, 5}, {2, 4}, {1, 900}, {2, 0}, {0, 7}};
    for (long[] copy : copies) {
      for (long token : new long[] {0, LeaderHarness.TERM - 1, LeaderHarness.TERM}) {
        String answer = leader.heartbeatResponse(copy[0], copy[1], token);
        assertFalse(answer.contains("start"), answer);
        assertEquals(lastHeartbeatAt, machine.lastHeartbeatAt);
        assertEquals(Machine.State.CONFIRMED, machine.state());
        assertEquals(2, machine.agentEpoch);
        assertEquals(5, machine.lastHeartbeatSequence);
        assertEquals(Attempt.State.PLACEMENT_STORED, attempt.state());
      }
    }
    assertTrue(leader.heartbeatResponse(2, 6, LeaderHarness.TERM).contains("start"));
  }

  /**
   * Guards against storing a completion that is received late, while a newer attempt of the same
   * task may still run: the next leader would not count it.
   */
  @Test
  void storesCompletionOnceNoOtherAttemptOfTaskExists() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 2, "i"));
    Attempt newer = job.attempts.get(0).iterator().next();
    Attempt other = job.attempts.get(1).iterator().next();
    leader.heartbeat(
        "m-1",
        2,
        LeaderHarness.taskStatus(newer, TaskState.RUNNING),
        LeaderHarness.taskStatus(other, TaskState.RUNNING));
    TaskStatus completed =
        new TaskStatus(new TaskId("req-1", 0), 3, TaskState.EXITED, EndReason.DONE, false);
    leader.heartbeat("m-2", 1, completed);
    Attempt completedAttempt = leader.cluster.machine("m-2").attempts.get(completed.attemptKey());
    assertTrue(job.completedTasks.get(0));
    leader.runFor(Duration.ofSeconds(2));
    assertFalse(completedAttempt.endProcessed, "not stored while the newer attempt may run");
    assertFalse(newer.isWanted(), "the newer attempt is stopped");
    leader.heartbeat(
        "m-1",
        3,
        LeaderHarness.exitedStatus(newer, EndReason.STOPPED),
        LeaderHarness.taskStatus(other, TaskState.RUNNING));
    leader.runFor(Duration.ofSeconds(2));
    assertTrue(completedAttempt.endProcessed);
    assertTrue(job.isActive());
  }

  /** Without this term's fencing token, a worker still accepts commands of an earlier leader. */
  @Test
  void doesNotReconcileHeartbeatWithOlderToken() {
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
  void ignoresOutOfOrderHeartbeat() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.firstAttempt(job);
    leader.heartbeat("m-1", 5, LeaderHarness.taskStatus(attempt, TaskState.RUNNING));
    leader.heartbeat("m-1", 4);
    assertEquals(Attempt.State.RUNNING, attempt.state());
  }

  @Test
  void endsTermOnNewerFencingToken() {
    assertNull(
        leader.workerManager.onHeartbeat(
            new Heartbeat("m-1", "10.1.0.1:9000", "g4", "a", false, 1, 1, 99, null, List.of())));
    assertEquals(List.of("token 99"), leader.resignations);
  }

  /** Guards against delayed heartbeats that add released machines again. */
  @Test
  void ignoresStaleHeartbeatOfReleasedMachine() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.firstAttempt(job);
    leader.heartbeat("m-1", 2, LeaderHarness.taskStatus(attempt, TaskState.RUNNING));
    leader.sentRequests.clear();
    leader.autoscaler.release(leader.cluster.machine("m-1"));
    assertEquals("/rentals/release", leader.sentRequests.peek().request().path());
    leader
        .sentRequests
        .poll()
        .onReply()
        .accept(AsyncHttpClient.Reply.answered(200, new byte[] {'{', '}'}));
    assertTrue(job.attempts.isEmpty());
    leader.heartbeat("m-1", 3, LeaderHarness.taskStatus(attempt, TaskState.RUNNING));
    assertTrue(job.attempts.isEmpty());
    assertNull(leader.cluster.machine("m-1"));
  }
}
