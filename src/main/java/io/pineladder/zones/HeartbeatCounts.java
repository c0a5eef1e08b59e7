package io.pineladder.zones;

/**
 * Heartbeat counts of a zone's machines.
 *
 * @param expected machines that should have sent a heartbeat by now
 * @param overdue of those, machines whose heartbeat is overdue
 * @param recentlySeen of those, machines that sent a heartbeat after the overdue ones had stopped
 * @param seenByPeers machines whose heartbeats other controllers receive, by their latest
 *     keep-alive records
 */
public record HeartbeatCounts(int expected, int overdue, int recentlySeen, int seenByPeers) {
  /** Whether heartbeats arrive from hardly any machine. */
  public boolean isUnreachable() {
    return overdue >= 3 && overdue * 3 > expected && recentlySeen * 5 < expected;
  }

  /** Whether more than a few machines are overdue, or no machine of several was seen recently. */
  boolean isDoubtful() {
    return (overdue >= 3 && overdue * 10 > expected) || (expected >= 3 && recentlySeen == 0);
  }

  /** Whether other controllers receive heartbeats of at least half of the machines. */
  boolean isSeenByPeers() {
    return seenByPeers * 2 >= expected;
  }

  /**
   * Whether heartbeats arrive again from at least a fifth of the machines. The overdue count is not
   * used: it can fall just because more machines are expected.
   */
  boolean isReachableAgain() {
    return expected > 0 && recentlySeen * 5 >= expected;
  }

  /** Whether heartbeats arrive from nearly all machines. */
  boolean isRecovered() {
    return recentlySeen * 10 >= expected * 9;
  }

  /** Whether any machine was seen recently, or none is expected to send heartbeats. */
  boolean isAnySeen() {
    return recentlySeen > 0 || expected == 0;
  }
}
