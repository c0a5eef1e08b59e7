package io.pineladder.generation;

import io.pineladder.membership.Membership;
import io.pineladder.replica.RecordReplica;
import io.pineladder.wire.GossipWire.RecordStatus;
import java.time.Duration;
import java.util.List;

/**
 * Decides which controller claims a new generation after a data loss: the one with the best replica
 * according to gossip, or any other after a bounded delay.
 */
final class RebuildDeferral {
  /** How long a starting controller, or one with an incomplete replica, defers additionally. */
  private static final Duration INCOMPLETE_REPLICA_DELAY = Duration.ofSeconds(8);

  /** The uptime during which peers may still be starting. */
  private static final Duration STARTUP_PERIOD = Duration.ofSeconds(20);

  /** Maximum time for which a controller defers to a peer with a better replica. */
  private static final Duration MAX_DEFERRAL = Duration.ofSeconds(12);

  private RebuildDeferral() {}

  /**
   * Whether a controller that did not lead must leave the claim to a peer for now.
   *
   * @param own the controller's replica
   * @param uptime time since the controller's process started
   * @param sinceLoss time since the controller detected the loss
   */
  static boolean mustDefer(
      RecordReplica own, List<Membership.PeerStatus> peers, Duration uptime, Duration sinceLoss) {
    // After a restart of all controllers, the one with the best replica may start last.
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
          || (!own.isCompleteAndReadable() && peer.recordStatus().replicaComplete())) {
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
    // Incomplete replicas are compared too: while a new cluster starts none is complete, and a
    // controller with an empty replica must not write an empty generation.
    if (status.replicaComplete() != own.isCompleteAndReadable()) {
      return status.replicaComplete();
    }
    return status.replicaBase() > own.base()
        || (status.replicaBase() == own.base() && status.replicaRevision() > own.revision());
  }
}
