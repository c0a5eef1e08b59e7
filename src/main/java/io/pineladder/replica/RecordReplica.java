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
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's copy of the records of one generation, from which a new generation is written
 * after a data loss of the store. A leader updates its replica with what it reads and commits; the
 * replica of any other controller follows the store ({@link ReplicaFollower}). Values are held as
 * encoded JSON, which bounds the memory by the size of the stored records. Event thread only.
 */
public final class RecordReplica {
  private static final Logger log = LoggerFactory.getLogger(RecordReplica.class);

  /**
   * Keys that are not replicated: keys of other generations, the generation record, the leader key,
   * copies of unreadable values, and worker keep-alives.
   */
  private static final Pattern NOT_REPLICATED =
      Pattern.compile("(g[0-9]+|lead|generation|damaged|apart)/.*");

  /**
   * Prefixes of pages that only leaders write and never remove, in key order. A page that is
   * missing in the store, or has an older version, was lost.
   */
  private static final List<String> PERMANENT_PAGE_PREFIXES =
      List.of(RecordKeys.JOB_PAGES, RecordKeys.COMPLETIONS, RecordKeys.PLACEMENTS);

  private final TreeMap<String, StoredValue> records = new TreeMap<>();

  /**
   * Keys whose latest value is unreadable, with the revision of that value. The replica has an
   * earlier value, a part of it, or none.
   */
  private final Map<String, Long> unreadable = new TreeMap<>();

  private final FinalStates finalStates = new FinalStates();
  private final AcceptedJobPages acceptedJobs = new AcceptedJobPages();
  private long base;
  private long revision;
  private Listener listener;
  private boolean recordsComplete;
  private boolean finalStatesComplete;

  /** Creates an empty replica of the generation with this base. */
  public RecordReplica(long base) {
    this.base = base;
  }

  /** Receives the changes of a replica. */
  public interface Listener {
    /**
     * A record was changed.
     *
     * @param json the new value, encoded; null for a removed key
     */
    void onChange(String key, long version, byte[] json);
  }

  /**
   * Creates a complete replica from a snapshot and the changes after it. Unreadable values are left
   * out.
   */
  public static RecordReplica fromSnapshot(SnapshotManager.LoadedSnapshot loaded) {
    Snapshot snapshot = loaded.snapshot();
    RecordReplica replica = new RecordReplica(snapshot.generationBase());
    snapshot
        .records()
        .forEach(
            (key, entry) ->
                replica.put(
                    new StoreWire.Entry(key, entry.json(), entry.version()),
                    RecordSource.SNAPSHOT));
    replica.finalStates.putAllArchived(snapshot.finalStates());
    replica.revision = snapshot.revision();
    for (ChangeRecord change : loaded.changes()) {
      replica.put(
          new StoreWire.Entry(change.key(), change.json(), change.version()),
          RecordSource.SNAPSHOT);
    }
    replica.recordsComplete = true;
    replica.finalStatesComplete = true;
    return replica;
  }

  /** Takes an immutable snapshot of the current records. */
  public Snapshot snapshot(String cluster, Instant at) {
    return new Snapshot(
        cluster, base, revision, at, new TreeMap<>(records), finalStates.toSortedMap());
  }

  public void setListener(Listener newListener) {
    listener = newListener;
  }

  /** The base of the generation that this replica copies. */
  public long base() {
    return base;
  }

  /** The revision up to which all changes that this controller has seen are applied. */
  public long revision() {
    return revision;
  }

  /** Whether all records and all final states have been read. */
  public boolean isComplete() {
    return recordsComplete && finalStatesComplete;
  }

  /**
   * Whether this replica is complete and has the latest value of every record that is worth a
   * rebuild; otherwise another controller's replica may have one that this could not read.
   */
  public boolean isCompleteAndReadable() {
    return isComplete()
        && unreadable.keySet().stream()
            .noneMatch(key -> RecordKind.of(key).ifUnreadable() == RecordKind.IfUnreadable.REBUILD);
  }

  public boolean hasAllFinalStates() {
    return finalStatesComplete;
  }

