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
  private static final long ANY = Long.MAX_VALUE;

  private StoreWire() {}

  /** A key with its value and the revision of its last change; a null value means no such key. */
  public record Entry(String key, JsonNode value, long version) {}

  /** A page of keys, as of {@code revision}. */
  public record Page(List<Entry> entries, boolean more, long revision) {}

  /** Changes up to {@code revision}; a deletion has a null value. */
  public record Changes(long revision, List<Entry> entries) {}

  /** A transaction being put together. */
  public static final class Transaction {
    private final ObjectNode out = Json.object();
    private final ArrayNode conditions = out.putArray("if");
    private final ArrayNode changes = out.putArray("apply");

    public Transaction require(String key, long version) {
      conditions.addObject().put("path", key).put("stamp", version);
      return this;
    }

    public Transaction put(String key, JsonNode value) {
      changes.addObject().put("write", key).set("v", value);
      return this;
    }

    public Transaction put(String key, JsonNode value, long lease) {
      ObjectNode change = changes.addObject().put("write", key).put("hold", lease);
      change.set("v", value);
      return this;
    }

    public Transaction delete(String key) {
      changes.addObject().put("remove", key);
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

  public static Entry parseEntry(byte[] body) throws MalformedException {
    return entry(new Fields(Json.parseObject(body)));
  }

  private static Entry entry(Fields in) throws MalformedException {
    return new Entry(in.text("path"), in.node("v"), in.whole("stamp", 0, ANY));
  }

  /** The lease that a key is attached to; 0 when there is none. */
  public static long parseAttached(byte[] body) throws MalformedException {
    return Json.parseObject(body).path("hold").asLong(0);
  }

  /** The revision in a response. */
  public static long parseRevision(byte[] body) throws MalformedException {
    return new Fields(Json.parseObject(body)).whole("epoch", 0, ANY);
  }

  public static Page parsePage(byte[] body) throws MalformedException {
    Fields in = new Fields(Json.parseObject(body));
    List<Entry> entries = new ArrayList<>();
    for (Fields item : in.objects("entries")) {
      entries.add(entry(item));
    }
    return new Page(entries, in.flagOr("truncated", false), in.whole("epoch", 0, ANY));
  }

  public static Changes parseChanges(byte[] body) throws MalformedException {
    Fields in = new Fields(Json.parseObject(body));
    List<Entry> entries = new ArrayList<>();
    for (Fields item : in.objects("log")) {
      String written = item.textOr("write", null);
      entries.add(
          written != null
              ? new Entry(written, item.node("v"), item.whole("stamp", 0, ANY))
              : new Entry(item.text("remove"), null, item.whole("stamp", 0, ANY)));
    }
    return new Changes(in.whole("epoch", 0, ANY), entries);
  }

  /** The keys whose conditions did not hold. */
  public static List<String> parseFailed(byte[] body) throws MalformedException {
    List<String> failed = new Fields(Json.parseObject(body)).textsOrNull("failed");
    return failed == null ? List.of() : failed;
  }

  public static byte[] lease(Duration life) {
    return Json.bytes(Json.object().put("life_ms", life.toMillis()));
  }

  public static long parseLease(byte[] body) throws MalformedException {
    return new Fields(Json.parseObject(body)).whole("hold", 0, ANY);
  }
}
