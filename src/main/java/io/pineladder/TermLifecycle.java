package io.pineladder;

import java.time.Instant;

/** The state of one leadership term, shared by all its components. Event thread only. */
final class TermLifecycle {
  /** The states of a term, in this order. */
  enum State {
    /** Reads the records that earlier leaders stored; must not act yet. */
    LOADING,
    /** Has read all records; side effects also require a valid lease. */
    LEADING,
    /** Has lost or given up leadership; must not act any more. */
    ENDED
  }

  private final long term;
  private final Instant startedAt;
  private final Leadership leadership;
  private State state = State.LOADING;

  /**
   * Creates the lifecycle of a term in state {@link State#LOADING}.
   *
   * @param term the term number, which is also the fencing token for workers
   * @param startedAt when this controller was elected, by the event loop's clock
   */
  TermLifecycle(long term, Instant startedAt, Leadership leadership) {
    this.term = term;
    this.startedAt = startedAt;
    this.leadership = leadership;
  }

  /** The term number, which is also the fencing token for workers. */
  long term() {
    return term;
  }

  /** When this controller was elected, by the event loop's clock. */
  Instant startedAt() {
    return startedAt;
  }

  boolean isLoading() {
    return state == State.LOADING;
  }

  /** Whether all records are read and the term has not ended; the lease may be invalid. */
  boolean isLeading() {
    return state == State.LEADING;
  }

  boolean hasEnded() {
    return state == State.ENDED;
  }

  /** Must be checked before every side effect, since the process may have been paused. */
  boolean isLeadingWithValidLease() {
    return state == State.LEADING && leadership.isLeaseValid();
  }

  /** All records are read. */
  void startLeading() {
    if (state != State.ENDED) {
      state = State.LEADING;
    }
  }

  /** Leadership was lost or given up. */
  void end() {
    state = State.ENDED;
  }
}
