package io.pineladder.replica;

/** By which path a value comes into a replica. The names are in log lines. */
public enum RecordSource {
  /** A listing of the store by a controller that does not lead. */
  FOLLOWER_LISTING,
  /** The store's changes, as a controller that does not lead follows them. */
  CHANGES,
  /** A listing of the store at the start of a term. */
  TERM_LISTING,
  /** A single record that the leader has read. */
  LEADER_READ,
  /** A value that this controller has stored. */
  OWN_COMMIT,
  /** A snapshot of this controller's own, or an imported one. */
  SNAPSHOT,
  /** What the store still holds after a data loss. */
  SURVIVING_RECORDS
}
