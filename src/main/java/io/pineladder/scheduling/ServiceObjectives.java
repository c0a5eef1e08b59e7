package io.pineladder.scheduling;

import io.pineladder.model.ChainDeadlines;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Settings;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** What the settings expect of a job's class, and what that means for one job now. */
final class ServiceObjectives {
  /** How long a job may wait that nothing is expected of, or whose objectives are all missed. */
  static final Duration NO_HURRY = Duration.ofMinutes(10);

  private final Settings settings;

  ServiceObjectives(Settings settings) {
    this.settings = settings;
  }

  /**
   * How long after its submission a job should have started for the tightest objective that it can
   * still keep. An objective already missed no longer presses, or the late would make others late.
   */
  Duration allowance(Job job, Instant timeOfDay) {
    Duration age = Duration.between(job.acceptedAt, timeOfDay);
    Duration allowance = NO_HURRY.plus(waited(job));
    for (Settings.Objective objective : settings.objectives()) {
      Duration until = until(job, objective);
      if (until == null) {
        continue;
      }
      Duration start =
          objective.kind().equals("wait") ? until : until.minus(job.spec.estimatedRunTime());
      if (start.compareTo(allowance) < 0 && start.compareTo(age) > 0) {
        allowance = start;
      }
    }
    if (job.chainDeadlines != null) {
      for (Instant end : List.of(job.chainDeadlines.target(), job.chainDeadlines.latest())) {
        Duration start = Duration.between(job.acceptedAt, end).minus(job.spec.estimatedRunTime());
        if (start.compareTo(allowance) < 0 && start.compareTo(age) > 0) {
          allowance = start;
        }
      }
    }
    return allowance;
  }

  /** How long the job waited for others before it could start. */
  static Duration waited(Job job) {
    return Duration.between(job.acceptedAt, job.readyAt);
  }

  boolean expectNothingOf(Job job) {
    return job.chainDeadlines == null
        && settings.objectives().stream().noneMatch(o -> until(job, o) != null);
  }

  /**
   * When a job should be over by its deadline, and when at the latest by what the operators expect
   * of its class; null without a deadline.
   */
  ChainDeadlines finishTimes(Job job) {
    JobSpec spec = job.spec;
    if (spec.deadline() == null) {
      return null;
    }
    double least = Double.MAX_VALUE;
    double most = 0;
    for (Settings.Objective objective : settings.objectives()) {
      if (spec.jobClass().equals(objective.jobClass()) && objective.latestAfter() == null) {
        least = Math.min(least, objective.deadlineFactor());
        most = Math.max(most, objective.deadlineFactor());
      }
    }
    if (most == 0) {
      least = 1;
      most = 1;
    }
    return new ChainDeadlines(
        job.acceptedAt.plus(times(spec.deadline(), least)),
        job.acceptedAt.plus(times(spec.deadline(), most)));
  }

  private static Duration times(Duration duration, double factor) {
    return Duration.ofMillis((long) (duration.toMillis() * factor));
  }

  /**
   * Whether the job can keep an objective on its end if its tasks run through from now on, and not
   * if one of them is lost on the way and has to start anew.
   */
  boolean breaksByRestart(Job job, Instant timeOfDay) {
    Duration age = Duration.between(job.acceptedAt, timeOfDay);
    Duration through = age.plus(job.spec.estimatedRunTime());
    // Until a loss is noticed and its task is placed again.
    Duration again =
        settings
            .cloudLimits()
            .listLag()
            .multipliedBy(2)
            .plus(settings.workerTimes().heartbeatInterval());
    Duration twice = through.plus(again).plus(job.spec.estimatedRunTime());
    for (Settings.Objective objective : settings.objectives()) {
      Duration until = objective.kind().equals("wait") ? null : until(job, objective);
      if (until != null && through.compareTo(until) < 0 && twice.compareTo(until) > 0) {
        return true;
      }
    }
    if (job.chainDeadlines == null) {
      return false;
    }
    Duration until = Duration.between(job.acceptedAt, job.chainDeadlines.latest());
    return through.compareTo(until) < 0 && twice.compareTo(until) > 0;
  }

  /**
   * The time from the submission that the objective speaks of, or null if it is not for the job. A
   * deadline counts from the submission, all else from when the job could start.
   */
  private static Duration until(Job job, Settings.Objective objective) {
    JobSpec spec = job.spec;
    if (!spec.jobClass().equals(objective.jobClass())) {
      return null;
    }
    if (objective.latestAfter() != null) {
      return objective.latestAfter().plus(waited(job));
    }
    return spec.deadline() == null ? null : times(spec.deadline(), objective.deadlineFactor());
  }
}
