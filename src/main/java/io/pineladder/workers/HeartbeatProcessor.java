package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
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
 * Applies workers' statuses to the machines: agent epoch, announced reclaim, state and attempts. A
 * status arrives as a heartbeat or as the reply to a command, and counts only if it is newer than
 * the one applied last.
 */
final class HeartbeatProcessor {
  private static final Logger log = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /** How a status arrived. */
  enum Source {
    /** A worker sends it only once it has received or given up the response to the one before. */
    HEARTBEAT,
    /** The response to the heartbeat before it may still be on its way to the worker. */
    COMMAND_REPLY
  }

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final long term;
  private final WorkerManager.Listener listener;
  private final ReachabilityTracker reachability;
  private final AttemptReconciler reconciler;

  HeartbeatProcessor(
      ClusterState cluster,
      Scheduler scheduler,
      EventLoop eventLoop,
      long term,
      WorkerManager.Listener listener,
      ReachabilityTracker reachability) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.term = term;
    this.listener = listener;
    this.reachability = reachability;
    this.reconciler = new AttemptReconciler(cluster, scheduler, eventLoop, listener, reachability);
  }

  /** Whether the status is newer than the one applied last to the machine. */
  static boolean isNewer(Heartbeat status, Machine machine) {
    return status.agentEpoch() > machine.agentEpoch
        || (status.agentEpoch() == machine.agentEpoch
            && status.sequence() > machine.lastHeartbeatSequence);
  }

  /**
   * Applies a status.
   *
   * @param viaPeer whether another controller forwarded it
   * @return its machine, or null where nothing is to be answered: the worker has a newer fencing
   *     token, or the machine was released or is of an unknown type
   */
  Machine apply(Heartbeat status, boolean viaPeer, Source source) {
    if (status.token() > term) {
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
    if (status.token() < term) {
      // Commands of an older leader may still reach it: its task list proves nothing yet.
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
      // A heartbeat delayed in the network would revive its tasks and block them.
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

  /** A worker forgets all its tasks when its lease expires; the next epoch starts empty. */
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
      // The rest was never sent, and would wait for a machine that nothing reaches.
      for (Attempt attempt : List.copyOf(machine.attempts.values())) {
        if (attempt.holdsCapacity() && attempt.isWanted()) {
          scheduler.preempt(attempt);
        }
      }
    }
  }

  /**
   * Takes over when the cloud will reclaim the machine.
   *
   * @param timeLeft null if no reclaim is announced
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

  /** Preempts what runs on a machine that will be reclaimed, unless it should end in time. */
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
