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
  private static final int MOST_READS = 8;

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
  void review(List<String> prerequisites, Consumer<Outcome> onDone) {
    if (prerequisites.isEmpty()) {
      onDone.accept(Outcome.NONE_CANCELLED);
      return;
    }
    node.acceptedJobs()
        .refresh(
            fresh -> {
              if (fresh) {
                new Review(prerequisites, onDone).next();
              } else {
                onDone.accept(Outcome.UNCERTAIN);
              }
            });
  }

  /** One look at a chain. */
  private final class Review {
    private final Deque<String> left;
    private final Set<String> seen = new HashSet<>();
    private final Consumer<Outcome> onDone;
    private int reads;

    Review(List<String> prerequisites, Consumer<Outcome> onDone) {
      this.left = new ArrayDeque<>(prerequisites);
      this.onDone = onDone;
    }

    void next() {
      while (!left.isEmpty()) {
        String id = left.poll();
        if (!seen.add(id)) {
          continue;
        }
        Job.State ended = knownEnd(id);
        AcceptedJobIndex.IndexedJob found = node.acceptedJobs().find(id);
        if (ended == Job.State.CANCELLED) {
          onDone.accept(Outcome.CANCELLED);
          return;
        }
        if (ended == null && found == null) {
          readOwn(id);
          return;
        }
        if (ended == null) {
          take(found.state(), found.prerequisites());
          if (found.state() == Job.State.CANCELLED) {
            return;
          }
        }
      }
      onDone.accept(Outcome.NONE_CANCELLED);
    }

    /** Takes in a job that is not known to be over; a cancelled one ends the review. */
    private void take(Job.State state, List<String> prerequisites) {
      if (state == Job.State.CANCELLED) {
        onDone.accept(Outcome.CANCELLED);
      } else if (state == Job.State.ACTIVE) {
        left.addAll(prerequisites);
      }
    }

    private Job.State knownEnd(String id) {
      Job.State known = node.finalStates().stateOf(id);
      return known != null ? known : node.replicaManager().replica().finalState(id);
    }

    /**
     * A job moves from its own record to its final state in one transaction, so this order misses
     * none.
     */
    private void readOwn(String id) {
      if (++reads > MOST_READS) {
        onDone.accept(Outcome.UNCERTAIN);
        return;
      }
      node.storeClient()
          .readForUser(
              RecordKeys.UNPAGED_JOB + id,
              read -> {
                if (!read.certain()) {
                  onDone.accept(Outcome.UNCERTAIN);
                } else if (!read.found()) {
                  readEnd(id);
                } else {
                  try {
                    RecordWire.StoredJob job = RecordWire.parseJob(read.entry().value());
                    take(job.state(), job.spec().prerequisites());
                    if (job.state() != Job.State.CANCELLED) {
                      next();
                    }
                  } catch (MalformedMessageException e) {
                    onDone.accept(Outcome.UNCERTAIN);
                  }
                }
              });
    }

    private void readEnd(String id) {
      node.storeClient()
          .readForUser(
              RecordKeys.FINAL_STATE + id,
              read -> {
                if (!read.certain() || !read.found() && node.replicaManager().jobMayBeMissing(id)) {
                  onDone.accept(Outcome.UNCERTAIN);
                } else if (!read.found()) {
                  onDone.accept(Outcome.UNKNOWN_JOB);
                } else {
                  takeEnd(id, read.entry().value());
                }
              });
    }

    private void takeEnd(String id, JsonNode record) {
      try {
        Job.State ended = RecordWire.parseEnd(record);
        node.finalStates().put(id, JobView.toStatus(ended));
        take(ended, List.of());
        if (ended != Job.State.CANCELLED) {
          next();
        }
      } catch (MalformedMessageException e) {
        onDone.accept(Outcome.UNCERTAIN);
      }
    }
  }
}
