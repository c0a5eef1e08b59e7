package io.pineladder.scheduling;

import java.time.Duration;
import java.time.Instant;

/** How often spot machines are taken back, as seen of late. */
public final class SpotReclaimRisk {
  /** What is seen counts for about so long. */
  private static final Duration MEMORY = Duration.ofMinutes(5);

  /** Before anything was seen: one taken in so many hours of one machine. */
  private static final double PRIOR_HOURS = 4;

  private double hours;
  private double losses;
  private Instant at;

  /** So many spot machines are up now. */
  public void observe(int machines, Instant now) {
    if (at != null) {
      double seconds = Duration.between(at, now).toMillis() / 1000.0;
      double kept = Math.exp(-seconds / MEMORY.toSeconds());
      hours = hours * kept + machines * seconds / 3600;
      losses *= kept;
    }
    at = now;
  }

  /** A spot machine was taken back. */
  public void lost() {
    losses++;
  }

  /** The likelihood that one of so many machines is taken within that time. */
  double likelihood(double machines, Duration time) {
    double perHour = (losses + 1) / (hours + PRIOR_HOURS);
    return 1 - Math.exp(-perHour * machines * time.toMillis() / 3.6e6);
  }
}
