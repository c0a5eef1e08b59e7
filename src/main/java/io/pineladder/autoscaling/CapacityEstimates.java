package io.pineladder.autoscaling;

import io.pineladder.model.MachineType;
import java.time.Duration;

/**
 * What is known of capacity: how long machines boot and fetch images, how much of them is in use,
 * and how much the arriving jobs will ask for.
 */
record CapacityEstimates(
    BootTimeEstimator bootTimes,
    ImageFetchEstimator imageFetch,
    MachineUtilization utilization,
    ArrivalStatistics arrivals) {

  /** How long it takes to have another machine of the type up, with a typical image. */
  Duration replacementTime(MachineType type) {
    return bootTimes.typicalBootTime(type).plus(imageFetch.fetchTime(type));
  }

  /**
   * Whether a released machine is easily replaced: a typical image is fetched in less time than a
   * machine boots, and machines boot as fast as their type says.
   */
  boolean isQuicklyReplaced(MachineType type) {
    return imageFetch.isFasterThanBoot(type) && bootTimes.isTypical(type);
  }
}
