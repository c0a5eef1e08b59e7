package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.model.TermTokens;
import io.pineladder.net.AsyncHttpClient.Outcome;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.WorkerWire;
import io.pineladder.wire.WorkerWire.Heartbeat;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes replies to command requests: resolves the starts among the commands, updates the
 * machine's reachability and applies the status that the reply carries.
 */
final class CommandReplyHandler {
  private static final Logger log = LoggerFactory.getLogger(CommandReplyHandler.class);

  private final Scheduler scheduler;
  private final TermTokens tokens;
  private final WorkerManager.Listener listener;
  private final HeartbeatProcessor heartbeats;
  private final ReachabilityTracker reachability;

  CommandReplyHandler(
      Scheduler scheduler,
      TermTokens tokens,
      WorkerManager.Listener listener,
      HeartbeatProcessor heartbeats,
      ReachabilityTracker reachability) {
    this.scheduler = scheduler;
    this.tokens = tokens;
    this.listener = listener;
    this.heartbeats = heartbeats;
    this.reachability = reachability;
  }

  /**
   * Processes the outcome of a command request, including a missing reply.
   *
   * @param started the attempts whose start was among the commands
   * @return whether further commands may be sent to the machine now
   */
  boolean onReply(Machine machine, List<Attempt> started, Reply reply) {
    machine.commandInFlight = false;
    boolean executed = reply.hasStatus(200);
    // Any other status code proves nothing; in particular not that a start had no effect.
    boolean refused =
        reply.hasStatus(409) || reply.hasStatus(400) || reply.outcome() == Outcome.NOT_SENT;
    resolveStarts(started, executed, refused);
    if (refused || !executed) {
      // Kills in the request may not have arrived; the next heartbeat response repeats them.
      machine.attempts.values().forEach(a -> a.setKillSent(false));
    }
    if (!reply.isAnswered()) {
      if (machine.reachability() == Machine.Reachability.REACHABLE) {
        log.info("Command not answered: machine={} reply={}", machine, reply);
        reachability.update(machine, Machine.Reachability.DOUBTFUL);
      }
      return false;
    }
    reachability.update(machine, Machine.Reachability.REACHABLE);
    if (executed || reply.status() == 409) {
      try {
        Heartbeat status = WorkerWire.parseHeartbeat(reply.body());
        if (tokens.isOfLaterTerm(status.token())) {
          listener.onNewerFencingToken(status.token());
          return false;
        }
        heartbeats.apply(
            status, machine.reachedThroughPeer, HeartbeatProcessor.Source.COMMAND_REPLY);
      } catch (MalformedMessageException e) {
        log.warn(
            "Command reply malformed: machine={} reply={} error={}",
            machine,
            reply,
            e.getMessage());
        // The reply lists no tasks, and a heartbeat sent before the command may still arrive.
        started.forEach(attempt -> attempt.startUnconfirmed |= executed);
        reachability.update(machine, Machine.Reachability.DOUBTFUL);
      }
    }
    return true;
  }

  private void resolveStarts(List<Attempt> started, boolean executed, boolean refused) {
    for (Attempt attempt : started) {
      attempt.directStartPending = false;
      if (refused) {
        attempt.startAgentEpoch = 0;
        if (!attempt.isWanted()) {
          // Killed while the start was in flight. No other event would remove the attempt.
          scheduler.onAttemptGone(attempt, "its start was refused");
        }
      } else if (!executed) {
        attempt.startUnconfirmed = true;
      }
    }
  }
}
