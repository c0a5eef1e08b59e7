package io.pineladder.autoscaling;

import io.pineladder.model.MachineType;
import io.pineladder.scheduling.ClusterState;
import java.time.Duration;

/** Estimates the time to fetch a typical image, based on the image sizes of recent jobs. */
final class ImageFetchEstimator {
  /** The weight of a new job's image in the moving average. */
  private static final double NEW_IMAGE_WEIGHT = 0.1;

  private final ClusterState cluster;
  private double meanImageGb;

  ImageFetchEstimator(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Initializes the mean size from the jobs that are known at the start of the term. With an
   * initial mean of 0, a new leader would release idle machines whose replacements take minutes to
   * fetch an image.
   */
  void start() {
    meanImageGb =
        cluster.jobs.values().stream().mapToDouble(j -> j.spec.imageGb()).average().orElse(0);
  }

  /** Updates the mean size with a new job's image. */
  void record(double imageGb) {
    meanImageGb =
        meanImageGb == 0
            ? imageGb
            : (1 - NEW_IMAGE_WEIGHT) * meanImageGb + NEW_IMAGE_WEIGHT * imageGb;
  }

  /** How long a machine of the type takes to fetch a typical image. */
  Duration fetchTime(MachineType type) {
    return type.fetchTime(meanImageGb);
  }

  /** Whether fetching a typical image takes less time than booting; false if sizes are unknown. */
  boolean isFasterThanBoot(MachineType type) {
    return meanImageGb > 0 && fetchTime(type).compareTo(type.bootTime()) < 0;
  }
}
