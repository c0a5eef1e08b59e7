package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Merges the records of an imported snapshot into a replica that lacks them: unknown jobs,
 * completions, placements, and missing configuration.
 */
final class SnapshotMerger {
  private static final Logger log = LoggerFactory.getLogger(SnapshotMerger.class);

  /**
   * Added to the numbers of merged pages, to avoid collisions with the pages of the target. No
   * leader reaches such a number by incrementing.
   */
  private static final long MERGED_PAGE_OFFSET = 1_000_000_000L;

  private final RecordReplica target;
  private int jobCount;

  SnapshotMerger(RecordReplica target) {
    this.target = target;
  }

  /**
   * Merges all readable records.
   *
   * @return the number of jobs that were unknown to the target
   */
  int merge(Map<String, StoredValue> records) {
    for (Map.Entry<String, StoredValue> record : records.entrySet()) {
      if (!RecordKind.of(record.getKey()).isValidKey(record.getKey())) {
        continue;
      }
      try {
        merge(record.getKey(), record.getValue().parse());
      } catch (MalformedMessageException e) {
        log.warn("Unreadable record of the snapshot left out: key={}", record.getKey());
      }
    }
    return jobCount;
  }

  private void merge(String key, JsonNode value) throws MalformedMessageException {
    if (key.startsWith(RecordKeys.JOB_PAGES)) {
      List<JsonNode> unknown = new ArrayList<>();
      for (JsonNode record : RecordWire.entries(value)) {
        if (isUnknown(RecordWire.parseJob(record).spec().id())) {
          unknown.add(record);
        }
      }
      jobCount += unknown.size();
      putPage(key, RecordKeys.JOB_PAGES, RecordWire.page(unknown.stream()));
    } else if (key.startsWith(RecordKeys.UNPAGED_JOB)) {
      if (isUnknown(key.substring(RecordKeys.UNPAGED_JOB.length()))) {
        jobCount++;
        put(key, value);
      }
    } else if (key.startsWith(RecordKeys.COMPLETIONS)) {
      putPage(key, RecordKeys.COMPLETIONS, value);
    } else if (key.startsWith(RecordKeys.PLACEMENTS)) {
      putPage(key, RecordKeys.PLACEMENTS, value);
    } else if (key.startsWith(RecordKeys.CONFIGURATION) && !target.containsRecord(key)) {
      put(key, value);
    }
  }

  private boolean isUnknown(String jobId) {
    return target.finalState(jobId) == null && !target.containsJob(jobId);
  }

  private void putPage(String key, String prefix, JsonNode page) {
    long number = Long.parseLong(key.substring(prefix.length())) + MERGED_PAGE_OFFSET;
    put(prefix + number, page);
  }

  private void put(String key, JsonNode value) {
    target.put(StoreWire.Entry.of(key, value, 0), RecordSource.SNAPSHOT);
  }
}
