package io.pineladder.model;

import java.time.Duration;

/** Specifications of jobs whose size is all that matters. */
public final class TestJobs {
  private TestJobs() {}

  /** A job of small tasks. */
  public static JobSpec smallTasks(JobKind kind, int tasks) {
    return new JobSpec(
        "req-000001",
        "class",
        "red",
        kind,
        PriorityClass.NORMAL,
        tasks,
        Resources.of(0.02, 0, 0.05),
        null,
        null,
        false,
        false,
        false,
        "image",
        1,
        Duration.ofSeconds(10),
        Duration.ZERO,
        Duration.ZERO,
        null);
  }
}
