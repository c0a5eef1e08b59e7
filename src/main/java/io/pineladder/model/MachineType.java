package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/** A kind of machine that the cloud rents. */
public record MachineType(
    String name,
    Resources capacity,
    double cacheGb,
    double fetchGbPerSecond,
    double onDemandPrice,
    double spotPrice,
    Duration bootTime,
    List<String> zones) {

  /** How long an image of so many GB takes to get there, when it has the whole rate. */
  public Duration fetchTime(double imageGb) {
    return Duration.ofMillis((long) (imageGb / Math.max(1e-3, fetchGbPerSecond) * 1000));
  }

  /** What it costs an hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }
}
