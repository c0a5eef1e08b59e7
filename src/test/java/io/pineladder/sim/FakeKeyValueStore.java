package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.HttpResponse;
import io.pineladder.retry.TokenBucket;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/** The state service, from its protocol: keys, transactions, leases, watches, outages. */
final class FakeKeyValueStore implements AsyncHttpHandler {
  private record Value(JsonNode value, long version, long leaseId) {}

  private static final class Lease {
    Instant expiresAt;
    long ttlMillis;
  }

  private static final class Watch {
    final String prefix;
    final Consumer<HttpResponse> answer;

    /** The first entry of the log that it has not been looked at for. */
    int nextLogIndex;

    boolean answered;

    Watch(String prefix, int from, Consumer<HttpResponse> answer) {
      this.prefix = prefix;
      this.nextLogIndex = from;
      this.answer = answer;
    }
  }

  private final SimulatedWorld world;
  private int maxTxnOps;
  private int maxValueBytes;

  /** The limits were lowered, and nobody was told when. */
  private boolean limitsLowered;

  /** Transactions refused because they hold more than the lowered limits allow. */
  int tooLarge;

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<ObjectNode> changeLog = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long lastLeaseId;
  boolean outage;

  /** The part of transactions that get no answer and are carried out 2 to 12 s later. */
  double lateWrites;

  /** The part of transactions that are carried out at once and get no answer. */
  double unanswered;

  /** So carried out, by the kinds of keys they change. */
  final Map<String, Integer> unansweredKinds = new TreeMap<>();

  /** Told of each key that has changed. */
  Consumer<String> onChange = key -> {};

  /** Of each transaction a copy is carried out 2 to 12 s later, if it still can be. */
  boolean repeats;

  /** Copies carried out, by the kinds of keys they change; and those of them that had effect. */
  final Map<String, Integer> repeated = new TreeMap<>();

  final Map<String, Integer> repeatedWithEffect = new TreeMap<>();

  /**
   * Requests and changes a second that are served, with bursts of a second's worth; the rest gets
   * 429.
   */
  TokenBucket requestLimit;

  TokenBucket changeLimit;

  /** Requests that were over a limit. */
  int overLimit;

  /** Entries of a listing in one answer: few, so that reading on is part of every test. */
  int pageEntries = 20;

  /** Changes that are kept for those who follow; by the protocol 10,000. */
  int mostLogged = Integer.MAX_VALUE;

  /** The revision up to which changes are no longer kept. */
  private long compactedRevision;

  /** Answers take up to so long. */
  int slowMillis;

  /** Puts and deletes so far, by the first part of their keys. */
  final Map<String, Integer> changes = new HashMap<>();

  /** Requests so far, refused ones included. */
  int requests;

  FakeKeyValueStore(SimulatedWorld world, int txnOps, int valueBytes) {
    this.world = world;
    this.maxTxnOps = txnOps;
    this.maxValueBytes = valueBytes;
    expireLeases();
  }

  /** From here on less is allowed; what is stored stays. */
  void lower(int nextTxnOps, int nextValueBytes, double changesPerSecond) {
    limitsLowered = true;
    maxTxnOps = nextTxnOps;
    maxValueBytes = nextValueBytes;
    requestLimit = new TokenBucket(100, 100, world.now());
    changeLimit = new TokenBucket(changesPerSecond, changesPerSecond, world.now());
  }

