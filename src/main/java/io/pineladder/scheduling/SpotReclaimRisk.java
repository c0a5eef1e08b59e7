package io.pineladder.scheduling;

import java.time.Duration;
import java.time.Instant;

/** How often spot machines are taken back, as seen of late. */
public final class SpotReclaimRisk {
  /** What is seen counts for about so long. */
  private static final Duration DECAY_TIME = Duration.ofMinutes(5);

  /** Before anything was seen: one taken in so many hours of one machine. */
  private static final double PRIOR_MACHINE_HOURS = 4;

  private double machineHours;
  private double reclaims;
  private Instant observedAt;

  /** So many spot machines are up now. */
  public void observe(int machines, Instant now) {
    if (observedAt != null) {
      double seconds = Duration.between(observedAt, now).toMillis() / 1000.0;
      double decay = Math.exp(-seconds / DECAY_TIME.toSeconds());
      machineHours = machineHours * decay + machines * seconds / 3600;
      reclaims *= decay;
    }
    observedAt = now;
  }

  /** A spot machine was taken back. */
  public void recordReclaim() {
    reclaims++;
  }

  /** The likelihood that one of so many machines is taken within that time. */
  double reclaimProbability(double machines, Duration runTime) {
    double perHour = (reclaims + 1) / (machineHours + PRIOR_MACHINE_HOURS);
    return 1 - Math.exp(-perHour * machines * runTime.toMillis() / 3.6e6);
  }
}
