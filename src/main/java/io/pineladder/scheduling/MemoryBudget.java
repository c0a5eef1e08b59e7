package io.pineladder.scheduling;

import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;

/**
 * Bounds the jobs and placed tasks that a leader holds, so that it and each next leader can load
 * them. A job for which there is no memory is refused before it is accepted. The tasks of services
 * and gangs are reserved with their job, since all of them run at the same time; the tasks of
 * arrays are placed as far as memory is left. Event thread only.
 */
public final class MemoryBudget {
  private static final long MEBIBYTE = 1024 * 1024;

  /** Classes, connections and buffers, and what collections of the heap need. */
  private static final long BASE_BYTES = 24 * MEBIBYTE;

  /** A job with its record, its entries in the queue and its indexes. */
  private static final long BYTES_PER_JOB = 3 * 1024;

  /** An attempt with its entries in the indexes of job, machine and records, and its record. */
  private static final long BYTES_PER_ATTEMPT = 512;

  /** Sets of pending, completed and unconfirmed tasks. */
  private static final int BIT_SETS_PER_JOB = 3;

  private final long capacityBytes;
  private long reservedBytes;
  private long arrayAttempts;

  /** Creates an empty budget for a heap of this maximum size. */
  public MemoryBudget(long maxHeapBytes) {
    this.capacityBytes = maxHeapBytes - BASE_BYTES;
  }

  private static long bytes(JobSpec spec) {
    long attempts = spec.kind() == JobKind.ARRAY ? 1 : spec.tasks();
    return BYTES_PER_JOB
        + (long) BIT_SETS_PER_JOB * spec.tasks() / Byte.SIZE
        + attempts * BYTES_PER_ATTEMPT;
  }

  /** Whether a further job can be held. */
  public boolean hasRoomFor(JobSpec spec) {
    return reservedBytes + bytes(spec) <= capacityBytes;
  }

  /** Reserves memory for a job, also beyond the capacity if it was accepted before. */
  public void reserve(JobSpec spec) {
    reservedBytes += bytes(spec);
  }

  /** Releases the memory of a job that is removed or was not accepted. */
  public void release(JobSpec spec) {
    reservedBytes -= bytes(spec);
  }

  void onArrayAttemptAdded() {
    arrayAttempts++;
  }

  void onArrayAttemptRemoved() {
    arrayAttempts--;
  }

  /** How many further tasks of arrays may be placed. */
  int arrayAttemptsLeft() {
    long left = (capacityBytes - reservedBytes) / BYTES_PER_ATTEMPT - arrayAttempts;
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, left));
  }
}
