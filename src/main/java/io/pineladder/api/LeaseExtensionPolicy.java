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
 * Decides when this controller extends a worker's lease on behalf of a leader that the worker
 * cannot reach, so that a zone partitioned from the leader does not lose all its tasks. This is
 * safe: no leader takes the expiry of a worker's lease as proof that its tasks have ended. Event
 * thread only.
 */
final class LeaseExtensionPolicy {
  /** Maximum duration of a partition for which the tasks of a partitioned zone are kept running. */
  private static final Duration MAX_ISOLATED_LEASE_EXTENSION = Duration.ofMinutes(30);

  /** Interval between a worker's searches for a leader while its zone is partitioned. */
  private static final Duration LEADER_SEARCH_INTERVAL = Duration.ofSeconds(40);

  /** Time that a worker waits for a controller that does not respond. */
  private static final Duration UNRESPONSIVE_CONTROLLER_DELAY = Duration.ofSeconds(5);

  private final ControllerNode node;
  private final Instant startedAt;

  /** When each worker in a partitioned zone was last redirected to the other controllers. */
  private final Map<String, Instant> lastLeaderSearches = new LinkedHashMap<>();

  LeaseExtensionPolicy(ControllerNode node) {
    this.node = node;
    this.startedAt = node.eventLoop().now();
  }

  /**
   * The fencing token with which this controller extends a worker's lease on behalf of the leader;
   * 0 if it does not extend it. Any controller may answer with a token that the worker has seen, as
   * long as it gives no orders except to end tasks of ended jobs.
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
      boolean replicaUpToDate =
          isTokenKnown(heartbeat.token()) && node.replicaManager().follower().isFresh();
      return replicaUpToDate || mayExtendForUnreachableLeader(knownLeader, heartbeat)
          ? newestToken
          : 0;
    }
    if (election.holdsTerm()) {
      // This controller leads but is partitioned along with the zone: it makes no decisions, and
      // running tasks continue. A delayed command of a later leader may have given the worker a
      // higher token.
      return !storeHealthy && mayExtendWhileIsolated(heartbeat, election.leaseExpiresAt())
          ? newestToken
          : 0;
    }
    // This process started in a partitioned zone or during an outage of the key-value store.
    boolean noLeaderKnown = knownLeader == null && !storeHealthy && heartbeat.token() > 0;
    return noLeaderKnown && mayExtendWhileIsolated(heartbeat, startedAt) ? heartbeat.token() : 0;
  }

  /**
   * Whether no leader is newer than what this controller knows of: the token is at most that of the
   * known leader key, or at most the revision up to which the replica has all changes.
   */
  private boolean isTokenKnown(long token) {
    return token <= node.election().knownLeaderTerm()
        || token <= node.replicaManager().follower().followedToken();
  }

  /**
   * Whether this controller extends a lease on behalf of a leader that it cannot reach.
   *
   * <p>A controller in the worker's own zone does not need the store to confirm the term: it is
   * most likely partitioned along with the worker, and neither reaches another controller.
   * Otherwise it would depend on the location of the leader whether a partitioned zone keeps its
   * tasks.
   */
  private boolean mayExtendForUnreachableLeader(
      RecordWire.LeaderRecord knownLeader, WorkerWire.Heartbeat heartbeat) {
    Duration maxExtension = Election.maxWorkerLeaseExtension(node.settings().workerTimes());
    Instant leaderHeartbeatAt =
        node.membership().answeredHeartbeatSentAt(knownLeader.controllerName());
    if (node.storeClient().isHealthy()) {
      return isTokenKnown(heartbeat.token())
          && leaderHeartbeatAt != null
          && node.eventLoop().now().isBefore(leaderHeartbeatAt.plus(maxExtension));
    }
    return mayExtendWhileIsolated(heartbeat, leaderHeartbeatAt);
  }

  /**
   * Whether this controller, which reaches neither the leader nor the store, extends a worker's
   * lease: for workers of its own zone, since both are most likely partitioned together, or of any
   * zone while most controllers report an outage of the store. It may do so up to {@link
   * #MAX_ISOLATED_LEASE_EXTENSION}, since a job is not reported as cancelled to users while one of
   * its tasks may still run.
   *
   * <p>This controller may also be the only one that is partitioned, while the worker could reach a
   * leader. So once the regular extension is used up, each worker is redirected to the other
   * controllers at intervals, and returns well before its lease expires if none of them answers.
   * During a general outage of the store this is not done: workers would alternate between a leader
   * that does not extend their leases and controllers that redirect them to it, until the leases
   * expire.
   *
   * @param since when the leader was last known to lead; null if unknown
   */
  private boolean mayExtendWhileIsolated(WorkerWire.Heartbeat heartbeat, Instant since) {
    Instant now = node.eventLoop().now();
    if (since == null
        // A peer reaches the store, so there is or will be a leader, and only this controller is
        // partitioned.
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
    // Time to try each peer, a heartbeat that is late by a quarter of its interval, and a margin.
    Duration searchDuration =
        UNRESPONSIVE_CONTROLLER_DELAY
            .multipliedBy(node.settings().peers().size())
            .plus(workerTimes.heartbeatInterval().multipliedBy(5).dividedBy(4))
            .plusSeconds(3);
    return searchDuration.compareTo(workerTimes.leaseDuration()) <= 0
        && !beginLeaderSearch(heartbeat.machine(), now);
  }

  /** Whether a worker's next search for a leader is due; if so, records its start. */
  private boolean beginLeaderSearch(String machine, Instant now) {
    Instant lastSearch = lastLeaderSearches.get(machine);
    if (lastSearch == null) {
      // Spreads the searches of the workers over the interval.
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
