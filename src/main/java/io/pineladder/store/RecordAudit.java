package io.pineladder.store;

import io.pineladder.wire.StoreWire;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * One step of the audit, which compares the revisions of some records with those last known to the
 * leader, in a transaction that changes nothing.
 */
final class RecordAudit {
  /** Maximum number of records per step; limits how long a step occupies the event thread. */
  private static final int MAX_RECORDS = 100;

  private final NavigableMap<String, Long> revisions;
  private final Predicate<String> isInFlight;
  private final TreeMap<String, Long> expected = new TreeMap<>();
  private final boolean lastStep;

  /**
   * Selects the records of a step.
   *
   * @param revisions the last known revisions; a live view, which may change during the step
   * @param isInFlight whether a transaction in flight changes the key
   * @param after the last key of the previous step; null for the first step
   * @param maxConditions conditions that the store allows in addition to the fencing ones
   */
  RecordAudit(
      NavigableMap<String, Long> revisions,
      Predicate<String> isInFlight,
      String after,
      int maxConditions) {
    this.revisions = revisions;
    this.isInFlight = isInFlight;
    int maxRecords = Math.min(MAX_RECORDS, maxConditions);
    var remaining = after == null ? revisions : revisions.tailMap(after, false);
    for (Map.Entry<String, Long> record : remaining.entrySet()) {
      if (expected.size() == maxRecords) {
        break;
      }
      if (!isInFlight.test(record.getKey())) {
        expected.put(record.getKey(), record.getValue());
      }
    }
    lastStep = expected.size() < maxRecords;
  }

  /** The last key of this step; null when no further step is needed. */
  String lastKey() {
    return lastStep ? null : expected.lastKey();
  }

  StoreWire.Transaction addConditionsTo(StoreWire.Transaction fenced) {
    expected.forEach(fenced::require);
    return fenced;
  }

  /**
   * Returns the keys that differ in the store and were not written during the step.
   *
   * @param failed the keys of this step whose conditions do not hold
   */
  List<String> differing(List<String> failed) {
    return failed.stream()
        .filter(key -> !isInFlight.test(key) && expected.get(key).equals(revisions.get(key)))
        .toList();
  }
}
