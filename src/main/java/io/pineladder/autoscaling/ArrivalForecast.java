package io.pineladder.autoscaling;

import java.time.Duration;
import java.time.Instant;

/** Estimates the quantity that arrives per second, as an exponentially decaying average. */
final class ArrivalForecast {
  private final Duration timeConstant;
  private double rate;
  private Instant updatedAt;

  /**
   * Creates a forecast with a rate of 0.
   *
   * @param timeConstant the time after which the weight of an arrival has decayed to 1/e
   */
  ArrivalForecast(Duration timeConstant) {
    this.timeConstant = timeConstant;
  }

  void add(double quantity, Instant now) {
    decay(now);
    rate += quantity / timeConstant.toSeconds();
  }

  /** The quantity that arrives per second. */
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
