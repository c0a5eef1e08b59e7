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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of one generation as one controller has seen them stored, from which they are written
 * anew when the state service has lost them. A leader feeds it with what it reads and commits;
 * others follow the store. Values stand as they are in the store: a leader's share what its memory
 * holds anyway, a follower's are kept as bytes.
 */
public final class RecordReplica {
  private static final Logger log = LoggerFactory.getLogger(RecordReplica.class);

  /** Final states that are copied, for the memory of the smallest node; some 100 bytes each. */
  static final int MAX_FINAL_STATES = 100_000;

  /** Bytes of final states in one value when a generation is written. */
  private static final int MAX_FINAL_STATE_PAGE_BYTES = 6 * 1024;

  /** What such a value takes beside the ids. */
  private static final int FINAL_STATE_PAGE_OVERHEAD_BYTES = 64;

  /** An id in JSON with its comma at the most. */
  private static final int MAX_ID_BYTES = 128;

  /** What belongs to a leader's lease, to no generation or to another one is not copied. */
  private static final Pattern NOT_REPLICATED =
      Pattern.compile("(g[0-9]+|lead|generation|damaged|apart)/.*");

  /** A value with the revision of its last change. */
  private record Value(long version, JsonNode value, byte[] bytes) implements Snapshot.Entry {
    @Override
    public byte[] json() {
      return bytes != null ? bytes : Json.bytes(value);
    }

    JsonNode parse() throws MalformedMessageException {
      return value != null ? value : Json.parseObject(bytes);
    }
  }

  /** The jobs in a page, as of a revision. */
  private record AcceptedPage(long version, Set<String> ids) {}

  private final TreeMap<String, Value> records = new TreeMap<>();

  /**
   * Final states that have a key of their own, and those of earlier generations that share values.
   */
  private final TreeMap<String, Job.State> finalStates = new TreeMap<>();

  private final Map<String, Job.State> inheritedFinalStates = new HashMap<>();
  private final Map<String, AcceptedPage> acceptedPages = new HashMap<>();
  private long base;
  private long revision;
  private Listener listener;
  private boolean recordsComplete;
  private boolean finalStatesComplete;

  /** An empty copy of a generation's records. */
  public RecordReplica(long base) {
    this.base = base;
  }

  /** What is told of each change; the value as JSON, or null for a key that is gone. */
  public interface Listener {
    void onChange(String key, long version, Supplier<byte[]> json);
  }

  /** A copy as it was kept in a snapshot with the changes since: whole as of its revision. */
  public static RecordReplica fromSnapshot(SnapshotManager.LoadedSnapshot found) {
    Snapshot snapshot = found.snapshot();
    RecordReplica replica = new RecordReplica(snapshot.generationBase());
    snapshot
        .records()
        .forEach(
            (key, entry) ->
                replica.records.put(key, new Value(entry.revision(), null, entry.json())));
    replica.inheritedFinalStates.putAll(snapshot.finalStates());
    replica.revision = snapshot.revision();
    for (ChangeRecord change : found.changes()) {
      try {
        replica.put(
            change.key(),
            change.json() == null ? null : Json.parseObject(change.json()),
            change.version(),
            true);
      } catch (MalformedMessageException e) {
        log.warn("a change of {} cannot be read", change.key());
      }
    }
    replica.recordsComplete = true;
    replica.finalStatesComplete = true;
    return replica;
  }

  /** The copy as it is now; later changes do not show in it. */
  public Snapshot snapshot(String cluster, Instant at) {
    Map<String, Job.State> all = allFinalStates();
    return new Snapshot(cluster, base, revision, at, new TreeMap<>(records), all);
  }

  /** Has somebody told of each change from now on; null for nobody. */
  public void setListener(Listener to) {
    listener = to;
  }

  /** The generation whose records these are. */
  public long base() {
    return base;
  }

  /** Up to which revision it holds everything that this controller saw. */
  public long revision() {
    return revision;
  }

  /** Whether nothing was left out when it was made. */
  public boolean isComplete() {
    return recordsComplete && finalStatesComplete;
  }

  /** Whether all final states are known. */
  public boolean hasAllFinalStates() {
    return finalStatesComplete;
  }

  /** How many records there are, final states apart. */
  public int recordCount() {
    return records.size();
  }

  public int finalStateCount() {
    return finalStates.size() + inheritedFinalStates.size();
  }

  /**
   * Final states that should stand in the store, by their keys' order.
   *
   * @param after the job after which they begin, or null
   * @param to the last job, or null
   */
  List<String> finalStatesBetween(String after, String to) {
    var rest = after == null ? finalStates : finalStates.tailMap(after, false);
    return new ArrayList<>((to == null ? rest : rest.headMap(to, true)).keySet());
  }

