package io.pineladder.autoscaling;

import java.time.Duration;
import java.time.Instant;

/** Machines' worth of work arriving per second, as an exponential average. */
final class ArrivalForecast {
  private final Duration timeConstant;
  private double rate;
  private Instant updatedAt;

  ArrivalForecast(Duration timeConstant) {
    this.timeConstant = timeConstant;
  }

  void add(double machines, Instant now) {
    decay(now);
    rate += machines / timeConstant.toSeconds();
  }

  double rate(Instant now) {
    decay(now);
    return rate;
  }

  private void decay(Instant now) {
    if (updatedAt != null) {
      double seconds = Duration.between(updatedAt, now).toMillis() / 1000.0;
      rate *= Math.exp(-seconds / timeConstant.toSeconds());
    }
    updatedAt = now;
  }
}
