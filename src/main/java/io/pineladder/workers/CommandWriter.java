package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.Orders;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes the start, kill and forget commands that a machine's attempts call for, and notes on each
 * attempt what was sent and how.
 */
final class CommandWriter {
  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final WorkerManager.Listener listener;

  /** How commands go out. */
  enum Channel {
    /** By a request of their own, which may take effect at any time in this agent epoch. */
    REQUEST,
    /**
     * With the response to the heartbeat that the machine's present sequence number belongs to. A
     * response that is dropped never takes effect.
     */
    HEARTBEAT_RESPONSE
  }

  CommandWriter(ClusterState cluster, EventLoop eventLoop, WorkerManager.Listener listener) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.listener = listener;
  }

  /**
   * Writes the commands that the machine's attempts call for now.
   *
   * @return the attempts with a start among the commands of a request; none for a response
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
            commands.forget(attempt.job.spec.id(), attempt.task, attempt.number);
          }
        }
        default -> {}
      }
    }
    return started;
  }

  /** An unconfirmed start is repeated, wanted or not: only then does the worker list its task. */
  private static boolean needsStart(Attempt attempt, Channel channel) {
    boolean repeats = attempt.startUnconfirmed && channel == Channel.HEARTBEAT_RESPONSE;
    return repeats || (attempt.isWanted() && attempt.startAgentEpoch == 0);
  }

  private void writeStart(
      Attempt attempt, Orders commands, Channel channel, List<Attempt> started) {
    Machine machine = attempt.machine;
    if (!attempt.isWanted() && attempt.job.finalStateStored && isCancellationBoundNear(attempt)) {
      // Too late to have its start listed and ended: only the machine's release keeps a late copy
      // of the start from taking effect. Found by the simulation, after a leader was paused.
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
      // Once listed and ended it cannot be started by a late copy of the first command.
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

  /** Whether half of the time in which a cancelled job's tasks must be gone is over. */
  private boolean isCancellationBoundNear(Attempt attempt) {
    Duration halfBound = cluster.settings.workerTimes().cancellationBound().dividedBy(2);
    return attempt.killedAt().plus(halfBound).isBefore(eventLoop.now());
  }

  /**
   * Writes commands for the listed tasks that no attempt accounts for: those that ended are
   * forgotten, the others killed. While records may be missing this needs the proof that their job
   * is over.
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
        // The job may have been lost, and come back with its user's repeated submission.
        continue;
      }
      if (task.state() == TaskState.EXITED) {
        commands.forget(job, task.task().index(), task.attempt());
      } else {
        commands.kill(job, task.task().index(), task.attempt(), Duration.ZERO);
      }
    }
  }
}
