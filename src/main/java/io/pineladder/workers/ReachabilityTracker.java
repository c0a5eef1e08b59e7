package io.pineladder.workers;

import io.pineladder.model.Machine;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes what is known of whether commands arrive at a machine whose heartbeats arrive here.
 *
 * <p>After a command without a reply the machine is probed with an empty command at its next
 * heartbeat, so a lost packet costs it no more than that. A machine whose agent epoch ended
 * although its heartbeats were answered in time has received nothing for a whole lease. Without
 * this state it was given new tasks in each new epoch, none of which ever started.
 */
final class ReachabilityTracker {
  private static final Logger log = LoggerFactory.getLogger(ReachabilityTracker.class);

  private final ClusterState cluster;
  private final Scheduler scheduler;

  ReachabilityTracker(ClusterState cluster, Scheduler scheduler) {
    this.cluster = cluster;
    this.scheduler = scheduler;
  }

  /** Sets the machine's reachability; the scheduler is told of one that may take tasks again. */
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
