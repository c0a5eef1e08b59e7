package io.pineladder.model;

import java.time.Duration;

/**
 * The settings that operators change while the service runs, through the administration API only.
 *
 * @param initialBackoff the back-off after the first rejection or failure
 * @param maxBackoff the longest back-off
 * @param backoffWindow back-offs end at multiples of it; zero for no rounding
 * @param idleReleaseAfter how long a machine is idle before it is returned
 */
public record OperatorSettings(
    Duration initialBackoff,
    Duration maxBackoff,
    Duration backoffWindow,
    Duration idleReleaseAfter) {
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(
          Duration.ofSeconds(1),
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofSeconds(30));
}
