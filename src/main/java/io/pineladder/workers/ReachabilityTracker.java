package io.pineladder.workers;

import io.pineladder.model.Machine;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks whether commands reach a machine that sends heartbeats.
 *
 * <p>A machine that did not reply to a command is probed with an empty command at its next
 * heartbeat, so a single lost packet has no lasting effect. A machine whose agent epoch ended
 * although its heartbeats were answered in time has received no responses for a whole lease. It
 * must get no new tasks: before this state existed it got some in each new epoch, and none started.
 */
final class ReachabilityTracker {
  private static final Logger log = LoggerFactory.getLogger(ReachabilityTracker.class);

  private final ClusterState cluster;
  private final Scheduler scheduler;

  ReachabilityTracker(ClusterState cluster, Scheduler scheduler) {
    this.cluster = cluster;
    this.scheduler = scheduler;
  }

  /** Sets the machine's reachability, and notifies the scheduler if it became schedulable. */
  void update(Machine machine, Machine.Reachability next) {
    if (machine.reachability() == next) {
      return;
    }
    log.info(
        "Machine reachability changed: machine={} reachability={} previous={}",
        machine,
        next,
        machine.reachability());
    boolean wasSchedulable = machine.isSchedulable();
    machine.setReachability(next);
    cluster.updateIndexes(machine);
    if (next == Machine.Reachability.DOUBTFUL) {
      machine.lastProbedAt = null;
    }
    if (!wasSchedulable && machine.isSchedulable()) {
      scheduler.onMachineReady(machine);
    }
  }
}
