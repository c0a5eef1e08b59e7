package io.pineladder.scheduling;

import java.time.Duration;
import java.time.Instant;

/** Estimates the reclaim rate of spot machines from recent observations. */
public final class SpotReclaimRisk {
  /** The time in which the weight of an observation decays to 1/e. */
  private static final Duration DECAY_TIME = Duration.ofMinutes(5);

  /** The prior of the estimate: one reclaim in this number of machine hours. */
  private static final double PRIOR_MACHINE_HOURS = 4;

  private double machineHours;
  private double reclaims;
  private Instant observedAt;

  /** Adds the time since the last call, during which this number of spot machines was up. */
  public void observe(int machines, Instant now) {
    if (observedAt != null) {
      double seconds = Duration.between(observedAt, now).toMillis() / 1000.0;
      double decay = Math.exp(-seconds / DECAY_TIME.toSeconds());
      machineHours = machineHours * decay + machines * seconds / 3600;
      reclaims *= decay;
    }
    observedAt = now;
  }

  /** Records that a spot machine was reclaimed. */
  public void recordReclaim() {
    reclaims++;
  }

  /** The probability that any of the machines is reclaimed within the run time. */
  double reclaimProbability(double machines, Duration runTime) {
    double perHour = (reclaims + 1) / (machineHours + PRIOR_MACHINE_HOURS);
    return 1 - Math.exp(-perHour * machines * runTime.toMillis() / 3.6e6);
  }
}
