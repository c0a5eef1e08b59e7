package io.pineladder.net;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/** Clocks, timers and random numbers; simulated in the tests. */
public interface EventLoop {
  /** Reads the monotonic clock. Its origin is arbitrary; only differences are meaningful. */
  Instant now();

  /** Reads the time of day, which may jump when the system clock is adjusted. */
  Instant wallClock();

  /** Returns the source of random numbers, for example for jitter; seeded in the tests. */
  RandomGenerator random();

  /** Runs {@code action} on the event thread after {@code delay}. */
  void schedule(Duration delay, Runnable action);
}
