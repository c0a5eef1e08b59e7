package io.pineladder.model;

import java.time.Duration;

/** What operators may change while the service runs, through the administration API only. */
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
