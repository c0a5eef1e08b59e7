import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol, in memory. */
final class Store implements Http.Handler {
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

  private record Value(Object value, long stamp, long hold) {}

  private static final class Hold {
    long lifeMillis;
    long endsAt;
  }

  private record Change(long stamp, String path, String json) {}

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final double requestRate;
  private final double changeRate;
  private final int valueBytes;
  private final int transactionOps;
  private double requestTokens;
  private double changeTokens;
  private long tokensAt = System.nanoTime();
  private long epoch;
  private long lastHold;
  private long forgottenEpoch;
  long largestFollow;
  long writtenBytes;
  long rejected;

  Store(double rps, double writeRps, double valueKb, int txnOps) {
    this.requestRate = rps;
    this.changeRate = writeRps;
    this.valueBytes = (int) (valueKb * 1024);
    this.transactionOps = txnOps;
    this.requestTokens = rps;
    this.changeTokens = writeRps;
    Http.THREADS.execute(this::expireHolds);
  }

  /** Begins with a later revision, as a service that other software has used before. */
  synchronized void beginAt(long firstEpoch) {
    epoch = firstEpoch;
    forgottenEpoch = firstEpoch;
  }

  private void expireHolds() {
    try {
      while (true) {
        Thread.sleep(20);
        synchronized (this) {
          long now = System.nanoTime();
          for (long id : List.copyOf(holds.keySet())) {
            if (holds.get(id).endsAt < now) {
              endHold(id);
            }
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void endHold(long id) {
    holds.remove(id);
    List<String> attached = new ArrayList<>();
    keys.forEach(
        (key, value) -> {
          if (value.hold == id) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(this::remove);
      notifyAll();
    }
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      record(new Change(epoch, key, Json.write(Json.map("remove", key, "stamp", epoch))));
    }
  }

  private void record(Change change) {
    changes.addLast(change);
    if (changes.size() > KEPT_CHANGES) {
      forgottenEpoch = changes.pollFirst().stamp;
    }
  }

  private boolean takeTokens(int changeCount) {
    long now = System.nanoTime();
    double seconds = (now - tokensAt) / 1e9;
    tokensAt = now;
    requestTokens = Math.min(requestRate, requestTokens + seconds * requestRate);
    changeTokens =
        Math.min(Math.max(changeRate, transactionOps), changeTokens + seconds * changeRate);
    if (requestTokens < 1 || changeTokens < changeCount) {
      rejected++;
      return false;
    }
    requestTokens--;
    changeTokens -= changeCount;
    return true;
  }

  private static Http.Answer ok(Map<String, Object> body) {
    return new Http.Answer(200, Json.write(body));
  }

  private static Map<String, String> query(String path) {
    Map<String, String> found = new HashMap<>();
    for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = pair.indexOf('=');
      found.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return found;
  }

  @Override
  public synchronized Http.Answer handle(String method, String path, String body)
      throws InterruptedException {
    Map<String, Object> transaction = path.equals("/multi") ? Json.object(body) : null;
    int changeCount = transaction == null ? 0 : ((List<?>) transaction.get("apply")).size();
    if (!takeTokens(changeCount)) {
      return new Http.Answer(429, "{\"error\":\"over the limit\"}");
    }
    if (transaction != null) {
      return multi(transaction, body.length());
    }
    if (path.startsWith("/keys/")) {
      String key = path.substring("/keys/".length());
      Value value = keys.get(key);
      return value == null
          ? new Http.Answer(404, Json.write(Json.map("epoch", epoch)))
          : ok(entry(key, value));
    }
    if (path.startsWith("/keys?")) {
      return list(query(path));
    }
    if (path.startsWith("/follow?")) {
      return follow(query(path));
    }
    if (path.equals("/holds")) {
      Hold hold = new Hold();
      hold.lifeMillis = (Long) Json.object(body).get("life_ms");
      hold.endsAt = System.nanoTime() + hold.lifeMillis * 1_000_000;
      holds.put(++lastHold, hold);
      return ok(Json.map("hold", lastHold));
    }
    long id = Long.parseLong(path.split("/")[2]);
    Hold hold = holds.get(id);
    if (hold == null) {
      return new Http.Answer(404, "{}");
    }
    if (method.equals("DELETE")) {
      endHold(id);
    } else {
      hold.endsAt = System.nanoTime() + hold.lifeMillis * 1_000_000;
    }
    return ok(Json.map());
  }

  private static Map<String, Object> entry(String key, Value value) {
    Map<String, Object> out = Json.map("path", key, "v", value.value, "stamp", value.stamp);
    if (value.hold != 0) {
      out.put("hold", value.hold);
    }
    return out;
  }

  private Http.Answer list(Map<String, String> query) {
    String prefix = query.get("prefix");
    String since = query.getOrDefault("since", "");
    int page = Math.min(1_000, Integer.parseInt(query.getOrDefault("page", "1000")));
    List<Object> entries = new ArrayList<>();
    boolean truncated = false;
    int bytes = 0;
    for (Map.Entry<String, Value> each : keys.tailMap(prefix, true).entrySet()) {
      if (!each.getKey().startsWith(prefix)) {
        break;
      }
      if (each.getKey().compareTo(since) <= 0) {
        continue;
      }
      Map<String, Object> entry = entry(each.getKey(), each.getValue());
      bytes += Json.write(entry).length();
      if (entries.size() == page || bytes > 500 * 1024) {
        truncated = true;
        break;
      }
      entries.add(entry);
    }
    return ok(Json.map("entries", entries, "truncated", truncated, "epoch", epoch));
  }

  private Http.Answer follow(Map<String, String> query) throws InterruptedException {
    String prefix = query.get("prefix");
    long since = Long.parseLong(query.get("since"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    if (since < forgottenEpoch) {
      return new Http.Answer(410, Json.write(Json.map("epoch", epoch)));
    }
    while (true) {
      StringBuilder log = new StringBuilder();
      for (Change change : changes) {
        if (change.stamp > since && change.path.startsWith(prefix)) {
          log.append(log.length() == 0 ? "" : ",").append(change.json);
        }
      }
      long left = until - System.nanoTime();
      if (log.length() > 0 || left <= 0) {
        largestFollow = Math.max(largestFollow, log.length());
        return new Http.Answer(200, "{\"epoch\":" + epoch + ",\"log\":[" + log + "]}");
      }
      wait(left / 1_000_000 + 1);
    }
  }

  @SuppressWarnings("unchecked")
  private Http.Answer multi(Map<String, Object> transaction, int bytes) {
    List<Map<String, Object>> conditions = (List<Map<String, Object>>) transaction.get("if");
    List<Map<String, Object>> apply = (List<Map<String, Object>>) transaction.get("apply");
    if (apply.size() > transactionOps
        || conditions.size() > 4 * transactionOps
        || bytes > MAX_TRANSACTION_BYTES) {
      return new Http.Answer(400, "{\"error\":\"too large\"}");
    }
    for (Map<String, Object> change : apply) {
      if (change.containsKey("v") && Json.write(change.get("v")).length() > valueBytes) {
        return new Http.Answer(400, "{\"error\":\"too large\"}");
      }
      if (change.get("hold") != null && !holds.containsKey((Long) change.get("hold"))) {
        return new Http.Answer(400, "{\"error\":\"no such lease\"}");
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : conditions) {
      Value value = keys.get((String) condition.get("path"));
      if ((value == null ? 0 : value.stamp) != (Long) condition.get("stamp")) {
        failed.add(condition.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      return new Http.Answer(409, Json.write(Json.map("failed", failed, "epoch", epoch)));
    }
    if (apply.isEmpty()) {
      return ok(Json.map("epoch", epoch));
    }
    epoch++;
    for (Map<String, Object> change : apply) {
      if (change.containsKey("remove")) {
        remove((String) change.get("remove"));
        continue;
      }
      String key = (String) change.get("write");
      Object value = change.get("v");
      long hold = change.get("hold") == null ? 0 : (Long) change.get("hold");
      keys.put(key, new Value(value, epoch, hold));
      String json = Json.write(Json.map("write", key, "v", value, "stamp", epoch));
      writtenBytes += json.length();
      record(new Change(epoch, key, json));
    }
    notifyAll();
    return ok(Json.map("epoch", epoch));
  }

  synchronized Object value(String key) {
    Value value = keys.get(key);
    return value == null ? null : value.value;
  }

  synchronized int count(String prefix) {
    return (int) keys.keySet().stream().filter(key -> key.startsWith(prefix)).count();
  }
}
