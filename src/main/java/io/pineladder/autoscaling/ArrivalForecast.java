package io.pineladder.autoscaling;

import java.time.Duration;
import java.time.Instant;

/** Machines' worth of work arriving per second, as an exponential average. */
final class ArrivalForecast {
  private final Duration memory;
  private double rate;
  private Instant at;

  ArrivalForecast(Duration memory) {
    this.memory = memory;
  }

  void add(double machines, Instant now) {
    decay(now);
    rate += machines / memory.toSeconds();
  }

  double rate(Instant now) {
    decay(now);
    return rate;
  }

  private void decay(Instant now) {
    if (at != null) {
      double seconds = Duration.between(at, now).toMillis() / 1000.0;
      rate *= Math.exp(-seconds / memory.toSeconds());
    }
    at = now;
  }
}
