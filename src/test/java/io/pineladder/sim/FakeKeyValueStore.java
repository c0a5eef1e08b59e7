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
import java.util.function.UnaryOperator;

/** An in-memory key-value store with transactions, leases, watches and injected faults. */
final class FakeKeyValueStore implements AsyncHttpHandler {
  private record Value(JsonNode value, long version, long leaseId) {}

  private static final class Lease {
    Instant expiresAt;
    long ttlMillis;
  }

  private static final class Watch {
    final String prefix;
    final Consumer<HttpResponse> answer;

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

  /**
   * Whether limits were lowered; oversized values are then rejected instead of failing the test.
   */
  private boolean limitsLowered;

  /** The number of transactions rejected because a value exceeds the lowered limit. */
  int oversizedTransactions;

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<ObjectNode> changeLog = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long lastLeaseId;
  boolean outage;

  /** The fraction of transactions that get no answer and are executed 2 to 12 s late. */
  double delayedTransactionRate;

  /** The fraction of transactions that are executed at once but get no answer. */
  double lostAnswerRate;

  /**
   * The number of successful transactions whose answer was lost, by the key prefixes they change.
   */
  final Map<String, Integer> lostAnswersByPrefix = new TreeMap<>();

  /** Called with each key that a transaction has changed. */
  Consumer<String> onChange = key -> {};

  /** Whether each successful transaction is executed a second time 2 to 12 s later. */
  boolean replaysTransactions;

  /** The number of transactions executed a second time, by the key prefixes they change. */
  final Map<String, Integer> replaysByPrefix = new TreeMap<>();

  /**
   * The number of transactions whose second execution succeeded, by the key prefixes they change.
   */
  final Map<String, Integer> effectiveReplaysByPrefix = new TreeMap<>();

  /** Limits the rate of requests, if set; requests over a limit are answered with 429. */
  TokenBucket requestLimit;

  /** Limits the rate of changes in transactions; set together with the limit on requests. */
  TokenBucket changeLimit;

  /** The number of requests answered with 429. */
  int rateLimitedRequests;

  /** Maximum entries in one page of a listing; small, so that every test reads several pages. */
  int pageSize = 20;

  /** How many changes are kept for watches when the log is compacted; 10,000 in the protocol. */
  int retainedChanges = Integer.MAX_VALUE;

  /** The revision up to which the log was compacted. */
  private long compactedRevision;

  /** Answers are delayed at random by less than this; 0 for no delay. */
  int maxAnswerDelayMillis;

  /** The number of writes and removals so far, by key prefix. */
  final Map<String, Integer> changesByPrefix = new HashMap<>();

  /** The number of requests so far, including rejected ones. */
  int requestCount;

  FakeKeyValueStore(SimulatedWorld world, int txnOps, int valueBytes) {
    this.world = world;
    this.maxTxnOps = txnOps;
    this.maxValueBytes = valueBytes;
    expireLeases();
  }

  /** Lowers the limits from now on; stored values are kept. */
  void lowerLimits(int nextTxnOps, int nextValueBytes, double changesPerSecond) {
    limitsLowered = true;
    maxTxnOps = nextTxnOps;
    maxValueBytes = nextValueBytes;
    requestLimit = new TokenBucket(100, 100, world.now());
    changeLimit = new TokenBucket(changesPerSecond, changesPerSecond, world.now());
  }

