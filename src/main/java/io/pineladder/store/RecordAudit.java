package io.pineladder.store;

import io.pineladder.wire.StoreWire;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * One step of the audit: some records whose revisions are compared with what the leader last knew,
 * in a transaction that changes nothing.
 */
final class RecordAudit {
  /** Records compared in a step; more would take the processor from what waits. */
  private static final int MAX_RECORDS = 100;

  private final NavigableMap<String, Long> revisions;
  private final Predicate<String> isInFlight;
  private final TreeMap<String, Long> expected = new TreeMap<>();
  private final boolean last;

  /**
   * Chooses the records of a step.
   *
   * @param revisions the revisions as last known, which may change while the step is under way
   * @param isInFlight whether a transaction that is under way changes the key
   * @param after the last key of the step before, or null for the first step
   * @param maxConditions conditions that the service allows beside those that fence
   */
  RecordAudit(
      NavigableMap<String, Long> revisions,
      Predicate<String> isInFlight,
      String after,
      int maxConditions) {
    this.revisions = revisions;
    this.isInFlight = isInFlight;
    int maxRecords = Math.min(MAX_RECORDS, maxConditions);
    var rest = after == null ? revisions : revisions.tailMap(after, false);
    for (Map.Entry<String, Long> each : rest.entrySet()) {
      if (expected.size() == maxRecords) {
        break;
      }
      if (!isInFlight.test(each.getKey())) {
        expected.put(each.getKey(), each.getValue());
      }
    }
    last = expected.size() < maxRecords;
  }

  /** The last key that is compared, or null when no further step is needed. */
  String lastKey() {
    return last ? null : expected.lastKey();
  }

  /** Adds the conditions of this step to a fenced transaction. */
  StoreWire.Transaction addTo(StoreWire.Transaction fenced) {
    expected.forEach(fenced::require);
    return fenced;
  }

  /**
   * The keys that differ in the store without having been written meanwhile.
   *
   * @param failed the keys whose conditions did not hold, all of them of this step
   */
  List<String> differing(List<String> failed) {
    return failed.stream()
        .filter(key -> !isInFlight.test(key) && expected.get(key).equals(revisions.get(key)))
        .toList();
  }
}
