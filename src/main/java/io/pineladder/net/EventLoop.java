package io.pineladder.net;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/** Clocks, timers and random numbers for the rest of the program; simulated in the tests. */
public interface EventLoop {
  /** The monotonic clock. Its origin is arbitrary; only differences are meaningful. */
  Instant now();

  /** The time of day, which may jump when the system clock is adjusted. */
  Instant wallClock();

  /** Random numbers, for delays that must not coincide; seeded in the tests. */
  RandomGenerator random();

  /** Runs {@code action} on the event thread after {@code delay}. */
  void schedule(Duration delay, Runnable action);
}
