package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.snapshot.ChangeRecord;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.snapshot.SnapshotManager;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of one generation as one controller has seen them stored; a new generation is written
 * from them when the store has lost data. A leader feeds its replica with what it reads and
 * commits, other controllers follow the store ({@link ReplicaFollower}). A leader's values share
 * the trees in its memory, a follower's are held as bytes. Event thread only.
 */
public final class RecordReplica {
  private static final Logger log = LoggerFactory.getLogger(RecordReplica.class);

  /** Keys of a leader's lease, of no generation or of another one. */
  private static final Pattern NOT_REPLICATED =
      Pattern.compile("(g[0-9]+|lead|generation|damaged|apart)/.*");

  /**
   * Pages that only leaders write and never remove, in the order of their keys: one that is missing
   * or older was lost.
   */
  private static final List<String> NEVER_REMOVED =
      List.of(RecordKeys.JOB_PAGES, RecordKeys.COMPLETIONS, RecordKeys.PLACEMENTS);

  private final TreeMap<String, StoredValue> records = new TreeMap<>();
  private final FinalStates finalStates = new FinalStates();
  private final AcceptedJobPages acceptedJobs = new AcceptedJobPages();
  private long base;
  private long revision;
  private Listener listener;
  private boolean recordsComplete;
  private boolean finalStatesComplete;

  /** An empty replica of the generation with this base. */
  public RecordReplica(long base) {
    this.base = base;
  }

  /** Receives each change of a replica. */
  public interface Listener {
    /**
     * A record was changed.
     *
     * @param json the new value, encoded on demand; supplies null for a removed key
     */
    void onChange(String key, long version, Supplier<byte[]> json);
  }

  /**
   * A complete replica from a snapshot and the changes after it. A change that cannot be read is
   * left out.
   */
  public static RecordReplica fromSnapshot(SnapshotManager.LoadedSnapshot loaded) {
    Snapshot snapshot = loaded.snapshot();
    RecordReplica replica = new RecordReplica(snapshot.generationBase());
    snapshot
        .records()
        .forEach(
            (key, entry) ->
                replica.records.put(key, StoredValue.ofBytes(entry.version(), entry.json())));
    replica.finalStates.putAllArchived(snapshot.finalStates());
    replica.revision = snapshot.revision();
    for (ChangeRecord change : loaded.changes()) {
      try {
        replica.put(
            change.key(),
            change.json() == null ? null : Json.parseObject(change.json()),
            change.version(),
            true);
      } catch (MalformedMessageException e) {
        log.warn("Unreadable change after a snapshot ignored: key={}", change.key());
      }
    }
    replica.recordsComplete = true;
    replica.finalStatesComplete = true;
    return replica;
  }

  /** An immutable snapshot of the present records. */
  public Snapshot snapshot(String cluster, Instant at) {
    return new Snapshot(cluster, base, revision, at, new TreeMap<>(records), finalStates.all());
  }

  /** Sets the receiver of all later changes; null for none. */
  public void setListener(Listener newListener) {
    listener = newListener;
  }

  /** The base of the generation whose records these are. */
  public long base() {
    return base;
  }

  /** The revision up to which every change that this controller saw is applied. */
  public long revision() {
    return revision;
  }

  /** Whether all records and all final states were read. */
  public boolean isComplete() {
    return recordsComplete && finalStatesComplete;
  }

  /** Whether all final states were read. */
  public boolean hasAllFinalStates() {
    return finalStatesComplete;
  }

  /** The number of records, without final states. */
  public int recordCount() {
    return records.size();
  }

  /** The number of final states. */
  public int finalStateCount() {
    return finalStates.count();
  }

  /** A job's final state; null when none is known. */
  public Job.State finalState(String jobId) {
    return finalStates.get(jobId);
  }

  /**
   * Jobs whose final state should have a key of its own in the store, in the order of the keys.
   *
   * @param after excludes this job and all before it; null for none
   * @param last excludes all jobs after it; null for none
   */
  List<String> finalStatesBetween(String after, String last) {
    return finalStates.keyedBetween(after, last);
  }