  /** The number of records, not counting final states. */
  public int recordCount() {
    return records.size();
  }

  public int finalStateCount() {
    return finalStates.count();
  }

  /** A job's final state; null when none is known. */
  public Job.State finalState(String jobId) {
    return finalStates.get(jobId);
  }

  /**
   * Jobs whose final state is expected to have a key of its own in the store, in key order.
   *
   * @param after the exclusive lower bound; null for none
   * @param last the inclusive upper bound; null for none
   */
  List<String> finalStatesBetween(String after, String last) {
    return finalStates.keyedBetween(after, last);
  }

  /** Marks the final states as complete. */
  void markFinalStatesLoaded() {
    finalStatesComplete = true;
  }

  /** Marks the records as complete; every later change must be put too. */
  public void markRecordsLoaded() {
    recordsComplete = true;
  }

  /** Makes this the replica of a new generation, which was written from it. */
  public void rebaseTo(Generation generation) {
    base = generation.base();
    revision = generation.recordRevision();
    // Revisions are not comparable between generations.
    records.replaceAll((key, value) -> value.withVersion(0));
    unreadable.clear();
    finalStates.archiveAll();
  }

  /** Records that all changes up to this revision have been put. */
  void advanceTo(long newRevision) {
    revision = Math.max(revision, newRevision);
  }

  /**
   * Applies a change that this controller has stored.
   *
   * @param value the new value; null for a removed key
   * @param version the revision of the change
   */
  public void put(String key, JsonNode value, long version) {
    put(
        StoreWire.Entry.of(key, value, version),
        RecordSource.OWN_COMMIT,
        () -> RecordKind.check(key, value));
  }

  /** Throws if a value cannot be read. */
  private interface Check {
    void run() throws MalformedMessageException;
  }

  /**
   * Applies one change. A value that a new leader could not load is kept out; the value before it
   * is retained.
   */
  public void put(StoreWire.Entry change, RecordSource source) {
    put(change, source, () -> RecordKind.check(change));
  }

  private void put(StoreWire.Entry change, RecordSource source, Check check) {
    if (NOT_REPLICATED.matcher(change.key()).matches()) {
      revision = Math.max(revision, change.revision());
      return;
    }
    if (!change.isDeletion()) {
      try {
        check.run();
      } catch (MalformedMessageException e) {
        keepOut(change, source, e);
        return;
      }
    }
    apply(change);
  }

  private void keepOut(
      StoreWire.Entry change, RecordSource source, MalformedMessageException reason) {
    revision = Math.max(revision, change.revision());
    if (!hasLatest(change.key(), change.revision())) {
      retainReadablePart(change);
    }
    StoredValue retained = records.get(change.key());
    log.warn(
        "Unreadable value kept out of the replica: key={} revision={} generation={} bytes={}"
            + " source={} retainedBytes={} reason=\"{}\"",
        change.key(),
        change.revision(),
        base,
        change.json().length,
        source,
        retained == null ? 0 : retained.json().length,
        reason.getMessage());
  }

  /** Whether the record is the readable value of this revision, and not only a part of it. */
  private boolean hasLatest(String key, long valueRevision) {
    StoredValue known = records.get(key);
    return known != null && known.version() == valueRevision && !unreadable.containsKey(key);
  }

  /** Adds the readable entries of an unreadable page to the earlier value, which stays. */
  private void retainReadablePart(StoreWire.Entry damaged) {
    unreadable.put(damaged.key(), damaged.revision());
    StoredValue earlier = records.get(damaged.key());
    JsonNode part = PageSalvage.readablePart(damaged, earlier == null ? null : earlier.json());
    if (part != null) {
      records.put(damaged.key(), new StoredValue(damaged.revision(), Json.bytes(part)));
    }
  }

