package io.pineladder;

/** The operations of a term on this controller's leadership: lease checks and resignation. */
interface Leadership {
  /** Whether the lease is valid by the local clock, so that no other controller can be leader. */
  boolean isLeaseValid();

  /**
   * Whether heartbeats may be answered: the lease is valid, or has been in doubt for no longer than
   * workers' leases may be extended without a leader.
   */
  boolean acceptsHeartbeats();

  /** Ends the term because this controller cannot continue it; any other one may be elected. */
  void resign(String reason);

  /**
   * Ends the term because another controller may work where this one cannot. Does nothing within a
   * minimum interval after the last transfer, so that leadership is not passed around.
   */
  void transferLeadership(String reason);

  /** A worker has seen a higher fencing token than that of this term. */
  void onNewerFencingToken(long token);

  /** The leader key was deleted or belongs to another controller. */
  void onLeaderKeyLost();
}