  /** All final states have been told. */
  void finalStatesLoaded() {
    finalStatesComplete = true;
  }

  /** A leader has read the records of its generation, and feeds this copy from now on. */
  public void recordsLoaded() {
    recordsComplete = true;
  }

  /** All records have been told. */
  void recordsRead() {
    recordsComplete = true;
  }

  /** The same records count in another generation from here on, which was written from them. */
  public void rebaseTo(Generation to) {
    base = to.base();
    revision = to.recordRevision();
    // Revisions of the generation before say nothing in this one.
    records.replaceAll((key, value) -> new Value(0, value.value, value.bytes));
    inheritedFinalStates.putAll(finalStates);
    finalStates.clear();
  }

  /** Everything up to this revision is in it. */
  void advanceTo(long upTo) {
    revision = Math.max(revision, upTo);
  }

  /** A value as the store holds it at this revision; null for a key that is gone. */
  public void put(String key, JsonNode value, long version, boolean asBytes) {
    revision = Math.max(revision, version);
    if (listener != null && !NOT_REPLICATED.matcher(key).matches()) {
      listener.onChange(key, version, () -> value == null ? null : Json.bytes(value));
    }
    if (NOT_REPLICATED.matcher(key).matches()) {
      return;
    }
    if (key.startsWith(RecordKeys.FINAL_STATE)) {
      putFinalState(key.substring(RecordKeys.FINAL_STATE.length()), value);
    } else if (key.startsWith(RecordKeys.ARCHIVED_FINAL_STATES)) {
      putInheritedFinalStates(key, value);
    } else if (value == null) {
      records.remove(key);
    } else {
      records.put(
          key, new Value(version, asBytes ? null : value, asBytes ? Json.bytes(value) : null));
    }
  }

  private void putFinalState(String id, JsonNode value) {
    // Final states do not change, and what is gone from the store is kept here.
    if (value == null || finalState(id) != null || finalStateCount() >= MAX_FINAL_STATES) {
      return;
    }
    try {
      finalStates.put(id, RecordWire.parseFinalState(value));
    } catch (MalformedMessageException e) {
      log.warn("the final state of {} cannot be read", id);
    }
  }

  private void putInheritedFinalStates(String key, JsonNode value) {
    if (value == null) {
      return;
    }
    try {
      Job.State state = RecordWire.parseFinalState(value);
      RecordWire.parseFinalStates(value).forEach(id -> inheritedFinalStates.putIfAbsent(id, state));
    } catch (MalformedMessageException e) {
      log.warn("{} cannot be read: {}", key, e.getMessage());
    }
  }

  /**
   * Pages that only leaders write and never remove, in the order of their keys: one that is missing
   * or older was lost.
   */
  private static final List<String> NEVER_REMOVED =
      List.of(RecordKeys.JOB_PAGES, RecordKeys.COMPLETIONS, RecordKeys.PLACEMENTS);

  /** A record under the prefix that the store has lost, going by what this copy saw; or null. */
  public String firstMissingKey(String prefix, List<StoreWire.Entry> listed) {
    if (!recordsComplete || !NEVER_REMOVED.contains(prefix)) {
      return null;
    }
    Map<String, Long> there = new HashMap<>();
    listed.forEach(entry -> there.put(entry.key(), entry.revision()));
    for (Map.Entry<String, Value> each : recordsWithPrefix(prefix).entrySet()) {
      if (there.getOrDefault(each.getKey(), 0L) < each.getValue().version) {
        return each.getKey();
      }
    }
    return null;
  }

  /**
   * What a newer copy of the same generation lacks of what this one saw stored and nobody removes;
   * null when it lacks nothing.
   */
  public String firstKeyMissingFrom(RecordReplica newer) {
    if (newer.base != base) {
      return null;
    }
    for (String prefix : NEVER_REMOVED) {
      for (Map.Entry<String, Value> each : recordsWithPrefix(prefix).entrySet()) {
        // Revisions are 0 in a copy that was just written anew: that it is there counts then.
        Value there = newer.records.get(each.getKey());
        if (there == null || there.version < each.getValue().version) {
          return each.getKey();
        }
      }
    }
    Map<String, Job.State> missing = finalStatesMissingFrom(newer);
    return missing.isEmpty() ? null : RecordKeys.FINAL_STATE + missing.keySet().iterator().next();
  }

