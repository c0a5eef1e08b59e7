package io.pineladder.scheduling;

import io.pineladder.model.Job;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the overhead of jobs by job class: the time from when a job may start until it is done,
 * beyond its estimated run time. It comprises queueing, image fetches, stragglers and storing the
 * result. The estimate is an exponentially weighted mean over completed jobs.
 */
final class ClassLatencies {
  /** The overhead assumed for a class before its first job has completed. */
  static final Duration DEFAULT_OVERHEAD = Duration.ofSeconds(10);

  /** The weight of the latest job in the mean. */
  private static final double LATEST_JOB_WEIGHT = 0.2;

  private final Map<String, Double> overheadSeconds = new HashMap<>();

  /** Adds a completed job. The time is wall-clock time. */
  void recordCompletion(Job job, Instant completedAt) {
    Duration overhead =
        Duration.between(job.readyAt, completedAt).minus(job.spec.estimatedRunTime());
    double seconds = Math.max(0, overhead.toMillis() / 1000.0);
    overheadSeconds.merge(
        job.spec.jobClass(), seconds, (mean, latest) -> mean + LATEST_JOB_WEIGHT * (latest - mean));
  }

  /** The expected time from when the job may start until it is done. */
  Duration expectedDuration(Job job) {
    Double seconds = overheadSeconds.get(job.spec.jobClass());
    Duration overhead =
        seconds == null ? DEFAULT_OVERHEAD : Duration.ofMillis((long) (seconds * 1000));
    return job.spec.estimatedRunTime().plus(overhead);
  }
}
