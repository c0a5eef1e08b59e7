package io.pineladder.replica;

import io.pineladder.model.Job;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Converts the records of a replica into the entries of a new generation. */
final class GenerationEntries {
  private static final Logger log = LoggerFactory.getLogger(GenerationEntries.class);

  /** Maximum size of the final states in one value. */
  private static final int MAX_FINAL_STATE_PAGE_BYTES = 6 * 1024;

  /** Size of a value with final states, without its job ids. */
  private static final int FINAL_STATE_PAGE_OVERHEAD_BYTES = 64;

  /** Maximum size of a job id in JSON, with its comma. */
  private static final int MAX_ID_BYTES = 128;

  /** Size of the quotes and the comma of a job id in JSON. */
  private static final int ID_OVERHEAD_BYTES = 3;

  private GenerationEntries() {}

  /**
   * Returns the entries in the order in which they are to be written.
   *
   * @param maxValueBytes the maximum size of each value
   */
  static List<StoreWire.Entry> of(
      Map<String, StoredValue> records, Map<String, Job.State> finalStates, int maxValueBytes) {
    List<StoreWire.Entry> entries = ReplicaPageSplitter.split(parse(records), maxValueBytes);
    addFinalStates(
        entries,
        finalStates,
        Math.min(MAX_FINAL_STATE_PAGE_BYTES, maxValueBytes - FINAL_STATE_PAGE_OVERHEAD_BYTES));
    return entries;
  }

  private static List<StoreWire.Entry> parse(Map<String, StoredValue> records) {
    List<StoreWire.Entry> entries = new ArrayList<>();
    records.forEach(
        (key, value) -> {
          StoreWire.Entry entry = new StoreWire.Entry(key, value.json(), value.version());
          try {
            RecordKind.check(entry);
            entries.add(entry);
          } catch (MalformedMessageException e) {
            log.error(
                "Unreadable record left out of the rebuild: key={} reason=\"{}\"",
                key,
                e.getMessage());
          }
        });
    return entries;
  }

  private static void addFinalStates(
      List<StoreWire.Entry> entries, Map<String, Job.State> finalStates, int maxPageBytes) {
    int pages = 0;
    for (Job.State state : List.of(Job.State.DONE, Job.State.CANCELLED)) {
      List<String> ids = new ArrayList<>();
      int bytes = 0;
      for (Map.Entry<String, Job.State> finalState : finalStates.entrySet()) {
        if (finalState.getValue() != state) {
          continue;
        }
        ids.add(finalState.getKey());
        bytes += finalState.getKey().length() + ID_OVERHEAD_BYTES;
        if (bytes + MAX_ID_BYTES >= maxPageBytes) {
          entries.add(page(pages++, state, ids));
          ids = new ArrayList<>();
          bytes = 0;
        }
      }
      if (!ids.isEmpty()) {
        entries.add(page(pages++, state, ids));
      }
    }
  }

  private static StoreWire.Entry page(int number, Job.State state, List<String> ids) {
    return StoreWire.Entry.of(
        RecordKeys.ARCHIVED_FINAL_STATES + number, RecordWire.finalStates(state, ids), 0);
  }
}