  /** The keys of stored values that exceed the current size limit. */
  List<String> oversizedKeys() {
    return keys.entrySet().stream()
        .filter(entry -> Json.bytes(entry.getValue().value).length > maxValueBytes)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** The key prefix of the current generation. */
  String generationPrefix() {
    long base = generationBase();
    return base == 0 ? "" : "g" + base + "/";
  }

  /** The base of the current generation; 0 for the first one. */
  long generationBase() {
    Value current = keys.get("generation/current");
    return current == null ? 0 : current.value.get("base").asLong();
  }

  /** Damages one value with this prefix once the next generation is completely written. */
  void damageNextGeneration(String prefix, UnaryOperator<JsonNode> damage) {
    Consumer<String> previous = onChange;
    long base = generationBase();
    boolean[] done = {false};
    onChange =
        key -> {
          Value current = keys.get("generation/current");
          if (!done[0] && generationBase() > base && current.value.path("whole").asBoolean()) {
            done[0] = true;
            replaceValue(prefix, damage);
          }
          previous.accept(key);
        };
  }

  /** Stores a value before the first request. */
  void prepare(String key, JsonNode value) {
    keys.put(key, new Value(value, ++revision, 0));
  }

  JsonNode value(String key) {
    Value found = keys.get(generationPrefix() + key);
    return found == null ? null : found.value;
  }

  int countKeys(String prefix) {
    String fullPrefix = generationPrefix() + prefix;
    return (int) keys.keySet().stream().filter(k -> k.startsWith(fullPrefix)).count();
  }

  /** Whether the placement of this task attempt on this machine is stored. */
  boolean hasPlacement(String machine, String taskId, long attempt) {
    String pagePrefix = generationPrefix() + "placed/";
    for (Value page : keys.subMap(pagePrefix, pagePrefix + Character.MAX_VALUE).values()) {
      for (JsonNode entry : page.value.path("entries")) {
        if (entry.get(0).asText().equals(machine)
            && (entry.get(5).asText() + "/" + entry.get(6).asText()).equals(taskId)
            && entry.get(7).asLong() == attempt) {
          return true;
        }
      }
    }
    return false;
  }

  /** How many keys do not belong to the current generation. */
  int countKeysOutsideGeneration() {
    String prefix = generationPrefix();
    return (int) keys.keySet().stream().filter(k -> !k.startsWith(prefix)).count();
  }

  /** Ordered from the oldest to the newest. */
  private final List<Backup> backups = new ArrayList<>();

  private record Backup(Instant takenAt, TreeMap<String, Value> keys, long revision) {}

  /** Takes a backup now and every second from now on. */
  void startBackups() {
    backups.add(new Backup(world.now(), new TreeMap<>(keys), revision));
    world.after(1_000, this::startBackups);
  }

  /** Deletes all data and restarts revisions and lease numbers, as in a new installation. */
  void loseEverything() {
    keys.clear();
    leases.clear();
    changeLog.clear();
    watches.forEach(w -> w.nextLogIndex = 0);
    revision = 0;
    lastLeaseId = 0;
  }

  /**
   * Replaces all data by the newest backup of at least this age.
   *
   * @param withLeases whether leases are renewed; otherwise they are dropped with their keys
   */
  void restoreBackup(Duration age, boolean withLeases) {
    Instant latest = world.now().minus(age);
    Backup found = backups.get(0);
    for (Backup backup : backups) {
      found = backup.takenAt.isAfter(latest) ? found : backup;
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

  /** Deletes all keys with this prefix without any change event. */
  void losePrefix(String prefix) {
    String fullPrefix = generationPrefix() + prefix;
    keys.keySet().removeIf(key -> key.startsWith(fullPrefix));
  }

  /** Makes one random value with this prefix unreadable without changing its revision. */
  void corruptValue(String prefix) {
    replaceValue(prefix, old -> Json.object().put("entries", "?"));
  }

  /**
   * Replaces one random value with this prefix under its old revision.
   *
   * @return the key without the generation, or null if there is none with the prefix
   */
  String replaceValue(String prefix, UnaryOperator<JsonNode> damage) {
    String generation = generationPrefix();
    List<String> candidates =
        keys.keySet().stream().filter(k -> k.startsWith(generation + prefix)).toList();
    if (candidates.isEmpty()) {
      return null;
    }
    String key = candidates.get(world.random.nextInt(candidates.size()));
    keys.computeIfPresent(
        key, (k, old) -> new Value(damage.apply(old.value.deepCopy()), old.version, old.leaseId));
    return key.substring(generation.length());
  }

  /** The stored final states by job ID. */
  Map<String, String> finalStates() {
    Map<String, String> found = new TreeMap<>();
    String prefix = generationPrefix();
    keys.forEach(
        (fullKey, value) -> {
          String key = withoutPrefix(fullKey, prefix);
          if (key.startsWith("end/")) {
            found.put(key.substring("end/".length()), value.value.toString());
          }
        });
    return found;
  }

  /** The IDs of all jobs that a new leader would load, from pages and from single records. */
  Set<String> jobIds() {
    Set<String> found = pagedJobIds();
    String prefix = generationPrefix();
    for (String fullKey : keys.keySet()) {
      String key = withoutPrefix(fullKey, prefix);
      if (key.startsWith("job/")) {
        found.add(key.substring("job/".length()));
      }
    }
    return found;
  }

  /** The IDs of all jobs with a record in a page. */
  Set<String> pagedJobIds() {
    Set<String> found = new TreeSet<>();
    String prefix = generationPrefix();
    keys.forEach(
        (fullKey, value) -> {
          if (withoutPrefix(fullKey, prefix).startsWith("accepted/")) {
            value.value.get("entries").forEach(e -> found.add(e.at("/spec/ref").asText()));
          }
        });
    return found;
  }

  /** The key without the prefix, or an empty string if the key does not start with the prefix. */
  private static String withoutPrefix(String key, String prefix) {
    return key.startsWith(prefix) ? key.substring(prefix.length()) : "";
  }

  /** Ends an outage and renews all leases. */
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

  /** Ends all leases, as if none had been renewed in time. */
  void endAllLeases() {
    List.copyOf(leases.keySet()).forEach(this::endLease);
  }

  private void endLease(long leaseId) {
    leases.remove(leaseId);
    List<String> attached =
        keys.entrySet().stream()
            .filter(e -> e.getValue().leaseId == leaseId)
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
    for (String parameter : path.substring(path.indexOf('?') + 1).split("&", 0)) {
      int separator = parameter.indexOf('=');
      found.put(parameter.substring(0, separator), parameter.substring(separator + 1));
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
        openWatch(queryParameters(path), answer);
      } else if (delayedTransactionRate > 0
          && path.equals("/multi")
          && world.random.nextDouble() < delayedTransactionRate) {
        ObjectNode txn = Json.parseObject(body);
        runDelayed(() -> executeTransaction(txn));
      } else if (lostAnswerRate > 0
          && path.equals("/multi")
          && world.random.nextDouble() < lostAnswerRate) {
        ObjectNode txn = Json.parseObject(body);
        if (executeTransaction(txn).status() == 200) {
          changedPrefixes(txn)
              .forEach(prefix -> lostAnswersByPrefix.merge(prefix, 1, Integer::sum));
        }
      } else if (maxAnswerDelayMillis > 0) {
        HttpResponse response = execute(method, path, body);
        world.after(world.random.nextInt(maxAnswerDelayMillis), () -> answer.accept(response));
      } else {
        answer.accept(execute(method, path, body));
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(
          "malformed request to the store: " + new String(body, StandardCharsets.UTF_8), e);
    }
  }

  /** Whether the request exceeds a rate limit; if not, consumes its tokens. */
  private boolean isOverLimit(String path, byte[] body) {
    if (requestLimit == null) {
      return false;
    }
    Instant now = world.now();
    int changeCount = 0;
    try {
      changeCount = path.equals("/multi") ? Json.parseObject(body).get("apply").size() : 0;
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
    if (requestLimit.available(now) < 1 || changeLimit.available(now) < changeCount) {
      return true;
    }
    requestLimit.consume(1, now);
    changeLimit.consume(changeCount, now);
    return false;
  }

  /** Runs the action 2 to 12 s later; during an outage it waits until the outage ends. */
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
    TreeSet<String> prefixes = new TreeSet<>();
    for (JsonNode change : txn.get("apply")) {
      boolean remove = change.has("remove");
      String key =
          withoutPrefix(change.get(remove ? "remove" : "write").asText(), generationPrefix());
      prefixes.add((remove ? "-" : "") + key.substring(0, key.indexOf('/') + 1));
    }
    return prefixes;
  }

  private void replay(ObjectNode txn) {
    boolean succeeded = executeTransaction(txn).status() == 200;
    for (String prefix : changedPrefixes(txn)) {
      replaysByPrefix.merge(prefix, 1, Integer::sum);
      if (succeeded) {
        effectiveReplaysByPrefix.merge(prefix, 1, Integer::sum);
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
      HttpResponse response = executeTransaction(txn);
      if (replaysTransactions && response.status() == 200 && !txn.get("apply").isEmpty()) {
        runDelayed(() -> replay(txn));
      }
      return response;
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
    boolean truncated = false;
    String prefix = query.get("prefix");
    String since = query.getOrDefault("since", "");
    // The map is sorted, so keys with the same prefix are adjacent.
    boolean startsInside = since.compareTo(prefix) > 0;
    for (var found : keys.tailMap(startsInside ? since : prefix, !startsInside).entrySet()) {
      if (!found.getKey().startsWith(prefix)) {
        break;
      }
      if (entries.size() == pageSize) {
        truncated = true;
        break;
      }
      entries.add(entry(found.getKey(), found.getValue()));
    }
    return answer(200, out.put("truncated", truncated));
  }

  private HttpResponse executeTransaction(ObjectNode txn) {
    JsonNode changes = txn.get("apply");
    if (changes.size() > maxTxnOps || txn.get("if").size() > 4 * maxTxnOps) {
      throw new AssertionError("transaction has too many operations or conditions: " + txn);
    }
    for (JsonNode change : changes) {
      if (change.has("v") && Json.bytes(change.get("v")).length > maxValueBytes) {
        if (!limitsLowered) {
          throw new AssertionError("value of " + change.get("write") + " exceeds the size limit");
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
    if (changeLog.size() > 2L * retainedChanges) {
      int excess = changeLog.size() - retainedChanges;
      compactedRevision = changeLog.get(excess - 1).get("stamp").asLong();
      changeLog.subList(0, excess).clear();
      watches.forEach(watch -> watch.nextLogIndex = Math.max(0, watch.nextLogIndex - excess));
    }
  }

  private void answerWatches() {
    compactLog();
    List.copyOf(watches).forEach(w -> answerIfReady(w, false));
  }

  private void answerIfReady(Watch watch, boolean timedOut) {
    if (watch.answered || (outage && !timedOut)) {
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
    if (timedOut || !events.isEmpty()) {
      watch.answered = true;
      watches.remove(watch);
      watch.answer.accept(answer(200, out));
    }
  }
}
