package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.store.Mutation.Write;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Many small entries packed into few values, so that the changes to the store do not grow with the
 * tasks. An entry that is new or has changed goes to whichever page is written next; older copies
 * of it stay in their pages until those are written for other entries. So readers must not mind an
 * old copy: what is packed here is either immutable or only ever grows.
 *
 * <p>A page that an earlier leader left larger than a value may be now is not stored again as long
 * as its live content is too large: its entries are stored in other pages first.
 *
 * @param <T> what an entry is of; compared by identity or as its {@code equals} does
 */
final class RecordPages<T> {
  /** Small pages cost little to write again for a few entries; many go into one transaction. */
  private static final int MAX_PAGE_BYTES = 12 * 1024;

  /** What a page takes beside its entries. */
  static final int PAGE_OVERHEAD_BYTES = 64;

  /**
   * One kind of entries.
   *
   * @param prefix the prefix of its pages' keys
   * @param priority the priority of writes that store new content
   * @param flushInterval how long entries are collected before a page is written
   * @param isLive whether an entry is still to be stored
   * @param encoder renders an entry as it is now
   * @param onStored called for each entry that a committed page has added
   */
  record EntryKind<T>(
      String prefix,
      Priority priority,
      Duration flushInterval,
      Predicate<T> isLive,
      Function<T, JsonNode> encoder,
      Consumer<T> onStored) {}

  /** An entry as it was encoded for its page. */
  private record EncodedEntry(JsonNode json, int bytes) {}

  /** One value of the store. */
  private static final class Page<T> {
    final String key;

    /** The content of its value as last rendered. */
    final Map<T, EncodedEntry> entries = new LinkedHashMap<>();

    /** Entries that the queued write adds. */
    Set<T> beingStored = new LinkedHashSet<>();

    /** A mutation that writes it is not committed yet. */
    boolean writeQueued;

    /** It is too large: its entries are being stored elsewhere. */
    boolean evacuating;

    Page(String key) {
      this.key = key;
    }
  }

  private final EntryKind<T> kind;
  private final int capacity;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;

  /** Pages in the order in which they are filled, the one written last at the end. */
  private final ArrayDeque<Page<T>> pages = new ArrayDeque<>();

  /** The page that is known to be stored with an entry; its copy remains until another is. */
  private final Map<T, Page<T>> storedPage = new HashMap<>();

  /** The page that is about to be stored with an entry's newest content. */
  private final Map<T, Page<T>> beingStoredPage = new HashMap<>();

  /** Entries that are in no page with their newest content. */
  private final Set<T> pendingEntries = new LinkedHashSet<>();

  private long nextPageNumber;
  private boolean flushScheduled;

  /** The page that is queued to take pending entries and is not rendered yet, or null. */
  private Page<T> pageToFill;

  /**
   * Pages of one kind of entries.
   *
   * @param valueBytes the most bytes of a value
   * @param commit takes mutations, which are carried out in their order
   */
  RecordPages(EntryKind<T> kind, int valueBytes, EventLoop eventLoop, Consumer<Mutation> commit) {
    this.kind = kind;
    this.capacity = capacity(valueBytes);
    this.eventLoop = eventLoop;
    this.commit = commit;
  }

  /** What the entries of one page may take together, in bytes. */
  static int capacity(int valueBytes) {
    return Math.min(valueBytes, MAX_PAGE_BYTES) - PAGE_OVERHEAD_BYTES;
  }

  /** Takes over an entry read at the start of a term. */
  void restore(String key, T entry, JsonNode json) {
    Page<T> page = restorePage(key);
    page.entries.put(entry, encode(json));
    storedPage.put(entry, page);
  }

  /** Takes over a page read at the start of a term, so that its key is not used for a new one. */
  Page<T> restorePage(String key) {
    for (Page<T> page : pages) {
      if (page.key.equals(key)) {
        return page;
      }
    }
    Page<T> page = new Page<>(key);
    pages.addLast(page);
    nextPageNumber = Math.max(nextPageNumber, RecordKeys.pageNumber(key, kind.prefix) + 1);
    return page;
  }

  private static EncodedEntry encode(JsonNode json) {
    return new EncodedEntry(json, Json.bytes(json).length + 1);
  }

  /** The entry is new, or has changed since it was stored. */
  void store(T entry) {
    pendingEntries.add(entry);
    if (!flushScheduled) {
      flushScheduled = true;
      eventLoop.schedule(kind.flushInterval, this::flush);
    }
  }

  /** Writes the pages of these entries again soon, since they are not live any more. */
  void rewritePagesOf(Iterable<T> entries) {
    Set<Page<T>> touched = new LinkedHashSet<>();
    for (T entry : entries) {
      Page<T> page = storedPage.get(entry);
      if (page != null && !page.writeQueued) {
        touched.add(page);
      }
    }
    touched.forEach(this::rewriteOrEvacuate);
  }

