package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
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
 * Draws the conclusions from replies to command requests: whether the starts among the commands
 * took effect, whether commands reach the machine, and what its status in the reply says.
 */
final class CommandReplyHandler {
  private static final Logger log = LoggerFactory.getLogger(CommandReplyHandler.class);

  private final Scheduler scheduler;
  private final long term;
  private final WorkerManager.Listener listener;
  private final HeartbeatProcessor heartbeats;
  private final ReachabilityTracker reachability;

  CommandReplyHandler(
      Scheduler scheduler,
      long term,
      WorkerManager.Listener listener,
      HeartbeatProcessor heartbeats,
      ReachabilityTracker reachability) {
    this.scheduler = scheduler;
    this.term = term;
    this.listener = listener;
    this.heartbeats = heartbeats;
    this.reachability = reachability;
  }

  /**
   * Processes the reply to a command request, or that there is none.
   *
   * @param started the attempts with a start among the commands
   * @return whether what the machine's attempts call for now may be sent
   */
  boolean onReply(Machine machine, List<Attempt> started, Reply reply) {
    machine.commandInFlight = false;
    boolean executed = reply.hasStatus(200);
    // A status that the protocol does not name proves nothing, least of all that a start had no
    // effect.
    boolean refused = reply.hasStatus(409) || reply.hasStatus(400) || reply.outcome() == Outcome.NOT_SENT;
    settleStarts(started, executed, refused);
    if (refused || !executed) {
      // Kills in it may not have arrived; the next heartbeat response repeats them.
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
        if (status.token() > term) {
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
        // It does not list what it started, and a heartbeat from before the command may still come.
        started.forEach(attempt -> attempt.startUnconfirmed |= executed);
        reachability.update(machine, Machine.Reachability.DOUBTFUL);
      }
    }
    return true;
  }

  private void settleStarts(List<Attempt> started, boolean executed, boolean refused) {
    for (Attempt attempt : started) {
      attempt.directStartPending = false;
      if (refused) {
        attempt.startAgentEpoch = 0;
        if (!attempt.isWanted()) {
          // Killed while the start was on its way; nothing else would ever settle it.
          scheduler.onAttemptGone(attempt, "its start was refused");
        }
      } else if (!executed) {
        attempt.startUnconfirmed = true;
      }
    }
  }
}
