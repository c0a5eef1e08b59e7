package io.pineladder;

import io.pineladder.model.Job;
import io.pineladder.wire.JobWire;

/**
 * What a user is answered about a job.
 *
 * @param status the job's status; null when it is not known whether or how the job exists
 * @param completedTasks how many of its tasks are complete
 * @param runningTasks how many of its tasks run
 * @param exists false when it is certain that no such job was accepted
 */
public record JobView(JobWire.Status status, int completedTasks, int runningTasks, boolean exists) {
  /** Nothing certain can be said now; a later request may learn more. */
  public static final JobView UNCERTAIN = new JobView(null, 0, 0, true);

  /** No such job was accepted. */
  public static final JobView NOT_FOUND = new JobView(null, 0, 0, false);

  /** A job with a status and no count of tasks. */
  static JobView of(JobWire.Status status) {
    return new JobView(status, 0, 0, true);
  }

  /** A job that has ended and is no longer in memory. */
  static JobView ended(Job.State finalState) {
    return of(toStatus(finalState));
  }

  /** Whether nothing certain can be said now. */
  public boolean isUncertain() {
    return exists && status == null;
  }

  /** The status that users are told for a state that is stored. */
  public static JobWire.Status toStatus(Job.State state) {
    return switch (state) {
      case DONE -> JobWire.Status.DONE;
      case CANCELLED -> JobWire.Status.CANCELLED;
      case ACTIVE -> JobWire.Status.PENDING;
    };
  }
}
