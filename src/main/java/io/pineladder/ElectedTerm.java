package io.pineladder;

/**
 * The result of an election that this controller has won.
 *
 * @param term the term number, which is also the first fencing token for workers
 * @param leaderKeyRevision the revision of the leader key, on which all transactions of the term
 *     are conditional
 */
record ElectedTerm(long term, long leaderKeyRevision) {
  /** The fencing token of a revision in the generation of this term. */
  long token(long revision) {
    return term + (revision - leaderKeyRevision);
  }
}
