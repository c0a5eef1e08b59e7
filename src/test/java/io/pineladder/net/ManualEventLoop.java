package io.pineladder.net;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** An event loop whose time and timers advance only when a test says so. */
public class ManualEventLoop implements EventLoop {
  public Instant now = Instant.EPOCH;

  /** The scheduled actions in the order of their scheduling, whatever their delays. */
  public final Deque<Runnable> timers = new ArrayDeque<>();

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);

  @Override
  public Instant now() {
    return now;
  }

  @Override
  public Instant wallClock() {
    return now;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void schedule(Duration delay, Runnable action) {
    timers.add(action);
  }

  /** Runs the actions that are scheduled now, not those that they schedule. */
  public void runTimers() {
    for (int i = timers.size(); i > 0; i--) {
      timers.poll().run();
    }
  }
}
