package io.pineladder.scheduling;

import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Settings;
import java.time.Duration;
import java.time.Instant;

/** What the settings expect of a job's class, and what that means for one job now. */
final class Objectives {
  /** How long a job may wait that nothing is expected of, or whose objectives are all missed. */
  static final Duration NO_HURRY = Duration.ofMinutes(10);

  private final Settings settings;

  Objectives(Settings settings) {
    this.settings = settings;
  }

  /**
   * How long after its submission a job should have started for the tightest objective that it can
   * still keep. An objective already missed no longer presses, or the late would make others late.
   */
  Duration allowance(Job job, Instant timeOfDay) {
    Duration age = Duration.between(job.acceptedAt, timeOfDay);
    Duration allowance = NO_HURRY;
    for (Settings.Objective objective : settings.objectives()) {
      Duration until = until(job.spec, objective);
      if (until == null) {
        continue;
      }
      Duration start =
          objective.kind().equals("wait") ? until : until.minus(job.spec.estimate());
      if (start.compareTo(allowance) < 0 && start.compareTo(age) > 0) {
        allowance = start;
      }
    }
    return allowance;
  }

  boolean expectNothingOf(Job job) {
    return settings.objectives().stream().noneMatch(o -> until(job.spec, o) != null);
  }

  /**
   * Whether the job can keep an objective on its end if its tasks run through from now on, and not
   * if one of them is lost on the way and has to start anew.
   */
  boolean breaksByRestart(Job job, Instant timeOfDay) {
    Duration age = Duration.between(job.acceptedAt, timeOfDay);
    Duration through = age.plus(job.spec.estimate());
    // Until a loss is noticed and its task is placed again.
    Duration again =
        settings.cloud().listLag().multipliedBy(2).plus(settings.workers().report());
    Duration twice = through.plus(again).plus(job.spec.estimate());
    for (Settings.Objective objective : settings.objectives()) {
      Duration until = objective.kind().equals("wait") ? null : until(job.spec, objective);
      if (until != null && through.compareTo(until) < 0 && twice.compareTo(until) > 0) {
        return true;
      }
    }
    return false;
  }

  /** The time from the submission that the objective speaks of, or null if it is not for the job. */
  private static Duration until(JobSpec spec, Settings.Objective objective) {
    if (!spec.jobClass().equals(objective.jobClass())) {
      return null;
    }
    if (objective.within() != null) {
      return objective.within();
    }
    Duration deadline = spec.deadline();
    return deadline == null
        ? null
        : Duration.ofMillis((long) (deadline.toMillis() * objective.times()));
  }
}
