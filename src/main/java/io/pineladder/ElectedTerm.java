package io.pineladder;

/**
 * An election that this controller has won.
 *
 * @param term the number of the term, which is the fencing token toward workers
 * @param leaderKeyRevision the revision of the leader's key, the condition of every transaction
 */
record ElectedTerm(long term, long leaderKeyRevision) {}
