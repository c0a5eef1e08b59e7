package io.pineladder.snapshot;

import io.pineladder.model.Job;
import io.pineladder.wire.MalformedMessageException;
import java.time.Instant;
import java.util.Map;

/**
 * All records as of one revision. Immutable, so that it can be encoded in the background.
 *
 * @param cluster whose records these are
 * @param generationBase the generation, as its base
 * @param revision up to which everything is in it
 * @param createdAt when it was made, by the wall clock
 * @param records the records by key
 * @param finalStates final states by job
 */
public record Snapshot(
    String cluster,
    long generationBase,
    long revision,
    Instant createdAt,
    Map<String, Entry> records,
    Map<String, Job.State> finalStates) {

  /** A value, as JSON, with the revision of its last change. */
  public interface Entry {
    /** The revision of the last change. */
    long version();

    /** The value as UTF-8 JSON; the array is not to be changed. */
    byte[] json();
  }

  /**
   * Requires that it is a snapshot of this cluster.
   *
   * @throws MalformedMessageException when it is of another
   */
  public void requireCluster(String expected) throws MalformedMessageException {
    if (!cluster.equals(expected)) {
      throw new MalformedMessageException("a snapshot of the cluster " + cluster);
    }
  }

  /** Encodes the whole snapshot; may be called on any thread. */
  public byte[] encode() {
    return SnapshotCodec.encode(this);
  }

  /**
   * Decodes a snapshot.
   *
   * @throws MalformedMessageException when it is none, is damaged or cut short, or is of another
   *     format version; the message says which
   */
  public static Snapshot decode(byte[] bytes) throws MalformedMessageException {
    return SnapshotCodec.decode(bytes);
  }
}
