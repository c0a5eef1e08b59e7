package io.pineladder.api;

import io.pineladder.ControllerNode;
import io.pineladder.JobView;
import io.pineladder.model.Job;
import io.pineladder.store.AcceptedJobIndex.IndexedJob;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import java.util.List;
import java.util.function.Consumer;

/**
 * Determines from the store whether a job was accepted, for a controller without a leader. A job is
 * reported as not found only after reads, none of them older than the call, of every place where
 * the record of an accepted job can be. Event thread only.
 *
 * <p>A job's record, in a page or under its own key, is replaced by its final state in one
 * transaction and is never moved from its own key to a page. Reading the pages, then the job's own
 * key, then its final state can therefore not miss a job.
 */
final class JobRecordReader {
  /** Where a job was found. */
  enum Source {
    /** A final state that was known without a read. */
    KNOWN_FINAL_STATE,
    /** A page of jobs that leaders accepted. */
    JOB_PAGE,
    /** The record of a job that a controller accepted without a leader. */
    OWN_RECORD,
    /** The record of its final state. */
    FINAL_STATE
  }

  /** What the store shows about a job. */
  sealed interface Result {
    /**
     * The job was accepted.
     *
     * @param prerequisites the IDs of the jobs that it depends on; empty if the job has ended
     * @param revision the revision of the record, or of the read of all pages; 0 without a read
     */
    record Accepted(Job.State state, List<String> prerequisites, Source source, long revision)
        implements Result {}

    /** The job was never accepted. */
    record NotFound() implements Result {}

    /** It cannot be determined at present whether the job was accepted. */
    record Uncertain(String reason) implements Result {}
  }

  private static final Result NOT_FOUND = new Result.NotFound();
  private static final Result NO_LEADER = new Result.Uncertain("no leader");
  private static final Result NOT_CERTAIN = new Result.Uncertain("not certain yet");
  private static final Result UNREADABLE = new Result.Uncertain("the stored job cannot be read");

  private final ControllerNode node;

  JobRecordReader(ControllerNode node) {
    this.node = node;
  }

  /** Reads all records in which the job can be; {@code onRead} is called exactly once. */
  void read(String id, Consumer<Result> onRead) {
    readPages(
        id,
        result -> {
          if (result instanceof Result.NotFound) {
            readOwnRecords(id, onRead);
          } else {
            onRead.accept(result);
          }
        });
  }

  /**
   * Looks the job up among the known final states and in the job pages. All callers that wait share
   * one read of the pages.
   */
  void readPages(String id, Consumer<Result> onRead) {
    Job.State finalState = knownFinalState(id);
    if (finalState != null) {
      onRead.accept(new Result.Accepted(finalState, List.of(), Source.KNOWN_FINAL_STATE, 0));
      return;
    }
    node.acceptedJobs()
        .refresh(
            refreshed -> {
              if (!refreshed) {
                onRead.accept(NO_LEADER);
                return;
              }
              IndexedJob job = node.acceptedJobs().find(id);
              onRead.accept(
                  job == null
                      ? NOT_FOUND
                      : new Result.Accepted(
                          job.state(),
                          job.prerequisites(),
                          Source.JOB_PAGE,
                          node.acceptedJobs().revision()));
            });
  }

  /** A job's final state as known without a read; null if unknown. */
  Job.State knownFinalState(String id) {
    Job.State known = node.finalStates().stateOf(id);
    return known != null ? known : node.replicaManager().replica().finalState(id);
  }

  /** Reads the records under the job's own keys: that of its acceptance, then its final state. */
  void readOwnRecords(String id, Consumer<Result> onRead) {
    node.storeClient()
        .readForUser(
            RecordKeys.UNPAGED_JOB + id,
            read -> {
              if (!read.succeeded()) {
                onRead.accept(NO_LEADER);
              } else if (read.found()) {
                onRead.accept(toAccepted(read));
              } else {
                readFinalState(id, onRead);
              }
            });
  }

  private static Result toAccepted(StoreClient.ReadResult read) {
    try {
      RecordWire.StoredJob job = RecordWire.parseJob(read.entry().value());
      return new Result.Accepted(
          job.state(), job.spec().prerequisites(), Source.OWN_RECORD, read.revision());
    } catch (MalformedMessageException e) {
      return UNREADABLE;
    }
  }

  private void readFinalState(String id, Consumer<Result> onRead) {
    node.storeClient()
        .readForUser(
            RecordKeys.FINAL_STATE + id,
            read -> {
              if (!read.succeeded()) {
                onRead.accept(NO_LEADER);
              } else if (read.found()) {
                onRead.accept(toFinalState(id, read));
              } else {
                onRead.accept(node.replicaManager().jobMayBeMissing(id) ? NOT_CERTAIN : NOT_FOUND);
              }
            });
  }

  private Result toFinalState(String id, StoreClient.ReadResult read) {
    try {
      Job.State finalState = RecordWire.parseFinalState(read.entry().value());
      node.finalStates().put(id, JobView.toStatus(finalState));
      return new Result.Accepted(finalState, List.of(), Source.FINAL_STATE, read.revision());
    } catch (MalformedMessageException e) {
      return UNREADABLE;
    }
  }
}