  /** Writes the page again from memory. */
  void rewritePage(String key) {
    Page<T> page = restorePage(key);
    if (!page.writeQueued) {
      rewriteOrEvacuate(page);
    }
  }

  private void rewriteOrEvacuate(Page<T> page) {
    if (prune(page) <= capacity) {
      queueWrite(page, Priority.CLEANUP);
    } else {
      evacuate(page);
    }
  }

  /** Begins to store the content of one oversized page elsewhere; false when there is none. */
  boolean evacuateOversizedPage() {
    for (Page<T> page : pages) {
      if (!page.writeQueued && !page.evacuating && prune(page) > capacity) {
        evacuate(page);
        return true;
      }
    }
    return false;
  }

  /** Stores what is live in the page elsewhere, after which it can be stored again. */
  private void evacuate(Page<T> page) {
    if (!page.evacuating) {
      page.evacuating = true;
      List.copyOf(page.entries.keySet()).forEach(this::store);
    }
  }

  private void flush() {
    flushScheduled = false;
    queueNextPage();
  }

  /** Queues a write; what the page has no capacity for when it is rendered waits for the next. */
  private void queueNextPage() {
    if (!pendingEntries.isEmpty() && pageToFill == null) {
      pageToFill = choosePage();
      queueWrite(pageToFill, kind.priority);
    }
  }

  /** The next page in order that is at most half full of live entries; a new one if none is. */
  private Page<T> choosePage() {
    for (int i = pages.size(); i > 0; i--) {
      Page<T> page = pages.pollFirst();
      pages.addLast(page);
      if (!page.writeQueued && prune(page) <= capacity / 2) {
        return page;
      }
    }
    Page<T> page = new Page<>(kind.prefix + nextPageNumber++);
    pages.addLast(page);
    return page;
  }

  /** Drops entries that are not live or are stored in another page; returns the bytes left. */
  private int prune(Page<T> page) {
    int bytes = 0;
    var entries = page.entries.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<T, EncodedEntry> each = entries.next();
      T entry = each.getKey();
      boolean here = storedPage.get(entry) == page || page.beingStored.contains(entry);
      if (here && kind.isLive.test(entry)) {
        bytes += each.getValue().bytes;
        continue;
      }
      entries.remove();
      if (here) {
        storedPage.remove(entry, page);
        beingStoredPage.remove(entry, page);
        page.beingStored.remove(entry);
      }
    }
    return bytes;
  }

  private void queueWrite(Page<T> page, Priority writePriority) {
    page.writeQueued = true;
    commit.accept(
        Mutation.of(
            writePriority,
            List.of(new Write(page.key, () -> nextValue(page))),
            () -> onPageStored(page)));
  }

  /** The page's next value; rendered again when the transaction was not executed. */
  private JsonNode nextValue(Page<T> page) {
    if (page == pageToFill) {
      pageToFill = null;
    }
    page.evacuating = false;
    int bytes = prune(page);
    var remaining = pendingEntries.iterator();
    while (remaining.hasNext()) {
      T entry = remaining.next();
      if (!kind.isLive.test(entry)) {
        remaining.remove();
        continue;
      }
      EncodedEntry encoded = encode(kind.encoder.apply(entry));
      EncodedEntry previous = page.entries.get(entry);
      int additionalBytes = encoded.bytes - (previous == null ? 0 : previous.bytes);
      if (bytes + additionalBytes > capacity) {
        if (encoded.bytes > capacity) {
          // Of completions, a pattern that no value holds: it becomes shorter as its gaps close.
          continue;
        }
        break;
      }
      remaining.remove();
      bytes += additionalBytes;
      add(page, entry, encoded);
    }
    // Another page may go into the same transaction.
    queueNextPage();
    return RecordWire.page(page.entries.values().stream().map(EncodedEntry::json));
  }

  private void add(Page<T> page, T entry, EncodedEntry encoded) {
    page.entries.put(entry, encoded);
    page.beingStored.add(entry);
    Page<T> other = beingStoredPage.put(entry, page);
    if (other != null && other != page) {
      // Stored after this one, its older content would count as the newest.
      other.beingStored.remove(entry);
      if (storedPage.get(entry) != other) {
        other.entries.remove(entry);
      }
    }
  }

  private void onPageStored(Page<T> page) {
    page.writeQueued = false;
    Set<T> added = page.beingStored;
    page.beingStored = new LinkedHashSet<>();
    for (T entry : added) {
      Page<T> previous = storedPage.put(entry, page);
      beingStoredPage.remove(entry, page);
      kind.onStored.accept(entry);
      if (previous != null && previous.evacuating && prune(previous) <= capacity) {
        previous.evacuating = false;
        queueWrite(previous, Priority.CLEANUP);
      }
    }
  }
}
