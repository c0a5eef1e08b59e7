package io.pineladder;

/** The leadership of this controller as its term sees it: its lease, and the ways to give it up. */
interface Leadership {
  /** Whether no other controller can lead now, by this controller's clock. */
  boolean isLeaseValid();

  /**
   * Whether heartbeats are taken in: the lease is valid, or in doubt for less than workers' leases
   * may be extended without a leader.
   */
  boolean acceptsHeartbeats();

  /** Ends the term in favour of any other controller, because this one cannot go on. */
  void resign(String reason);

  /**
   * Ends the term because other controllers can do what this one cannot. Does nothing shortly after
   * the last time, so that the leadership does not go round.
   */
  void transferLeadership(String reason);

  /** A worker has seen a fencing token above that of this term. */
  void onNewerToken(long token);

  /** This leader's key is gone from the store, or is another controller's. */
  void onLeaderKeyLost();
}
