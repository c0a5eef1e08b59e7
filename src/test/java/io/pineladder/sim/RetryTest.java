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

/** Pauses, breakers and budgets of tries, in virtual time. */
class RetryTest {
  private final SimulatedWorld world = new SimulatedWorld(31);
  private final EventLoop eventLoop = world.eventLoop("10.0.0.1", () -> true, 1);

  @Test
  void delaysGrowToTheirMaximumAndDoNotCoincide() {
    Set<Duration> seen = new HashSet<>();
    for (int series = 0; series < 20; series++) {
      Backoff backoff = new Backoff(eventLoop, Duration.ofMillis(100), Duration.ofSeconds(1));
      long upperBound = 100;
      for (int i = 0; i < 8; i++) {
        long delay = backoff.nextDelay().toMillis();
        assertTrue(delay >= upperBound / 2 && delay <= upperBound, "pause " + i + ": " + delay);
        upperBound = Math.min(1_000, upperBound * 2);
      }
      seen.add(backoff.nextDelay());
      backoff.reset();
      assertTrue(backoff.nextDelay().toMillis() <= 100);
    }
    assertTrue(seen.size() > 15, seen.size() + " different pauses of 20");
  }

  @Test
  void theCircuitStaysOpenForGrowingDelays() {
    CircuitBreaker circuitBreaker =
        new CircuitBreaker("the cloud", eventLoop, 2, Duration.ofSeconds(1), Duration.ofSeconds(8));
    assertTrue(circuitBreaker.tryAcquire());
    circuitBreaker.onFailure();
    assertTrue(circuitBreaker.tryAcquire(), "one failure says nothing");
    circuitBreaker.onFailure();
    int calls = 0;
    for (int i = 0; i < 600; i++) {
      world.runFor(Duration.ofMillis(100));
      if (circuitBreaker.tryAcquire()) {
        assertFalse(circuitBreaker.tryAcquire(), "one at a time shows whether it is better");
        calls++;
        circuitBreaker.onFailure();
      }
    }
    // Pauses of up to 1, 2, 4 and then 8 s, each at least half of that.
    assertTrue(calls >= 8 && calls <= 17, calls + " calls in a minute");
    while (!circuitBreaker.tryAcquire()) {
      world.runFor(Duration.ofMillis(100));
    }
    circuitBreaker.onSuccess();
    assertEquals(CircuitBreaker.State.CLOSED, circuitBreaker.state());
    assertTrue(circuitBreaker.tryAcquire());
    assertTrue(circuitBreaker.tryAcquire(), "and a second time: it is not only a probe");
  }

  @Test
  void retriesAreARatioOfTheSuccessfulCalls() {
    RetryBudget budget = new RetryBudget(eventLoop, 0.1, 2, 5);
    int atOnce = 0;
    for (int i = 0; i < 100; i++) {
      atOnce += budget.acquireDelay().isZero() ? 1 : 0;
    }
    assertEquals(5, atOnce, "what was saved up");
    Duration wait = budget.acquireDelay();
    assertEquals(48.0, wait.toMillis() / 1000.0, 0.1, "the rest wait for their turn, two a second");
    RetryBudget other = new RetryBudget(eventLoop, 0.1, 2, 5);
    for (int i = 0; i < 100; i++) {
      other.acquireDelay();
      for (int success = 0; success < 20; success++) {
        other.onSuccess();
      }
    }
    assertTrue(other.acquireDelay().isZero(), "most succeed, so a try again costs little");
  }
}
