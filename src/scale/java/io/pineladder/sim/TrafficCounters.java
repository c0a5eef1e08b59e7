package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.util.Map;
import java.util.TreeMap;

/** Counts messages and the sizes of their bodies by kind; headers are not counted. */
final class TrafficCounters {
  /** The counts of one kind of message. */
  static final class Counter {
    long messages;
    long requestBytes;
    long answerBytes;
  }

  private final Map<String, Counter> counters = new TreeMap<>();

  private Counter counter(String direction, String path) {
    return counters.computeIfAbsent(direction + kindOf(path), kind -> new Counter());
  }

  /** Derives the kind of a request from its path, without identifiers and query parameters. */
  private static String kindOf(String path) {
    if (path.startsWith("/v1/jobs")) {
      return path.endsWith("/cancel") ? "cancel" : path.length() > 9 ? "poll" : "submit";
    }
    String plain = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
    String[] words = plain.split("/", 0);
    String last =
        words.length > 2 && words[1].equals("v1") ? words[2] : words.length > 1 ? words[1] : plain;
    return path.contains("?") ? last + "?" : last;
  }

  void requestSent(String path, int bytes) {
    Counter counter = counter("out ", path);
    counter.messages++;
    counter.requestBytes += bytes;
  }

  void responseReceived(String path, int bytes) {
    counter("out ", path).answerBytes += bytes;
  }

  void requestReceived(String path, int bytes) {
    Counter counter = counter("in ", path);
    counter.messages++;
    counter.requestBytes += bytes;
  }

  void responseSent(String path, int bytes) {
    counter("in ", path).answerBytes += bytes;
  }

  /** Adds the counts of another process. */
  void add(ObjectNode counted) {
    counted
        .properties()
        .forEach(
            each -> {
              Counter counter = counters.computeIfAbsent(each.getKey(), kind -> new Counter());
              counter.messages += each.getValue().get("messages").asLong();
              counter.requestBytes += each.getValue().get("request_bytes").asLong();
              counter.answerBytes += each.getValue().get("answer_bytes").asLong();
            });
  }

  void clear() {
    counters.clear();
  }

  ObjectNode json() {
    ObjectNode out = Json.object();
    counters.forEach(
        (kind, counter) ->
            out.putObject(kind)
                .put("messages", counter.messages)
                .put("request_bytes", counter.requestBytes)
                .put("answer_bytes", counter.answerBytes));
    return out;
  }
}
