package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/** Messages of the consensus-backed key-value store. */
public final class StoreWire {
  /** Number of keys in a full page of a list. */
  public static final int PAGE_SIZE = 1000;

  /** The key of the current generation; the only key without a generation prefix. */
  public static final String GENERATION_KEY = "generation/current";

  private static final long MAX_REVISION = Long.MAX_VALUE;

  private StoreWire() {}

  /**
   * A key with its value and the revision of its last change. The value stays encoded, since all
   * records may be in memory at once and take several times as much as trees.
   *
   * @param json the encoded value, which must not be modified; null for a deletion
   */
  public record Entry(String key, byte[] json, long revision) {
    /** Creates an entry with an encoded copy of the value; null for a deletion. */
    public static Entry of(String key, JsonNode value, long revision) {
      return new Entry(key, value == null ? null : Json.bytes(value), revision);
    }

    /** Whether the key was deleted. */
    public boolean isDeletion() {
      return json == null;
    }

    /** Parses the value; to be called again rather than retained. Null for a deletion. */
    public JsonNode value() throws MalformedMessageException {
      return json == null ? null : Json.parse(json);
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Entry entry
          && key.equals(entry.key)
          && revision == entry.revision
          && Arrays.equals(json, entry.json);
    }

    @Override
    public int hashCode() {
      return Objects.hash(key, revision);
    }
  }

  /** A page of keys, as of {@code revision}. */
  public record Page(List<Entry> entries, boolean hasMore, long revision) {
    /** The key after which the next page begins; null if this is the last page. */
    public String nextPageAfter() {
      return hasMore && !entries.isEmpty() ? entries.get(entries.size() - 1).key() : null;
    }
  }

  /** The changes up to {@code revision}, in order. */
  public record Changes(long revision, List<Entry> entries) {}

  /** Builds a compare-and-swap transaction; either all of its changes are applied or none. */
  public static final class Transaction {
    private final String keyPrefix;
    private final ObjectNode out = Json.object();
    private final ArrayNode conditions = out.putArray("if");
    private final ArrayNode changes = out.putArray("apply");

    /**
     * Creates an empty transaction.
     *
     * @param keyPrefix prefix of the transaction's keys in the store
     */
    public Transaction(String keyPrefix) {
      this.keyPrefix = keyPrefix;
    }

    /** Adds the condition that a key has the given revision; 0 means that it does not exist. */
    public Transaction require(String key, long revision) {
      conditions.addObject().put("path", keyPrefix + key).put("stamp", revision);
      return this;
    }

    /** Adds the condition that {@link #GENERATION_KEY} has the given revision. */
    public Transaction requireGeneration(long revision) {
      conditions.addObject().put("path", GENERATION_KEY).put("stamp", revision);
      return this;
    }

    /** Sets {@link #GENERATION_KEY}. */
    public Transaction putGeneration(JsonNode value) {
      changes.addObject().put("write", GENERATION_KEY).set("v", value);
      return this;
    }

    /** Sets a key. */
    public Transaction put(String key, JsonNode value) {
      changes.addObject().put("write", keyPrefix + key).set("v", value);
      return this;
    }

    /** Sets a key and attaches it to a lease, whose expiry deletes the key. */
    public Transaction put(String key, JsonNode value, long leaseId) {
      ObjectNode change = changes.addObject().put("write", keyPrefix + key).put("hold", leaseId);
      change.set("v", value);
      return this;
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
      changes.addObject().put("remove", keyPrefix + key);
      return this;
    }

    public byte[] bytes() {
      return Json.bytes(out);
    }
  }

  public static String keyPath(String key) {
    return "/keys/" + key;
  }

  /**
   * The path of a page of keys.
   *
   * @param after the last key of the previous page; null for the first page
   */
  public static String listPath(String prefix, String after) {
    String path = "/keys?prefix=" + prefix + "&page=" + PAGE_SIZE;
    return after == null ? path : path + "&since=" + after;
  }

  /** The path of a request that waits up to {@code wait} for changes after a revision. */
  public static String watchPath(String prefix, long after, Duration wait) {
    return "/follow?prefix=" + prefix + "&since=" + after + "&wait_ms=" + wait.toMillis();
  }

  /** Reads one entry and removes {@code keyPrefix} from its key. */
  public static Entry parseEntry(byte[] body, String keyPrefix) throws MalformedMessageException {
    Fields in = new Fields(Json.parseObject(body));
    return entry(in, Json.bytes(in.node("v")), keyPrefix);
  }

  private static Entry entry(Fields in, byte[] json, String keyPrefix)
      throws MalformedMessageException {
    return new Entry(
        withoutPrefix(in.string("path"), keyPrefix), json, in.integer("stamp", 0, MAX_REVISION));
  }

  private static String withoutPrefix(String key, String keyPrefix) {
    return key.startsWith(keyPrefix) ? key.substring(keyPrefix.length()) : key;
  }

  /** The id of the lease to which a key is attached; 0 for none. */
  public static long parseAttachedLease(byte[] body) throws MalformedMessageException {
    return Json.parseObject(body).path("hold").asLong(0);
  }

  /** The store's revision in a response. */
  public static long parseRevision(byte[] body) throws MalformedMessageException {
    return new Fields(Json.parseObject(body)).integer("epoch", 0, MAX_REVISION);
  }

  /** Reads a page of entries and removes {@code keyPrefix} from their keys. */
  public static Page parsePage(byte[] body, String keyPrefix) throws MalformedMessageException {
    EncodedEntries response = EncodedEntries.read(body, "entries");
    List<Entry> entries = new ArrayList<>(response.items().size());
    for (EncodedEntries.Item item : response.items()) {
      entries.add(entry(item.fields(), item.requiredValue(), keyPrefix));
    }
    Fields in = response.fields();
    return new Page(entries, in.boolOr("truncated", false), in.integer("epoch", 0, MAX_REVISION));
  }

  /** Reads changes and removes {@code keyPrefix} from their keys. */
  public static Changes parseChanges(byte[] body, String keyPrefix)
      throws MalformedMessageException {
    EncodedEntries response = EncodedEntries.read(body, "log");
    List<Entry> entries = new ArrayList<>(response.items().size());
    for (EncodedEntries.Item item : response.items()) {
      entries.add(change(item, keyPrefix));
    }
    return new Changes(response.fields().integer("epoch", 0, MAX_REVISION), entries);
  }

  private static Entry change(EncodedEntries.Item item, String keyPrefix)
      throws MalformedMessageException {
    Fields in = item.fields();
    String writtenKey = in.stringOr("write", null);
    String key = writtenKey != null ? writtenKey : in.string("remove");
    return new Entry(
        withoutPrefix(key, keyPrefix),
        writtenKey != null ? item.requiredValue() : null,
        in.integer("stamp", 0, MAX_REVISION));
  }

  /** The keys whose conditions did not hold in a rejected transaction. */
  public static List<String> parseFailedConditions(byte[] body, String keyPrefix)
      throws MalformedMessageException {
    List<String> failed = new Fields(Json.parseObject(body)).stringsOrNull("failed");
    return failed == null
        ? List.of()
        : failed.stream().map(key -> withoutPrefix(key, keyPrefix)).toList();
  }

  /** Encodes a request for a lease of the given duration. */
  public static byte[] leaseRequest(Duration duration) {
    return Json.bytes(Json.object().put("life_ms", duration.toMillis()));
  }

  /** The id of a granted lease. */
  public static long parseLeaseId(byte[] body) throws MalformedMessageException {
    return new Fields(Json.parseObject(body)).integer("hold", 0, MAX_REVISION);
  }
}
