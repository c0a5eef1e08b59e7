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

/** Answers workers' heartbeats during a term, and counts them for the failover timings. */
final class HeartbeatResponder {
  /** How long a leader whose term is still loading extends workers' leases without orders. */
  private static final Duration LOADING_KEEP_ALIVE_DURATION = Duration.ofSeconds(2);

  private final TermLifecycle lifecycle;
  private final Leadership leadership;
  private final WorkerManager workers;
  private final ClusterState cluster;
  private final FailoverTimings.OngoingFailover failover;
  private final EventLoop eventLoop;

  /** Machines with placements stored by earlier leaders that are confirmed in this term. */
  private final Set<Machine> confirmedMachines = new HashSet<>();

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
   * Handles a heartbeat.
   *
   * @param relayed whether a peer forwarded the heartbeat
   * @return the response body; null if this controller must not extend the worker's lease, so that
   *     the worker has to try another controller
   */
  byte[] onHeartbeat(WorkerWire.Heartbeat heartbeat, boolean relayed) {
    if (!lifecycle.isLeading()) {
      return mayExtendLeaseWhileLoading()
          ? WorkerWire.heartbeatResponse(lifecycle.term(), new WorkerWire.Orders())
          : null;
    }
    if (!leadership.isLeaseValid() && workers.holdsTasksOfEndedJobs(heartbeat.machine())) {
      // No orders may be sent now, so only the expiry of the worker's lease ends these tasks.
      return null;
    }
    WorkerManager.Response response = workers.onHeartbeat(heartbeat, relayed);
    if (response == null) {
      return null;
    }
    failover.recordPhase(FailoverTimings.Phase.FIRST_REPORT);
    Machine machine = cluster.machine(heartbeat.machine());
    if (failover.expectsMoreHeartbeats() && machine != null && machine.knownFromPlacements) {
      countConfirmedMachine(machine);
    }
    return WorkerWire.heartbeatResponse(response.token(), response.commands());
  }

  /** While the term is loading, a response only extends the lease and carries the fencing token. */
  private boolean mayExtendLeaseWhileLoading() {
    return lifecycle.isLoading()
        && leadership.isLeaseValid()
        && eventLoop.now().isBefore(lifecycle.startedAt().plus(LOADING_KEEP_ALIVE_DURATION));
  }

  private void countConfirmedMachine(Machine machine) {
    if (machine.state() == Machine.State.CONFIRMED && confirmedMachines.add(machine)) {
      failover.onMachineHeartbeat();
    }
  }
}
