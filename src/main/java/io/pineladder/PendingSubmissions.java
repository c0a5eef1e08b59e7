package io.pineladder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Submissions that are on their way to the store, with those who wait for the outcome: the user who
 * submitted, those who repeated the request, and those who asked for the job's status meanwhile.
 */
final class PendingSubmissions {
  private final Map<String, List<Consumer<JobView>>> waitersByJob = new HashMap<>();

  /** Whether the job is being stored. */
  boolean contains(String job) {
    return waitersByJob.containsKey(job);
  }

  /** Begins a submission, whose outcome {@code waiter} gets first. */
  void begin(String job, Consumer<JobView> waiter) {
    List<Consumer<JobView>> waiters = new ArrayList<>();
    waiters.add(waiter);
    waitersByJob.put(job, waiters);
  }

  /**
   * Has {@code waiter} called with the outcome of a submission.
   *
   * @return false when no submission of this job is pending
   */
  boolean await(String job, Consumer<JobView> waiter) {
    List<Consumer<JobView>> waiters = waitersByJob.get(job);
    if (waiters == null) {
      return false;
    }
    waiters.add(waiter);
    return true;
  }

  /** Ends a submission and gives those who wait for it, to be called in this order. */
  List<Consumer<JobView>> complete(String job) {
    return waitersByJob.remove(job);
  }
}
