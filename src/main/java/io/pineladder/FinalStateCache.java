package io.pineladder;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.pineladder.model.Job;
import io.pineladder.wire.JobWire;

/**
 * Final states of jobs that this controller has seen stored. A final state never changes, so any
 * copy of it may be answered, by a leader or without one. What is evicted is read from the store
 * again.
 */
public final class FinalStateCache {
  private static final int MAX_ENTRIES = 20_000;

  private final Cache<String, JobWire.Status> statuses =
      Caffeine.newBuilder().maximumSize(MAX_ENTRIES).executor(Runnable::run).build();

  /** Records a final state that is stored. */
  public void put(String job, JobWire.Status status) {
    statuses.put(job, status);
  }

  /** The final status of a job as users are told it; null when it is not in the cache. */
  public JobWire.Status statusOf(String job) {
    return statuses.getIfPresent(job);
  }

  /** The final state of a job; null when it is not in the cache. */
  public Job.State stateOf(String job) {
    JobWire.Status status = statuses.getIfPresent(job);
    if (status == null) {
      return null;
    }
    return status == JobWire.Status.DONE ? Job.State.DONE : Job.State.CANCELLED;
  }
}
