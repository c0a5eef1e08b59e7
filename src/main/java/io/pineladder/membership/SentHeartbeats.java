package io.pineladder.membership;

import io.pineladder.wire.GossipWire.PeerContact;
import java.time.Instant;

/** Numbers the heartbeats of this process and records when the latest of them were created. */
final class SentHeartbeats {
  /** Number of heartbeats whose creation time is retained: about 40 s at six per second. */
  private static final int HISTORY_SIZE = 256;

  private final String nonce;
  private final Instant[] sentAt = new Instant[HISTORY_SIZE];
  private long sequence;

  /**
   * Creates an empty history.
   *
   * @param nonce identifies the incarnation of this controller's process
   */
  SentHeartbeats(String nonce) {
    this.nonce = nonce;
  }

  String nonce() {
    return nonce;
  }

  /** The number of a heartbeat that is created now. */
  long next(Instant now) {
    sentAt[(int) (++sequence % HISTORY_SIZE)] = now;
    return sequence;
  }

  /**
   * When the heartbeat that a peer acknowledges was created.
   *
   * @param acknowledged the newest heartbeat of this controller that the peer has received, or null
   * @return null if it is of another incarnation, or its number is too old or was never used
   */
  Instant sentAt(PeerContact acknowledged) {
    if (acknowledged == null || !acknowledged.nonce().equals(nonce)) {
      return null;
    }
    long number = acknowledged.sequence();
    boolean retained = number <= sequence && number > sequence - HISTORY_SIZE;
    return retained ? sentAt[(int) (number % HISTORY_SIZE)] : null;
  }
}
