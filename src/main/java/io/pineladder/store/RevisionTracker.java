package io.pineladder.store;

import io.pineladder.model.Generation;
import java.util.function.LongConsumer;

/**
 * Tracks the generation in use and the highest known revision of the store in it, to detect data
 * loss. The store is linearizable: a response with a revision below one that was known when the
 * request was sent means that the store was rolled back.
 */
final class RevisionTracker {
  private Generation generation = Generation.FIRST;
  private long highestRevision;
  private LongConsumer rollbackListener = revision -> {};

  /** Sets the listener that is called with each revision that shows a rollback. */
  void setRollbackListener(LongConsumer listener) {
    rollbackListener = listener;
  }

  Generation generation() {
    return generation;
  }

  long highestRevision() {
    return highestRevision;
  }

  /** Switches to a generation; revisions of different generations are not comparable. */
  void useGeneration(Generation next) {
    if (next.base() != generation.base()) {
      highestRevision = next.recordRevision();
    }
    generation = next;
  }

  /** Takes into account that the store had this revision in the generation with this base. */
  void observeRevision(long base, long revision) {
    if (base == generation.base()) {
      highestRevision = Math.max(highestRevision, revision);
    }
  }

  /** Checks the revision of a committed transaction; false if it was not raised. */
  boolean acceptCommitRevision(long highestRevisionWhenSent, long revision) {
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

  RequestContext requestContext() {
    return new RequestContext();
  }

  /** The generation and highest known revision when a request was sent, to check its response. */
  final class RequestContext {
    private final Generation requestGeneration = generation;
    private final long highestRevisionWhenSent = highestRevision;

    /** The key prefix of the request's generation. */
    String keyspace() {
      return requestGeneration.prefix();
    }

    /**
     * Checks the revision of a response; false if another generation is in use by now or the
     * revision shows a rollback.
     */
    boolean acceptRevision(long revision) {
      if (requestGeneration.base() != generation.base()) {
        return false;
      }
      return accept(revision, revision >= highestRevisionWhenSent);
    }
  }
}
