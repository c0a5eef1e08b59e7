package io.pineladder.net;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/** The clocks, timers and chance that the rest of the program sees; simulated in the tests. */
public interface EventLoop {
  /** The steady clock. Its origin means nothing; differences do. */
  Instant now();

  /** The time of day, which may jump within the bound that the settings give. */
  Instant wallClock();

  /** Chance, for pauses that are not to coincide; seeded in the tests. */
  RandomGenerator random();

  /** Runs {@code action} on the one event thread after {@code delay}. */
  void schedule(Duration delay, Runnable action);
}
