package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.PriorityClass;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.TaskState;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the delivery of starts and kills in requests and heartbeat responses, when replies are lost
 * or commands are refused.
 */
class CommandDeliveryTest {
  private final LeaderHarness leader = new LeaderHarness();

  /**
   * The worker must keep listing the attempt, or a delayed copy of its start would run it again.
   */
  @Test
  void keepsUnansweredStartUntilAgentEpochEnds() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    Attempt attempt = LeaderHarness.firstAttempt(job);
    String first = LeaderHarness.bodyText(leader.heartbeat("m-1", 2));
    assertTrue(first.contains("start"), first);
    assertEquals(
        Attempt.State.PLACEMENT_STORED, attempt.state(), "an unlisted start may still arrive");
    leader.heartbeat("m-1", 3, LeaderHarness.taskStatus(attempt, TaskState.RUNNING));
    leader.scheduler.kill(attempt, Duration.ZERO);
    String after =
        LeaderHarness.bodyText(
            leader.heartbeat("m-1", 4, LeaderHarness.exitedStatus(attempt, EndReason.STOPPED)));
    assertFalse(
        after.contains("\"forget\",\"piece\":\"req-1/0\",\"try\":" + attempt.number), after);
    leader.workerManager.onHeartbeat(
        new Heartbeat(
            "m-1", "10.1.0.1:9000", "g4", "a", false, 2, 1, LeaderHarness.TERM, null, List.of()));
    assertEquals(
        Attempt.State.GONE, attempt.state(), "the attempt is gone once the agent epoch ends");
  }

  /** Guards against placing tasks, in each new agent epoch, where commands do not arrive. */
  @Test
  void schedulesNoTasksOnUnreachableMachineUntilItReplies() {
    leader.heartbeatResponse(1, 1, LeaderHarness.TERM);
    Machine machine = leader.cluster.machine("m-1");
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    assertEquals(Machine.Reachability.DOUBTFUL, machine.reachability());
    assertFalse(machine.isSchedulable());
    leader.heartbeatResponse(1, 2, LeaderHarness.TERM);
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    leader.heartbeatResponse(2, 1, LeaderHarness.TERM);
    assertEquals(Machine.Reachability.UNREACHABLE, machine.reachability());
    assertTrue(job.attempts.isEmpty(), "the new agent epoch proves the attempt gone");
    assertEquals(1, job.pendingTasks.cardinality(), "the task is pending again");
    leader.runFor(Duration.ofSeconds(5));
    leader.heartbeatResponse(2, 2, LeaderHarness.TERM);
    LeaderHarness.SentRequest probe = leader.nextCommand();
    probe.onReply().accept(AsyncHttpClient.Reply.answered(200, commandReplyBody(2, 3)));
    assertEquals(Machine.Reachability.REACHABLE, machine.reachability());
    assertTrue(machine.isSchedulable());
  }

  private static byte[] commandReplyBody(long agentEpoch, long sequence) {
    return ("{\"host\":\"m-1\",\"addr\":\"10.1.0.1:9000\",\"hull\":\"g4\",\"yard\":\"a\",\"loaners\":false,"
                + "\"shift\":"
            + agentEpoch
            + ",\"tally\":"
            + sequence
            + ",\"baton\":"
            + LeaderHarness.TERM
            + ",\"pieces\":[]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * The worker may send a command reply before it receives the response to its previous heartbeat.
   * Guards against treating a start in that response as dropped.
   */
  @Test
  void commandReplyDoesNotResolveStartInHeartbeatResponse() {
    leader.heartbeatResponse(1, 1, LeaderHarness.TERM);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    Attempt attempt = LeaderHarness.firstAttempt(job);
    Machine machine = leader.cluster.machine("m-1");
    leader.workerManager.probe(machine);
    LeaderHarness.SentRequest probe = leader.nextCommand();
    assertTrue(leader.heartbeatResponse(1, 2, LeaderHarness.TERM).contains("start"));
    // The worker answered the probe before the response with the start reached it.
    probe.onReply().accept(AsyncHttpClient.Reply.answered(200, commandReplyBody(1, 3)));
    leader.scheduler.cancel(job);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(attempt.holdsCapacity(), "the start may be in flight");
    assertFalse(job.finalStateStored, "no final state while the start may take effect");
    leader.heartbeatResponse(1, 4, LeaderHarness.TERM);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(job.finalStateStored, "the next heartbeat shows that the response was dropped");
  }

  private LeaderHarness.SentRequest sendStart() {
    leader.heartbeatResponse(1, 1, LeaderHarness.TERM);
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    return leader.nextCommand();
  }

  /** Only status codes defined by the protocol prove that a start was not executed. */
  @ParameterizedTest
  @ValueSource(ints = {200, 201, 404, 421, 429, 500, 502, 503})
  void unexpectedReplyStatusDoesNotResolveStart(int status) {
    sendStart().onReply().accept(AsyncHttpClient.Reply.answered(status, new byte[] {'?'}));
    Attempt attempt = leader.attempts().get(0);
    leader.scheduler.cancel(attempt.job);
    // This heartbeat was sent before the command arrived.
    leader.heartbeatResponse(1, 2, LeaderHarness.TERM);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(attempt.holdsCapacity(), "the task may run");
    assertFalse(attempt.job.finalStateStored, "no final state while the task may run");
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 409, -1})
  void refusedStartDidNotRun(int status) {
    LeaderHarness.SentRequest start = sendStart();
    Job job = leader.attempts().get(0).job;
    leader.scheduler.cancel(job);
    start
        .onReply()
        .accept(
            status < 0
                ? AsyncHttpClient.Reply.NOT_SENT
                : AsyncHttpClient.Reply.answered(status, commandReplyBody(1, 0)));
    leader.runFor(Duration.ofMillis(60));
    assertTrue(job.finalStateStored);
  }

  /** A machine whose heartbeats are forwarded gets its commands in the responses to these. */
  @Test
  void machineReachedThroughPeerIsSchedulableWhenCommandsFail() {
    leader.heartbeatResponse(1, 1, LeaderHarness.TERM);
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    Machine machine = leader.cluster.machine("m-1");
    leader.workerManager.onHeartbeat(
        new Heartbeat(
            "m-1", "10.1.0.1:9000", "g4", "a", false, 1, 2, LeaderHarness.TERM, null, List.of()),
        true);
    assertTrue(machine.isSchedulable());
  }

  /** A dropped response is never executed late, so the next heartbeat proves the start lost. */
  @Test
  void resendsStartOfDroppedHeartbeatResponse() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    assertTrue(LeaderHarness.bodyText(leader.heartbeat("m-1", 2)).contains("start"));
    assertTrue(LeaderHarness.bodyText(leader.heartbeat("m-1", 3)).contains("start"));
    leader.scheduler.cancel(job);
    leader.runFor(Duration.ofMillis(10));
    assertFalse(LeaderHarness.bodyText(leader.heartbeat("m-1", 4)).contains("start"));
    assertTrue(job.attempts.isEmpty());
  }

  /** Guards against an attempt that is never removed, whose gang would wait forever. */
  @Test
  void removesKilledAttemptWhenItsStartIsRefused() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.firstAttempt(job);
    LeaderHarness.SentRequest start = leader.nextCommand();
    leader.scheduler.kill(attempt, Duration.ZERO);
    start.onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    assertEquals(Attempt.State.GONE, attempt.state());
  }
}
