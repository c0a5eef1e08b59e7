package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.util.Map;
import java.util.TreeMap;

/** Counts messages and the bytes of their bodies, by kind; headers are left out. */
final class Traffic {
  /** What passed of one kind. */
  static final class Counter {
    long messages;
    long requestBytes;
    long answerBytes;
  }

  private final Map<String, Counter> counters = new TreeMap<>();

  private Counter of(String direction, String path) {
    return counters.computeIfAbsent(direction + kind(path), kind -> new Counter());
  }

  /** The kind of a request by its path: the path's first words, without names and queries. */
  private static String kind(String path) {
    if (path.startsWith("/v1/jobs")) {
      return path.endsWith("/cancel") ? "cancel" : path.length() > 9 ? "poll" : "submit";
    }
    String plain = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
    String[] words = plain.split("/", 0);
    String last =
        words.length > 2 && words[1].equals("v1") ? words[2] : words.length > 1 ? words[1] : plain;
    return path.contains("?") ? last + "?" : last;
  }

  void sent(String path, int bytes) {
    Counter counter = of("out ", path);
    counter.messages++;
    counter.requestBytes += bytes;
  }

  void replied(String path, int bytes) {
    of("out ", path).answerBytes += bytes;
  }

  void received(String path, int bytes) {
    Counter counter = of("in ", path);
    counter.messages++;
    counter.requestBytes += bytes;
  }

  void answered(String path, int bytes) {
    of("in ", path).answerBytes += bytes;
  }

  /** Adds what another process has counted. */
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
