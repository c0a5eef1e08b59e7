package io.pineladder.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.WorkerWire;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.TaskId;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WorkerManagerTest {
  private final LeaderHarness leader = new LeaderHarness();

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  private static TaskStatus exited(Attempt attempt, EndReason cause) {
    return new TaskStatus(
        new TaskId(attempt.job.spec.id(), attempt.task),
        attempt.number,
        TaskState.EXITED,
        cause,
        false);
  }

  /** A late copy of an unanswered start must find its attempt known, or it would run again. */
  @Test
  void anUnansweredStartIsHeldForTheWholeSession() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    String first = text(leader.heartbeat("m-1", 2));
    assertTrue(first.contains("start"), first);
    assertEquals(Attempt.State.PLACEMENT_STORED, attempt.state(), "absence proves nothing yet");
    leader.heartbeat("m-1", 3, LeaderHarness.task(attempt, TaskState.RUNNING));
    leader.scheduler.kill(attempt, Duration.ZERO);
    String after = text(leader.heartbeat("m-1", 4, exited(attempt, EndReason.STOPPED)));
    assertFalse(
        after.contains("\"forget\",\"piece\":\"req-1/0\",\"try\":" + attempt.number), after);
    leader.workerManager.onHeartbeat(
        new Heartbeat(
            "m-1", "10.1.0.1:9000", "g4", "a", false, 2, 1, LeaderHarness.TERM, null, List.of()));
    assertEquals(Attempt.State.GONE, attempt.state(), "the session's end settles it");
  }

  private String reported(long session, long sequence, long token) {
    WorkerWire.Orders orders =
        leader.workerManager.onHeartbeat(
            new Heartbeat(
                "m-1",
                "10.1.0.1:9000",
                "g4",
                "a",
                false,
                session,
                sequence,
                token,
                null,
                List.of()));
    return text(WorkerWire.heartbeatResponse(LeaderHarness.TERM, orders));
  }

  /** A copy of a report changes nothing, whenever it comes, and nobody waits for its answer. */
  @Test
  void aLateCopyOfAReportChangesNothing() {
    reported(2, 5, LeaderHarness.TERM);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    Machine machine = leader.cluster.machine("m-1");
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    Instant heard = machine.lastHeartbeatAt;
    leader.runFor(Duration.ofSeconds(3));
    long[][] copies = {{2, 5}, {2, 4}, {1, 900}, {2, 0}, {0, 7}};
    for (long[] copy : copies) {
      for (long token : new long[] {0, LeaderHarness.TERM - 1, LeaderHarness.TERM}) {
        String answer = reported(copy[0], copy[1], token);
        assertFalse(answer.contains("start"), answer);
        assertEquals(heard, machine.lastHeartbeatAt);
        assertEquals(Machine.State.CONFIRMED, machine.state());
        assertEquals(2, machine.agentEpoch);
        assertEquals(5, machine.lastHeartbeatSequence);
        assertEquals(Attempt.State.PLACEMENT_STORED, attempt.state());
      }
    }
    assertTrue(reported(2, 6, LeaderHarness.TERM).contains("start"));
  }

  /** It took new tasks with each new session, and none of them ever started. */
  @Test
  void aMachineThatReportsAndHearsNothingGetsNoWorkUntilItAnswers() {
    reported(1, 1, LeaderHarness.TERM);
    Machine machine = leader.cluster.machine("m-1");
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    assertEquals(Machine.Reachability.DOUBTFUL, machine.reachability());
    assertFalse(machine.isSchedulable());
    reported(1, 2, LeaderHarness.TERM);
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    reported(2, 1, LeaderHarness.TERM);
    assertEquals(Machine.Reachability.UNREACHABLE, machine.reachability());
    assertTrue(job.attempts.isEmpty(), "the new session is the proof");
    assertEquals(1, job.pending.cardinality(), "and the task waits for another machine");
    leader.runFor(Duration.ofSeconds(5));
    reported(2, 2, LeaderHarness.TERM);
    LeaderHarness.SentRequest probe = leader.nextCommand();
    probe.onReply().accept(AsyncHttpClient.Reply.answered(200, body(2, 3)));
    assertEquals(Machine.Reachability.REACHABLE, machine.reachability());
    assertTrue(machine.isSchedulable());
  }

  private static byte[] body(long session, long sequence) {
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
  void anAnswerToACommandSaysNothingOfAStartThatAResponseCarries() {
    reported(1, 1, LeaderHarness.TERM);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    Machine machine = leader.cluster.machine("m-1");
    leader.workerManager.probe(machine);
    LeaderHarness.SentRequest probe = leader.nextCommand();
    assertTrue(reported(1, 2, LeaderHarness.TERM).contains("start"));
    // The worker answered the probe before the response with the start reached it.
    probe.onReply().accept(AsyncHttpClient.Reply.answered(200, body(1, 3)));
    leader.scheduler.cancel(job);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(attempt.holdsCapacity(), "the start may be on its way");
    assertFalse(job.finalStateStored, "and so its user is told nothing yet");
    reported(1, 4, LeaderHarness.TERM);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(
        job.finalStateStored, "a report of the worker's own shows that the response was dropped");
  }

  private LeaderHarness.SentRequest startSent() {
    reported(1, 1, LeaderHarness.TERM);
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    return leader.nextCommand();
  }

  /** Only what the protocol names says that a start was not executed. */
  @ParameterizedTest
  @ValueSource(ints = {200, 201, 404, 421, 429, 500, 502, 503})
  void anAnswerThatTheProtocolDoesNotNameSettlesNoStart(int status) {
    startSent().onReply().accept(AsyncHttpClient.Reply.answered(status, new byte[] {'?'}));
    Attempt attempt = leader.attempts().get(0);
    leader.scheduler.cancel(attempt.job);
    // Sent before the command arrived there.
    reported(1, 2, LeaderHarness.TERM);
    leader.runFor(Duration.ofMillis(60));
    assertTrue(attempt.holdsCapacity(), "it may run");
    assertFalse(attempt.job.finalStateStored, "and nothing is told");
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 409, -1})
  void aStartThatTheProtocolSaysWasRefusedNeverRan(int status) {
    LeaderHarness.SentRequest start = startSent();
    Job job = leader.attempts().get(0).job;
    leader.scheduler.cancel(job);
    start
        .onReply()
        .accept(
            status < 0
                ? AsyncHttpClient.Reply.NOT_SENT
                : AsyncHttpClient.Reply.answered(status, body(1, 0)));
    leader.runFor(Duration.ofMillis(60));
    assertTrue(job.finalStateStored);
  }

  /** One that is heard through a peer gets its orders with the responses, and goes on working. */
  @Test
  void aMachineHeardThroughAPeerTakesWorkThoughDirectOrdersFail() {
    reported(1, 1, LeaderHarness.TERM);
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.UNKNOWN);
    Machine machine = leader.cluster.machine("m-1");
    leader.workerManager.onHeartbeat(
        new Heartbeat(
            "m-1", "10.1.0.1:9000", "g4", "a", false, 1, 2, LeaderHarness.TERM, null, List.of()),
        true);
    assertTrue(machine.isSchedulable());
  }

  /**
   * The other type's spot machines come before dear ones of the type that is cheapest by list
   * price.
   */
  @Test
  void allTypesSpotMachinesAreAskedForBeforeAnyOrdinaryOne() {
    leader.cluster.setTypes(
        List.of(
            new MachineType(
                "big",
                Resources.of(64, 16, 256),
                50,
                1,
                15,
                3.9,
                Duration.ofSeconds(20),
                List.of("a"))));
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.NORMAL, 8, "i"));
    List<String> asked = new ArrayList<>();
    for (int second = 0; second < 6; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sent.poll(); sent != null; sent = leader.sent.poll()) {
        if (sent.request().path().equals("/rentals")) {
          String body = text(sent.request().body());
          String type = body.contains("\"big\"") ? "big" : "g4";
          asked.add(type + (body.contains("\"loaners\":true") ? " spot" : ""));
          byte[] refusal = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(503, refusal));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, listOf()));
        }
      }
    }
    int ordinary = asked.indexOf("g4") < 0 ? asked.indexOf("big") : asked.indexOf("g4");
    assertTrue(asked.contains("g4 spot") && asked.contains("big spot"), asked.toString());
    assertTrue(ordinary < 0 || ordinary > asked.lastIndexOf("big spot"), asked.toString());
  }

  /** A response that was dropped is never executed late, so the next report proves absence. */
  @Test
  void aStartByAResponseThatWasDroppedGoesOutAgain() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    leader.nextCommand().onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    assertTrue(text(leader.heartbeat("m-1", 2)).contains("start"));
    assertTrue(text(leader.heartbeat("m-1", 3)).contains("start"));
    leader.scheduler.cancel(job);
    leader.runFor(Duration.ofMillis(10));
    assertFalse(text(leader.heartbeat("m-1", 4)).contains("start"));
    assertTrue(job.attempts.isEmpty());
  }

  /** Found by the simulation: such an attempt was never settled and its gang waited for ever. */
  @Test
  void aStartThatWasRefusedAfterItsTaskWasStoppedIsGone() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    LeaderHarness.SentRequest start = leader.nextCommand();
    leader.scheduler.kill(attempt, Duration.ZERO);
    start.onReply().accept(AsyncHttpClient.Reply.NOT_SENT);
    assertEquals(Attempt.State.GONE, attempt.state());
  }

  /**
   * Found by the simulation: the leader before knew of the completion and had not stored it, so the
   * task was started anew. Stored as complete while that start ran, the next leader did not count
   * it.
   */
  @Test
  void aCompletionIsStoredOnceNoOtherAttemptOfTheTaskIsAnywhere() {
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
    assertTrue(job.done.get(0));
    leader.runFor(Duration.ofSeconds(2));
    assertFalse(complete.mayBeForgotten, "not stored while the new attempt may run");
    assertFalse(anew.isWanted(), "it is stopped");
    leader.heartbeat(
        "m-1", 3, exited(anew, EndReason.STOPPED), LeaderHarness.task(other, TaskState.RUNNING));
    leader.runFor(Duration.ofSeconds(2));
    assertTrue(complete.mayBeForgotten);
    assertTrue(job.isActive());
  }

  /** Until a worker has our token an older leader's orders may still reach it. */
  @Test
  void aReportWithAnOlderTokenProvesNothingAndBringsNoWork() {
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

  /** While a gang gathers, the others keep waiting and a replacement completes it. */
  @Test
  void aLostTaskOfAGatheringGangIsReplacedUnderItsNumber() {
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
        exited(second, EndReason.NO_CAPACITY));
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
        exited(second, EndReason.NO_CAPACITY));
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
  void aGangDisplacedBeforeItsStartsWentOutWaitsAsAWhole() {
    leader.heartbeat("m-1", 1);
    leader.heartbeat("m-2", 1);
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 3, "i"));
    for (Attempt attempt : leader.attempts()) {
      attempt.startAgentEpoch = 0;
    }
    leader.scheduler.preempt(gang.attempts.get(2).iterator().next());
    assertTrue(gang.attempts.isEmpty(), "none was started anew: " + gang.attempts);
    assertEquals(3, gang.pending.cardinality());
  }

  @Test
  void aReportOlderThanOneKnownChangesNothing() {
    leader.heartbeat("m-1", 1);
    Job job = leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 1, "i"));
    Attempt attempt = LeaderHarness.onlyAttempt(job);
    leader.heartbeat("m-1", 5, LeaderHarness.task(attempt, TaskState.RUNNING));
    leader.heartbeat("m-1", 4);
    assertEquals(Attempt.State.RUNNING, attempt.state());
  }

  @Test
  void aHigherTokenMeansThatThisTermIsOver() {
    assertNull(
        leader.workerManager.onHeartbeat(
            new Heartbeat("m-1", "10.1.0.1:9000", "g4", "a", false, 1, 1, 99, null, List.of())));
    assertEquals(List.of("token 99"), leader.resignations);
  }

  /** Incident: reports held up in the network revived machines that had been returned. */
  @Test
  void aLateReportOfAReturnedMachineDoesNotBlockItsTasks() {
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

  /**
   * Ten machines, of which the first six fall silent.
   *
   * @param others the zone of the other four
   */
  private void sixFallSilent(String others, Duration watched) {
    leader.autoscaler.start();
    for (int i = 0; i < 10; i++) {
      leader.heartbeat(i < 6 ? "a" : others, "m-" + i, 1);
      leader.runFor(Duration.ofMillis(300));
    }
    for (int second = 0; second < watched.toSeconds(); second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (int i = 6; i < 10; i++) {
        leader.heartbeat(others, "m-" + i, 2 + second);
      }
    }
  }

  /** Found on laval: a cut zone's machines were given up one by one, each as if it were alone. */
  @Test
  void aZoneThatFallsSilentIsNotGivenUpWhileItsLeasesMayHold() {
    sixFallSilent("b", Duration.ofSeconds(25));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.SILENT, leader.cluster.machine("m-" + i).state());
    }
    leader.runFor(Duration.ofSeconds(1));
    assertTrue(leader.resignations.isEmpty());
  }

  /**
   * Found on laval-fleet: the first machines heard after a cut had all the others given up at once.
   */
  @Test
  void theRestOfAZoneThatWasCutHasTimeToBeHeardAgain() {
    sixFallSilent("b", Duration.ofSeconds(25));
    for (int i = 0; i < 3; i++) {
      leader.heartbeat("a", "m-" + i, 2);
    }
    for (int second = 0; second < 6; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (int i = 6; i < 10; i++) {
        leader.heartbeat("b", "m-" + i, 100 + second);
      }
      for (int i = 0; i < 3; i++) {
        leader.heartbeat("a", "m-" + i, 3 + second);
      }
    }
    for (int i = 3; i < 6; i++) {
      assertEquals(Machine.State.SILENT, leader.cluster.machine("m-" + i).state());
    }
  }

  /**
   * Found on laval-fleet: machines cut off by the hundred were taken for a cut zone and waited for
   * twice as long as their tasks could live, though others of the zone were heard all the time.
   */
  @Test
  void machinesSilentAmongOthersOfTheirZoneAreGivenUp() {
    sixFallSilent("a", Duration.ofSeconds(14));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-" + i).state());
    }
  }

  /**
   * Hung machines go on within their lease: where images are slow to come they are worth the wait.
   */
  @Test
  void manySilentAtOnceAreWaitedForAsLongAsTheirTasksLiveWhereOthersTakeLong() {
    leader.accept(LeaderHarness.spec("req-1", JobKind.SERVICE, PriorityClass.LOW, 1, "i"));
    sixFallSilent("a", Duration.ofSeconds(14));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.SILENT, leader.cluster.machine("m-" + i).state());
    }
    leader.runFor(Duration.ofSeconds(8));
    for (int i = 0; i < 6; i++) {
      assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-" + i).state());
    }
  }

  /** A leader that no worker reaches makes way, but only if it has heard one in its term. */
  @Test
  void aLeaderThatLosesAllWorkersResignsAndOneThatNeverHadAnyDoesNot() {
    leader.autoscaler.start();
    for (int i = 0; i < 3; i++) {
      Machine machine = new Machine("m-" + i, LeaderHarness.TYPE, "a", false, leader.now());
      machine.knownFromPlacements = true;
      machine.listedRunning = true;
      leader.cluster.addMachine(machine);
    }
    leader.runFor(Duration.ofSeconds(30));
    assertTrue(leader.resignations.isEmpty());
    leader.runFor(Duration.ofSeconds(20));
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-0").state());
    LeaderHarness other = new LeaderHarness();
    other.autoscaler.start();
    other.heartbeat("m-1", 1);
    other.heartbeat("m-2", 1);
    other.runFor(Duration.ofSeconds(14));
    assertTrue(other.resignations.contains("no worker is heard"));
  }

  /**
   * Found on colombo-ops: a leader that its workers could not reach, while its peers could, went on
   * for a minute with orders only in the reports that those handed on.
   */
  @Test
  void aLeaderThatMostWorkersReachOnlyThroughPeersMakesWay() {
    leader.autoscaler.start();
    for (int second = 0; second < 30; second++) {
      for (int i = 0; i < 5; i++) {
        leader.heartbeat("m-" + i, 1 + second);
        // After a takeover many come by detours, and two of five may be cut off themselves.
        boolean most = second < 10 || second >= 25;
        leader.cluster.machine("m-" + i).reachedThroughPeer = i < (most ? 4 : 2);
      }
      leader.runFor(Duration.ofMillis(700));
      assertEquals(second < 25, leader.resignations.isEmpty(), "second " + second);
    }
  }

  /**
   * Found on the gap day of colombo: the lease held again after an outage of 68 s, in which the
   * workers had been answered without taking in what they said, and 800 machines of 1,054 were
   * returned for it.
   */
  @Test
  void afterALongDoubtTheLeaderGivesNobodyUp() {
    leader.autoscaler.start();
    for (int second = 0; second < 5; second++) {
      for (int i = 0; i < 12; i++) {
        leader.heartbeat("m-" + i, 1 + second);
      }
      leader.runFor(Duration.ofMillis(280));
    }
    // All have work, so none is returned for having none.
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 48, "i"));
    assertEquals(48, leader.attempts().size());
    leader.leaseCertain = false;
    leader.runFor(Duration.ofSeconds(68));
    leader.leaseCertain = true;
    // Some are back at once; the others report within their time.
    for (int i = 0; i < 4; i++) {
      leader.heartbeat("m-" + i, 20);
    }
    leader.runFor(Duration.ofSeconds(6));
    assertTrue(leader.resignations.isEmpty(), leader.resignations.toString());
    for (int i = 0; i < 12; i++) {
      assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-" + i).state());
    }
    leader.runFor(Duration.ofSeconds(60));
    assertTrue(
        leader.cluster.machine("m-11") == null
            || leader.cluster.machine("m-11").state() != Machine.State.CONFIRMED,
        "one that stays silent is missed all the same");
  }

  /**
   * A leader that stands still keeps its lease when the state service was out meanwhile. Timers
   * fire before the reports that wait are read: nobody may be given up for this node's own silence.
   */
  @Test
  void afterAPauseOfItsOwnTheLeaderGivesNobodyUp() {
    leader.autoscaler.start();
    for (int second = 0; second < 5; second++) {
      for (int i = 0; i < 4; i++) {
        leader.heartbeat("m-" + i, 1 + second);
      }
      leader.runFor(Duration.ofMillis(760));
    }
    leader.pauseProcessFor(Duration.ofSeconds(20));
    leader.runFor(Duration.ofSeconds(3));
    assertTrue(leader.resignations.isEmpty(), leader.resignations.toString());
    for (int i = 0; i < 4; i++) {
      assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-" + i).state());
    }
  }

  /**
   * Found on the first laval: right after a takeover images were taken for small, and idle machines
   * whose images take minutes to fetch were returned as if any other were as good.
   */
  @Test
  void aNewLeaderKeepsIdleMachinesWhereImagesAreSlowToFetch() {
    leader.accept(
        LeaderHarness.spec("req-000001", JobKind.SERVICE, PriorityClass.PRODUCTION, 1, "i"));
    leader.autoscaler.start();
    for (int second = 0; second < 40; second++) {
      for (int i = 0; i < 6; i++) {
        Machine machine = leader.cluster.machine("m-" + i);
        TaskStatus[] tasks = machine == null ? new TaskStatus[0] : running(machine);
        leader.heartbeat("m-" + i, 1 + second, tasks);
      }
      leader.runFor(Duration.ofMillis(640));
    }
    for (int i = 0; i < 6; i++) {
      // 5 GB at 0.1 GB a second and 10 s of booting: having one ready again takes a minute.
      assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-" + i).state());
    }
  }

  /** Found by the bench's run of real processes: idle machines stayed rented after the last job. */
  @Test
  void withoutAnyJobIdleMachinesGoSoon() {
    leader.autoscaler.start();
    for (int second = 0; second < 40; second++) {
      leader.heartbeat("m-1", 1 + second);
      leader.heartbeat("m-2", 1 + second);
      leader.runFor(Duration.ofSeconds(1));
    }
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-1").state());
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-2").state());
  }

  /**
   * Found on laval-ops: after each change of the spot prices no machine counted as booting or spare
   * any more, and room was rented once again.
   */
  @Test
  void newPricesDoNotMakeBootingMachinesBeRentedAgain() {
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-1", JobKind.ARRAY, PriorityClass.LOW, 4, "i"));
    assertEquals(1, rentals());
    MachineType was = LeaderHarness.TYPE;
    leader.cluster.setTypes(
        List.of(
            new MachineType(
                was.name(),
                was.capacity(),
                was.cacheGb(),
                was.fetchGbPerSecond(),
                was.onDemandPrice(),
                was.spotPrice() * 1.1,
                was.bootTime(),
                was.zones())));
    leader.runFor(Duration.ofSeconds(3));
    assertEquals(0, rentals());
  }

  /** Found on colombo-ops: a guest's work for idle time had every ordinary machine rented. */
  @Test
  void workForIdleTimeHasNoOrdinaryMachineRentedUntilItHasWaitedForLong() {
    leader.autoscaler.start();
    leader.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(Set.of(true), kindsAskedFor(Duration.ofSeconds(60)));
    leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.NORMAL, 8, "i"));
    assertEquals(Set.of(true, false), kindsAskedFor(Duration.ofSeconds(60)));
    LeaderHarness other = new LeaderHarness();
    other.autoscaler.start();
    other.accept(LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(Set.of(true, false), kindsAskedFor(other, Duration.ofMinutes(11)));
  }

  /**
   * Found on colombo-ops: a guest's work for idle time kept a thousand machines from being
   * returned.
   */
  @Test
  void workForIdleTimeDoesNotKeepAnOrdinaryMachine() {
    for (int i = 0; i < 2; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec like = LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 7, "i");
    leader.accept(
        LeaderHarness.spec("req-000001", JobKind.SERVICE, PriorityClass.PRODUCTION, 1, "i"));
    Job filler =
        leader.accept(
            new JobSpec(
                like.id(),
                like.jobClass(),
                like.team(),
                like.kind(),
                like.priorityClass(),
                7,
                like.resourcesPerTask(),
                null,
                null,
                false,
                false,
                true,
                "i",
                5,
                Duration.ofSeconds(300),
                Duration.ofSeconds(30),
                Duration.ofSeconds(3),
                null));
    leader.autoscaler.start();
    assertTrue(filler.pending.isEmpty());
    for (int second = 0; second < 70; second++) {
      for (int i = 0; i < 2; i++) {
        leader.heartbeat("m-" + i, 2 + second, running(leader.cluster.machine("m-" + i)));
      }
      leader.runFor(Duration.ofMillis(880));
    }
    int kept = leader.cluster.machine("m-0").draining ? 1 : 0;
    assertTrue(leader.cluster.machine("m-" + (1 - kept)).draining, "only filled");
    assertTrue(leader.cluster.machine("m-" + kept).isSchedulable(), "a replica runs there");
    assertEquals(
        4,
        filler.attempts.values().stream().filter(WorkerManagerTest::isStopped).count(),
        "what filled the one makes way");
  }

  private static TaskStatus[] running(Machine machine) {
    return machine.attempts.values().stream()
        .filter(a -> a.state() != Attempt.State.PLACEMENT_PENDING)
        .map(a -> LeaderHarness.task(a, TaskState.RUNNING))
        .toArray(TaskStatus[]::new);
  }

  private Set<Boolean> kindsAskedFor(Duration within) {
    return kindsAskedFor(leader, within);
  }

  /** Refuses all rentals and tells whether spot machines (true) and others were asked for. */
  private static Set<Boolean> kindsAskedFor(LeaderHarness of, Duration within) {
    Set<Boolean> kinds = new HashSet<>();
    for (long second = 0; second < within.toSeconds(); second++) {
      of.runFor(Duration.ofSeconds(1));
      for (var sent = of.sent.poll(); sent != null; sent = of.sent.poll()) {
        if (sent.request().path().equals("/rentals")) {
          kinds.add(text(sent.request().body()).contains("\"loaners\":true"));
          byte[] refusal = "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(503, refusal));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, listOf()));
        }
      }
    }
    return kinds;
  }

  /** Answers what the fleet asks of the cloud and counts the machines it wants rented. */
  private int rentals() {
    int wanted = 0;
    for (int second = 0; second < 3; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sent.poll(); sent != null; sent = leader.sent.poll()) {
        if (sent.request().path().equals("/rentals")) {
          wanted++;
          byte[] names = ("{\"hosts\":[\"m-1\"]}").getBytes(StandardCharsets.UTF_8);
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, names));
        } else {
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, listOf()));
        }
      }
    }
    return wanted;
  }

  /** Found on the grown laval: one task's vain wait stopped the other's fetch, again and again. */
  @Test
  void aGangTaskThatWaitedInVainStartsAgainAndTheOtherGoesOnFetching() {
    leader.heartbeat("m-1", 1);
    Job gang = leader.accept(LeaderHarness.spec("req-1", JobKind.GANG, PriorityClass.LOW, 2, "i"));
    Attempt first = gang.attempts.get(0).iterator().next();
    Attempt second = gang.attempts.get(1).iterator().next();
    leader.heartbeat(
        "m-1",
        2,
        exited(first, EndReason.GANG_INCOMPLETE),
        LeaderHarness.task(second, TaskState.FETCHING_IMAGE));
    assertTrue(second.isWanted());
    assertFalse(gang.attempts.containsKey(0), "its machine still lists the attempt");
    leader.heartbeat("m-1", 3, LeaderHarness.task(second, TaskState.FETCHING_IMAGE));
    Attempt again = gang.attempts.get(0).iterator().next();
    assertEquals(first.number, again.number);
    assertEquals("m-1", again.machine.name);
  }

  private static byte[] listOf(String... machines) {
    StringBuilder hosts = new StringBuilder();
    for (String machine : machines) {
      hosts.append(hosts.isEmpty() ? "" : ",");
      hosts.append(
          """
          {"ref":"%s","addr":"10.1.0.1:9000","hull":"g4","yard":"a","loaners":true,
           "status":"running","age_s":60}\
          """
              .formatted(machine));
    }
    return ("{\"hosts\":[" + hosts + "],\"truncated\":false}").getBytes(StandardCharsets.UTF_8);
  }

  /** Found on the grown colombo: work on 148 machines taken at once waited for their silence. */
  @Test
  void aMachineThatIsNoLongerListedIsReturnedBeforeItIsMissed() {
    leader.autoscaler.start();
    boolean wasListed = false;
    for (int second = 0; second < 30; second++) {
      leader.heartbeat("m-1", 1 + second);
      leader.heartbeat("m-2", 1 + second);
      leader.runFor(Duration.ofSeconds(1));
      for (var sent = leader.sent.poll(); sent != null; sent = leader.sent.poll()) {
        if (sent.request().path().startsWith("/rentals?")) {
          // Until a list is surely younger than the machine's first, its absence means nothing.
          boolean all = !wasListed;
          byte[] list = all ? listOf("m-1", "m-2") : listOf("m-2");
          wasListed = true;
          sent.onReply().accept(AsyncHttpClient.Reply.answered(200, list));
        }
      }
      if (second == 4) {
        assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-1").state());
      }
      if (second == 20) {
        assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-1").state());
        assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-2").state());
        return;
      }
    }
  }

  @Test
  void oneSilentMachineIsReturned() {
    leader.autoscaler.start();
    for (int second = 0; second < 14; second++) {
      leader.runFor(Duration.ofSeconds(1));
      for (int i = 0; i < 5; i++) {
        if (i > 0 || second == 0) {
          leader.heartbeat("m-" + i, 1 + second);
        }
      }
    }
    assertEquals(Machine.State.RELEASING, leader.cluster.machine("m-0").state());
    assertEquals(Machine.State.CONFIRMED, leader.cluster.machine("m-1").state());
  }

  /** Found on colombo: services started on machines without their image came too late. */
  @Test
  void lowerWorkMakesWayWhereTheImageIsWhenFetchingWouldBeTooLate() {
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
                        ? exited(a, EndReason.STOPPED)
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
  void oneLookMakesRoomForAllTasksAndStopsOnlyWhatHelps() {
    for (int i = 0; i < 4; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec cpus = LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.LOW, 4, "i");
    Job tiny = leader.accept(of(cpus, Resources.of(1, 0, 1)));
    Job low =
        leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 16, "i"));
    assertTrue(low.pending.isEmpty());
    for (Attempt attempt : leader.attempts()) {
      leader.scheduler.onAttemptObserved(attempt, Attempt.State.RUNNING);
    }
    leader.accept(LeaderHarness.spec("req-000003", JobKind.ARRAY, PriorityClass.HIGH, 3, "i"));
    assertEquals(3, low.attempts.values().stream().filter(WorkerManagerTest::isStopped).count());
    assertEquals(0, tiny.attempts.values().stream().filter(WorkerManagerTest::isStopped).count());
  }

  /**
   * Found on laval-ops: a guest's work of low rank was on every machine, and gangs of two, for
   * which nothing made way, waited for minutes until two machines happened to be empty at once.
   */
  @Test
  void lowerWorkMakesWayForAWholeGangOrNotAtAll() {
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
        of(LeaderHarness.spec("req-000002", JobKind.GANG, PriorityClass.HIGH, 4, "i"), whole));
    assertEquals(
        0,
        low.attempts.values().stream().filter(WorkerManagerTest::isStopped).count(),
        "three machines are no room for four");
    Job gang =
        leader.accept(
            of(LeaderHarness.spec("req-000003", JobKind.GANG, PriorityClass.HIGH, 2, "i"), whole));
    assertEquals(8, low.attempts.values().stream().filter(WorkerManagerTest::isStopped).count());
    for (int i = 0; i < 3; i++) {
      TaskStatus[] tasks =
          leader.cluster.machine("m-" + i).attempts.values().stream()
              .map(
                  a ->
                      a.isWanted()
                          ? LeaderHarness.task(a, TaskState.RUNNING)
                          : exited(a, EndReason.STOPPED))
              .toArray(TaskStatus[]::new);
      leader.heartbeat("m-" + i, 2, tasks);
    }
    assertEquals(2, gang.attempts.size(), "the freed rooms are the gang's");
  }

  /** The same job with other tasks, which a gang must have together. */
  private static JobSpec of(JobSpec like, Resources each) {
    return new JobSpec(
        like.id(),
        like.jobClass(),
        like.team(),
        like.kind(),
        like.priorityClass(),
        like.tasks(),
        each,
        null,
        null,
        like.kind() == JobKind.GANG,
        false,
        true,
        like.image(),
        5,
        like.estimatedRunTime(),
        Duration.ZERO,
        Duration.ZERO,
        null);
  }

  private static boolean isStopped(Set<Attempt> attempts) {
    return attempts.stream().noneMatch(Attempt::isWanted);
  }

  /** Found on colombo-ops: an array of 25,000 tasks kept the leader from renewing its lease. */
  @Test
  void aHugeArrayStartsAtABoundedPaceAndASmallOneAtOnce() {
    for (int i = 0; i < 40; i++) {
      leader.heartbeat("m-" + i, 1);
    }
    JobSpec many = LeaderHarness.spec("req-000001", JobKind.ARRAY, PriorityClass.NORMAL, 1000, "i");
    Job huge = leader.accept(of(many, Resources.of(0.25, 0, 0.5)));
    leader.runFor(Duration.ofMillis(500));
    assertTrue(huge.attempts.size() <= 240, "at once: " + huge.attempts.size());
    Job small =
        leader.accept(LeaderHarness.spec("req-000002", JobKind.ARRAY, PriorityClass.LOW, 8, "i"));
    assertEquals(8, small.attempts.size());
    leader.runFor(Duration.ofSeconds(4));
    int later = huge.attempts.size();
    assertTrue(later > 300 && later < 900, "after some seconds: " + later);
    leader.runFor(Duration.ofSeconds(8));
    assertTrue(huge.pending.isEmpty());
  }

  /** Found on laval: tasks sat out fetches of minutes while machines with the image came free. */
  @Test
  void aFetchingTaskMovesToRoomWhereItsImageIs() {
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
    leader.heartbeat("cold", 3, exited(first, EndReason.STOPPED));
    assertEquals("warm", LeaderHarness.onlyAttempt(job).machine.name);
  }
}
