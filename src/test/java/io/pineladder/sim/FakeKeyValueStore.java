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
  private record Value(JsonNode value, long version, long lease) {}

  private static final class Lease {
    Instant until;
    long life;
  }

  private static final class Watch {
    final String prefix;
    final Consumer<HttpResponse> answer;

    /** The first entry of the log that it has not been looked at for. */
    int from;

    boolean over;

    Watch(String prefix, int from, Consumer<HttpResponse> answer) {
      this.prefix = prefix;
      this.from = from;
      this.answer = answer;
    }
  }

  private final SimulatedWorld world;
  private int txnOps;
  private int valueBytes;

  /** The limits were lowered, and nobody was told when. */
  private boolean lowered;

  /** Transactions refused because they hold more than the lowered limits allow. */
  int oversizedTransactions;

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<ObjectNode> log = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long leaseIds;
  boolean outage;

  /** The part of transactions that get no answer and are carried out 2 to 12 s later. */
  double delayedTransactionRate;

  /** The part of transactions that are carried out at once and get no answer. */
  double lostAnswerRate;

  /** So carried out, by the kinds of keys they change. */
  final Map<String, Integer> lostAnswersByPrefix = new TreeMap<>();

  /** Told of each key that has changed. */
  Consumer<String> onChange = key -> {};

  /** Of each transaction a copy is carried out 2 to 12 s later, if it still can be. */
  boolean replaysTransactions;

  /** Copies carried out, by the kinds of keys they change; and those of them that had effect. */
  final Map<String, Integer> replaysByPrefix = new TreeMap<>();

  final Map<String, Integer> effectiveReplaysByPrefix = new TreeMap<>();

  /**
   * Requests and changes a second that are served, with bursts of a second's worth; the rest gets
   * 429.
   */
  TokenBucket requestLimit;

  TokenBucket changeLimit;

  /** Requests that were over a limit. */
  int rateLimitedRequests;

  /** Entries of a listing in one answer: few, so that reading on is part of every test. */
  int pageSize = 20;

  /** Changes that are kept for those who follow; by the protocol 10,000. */
  int retainedChanges = Integer.MAX_VALUE;

  /** The revision up to which changes are no longer kept. */
  private long forgotten;

  /** Answers take up to so long. */
  int maxAnswerDelayMillis;

  /** Puts and deletes so far, by the first part of their keys. */
  final Map<String, Integer> changesByPrefix = new HashMap<>();

  /** Requests so far, refused ones included. */
  int requestCount;

  FakeKeyValueStore(SimulatedWorld world, int txnOps, int valueBytes) {
    this.world = world;
    this.txnOps = txnOps;
    this.valueBytes = valueBytes;
    expire();
  }

  /** From here on less is allowed; what is stored stays. */
  void lowerLimits(int nextTxnOps, int nextValueBytes, double changesPerSecond) {
    lowered = true;
    txnOps = nextTxnOps;
    valueBytes = nextValueBytes;
    requestLimit = new TokenBucket(100, 100, world.now());
    changeLimit = new TokenBucket(changesPerSecond, changesPerSecond, world.now());
  }

  /** The keys of values that are larger than they may be now. */
  List<String> oversizedKeys() {
    return keys.entrySet().stream()
        .filter(each -> Json.bytes(each.getValue().value).length > valueBytes)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** What stands before the keys of the generation that counts. */
  String generationPrefix() {
    Value named = keys.get("generation/current");
    return named == null ? "" : "g" + named.value.get("base").asLong() + "/";
  }

  JsonNode value(String key) {
    Value found = keys.get(generationPrefix() + key);
    return found == null ? null : found.value;
  }

  int countKeys(String prefix) {
    String within = generationPrefix() + prefix;
    return (int) keys.keySet().stream().filter(k -> k.startsWith(within)).count();
  }

  /** Whether a placement of this start is stored. */
  boolean hasPlacement(String machine, String piece, long attempt) {
    String within = generationPrefix() + "placed/";
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
  int countKeysOutsideGeneration() {
    String space = generationPrefix();
    return (int) keys.keySet().stream().filter(k -> !k.startsWith(space)).count();
  }

  /** Backups that were made of the keys, by their time, the latest last. */
  private final List<Backup> backups = new ArrayList<>();

  private record Backup(Instant at, TreeMap<String, Value> keys, long revision) {}

  /** Makes a backup now and every second from now on. */
  void startBackups() {
    backups.add(new Backup(world.now(), new TreeMap<>(keys), revision));
    world.after(1_000, this::startBackups);
  }

  /** As if set up anew: nothing is left, and revisions and leases are numbered from the start. */
  void loseEverything() {
    keys.clear();
    leases.clear();
    log.clear();
    watches.forEach(w -> w.from = 0);
    revision = 0;
    leaseIds = 0;
  }

  /** A backup takes the place of what is stored; leases are gone with their keys, or come back. */
  void restoreBackup(Duration age, boolean withLeases) {
    Instant wanted = world.now().minus(age);
    Backup found = backups.get(0);
    for (Backup each : backups) {
      found = each.at.isAfter(wanted) ? found : each;
    }
    keys.clear();
    keys.putAll(found.keys);
    revision = found.revision;
    long restored = revision;
    log.removeIf(event -> event.get("stamp").asLong() > restored);
    watches.forEach(w -> w.from = log.size());
    if (withLeases) {
      leases.values().forEach(l -> l.until = world.now().plusMillis(l.life));
    } else {
      leases.clear();
      keys.values().removeIf(value -> value.lease != 0);
    }
  }

  /** Keys with this prefix are gone, and nothing tells of it. */
  void losePrefix(String prefix) {
    String within = generationPrefix() + prefix;
    keys.keySet().removeIf(key -> key.startsWith(within));
  }

  /** One value with this prefix cannot be read any more; its revision is as before. */
  void corruptValue(String prefix) {
    String within = generationPrefix() + prefix;
    List<String> there = keys.keySet().stream().filter(k -> k.startsWith(within)).toList();
    if (!there.isEmpty()) {
      String key = there.get(world.random.nextInt(there.size()));
      Value old = keys.get(key);
      keys.put(key, new Value(Json.object().put("entries", "?"), old.version, old.lease));
    }
  }

  /** The final states that are stored, by job. */
  Map<String, String> finalStates() {
    Map<String, String> found = new TreeMap<>();
    String space = generationPrefix();
    keys.forEach(
        (whole, value) -> {
          String key = inside(whole, space);
          if (key.startsWith("end/")) {
            found.put(key.substring("end/".length()), value.value.toString());
          }
        });
    return found;
  }

  /** The ids of all jobs that a leader would take up, in pages or with a record of their own. */
  Set<String> jobIds() {
    Set<String> found = new TreeSet<>();
    String space = generationPrefix();
    keys.forEach(
        (whole, value) -> {
          String key = inside(whole, space);
          if (key.startsWith("job/")) {
            found.add(key.substring("job/".length()));
          } else if (key.startsWith("accepted/")) {
            value.value.get("entries").forEach(e -> found.add(e.at("/spec/ref").asText()));
          }
        });
    return found;
  }

  private static String inside(String key, String space) {
    return key.startsWith(space) ? key.substring(space.length()) : "";
  }

  /** After an outage every lease has its full time again. */
  void endOutage() {
    outage = false;
    leases.values().forEach(l -> l.until = world.now().plusMillis(l.life));
    wake();
  }

  private void expire() {
    if (!outage) {
      List.copyOf(leases.entrySet()).stream()
          .filter(e -> e.getValue().until.isBefore(world.now()))
          .forEach(e -> end(e.getKey()));
    }
    world.after(50, this::expire);
  }

  private void end(long lease) {
    leases.remove(lease);
    List<String> attached =
        keys.entrySet().stream()
            .filter(e -> e.getValue().lease == lease)
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      revision++;
      attached.forEach(this::remove);
      wake();
    }
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      log.add(Json.object().put("remove", key).put("stamp", revision));
    }
  }

  private static HttpResponse answer(int status, JsonNode body) {
    return new HttpResponse(status, Json.bytes(body));
  }

  private static Map<String, String> query(String path) {
    Map<String, String> found = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&", 0)) {
      int is = part.indexOf('=');
      found.put(part.substring(0, is), part.substring(is + 1));
    }
    return found;
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    requestCount++;
    if (isOverLimit(path, body)) {
      rateLimitedRequests++;
      answer.accept(answer(429, Json.object().put("error", "over the limit")));
      return;
    }
    if (outage) {
      answer.accept(answer(503, Json.object().put("error", "outage")));
      return;
    }
    try {
      if (path.startsWith("/follow?")) {
        follow(query(path), answer);
      } else if (delayedTransactionRate > 0
          && path.equals("/multi")
          && world.random.nextDouble() < delayedTransactionRate) {
        ObjectNode txn = Json.parseObject(body);
        late(() -> multi(txn));
      } else if (lostAnswerRate > 0
          && path.equals("/multi")
          && world.random.nextDouble() < lostAnswerRate) {
        ObjectNode txn = Json.parseObject(body);
        if (multi(txn).status() == 200) {
          kinds(txn).forEach(kind -> lostAnswersByPrefix.merge(kind, 1, Integer::sum));
        }
      } else if (maxAnswerDelayMillis > 0) {
        HttpResponse given = now(method, path, body);
        world.after(world.random.nextInt(maxAnswerDelayMillis), () -> answer.accept(given));
      } else {
        answer.accept(now(method, path, body));
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
  private void late(Runnable action) {
    world.after(2_000 + world.random.nextInt(10_000), () -> onceUp(action));
  }

  private void onceUp(Runnable action) {
    if (outage) {
      world.after(1_000, () -> onceUp(action));
    } else {
      action.run();
    }
  }

  private Set<String> kinds(ObjectNode txn) {
    TreeSet<String> kinds = new TreeSet<>();
    for (JsonNode change : txn.get("apply")) {
      boolean remove = change.has("remove");
      String key = inside(change.get(remove ? "remove" : "write").asText(), generationPrefix());
      kinds.add((remove ? "-" : "") + key.substring(0, key.indexOf('/') + 1));
    }
    return kinds;
  }

  private void repeat(ObjectNode txn) {
    boolean effect = multi(txn).status() == 200;
    for (String kind : kinds(txn)) {
      replaysByPrefix.merge(kind, 1, Integer::sum);
      if (effect) {
        effectiveReplaysByPrefix.merge(kind, 1, Integer::sum);
      }
    }
  }

  private HttpResponse now(String method, String path, byte[] body)
      throws MalformedMessageException {
    if (path.startsWith("/keys?")) {
      return list(query(path));
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
      HttpResponse given = multi(txn);
      if (replaysTransactions && given.status() == 200 && !txn.get("apply").isEmpty()) {
        late(() -> repeat(txn));
      }
      return given;
    }
    if (path.equals("/holds")) {
      Lease lease = new Lease();
      lease.life = Json.parseObject(body).get("life_ms").asLong();
      lease.until = world.now().plusMillis(lease.life);
      leases.put(++leaseIds, lease);
      return answer(200, Json.object().put("hold", leaseIds));
    }
    long id = Long.parseLong(path.split("/", 0)[2]);
    Lease lease = leases.get(id);
    if (lease == null) {
      return answer(404, Json.object());
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      lease.until = world.now().plusMillis(lease.life);
    }
    return answer(200, Json.object());
  }

  private static ObjectNode entry(String key, Value value) {
    ObjectNode out = Json.object().put("path", key).put("stamp", value.version);
    if (value.lease != 0) {
      out.put("hold", value.lease);
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
      if (entries.size() == pageSize) {
        more = true;
        break;
      }
      entries.add(entry(found.getKey(), found.getValue()));
    }
    return answer(200, out.put("truncated", more));
  }

  private HttpResponse multi(ObjectNode txn) {
    JsonNode changes = txn.get("apply");
    if (changes.size() > txnOps || txn.get("if").size() > 4 * txnOps) {
      throw new AssertionError("a transaction is too large: " + txn);
    }
    for (JsonNode change : changes) {
      if (change.has("v") && Json.bytes(change.get("v")).length > valueBytes) {
        if (!lowered) {
          throw new AssertionError("the value of " + change.get("write") + " is too large");
        }
        oversizedTransactions++;
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
      this.changesByPrefix.merge(changed.substring(0, changed.indexOf('/') + 1), 1, Integer::sum);
      world.after(0, () -> onChange.accept(changed));
      if (change.has("remove")) {
        remove(change.get("remove").asText());
        continue;
      }
      String key = change.get("write").asText();
      JsonNode value = change.get("v");
      long lease = change.has("hold") ? change.get("hold").asLong() : 0;
      keys.put(key, new Value(value, revision, lease));
      log.add(entryEvent(key, value));
    }
    wake();
    return answer(200, Json.object().put("epoch", revision));
  }

  private ObjectNode entryEvent(String key, JsonNode value) {
    ObjectNode event = Json.object().put("write", key).put("stamp", revision);
    event.set("v", value);
    return event;
  }

  private void follow(Map<String, String> query, Consumer<HttpResponse> answer) {
    long wait = Long.parseLong(query.get("wait_ms"));
    long since = Long.parseLong(query.get("since"));
    if (since < forgotten) {
      answer.accept(answer(410, Json.object().put("epoch", revision)));
      return;
    }
    int from = log.size();
    while (from > 0 && log.get(from - 1).get("stamp").asLong() > since) {
      from--;
    }
    Watch watch = new Watch(query.get("prefix"), from, answer);
    watches.add(watch);
    tryAnswer(watch, false);
    world.after(wait, () -> tryAnswer(watch, true));
  }

  private void trimLog() {
    if (log.size() > 2L * retainedChanges) {
      int over = log.size() - retainedChanges;
      forgotten = log.get(over - 1).get("stamp").asLong();
      log.subList(0, over).clear();
      watches.forEach(watch -> watch.from = Math.max(0, watch.from - over));
    }
  }

  private void wake() {
    trimLog();
    List.copyOf(watches).forEach(w -> tryAnswer(w, false));
  }

  private void tryAnswer(Watch watch, boolean last) {
    if (watch.over || (outage && !last)) {
      return;
    }
    ObjectNode out = Json.object().put("epoch", revision);
    ArrayNode events = out.putArray("log");
    for (; watch.from < log.size(); watch.from++) {
      ObjectNode event = log.get(watch.from);
      JsonNode key = event.has("write") ? event.get("write") : event.get("remove");
      if (key.asText().startsWith(watch.prefix)) {
        events.add(event);
      }
    }
    if (last || !events.isEmpty()) {
      watch.over = true;
      watches.remove(watch);
      watch.answer.accept(answer(200, out));
    }
  }
}
