package io.pineladder.generation;

import io.pineladder.membership.Membership;
import io.pineladder.replica.RecordReplica;
import io.pineladder.wire.GossipWire.RecordStatus;
import java.time.Duration;
import java.util.List;

/**
 * Which controller claims a new generation after a data loss: the one with the best replica, as far
 * as gossip shows it, and any other once a bounded time has passed.
 */
final class RebuildDeferral {
  /** How much longer a controller without a complete replica defers to the others. */
  private static final Duration INCOMPLETE_REPLICA_DELAY = Duration.ofSeconds(8);

  /** The uptime below which peers may still be starting. */
  private static final Duration STARTUP_PERIOD = Duration.ofSeconds(20);

  /** How long a controller defers at most to a peer whose better replica is not used. */
  private static final Duration MAX_DEFERRAL = Duration.ofSeconds(12);

  private RebuildDeferral() {}

  /**
   * Whether a controller that did not lead leaves the claim to a peer for now.
   *
   * @param own the controller's replica
   * @param uptime since the controller's process started
   * @param sinceLoss since the controller detected the loss
   */
  static boolean mustDefer(
      RecordReplica own, List<Membership.PeerStatus> peers, Duration uptime, Duration sinceLoss) {
    // After a restart of all controllers the one with the best replica may be the last to start.
    boolean starting = uptime.compareTo(STARTUP_PERIOD) < 0;
    Duration delay = GenerationManager.MAX_PREVIOUS_LEASE.plus(INCOMPLETE_REPLICA_DELAY);
    if ((starting || !own.isComplete())
        && sinceLoss.compareTo(delay) < 0
        && peerMayHaveCompleteReplica(own, peers)) {
      return true;
    }
    return sinceLoss.compareTo(MAX_DEFERRAL) <= 0 && peerHasBetterReplica(own, peers);
  }

  private static boolean peerMayHaveCompleteReplica(
      RecordReplica own, List<Membership.PeerStatus> peers) {
    for (Membership.PeerStatus peer : peers) {
      if (peer.state() != Membership.State.UP
          || (!own.isComplete() && peer.recordStatus().replicaComplete())) {
        return true;
      }
    }
    return false;
  }

  private static boolean peerHasBetterReplica(
      RecordReplica own, List<Membership.PeerStatus> peers) {
    for (Membership.PeerStatus peer : peers) {
      if (peer.state() == Membership.State.UP && isBetter(peer.recordStatus(), own)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isBetter(RecordStatus status, RecordReplica own) {
    // Incomplete replicas are compared too: in the first seconds of a cluster none is complete, and
    // a controller that had read nothing yet wrote an empty generation.
    if (status.replicaComplete() != own.isComplete()) {
      return status.replicaComplete();
    }
    return status.replicaBase() > own.base()
        || (status.replicaBase() == own.base() && status.replicaRevision() > own.revision());
  }
}