  /**
   * Takes in records of before that this copy's generation began without: jobs that it does not
   * know, with their completions and placements, and final states. Pages of both have the same
   * names, so those of before get numbers far above.
   *
   * @return how many jobs have come back
   */
  public int restoreFrom(RecordReplica before) {
    int jobs = 0;
    for (Map.Entry<String, Value> each : before.records.entrySet()) {
      String key = each.getKey();
      try {
        JsonNode value = each.getValue().parse();
        if (key.startsWith(RecordKeys.JOB_PAGES)) {
          List<JsonNode> kept = new ArrayList<>();
          for (JsonNode record : RecordWire.entries(value)) {
            if (isUnknownJob(RecordWire.parseJob(record).spec().id())) {
              kept.add(record);
            }
          }
          jobs += kept.size();
          put(restoredPageKey(key, RecordKeys.JOB_PAGES), RecordWire.page(kept.stream()), 0, true);
        } else if (key.startsWith(RecordKeys.UNPAGED_JOB)) {
          if (isUnknownJob(key.substring(RecordKeys.UNPAGED_JOB.length()))) {
            jobs++;
            put(key, value, 0, true);
          }
        } else if (key.startsWith(RecordKeys.COMPLETIONS)) {
          put(restoredPageKey(key, RecordKeys.COMPLETIONS), value, 0, true);
        } else if (key.startsWith(RecordKeys.PLACEMENTS)) {
          put(restoredPageKey(key, RecordKeys.PLACEMENTS), value, 0, true);
        } else if (key.startsWith(RecordKeys.CONFIGURATION) && !records.containsKey(key)) {
          put(key, value, 0, true);
        }
      } catch (MalformedMessageException e) {
        log.warn("{} of the snapshot cannot be read and is left out", key);
      }
    }
    before.finalStatesMissingFrom(this).forEach(inheritedFinalStates::put);
    return jobs;
  }

  private boolean isUnknownJob(String job) {
    return finalState(job) == null && !holdsJob(job);
  }

  /** Numbers of pages that no leader comes to by counting. */
  private static final long RESTORED_PAGE_OFFSET = 1_000_000_000L;

  private static String restoredPageKey(String key, String prefix) {
    return prefix + (Long.parseLong(key.substring(prefix.length())) + RESTORED_PAGE_OFFSET);
  }

  private Map<String, Job.State> allFinalStates() {
    Map<String, Job.State> all = new TreeMap<>(inheritedFinalStates);
    all.putAll(finalStates);
    return all;
  }

  /** Final states that a copy of another generation lacks; they hold in every generation. */
  public Map<String, Job.State> finalStatesMissingFrom(RecordReplica other) {
    Map<String, Job.State> missing = allFinalStates();
    missing.keySet().removeIf(job -> other.finalState(job) != null);
    return missing;
  }

  /**
   * Some of the pages that nobody removes, with their revisions, in the order of their keys.
   *
   * @param after the last key of those before, or null
   */
  SortedMap<String, Long> neverRemovedPages(String after, int most) {
    SortedMap<String, Long> found = new TreeMap<>();
    for (String prefix : NEVER_REMOVED) {
      for (Map.Entry<String, Value> each : recordsWithPrefix(prefix).entrySet()) {
        if (found.size() < most && (after == null || each.getKey().compareTo(after) > 0)) {
          found.put(each.getKey(), each.getValue().version);
        }
      }
    }
    return found;
  }

  /** The revision of a record, or 0. */
  long revisionOf(String key) {
    Value known = records.get(key);
    return known == null ? 0 : known.version;
  }

  private NavigableMap<String, Value> recordsWithPrefix(String prefix) {
    return records.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
  }

  /** What was read of the store, as far as it can be read, and what could not be. */
  public record ListingResult(List<StoreWire.Entry> entries, List<DamagedRecord> damaged) {}

  /**
   * A value that cannot be read.
   *
   * @param mended whether this copy had it of the same revision, so that it is among the good ones
   */
  public record DamagedRecord(StoreWire.Entry entry, boolean repaired) {}

  /**
   * Takes in what was read under a prefix. A value that cannot be read is replaced by the one that
   * this copy has of the same revision, or left out.
   */
  public ListingResult applyListing(String prefix, List<StoreWire.Entry> listed) {
    List<StoreWire.Entry> good = new ArrayList<>(listed.size());
    List<DamagedRecord> damaged = new ArrayList<>();
    for (StoreWire.Entry entry : listed) {
      if (isReadable(entry)) {
        good.add(entry);
        continue;
      }
      StoreWire.Entry mended = repair(entry);
      damaged.add(new DamagedRecord(entry, mended != null));
      if (mended != null) {
        good.add(mended);
      }
    }
    if (damaged.stream().allMatch(DamagedRecord::repaired)) {
      recordsWithPrefix(prefix).clear();
    }
    // Else an older value of a page that cannot be read is better than none.
    good.forEach(entry -> put(entry.key(), entry.value(), entry.revision(), false));
    return new ListingResult(good, damaged);
  }

