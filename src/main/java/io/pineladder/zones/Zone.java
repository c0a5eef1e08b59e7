package io.pineladder.zones;

import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state of one zone as the leader sees it, by the heartbeats of its machines. */
final class Zone {
  private static final Logger log = LoggerFactory.getLogger(Zone.class);

  /** How long a zone that has just come back may take to have nearly all workers heard. */
  private static final Duration MAX_RETURNING_TIME = Duration.ofSeconds(30);

  private static final Duration INITIAL_PROBATION = Duration.ofSeconds(30);
  private static final Duration MAX_PROBATION = Duration.ofMinutes(10);

  /** The states of a zone; the administration API shows their names. */
  enum State {
    /** Its machines are heard. */
    UP,
    /** More than a few machines are overdue; zones that are up are preferred for renting. */
    DOUBTED,
    /** Hardly any machine is heard; they may be alive. */
    CUT,
    /**
     * Hardly any machine is heard here, but another controller hears them and keeps their leases
     * alive.
     */
    APART,
    /** Heard again; some of its workers have yet to find this controller. */
    RETURNING,
    /** Back, but it was unreachable lately: zones that are up are preferred for renting. */
    PROBATION
  }

  private final String name;
  private State state = State.UP;
  private Instant stateSince;

  /** Since when it is unreachable, or null. */
  private Instant unreachableSince;

  /** How often it has become unreachable. */
  private int losses;

  private boolean anyHeard = true;

  /** How long it was unreachable earlier, all times together. */
  private Duration totalEarlierOutage = Duration.ZERO;

  Zone(String name, Instant now) {
    this.name = name;
    this.stateSince = now;
  }

  /** Its present state. */
  State state() {
    return state;
  }

  /** How often it has become unreachable in this term. */
  int losses() {
    return losses;
  }

  /** The one place where the state changes. */
  private void transitionTo(State next, HeartbeatCounts evidence, Instant now) {
    log.info(
        "Zone state changed: zone={} state={} previous={} expected={} overdue={} recentlyHeard={}"
            + " heardByPeers={}",
        name,
        next,
        state,
        evidence.expected(),
        evidence.overdue(),
        evidence.recentlyHeard(),
        evidence.heardByPeers());
    boolean becomesUnreachable = next == State.CUT || next == State.APART;
    if (becomesUnreachable && unreachableSince == null) {
      unreachableSince = now;
      losses++;
    } else if (next == State.RETURNING) {
      totalEarlierOutage = totalEarlierOutage.plus(Duration.between(unreachableSince, now));
      unreachableSince = null;
    }
    state = next;
    stateSince = now;
  }

  /** Applies the present heartbeat counts. */
  void review(HeartbeatCounts counts, Instant now) {
    anyHeard = counts.isAnyHeard();
    State next =
        switch (state) {
          case UP, DOUBTED, PROBATION -> {
            if (counts.isUnreachable()) {
              yield counts.isHeardByPeers() ? State.APART : State.CUT;
            }
            if (state == State.PROBATION) {
              yield stateSince.plus(probationDuration()).isAfter(now) ? state : State.UP;
            }
            yield counts.isDoubtful() ? State.DOUBTED : State.UP;
          }
          case CUT, APART -> {
            if (counts.isHeardAgain()) {
              yield State.RETURNING;
            }
            yield counts.isHeardByPeers() ? State.APART : State.CUT;
          }
          case RETURNING -> {
            if (counts.isUnreachable()) {
              yield counts.isHeardByPeers() ? State.APART : State.CUT;
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

  /** How long it has to stay up before it counts as up: doubled with each loss. */
  private Duration probationDuration() {
    Duration doubled = INITIAL_PROBATION.multipliedBy(1L << Math.min(10, Math.max(0, losses - 1)));
    return doubled.compareTo(MAX_PROBATION) < 0 ? doubled : MAX_PROBATION;
  }

  /** Whether any of its machines was heard at the last review, or none was expected to be. */
  boolean isAnyHeard() {
    return anyHeard;
  }

  /** Whether hardly any of its machines is heard here. */
  boolean isUnreachable() {
    return state == State.CUT || state == State.APART;
  }

  /** For how long it has been unreachable; zero if it is not. */
  Duration outageDuration(Instant now) {
    return unreachableSince == null ? Duration.ZERO : Duration.between(unreachableSince, now);
  }

  /**
   * How much longer it is likely to be unreachable: as long as it has been, which holds for faults
   * of all lengths alike. If it was unreachable before, the average of those outages counts: what
   * is left of it, but at least half of what has passed.
   */
  Duration expectedRemainingOutage(Instant now) {
    Duration outage = outageDuration(now);
    int earlierLosses = losses - 1;
    if (earlierLosses < 1) {
      return outage;
    }
    Duration averageOutage = totalEarlierOutage.dividedBy(earlierLosses);
    Duration remaining = averageOutage.minus(outage);
    return remaining.compareTo(outage.dividedBy(2)) > 0 ? remaining : outage.dividedBy(2);
  }
}