  /** Applies a change whose value is readable. */
  private void apply(StoreWire.Entry change) {
    String key = change.key();
    revision = Math.max(revision, change.revision());
    unreadable.remove(key);
    if (listener != null) {
      listener.onChange(key, change.revision(), change.json());
    }
    if (key.startsWith(RecordKeys.FINAL_STATE)) {
      if (!change.isDeletion()) {
        finalStates.putKeyed(key.substring(RecordKeys.FINAL_STATE.length()), change);
      }
    } else if (key.startsWith(RecordKeys.ARCHIVED_FINAL_STATES)) {
      if (!change.isDeletion()) {
        finalStates.putArchived(change);
      }
    } else if (change.isDeletion()) {
      records.remove(key);
    } else {
      records.put(key, new StoredValue(change.revision(), change.json()));
    }
  }

  /**
   * Finds the first record under the prefix that the store has lost.
   *
   * @param listed all entries of the store under the prefix
   * @return its key; null when none is missing, when this replica is incomplete, or when records
   *     under the prefix may be removed
   */
  public String firstMissingKey(String prefix, List<StoreWire.Entry> listed) {
    if (!recordsComplete || !PERMANENT_PAGE_PREFIXES.contains(prefix)) {
      return null;
    }
    Map<String, Long> listedVersions = new HashMap<>();
    listed.forEach(entry -> listedVersions.put(entry.key(), entry.revision()));
    for (Map.Entry<String, StoredValue> replicated : recordsWithPrefix(prefix).entrySet()) {
      if (listedVersions.getOrDefault(replicated.getKey(), 0L) < replicated.getValue().version()) {
        return replicated.getKey();
      }
    }
    return null;
  }

  /**
   * Finds the first page or final state that a newer replica of the same generation lacks.
   *
   * @return its key; null when none is missing, or when the generations differ
   */
  public String firstKeyMissingFrom(RecordReplica newer) {
    if (newer.base != base) {
      return null;
    }
    for (String prefix : PERMANENT_PAGE_PREFIXES) {
      for (Map.Entry<String, StoredValue> page : recordsWithPrefix(prefix).entrySet()) {
        // Right after a rebuild the versions in this replica are 0, so only presence is compared.
        StoredValue newerPage = newer.records.get(page.getKey());
        if (newerPage == null || newerPage.version() < page.getValue().version()) {
          return page.getKey();
        }
      }
    }
    Map<String, Job.State> missing = finalStatesMissingFrom(newer);
    return missing.isEmpty() ? null : RecordKeys.FINAL_STATE + missing.keySet().iterator().next();
  }

  /** The final states that a replica of any generation lacks, ordered by job id. */
  public Map<String, Job.State> finalStatesMissingFrom(RecordReplica other) {
    return finalStates.missingFrom(other.finalStates);
  }

  /**
   * Merges the records of an imported snapshot that this replica lacks.
   *
   * @return the number of restored jobs
   */
  public int mergeSnapshot(RecordReplica imported) {
    int jobs = new SnapshotMerger(this).merge(imported.records);
    finalStates.putAllArchived(imported.finalStatesMissingFrom(this));
    return jobs;
  }