  private StoreWire.Entry repair(StoreWire.Entry damaged) {
    Value known = records.get(damaged.key());
    if (known == null || known.version != damaged.revision()) {
      return null;
    }
    try {
      StoreWire.Entry entry = new StoreWire.Entry(damaged.key(), known.parse(), damaged.revision());
      return isReadable(entry) ? entry : null;
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  /**
   * Takes in what is left in the store when records are to be rebuilt: of each record the newer one
   * counts, of a record that only one has that one, of final states all.
   */
  public void mergeSurviving(List<StoreWire.Entry> left) {
    for (StoreWire.Entry entry : left) {
      Value mine = records.get(entry.key());
      boolean newer = mine == null || entry.revision() > mine.version;
      if (newer && isReadable(entry)) {
        put(entry.key(), entry.value(), entry.revision(), true);
      }
    }
  }

  /** Whether a record can be read as what its key says it is. */
  static boolean isReadable(StoreWire.Entry entry) {
    try {
      String key = entry.key();
      JsonNode value = entry.value();
      if (key.startsWith(RecordKeys.UNPAGED_JOB)) {
        RecordWire.parseJob(value);
      } else if (key.startsWith(RecordKeys.JOB_PAGES)) {
        RecordWire.parseNotifications(value);
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parseJob(each);
        }
      } else if (key.startsWith(RecordKeys.COMPLETIONS)) {
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parseCompletions(each);
        }
      } else if (key.startsWith(RecordKeys.PLACEMENTS)) {
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parsePlacement(each);
        }
      } else if (key.startsWith(RecordKeys.CACHED_IMAGES)) {
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parseImages(each);
        }
      }
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  /** A job's final state, or null when none is known. */
  public Job.State finalState(String id) {
    Job.State own = finalStates.get(id);
    return own != null ? own : inheritedFinalStates.get(id);
  }

  /** Whether a record says that the job was accepted and is not over. */
  public boolean holdsJob(String id) {
    if (records.containsKey(RecordKeys.UNPAGED_JOB + id)) {
      return true;
    }
    for (Map.Entry<String, Value> page : recordsWithPrefix(RecordKeys.JOB_PAGES).entrySet()) {
      AcceptedPage known = acceptedPages.get(page.getKey());
      if (known == null || known.version != page.getValue().version) {
        known = new AcceptedPage(page.getValue().version, jobIds(page.getValue()));
        acceptedPages.put(page.getKey(), known);
      }
      if (known.ids.contains(id)) {
        return true;
      }
    }
    return false;
  }

  private static Set<String> jobIds(Value page) {
    Set<String> ids = new HashSet<>();
    try {
      for (JsonNode each : RecordWire.entries(page.parse())) {
        ids.add(RecordWire.parseJob(each).spec().id());
      }
    } catch (MalformedMessageException e) {
      log.warn("a page of accepted jobs cannot be read: {}", e.getMessage());
    }
    return ids;
  }

  /** Everything that is to be written when these records are to count in another generation. */
  public List<StoreWire.Entry> generationEntries() {
    return generationEntries(Integer.MAX_VALUE);
  }

  /** The same, in values of at most so many bytes. */
  public List<StoreWire.Entry> generationEntries(int valueBytes) {
    List<StoreWire.Entry> image = ReplicaPageSplitter.split(recordEntries(), valueBytes);
    addFinalStateEntries(
        image, Math.min(MAX_FINAL_STATE_PAGE_BYTES, valueBytes - FINAL_STATE_PAGE_OVERHEAD_BYTES));
    return image;
  }

  private List<StoreWire.Entry> recordEntries() {
    List<StoreWire.Entry> image = new ArrayList<>();
    records.forEach(
        (key, value) -> {
          try {
            image.add(new StoreWire.Entry(key, value.parse(), value.version));
          } catch (MalformedMessageException e) {
            log.error("the copy of {} cannot be read and is left out", key);
          }
        });
    return image;
  }

  private void addFinalStateEntries(List<StoreWire.Entry> image, int mostBytes) {
    Map<String, Job.State> all = allFinalStates();
    int pages = 0;
    for (Job.State state : List.of(Job.State.DONE, Job.State.CANCELLED)) {
      List<String> ids = new ArrayList<>();
      int bytes = 0;
      for (Map.Entry<String, Job.State> end : all.entrySet()) {
        if (end.getValue() != state) {
          continue;
        }
        ids.add(end.getKey());
        bytes += end.getKey().length() + 3;
        if (bytes + MAX_ID_BYTES >= mostBytes) {
          image.add(
              new StoreWire.Entry(
                  RecordKeys.ARCHIVED_FINAL_STATES + pages++,
                  RecordWire.finalStates(state, ids),
                  0));
          ids = new ArrayList<>();
          bytes = 0;
        }
      }
      if (!ids.isEmpty()) {
        image.add(
            new StoreWire.Entry(
                RecordKeys.ARCHIVED_FINAL_STATES + pages++, RecordWire.finalStates(state, ids), 0));
      }
    }
  }
}
