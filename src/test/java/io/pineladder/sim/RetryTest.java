package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.retry.CircuitBreaker;
import io.pineladder.retry.RetryBudget;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Back-off delays, circuit breakers and retry budgets in virtual time. */
class RetryTest {
  private final SimulatedWorld world = new SimulatedWorld(31);
  private final EventLoop eventLoop = world.eventLoop("10.0.0.1", () -> true, 1);

  @Test
  void delaysGrowToMaximumWithJitter() {
    Set<Duration> seen = new HashSet<>();
    for (int series = 0; series < 20; series++) {
      Backoff backoff = new Backoff(eventLoop, Duration.ofMillis(100), Duration.ofSeconds(1));
      long upperBound = 100;
      for (int i = 0; i < 8; i++) {
        long delay = backoff.nextDelay().toMillis();
        assertTrue(delay >= upperBound / 2 && delay <= upperBound, "delay " + i + ": " + delay);
        upperBound = Math.min(1_000, upperBound * 2);
      }
      seen.add(backoff.nextDelay());
      backoff.reset();
      assertTrue(backoff.nextDelay().toMillis() <= 100);
    }
    assertTrue(seen.size() > 15, seen.size() + " different delays of 20");
  }

  @Test
  void circuitStaysOpenForGrowingDelays() {
    CircuitBreaker circuitBreaker =
        new CircuitBreaker("the cloud", eventLoop, 2, Duration.ofSeconds(1), Duration.ofSeconds(8));
    assertTrue(circuitBreaker.tryAcquire());
    circuitBreaker.onFailure();
    assertTrue(circuitBreaker.tryAcquire(), "a single failure does not open the circuit");
    circuitBreaker.onFailure();
    int calls = 0;
    for (int i = 0; i < 600; i++) {
      world.runFor(Duration.ofMillis(100));
      if (circuitBreaker.tryAcquire()) {
        assertFalse(circuitBreaker.tryAcquire(), "only one probe at a time");
        calls++;
        circuitBreaker.onFailure();
      }
    }
    // Delays of up to 1, 2, 4 and then 8 s, each at least half of that.
    assertTrue(calls >= 8 && calls <= 17, calls + " calls in a minute");
    while (!circuitBreaker.tryAcquire()) {
      world.runFor(Duration.ofMillis(100));
    }
    circuitBreaker.onSuccess();
    assertEquals(CircuitBreaker.State.CLOSED, circuitBreaker.state());
    assertTrue(circuitBreaker.tryAcquire());
    assertTrue(circuitBreaker.tryAcquire(), "a closed circuit admits more than one call");
  }

  @Test
  void limitsRetriesToRatioOfSuccessfulCalls() {
    RetryBudget budget = new RetryBudget(eventLoop, 0.1, 2, 5);
    int immediateRetries = 0;
    for (int i = 0; i < 100; i++) {
      immediateRetries += budget.acquireDelay().isZero() ? 1 : 0;
    }
    assertEquals(5, immediateRetries, "the initial burst");
    Duration wait = budget.acquireDelay();
    assertEquals(
        48.0, wait.toMillis() / 1000.0, 0.1, "further retries are limited to two per second");
    RetryBudget refilledBudget = new RetryBudget(eventLoop, 0.1, 2, 5);
    for (int i = 0; i < 100; i++) {
      refilledBudget.acquireDelay();
      for (int success = 0; success < 20; success++) {
        refilledBudget.onSuccess();
      }
    }
    assertTrue(refilledBudget.acquireDelay().isZero(), "successful calls refill the budget");
  }
}
