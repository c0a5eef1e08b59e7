package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps from calling a party that refuses: after a few failures in a row nothing is sent for a
 * pause, then one call shows whether it is better. The longer it lasts, the longer the pauses.
 */
public final class CircuitBreaker {
  private static final Logger log = LoggerFactory.getLogger(CircuitBreaker.class);

  /** Where it stands. */
  public enum State {
    /** Calls go out. */
    CLOSED,
    /** None goes out until the pause is over. */
    OPEN,
    /** One has gone out to see. */
    PROBING
  }

  private final String party;
  private final EventLoop eventLoop;
  private final int failuresAllowed;
  private final Backoff backoff;
  private State state = State.CLOSED;
  private int failures;
  private Instant openUntil = Instant.MIN;

  /**
   * A breaker for one party.
   *
   * @param party its name in the log
   * @param failuresAllowed how many in a row open it
   */
  public CircuitBreaker(
      String party, EventLoop eventLoop, int failuresAllowed, Duration first, Duration most) {
    this.party = party;
    this.eventLoop = eventLoop;
    this.failuresAllowed = failuresAllowed;
    this.backoff = new Backoff(eventLoop, first, most);
  }

  public State state() {
    return state;
  }

  /** The one place where the state changes. */
  private void moveTo(State next) {
    if (state != next) {
      log.debug("{}: {} (was {})", party, next, state);
      state = next;
    }
  }

  /** Whether a call may go out now; if so its end is to be told. */
  public boolean mayCall() {
    if (state == State.OPEN && !openUntil.isAfter(eventLoop.now())) {
      moveTo(State.PROBING);
      return true;
    }
    return state == State.CLOSED;
  }

  /** A call was answered as it should be. */
  public void succeeded() {
    failures = 0;
    backoff.reset();
    moveTo(State.CLOSED);
  }

  /** A call was refused, or not answered. */
  public void failed() {
    failures++;
    if (state == State.PROBING || failures >= failuresAllowed) {
      openUntil = eventLoop.now().plus(backoff.pause());
      moveTo(State.OPEN);
    }
  }
}
