package io.pineladder.queue;

import io.pineladder.model.Job;
import io.pineladder.model.PriorityClass;
import java.time.Instant;

/**
 * A job's pending tasks in the queue: one entry whatever their number, a gang placed as a whole.
 */
public final class QueueEntry {
  /** Where an entry is. */
  public enum Place {
    OUTSIDE,
    ACTIVE,
    /** Being tried. */
    IN_FLIGHT,
    BACKOFF_REJECTED,
    BACKOFF_ERROR,
    UNSCHEDULABLE
  }

  public final Job job;
  Place place = Place.OUTSIDE;
  SchedulingCheck rejectedBy;
  int attempts;
  Instant lastCycleAt = Instant.MIN;

  /** Which try of the whole queue was this entry's last. */
  long lastCycle;

  Instant backoffExpiry = Instant.MIN;

  /** Sort keys, fixed while the entry is in the heap. */
  boolean guaranteed;

  PriorityClass priorityClass;
  Instant dueAt = Instant.MAX;
  long arrivalNumber;

  public QueueEntry(Job job) {
    this.job = job;
    this.priorityClass = job.priorityClass();
  }

  public Place place() {
    return place;
  }

  /** The check that parked it, or null. */
  public SchedulingCheck rejectedBy() {
    return rejectedBy;
  }

  /** When it was tried last. */
  public Instant lastCycleAt() {
    return lastCycleAt;
  }

  public int attempts() {
    return attempts;
  }

  /** Part of it was placed: what is left starts its back-off anew. */
  public void resetBackoff() {
    attempts = 0;
  }

  @Override
  public String toString() {
    return job + " " + place;
  }
}
