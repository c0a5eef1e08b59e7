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

  /** The readable entries of a page, as a page; null if there is none or it is not a page. */
  static JsonNode readablePart(StoreWire.Entry page) {
    RecordKind kind = RecordKind.of(page.key());
    if (!kind.isPaged() || !kind.isValidKey(page.key())) {
      return null;
    }
    try {
      JsonNode value = page.value();
      ObjectNode part = Json.object();
      part.set("entries", readableItems(kind, "entries", value, "/spec/ref"));
      ArrayNode notifications = readableItems(kind, "notices", value, "/0");
      if (!notifications.isEmpty()) {
        part.set("notices", notifications);
      }
      return part.get("entries").isEmpty() && notifications.isEmpty() ? null : part;
    } catch (MalformedMessageException e) {
      return null;
    }
  }

  /**
   * The items of a list that can be read by themselves.
   *
   * @param identity points to what no two items of a page of jobs have in common
   */
  private static ArrayNode readableItems(
      RecordKind kind, String listField, JsonNode page, String identity) {
    ArrayNode readable = Json.array();
    Set<String> identities = new HashSet<>();
    for (JsonNode item : page.path(listField)) {
      boolean isNew = kind != RecordKind.JOB_PAGE || identities.add(item.at(identity).asText());
      if (isNew && isReadable(kind, listField, item)) {
        readable.add(item);
      }
    }
    return readable;
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
