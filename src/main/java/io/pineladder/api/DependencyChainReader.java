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
 * Finds out, without a leader, what follows for a job from the jobs before it. A job is cancelled
 * with any of those, though no record of its own may say so yet. All reads begin after the
 * question: the index of accepted jobs is made fresh first, and what it does not hold is read by
 * itself.
 */
final class DependencyChainReader {
  /** Reads for one question at the most; what needs more is asked again, or of a leader. */
  private static final int MAX_STORE_READS = 8;

  /** What is known of the jobs before a job. */
  enum Outcome {
    /** All were accepted, and none is cancelled. */
    NONE_CANCELLED,
    /** One is cancelled. */
    CANCELLED,
    /** One was never accepted. */
    UNKNOWN_JOB,
    /** Nothing certain can be said now. */
    UNCERTAIN
  }

  private final ControllerNode node;

  DependencyChainReader(ControllerNode node) {
    this.node = node;
  }

  /** Looks at these jobs and at all before them. */
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

  /** One look at a chain. */
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
        if (finalState == null) {
          expand(indexedJob.state(), indexedJob.prerequisites());
          if (indexedJob.state() == Job.State.CANCELLED) {
            return;
          }
        }
      }
      onOutcome.accept(Outcome.NONE_CANCELLED);
    }

    /** Takes in a job that is not known to be over; a cancelled one ends the review. */
    private void expand(Job.State state, List<String> prerequisites) {
      if (state == Job.State.CANCELLED) {
        onOutcome.accept(Outcome.CANCELLED);
      } else if (state == Job.State.ACTIVE) {
        pendingJobs.addAll(prerequisites);
      }
    }

    private Job.State knownFinalState(String id) {
      Job.State known = node.finalStates().stateOf(id);
      return known != null ? known : node.replicaManager().replica().finalState(id);
    }

    /**
     * A job moves from its own record to its final state in one transaction, so this order misses
     * none.
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
                if (!read.certain()) {
                  onOutcome.accept(Outcome.UNCERTAIN);
                } else if (!read.found()) {
                  readFinalState(id);
                } else {
                  try {
                    RecordWire.StoredJob job = RecordWire.parseJob(read.entry().value());
                    expand(job.state(), job.spec().prerequisites());
                    if (job.state() != Job.State.CANCELLED) {
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
                if (!read.certain() || !read.found() && node.replicaManager().jobMayBeMissing(id)) {
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
        expand(finalState, List.of());
        if (finalState != Job.State.CANCELLED) {
          evaluateNext();
        }
      } catch (MalformedMessageException e) {
        onOutcome.accept(Outcome.UNCERTAIN);
      }
    }
  }
}
