package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Circuit breaker for calls to one target. After a number of consecutive failures no call is sent
 * for a delay, then a single call probes the target. The delay grows with each failed probe. Event
 * thread only.
 */
public final class CircuitBreaker {
  private static final Logger log = LoggerFactory.getLogger(CircuitBreaker.class);

  /** The states of a circuit breaker. */
  public enum State {
    /** Calls are allowed. */
    CLOSED,
    /** No call is allowed until the delay is over. */
    OPEN,
    /** One call is under way as a probe, and no other is allowed. */
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
   * Creates a closed circuit breaker.
   *
   * @param target name of the target in the log
   * @param failureThreshold consecutive failures that open the circuit
   * @param initialDelay upper bound of the first delay
   * @param maxDelay upper bound of all delays
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

  /** The present state; an open circuit stays open until the next {@link #tryAcquire}. */
  public State state() {
    return state;
  }

  /** Changes the state; all changes are made here. */
  private void transitionTo(State next) {
    if (state != next) {
      log.debug("Circuit breaker changed: target={} state={} previous={}", target, next, state);
      state = next;
    }
  }

  /**
   * Whether a call may be sent now. The caller that gets true must report its end with {@link
   * #onSuccess} or {@link #onFailure}.
   */
  public boolean tryAcquire() {
    if (state == State.OPEN && !openUntil.isAfter(eventLoop.now())) {
      transitionTo(State.HALF_OPEN);
      return true;
    }
    return state == State.CLOSED;
  }

  /** Reports a call that succeeded. */
  public void onSuccess() {
    consecutiveFailures = 0;
    backoff.reset();
    transitionTo(State.CLOSED);
  }

  /** Reports a call that failed or was not answered. */
  public void onFailure() {
    consecutiveFailures++;
    if (state == State.HALF_OPEN || consecutiveFailures >= failureThreshold) {
      openUntil = eventLoop.now().plus(backoff.nextDelay());
      transitionTo(State.OPEN);
    }
  }
}
