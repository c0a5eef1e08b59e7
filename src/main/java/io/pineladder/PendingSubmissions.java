package io.pineladder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Submissions that are being stored, with the callbacks that wait for their outcome: those of the
 * original request, of repeated requests, and of status requests received meanwhile.
 */
final class PendingSubmissions {
  private final Map<String, List<Consumer<SubmissionResult>>> waitersByJob = new HashMap<>();

  /** Whether the job is being stored. */
  boolean contains(String job) {
    return waitersByJob.containsKey(job);
  }

  /** Begins a submission; {@code waiter} is the first to receive its outcome. */
  void begin(String job, Consumer<SubmissionResult> waiter) {
    List<Consumer<SubmissionResult>> waiters = new ArrayList<>();
    waiters.add(waiter);
    waitersByJob.put(job, waiters);
  }

  /**
   * Registers {@code waiter} for the outcome of a submission. It receives the result of a repeated
   * submission, since another controller may have told the user meanwhile that the job is accepted.
   *
   * @return false if no submission of this job is pending
   */
  boolean await(String job, Consumer<SubmissionResult> waiter) {
    List<Consumer<SubmissionResult>> waiters = waitersByJob.get(job);
    if (waiters == null) {
      return false;
    }
    waiters.add(result -> waiter.accept(result.forRepetition()));
    return true;
  }

  /** Ends a submission and returns its waiters in the order in which they must be called. */
  List<Consumer<SubmissionResult>> complete(String job) {
    return waitersByJob.remove(job);
  }
}
