package io.pineladder.autoscaling;

import io.pineladder.model.MachineType;
import java.time.Duration;

/**
 * The estimates that scaling decisions are based on: boot and image fetch times, machine
 * utilization, and the demand of arriving jobs.
 */
record CapacityEstimates(
    BootTimeEstimator bootTimes,
    ImageFetchEstimator imageFetch,
    MachineUtilization utilization,
    ArrivalStatistics arrivals) {

  /** How long it takes until a new machine of the type is up and has fetched a typical image. */
  Duration replacementTime(MachineType type) {
    return bootTimes.typicalBootTime(type).plus(imageFetch.fetchTime(type));
  }

  /**
   * Whether a released machine can be replaced quickly: a typical image is fetched in less time
   * than a machine boots, and recent machines booted in about their type's nominal boot time.
   */
  boolean isQuicklyReplaced(MachineType type) {
    return imageFetch.isFasterThanBoot(type) && bootTimes.isTypical(type);
  }
}