  /** All final states have been put. */
  void finalStatesLoaded() {
    finalStatesComplete = true;
  }

  /** All records have been put; every later change is put too. */
  public void recordsLoaded() {
    recordsComplete = true;
  }

  /** The records were written as another generation, whose replica this is from now on. */
  public void rebaseTo(Generation generation) {
    base = generation.base();
    revision = generation.recordRevision();
    // Revisions are not comparable between generations.
    records.replaceAll((key, value) -> value.withVersion(0));
    finalStates.archiveAll();
  }

  /** All changes up to this revision have been put. */
  void advanceTo(long newRevision) {
    revision = Math.max(revision, newRevision);
  }

  /**
   * Applies one change.
   *
   * @param value the new value; null for a removed key
   * @param version the revision of the change
   * @param asBytes whether the value is held as bytes, which saves memory unless the caller holds
   *     the tree too
   */
  public void put(String key, JsonNode value, long version, boolean asBytes) {
    revision = Math.max(revision, version);
    if (NOT_REPLICATED.matcher(key).matches()) {
      return;
    }
    if (listener != null) {
      listener.onChange(key, version, () -> value == null ? null : Json.bytes(value));
    }
    if (key.startsWith(RecordKeys.FINAL_STATE)) {
      if (value != null) {
        finalStates.putKeyed(key.substring(RecordKeys.FINAL_STATE.length()), value);
      }
    } else if (key.startsWith(RecordKeys.ARCHIVED_FINAL_STATES)) {
      if (value != null) {
        finalStates.putArchived(key, value);
      }
    } else if (value == null) {
      records.remove(key);
    } else {
      records.put(
          key,
          asBytes
              ? StoredValue.ofBytes(version, Json.bytes(value))
              : StoredValue.ofTree(version, value));
    }
  }

  /**
   * The first record under the prefix that the store has lost.
   *
   * @param listed everything that the store holds under the prefix
   * @return its key; null when none is missing or this replica cannot tell
   */
  public String firstMissingKey(String prefix, List<StoreWire.Entry> listed) {
    if (!recordsComplete || !NEVER_REMOVED.contains(prefix)) {
      return null;
    }
    Map<String, Long> listedVersions = new HashMap<>();
    listed.forEach(entry -> listedVersions.put(entry.key(), entry.revision()));
    for (Map.Entry<String, StoredValue> each : recordsWithPrefix(prefix).entrySet()) {
      if (listedVersions.getOrDefault(each.getKey(), 0L) < each.getValue().version()) {
        return each.getKey();
      }
    }
    return null;
  }

  /**
   * The first record that is never removed and that a newer replica of the same generation lacks.
   *
   * @return its key; null when none is missing, or when the generations differ
   */
  public String firstKeyMissingFrom(RecordReplica newer) {
    if (newer.base != base) {
      return null;
    }
    for (String prefix : NEVER_REMOVED) {
      for (Map.Entry<String, StoredValue> each : recordsWithPrefix(prefix).entrySet()) {
        // Right after a rebuild the versions here are 0, so that only presence is compared.
        StoredValue other = newer.records.get(each.getKey());
        if (other == null || other.version() < each.getValue().version()) {
          return each.getKey();
        }
      }
    }
    Map<String, Job.State> missing = finalStatesMissingFrom(newer);
    return missing.isEmpty() ? null : RecordKeys.FINAL_STATE + missing.keySet().iterator().next();
  }

  /** Final states that a replica of any generation lacks, by job id in order. */
  public Map<String, Job.State> finalStatesMissingFrom(RecordReplica other) {
    return finalStates.missingFrom(other.finalStates);
  }

  /**
   * Merges the records of an operator's snapshot that this replica's generation began without.
   *
   * @return the number of jobs that were restored
   */
  public int restoreFrom(RecordReplica lost) {
    int jobs = new SnapshotMerger(this).merge(lost.records);
    finalStates.putAllArchived(lost.finalStatesMissingFrom(this));
    return jobs;
  }