  /** The keys of values that are larger than they may be now. */
  List<String> largeValues() {
    return keys.entrySet().stream()
        .filter(each -> Json.bytes(each.getValue().value).length > maxValueBytes)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** What stands before the keys of the generation that counts. */
  String space() {
    Value named = keys.get("generation/current");
    return named == null ? "" : "g" + named.value.get("base").asLong() + "/";
  }

  JsonNode value(String key) {
    Value found = keys.get(space() + key);
    return found == null ? null : found.value;
  }

  int count(String prefix) {
    String within = space() + prefix;
    return (int) keys.keySet().stream().filter(k -> k.startsWith(within)).count();
  }

  /** Whether a placement of this start is stored. */
  boolean hasPlacement(String machine, String piece, long attempt) {
    String within = space() + "placed/";
    for (Value page : keys.subMap(within, within + Character.MAX_VALUE).values()) {
      for (JsonNode entry : page.value.path("entries")) {
        if (entry.get(0).asText().equals(machine)
            && (entry.get(5).asText() + "/" + entry.get(6).asText()).equals(piece)
            && entry.get(7).asLong() == attempt) {
          return true;
        }
      }
    }
    return false;
  }

  /** How many keys are none of the generation that counts. */
  int outside() {
    String space = space();
    return (int) keys.keySet().stream().filter(k -> !k.startsWith(space)).count();
  }

  /** Backups that were made of the keys, by their time, the latest last. */
  private final List<Backup> backups = new ArrayList<>();

  private record Backup(Instant takenAt, TreeMap<String, Value> keys, long revision) {}

  /** Makes a backup now and every second from now on. */
  void backUp() {
    backups.add(new Backup(world.now(), new TreeMap<>(keys), revision));
    world.after(1_000, this::backUp);
  }

  /** As if set up anew: nothing is left, and revisions and leases are numbered from the start. */
  void loseEverything() {
    keys.clear();
    leases.clear();
    changeLog.clear();
    watches.forEach(w -> w.nextLogIndex = 0);
    revision = 0;
    lastLeaseId = 0;
  }

  /** A backup takes the place of what is stored; leases are gone with their keys, or come back. */
  void restore(Duration age, boolean withLeases) {
    Instant wanted = world.now().minus(age);
    Backup found = backups.get(0);
    for (Backup each : backups) {
      found = each.takenAt.isAfter(wanted) ? found : each;
    }
    keys.clear();
    keys.putAll(found.keys);
    revision = found.revision;
    long restored = revision;
    changeLog.removeIf(event -> event.get("stamp").asLong() > restored);
    watches.forEach(w -> w.nextLogIndex = changeLog.size());
    if (withLeases) {
      leases.values().forEach(l -> l.expiresAt = world.now().plusMillis(l.ttlMillis));
    } else {
      leases.clear();
      keys.values().removeIf(value -> value.leaseId != 0);
    }
  }

  /** Keys with this prefix are gone, and nothing tells of it. */
  void losePrefix(String prefix) {
    String within = space() + prefix;
    keys.keySet().removeIf(key -> key.startsWith(within));
  }

  /** One value with this prefix cannot be read any more; its revision is as before. */
  void damage(String prefix) {
    String within = space() + prefix;
    List<String> there = keys.keySet().stream().filter(k -> k.startsWith(within)).toList();
    if (!there.isEmpty()) {
      String key = there.get(world.random.nextInt(there.size()));
      Value old = keys.get(key);
      keys.put(key, new Value(Json.object().put("entries", "?"), old.version, old.leaseId));
    }
  }

  /** The final states that are stored, by job. */
  Map<String, String> ends() {
    Map<String, String> found = new TreeMap<>();
    String space = space();
    keys.forEach(
        (whole, value) -> {
          String key = withoutPrefix(whole, space);
          if (key.startsWith("end/")) {
            found.put(key.substring("end/".length()), value.value.toString());
          }
        });
    return found;
  }

  /** The ids of all jobs that a leader would take up, in pages or with a record of their own. */
  Set<String> jobs() {
    Set<String> found = new TreeSet<>();
    String space = space();
    keys.forEach(
        (whole, value) -> {
          String key = withoutPrefix(whole, space);
          if (key.startsWith("job/")) {
            found.add(key.substring("job/".length()));
          } else if (key.startsWith("accepted/")) {
            value.value.get("entries").forEach(e -> found.add(e.at("/spec/ref").asText()));
          }
        });
    return found;
  }

  private static String withoutPrefix(String key, String space) {
    return key.startsWith(space) ? key.substring(space.length()) : "";
  }

  /** After an outage every lease has its full time again. */
  void endOutage() {
    outage = false;
    leases.values().forEach(l -> l.expiresAt = world.now().plusMillis(l.ttlMillis));
    answerWatches();
  }

  private void expireLeases() {
    if (!outage) {
      List.copyOf(leases.entrySet()).stream()
          .filter(e -> e.getValue().expiresAt.isBefore(world.now()))
          .forEach(e -> endLease(e.getKey()));
    }
    world.after(50, this::expireLeases);
  }

  private void endLease(long lease) {
    leases.remove(lease);
    List<String> attached =
        keys.entrySet().stream()
            .filter(e -> e.getValue().leaseId == lease)
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      revision++;
      attached.forEach(this::remove);
      answerWatches();
    }
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      changeLog.add(Json.object().put("remove", key).put("stamp", revision));
    }
  }

  private static HttpResponse answer(int status, JsonNode body) {
    return new HttpResponse(status, Json.bytes(body));
  }

  private static Map<String, String> queryParameters(String path) {
    Map<String, String> found = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&", 0)) {
      int is = part.indexOf('=');
      found.put(part.substring(0, is), part.substring(is + 1));
    }
    return found;
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    requests++;
    if (isOverLimit(path, body)) {
      overLimit++;
      answer.accept(answer(429, Json.object().put("error", "over the limit")));
      return;
    }
    if (outage) {
      answer.accept(answer(503, Json.object().put("error", "outage")));
      return;
    }
    try {
      if (path.startsWith("/follow?")) {
        openWatch(queryParameters(path), answer);
      } else if (lateWrites > 0
          && path.equals("/multi")
          && world.random.nextDouble() < lateWrites) {
        ObjectNode txn = Json.parseObject(body);
        runDelayed(() -> executeTransaction(txn));
      } else if (unanswered > 0
          && path.equals("/multi")
          && world.random.nextDouble() < unanswered) {
        ObjectNode txn = Json.parseObject(body);
        if (executeTransaction(txn).status() == 200) {
          changedPrefixes(txn).forEach(kind -> unansweredKinds.merge(kind, 1, Integer::sum));
        }
      } else if (slowMillis > 0) {
        HttpResponse given = execute(method, path, body);
        world.after(world.random.nextInt(slowMillis), () -> answer.accept(given));
      } else {
        answer.accept(execute(method, path, body));
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError("the store was sent " + new String(body, StandardCharsets.UTF_8), e);
    }
  }

  private boolean isOverLimit(String path, byte[] body) {
    if (requestLimit == null) {
      return false;
    }
    Instant now = world.now();
    int changing = 0;
    try {
      changing = path.equals("/multi") ? Json.parseObject(body).get("apply").size() : 0;
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
    if (requestLimit.available(now) < 1 || changeLimit.available(now) < changing) {
      return true;
    }
    requestLimit.consume(1, now);
    changeLimit.consume(changing, now);
    return false;
  }

  /** Carries something out 2 to 12 s later, once the service works. */
  private void runDelayed(Runnable action) {
    world.after(2_000 + world.random.nextInt(10_000), () -> runWhenAvailable(action));
  }

  private void runWhenAvailable(Runnable action) {
    if (outage) {
      world.after(1_000, () -> runWhenAvailable(action));
    } else {
      action.run();
    }
  }

  private Set<String> changedPrefixes(ObjectNode txn) {
    TreeSet<String> kinds = new TreeSet<>();
    for (JsonNode change : txn.get("apply")) {
      boolean remove = change.has("remove");
      String key = withoutPrefix(change.get(remove ? "remove" : "write").asText(), space());
      kinds.add((remove ? "-" : "") + key.substring(0, key.indexOf('/') + 1));
    }
    return kinds;
  }

  private void replay(ObjectNode txn) {
    boolean effect = executeTransaction(txn).status() == 200;
    for (String kind : changedPrefixes(txn)) {
      repeated.merge(kind, 1, Integer::sum);
      if (effect) {
        repeatedWithEffect.merge(kind, 1, Integer::sum);
      }
    }
  }

  private HttpResponse execute(String method, String path, byte[] body)
      throws MalformedMessageException {
    if (path.startsWith("/keys?")) {
      return list(queryParameters(path));
    }
    if (path.startsWith("/keys/")) {
      String key = path.substring("/keys/".length());
      Value found = keys.get(key);
      if (found == null) {
        return answer(404, Json.object().put("epoch", revision));
      }
      return answer(200, entry(key, found));
    }
    if (path.equals("/multi")) {
      ObjectNode txn = Json.parseObject(body);
      HttpResponse given = executeTransaction(txn);
      if (repeats && given.status() == 200 && !txn.get("apply").isEmpty()) {
        runDelayed(() -> replay(txn));
      }
      return given;
    }
    if (path.equals("/holds")) {
      Lease lease = new Lease();
      lease.ttlMillis = Json.parseObject(body).get("life_ms").asLong();
      lease.expiresAt = world.now().plusMillis(lease.ttlMillis);
      leases.put(++lastLeaseId, lease);
      return answer(200, Json.object().put("hold", lastLeaseId));
    }
    long id = Long.parseLong(path.split("/", 0)[2]);
    Lease lease = leases.get(id);
    if (lease == null) {
      return answer(404, Json.object());
    }
    if (method.equals("DELETE")) {
      endLease(id);
    } else {
      lease.expiresAt = world.now().plusMillis(lease.ttlMillis);
    }
    return answer(200, Json.object());
  }

  private static ObjectNode entry(String key, Value value) {
    ObjectNode out = Json.object().put("path", key).put("stamp", value.version);
    if (value.leaseId != 0) {
      out.put("hold", value.leaseId);
    }
    out.set("v", value.value);
    return out;
  }

  private HttpResponse list(Map<String, String> query) {
    ObjectNode out = Json.object().put("epoch", revision);
    ArrayNode entries = out.putArray("entries");
    boolean more = false;
    String prefix = query.get("prefix");
    String since = query.getOrDefault("since", "");
    // Keys are in order, so those with the prefix stand together.
    boolean inside = since.compareTo(prefix) > 0;
    for (var found : keys.tailMap(inside ? since : prefix, !inside).entrySet()) {
      if (!found.getKey().startsWith(prefix)) {
        break;
      }
      if (entries.size() == pageEntries) {
        more = true;
        break;
      }
      entries.add(entry(found.getKey(), found.getValue()));
    }
    return answer(200, out.put("truncated", more));
  }

  private HttpResponse executeTransaction(ObjectNode txn) {
    JsonNode changes = txn.get("apply");
    if (changes.size() > maxTxnOps || txn.get("if").size() > 4 * maxTxnOps) {
      throw new AssertionError("a transaction is too large: " + txn);
    }
    for (JsonNode change : changes) {
      if (change.has("v") && Json.bytes(change.get("v")).length > maxValueBytes) {
        if (!limitsLowered) {
          throw new AssertionError("the value of " + change.get("write") + " is too large");
        }
        tooLarge++;
        return answer(400, Json.object().put("error", "too large"));
      }
    }
    ArrayNode failed = Json.array();
    for (JsonNode condition : txn.get("if")) {
      Value found = keys.get(condition.get("path").asText());
      long version = found == null ? 0 : found.version;
      if (version != condition.get("stamp").asLong()) {
        failed.add(condition.get("path").asText());
      }
    }
    for (JsonNode change : changes) {
      if (change.has("hold") && !leases.containsKey(change.get("hold").asLong())) {
        return answer(400, Json.object().put("error", "no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode out = Json.object().put("epoch", revision);
      out.set("failed", failed);
      return answer(409, out);
    }
    revision++;
    for (JsonNode change : changes) {
      String changed = change.path("write").asText() + change.path("remove").asText();
      this.changes.merge(changed.substring(0, changed.indexOf('/') + 1), 1, Integer::sum);
      world.after(0, () -> onChange.accept(changed));
      if (change.has("remove")) {
        remove(change.get("remove").asText());
        continue;
      }
      String key = change.get("write").asText();
      JsonNode value = change.get("v");
      long lease = change.has("hold") ? change.get("hold").asLong() : 0;
      keys.put(key, new Value(value, revision, lease));
      changeLog.add(writeEvent(key, value));
    }
    answerWatches();
    return answer(200, Json.object().put("epoch", revision));
  }

  private ObjectNode writeEvent(String key, JsonNode value) {
    ObjectNode event = Json.object().put("write", key).put("stamp", revision);
    event.set("v", value);
    return event;
  }

  private void openWatch(Map<String, String> query, Consumer<HttpResponse> answer) {
    long wait = Long.parseLong(query.get("wait_ms"));
    long since = Long.parseLong(query.get("since"));
    if (since < compactedRevision) {
      answer.accept(answer(410, Json.object().put("epoch", revision)));
      return;
    }
    int from = changeLog.size();
    while (from > 0 && changeLog.get(from - 1).get("stamp").asLong() > since) {
      from--;
    }
    Watch watch = new Watch(query.get("prefix"), from, answer);
    watches.add(watch);
    answerIfReady(watch, false);
    world.after(wait, () -> answerIfReady(watch, true));
  }

  private void compactLog() {
    if (changeLog.size() > 2L * mostLogged) {
      int over = changeLog.size() - mostLogged;
      compactedRevision = changeLog.get(over - 1).get("stamp").asLong();
      changeLog.subList(0, over).clear();
      watches.forEach(watch -> watch.nextLogIndex = Math.max(0, watch.nextLogIndex - over));
    }
  }

  private void answerWatches() {
    compactLog();
    List.copyOf(watches).forEach(w -> answerIfReady(w, false));
  }

  private void answerIfReady(Watch watch, boolean last) {
    if (watch.answered || (outage && !last)) {
      return;
    }
    ObjectNode out = Json.object().put("epoch", revision);
    ArrayNode events = out.putArray("log");
    for (; watch.nextLogIndex < changeLog.size(); watch.nextLogIndex++) {
      ObjectNode event = changeLog.get(watch.nextLogIndex);
      JsonNode key = event.has("write") ? event.get("write") : event.get("remove");
      if (key.asText().startsWith(watch.prefix)) {
        events.add(event);
      }
    }
    if (last || !events.isEmpty()) {
      watch.answered = true;
      watches.remove(watch);
      watch.answer.accept(answer(200, out));
    }
  }
}
