package io.pineladder.store;

import io.pineladder.model.Generation;
import java.util.function.LongConsumer;

/**
 * The generation of the records in use, and the highest revision that the store is known to have
 * had in it, by which a loss of data shows: the store is strongly consistent, so no response to a
 * request that was sent after a revision was known can be below that one.
 */
final class RevisionTracker {
  private Generation generation = Generation.FIRST;
  private long highestRevision;
  private LongConsumer rollbackListener = revision -> {};

  /** Sets what is called with each revision that is below the highest known one. */
  void onRollback(LongConsumer listener) {
    rollbackListener = listener;
  }

  Generation generation() {
    return generation;
  }

  long highestRevision() {
    return highestRevision;
  }

  /** Switches to a generation; the revisions of another one are not comparable. */
  void useGeneration(Generation next) {
    if (next.base() != generation.base()) {
      highestRevision = next.recordRevision();
    }
    generation = next;
  }

  /** The store had this revision in the generation with that base. */
  void observe(long base, long revision) {
    if (base == generation.base()) {
      highestRevision = Math.max(highestRevision, revision);
    }
  }

  /** A transaction was committed, which must have raised the revision; false when it did not. */
  boolean acceptCommit(long highestRevisionWhenSent, long revision) {
    return accept(revision, revision > highestRevisionWhenSent);
  }

  private boolean accept(long revision, boolean plausible) {
    if (!plausible) {
      rollbackListener.accept(revision);
      return false;
    }
    highestRevision = Math.max(highestRevision, revision);
    return true;
  }

  /** What holds for a request that is sent now. */
  RequestContext requestContext() {
    return new RequestContext();
  }

  /** The generation and the highest revision when a request was made, to judge its response by. */
  final class RequestContext {
    private final Generation requestGeneration = generation;
    private final long highestRevisionWhenSent = highestRevision;

    /** The prefix that keys of the request's generation have in the store. */
    String keyspace() {
      return requestGeneration.prefix();
    }

    /**
     * Takes in the revision of a response; false when it is of another generation, or so low that
     * the store must have lost data.
     */
    boolean acceptRevision(long revision) {
      if (requestGeneration.base() != generation.base()) {
        return false;
      }
      return accept(revision, revision >= highestRevisionWhenSent);
    }
  }
}
