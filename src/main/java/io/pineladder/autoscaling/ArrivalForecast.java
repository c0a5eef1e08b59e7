package io.pineladder.autoscaling;

import java.time.Duration;
import java.time.Instant;

/** The value arriving each second, as an exponentially decaying average. */
final class ArrivalForecast {
  private final Duration timeConstant;
  private double rate;
  private Instant updatedAt;

  /**
   * Creates a forecast of 0.
   *
   * @param timeConstant after which an arrival counts 1/e
   */
  ArrivalForecast(Duration timeConstant) {
    this.timeConstant = timeConstant;
  }

  /** Counts an arrival of this value. */
  void add(double value, Instant now) {
    decay(now);
    rate += value / timeConstant.toSeconds();
  }

  /** The value that arrives each second. */
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
