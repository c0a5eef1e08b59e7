package io.pineladder.api;

import io.pineladder.ControllerNode;
import io.pineladder.api.JobRecordReader.Result;
import io.pineladder.model.Job;
import io.pineladder.store.AcceptedJobIndex;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Evaluates the dependencies of a job without a leader. Cancelling a job cancels all jobs that
 * depend on it, directly or indirectly, even if their own records do not show it yet. All reads
 * start after the request: the index of accepted jobs is refreshed first, and jobs that are not in
 * it are read one by one. Event thread only.
 */
final class DependencyChainReader {
  /** Maximum reads of single jobs per request; if more are needed, the outcome is uncertain. */
  private static final int MAX_STORE_READS = 8;

  /** The combined state of the jobs that a job depends on. */
  enum Outcome {
    /** All jobs were accepted, and none is cancelled. */
    NONE_CANCELLED,
    /** At least one job is cancelled. */
    CANCELLED,
    /** At least one job was never accepted. */
    UNKNOWN_JOB,
    /** The outcome cannot be determined now. */
    UNCERTAIN
  }

  private final ControllerNode node;
  private final JobRecordReader records;

  DependencyChainReader(ControllerNode node, JobRecordReader records) {
    this.node = node;
    this.records = records;
  }

  /**
   * Evaluates the given jobs and all jobs that they depend on; calls {@code onOutcome} exactly
   * once.
   */
  void evaluate(List<String> prerequisites, Consumer<Outcome> onOutcome) {
    if (prerequisites.isEmpty()) {
      onOutcome.accept(Outcome.NONE_CANCELLED);
      return;
    }
    node.acceptedJobs()
        .refresh(
            refreshed -> {
              if (refreshed) {
                new Evaluation(prerequisites, onOutcome).evaluateNext();
              } else {
                onOutcome.accept(Outcome.UNCERTAIN);
              }
            });
  }

  /** The evaluation for one request. */
  private final class Evaluation {
    private final Deque<String> pendingJobs;
    private final Set<String> visitedJobs = new HashSet<>();
    private final Consumer<Outcome> onOutcome;
    private int storeReads;

    Evaluation(List<String> prerequisites, Consumer<Outcome> onOutcome) {
      this.pendingJobs = new ArrayDeque<>(prerequisites);
      this.onOutcome = onOutcome;
    }

    void evaluateNext() {
      while (!pendingJobs.isEmpty()) {
        String id = pendingJobs.poll();
        if (!visitedJobs.add(id)) {
          continue;
        }
        Job.State finalState = records.knownFinalState(id);
        AcceptedJobIndex.IndexedJob indexedJob = node.acceptedJobs().find(id);
        if (finalState == Job.State.CANCELLED) {
          onOutcome.accept(Outcome.CANCELLED);
          return;
        }
        if (finalState == null && indexedJob == null) {
          readJobRecord(id);
          return;
        }
        if (finalState == null && !expand(indexedJob.state(), indexedJob.prerequisites())) {
          return;
        }
      }
      onOutcome.accept(Outcome.NONE_CANCELLED);
    }

    /** Queues the prerequisites of an active job; false if a cancelled job ends the evaluation. */
    private boolean expand(Job.State state, List<String> prerequisites) {
      if (state == Job.State.CANCELLED) {
        onOutcome.accept(Outcome.CANCELLED);
        return false;
      }
      if (state == Job.State.ACTIVE) {
        pendingJobs.addAll(prerequisites);
      }
      return true;
    }

    private void readJobRecord(String id) {
      if (++storeReads > MAX_STORE_READS) {
        onOutcome.accept(Outcome.UNCERTAIN);
        return;
      }
      records.readOwnRecords(id, this::onRecordRead);
    }

    private void onRecordRead(Result result) {
      if (result instanceof Result.Accepted job) {
        if (expand(job.state(), job.prerequisites())) {
          evaluateNext();
        }
      } else {
        onOutcome.accept(
            result instanceof Result.NotFound ? Outcome.UNKNOWN_JOB : Outcome.UNCERTAIN);
      }
    }
  }
}
