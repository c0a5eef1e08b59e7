package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;

/** Finds what is still readable in a page that is unreadable as a whole. */
final class PageSalvage {
  private PageSalvage() {}

  /**
   * The readable entries of a page and those of its earlier value, as a page. Entries are immutable
   * or grow, and of jobs the final states are known, so those that are obsolete do no harm.
   *
   * @param earlier an earlier, readable value; null if there is none
   * @return null if the value has no readable entry, so that only the earlier one remains
   */
  static JsonNode readablePart(StoreWire.Entry damaged, byte[] earlier) {
    RecordKind kind = RecordKind.of(damaged.key());
    if (!kind.isPaged() || !kind.isValidKey(damaged.key())) {
      return null;
    }
    try {
      JsonNode value = damaged.value();
      ArrayNode entries = readableItems(kind, "entries", value);
      ArrayNode notifications = readableItems(kind, "notices", value);
      if (entries.isEmpty() && notifications.isEmpty()) {
        return null;
      }
      if (earlier != null) {
        JsonNode earlierPage = Json.decode(earlier);
        entries.addAll(readableItems(kind, "entries", earlierPage));
        notifications.addAll(readableItems(kind, "notices", earlierPage));
      }
      ObjectNode part = Json.object();
      part.set("entries", withoutRepetitions(kind, entries, "/spec/ref"));
      if (!notifications.isEmpty()) {
        part.set("notices", withoutRepetitions(kind, notifications, "/0"));
      }
      return part;
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  /** The items of a list that can be read by themselves. */
  private static ArrayNode readableItems(RecordKind kind, String listField, JsonNode page) {
    ArrayNode readable = Json.array();
    for (JsonNode item : page.path(listField)) {
      if (isReadable(kind, listField, item)) {
        readable.add(item);
      }
    }
    return readable;
  }

  /**
   * The first of all items with the same identity, in a page of jobs.
   *
   * @param identity points to what no two items of such a page have in common
   */
  private static ArrayNode withoutRepetitions(RecordKind kind, ArrayNode items, String identity) {
    if (kind != RecordKind.JOB_PAGE) {
      return items;
    }
    ArrayNode distinct = Json.array();
    Set<String> identities = new HashSet<>();
    for (JsonNode item : items) {
      if (identities.add(item.at(identity).asText())) {
        distinct.add(item);
      }
    }
    return distinct;
  }

  private static boolean isReadable(RecordKind kind, String listField, JsonNode item) {
    ObjectNode page = RecordWire.page(Stream.empty());
    page.set(listField, Json.array().add(item));
    try {
      kind.checkContent(page);
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }
}
