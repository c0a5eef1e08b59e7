package io.pineladder.zones;

import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One zone as the leader sees it: a state with its evidence, changed by one function. */
final class Zone {
  private static final Logger log = LoggerFactory.getLogger(Zone.class);

  /** A zone that has just come back gets so long to have its workers heard. */
  private static final Duration RETURNING = Duration.ofSeconds(30);

  private static final Duration FIRST_PROBATION = Duration.ofSeconds(30);
  private static final Duration MOST_PROBATION = Duration.ofMinutes(10);

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
  record Counts(int up, int overdue, int lately, int inside) {
    boolean isCut() {
      return overdue >= 3 && overdue * 3 > up && lately * 5 < up;
    }

    boolean isDoubtful() {
      return overdue >= 3 && overdue * 10 > up || up >= 3 && lately == 0;
    }

    boolean isHeardInside() {
      return inside * 2 >= up;
    }

    /**
     * Some are heard again: that fewer are overdue may only mean that more have to report by now.
     */
    boolean isHeardAgain() {
      return up > 0 && lately * 5 >= up;
    }

    boolean isBack() {
      return lately * 10 >= up * 9;
    }
  }

  private final String name;
  private State state = State.UP;
  private Instant since;
  private Instant cutAt;
  private int losses;

  /** How long its earlier cuts lasted, all together. */
  private Duration cutFor = Duration.ZERO;

  Zone(String name, Instant now) {
    this.name = name;
    this.since = now;
  }

  State state() {
    return state;
  }

  int losses() {
    return losses;
  }

  /** The one place where the state changes. */
  private void moveTo(State next, Counts why, Instant now) {
    log.info("zone {} is {} (was {}): {}", name, next, state, why);
    boolean gone = next == State.CUT || next == State.APART;
    if (gone && cutAt == null) {
      cutAt = now;
      losses++;
    } else if (next == State.RETURNING) {
      cutFor = cutFor.plus(Duration.between(cutAt, now));
      cutAt = null;
    }
    state = next;
    since = now;
  }

  /** Looks at how its machines are heard now. */
  void review(Counts counts, Instant now) {
    State next =
        switch (state) {
          case UP, DOUBTED, PROBATION -> {
            if (counts.isCut()) {
              yield counts.isHeardInside() ? State.APART : State.CUT;
            }
            if (state == State.PROBATION) {
              yield since.plus(probation()).isAfter(now) ? state : State.UP;
            }
            yield counts.isDoubtful() ? State.DOUBTED : State.UP;
          }
          case CUT, APART -> {
            if (counts.isHeardAgain()) {
              yield State.RETURNING;
            }
            yield counts.isHeardInside() ? State.APART : State.CUT;
          }
          case RETURNING -> {
            if (counts.isCut()) {
              yield counts.isHeardInside() ? State.APART : State.CUT;
            }
            yield counts.isBack() || since.plus(RETURNING).isBefore(now) ? State.PROBATION : state;
          }
        };
    if (next != state) {
      moveTo(next, counts, now);
    }
  }

  /** How long it has to stand before it is as good as any: longer with each loss. */
  private Duration probation() {
    Duration wanted = FIRST_PROBATION.multipliedBy(1L << Math.min(10, Math.max(0, losses - 1)));
    return wanted.compareTo(MOST_PROBATION) < 0 ? wanted : MOST_PROBATION;
  }

  boolean isGone() {
    return state == State.CUT || state == State.APART;
  }

  /** For how long it has not been heard; zero when it is. */
  Duration goneFor(Instant now) {
    return cutAt == null ? Duration.ZERO : Duration.between(cutAt, now);
  }

  /**
   * How much longer it is likely to stay away: as long as it has been, which holds for faults of
   * all lengths alike, but where it was away before no longer than it was then on average.
   */
  Duration expectedAway(Instant now) {
    Duration gone = goneFor(now);
    int earlier = losses - 1;
    if (earlier < 1) {
      return gone;
    }
    Duration usual = cutFor.dividedBy(earlier);
    Duration left = usual.minus(gone);
    return left.compareTo(gone.dividedBy(2)) > 0 ? left : gone.dividedBy(2);
  }
}
