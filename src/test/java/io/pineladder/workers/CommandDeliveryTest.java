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
 * Whether starts and kills take effect, by commands and by heartbeat responses, when replies are
 * lost or refused.
 */
class CommandDeliveryTest {
  private final LeaderHarness leader = new LeaderHarness();

  /** A late copy of an unanswered start must find its attempt known, or it would run again. */
  @Test
  void anUnansweredStartIsKeptForTheWholeAgentEpoch() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    String first = LeaderHarness.text(leader.heartbeat("m-1", 2));
    assertTrue(first.contains("start"), first);
    assertEquals(Attempt.State.PLACEMENT_STORED, attempt.state(), "absence proves nothing yet");
    leader.heartbeat("m-1", 3, LeaderHarness.task(attempt, TaskState.RUNNING));
    leader.scheduler.kill(attempt, Duration.ZERO);
    String after =
        LeaderHarness.text(
            leader.heartbeat("m-1", 4, LeaderHarness.exited(attempt, EndReason.STOPPED)));
    assertFalse(
        after.contains("\"forget\",\"piece\":\"req-1/0\",\"try\":" + attempt.number), after);
    leader.workerManager.onHeartbeat(
        new Heartbeat(
            "m-1", "10.1.0.1:9000", "g4", "a", false, 2, 1, LeaderHarness.TERM, null, List.of()));
    assertEquals(Attempt.State.GONE, attempt.state(), "the session's end settles it");
  }

  /** It took new tasks with each new session, and none of them ever started. */
  @Test
  void anUnreachableMachineThatSendsHeartbeatsGetsNoTasksUntilItReplies() {
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
    assertTrue(job.attempts.isEmpty(), "the new session is the proof");
    assertEquals(1, job.pendingTasks.cardinality(), "and the task waits for another machine");
    leader.runFor(Duration.ofSeconds(5));
    leader.heartbeatResponse(2, 2, LeaderHarness.TERM);
    LeaderHarness.SentRequest probe = leader.nextCommand();
    probe.onReply().accept(AsyncHttpClient.Reply.answered(200, commandReplyBody(2, 3)));
    assertEquals(Machine.Reachability.REACHABLE, machine.reachability());
    assertTrue(machine.isSchedulable());
  }

  private static byte[] commandReplyBody(long session, long sequence) {
    return ("{\"host\":\"m-1\",\"addr\":\"10.1.0.1:9000\",\"hull\":\"g4\",\"yard\":\"a\",\"loaners\":false,"
                + "\"shift\":"
            + session
            + ",\"tally\":"
            + sequence
            + ",\"baton\":"
            + LeaderHarness.TERM
            + ",\"pieces\":[]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * The answer to a command is newer than the report before it and older than that report's
   * response: a start that went with the response may still arrive. It was taken as dropped.
   */
  @Test
  void aCommandReplyProvesNothingAboutAStartInAHeartbeatResponse() {
    leader.heartbeatResponse(1, 1, LeaderHarness.TERM);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    Machine machine = leader.cluster.machine("m-1");
    leader.workerManager.probe(machine);
    LeaderHarness.SentRequest probe = leader.nextCommand();
    assertTrue(leader.heartbeatResponse(1, 2, LeaderHarness.TERM).contains("start"));
    // The worker answered the probe before the response with the start reached it.
    probe.onReply().accept(AsyncHttpClient.Reply.answered(200, commandReplyBody(1, 3)));
    leader.scheduler.cancel(job);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(attempt.holdsCapacity(), "the start may be on its way");
    assertFalse(job.finalStateStored, "and so its user is told nothing yet");
    leader.heartbeatResponse(1, 4, LeaderHarness.TERM);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(
        job.finalStateStored, "a report of the worker's own shows that the response was dropped");
  }

  private LeaderHarness.SentRequest sentStart() {
    leader.heartbeatResponse(1, 1, LeaderHarness.TERM);
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    return leader.nextCommand();
  }

  /** Only what the protocol names says that a start was not executed. */
  @ParameterizedTest
  @ValueSource(ints = {200, 201, 404, 421, 429, 500, 502, 503})
  void aReplyStatusOutsideTheProtocolSettlesNoStart(int status) {
    sentStart().onReply().accept(AsyncHttpClient.Reply.answered(status, new byte[] {'?'}));
    Attempt attempt = leader.attempts().get(0);
    leader.scheduler.cancel(attempt.job);
    // Sent before the command arrived there.
    leader.heartbeatResponse(1, 2, LeaderHarness.TERM);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(attempt.holdsCapacity(), "it may run");
    assertFalse(attempt.job.finalStateStored, "and nothing is told");
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 409, -1})
  void aRefusedStartNeverRan(int status) {
    LeaderHarness.SentRequest start = sentStart();
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

  /** One that is heard through a peer gets its orders with the responses, and goes on working. */
  @Test
  void aMachineHeardThroughAPeerIsSchedulableThoughCommandsFail() {
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

  /** A response that was dropped is never executed late, so the next report proves absence. */
  @Test
  void aStartInADroppedHeartbeatResponseIsSentAgain() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    assertTrue(LeaderHarness.text(leader.heartbeat("m-1", 2)).contains("start"));
    assertTrue(LeaderHarness.text(leader.heartbeat("m-1", 3)).contains("start"));
    leader.scheduler.cancel(job);
    leader.runFor(Duration.ofMillis(10));
    assertFalse(LeaderHarness.text(leader.heartbeat("m-1", 4)).contains("start"));
    assertTrue(job.attempts.isEmpty());
  }

  /** Found by the simulation: such an attempt was never settled and its gang waited for ever. */
  @Test
  void aStartRefusedAfterItsTaskWasKilledIsGone() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    LeaderHarness.SentRequest start = leader.nextCommand();
    leader.scheduler.kill(attempt, Duration.ZERO);
    start.onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    assertEquals(Attempt.State.GONE, attempt.state());
  }
}
