package io.pineladder.autoscaling;

import io.pineladder.model.MachineType;
import io.pineladder.scheduling.ClusterState;
import java.time.Duration;

/** Estimates how long a machine fetches a typical image, from the sizes of the jobs' images. */
final class ImageFetchEstimator {
  /** The weight of a new job's image in the mean size. */
  private static final double NEW_IMAGE_WEIGHT = 0.1;

  private final ClusterState cluster;
  private double meanImageGb;

  ImageFetchEstimator(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Takes the mean size from the jobs known when the term begins. If images counted as small until
   * the next job arrives, a new leader would release idle machines with images that take minutes to
   * fetch.
   */
  void start() {
    meanImageGb =
        cluster.jobs.values().stream().mapToDouble(j -> j.spec.imageGb()).average().orElse(0);
  }

  /** Includes a new job's image in the mean size. */
  void record(double imageGb) {
    meanImageGb =
        meanImageGb == 0
            ? imageGb
            : (1 - NEW_IMAGE_WEIGHT) * meanImageGb + NEW_IMAGE_WEIGHT * imageGb;
  }

  /** How long a machine of the type fetches a typical image. */
  Duration fetchTime(MachineType type) {
    return type.fetchTime(meanImageGb);
  }

  /** Whether a typical image is known to be fetched in less time than a machine boots. */
  boolean isFasterThanBoot(MachineType type) {
    return meanImageGb > 0 && fetchTime(type).compareTo(type.bootTime()) < 0;
  }
}
