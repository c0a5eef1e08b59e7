package io.pineladder.scheduling;

import io.pineladder.model.ChainDeadlines;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Settings;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * The service-level objectives in the settings for job classes, applied to single jobs. Instants
 * are wall-clock times of the controller; allowances count from the acceptance of the job.
 */
final class ServiceObjectives {
  /** The start allowance of a job without objectives, or which has missed all of them. */
  static final Duration DEFAULT_START_ALLOWANCE = Duration.ofMinutes(10);

  private static final String WAIT_OBJECTIVE_KIND = "wait";

  private final Settings settings;

  ServiceObjectives(Settings settings) {
    this.settings = settings;
  }

  /**
   * How long after its acceptance the job should have started to meet the tightest objective that
   * it can still meet. Missed objectives no longer count, so that late jobs do not delay others.
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
          objective.kind().equals(WAIT_OBJECTIVE_KIND)
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

  /** How long the job waited for its prerequisites. */
  static Duration dependencyWait(Job job) {
    return Duration.between(job.acceptedAt, job.readyAt);
  }

  /**
   * Whether no objective applies to the job, neither its own nor one inherited from a dependent.
   */
  boolean hasNoObjective(Job job) {
    return job.chainDeadlines == null
        && settings.objectives().stream().noneMatch(objective -> timeLimit(job, objective) != null);
  }

  /**
   * The target and the latest end of the job by its deadline and the objectives of its class; null
   * without a deadline.
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
        job.acceptedAt.plus(scale(spec.deadline(), minFactor)),
        job.acceptedAt.plus(scale(spec.deadline(), maxFactor)));
  }

  private static Duration scale(Duration duration, double factor) {
    return Duration.ofMillis((long) (duration.toMillis() * factor));
  }

  /**
   * Whether the job would meet an objective on its end if no task is restarted, but miss it if one
   * is lost and restarted.
   */
  boolean wouldMissObjectiveAfterRestart(Job job, Instant wallClock) {
    Duration age = Duration.between(job.acceptedAt, wallClock);
    Duration endWithoutRestart = age.plus(job.spec.estimatedRunTime());
    // The time until a lost task is detected and placed again.
    Duration restartDelay =
        settings
            .cloudLimits()
            .listLag()
            .multipliedBy(2)
            .plus(settings.workerTimes().heartbeatInterval());
    Duration endAfterRestart =
        endWithoutRestart.plus(restartDelay).plus(job.spec.estimatedRunTime());
    for (Settings.Objective objective : settings.objectives()) {
      Duration timeLimit =
          objective.kind().equals(WAIT_OBJECTIVE_KIND) ? null : timeLimit(job, objective);
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
   * The time limit of the objective, counted from the acceptance of the job; null if the objective
   * does not apply. Deadlines count from the acceptance, other objectives from when the job may
   * start.
   */
  private static Duration timeLimit(Job job, Settings.Objective objective) {
    JobSpec spec = job.spec;
    if (!spec.jobClass().equals(objective.jobClass())) {
      return null;
    }
    if (objective.latestAfter() != null) {
      return objective.latestAfter().plus(dependencyWait(job));
    }
    return spec.deadline() == null ? null : scale(spec.deadline(), objective.deadlineFactor());
  }
}
