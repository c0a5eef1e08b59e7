package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The state service's messages. */
public final class StoreWire {
  public static final int PAGE = 1000;

  /** Which generation of the records counts; the one key whose name is the same in all of them. */
  public static final String GENERATION = "generation/current";

  private static final long ANY = Long.MAX_VALUE;

  private StoreWire() {}

  /** A key with its value and the revision of its last change; a null value means no such key. */
  public record Entry(String key, JsonNode value, long version) {}

  /** A page of keys, as of {@code revision}. */
  public record Page(List<Entry> entries, boolean more, long revision) {
    /** The key after which the next page begins; null when this is the last one. */
    public String next() {
      return more && !entries.isEmpty() ? entries.get(entries.size() - 1).key() : null;
    }
  }

  /** Changes up to {@code revision}; a deletion has a null value. */
  public record Changes(long revision, List<Entry> entries) {}

  /** A transaction being put together; its keys all stand in one space. */
  public static final class Transaction {
    private final String space;
    private final ObjectNode out = Json.object();
    private final ArrayNode conditions = out.putArray("if");
    private final ArrayNode changes = out.putArray("apply");

    /**
     * An empty transaction.
     *
     * @param space what stands before each of its keys in the store
     */
    public Transaction(String space) {
      this.space = space;
    }

    public Transaction require(String key, long version) {
      conditions.addObject().put("path", space + key).put("stamp", version);
      return this;
    }

    /** Asks that the record which names the generation that counts has this revision. */
    public Transaction requireGeneration(long version) {
      conditions.addObject().put("path", GENERATION).put("stamp", version);
      return this;
    }

    /** Names the generation that counts from now on. */
    public Transaction putGeneration(JsonNode value) {
      changes.addObject().put("write", GENERATION).set("v", value);
      return this;
    }

    public Transaction put(String key, JsonNode value) {
      changes.addObject().put("write", space + key).set("v", value);
      return this;
    }

    public Transaction put(String key, JsonNode value, long lease) {
      ObjectNode change = changes.addObject().put("write", space + key).put("hold", lease);
      change.set("v", value);
      return this;
    }

    public Transaction delete(String key) {
      changes.addObject().put("remove", space + key);
      return this;
    }

    public byte[] bytes() {
      return Json.bytes(out);
    }
  }

  public static String keyPath(String key) {
    return "/keys/" + key;
  }

  public static String listPath(String prefix, String after) {
    String path = "/keys?prefix=" + prefix + "&page=" + PAGE;
    return after == null ? path : path + "&since=" + after;
  }

  public static String watchPath(String prefix, long after, Duration wait) {
    return "/follow?prefix=" + prefix + "&since=" + after + "&wait_ms=" + wait.toMillis();
  }

  /** One key; {@code space} is left out of its name. */
  public static Entry parseEntry(byte[] body, String space) throws MalformedMessageException {
    return entry(new Fields(Json.parseObject(body)), space);
  }

  private static Entry entry(Fields in, String space) throws MalformedMessageException {
    return new Entry(inside(in.text("path"), space), in.node("v"), in.whole("stamp", 0, ANY));
  }

  private static String inside(String key, String space) {
    return key.startsWith(space) ? key.substring(space.length()) : key;
  }

  /** The lease that a key is attached to; 0 when there is none. */
  public static long parseAttached(byte[] body) throws MalformedMessageException {
    return Json.parseObject(body).path("hold").asLong(0);
  }

  /** The revision in a response. */
  public static long parseRevision(byte[] body) throws MalformedMessageException {
    return new Fields(Json.parseObject(body)).whole("epoch", 0, ANY);
  }

  public static Page parsePage(byte[] body, String space) throws MalformedMessageException {
    Fields in = new Fields(Json.parseObject(body));
    List<Entry> entries = new ArrayList<>();
    for (Fields item : in.objects("entries")) {
      entries.add(entry(item, space));
    }
    return new Page(entries, in.flagOr("truncated", false), in.whole("epoch", 0, ANY));
  }

  public static Changes parseChanges(byte[] body, String space) throws MalformedMessageException {
    Fields in = new Fields(Json.parseObject(body));
    List<Entry> entries = new ArrayList<>();
    for (Fields item : in.objects("log")) {
      String written = item.textOr("write", null);
      entries.add(
          written != null
              ? new Entry(inside(written, space), item.node("v"), item.whole("stamp", 0, ANY))
              : new Entry(inside(item.text("remove"), space), null, item.whole("stamp", 0, ANY)));
    }
    return new Changes(in.whole("epoch", 0, ANY), entries);
  }

  /** The keys whose conditions did not hold. */
  public static List<String> parseFailed(byte[] body, String space)
      throws MalformedMessageException {
    List<String> failed = new Fields(Json.parseObject(body)).textsOrNull("failed");
    return failed == null ? List.of() : failed.stream().map(key -> inside(key, space)).toList();
  }

  public static byte[] lease(Duration life) {
    return Json.bytes(Json.object().put("life_ms", life.toMillis()));
  }

  public static long parseLease(byte[] body) throws MalformedMessageException {
    return new Fields(Json.parseObject(body)).whole("hold", 0, ANY);
  }
}
