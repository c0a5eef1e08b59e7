package io.pineladder.model;

import java.time.Duration;

/**
 * Settings that operators can change at runtime, through the administration API.
 *
 * @param initialBackoff the backoff after the first rejection or failure
 * @param maxBackoff the maximum backoff
 * @param backoffWindow the ends of backoffs are rounded to multiples of this; zero for no rounding
 * @param idleReleaseAfter how long a machine is idle before it is released
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
