package io.pineladder.snapshot;

import io.pineladder.model.Job;
import io.pineladder.wire.MalformedMessageException;
import java.time.Instant;
import java.util.Map;

/**
 * All records of a cluster at one revision. Immutable, so that it can be encoded in the background.
 *
 * @param cluster the identity of the cluster
 * @param generationBase the base of the generation of the records
 * @param revision the revision up to which all changes are included
 * @param createdAt the time of its creation, by the wall clock
 * @param records the records by key
 * @param finalStates the final states of ended jobs, by job id
 */
public record Snapshot(
    String cluster,
    long generationBase,
    long revision,
    Instant createdAt,
    Map<String, Entry> records,
    Map<String, Job.State> finalStates) {

  /** The value of a record with the revision of its last change. */
  public interface Entry {
    /** The revision of the last change. */
    long version();

    /** The value as UTF-8 JSON; callers must not modify the array. */
    byte[] json();
  }

  /**
   * Requires that this is a snapshot of the given cluster.
   *
   * @throws MalformedMessageException when it is a snapshot of another cluster
   */
  public void requireCluster(String expected) throws MalformedMessageException {
    if (!cluster.equals(expected)) {
      throw new MalformedMessageException("a snapshot of the cluster " + cluster);
    }
  }

  /** Encodes the snapshot; may be called on any thread. */
  public byte[] encode() {
    return SnapshotCodec.encode(this);
  }

  /**
   * Decodes a snapshot.
   *
   * @throws MalformedMessageException when the bytes are not a snapshot, are damaged or truncated,
   *     or have another format version; the message states which
   */
  public static Snapshot decode(byte[] bytes) throws MalformedMessageException {
    return SnapshotCodec.decode(bytes);
  }
}
