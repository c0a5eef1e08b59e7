package io.pineladder.api;

import io.pineladder.ControllerNode;
import io.pineladder.leadership.Election;
import io.pineladder.model.Settings;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.WorkerWire;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When this controller extends a worker's lease in place of a leader that the worker cannot reach.
 * Without that a zone cut off from its leader would lose all its tasks. Extending a lease is safe:
 * no leader takes a worker's lease expiry as proof that its tasks have ended. Event thread only.
 */
final class LeaseExtensionPolicy {
  /** A zone that is cut off for longer loses the tasks that run in it. */
  private static final Duration MAX_ISOLATED_LEASE_EXTENSION = Duration.ofMinutes(30);

  /** Between two attempts of a worker in a cut-off zone to find a leader elsewhere. */
  private static final Duration LEADER_SEARCH_INTERVAL = Duration.ofSeconds(40);

  /** How long a worker waits for a controller that does not respond. */
  private static final Duration UNRESPONSIVE_CONTROLLER_DELAY = Duration.ofSeconds(5);

  private final ControllerNode node;
  private final Instant startedAt;

  /** When each worker in a cut-off zone was last sent to the other controllers. */
  private final Map<String, Instant> lastLeaderSearches = new LinkedHashMap<>();

  LeaseExtensionPolicy(ControllerNode node) {
    this.node = node;
    this.startedAt = node.eventLoop().now();
  }

  /**
   * The fencing token with which this controller extends a worker's lease in place of the leader; 0
   * when it does not. Any controller may answer with a token that the worker has seen, as long as
   * its only orders end tasks of ended jobs.
   *
   * @param knownLeader may be null
   * @param leaderIsPeer whether the known leader is another controller
   */
  long leaseExtensionToken(
      WorkerWire.Heartbeat heartbeat, RecordWire.LeaderRecord knownLeader, boolean leaderIsPeer) {
    Election election = node.election();
    long newestToken = Math.max(heartbeat.token(), election.knownLeaderTerm());
    boolean storeHealthy = node.storeClient().isHealthy();
    if (leaderIsPeer) {
      if (!node.membership().isUnreachable(knownLeader.controllerName())) {
        return 0;
      }
      boolean replicaInStep =
          heartbeat.token() <= election.knownLeaderTerm()
              && node.replicaManager().follower().isFresh();
      return replicaInStep || mayExtendForUnreachableLeader(knownLeader, heartbeat)
          ? newestToken
          : 0;
    }
    if (election.holdsTerm()) {
      // The leader itself is cut off with the zone: it decides nothing, and running tasks go on. A
      // delayed command of a later leader may have shown the worker a higher token.
      return !storeHealthy && mayExtendWhileIsolated(heartbeat, election.leaseExpiresAt())
          ? newestToken
          : 0;
    }
    // A process that started in a zone that is cut off, or in an outage of the state service.
    boolean noLeaderKnown = knownLeader == null && !storeHealthy && heartbeat.token() > 0;
    return noLeaderKnown && mayExtendWhileIsolated(heartbeat, startedAt) ? heartbeat.token() : 0;
  }

  /**
   * Whether this controller extends a lease in place of a leader that it cannot reach.
   *
   * <p>The store need not confirm the term to a controller in the worker's own zone: such a
   * controller is most likely cut off along with the worker, and neither reaches any other.
   * Otherwise a cut would cost a zone its tasks depending on where the leader happened to run.
   */
  private boolean mayExtendForUnreachableLeader(
      RecordWire.LeaderRecord knownLeader, WorkerWire.Heartbeat heartbeat) {
    Duration maxExtension = Election.maxWorkerLeaseExtension(node.settings().workerTimes());
    Instant leaderHeartbeatAt =
        node.membership().answeredHeartbeatSentAt(knownLeader.controllerName());
    if (node.storeClient().isHealthy()) {
      return heartbeat.token() <= node.election().knownLeaderTerm()
          && leaderHeartbeatAt != null
          && node.eventLoop().now().isBefore(leaderHeartbeatAt.plus(maxExtension));
    }
    return mayExtendWhileIsolated(heartbeat, leaderHeartbeatAt);
  }

  /**
   * Whether this controller, which reaches neither leader nor store, extends a worker's lease: for
   * a worker of its own zone, since both are most likely cut off together, or of any zone while
   * most controllers report an outage of the store. It may do so for as long as the cut lasts,
   * since no user gets the answer that a job is cancelled while a task of it may still run.
   *
   * <p>This controller may also be the only one that is cut off, while the worker could reach a
   * leader. So after a while each worker is sent to the other controllers from time to time, and
   * returns well before its lease expires if none of them answers. This is not done in an outage of
   * the store for all: workers would go back and forth between a leader that does not extend their
   * leases and controllers that redirect them to it, until the leases expire.
   *
   * @param since when the leader was last known to lead; null when it is not known
   */
  private boolean mayExtendWhileIsolated(WorkerWire.Heartbeat heartbeat, Instant since) {
    Instant now = node.eventLoop().now();
    if (since == null
        // A peer that reaches the store has a leader or will: this controller alone is cut off.
        || node.membership().isStoreReachableByPeer()
        || now.isAfter(since.plus(MAX_ISOLATED_LEASE_EXTENSION))) {
      return false;
    }
    if (node.membership().isStoreUnreachableForMost()) {
      return true;
    }
    if (!heartbeat.zone().equals(node.settings().zone())) {
      return false;
    }
    Settings.WorkerTimes workerTimes = node.settings().workerTimes();
    if (now.isBefore(since.plus(Election.maxWorkerLeaseExtension(workerTimes)))) {
      return true;
    }
    Duration searchDuration =
        UNRESPONSIVE_CONTROLLER_DELAY
            .multipliedBy(node.settings().peers().size())
            .plus(workerTimes.heartbeatInterval().multipliedBy(5).dividedBy(4))
            .plusSeconds(3);
    return searchDuration.compareTo(workerTimes.leaseDuration()) <= 0
        && !beginLeaderSearch(heartbeat.machine(), now);
  }

  /** Whether a worker's next search for a leader is due; if so it is recorded as begun. */
  private boolean beginLeaderSearch(String machine, Instant now) {
    Instant lastSearch = lastLeaderSearches.get(machine);
    if (lastSearch == null) {
      // A random offset, so that the workers do not all search at the same time.
      long offsetMillis =
          (long) (node.eventLoop().random().nextDouble() * LEADER_SEARCH_INTERVAL.toMillis());
      lastSearch = now.minusMillis(offsetMillis);
      lastLeaderSearches.put(machine, lastSearch);
    }
    if (lastSearch.plus(LEADER_SEARCH_INTERVAL).isAfter(now)) {
      return false;
    }
    lastLeaderSearches.put(machine, now);
    if (lastLeaderSearches.size() > HeartbeatHandler.MAX_TRACKED_WORKERS) {
      lastLeaderSearches.remove(lastLeaderSearches.keySet().iterator().next());
    }
    return true;
  }
}
