package io.pineladder.queue;

import io.pineladder.model.Job;
import io.pineladder.model.PriorityClass;
import java.time.Instant;

/**
 * The pending tasks of a job in the scheduling queue: one entry per job, regardless of the number
 * of tasks. Only {@link SchedulingQueue} changes its state and sort keys.
 */
public final class QueueEntry {
  /** The state of an entry in the queue. Operators see these names. */
  public enum State {
    /** Not in the queue. */
    OUTSIDE,
    /** In the active heap, which is ordered by priority. */
    ACTIVE,
    /** In a scheduling cycle. */
    IN_FLIGHT,
    /** In back-off after a rejection by a check; events may end the back-off early. */
    BACKOFF_REJECTED,
    /** In back-off after tasks failed or were refused by a machine; no event ends it early. */
    BACKOFF_ERROR,
    /** Rejected by a check; activated by an event or a periodic retry. */
    UNSCHEDULABLE
  }

  /** The job that the pending tasks belong to. */
  public final Job job;

  State state = State.OUTSIDE;
  SchedulingCheck rejectedBy;

  /** The number of scheduling cycles or failures since the back-off was last reset. */
  int attempts;

  Instant lastCycleAt = Instant.MIN;

  /** The sequence number of the entry's last scheduling cycle, counted over the whole queue. */
  long lastCycleNumber;

  Instant backoffExpiry = Instant.MIN;

  /**
   * Sort key, like the three fields below; must not change while the entry is in the active heap.
   */
  boolean guaranteed;

  PriorityClass priorityClass;
  Instant dueAt = Instant.MAX;
  long arrivalNumber;

  /** Creates an entry that is not in the queue yet. */
  public QueueEntry(Job job) {
    this.job = job;
    this.priorityClass = job.priorityClass();
  }

  /** The state of the entry in the queue. */
  public State state() {
    return state;
  }

  /** The check that last rejected the entry; null before the first rejection. */
  public SchedulingCheck rejectedBy() {
    return rejectedBy;
  }

  /** The time of the last scheduling cycle or failure. */
  public Instant lastCycleAt() {
    return lastCycleAt;
  }

  /** The number of scheduling cycles or failures since the back-off was last reset. */
  public int attempts() {
    return attempts;
  }

  /** Resets the back-off after a task was placed. */
  public void resetBackoff() {
    attempts = 0;
  }

  @Override
  public String toString() {
    return job + " " + state;
  }
}
