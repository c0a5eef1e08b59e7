package io.pineladder;

import io.pineladder.failover.FailoverTimings;
import io.pineladder.model.Machine;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.wire.WorkerWire;
import io.pineladder.workers.WorkerManager;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** Answers workers' heartbeats during a term, and counts them toward the failover's timings. */
final class HeartbeatResponder {
  /** How long a leader that still reads the store extends workers' leases without orders. */
  private static final Duration LOADING_KEEP_ALIVE_DURATION = Duration.ofSeconds(2);

  private final TermLifecycle lifecycle;
  private final Leadership leadership;
  private final WorkerManager workers;
  private final ClusterState cluster;
  private final FailoverTimings.OngoingFailover failover;
  private final EventLoop eventLoop;

  /** Machines with placements recorded by earlier leaders that this term has heard. */
  private final Set<Machine> recordedMachinesHeard = new HashSet<>();

  HeartbeatResponder(
      TermLifecycle lifecycle,
      Leadership leadership,
      WorkerManager workers,
      ClusterState cluster,
      FailoverTimings.OngoingFailover failover,
      EventLoop eventLoop) {
    this.lifecycle = lifecycle;
    this.leadership = leadership;
    this.workers = workers;
    this.cluster = cluster;
    this.failover = failover;
    this.eventLoop = eventLoop;
  }

  /**
   * Takes a heartbeat in and gives the response's body; null when this controller must not extend
   * the worker's lease, and the worker must go elsewhere.
   *
   * @param relayed whether a peer forwarded it
   */
  byte[] onHeartbeat(WorkerWire.Heartbeat heartbeat, boolean relayed) {
    if (!lifecycle.isLeading()) {
      return mayExtendLeaseWhileLoading()
          ? WorkerWire.heartbeatResponse(lifecycle.term(), new WorkerWire.Orders())
          : null;
    }
    if (!leadership.isLeaseValid() && workers.holdsTasksOfEndedJobs(heartbeat.machine())) {
      // Without orders nothing ends a cancelled job's tasks but the end of the worker's lease.
      return null;
    }
    WorkerWire.Orders orders = workers.onHeartbeat(heartbeat, relayed);
    if (orders == null) {
      return null;
    }
    failover.recordPhase(FailoverTimings.Phase.FIRST_REPORT);
    Machine machine = cluster.machine(heartbeat.machine());
    if (failover.expectsMoreReports() && machine != null && machine.knownFromPlacements) {
      countHeard(machine);
    }
    return WorkerWire.heartbeatResponse(lifecycle.term(), orders);
  }

  /** While the store is read a lease is extended and the token shown to the worker, no more. */
  private boolean mayExtendLeaseWhileLoading() {
    return lifecycle.isLoading()
        && leadership.isLeaseValid()
        && eventLoop.now().isBefore(lifecycle.startedAt().plus(LOADING_KEEP_ALIVE_DURATION));
  }

  private void countHeard(Machine machine) {
    if (machine.state() == Machine.State.CONFIRMED && recordedMachinesHeard.add(machine)) {
      failover.onMachineReported();
    }
  }
}
