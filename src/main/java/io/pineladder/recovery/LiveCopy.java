package io.pineladder.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.store.Keys;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of one generation as one controller has seen them stored, from which they are written
 * anew when the state service has lost them. A leader feeds it with what it reads and commits; others
 * follow the store. Values stand as they are in the store: a leader's share what its memory holds
 * anyway, a follower's are kept as bytes.
 */
public final class LiveCopy {
  private static final Logger log = LoggerFactory.getLogger(LiveCopy.class);

  /** Final states that are copied, for the memory of the smallest node; some 100 bytes each. */
  static final int MOST_ENDS = 100_000;

  /** Bytes of final states in one value when a generation is written. */
  private static final int ENDS_BYTES = 6 * 1024;

  /** What belongs to a leader's lease, to no generation or to another one is not copied. */
  private static final Pattern LEFT_OUT =
      Pattern.compile("(g[0-9]+|lead|generation|damaged)/.*");

  /** A value with the revision of its last change. */
  private record Value(long version, JsonNode json, byte[] bytes) {
    JsonNode read() throws MalformedException {
      return json != null ? json : Json.parseObject(bytes);
    }
  }

  /** The jobs in a page, as of a revision. */
  private record Jobs(long version, Set<String> ids) {}

  private final TreeMap<String, Value> records = new TreeMap<>();

  /** Final states that have a key of their own, and those of earlier generations that share values. */
  private final TreeMap<String, Job.State> ends = new TreeMap<>();

  private final Map<String, Job.State> packed = new HashMap<>();
  private final Map<String, Jobs> accepted = new HashMap<>();
  private long base;
  private long revision;
  private boolean recordsKnown;
  private boolean endsKnown;

  /** An empty copy of a generation's records. */
  public LiveCopy(long base) {
    this.base = base;
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
    return recordsKnown && endsKnown;
  }

  /** Whether all final states are known. */
  public boolean knowsEnds() {
    return endsKnown;
  }

  /** How many records there are, final states apart. */
  public int size() {
    return records.size();
  }

  public int ends() {
    return ends.size() + packed.size();
  }

  /**
   * Final states that should stand in the store, by their keys' order.
   *
   * @param after the job after which they begin, or null
   * @param to the last job, or null
   */
  List<String> endsBetween(String after, String to) {
    var rest = after == null ? ends : ends.tailMap(after, false);
    return new ArrayList<>((to == null ? rest : rest.headMap(to, true)).keySet());
  }

  /** All final states have been told. */
  void endsRead() {
    endsKnown = true;
  }

  /** A leader has read the records of its generation, and feeds this copy from now on. */
  public void begun() {
    recordsKnown = true;
  }

  /** All records have been told. */
  void recordsRead() {
    recordsKnown = true;
  }

  /** The same records count in another generation from here on, which was written from them. */
  public void moved(Generation to) {
    base = to.base();
    revision = to.version();
    packed.putAll(ends);
    ends.clear();
  }

  /** Everything up to this revision is in it. */
  void reached(long upTo) {
    revision = Math.max(revision, upTo);
  }

  /** A value as the store holds it at this revision; null for a key that is gone. */
  public void put(String key, JsonNode value, long version, boolean asBytes) {
    revision = Math.max(revision, version);
    if (LEFT_OUT.matcher(key).matches()) {
      return;
    }
    if (key.startsWith(Keys.END)) {
      putEnd(key.substring(Keys.END.length()), value);
    } else if (key.startsWith(Keys.ENDS)) {
      putEnds(key, value);
    } else if (value == null) {
      records.remove(key);
    } else {
      records.put(
          key,
          new Value(version, asBytes ? null : value, asBytes ? Json.bytes(value) : null));
    }
  }

  private void putEnd(String id, JsonNode value) {
    // Final states do not change, and what is gone from the store is kept here.
    if (value == null || end(id) != null || ends() >= MOST_ENDS) {
      return;
    }
    try {
      ends.put(id, RecordWire.parseEnd(value));
    } catch (MalformedException e) {
      log.warn("the final state of {} cannot be read", id);
    }
  }

  private void putEnds(String key, JsonNode value) {
    if (value == null) {
      return;
    }
    try {
      Job.State state = RecordWire.parseEnd(value);
      RecordWire.parseEnds(value).forEach(id -> packed.putIfAbsent(id, state));
    } catch (MalformedException e) {
      log.warn("{} cannot be read: {}", key, e.getMessage());
    }
  }

