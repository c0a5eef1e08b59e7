package io.pineladder.scheduling;

import io.pineladder.model.Job;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * How long jobs of a class take from when they may start until they are done, beyond their
 * estimated run time: waiting, fetching, the slowest task, storing. An exponentially weighted mean
 * over the jobs that end.
 */
final class ClassLatencies {
  /** The overhead assumed for a class of which no job has ended yet. */
  static final Duration DEFAULT_OVERHEAD = Duration.ofSeconds(10);

  /** The weight of the latest job in the mean. */
  private static final double LATEST_JOB_WEIGHT = 0.2;

  private final Map<String, Double> overheadSeconds = new HashMap<>();

  /** Adds a job that was done at this time of day. */
  void recordCompletion(Job job, Instant completedAt) {
    Duration overhead =
        Duration.between(job.readyAt, completedAt).minus(job.spec.estimatedRunTime());
    double seconds = Math.max(0, overhead.toMillis() / 1000.0);
    overheadSeconds.merge(
        job.spec.jobClass(), seconds, (mean, latest) -> mean + LATEST_JOB_WEIGHT * (latest - mean));
  }

  /** How long the job is expected to take from when it may start until it is done. */
  Duration expectedDuration(Job job) {
    Double seconds = overheadSeconds.get(job.spec.jobClass());
    Duration overhead =
        seconds == null ? DEFAULT_OVERHEAD : Duration.ofMillis((long) (seconds * 1000));
    return job.spec.estimatedRunTime().plus(overhead);
  }
}
