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
    HALF_OPEN
  }

  private final String target;
  private final EventLoop eventLoop;
  private final int failureThreshold;
  private final Backoff backoff;
  private State state = State.CLOSED;
  private int consecutiveFailures;
  private Instant openUntil = Instant.MIN;

  /**
   * A breaker for one party.
   *
   * @param party its name in the log
   * @param failuresAllowed how many in a row open it
   */
  public CircuitBreaker(
      String target,
      EventLoop eventLoop,
      int failureThreshold,
      Duration initialDelay,
      Duration maxDelay) {
    this.target = target;
    this.eventLoop = eventLoop;
    this.failureThreshold = failureThreshold;
    this.backoff = new Backoff(eventLoop, initialDelay, maxDelay);
  }

  public State state() {
    return state;
  }

  /** The one place where the state changes. */
  private void transitionTo(State next) {
    if (state != next) {
      log.debug("{}: {} (was {})", target, next, state);
      state = next;
    }
  }

  /** Whether a call may go out now; if so its end is to be told. */
  public boolean tryAcquire() {
    if (state == State.OPEN && !openUntil.isAfter(eventLoop.now())) {
      transitionTo(State.HALF_OPEN);
      return true;
    }
    return state == State.CLOSED;
  }

  /** A call was answered as it should be. */
  public void onSuccess() {
    consecutiveFailures = 0;
    backoff.reset();
    transitionTo(State.CLOSED);
  }

  /** A call was refused, or not answered. */
  public void onFailure() {
    consecutiveFailures++;
    if (state == State.HALF_OPEN || consecutiveFailures >= failureThreshold) {
      openUntil = eventLoop.now().plus(backoff.nextDelay());
      transitionTo(State.OPEN);
    }
  }
}
