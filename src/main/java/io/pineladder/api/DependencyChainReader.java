package io.pineladder.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.ControllerNode;
import io.pineladder.JobView;
import io.pineladder.model.Job;
import io.pineladder.store.AcceptedJobIndex;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Evaluates, without a leader, the dependencies of a job. A job is cancelled along with any job
 * that it depends on, directly or not, even while its own record does not say so yet. All reads
 * begin after the request: the index of accepted jobs is refreshed first, and jobs that are not in
 * it are read one by one. Event thread only.
 */
final class DependencyChainReader {
  /** Reads of single jobs for one request; a longer chain is uncertain until a leader answers. */
  private static final int MAX_STORE_READS = 8;

  /** What is known of the jobs that a job depends on. */
  enum Outcome {
    /** All were accepted, and none is cancelled. */
    NONE_CANCELLED,
    /** One is cancelled. */
    CANCELLED,
    /** One was never accepted. */
    UNKNOWN_JOB,
    /** The outcome cannot be determined now. */
    UNCERTAIN
  }

  private final ControllerNode node;

  DependencyChainReader(ControllerNode node) {
    this.node = node;
  }

  /** Evaluates these jobs and all that they depend on; calls {@code onOutcome} once. */
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
        Job.State finalState = knownFinalState(id);
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

    /** Adds the prerequisites of an active job; false if a cancelled job ends the evaluation. */
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

    private Job.State knownFinalState(String id) {
      Job.State known = node.finalStates().stateOf(id);
      return known != null ? known : node.replicaManager().replica().finalState(id);
    }

    /**
     * Reads a job's own record, then its final state. A job moves from one to the other in one
     * transaction, so reading in this order finds every job.
     */
    private void readJobRecord(String id) {
      if (++storeReads > MAX_STORE_READS) {
        onOutcome.accept(Outcome.UNCERTAIN);
        return;
      }
      node.storeClient()
          .readForUser(
              RecordKeys.UNPAGED_JOB + id,
              read -> {
                if (!read.succeeded()) {
                  onOutcome.accept(Outcome.UNCERTAIN);
                } else if (!read.found()) {
                  readFinalState(id);
                } else {
                  try {
                    RecordWire.StoredJob job = RecordWire.parseJob(read.entry().value());
                    if (expand(job.state(), job.spec().prerequisites())) {
                      evaluateNext();
                    }
                  } catch (MalformedMessageException e) {
                    onOutcome.accept(Outcome.UNCERTAIN);
                  }
                }
              });
    }

    private void readFinalState(String id) {
      node.storeClient()
          .readForUser(
              RecordKeys.FINAL_STATE + id,
              read -> {
                if (!read.succeeded()
                    || (!read.found() && node.replicaManager().jobMayBeMissing(id))) {
                  onOutcome.accept(Outcome.UNCERTAIN);
                } else if (!read.found()) {
                  onOutcome.accept(Outcome.UNKNOWN_JOB);
                } else {
                  applyFinalState(id, read.entry().value());
                }
              });
    }

    private void applyFinalState(String id, JsonNode record) {
      try {
        Job.State finalState = RecordWire.parseFinalState(record);
        node.finalStates().put(id, JobView.toStatus(finalState));
        if (expand(finalState, List.of())) {
          evaluateNext();
        }
      } catch (MalformedMessageException e) {
        onOutcome.accept(Outcome.UNCERTAIN);
      }
    }
  }
}
