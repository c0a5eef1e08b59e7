package io.pineladder.zones;

import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's view of one zone, derived from the heartbeats of its machines. */
final class Zone {
  private static final Logger log = LoggerFactory.getLogger(Zone.class);

  /** Maximum time in {@link State#RETURNING} before nearly all machines have sent heartbeats. */
  private static final Duration MAX_RETURNING_TIME = Duration.ofSeconds(30);

  private static final Duration INITIAL_PROBATION = Duration.ofSeconds(30);
  private static final Duration MAX_PROBATION = Duration.ofMinutes(10);

  /** The states of a zone; the administration API shows their names. */
  enum State {
    /** Heartbeats arrive from its machines. */
    UP,
    /** More than a few machines are overdue; machines are rented in UP zones first. */
    DOUBTED,
    /** Unreachable: hardly any heartbeats arrive, although the machines may be alive. */
    CUT,
    /**
     * Unreachable from this controller, while other controllers receive the heartbeats and keep the
     * workers' leases alive.
     */
    APART,
    /** Heartbeats arrive again, but not yet from nearly all workers. */
    RETURNING,
    /** Recovered from a recent outage; machines are rented in UP zones first. */
    PROBATION
  }

  private final String name;
  private State state = State.UP;
  private Instant stateSince;

  /** When the current outage began; null while the zone is reachable. */
  private Instant unreachableSince;

  private int outageCount;

  private boolean anySeen = true;

  /** The total duration of the outages that have ended. */
  private Duration totalEarlierOutage = Duration.ZERO;

  Zone(String name, Instant now) {
    this.name = name;
    this.stateSince = now;
  }

  State state() {
    return state;
  }

  /** How often the zone has become unreachable in this term. */
  int outageCount() {
    return outageCount;
  }

  private void transitionTo(State next, HeartbeatCounts evidence, Instant now) {
    log.info(
        "Zone state changed: zone={} state={} previous={} expected={} overdue={} recentlySeen={}"
            + " seenByPeers={}",
        name,
        next,
        state,
        evidence.expected(),
        evidence.overdue(),
        evidence.recentlySeen(),
        evidence.seenByPeers());
    boolean becomesUnreachable = next == State.CUT || next == State.APART;
    if (becomesUnreachable && unreachableSince == null) {
      unreachableSince = now;
      outageCount++;
    } else if (next == State.RETURNING) {
      totalEarlierOutage = totalEarlierOutage.plus(Duration.between(unreachableSince, now));
      unreachableSince = null;
    }
    state = next;
    stateSince = now;
  }

  /** Updates the state from the current heartbeat counts. */
  void review(HeartbeatCounts counts, Instant now) {
    anySeen = counts.isAnySeen();
    State next =
        switch (state) {
          case UP, DOUBTED, PROBATION -> {
            if (counts.isUnreachable()) {
              yield counts.isSeenByPeers() ? State.APART : State.CUT;
            }
            if (state == State.PROBATION) {
              yield stateSince.plus(probationDuration()).isAfter(now) ? state : State.UP;
            }
            yield counts.isDoubtful() ? State.DOUBTED : State.UP;
          }
          case CUT, APART -> {
            if (counts.isReachableAgain()) {
              yield State.RETURNING;
            }
            yield counts.isSeenByPeers() ? State.APART : State.CUT;
          }
          case RETURNING -> {
            if (counts.isUnreachable()) {
              yield counts.isSeenByPeers() ? State.APART : State.CUT;
            }
            yield counts.isRecovered() || stateSince.plus(MAX_RETURNING_TIME).isBefore(now)
                ? State.PROBATION
                : state;
          }
        };
    if (next != state) {
      transitionTo(next, counts, now);
    }
  }

  /** How long the zone stays in probation; doubles with each outage. */
  private Duration probationDuration() {
    Duration doubled =
        INITIAL_PROBATION.multipliedBy(1L << Math.min(10, Math.max(0, outageCount - 1)));
    return doubled.compareTo(MAX_PROBATION) < 0 ? doubled : MAX_PROBATION;
  }

  /** Whether any machine was seen recently at the last review, or none was expected. */
  boolean isAnySeen() {
    return anySeen;
  }

  boolean isUnreachable() {
    return state == State.CUT || state == State.APART;
  }

  /** The duration of the current outage; zero if the zone is reachable. */
  Duration outageDuration(Instant now) {
    return unreachableSince == null ? Duration.ZERO : Duration.between(unreachableSince, now);
  }

  /**
   * Estimates how much longer the current outage will last: as long as it has lasted so far, or, if
   * there were earlier outages, the remainder of their average duration but at least half of the
   * time passed so far.
   */
  Duration expectedRemainingOutage(Instant now) {
    Duration outage = outageDuration(now);
    int earlierOutages = outageCount - 1;
    if (earlierOutages < 1) {
      return outage;
    }
    Duration averageOutage = totalEarlierOutage.dividedBy(earlierOutages);
    Duration remaining = averageOutage.minus(outage);
    return remaining.compareTo(outage.dividedBy(2)) > 0 ? remaining : outage.dividedBy(2);
  }
}
