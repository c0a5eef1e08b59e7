import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A state service as the protocol describes it. Every controller has an address of its own, so that
 * one of them alone can be refused.
 */
final class StateService {
  private record Value(JsonNode value, long stamp, long hold) {}

  private static final class Hold {
    long endsAtMillis;
    long lifeMillis;
  }

  private record Watch(int client, String prefix, long since, long endsAtMillis, HttpExchange exchange) {}

  private static final int KEPT_CHANGES = 10_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<ObjectNode> log = new ArrayList<>();
  private long droppedUpTo;
  private final List<Watch> watches = new ArrayList<>();
  private long epoch;
  private long lastHold;
  private final double rps;
  private final double writeRps;
  private final int txnOps;
  private final int valueBytes;
  private double requestTokens;
  private double writeTokens;
  private long refilledAt = System.nanoTime();
  private final boolean[] refused;
  private final ScheduledExecutorService timer;

  private static final int LATE_SECONDS = 11;
  private String heldPrefix;
  /** The status of the transaction that was carried out late. */
  volatile int lateStatus;

  long requests;
  long overLimit;
  long changes;
  long changedBytes;
  final long[] largestFollow;

  StateService(double rps, double writeRps, int txnOps, double valueKb, int clients, ScheduledExecutorService timer) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.txnOps = txnOps;
    this.valueBytes = (int) (valueKb * 1024);
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    this.refused = new boolean[clients];
    this.largestFollow = new long[clients];
    this.timer = timer;
    timer.scheduleAtFixedRate(this::tick, 20, 20, TimeUnit.MILLISECONDS);
  }

  /** From now on this controller alone gets 503, or no longer does. */
  synchronized void refuse(int client, boolean on) {
    refused[client] = on;
  }

  /** The name of the controller that holds the leader's key, or null. */
  synchronized String leader() {
    Value found = keys.get("lead/holder");
    return found == null ? null : found.value.path("member").asText();
  }

  synchronized JsonNode value(String key) {
    Value found = keys.get(key);
    return found == null ? null : found.value;
  }

  private synchronized void tick() {
    try {
      long now = System.currentTimeMillis();
      for (Long id : List.copyOf(holds.keySet())) {
        if (holds.get(id).endsAtMillis < now) {
          endHold(id);
        }
      }
      for (Watch watch : List.copyOf(watches)) {
        if (watch.endsAtMillis <= now && !refused[watch.client]) {
          watches.remove(watch);
          answerWatch(watch);
        }
      }
    } catch (RuntimeException e) {
      e.printStackTrace();
    }
  }

  private void endHold(long id) {
    holds.remove(id);
    List<String> attached = new ArrayList<>();
    keys.forEach((key, value) -> {
      if (value.hold == id) {
        attached.add(key);
      }
    });
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(this::remove);
      wakeWatches();
    }
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      addToLog(JSON.createObjectNode().put("remove", key).put("stamp", epoch));
    }
  }

  private void addToLog(ObjectNode change) {
    log.add(change);
    if (log.size() > 2 * KEPT_CHANGES) {
      droppedUpTo = log.get(log.size() - KEPT_CHANGES - 1).get("stamp").asLong();
      log.subList(0, log.size() - KEPT_CHANGES).clear();
    }
  }

  void handle(int client, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().toString();
    if (path.startsWith("/follow?")) {
      follow(client, exchange);
      return;
    }
    if (isHeld(path, body)) {
      timer.schedule(() -> executeLate(client, exchange, path, body), LATE_SECONDS, TimeUnit.SECONDS);
      return;
    }
    Object[] answer = answer(client, exchange.getRequestMethod(), path, body);
    Http.answer(exchange, (int) answer[0], JSON.writeValueAsBytes((JsonNode) answer[1]));
  }

  /** The next transaction that writes such a key gets no answer and is carried out late. */
  synchronized void holdNext(String prefix) {
    heldPrefix = prefix;
  }

  private synchronized boolean isHeld(String path, byte[] body) throws IOException {
    if (heldPrefix == null || !path.equals("/multi")) {
      return false;
    }
    for (JsonNode change : JSON.readTree(body).path("apply")) {
      if (change.path("write").asText("").startsWith(heldPrefix)) {
        heldPrefix = null;
        return true;
      }
    }
    return false;
  }

  private void executeLate(int client, HttpExchange exchange, String path, byte[] body) {
    try {
      Object[] late = answer(client, "POST", path, body);
      lateStatus = (int) late[0];
      exchange.close();
    } catch (IOException e) {
      // The controller has given the connection up.
    }
  }

  private static Object[] answer(int status, JsonNode body) {
    return new Object[] {status, body};
  }

  private static ObjectNode error(String text) {
    return JSON.createObjectNode().put("error", text);
  }

  private boolean overLimit(int writes) {
    long now = System.nanoTime();
    double seconds = (now - refilledAt) / 1e9;
    refilledAt = now;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(Math.max(writeRps, txnOps), writeTokens + seconds * writeRps);
    requests++;
    if (requestTokens < 1 || (writes > 0 && writeTokens < writes)) {
      overLimit++;
      return true;
    }
    requestTokens--;
    writeTokens -= writes;
    return false;
  }

  private synchronized Object[] answer(int client, String method, String path, byte[] body) throws IOException {
    if (refused[client]) {
      return answer(503, error("unavailable"));
    }
    JsonNode request = body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
    if (overLimit(path.equals("/multi") ? request.path("apply").size() : 0)) {
      return answer(429, error("over the limit"));
    }
    if (path.startsWith("/keys?")) {
      return list(Http.query(path));
    }
    if (path.startsWith("/keys/")) {
      String key = path.substring("/keys/".length());
      Value found = keys.get(key);
      return found == null
          ? answer(404, JSON.createObjectNode().put("epoch", epoch))
          : answer(200, entry(key, found));
    }
    if (path.equals("/multi")) {
      return multi(request, body.length);
    }
    if (path.equals("/holds")) {
      Hold hold = new Hold();
      hold.lifeMillis = request.get("life_ms").asLong();
      hold.endsAtMillis = System.currentTimeMillis() + hold.lifeMillis;
      holds.put(++lastHold, hold);
      return answer(200, JSON.createObjectNode().put("hold", lastHold));
    }
    long id = Long.parseLong(path.split("/")[2]);
    Hold hold = holds.get(id);
    if (hold == null) {
      return answer(404, JSON.createObjectNode());
    }
    if (method.equals("DELETE")) {
      endHold(id);
    } else {
      hold.endsAtMillis = System.currentTimeMillis() + hold.lifeMillis;
    }
    return answer(200, JSON.createObjectNode());
  }

  private static ObjectNode entry(String key, Value value) {
    ObjectNode out = JSON.createObjectNode().put("path", key).put("stamp", value.stamp);
    if (value.hold != 0) {
      out.put("hold", value.hold);
    }
    out.set("v", value.value);
    return out;
  }

  private Object[] list(Map<String, String> query) throws IOException {
    String prefix = query.getOrDefault("prefix", "");
    String since = query.getOrDefault("since", "");
    int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
    ObjectNode out = JSON.createObjectNode();
    ArrayNode entries = out.putArray("entries");
    boolean truncated = false;
    long bytes = 0;
    boolean inside = since.compareTo(prefix) > 0;
    for (Map.Entry<String, Value> found : keys.tailMap(inside ? since : prefix, !inside).entrySet()) {
      if (!found.getKey().startsWith(prefix)) {
        break;
      }
      ObjectNode entry = entry(found.getKey(), found.getValue());
      bytes += JSON.writeValueAsBytes(entry).length;
      if (entries.size() == page || (bytes > 512 * 1024 && !entries.isEmpty())) {
        truncated = true;
        break;
      }
      entries.add(entry);
    }
    return answer(200, out.put("truncated", truncated).put("epoch", epoch));
  }

  private Object[] multi(JsonNode request, int length) throws IOException {
    JsonNode apply = request.path("apply");
    if (apply.size() > txnOps || request.path("if").size() > 4 * txnOps || length > 64 * 1024) {
      return answer(400, error("too large"));
    }
    for (JsonNode change : apply) {
      if (change.has("v") && JSON.writeValueAsBytes(change.get("v")).length > valueBytes) {
        return answer(400, error("value too large"));
      }
      if (change.has("hold") && !holds.containsKey(change.get("hold").asLong())) {
        return answer(400, error("no such lease"));
      }
    }
    ArrayNode failed = JSON.createArrayNode();
    for (JsonNode condition : request.path("if")) {
      Value found = keys.get(condition.get("path").asText());
      if ((found == null ? 0 : found.stamp) != condition.get("stamp").asLong()) {
        failed.add(condition.get("path").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode out = JSON.createObjectNode().put("epoch", epoch);
      out.set("failed", failed);
      return answer(409, out);
    }
    if (apply.isEmpty()) {
      return answer(200, JSON.createObjectNode().put("epoch", epoch));
    }
    epoch++;
    for (JsonNode change : apply) {
      changes++;
      if (change.has("remove")) {
        remove(change.get("remove").asText());
        continue;
      }
      String key = change.get("write").asText();
      JsonNode value = change.get("v");
      changedBytes += JSON.writeValueAsBytes(value).length;
      keys.put(key, new Value(value, epoch, change.path("hold").asLong(0)));
      ObjectNode event = JSON.createObjectNode().put("write", key).put("stamp", epoch);
      event.set("v", value);
      addToLog(event);
    }
    wakeWatches();
    return answer(200, JSON.createObjectNode().put("epoch", epoch));
  }

  private void follow(int client, HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange.getRequestURI().toString());
    String prefix = query.getOrDefault("prefix", "");
    long since = Long.parseLong(query.get("since"));
    long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
    byte[] out;
    int status = 200;
    synchronized (this) {
      if (refused[client]) {
        status = 503;
        out = JSON.writeValueAsBytes(error("unavailable"));
      } else if (overLimit(0)) {
        status = 429;
        out = JSON.writeValueAsBytes(error("over the limit"));
      } else if (since < droppedUpTo) {
        status = 410;
        out = JSON.writeValueAsBytes(JSON.createObjectNode().put("epoch", epoch));
      } else if (wait > 0 && !hasChange(prefix, since)) {
        watches.add(new Watch(client, prefix, since, System.currentTimeMillis() + wait, exchange));
        return;
      } else {
        out = JSON.writeValueAsBytes(changes(prefix, since));
        largestFollow[client] = Math.max(largestFollow[client], out.length);
      }
    }
    Http.answer(exchange, status, out);
  }

  private boolean hasChange(String prefix, long since) {
    for (int i = log.size() - 1; i >= 0 && log.get(i).get("stamp").asLong() > since; i--) {
      if (key(log.get(i)).startsWith(prefix)) {
        return true;
      }
    }
    return false;
  }

  private static String key(ObjectNode change) {
    return change.has("write") ? change.get("write").asText() : change.get("remove").asText();
  }

  private ObjectNode changes(String prefix, long since) {
    int from = log.size();
    while (from > 0 && log.get(from - 1).get("stamp").asLong() > since) {
      from--;
    }
    ObjectNode out = JSON.createObjectNode().put("epoch", epoch);
    ArrayNode list = out.putArray("log");
    for (ObjectNode change : log.subList(from, log.size())) {
      if (key(change).startsWith(prefix)) {
        list.add(change);
      }
    }
    return out;
  }

  private void wakeWatches() {
    for (Watch watch : List.copyOf(watches)) {
      if (!refused[watch.client] && hasChange(watch.prefix, watch.since)) {
        watches.remove(watch);
        answerWatch(watch);
      }
    }
  }

  private void answerWatch(Watch watch) {
    ObjectNode out = changes(watch.prefix, watch.since);
    timer.execute(() -> {
      try {
        Http.answer(watch.exchange, 200, JSON.writeValueAsBytes(out));
      } catch (IOException e) {
        // The controller is gone.
      }
    });
  }
}
