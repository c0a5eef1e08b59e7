package io.pineladder.membership;

import io.pineladder.wire.GossipWire.PeerContact;
import java.time.Instant;

/** Numbers this process's heartbeats and remembers when the latest of them were made. */
final class SentHeartbeats {
  /** Heartbeats whose time is remembered; some six are made in a second. */
  private static final int HISTORY_SIZE = 256;

  private final String nonce;
  private final Instant[] madeAt = new Instant[HISTORY_SIZE];
  private long sequence;

  /**
   * The heartbeats of a process.
   *
   * @param nonce tells this process from others of the same controller
   */
  SentHeartbeats(String nonce) {
    this.nonce = nonce;
  }

  String nonce() {
    return nonce;
  }

  /** The number of a heartbeat that is made now. */
  long next(Instant now) {
    madeAt[(int) (++sequence % HISTORY_SIZE)] = now;
    return sequence;
  }

  /**
   * When the heartbeat was made that a peer acknowledges.
   *
   * @param acknowledged the newest heartbeat that the peer has received of this controller, or null
   * @return null if it is of another process, or of a number that is too old or was not used
   */
  Instant madeAt(PeerContact acknowledged) {
    if (acknowledged == null || !acknowledged.nonce().equals(nonce)) {
      return null;
    }
    long number = acknowledged.sequence();
    boolean remembered = number <= sequence && number > sequence - HISTORY_SIZE;
    return remembered ? madeAt[(int) (number % HISTORY_SIZE)] : null;
  }
}
