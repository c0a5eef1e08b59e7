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
 * Splits pages that were stored under a larger value limit, so that they fit the current limit when
 * a generation is written. A generation takes effect only when it is complete, so the parts of a
 * page become visible together.
 */
final class ReplicaPageSplitter {
  /** Size of a page without its items. */
  private static final int PAGE_OVERHEAD_BYTES = 64;

  /** Prefixes of pages whose items may be in any page with the prefix. */
  private static final List<String> PAGED_PREFIXES =
      List.of(
          RecordKeys.JOB_PAGES,
          RecordKeys.PLACEMENTS,
          RecordKeys.COMPLETIONS,
          RecordKeys.CACHED_IMAGES);

  /** The fields of a stored page that hold its items. */
  private static final List<String> LIST_FIELDS = List.of("entries", "notices");

  private final int maxValueBytes;
  private final List<StoreWire.Entry> splitEntries = new ArrayList<>();

  private ReplicaPageSplitter(int maxValueBytes) {
    this.maxValueBytes = maxValueBytes;
  }

  /**
   * Returns the same records in values of at most {@code maxValueBytes}. An item that is larger by
   * itself is not split.
   */
  static List<StoreWire.Entry> split(List<StoreWire.Entry> entries, int maxValueBytes) {
    ReplicaPageSplitter splitter = new ReplicaPageSplitter(maxValueBytes);
    for (String prefix : PAGED_PREFIXES) {
      splitter.splitPages(
          prefix, entries.stream().filter(e -> e.key().startsWith(prefix)).toList());
    }
    for (StoreWire.Entry entry : entries) {
      if (PAGED_PREFIXES.stream().noneMatch(prefix -> entry.key().startsWith(prefix))) {
        splitter.splitEntries.add(entry);
      }
    }
    return splitter.splitEntries;
  }

  private void splitPages(String prefix, List<StoreWire.Entry> pages) {
    long nextPageNumber = nextPageNumber(prefix, pages);
    for (StoreWire.Entry page : pages) {
      if (page.json().length <= maxValueBytes) {
        splitEntries.add(page);
        continue;
      }
      // The first part retains the key: copies of its records are ignored while it exists.
      String key = page.key();
      for (ObjectNode part : splitPage(Json.decode(page.json()))) {
        splitEntries.add(StoreWire.Entry.of(key, part, page.revision()));
        key = prefix + nextPageNumber++;
      }
    }
  }

  /** A number above those of all pages, and of the pages that records were copied from. */
  private static long nextPageNumber(String prefix, List<StoreWire.Entry> pages) {
    long next = 0;
    for (StoreWire.Entry page : pages) {
      next = Math.max(next, RecordKeys.pageNumber(page.key(), prefix) + 1);
      if (prefix.equals(RecordKeys.JOB_PAGES)) {
        next = Math.max(next, nextNumberAfterSources(prefix, page));
      }
    }
    return next;
  }

  private static long nextNumberAfterSources(String prefix, StoreWire.Entry page) {
    long next = 0;
    for (JsonNode item : Json.decode(page.json()).path("entries")) {
      // Copies are ignored while their source page exists: its key must not be used again.
      String source = RecordWire.copySource(item);
      next = Math.max(next, source == null ? 0 : RecordKeys.pageNumber(source, prefix) + 1);
    }
    return next;
  }

  private List<ObjectNode> splitPage(JsonNode page) {
    List<ObjectNode> parts = new ArrayList<>();
    ObjectNode part = emptyPage();
    int bytes = 0;
    for (String list : LIST_FIELDS) {
      for (JsonNode item : page.path(list)) {
        int size = Json.bytes(item).length + 1;
        if (bytes > 0 && bytes + size > maxValueBytes - PAGE_OVERHEAD_BYTES) {
          parts.add(part);
          part = emptyPage();
          bytes = 0;
        }
        part.withArray(list).add(item);
        bytes += size;
      }
    }
    parts.add(part);
    return parts;
  }

  private static ObjectNode emptyPage() {
    ObjectNode part = Json.object();
    part.putArray("entries");
    return part;
  }
}
