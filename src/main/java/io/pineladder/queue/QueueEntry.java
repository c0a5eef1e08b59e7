package io.pineladder.queue;

import io.pineladder.model.Job;
import io.pineladder.model.PriorityClass;
import java.time.Instant;

/**
 * A job's pending tasks in the scheduling queue: one entry whatever their number. Its place and
 * sort keys are changed by {@link SchedulingQueue} only.
 */
public final class QueueEntry {
  /** Where in the queue an entry is. Shown to operators by these names. */
  public enum State {
    /** Not in the queue. */
    OUTSIDE,
    /** In the active heap, to be scheduled by priority. */
    ACTIVE,
    /** In its scheduling cycle. */
    IN_FLIGHT,
    /** In back-off after a rejection by a check; an event may cut it short. */
    BACKOFF_REJECTED,
    /** In back-off after tasks failed or were refused; no event cuts it short. */
    BACKOFF_ERROR,
    /** Rejected by a check, until an event or a periodic retry activates it. */
    UNSCHEDULABLE
  }

  /** The job whose pending tasks these are. */
  public final Job job;

  State state = State.OUTSIDE;
  SchedulingCheck rejectedBy;

  /** Scheduling cycles, or failures, since the back-off was last reset. */
  int attempts;

  Instant lastCycleAt = Instant.MIN;

  /** The number of this entry's last scheduling cycle among those of the whole queue. */
  long lastCycle;

  /** When its back-off ends. */
  Instant backoffExpiry = Instant.MIN;

  /** Sort key, like those below: fixed while the entry is in the active heap. */
  boolean guaranteed;

  PriorityClass priorityClass;
  Instant dueAt = Instant.MAX;
  long arrivalNumber;

  /** An entry outside the queue. */
  public QueueEntry(Job job) {
    this.job = job;
    this.priorityClass = job.priorityClass();
  }

  /** Where in the queue the entry is. */
  public State state() {
    return state;
  }

  /** The check that rejected it last; null before the first rejection. */
  public SchedulingCheck rejectedBy() {
    return rejectedBy;
  }

  /** When its last scheduling cycle or failure was. */
  public Instant lastCycleAt() {
    return lastCycleAt;
  }

  /** Scheduling cycles, or failures, since the back-off was last reset. */
  public int attempts() {
    return attempts;
  }

  /** A task was placed: the back-off of the others starts anew. */
  public void resetBackoff() {
    attempts = 0;
  }

  @Override
  public String toString() {
    return job + " " + state;
  }
}
