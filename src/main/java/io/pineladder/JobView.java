package io.pineladder;

import io.pineladder.model.Job;
import io.pineladder.wire.JobWire;

/**
 * The status of a job as shown to users.
 *
 * @param status the job's status; null if it is not known whether the job exists or in which state
 * @param completedTasks the number of complete tasks
 * @param runningTasks the number of running tasks
 * @param exists false if it is certain that no such job was accepted
 */
public record JobView(JobWire.Status status, int completedTasks, int runningTasks, boolean exists) {
  /** The status cannot be determined now; a later request may succeed. */
  public static final JobView UNCERTAIN = new JobView(null, 0, 0, true);

  /** No such job was accepted. */
  public static final JobView NOT_FOUND = new JobView(null, 0, 0, false);

  /** A job with a status and without task counts. */
  static JobView of(JobWire.Status status) {
    return new JobView(status, 0, 0, true);
  }

  /** A job that has ended and is no longer in memory. */
  static JobView ended(Job.State finalState) {
    return of(toStatus(finalState));
  }

  /** Whether the status cannot be determined now. */
  public boolean isUncertain() {
    return exists && status == null;
  }

  /** The status shown to users for a stored state. */
  public static JobWire.Status toStatus(Job.State state) {
    return switch (state) {
      case DONE -> JobWire.Status.DONE;
      case CANCELLED -> JobWire.Status.CANCELLED;
      case ACTIVE -> JobWire.Status.PENDING;
    };
  }
}
