package io.pineladder.model;

import java.time.Duration;
import java.util.List;

/**
 * A type of machine that the cloud rents. Prices are per hour, sizes in GB.
 *
 * @param capacity what all attempts on such a machine may hold
 * @param cacheGb the size of the image cache
 * @param fetchGbPerSecond the rate at which images are fetched, shared by concurrent fetches
 * @param bootTime from the request until the machine takes work
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

  /** How long the fetch of an image of that size takes when it has the whole rate. */
  public Duration fetchTime(double imageGb) {
    return Duration.ofMillis((long) (imageGb / Math.max(1e-3, fetchGbPerSecond) * 1000));
  }

  /** The price per hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }
}