  /**
   * Pages that are never removed, with their versions, in the order of their keys.
   *
   * @param after the key after which they begin; null for the first
   * @param max the most that are returned
   */
  SortedMap<String, Long> neverRemovedPages(String after, int max) {
    SortedMap<String, Long> found = new TreeMap<>();
    for (String prefix : NEVER_REMOVED) {
      for (Map.Entry<String, StoredValue> each : recordsWithPrefix(prefix).entrySet()) {
        if (found.size() < max && (after == null || each.getKey().compareTo(after) > 0)) {
          found.put(each.getKey(), each.getValue().version());
        }
      }
    }
    return found;
  }

  /** The revision of a record's last change; 0 when there is none. */
  long versionOf(String key) {
    StoredValue known = records.get(key);
    return known == null ? 0 : known.version();
  }

  /** Whether there is a record with this key. */
  boolean holdsRecord(String key) {
    return records.containsKey(key);
  }

  private NavigableMap<String, StoredValue> recordsWithPrefix(String prefix) {
    return records.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
  }

  /**
   * A listing of the store as far as it can be read.
   *
   * @param entries the readable ones, repaired ones among them
   * @param damaged those that cannot be parsed
   */
  public record ListingResult(List<StoreWire.Entry> entries, List<DamagedRecord> damaged) {}

  /**
   * A stored value that cannot be parsed.
   *
   * @param repaired whether the replica had it at the same revision
   */
  public record DamagedRecord(StoreWire.Entry entry, boolean repaired) {}

  /**
   * Applies everything that the store holds under a prefix. A value that cannot be parsed is
   * replaced by this replica's of the same revision, or left out.
   */
  public ListingResult applyListing(String prefix, List<StoreWire.Entry> listed) {
    List<StoreWire.Entry> readable = new ArrayList<>(listed.size());
    List<DamagedRecord> damaged = new ArrayList<>();
    for (StoreWire.Entry entry : listed) {
      if (RecordValidator.isReadable(entry)) {
        readable.add(entry);
        continue;
      }
      StoreWire.Entry repaired = repair(entry);
      damaged.add(new DamagedRecord(entry, repaired != null));
      if (repaired != null) {
        readable.add(repaired);
      }
    }
    if (damaged.stream().allMatch(DamagedRecord::repaired)) {
      recordsWithPrefix(prefix).clear();
    }
    // Otherwise an older value of a page that cannot be parsed is better than none.
    readable.forEach(entry -> put(entry.key(), entry.value(), entry.revision(), false));
    return new ListingResult(readable, damaged);
  }

  private StoreWire.Entry repair(StoreWire.Entry damaged) {
    StoredValue known = records.get(damaged.key());
    if (known == null || known.version() != damaged.revision()) {
      return null;
    }
    try {
      StoreWire.Entry entry = new StoreWire.Entry(damaged.key(), known.parse(), damaged.revision());
      return RecordValidator.isReadable(entry) ? entry : null;
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  /**
   * Merges what the store still holds after a data loss: of each record the newer version, and all
   * final states. Values that cannot be parsed are ignored.
   */
  public void mergeSurviving(List<StoreWire.Entry> surviving) {
    for (StoreWire.Entry entry : surviving) {
      StoredValue own = records.get(entry.key());
      boolean newer = own == null || entry.revision() > own.version();
      if (newer && RecordValidator.isReadable(entry)) {
        put(entry.key(), entry.value(), entry.revision(), true);
      }
    }
  }

  /** Whether a record shows that the job was accepted and has no final state. */
  public boolean holdsJob(String jobId) {
    return records.containsKey(RecordKeys.UNPAGED_JOB + jobId)
        || acceptedJobs.contains(recordsWithPrefix(RecordKeys.JOB_PAGES), jobId);
  }

  /** All entries of a generation with these records, without a bound on the values. */
  public List<StoreWire.Entry> generationEntries() {
    return generationEntries(Integer.MAX_VALUE);
  }

  /** All entries of a generation with these records, in values of at most so many bytes. */
  public List<StoreWire.Entry> generationEntries(int maxValueBytes) {
    return GenerationEntries.of(records, finalStates.all(), maxValueBytes);
  }
}
