package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.wire.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A compare-and-swap transaction of the leader, from its assembly until its outcome is known. Its
 * body never changes, so that at most one of the copies sent is executed.
 */
final class PendingTransaction {
  private final List<Mutation> mutations = new ArrayList<>();
  private final Map<String, JsonNode> values = new HashMap<>();

  private final Map<JobPage, List<JobPageEdit>> pageEdits = new LinkedHashMap<>();

  private byte[] body;
  private boolean ambiguous;
  private long highestRevisionWhenSent;

  /** The mutations in the transaction, in the order in which they were added. */
  List<Mutation> mutations() {
    return mutations;
  }

  /** The new value of each key; a null value deletes the key. */
  Map<String, JsonNode> values() {
    return values;
  }

  /** The changed job pages with their edits. */
  Map<JobPage, List<JobPageEdit>> pageEdits() {
    return pageEdits;
  }

  /** The encoded request, identical for each copy. */
  byte[] body() {
    return body;
  }

  /** Sets the encoded request; called once, after the last addition. */
  void setBody(byte[] encoded) {
    body = encoded;
  }

  /** Whether a copy was sent whose outcome is unknown. */
  boolean isAmbiguous() {
    return ambiguous;
  }

  /** Notes that a copy was sent that may have been executed or may still be. */
  void markAmbiguous() {
    ambiguous = true;
  }

  /** Notes that no copy was executed. */
  void markNotExecuted() {
    ambiguous = false;
  }

  /** The highest known revision of the store when the last copy was sent. */
  long highestRevisionWhenSent() {
    return highestRevisionWhenSent;
  }

  /** Notes that a copy is sent while this is the highest known revision. */
  void markSent(long highestRevision) {
    highestRevisionWhenSent = highestRevision;
  }

  /** The keys that the transaction writes or deletes. */
  Set<String> changedKeys() {
    return values.keySet();
  }

  /** Whether the transaction writes or deletes the key. */
  boolean changesKey(String key) {
    return values.containsKey(key);
  }

  /** Whether an encoded value exceeds the limit. */
  boolean hasValueLargerThan(int valueBytes) {
    return values.values().stream()
        .anyMatch(value -> value != null && Json.bytes(value).length > valueBytes);
  }

  /**
   * Returns a key whose revision shows whether the transaction was executed. A deleted key has no
   * revision to compare, so one is returned only if the transaction writes no other key.
   */
  String evidenceKey() {
    String evidence = null;
    for (Map.Entry<String, JsonNode> change : values.entrySet()) {
      evidence = evidence == null || change.getValue() != null ? change.getKey() : evidence;
    }
    return evidence;
  }
}
