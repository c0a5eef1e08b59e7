package io.pineladder.generation;

import io.pineladder.membership.Membership;
import io.pineladder.model.Generation;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Detects the failure of the controller that writes a new generation. */
final class RebuildWriterMonitor {
  /** How long the writer may be unreachable before its rebuild is abandoned. */
  private static final Duration WRITER_UNREACHABLE_TIMEOUT = Duration.ofSeconds(5);

  private Instant unreachableSince;

  /** Restarts the timeout, for another writer or one that is reachable. */
  void reset() {
    unreachableSince = null;
  }

  /**
   * Whether the writer has been unreachable, or its process replaced, for longer than the timeout.
   * To be called periodically; returning true resets the monitor.
   */
  boolean isAbandoned(Generation.Writer writer, List<Membership.PeerStatus> peers, Instant now) {
    if (isUp(writer, peers)) {
      reset();
      return false;
    }
    unreachableSince = unreachableSince == null ? now : unreachableSince;
    if (unreachableSince.plus(WRITER_UNREACHABLE_TIMEOUT).isBefore(now)) {
      reset();
      return true;
    }
    return false;
  }

  private static boolean isUp(Generation.Writer writer, List<Membership.PeerStatus> peers) {
    for (Membership.PeerStatus peer : peers) {
      if (peer.controllerName().equals(writer.controllerName())) {
        return peer.state() == Membership.State.UP && writer.nonce().equals(peer.nonce());
      }
    }
    return false;
  }
}
