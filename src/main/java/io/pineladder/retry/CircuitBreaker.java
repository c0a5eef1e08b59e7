package io.pineladder.retry;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Circuit breaker for calls to one target. It opens after a number of consecutive failures and
 * allows no call until a delay has passed; then a single call probes the target. The delay grows
 * with each failed probe. Event thread only.
 */
public final class CircuitBreaker {
  private static final Logger log = LoggerFactory.getLogger(CircuitBreaker.class);

  /** The state of a circuit breaker. */
  public enum State {
    /** Calls are allowed. */
    CLOSED,
    /** No call is allowed until the delay has passed. */
    OPEN,
    /** A probe call is in flight; no other call is allowed. */
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
   * @param target name of the target in log lines
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

  /** The current state; {@link State#OPEN} is left only by {@link #tryAcquire}. */
  public State state() {
    return state;
  }

  private void transitionTo(State next) {
    if (state != next) {
      log.debug("Circuit breaker changed: target={} state={} previous={}", target, next, state);
      state = next;
    }
  }

  /**
   * Returns whether a call may be sent now. If so, the caller must report its outcome with {@link
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

  /** Reports a call that failed or got no reply. */
  public void onFailure() {
    consecutiveFailures++;
    if (state == State.HALF_OPEN || consecutiveFailures >= failureThreshold) {
      openUntil = eventLoop.now().plus(backoff.nextDelay());
      transitionTo(State.OPEN);
    }
  }
}
