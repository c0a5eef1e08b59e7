package io.pineladder.autoscaling;

import io.pineladder.model.Machine;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;

/** How much of a machine is in use by tasks that it is worth keeping for. */
final class MachineUtilization {
  private final ClusterState cluster;
  private final EventLoop eventLoop;

  MachineUtilization(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /**
   * Whether nothing runs there that the machine is worth keeping for. Checkpointed work that runs
   * on idle capacity only fills an on-demand machine but does not keep it. Found on colombo-ops,
   * where a guest's kept a thousand rented.
   */
  boolean isIdle(Machine machine) {
    if (machine.attempts.isEmpty()) {
      return true;
    }
    return !machine.spot
        && machine.attempts.values().stream()
            .allMatch(
                a ->
                    a.job.spec.isCheckpointed()
                        && cluster.runsOnIdleCapacityOnly(a.job, eventLoop.wallClock()));
  }

  /** The share of the machine's capacity that is free, 0 to 1; 1 if it is idle. */
  double freeShare(Machine machine) {
    return isIdle(machine) ? 1 : Math.max(0, 1 - machine.used.dominantShareOf(machine.type.capacity()));
  }
}
