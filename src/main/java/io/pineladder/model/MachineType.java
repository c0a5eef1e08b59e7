package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * A machine type that the cloud offers. Prices are per hour, sizes in GB.
 *
 * @param capacity the resources that attempts on such a machine may hold in total
 * @param cacheGb the size of the image cache
 * @param fetchGbPerSecond the rate at which images are fetched, shared by concurrent fetches
 * @param bootTime the time from the request until the machine accepts work
 */
public record MachineType(
    String name,
    Resources capacity,
    double cacheGb,
    double fetchGbPerSecond,
    double onDemandPrice,
    double spotPrice,
    Duration bootTime,
    List<String> zones) {

  /**
   * The time to fetch an image of that size without concurrent fetches. A minimum rate avoids a
   * division by zero for types without a fetch rate.
   */
  public Duration fetchTime(double imageGb) {
    return Duration.ofMillis((long) (imageGb / Math.max(1e-3, fetchGbPerSecond) * 1000));
  }

  /** The price per hour as a spot or an on-demand machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }
}
