package io.pineladder;

import java.time.Instant;

/**
 * Where one term of leadership stands. All parts of the term share it, on the event loop's thread.
 */
final class TermLifecycle {
  /** What a term goes through; it never goes back. */
  enum State {
    /** Reads what earlier leaders stored; decides nothing yet. */
    LOADING,
    /** Has read all records and decides, as long as the lease is valid. */
    LEADING,
    /** Has lost or given up the leadership; nothing of it has an effect any more. */
    ENDED
  }

  private final long term;
  private final Instant startedAt;
  private final Leadership leadership;
  private State state = State.LOADING;

  /**
   * A term that begins to load.
   *
   * @param term its number, which is the fencing token toward workers
   * @param startedAt when this controller was elected, on the event loop's clock
   */
  TermLifecycle(long term, Instant startedAt, Leadership leadership) {
    this.term = term;
    this.startedAt = startedAt;
    this.leadership = leadership;
  }

  /** The term's number, which is the fencing token toward workers. */
  long term() {
    return term;
  }

  /** When this controller was elected, on the event loop's clock. */
  Instant startedAt() {
    return startedAt;
  }

  boolean isLoading() {
    return state == State.LOADING;
  }

  /** Whether all records are read and the term goes on, whether its lease is valid now or not. */
  boolean isLeading() {
    return state == State.LEADING;
  }

  boolean hasEnded() {
    return state == State.ENDED;
  }

  /** Whether the term may have effects now; asked before each, as any pause may precede it. */
  boolean mayAct() {
    return state == State.LEADING && leadership.isLeaseValid();
  }

  /** All records are read. */
  void startLeading() {
    if (state != State.ENDED) {
      state = State.LEADING;
    }
  }

  /** The leadership is lost or given up. */
  void end() {
    state = State.ENDED;
  }
}
