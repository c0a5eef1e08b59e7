package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.wire.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One compare-and-swap transaction of the leader, from its assembly until its outcome is known. Its
 * body never changes, so that a copy without a reply excludes every other copy.
 */
final class PendingTransaction {
  private final List<Mutation> mutations = new ArrayList<>();
  private final Map<String, JsonNode> values = new HashMap<>();

  /** Changed pages of jobs, each with what the mutations change there. */
  private final Map<JobPage, List<JobPageEdit>> pageEdits = new LinkedHashMap<>();

  private byte[] body;
  private boolean ambiguous;
  private long highestRevisionWhenSent;

  /** The mutations that are carried out together, in the order in which they were taken. */
  List<Mutation> mutations() {
    return mutations;
  }

  /** The new value of each key; a null value deletes the key. */
  Map<String, JsonNode> values() {
    return values;
  }

  /** The changed pages of jobs with their edits. */
  Map<JobPage, List<JobPageEdit>> pageEdits() {
    return pageEdits;
  }

  /** The encoded request, the same for each attempt. */
  byte[] body() {
    return body;
  }

  /** Called once, when nothing more is added. */
  void setBody(byte[] encoded) {
    body = encoded;
  }

  /** Whether a copy of it was sent whose outcome is unknown. */
  boolean isAmbiguous() {
    return ambiguous;
  }

  /** A copy was sent and may have been executed, or may be yet. */
  void markAmbiguous() {
    ambiguous = true;
  }

  /** It is known that no copy was executed. */
  void markNotExecuted() {
    ambiguous = false;
  }

  /** The highest revision of the store that was known when it was sent last. */
  long highestRevisionWhenSent() {
    return highestRevisionWhenSent;
  }

  /** It is being sent while this revision is the highest known one. */
  void markSent(long highestRevision) {
    highestRevisionWhenSent = highestRevision;
  }

  /** Whether it writes or deletes the key. */
  boolean changes(String key) {
    return values.containsKey(key);
  }

  /** Whether a value is larger than the limit, in bytes of JSON. */
  boolean hasValueLargerThan(int valueBytes) {
    return values.values().stream()
        .anyMatch(value -> value != null && Json.bytes(value).length > valueBytes);
  }

  /**
   * A key whose revision shows whether the transaction was executed. A deletion leaves no revision
   * to compare, so it is chosen only if there is nothing else.
   */
  String evidenceKey() {
    String chosen = null;
    for (Map.Entry<String, JsonNode> change : values.entrySet()) {
      chosen = chosen == null || change.getValue() != null ? change.getKey() : chosen;
    }
    return chosen;
  }
}
