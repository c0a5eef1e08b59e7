package io.pineladder.zones;

/**
 * How many machines of a zone send heartbeats.
 *
 * @param expected machines whose heartbeats are expected by now
 * @param overdue those of them whose heartbeat is overdue
 * @param recentlyHeard those heard since the first of them was missed
 * @param heardByPeers machines of the zone of which other controllers have heartbeats, by their
 *     newest note
 */
public record HeartbeatCounts(int expected, int overdue, int recentlyHeard, int heardByPeers) {
  /** Whether hardly any machine is heard. */
  public boolean isUnreachable() {
    return overdue >= 3 && overdue * 3 > expected && recentlyHeard * 5 < expected;
  }

  /** Whether more than a few machines are overdue, or none of several is heard. */
  boolean isDoubtful() {
    return (overdue >= 3 && overdue * 10 > expected) || (expected >= 3 && recentlyHeard == 0);
  }

  /** Whether other controllers hear at least half of the machines. */
  boolean isHeardByPeers() {
    return heardByPeers * 2 >= expected;
  }

  /**
   * Whether some machines are heard again. That fewer are overdue proves less: heartbeats of more
   * machines may be expected by now.
   */
  boolean isHeardAgain() {
    return expected > 0 && recentlyHeard * 5 >= expected;
  }

  /** Whether nearly all machines are heard. */
  boolean isRecovered() {
    return recentlyHeard * 10 >= expected * 9;
  }

  /** Whether a machine is heard, or none is expected to be. */
  boolean isAnyHeard() {
    return recentlyHeard > 0 || expected == 0;
  }
}