  /**
   * Pages that are never removed, with their versions, in key order.
   *
   * @param after the exclusive lower bound of the keys; null for none
   * @param max the maximum number of pages
   */
  SortedMap<String, Long> permanentPages(String after, int max) {
    SortedMap<String, Long> found = new TreeMap<>();
    for (String prefix : PERMANENT_PAGE_PREFIXES) {
      for (Map.Entry<String, StoredValue> page : recordsWithPrefix(prefix).entrySet()) {
        if (found.size() < max && (after == null || page.getKey().compareTo(after) > 0)) {
          found.put(page.getKey(), page.getValue().version());
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

  boolean containsRecord(String key) {
    return records.containsKey(key);
  }

  private NavigableMap<String, StoredValue> recordsWithPrefix(String prefix) {
    return records.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
  }

  /**
   * A listing of the store, with its damaged records.
   *
   * @param entries the readable entries, including repaired ones
   * @param damaged the stored entries that cannot be parsed
   */
  public record ListingResult(List<StoreWire.Entry> entries, List<DamagedRecord> damaged) {}

  /**
   * A stored value that cannot be parsed.
   *
   * @param repaired whether the replica had a readable value of the same revision
   * @param reason what a new leader cannot read
   */
  public record DamagedRecord(StoreWire.Entry entry, boolean repaired, String reason) {}

  /**
   * Applies all entries of the store under a prefix. A value that cannot be parsed is replaced by
   * the replica's value of the same revision, or left out if there is none.
   */
  public ListingResult applyListing(String prefix, List<StoreWire.Entry> listed) {
    List<StoreWire.Entry> readable = new ArrayList<>(listed.size());
    List<DamagedRecord> damaged = new ArrayList<>();
    for (StoreWire.Entry entry : listed) {
      try {
        RecordKind.check(entry);
        readable.add(entry);
      } catch (MalformedMessageException e) {
        StoreWire.Entry repaired = repair(entry);
        damaged.add(new DamagedRecord(entry, repaired != null, e.getMessage()));
        if (repaired != null) {
          readable.add(repaired);
        } else {
          retainReadablePart(entry);
        }
      }
    }
    if (damaged.stream().allMatch(DamagedRecord::repaired)) {
      recordsWithPrefix(prefix).clear();
    }
    // If a damaged record was not repaired, the replica's older values are retained.
    readable.forEach(this::apply);
    return new ListingResult(readable, damaged);
  }

  private StoreWire.Entry repair(StoreWire.Entry damaged) {
    if (!hasLatest(damaged.key(), damaged.revision())) {
      return null;
    }
    StoredValue known = records.get(damaged.key());
    return new StoreWire.Entry(damaged.key(), known.json(), damaged.revision());
  }

  /**
   * Replaces an unreadable value by what is known of it, or by an empty page.
   *
   * @return the replacement under the revision of the unreadable value; null if there is none,
   *     which is only possible for records that are not pages
   */
  public StoreWire.Entry replaceUnreadable(StoreWire.Entry damaged) {
    StoredValue known = records.get(damaged.key());
    if (known == null && !RecordKind.of(damaged.key()).isPaged()) {
      return null;
    }
    byte[] json = known == null ? Json.bytes(RecordWire.page(Stream.empty())) : known.json();
    StoreWire.Entry replacement = new StoreWire.Entry(damaged.key(), json, damaged.revision());
    apply(replacement);
    return replacement;
  }

  /**
   * Takes over the earlier replica's values of records whose latest value was unreadable when this
   * one was read.
   */
  public void retainReadableOf(RecordReplica earlier) {
    if (earlier.base != base) {
      return;
    }
    for (Map.Entry<String, Long> missing : Map.copyOf(unreadable).entrySet()) {
      String key = missing.getKey();
      StoredValue retained = earlier.records.get(key);
      if (earlier.hasLatest(key, missing.getValue())) {
        records.put(key, retained);
        unreadable.remove(key);
      } else if (retained != null) {
        records.putIfAbsent(key, retained);
      }
    }
  }

  /**
   * Merges the records that survived a data loss in the store: the newer version of each record,
   * and all final states. Values that cannot be parsed are ignored.
   */
  public void mergeSurviving(List<StoreWire.Entry> surviving) {
    for (StoreWire.Entry entry : surviving) {
      StoredValue own = records.get(entry.key());
      if (own == null || entry.revision() > own.version()) {
        put(entry, RecordSource.SURVIVING_RECORDS);
      }
    }
  }

  /** Whether there is a record of the job's acceptance, which is removed after the job ends. */
  public boolean containsJob(String jobId) {
    return records.containsKey(RecordKeys.UNPAGED_JOB + jobId)
        || acceptedJobs.contains(recordsWithPrefix(RecordKeys.JOB_PAGES), jobId);
  }

  /** All entries of a generation with these records, without a limit on the size of values. */
  public List<StoreWire.Entry> generationEntries() {
    return generationEntries(Integer.MAX_VALUE);
  }

  /** All entries of a generation with these records, in values of at most this size. */
  public List<StoreWire.Entry> generationEntries(int maxValueBytes) {
    return GenerationEntries.of(records, finalStates.toSortedMap(), maxValueBytes);
  }
}
