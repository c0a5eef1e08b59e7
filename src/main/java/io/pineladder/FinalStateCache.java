package io.pineladder;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.pineladder.model.Job;
import io.pineladder.wire.JobWire;

/**
 * A bounded cache of final job states that are stored. A final state never changes, so a cached one
 * may be returned to users whether or not there is a leader. Evicted entries are read from the
 * store again.
 */
public final class FinalStateCache {
  private static final int MAX_ENTRIES = 20_000;

  private final Cache<String, JobWire.Status> statuses =
      Caffeine.newBuilder().maximumSize(MAX_ENTRIES).executor(Runnable::run).build();

  /** Adds a final state, which must have been stored. */
  public void put(String job, JobWire.Status status) {
    statuses.put(job, status);
  }

  /** The final status of a job as shown to users; null if it is not in the cache. */
  public JobWire.Status statusOf(String job) {
    return statuses.getIfPresent(job);
  }

  /** The final state of a job; null if it is not in the cache. */
  public Job.State stateOf(String job) {
    JobWire.Status status = statuses.getIfPresent(job);
    if (status == null) {
      return null;
    }
    return status == JobWire.Status.DONE ? Job.State.DONE : Job.State.CANCELLED;
  }
}
