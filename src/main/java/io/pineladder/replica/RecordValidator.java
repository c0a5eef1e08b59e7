package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;

/** Checks whether records can be parsed as the kind that their keys denote. */
final class RecordValidator {
  private RecordValidator() {}

  /** Whether the value can be parsed; true for kinds of records that are not checked. */
  static boolean isReadable(StoreWire.Entry entry) {
    try {
      String key = entry.key();
      JsonNode value = entry.value();
      if (key.startsWith(RecordKeys.UNPAGED_JOB)) {
        RecordWire.parseJob(value);
      } else if (key.startsWith(RecordKeys.JOB_PAGES)) {
        RecordWire.parseNotifications(value);
        for (JsonNode item : RecordWire.entries(value)) {
          RecordWire.parseJob(item);
        }
      } else if (key.startsWith(RecordKeys.COMPLETIONS)) {
        for (JsonNode item : RecordWire.entries(value)) {
          RecordWire.parseCompletions(item);
        }
      } else if (key.startsWith(RecordKeys.PLACEMENTS)) {
        for (JsonNode item : RecordWire.entries(value)) {
          RecordWire.parsePlacement(item);
        }
      } else if (key.startsWith(RecordKeys.CACHED_IMAGES)) {
        for (JsonNode item : RecordWire.entries(value)) {
          RecordWire.parseImages(item);
        }
      }
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }
}
