package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
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
 * Reconciles the attempts of one machine with the task list of its newest status.
 *
 * <p>Only the status of a worker that holds this term's fencing token is reconciled: commands of an
 * older leader no longer take effect there, so the list is complete and an attempt that is absent
 * from it is proven gone, unless its start may still be on its way.
 */
final class AttemptReconciler {
  private static final Logger log = LoggerFactory.getLogger(AttemptReconciler.class);

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final WorkerManager.Listener listener;
  private final ReachabilityTracker reachability;

  /** The number of statuses reconciled so far, which marks the attempts that the newest lists. */
  private long reconciledStatuses;

  AttemptReconciler(
      ClusterState cluster,
      Scheduler scheduler,
      EventLoop eventLoop,
      WorkerManager.Listener listener,
      ReachabilityTracker reachability) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.listener = listener;
    this.reachability = reachability;
  }

  /**
   * Updates the machine's attempts from the task list of its newest status.
   *
   * @param source whether the worker sent the list as a heartbeat or as its reply to a command
   */
  void reconcile(Machine machine, Heartbeat status, HeartbeatProcessor.Source source) {
    // A mark on each attempt, not a set of names: a heartbeat may list hundreds of tasks.
    long mark = ++reconciledStatuses;
    machine.hasUnknownTasks = false;
    for (TaskStatus task : status.tasks()) {
      Attempt attempt = machine.attempts.get(task.attemptKey());
      if (attempt == null) {
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
        // Its start went out with a heartbeat response, which has therefore arrived.
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

  /**
   * Adds an attempt for a listed task without a stored placement. It holds capacity while it is
   * listed, and is killed unless records may be missing and it can be adopted.
   *
   * @return null if no such task is known
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

  /** The newest status of a machine that holds this term's token does not list the attempt. */
  private void onUnlisted(Attempt attempt, long sequence, HeartbeatProcessor.Source source) {
    switch (attempt.state()) {
      case PLACEMENT_PENDING, GONE -> {}
      case PLACEMENT_STORED -> {
        if (attempt.startAgentEpoch == 0
            || attempt.directStartPending
            || attempt.startUnconfirmed) {
          // The start was not sent yet, or one sent as a command may still arrive.
          return;
        }
        if (source == HeartbeatProcessor.Source.COMMAND_REPLY
            || attempt.startHeartbeatSequence >= sequence) {
          // The reply to a command is newer than the worker's heartbeat before it and yet older
          // than the response to that heartbeat, which may be on its way for 4 s. When it was taken
          // for proof, tasks were started elsewhere and jobs were reported as cancelled whose
          // starts were still to arrive.
          return;
        }
        // The response that carried the start was dropped, and is never executed late.
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
