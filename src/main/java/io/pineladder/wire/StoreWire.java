package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Messages of the state service, the consensus-backed key-value store. */
public final class StoreWire {
  /** Keys in a full page of a list. */
  public static final int PAGE_SIZE = 1000;

  /** The key that names the current generation; the only key without a generation prefix. */
  public static final String GENERATION_KEY = "generation/current";

  private static final long MAX_REVISION = Long.MAX_VALUE;

  private StoreWire() {}

  /** A key with its value and the revision of its last change; the value of a deletion is null. */
  public record Entry(String key, JsonNode value, long revision) {}

  /** A page of keys, as of {@code revision}. */
  public record Page(List<Entry> entries, boolean hasMore, long revision) {
    /** The key after which the next page begins; null when this is the last one. */
    public String nextPageAfter() {
      return hasMore && !entries.isEmpty() ? entries.get(entries.size() - 1).key() : null;
    }
  }

  /** The changes up to {@code revision}, in order; a deletion has a null value. */
  public record Changes(long revision, List<Entry> entries) {}

  /** Builds a compare-and-swap transaction: all changes are applied, or none of them. */
  public static final class Transaction {
    private final String keyPrefix;
    private final ObjectNode out = Json.object();
    private final ArrayNode conditions = out.putArray("if");
    private final ArrayNode changes = out.putArray("apply");

    /**
     * Creates an empty transaction.
     *
     * @param keyPrefix prefix of all its keys in the store
     */
    public Transaction(String keyPrefix) {
      this.keyPrefix = keyPrefix;
    }

    /** Adds the condition that a key has this revision; 0 means that it does not exist. */
    public Transaction require(String key, long revision) {
      conditions.addObject().put("path", keyPrefix + key).put("stamp", revision);
      return this;
    }

    /** Adds the condition that {@link #GENERATION_KEY} has this revision. */
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

    /** Sets a key that is deleted when the lease expires. */
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

    /** The request body. */
    public byte[] bytes() {
      return Json.bytes(out);
    }
  }

  /** The path of one key. */
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

  /** The path that waits for changes after a revision, at most for {@code wait}. */
  public static String watchPath(String prefix, long after, Duration wait) {
    return "/follow?prefix=" + prefix + "&since=" + after + "&wait_ms=" + wait.toMillis();
  }

  /** Reads one key; {@code keyPrefix} is removed from its name. */
  public static Entry parseEntry(byte[] body, String keyPrefix) throws MalformedMessageException {
    return entry(new Fields(Json.parseObject(body)), keyPrefix);
  }

  private static Entry entry(Fields in, String keyPrefix) throws MalformedMessageException {
    return new Entry(
        withoutPrefix(in.text("path"), keyPrefix),
        in.node("v"),
        in.integer("stamp", 0, MAX_REVISION));
  }

  private static String withoutPrefix(String key, String keyPrefix) {
    return key.startsWith(keyPrefix) ? key.substring(keyPrefix.length()) : key;
  }

  /** The id of the lease that a key is attached to; 0 for none. */
  public static long parseAttachedLease(byte[] body) throws MalformedMessageException {
    return Json.parseObject(body).path("hold").asLong(0);
  }

  /** The store's revision in a response. */
  public static long parseRevision(byte[] body) throws MalformedMessageException {
    return new Fields(Json.parseObject(body)).integer("epoch", 0, MAX_REVISION);
  }

  /** Reads a page of keys; {@code keyPrefix} is removed from their names. */
  public static Page parsePage(byte[] body, String keyPrefix) throws MalformedMessageException {
    Fields in = new Fields(Json.parseObject(body));
    List<Entry> entries = new ArrayList<>();
    for (Fields item : in.objects("entries")) {
      entries.add(entry(item, keyPrefix));
    }
    return new Page(entries, in.boolOr("truncated", false), in.integer("epoch", 0, MAX_REVISION));
  }

  /** Reads changes; {@code keyPrefix} is removed from the names of the keys. */
  public static Changes parseChanges(byte[] body, String keyPrefix)
      throws MalformedMessageException {
    Fields in = new Fields(Json.parseObject(body));
    List<Entry> entries = new ArrayList<>();
    for (Fields item : in.objects("log")) {
      String written = item.textOr("write", null);
      entries.add(
          written != null
              ? new Entry(
                  withoutPrefix(written, keyPrefix),
                  item.node("v"),
                  item.integer("stamp", 0, MAX_REVISION))
              : new Entry(
                  withoutPrefix(item.text("remove"), keyPrefix),
                  null,
                  item.integer("stamp", 0, MAX_REVISION)));
    }
    return new Changes(in.integer("epoch", 0, MAX_REVISION), entries);
  }

  /** The keys whose conditions did not hold when a transaction was refused. */
  public static List<String> parseFailedConditions(byte[] body, String keyPrefix)
      throws MalformedMessageException {
    List<String> failed = new Fields(Json.parseObject(body)).textsOrNull("failed");
    return failed == null
        ? List.of()
        : failed.stream().map(key -> withoutPrefix(key, keyPrefix)).toList();
  }

  /** The request body for a lease of this duration. */
  public static byte[] leaseRequest(Duration duration) {
    return Json.bytes(Json.object().put("life_ms", duration.toMillis()));
  }

  /** The id of a granted lease. */
  public static long parseLeaseId(byte[] body) throws MalformedMessageException {
    return new Fields(Json.parseObject(body)).integer("hold", 0, MAX_REVISION);
  }
}
