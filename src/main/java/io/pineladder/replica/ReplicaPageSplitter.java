package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.List;

/**
 * Divides the pages of a copy of the records that were stored under a larger limit, so that each
 * fits into a value when a generation is written. A generation counts only once it is whole, so the
 * parts of a page come to count together.
 */
final class ReplicaPageSplitter {
  /** What a page takes beside its items. */
  private static final int FRAME_BYTES = 64;

  /** Kinds of pages whose items may stand in any page of the kind. */
  private static final List<String> PAGED =
      List.of(
          RecordKeys.JOB_PAGES,
          RecordKeys.PLACEMENTS,
          RecordKeys.COMPLETIONS,
          RecordKeys.CACHED_IMAGES);

  private static final List<String> LISTS = List.of("entries", "notices");

  private final int valueBytes;
  private final List<StoreWire.Entry> divided = new ArrayList<>();

  private ReplicaPageSplitter(int valueBytes) {
    this.valueBytes = valueBytes;
  }

  /**
   * The same records in values of at most so many bytes each; an item that takes more stays as it
   * is.
   */
  static List<StoreWire.Entry> divide(List<StoreWire.Entry> image, int valueBytes) {
    ReplicaPageSplitter pages = new ReplicaPageSplitter(valueBytes);
    for (String kind : PAGED) {
      pages.divideKind(kind, image.stream().filter(e -> e.key().startsWith(kind)).toList());
    }
    for (StoreWire.Entry entry : image) {
      if (PAGED.stream().noneMatch(kind -> entry.key().startsWith(kind))) {
        pages.divided.add(entry);
      }
    }
    return pages.divided;
  }

  private void divideKind(String kind, List<StoreWire.Entry> pages) {
    long next = 0;
    for (StoreWire.Entry page : pages) {
      next = Math.max(next, number(page.key(), kind) + 1);
      for (JsonNode item : page.value().path("entries")) {
        // A page with the name of one that was divided would make the copies of its records void.
        String source = RecordWire.source(item);
        next = Math.max(next, source == null ? 0 : number(source, kind) + 1);
      }
    }
    for (StoreWire.Entry page : pages) {
      if (Json.bytes(page.value()).length <= valueBytes) {
        divided.add(page);
        continue;
      }
      // The first part keeps the name, for copies that do not count as long as it is there.
      String key = page.key();
      for (ObjectNode part : parts(page.value())) {
        divided.add(new StoreWire.Entry(key, part, page.version()));
        key = kind + next++;
      }
    }
  }

  private static long number(String key, String kind) {
    String rest = key.substring(kind.length());
    return rest.matches("[0-9]{1,18}") ? Long.parseLong(rest) : -1;
  }

  private List<ObjectNode> parts(JsonNode page) {
    List<ObjectNode> parts = new ArrayList<>();
    ObjectNode part = emptyPart();
    int bytes = 0;
    for (String list : LISTS) {
      for (JsonNode item : page.path(list)) {
        int size = Json.bytes(item).length + 1;
        if (bytes > 0 && bytes + size > valueBytes - FRAME_BYTES) {
          parts.add(part);
          part = emptyPart();
          bytes = 0;
        }
        part.withArray(list).add(item);
        bytes += size;
      }
    }
    parts.add(part);
    return parts;
  }

  private static ObjectNode emptyPart() {
    ObjectNode part = Json.object();
    part.putArray("entries");
    return part;
  }
}
