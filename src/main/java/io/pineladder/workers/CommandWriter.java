package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.model.TermTokens;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.Orders;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the start, kill and forget commands for a machine's attempts, and records on each attempt
 * what was sent and over which channel.
 */
final class CommandWriter {
  private static final Logger log = LoggerFactory.getLogger(CommandWriter.class);

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final TermTokens tokens;
  private final WorkerManager.Listener listener;

  /** How commands are sent. */
  enum Channel {
    /** In a request, which may take effect at any time during this agent epoch. */
    REQUEST,
    /**
     * In the response to the heartbeat with the machine's current sequence number. A response that
     * is dropped never takes effect.
     */
    HEARTBEAT_RESPONSE
  }

  CommandWriter(
      ClusterState cluster,
      EventLoop eventLoop,
      TermTokens tokens,
      WorkerManager.Listener listener) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.tokens = tokens;
    this.listener = listener;
  }

  /**
   * Writes the commands that the machine's attempts need now.
   *
   * @return the attempts whose start was written to a request; empty for a heartbeat response
   */
  List<Attempt> write(Machine machine, Orders commands, Channel channel) {
    List<Attempt> started = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      switch (attempt.state()) {
        case PLACEMENT_STORED -> {
          if (needsStart(attempt, channel)) {
            writeStart(attempt, commands, channel, started);
          }
        }
        case RECOVERED, FETCHING_IMAGE, WAITING_FOR_GANG, RUNNING, SAVING_CHECKPOINT ->
            writeKill(attempt, commands, channel);
        case EXITED -> {
          if (attempt.endProcessed
              && !attempt.startUnconfirmed
              && channel == Channel.HEARTBEAT_RESPONSE) {
            writeForget(machine, attempt.job.spec.id(), attempt.task, attempt.number, commands);
          }
        }
        default -> {}
      }
    }
    return started;
  }

  /** An unconfirmed start is repeated even if unwanted, so that the worker lists the task. */
  private static boolean needsStart(Attempt attempt, Channel channel) {
    boolean repeats = attempt.startUnconfirmed && channel == Channel.HEARTBEAT_RESPONSE;
    return repeats || (attempt.isWanted() && attempt.startAgentEpoch == 0);
  }

  private void writeStart(
      Attempt attempt, Orders commands, Channel channel, List<Attempt> started) {
    Machine machine = attempt.machine;
    if (!attempt.isWanted() && attempt.job.finalStateStored && isCancellationBoundNear(attempt)) {
      // There is no time left to have the start listed and the task ended. Only releasing the
      // machine prevents a delayed copy of the start from taking effect.
      listener.onCancellationUnprovable(machine);
      return;
    }
    boolean byRequest = channel == Channel.REQUEST;
    String job = attempt.job.spec.id();
    commands.start(job, attempt.task, attempt.number);
    attempt.startAgentEpoch = machine.agentEpoch;
    attempt.startHeartbeatSequence = byRequest ? -1 : machine.lastHeartbeatSequence;
    attempt.directStartPending = byRequest;
    if (byRequest) {
      started.add(attempt);
    }
    if (!attempt.isWanted()) {
      // A task that the worker lists as ended cannot be started by a delayed copy of the start.
      commands.kill(job, attempt.task, attempt.number, Duration.ZERO);
    }
  }

  private static void writeKill(Attempt attempt, Orders commands, Channel channel) {
    if (attempt.isWanted() || (channel == Channel.REQUEST && attempt.isKillSent())) {
      return;
    }
    boolean saving = attempt.state() == Attempt.State.SAVING_CHECKPOINT;
    if (!saving || attempt.killGracePeriod().isZero()) {
      commands.kill(attempt.job.spec.id(), attempt.task, attempt.number, attempt.killGracePeriod());
    }
    attempt.setKillSent(true);
  }

  /** Writes a forget command, unless a copy of an earlier request may still be executed. */
  private void writeForget(Machine machine, String job, int task, long number, Orders commands) {
    if (machine.commandFence.fenceRequests(tokens)) {
      log.debug(
          "Forget allowed: machine={} attempt={} token={} agentEpoch={}",
          machine,
          Machine.attemptKey(job, task, number),
          machine.commandFence.token(tokens),
          machine.agentEpoch);
      commands.forget(job, task, number);
    }
  }

  /** Whether half of the time limit for ending a cancelled job's tasks has passed. */
  private boolean isCancellationBoundNear(Attempt attempt) {
    Duration halfBound = cluster.settings.workerTimes().cancellationBound().dividedBy(2);
    return attempt.killedAt().plus(halfBound).isBefore(eventLoop.now());
  }

  /**
   * Writes commands for listed tasks without an attempt: exited tasks are forgotten and others
   * killed. While stored records may be missing, this is done only if the task's job is in memory
   * or proven to have ended.
   */
  void writeForUnknownTasks(Heartbeat heartbeat, Machine machine, Orders commands) {
    boolean recordsIncomplete = listener.areRecordsIncomplete();
    for (TaskStatus task : heartbeat.tasks()) {
      String job = task.task().job();
      if (machine.attempts.containsKey(task.attemptKey())) {
        continue;
      }
      if (task.state() != TaskState.EXITED && !cluster.jobs.containsKey(job)) {
        listener.onUnknownTask(job);
      }
      if (recordsIncomplete && !cluster.jobs.containsKey(job) && !listener.isJobEnded(job)) {
        // The job's record may be lost, and the user's client may submit the job again.
        continue;
      }
      if (task.state() == TaskState.EXITED) {
        writeForget(machine, job, task.task().index(), task.attempt(), commands);
      } else {
        commands.kill(job, task.task().index(), task.attempt(), Duration.ZERO);
      }
    }
  }
}
