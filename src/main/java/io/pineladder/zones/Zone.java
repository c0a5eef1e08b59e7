package io.pineladder.zones;

import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One zone as the leader sees it: a state with its evidence, changed by one function. */
final class Zone {
  private static final Logger log = LoggerFactory.getLogger(Zone.class);

  /** A zone that has just come back gets so long to have its workers heard. */
  private static final Duration MAX_RETURNING_TIME = Duration.ofSeconds(30);

  private static final Duration INITIAL_PROBATION = Duration.ofSeconds(30);
  private static final Duration MAX_PROBATION = Duration.ofMinutes(10);

  /** Where a zone stands. */
  enum State {
    UP,
    /** More than a few of its machines are overdue; no more is rented there for now. */
    DOUBTED,
    /** None of its machines is heard; they may live. */
    CUT,
    /** This node hears none of its machines, but another controller does and keeps their leases. */
    APART,
    /** Heard again; its workers are on their way. */
    RETURNING,
    /** Back, but it has gone before: what can go elsewhere does. */
    PROBATION
  }

  /**
   * How its machines are heard.
   *
   * @param up machines that should report
   * @param overdue those of them that are late
   * @param lately those heard since the first of them was missed
   * @param inside those that another controller was last heard to hear
   */
  record HeartbeatCounts(int expected, int overdue, int recentlyHeard, int heardByPeers) {
    boolean isUnreachable() {
      return overdue >= 3 && overdue * 3 > expected && recentlyHeard * 5 < expected;
    }

    boolean isDoubtful() {
      return overdue >= 3 && overdue * 10 > expected || expected >= 3 && recentlyHeard == 0;
    }

    boolean isHeardByPeers() {
      return heardByPeers * 2 >= expected;
    }

    /**
     * Some are heard again: that fewer are overdue may only mean that more have to report by now.
     */
    boolean isHeardAgain() {
      return expected > 0 && recentlyHeard * 5 >= expected;
    }

    boolean isRecovered() {
      return recentlyHeard * 10 >= expected * 9;
    }
  }

  private final String name;
  private State state = State.UP;
  private Instant stateSince;
  private Instant unreachableSince;
  private int losses;

  /** How long its earlier cuts lasted, all together. */
  private Duration totalEarlierOutage = Duration.ZERO;

  Zone(String name, Instant now) {
    this.name = name;
    this.stateSince = now;
  }

  State state() {
    return state;
  }

  int losses() {
    return losses;
  }

  /** The one place where the state changes. */
  private void transitionTo(State next, HeartbeatCounts evidence, Instant now) {
    log.info("zone {} is {} (was {}): {}", name, next, state, evidence);
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

  /** Looks at how its machines are heard now. */
  void review(HeartbeatCounts counts, Instant now) {
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

  /** How long it has to stand before it is as good as any: longer with each loss. */
  private Duration probationDuration() {
    Duration doubled = INITIAL_PROBATION.multipliedBy(1L << Math.min(10, Math.max(0, losses - 1)));
    return doubled.compareTo(MAX_PROBATION) < 0 ? doubled : MAX_PROBATION;
  }

  boolean isUnreachable() {
    return state == State.CUT || state == State.APART;
  }

  /** For how long it has not been heard; zero when it is. */
  Duration outageDuration(Instant now) {
    return unreachableSince == null ? Duration.ZERO : Duration.between(unreachableSince, now);
  }

  /**
   * How much longer it is likely to stay away: as long as it has been, which holds for faults of
   * all lengths alike, but where it was away before no longer than it was then on average.
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
