package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.TermTokens;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.WorkerWire.Heartbeat;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the status of workers to their machines: agent epoch, reclaim notice, state and attempts.
 * A status arrives in a heartbeat or in a reply to a command, and is ignored unless it is newer
 * than the last one applied.
 */
final class HeartbeatProcessor {
  private static final Logger log = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /** How a status arrived. */
  enum Source {
    /** Sent after the worker received the previous response, or gave up waiting for it. */
    HEARTBEAT,
    /** The response to the worker's previous heartbeat may still be in flight. */
    COMMAND_REPLY
  }

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final TermTokens tokens;
  private final WorkerManager.Listener listener;
  private final ReachabilityTracker reachability;
  private final AttemptReconciler reconciler;

  HeartbeatProcessor(
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
    this.reconciler =
        new AttemptReconciler(cluster, scheduler, eventLoop, tokens, listener, reachability);
  }

  /** Whether the status is newer than the last one applied to the machine. */
  static boolean isNewer(Heartbeat status, Machine machine) {
    return status.agentEpoch() > machine.agentEpoch
        || (status.agentEpoch() == machine.agentEpoch
            && status.sequence() > machine.lastHeartbeatSequence);
  }

  /**
   * Applies a status.
   *
   * @param viaPeer whether another controller forwarded it
   * @return the machine; null if the worker has a newer fencing token, or if the machine was
   *     released or has an unknown type
   */
  Machine apply(Heartbeat status, boolean viaPeer, Source source) {
    if (tokens.isOfLaterTerm(status.token())) {
      return null;
    }
    Machine machine = cluster.machine(status.machine());
    if (machine == null) {
      machine = addUnexpectedMachine(status);
      if (machine == null) {
        return null;
      }
    }
    if (!isNewer(status, machine)) {
      return machine;
    }
    machine.lastHeartbeatAt = eventLoop.now();
    machine.reachedThroughPeer = viaPeer;
    machine.address = status.address();
    if (status.agentEpoch() > machine.agentEpoch) {
      onNewAgentEpoch(machine, status.agentEpoch());
    }
    machine.lastHeartbeatSequence = status.sequence();
    updateReclaim(machine, status.reclaimNotice());
    if (status.token() < tokens.first()) {
      // Commands of an earlier leader may still take effect, so the task list proves nothing yet.
      if (machine.state() == Machine.State.EXPECTED) {
        machine.transitionTo(Machine.State.HEARD);
      }
      cluster.updateIndexes(machine);
      return machine;
    }
    boolean wasSchedulable = machine.isSchedulable();
    machine.transitionTo(Machine.State.CONFIRMED);
    reconciler.reconcile(machine, status, source);
    cluster.updateIndexes(machine);
    if (!wasSchedulable && machine.isSchedulable()) {
      scheduler.onMachineReady(machine);
    }
    if (machine.reclaimAt != null) {
      preemptBeforeReclaim(machine);
    }
    return machine;
  }

  private Machine addUnexpectedMachine(Heartbeat status) {
    if (listener.wasReleased(status.machine())) {
      // A delayed heartbeat would add the machine again, and its tasks could not be restarted.
      return null;
    }
    MachineType type = cluster.type(status.type());
    if (type == null) {
      log.warn(
          "Heartbeat of unknown machine type: machine={} type={}", status.machine(), status.type());
      return null;
    }
    Machine machine =
        new Machine(status.machine(), type, status.zone(), status.spot(), eventLoop.now());
    cluster.addMachine(machine);
    listener.onUnexpectedMachine(machine);
    return machine;
  }

  /** A worker drops all its tasks when its lease expires, so a new epoch starts without tasks. */
  private void onNewAgentEpoch(Machine machine, long agentEpoch) {
    long previousEpoch = machine.agentEpoch;
    machine.agentEpoch = agentEpoch;
    if (previousEpoch == 0) {
      return;
    }
    log.info(
        "Agent epoch changed: machine={} agentEpoch={} previous={}",
        machine,
        agentEpoch,
        previousEpoch);
    Duration halfLease = cluster.settings.workerTimes().leaseDuration().dividedBy(2);
    boolean responsesWereLost =
        machine.lastAnsweredAt != null
            && machine.lastAnsweredAt.plus(halfLease).isAfter(eventLoop.now());
    if (responsesWereLost) {
      reachability.update(machine, Machine.Reachability.UNREACHABLE);
    }
    for (Attempt attempt : List.copyOf(machine.attempts.values())) {
      boolean ofPreviousEpoch =
          attempt.wasObserved()
              || (attempt.startAgentEpoch != 0 && attempt.startAgentEpoch < agentEpoch);
      if (ofPreviousEpoch) {
        scheduler.onAttemptGone(attempt, "the agent epoch ended");
      }
    }
    if (responsesWereLost) {
      // The remaining attempts were never sent and would wait for an unreachable machine.
      for (Attempt attempt : List.copyOf(machine.attempts.values())) {
        if (attempt.holdsCapacity() && attempt.isWanted()) {
          scheduler.preempt(attempt);
        }
      }
    }
  }

  /**
   * Updates the time at which the cloud will reclaim the machine.
   *
   * @param timeLeft null if there is no reclaim notice
   */
  private void updateReclaim(Machine machine, Duration timeLeft) {
    if (timeLeft == null) {
      machine.reclaimAt = null;
      return;
    }
    Instant reclaimAt = eventLoop.now().plus(timeLeft);
    if (machine.reclaimAt == null) {
      log.info("Machine will be reclaimed: machine={} timeLeft={}", machine, timeLeft);
      machine.reclaimAt = reclaimAt;
      if (machine.spot) {
        cluster.spotRisk.recordReclaim();
      }
    } else if (reclaimAt.isBefore(machine.reclaimAt)) {
      machine.reclaimAt = reclaimAt;
    }
  }

  /** Preempts the machine's tasks, except those expected to end before the reclaim. */
  private void preemptBeforeReclaim(Machine machine) {
    Instant now = eventLoop.now();
    for (Attempt attempt : List.copyOf(machine.attempts.values())) {
      if (attempt.holdsCapacity()
          && attempt.isWanted()
          && !endsBeforeReclaim(attempt, machine, now)) {
        scheduler.preempt(attempt);
      }
    }
  }

  private static boolean endsBeforeReclaim(Attempt attempt, Machine machine, Instant now) {
    if (attempt.job.spec.kind() != JobKind.ARRAY || attempt.runningSince == null) {
      return false;
    }
    Instant expectedEnd = attempt.runningSince.plus(attempt.job.spec.estimatedRunTime());
    return expectedEnd.isBefore(machine.reclaimAt.minusSeconds(1)) && expectedEnd.isAfter(now);
  }
}
