package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.AttemptNumbers;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.TermTokens;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.TaskState;
import io.pineladder.wire.WorkerWire.TaskStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles a machine's attempts with the task list of its latest status.
 *
 * <p>Only a worker that holds this term's fencing token is reconciled. It rejects commands of
 * earlier leaders, so its list is complete: an attempt that is not listed is gone, unless its start
 * command may still be in flight.
 */
final class AttemptReconciler {
  private static final Logger log = LoggerFactory.getLogger(AttemptReconciler.class);

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final TermTokens tokens;
  private final WorkerManager.Listener listener;
  private final ReachabilityTracker reachability;

  /** Statuses reconciled so far; each attempt keeps the number of the last one that listed it. */
  private long reconciledStatuses;

  AttemptReconciler(
      ClusterState cluster,
      Scheduler scheduler,
      EventLoop eventLoop,
      TermTokens tokens,
      WorkerManager.Listener listener,
      ReachabilityTracker reachability) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.tokens = tokens;
    this.listener = listener;
    this.reachability = reachability;
  }

  /**
   * Updates the machine's attempts from the task list of its latest status.
   *
   * @param source whether the list arrived in a heartbeat or in a reply to a command
   */
  void reconcile(Machine machine, Heartbeat status, HeartbeatProcessor.Source source) {
    // Marks each listed attempt instead of building a set: a heartbeat may list hundreds of tasks.
    long mark = ++reconciledStatuses;
    machine.hasUnknownTasks = false;
    for (TaskStatus task : status.tasks()) {
      Attempt attempt = machine.attempts.get(task.attemptKey());
      if (attempt == null) {
        reportIfForgotten(machine, status, task);
        attempt = addUnrecordedAttempt(machine, task);
      }
      if (attempt == null) {
        if (task.state() != TaskState.EXITED) {
          machine.hasUnknownTasks = true;
        }
        continue;
      }
      attempt.lastListingHeartbeat = mark;
      if (attempt.state() == Attempt.State.PLACEMENT_STORED
          && attempt.startHeartbeatSequence >= 0) {
        // The start was sent in a heartbeat response, so that response has arrived.
        reachability.update(machine, Machine.Reachability.REACHABLE);
      }
      if (task.state() == TaskState.EXITED) {
        scheduler.onAttemptExited(attempt, task.endReason());
      } else {
        scheduler.onAttemptObserved(attempt, attemptState(task.state()));
      }
    }
    List<Attempt> unlisted = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.lastListingHeartbeat != mark) {
        unlisted.add(attempt);
      }
    }
    unlisted.forEach(attempt -> onUnlisted(attempt, status.sequence(), source));
  }

  private static Attempt.State attemptState(TaskState taskState) {
    return switch (taskState) {
      case FETCHING_IMAGE -> Attempt.State.FETCHING_IMAGE;
      case WAITING_FOR_GANG -> Attempt.State.WAITING_FOR_GANG;
      case RUNNING -> Attempt.State.RUNNING;
      case SAVING_CHECKPOINT -> Attempt.State.SAVING_CHECKPOINT;
      case EXITED -> Attempt.State.EXITED;
    };
  }

  /** Logs an attempt of this term without a record: it ended, and its start was executed again. */
  private void reportIfForgotten(Machine machine, Heartbeat status, TaskStatus task) {
    if (AttemptNumbers.termOf(task.attempt()) == tokens.first()) {
      log.warn(
          "Forgotten attempt listed again: machine={} attempt={} state={} token={} commandToken={}"
              + " agentEpoch={}",
          machine,
          task.attemptKey(),
          task.state(),
          status.token(),
          machine.commandFence.token(tokens),
          status.agentEpoch());
    }
  }

  /**
   * Adds an attempt for a listed task that has no stored placement. The attempt holds capacity
   * while it is listed. It is killed, unless stored records may be missing and the scheduler can
   * adopt it.
   *
   * @return null if the job is unknown or has no task with this index
   */
  private Attempt addUnrecordedAttempt(Machine machine, TaskStatus task) {
    Job job = cluster.jobs.get(task.task().job());
    if (job == null || task.task().index() >= job.spec.tasks()) {
      return null;
    }
    Attempt attempt =
        cluster.addAttempt(
            job,
            task.task().index(),
            task.attempt(),
            machine,
            eventLoop.now(),
            Attempt.State.RECOVERED);
    attempt.startAgentEpoch = machine.agentEpoch;
    if (task.state() != TaskState.EXITED
        && !(listener.areRecordsIncomplete() && scheduler.adoptUnrecorded(attempt))) {
      log.info("Killing task without a stored placement: attempt={}", attempt);
      job.pendingTasks.clear(attempt.task);
      scheduler.kill(attempt, Duration.ZERO);
    }
    return attempt;
  }

  /** Handles an attempt that is missing from the latest status of its machine. */
  private void onUnlisted(Attempt attempt, long sequence, HeartbeatProcessor.Source source) {
    switch (attempt.state()) {
      case PLACEMENT_PENDING, GONE -> {}
      case PLACEMENT_STORED -> {
        if (attempt.startAgentEpoch == 0
            || attempt.directStartPending
            || attempt.startUnconfirmed) {
          // The start has not been sent, or was sent in a request that may still arrive.
          return;
        }
        if (source == HeartbeatProcessor.Source.COMMAND_REPLY
            || attempt.startHeartbeatSequence >= sequence) {
          // The worker may have sent this before it received the heartbeat response with the start,
          // which can be in flight for up to 4 s. Treating the attempt as gone would start the task
          // twice, or report a job as cancelled whose task still starts.
          return;
        }
        // The response with the start was dropped, and a dropped response is never executed late.
        if (attempt.isWanted()) {
          attempt.startAgentEpoch = 0;
          attempt.startHeartbeatSequence = -1;
        } else {
          scheduler.onAttemptGone(attempt, "the response with its start was dropped");
        }
      }
      default -> scheduler.onAttemptGone(attempt, "not listed in a newer heartbeat");
    }
  }
}
