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
  static final Duration DEFAULT_START_ALLOWANCE = Duration.ofMinutes(10);

  private final Settings settings;

  ServiceObjectives(Settings settings) {
    this.settings = settings;
  }

  /**
   * How long after its submission a job should have started for the tightest objective that it can
   * still keep. An objective already missed no longer presses, or the late would make others late.
   */
  Duration startAllowance(Job job, Instant wallClock) {
    Duration age = Duration.between(job.acceptedAt, wallClock);
    Duration allowance = DEFAULT_START_ALLOWANCE.plus(dependencyWait(job));
    for (Settings.Objective objective : settings.objectives()) {
      Duration timeLimit = timeLimit(job, objective);
      if (timeLimit == null) {
        continue;
      }
      Duration latestStart =
          objective.kind().equals("wait")
              ? timeLimit
              : timeLimit.minus(job.spec.estimatedRunTime());
      if (latestStart.compareTo(allowance) < 0 && latestStart.compareTo(age) > 0) {
        allowance = latestStart;
      }
    }
    if (job.chainDeadlines != null) {
      for (Instant end : List.of(job.chainDeadlines.target(), job.chainDeadlines.latest())) {
        Duration latestStart =
            Duration.between(job.acceptedAt, end).minus(job.spec.estimatedRunTime());
        if (latestStart.compareTo(allowance) < 0 && latestStart.compareTo(age) > 0) {
          allowance = latestStart;
        }
      }
    }
    return allowance;
  }

  /** How long the job waited for others before it could start. */
  static Duration dependencyWait(Job job) {
    return Duration.between(job.acceptedAt, job.readyAt);
  }

  boolean hasNoObjective(Job job) {
    return job.chainDeadlines == null
        && settings.objectives().stream().noneMatch(o -> timeLimit(job, o) != null);
  }

  /**
   * When a job should be over by its deadline, and when at the latest by what the operators expect
   * of its class; null without a deadline.
   */
  ChainDeadlines ownDeadlines(Job job) {
    JobSpec spec = job.spec;
    if (spec.deadline() == null) {
      return null;
    }
    double minFactor = Double.MAX_VALUE;
    double maxFactor = 0;
    for (Settings.Objective objective : settings.objectives()) {
      if (spec.jobClass().equals(objective.jobClass()) && objective.latestAfter() == null) {
        minFactor = Math.min(minFactor, objective.deadlineFactor());
        maxFactor = Math.max(maxFactor, objective.deadlineFactor());
      }
    }
    if (maxFactor == 0) {
      minFactor = 1;
      maxFactor = 1;
    }
    return new ChainDeadlines(
        job.acceptedAt.plus(scaled(spec.deadline(), minFactor)),
        job.acceptedAt.plus(scaled(spec.deadline(), maxFactor)));
  }

  private static Duration scaled(Duration duration, double factor) {
    return Duration.ofMillis((long) (duration.toMillis() * factor));
  }

  /**
   * Whether the job can keep an objective on its end if its tasks run through from now on, and not
   * if one of them is lost on the way and has to start anew.
   */
  boolean wouldMissObjectiveAfterRestart(Job job, Instant wallClock) {
    Duration age = Duration.between(job.acceptedAt, wallClock);
    Duration endWithoutRestart = age.plus(job.spec.estimatedRunTime());
    // Until a loss is noticed and its task is placed again.
    Duration restartDelay =
        settings
            .cloudLimits()
            .listLag()
            .multipliedBy(2)
            .plus(settings.workerTimes().heartbeatInterval());
    Duration endAfterRestart =
        endWithoutRestart.plus(restartDelay).plus(job.spec.estimatedRunTime());
    for (Settings.Objective objective : settings.objectives()) {
      Duration timeLimit = objective.kind().equals("wait") ? null : timeLimit(job, objective);
      if (timeLimit != null
          && endWithoutRestart.compareTo(timeLimit) < 0
          && endAfterRestart.compareTo(timeLimit) > 0) {
        return true;
      }
    }
    if (job.chainDeadlines == null) {
      return false;
    }
    Duration timeLimit = Duration.between(job.acceptedAt, job.chainDeadlines.latest());
    return endWithoutRestart.compareTo(timeLimit) < 0 && endAfterRestart.compareTo(timeLimit) > 0;
  }

  /**
   * The time from the submission that the objective speaks of, or null if it is not for the job. A
   * deadline counts from the submission, all else from when the job could start.
   */
  private static Duration timeLimit(Job job, Settings.Objective objective) {
    JobSpec spec = job.spec;
    if (!spec.jobClass().equals(objective.jobClass())) {
      return null;
    }
    if (objective.latestAfter() != null) {
      return objective.latestAfter().plus(dependencyWait(job));
    }
    return spec.deadline() == null ? null : scaled(spec.deadline(), objective.deadlineFactor());
  }
}
