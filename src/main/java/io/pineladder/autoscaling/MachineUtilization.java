package io.pineladder.autoscaling;

import io.pineladder.model.Machine;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;

/** Computes how much of a machine is used by tasks that justify keeping it. */
final class MachineUtilization {
  private final ClusterState cluster;
  private final EventLoop eventLoop;

  MachineUtilization(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /**
   * Whether the machine runs no tasks that justify keeping it. Checkpointed tasks that may run on
   * idle capacity only do not justify an on-demand machine; otherwise such work keeps them rented,
   * as it kept a thousand of them on the colombo-ops deployment.
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

  /** The free share of the machine's capacity, from 0 to 1; 1 if the machine is idle. */
  double freeShare(Machine machine) {
    return isIdle(machine)
        ? 1
        : Math.max(0, 1 - machine.used.dominantShareOf(machine.type.capacity()));
  }
}