  /**
   * Takes in what was read under a prefix. A value that cannot be read is replaced by the one that this
   * copy has of the same revision; what the answer is made of is the list as it should be.
   */
  public List<StoreWire.Entry> read(String prefix, List<StoreWire.Entry> listed) {
    List<StoreWire.Entry> good = new ArrayList<>(listed.size());
    for (StoreWire.Entry entry : listed) {
      good.add(readable(entry) ? entry : repaired(entry));
    }
    records.subMap(prefix, prefix + Character.MAX_VALUE).clear();
    good.forEach(entry -> put(entry.key(), entry.value(), entry.version(), false));
    return good;
  }

  private StoreWire.Entry repaired(StoreWire.Entry damaged) {
    Value known = records.get(damaged.key());
    if (known != null && known.version == damaged.version()) {
      try {
        log.warn("{} cannot be read and is taken from this controller's copy", damaged.key());
        return new StoreWire.Entry(damaged.key(), known.read(), damaged.version());
      } catch (MalformedException e) {
        log.warn("{} cannot be read in the copy either", damaged.key());
      }
    }
    return damaged;
  }

  /** Whether a record can be read as what its key says it is. */
  static boolean readable(StoreWire.Entry entry) {
    try {
      String key = entry.key();
      JsonNode value = entry.value();
      if (key.startsWith(Keys.JOB)) {
        RecordWire.parseJob(value);
      } else if (key.startsWith(Keys.ACCEPTED)) {
        RecordWire.notices(value);
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parseJob(each);
        }
      } else if (key.startsWith(Keys.DONE)) {
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parseDone(each);
        }
      } else if (key.startsWith(Keys.PLACED)) {
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parsePlacement(each);
        }
      } else if (key.startsWith(Keys.IMAGES)) {
        for (JsonNode each : RecordWire.entries(value)) {
          RecordWire.parseImages(each);
        }
      }
      return true;
    } catch (MalformedException e) {
      return false;
    }
  }

  /** A job's final state, or null when none is known. */
  public Job.State end(String id) {
    Job.State own = ends.get(id);
    return own != null ? own : packed.get(id);
  }

  /** Whether a record says that the job was accepted and is not over. */
  public boolean holdsJob(String id) {
    if (records.containsKey(Keys.JOB + id)) {
      return true;
    }
    for (Map.Entry<String, Value> page :
        records.subMap(Keys.ACCEPTED, Keys.ACCEPTED + Character.MAX_VALUE).entrySet()) {
      Jobs known = accepted.get(page.getKey());
      if (known == null || known.version != page.getValue().version) {
        known = new Jobs(page.getValue().version, ids(page.getValue()));
        accepted.put(page.getKey(), known);
      }
      if (known.ids.contains(id)) {
        return true;
      }
    }
    return false;
  }

  private static Set<String> ids(Value page) {
    Set<String> ids = new HashSet<>();
    try {
      for (JsonNode each : RecordWire.entries(page.read())) {
        ids.add(RecordWire.parseJob(each).spec().id());
      }
    } catch (MalformedException e) {
      log.warn("a page of accepted jobs cannot be read: {}", e.getMessage());
    }
    return ids;
  }

  /** Everything that is to be written when these records are to count in another generation. */
  public List<StoreWire.Entry> image() {
    List<StoreWire.Entry> image = new ArrayList<>();
    records.forEach(
        (key, value) -> {
          try {
            image.add(new StoreWire.Entry(key, value.read(), value.version));
          } catch (MalformedException e) {
            log.error("the copy of {} cannot be read and is left out", key);
          }
        });
    Map<String, Job.State> all = new TreeMap<>(packed);
    all.putAll(ends);
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
        if (bytes >= ENDS_BYTES) {
          image.add(new StoreWire.Entry(Keys.ENDS + pages++, RecordWire.ends(state, ids), 0));
          ids = new ArrayList<>();
          bytes = 0;
        }
      }
      if (!ids.isEmpty()) {
        image.add(new StoreWire.Entry(Keys.ENDS + pages++, RecordWire.ends(state, ids), 0));
      }
    }
    return image;
  }
}
