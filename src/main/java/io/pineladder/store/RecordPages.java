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
 * Packs many small entries into few values, so that the number of writes does not grow with the
 * number of tasks. A new or changed entry is added to whichever page is written next; its older
 * copies stay in their pages until these are written for other entries. Readers must tolerate stale
 * copies, so entries are either immutable or grow monotonically.
 *
 * <p>A page may exceed the value limit if an earlier leader wrote it under a higher one. While its
 * live entries do not fit, it is not written; they are stored in other pages first.
 *
 * @param <T> the object that an entry describes; used as a map key
 */
final class RecordPages<T> {
  /** Bounds the cost of rewriting a page, and lets several pages share a transaction. */
  private static final int MAX_PAGE_BYTES = 12 * 1024;

  /** Size of a page without entries, in bytes (upper bound). */
  static final int PAGE_OVERHEAD_BYTES = 64;

  /**
   * A kind of entry.
   *
   * @param prefix the prefix of the page keys
   * @param priority the priority of writes with new or changed entries
   * @param flushInterval how long entries are collected before a page is written
   * @param isLive whether an entry still has to be stored
   * @param encoder encodes the present content of an entry
   * @param onStored called for each new or changed entry once its page is committed
   */
  record EntryKind<T>(
      String prefix,
      Priority priority,
      Duration flushInterval,
      Predicate<T> isLive,
      Function<T, JsonNode> encoder,
      Consumer<T> onStored) {}

  private record EncodedEntry(JsonNode json, int bytes) {}

  private static final class Page<T> {
    final String key;

    /** The entries in its last rendered value. */
    final Map<T, EncodedEntry> entries = new LinkedHashMap<>();

    /** New or changed entries in the queued write. */
    Set<T> entriesBeingStored = new LinkedHashSet<>();

    /** Whether a mutation that writes the page is not committed yet. */
    boolean writeQueued;

    /** Whether its entries are being stored in other pages because it is oversized. */
    boolean evacuating;

    Page(String key) {
      this.key = key;
    }
  }

  private final EntryKind<T> kind;
  private final int capacity;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;

  /** Pages in the order in which they are considered for new entries. */
  private final ArrayDeque<Page<T>> pages = new ArrayDeque<>();

  /** The page with the committed copy of an entry; that copy remains until another is committed. */
  private final Map<T, Page<T>> storedPage = new HashMap<>();

  /** The page with a queued write of an entry's newest content. */
  private final Map<T, Page<T>> pageBeingStored = new HashMap<>();

  /** Entries whose newest content is in no page yet. */
  private final Set<T> pendingEntries = new LinkedHashSet<>();

  private long nextPageNumber;
  private boolean flushScheduled;

  /** The queued page that pending entries will be added to when it is rendered, or null. */
  private Page<T> pageToFill;

  /**
   * Creates the pages of a kind of entry.
   *
   * @param valueBytes maximum size of a value
   * @param commit accepts mutations, which are committed in order
   */
  RecordPages(EntryKind<T> kind, int valueBytes, EventLoop eventLoop, Consumer<Mutation> commit) {
    this.kind = kind;
    this.capacity = capacity(valueBytes);
    this.eventLoop = eventLoop;
    this.commit = commit;
  }

  /** Upper bound of the total size of a page's entries, in bytes. */
  static int capacity(int valueBytes) {
    return Math.min(valueBytes, MAX_PAGE_BYTES) - PAGE_OVERHEAD_BYTES;
  }

  /** Restores an entry read at the start of a term. */
  void restore(String key, T entry, JsonNode json) {
    Page<T> page = restorePage(key);
    page.entries.put(entry, encode(json));
    storedPage.put(entry, page);
  }

  /** Returns the page with this key; registers it if it is not known yet. */
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

  /** Stores an entry that is new or has changed. */
  void store(T entry) {
    pendingEntries.add(entry);
    if (!flushScheduled) {
      flushScheduled = true;
      eventLoop.schedule(kind.flushInterval, this::flush);
    }
  }

  /** Writes the pages of these entries again, because the entries are no longer live. */
  void rewritePagesOf(Iterable<T> entries) {
    Set<Page<T>> affectedPages = new LinkedHashSet<>();
    for (T entry : entries) {
      Page<T> page = storedPage.get(entry);
      if (page != null && !page.writeQueued) {
        affectedPages.add(page);
      }
    }
    affectedPages.forEach(this::rewriteOrEvacuate);
  }

  /** Writes a page again from memory. */
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

  /** Starts to evacuate an oversized page; returns false when there is none. */
  boolean evacuateOversizedPage() {
    for (Page<T> page : pages) {
      if (!page.writeQueued && !page.evacuating && prune(page) > capacity) {
        evacuate(page);
        return true;
      }
    }
    return false;
  }

  /** Stores the page's entries in other pages, after which it can be written again. */
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

  /** Queues a page for pending entries; those that do not fit into it go to the next one. */
  private void queueNextPage() {
    if (!pendingEntries.isEmpty() && pageToFill == null) {
      pageToFill = choosePage();
      queueWrite(pageToFill, kind.priority);
    }
  }

  /** Returns the next page that is at most half full of live entries, or a new page. */
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

  /** Drops entries that are not live or are stored in another page; returns the remaining bytes. */
  private int prune(Page<T> page) {
    int bytes = 0;
    var entries = page.entries.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<T, EncodedEntry> pageEntry = entries.next();
      T entry = pageEntry.getKey();
      boolean inThisPage = storedPage.get(entry) == page || page.entriesBeingStored.contains(entry);
      if (inThisPage && kind.isLive.test(entry)) {
        bytes += pageEntry.getValue().bytes;
        continue;
      }
      entries.remove();
      if (inThisPage) {
        storedPage.remove(entry, page);
        pageBeingStored.remove(entry, page);
        page.entriesBeingStored.remove(entry);
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

  /** Renders the page's next value; called again if the transaction is not executed. */
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
          // Completions with too many gaps for any page; the entry shrinks as the gaps close.
          continue;
        }
        break;
      }
      remaining.remove();
      bytes += additionalBytes;
      add(page, entry, encoded);
    }
    // The transaction may have capacity for another page.
    queueNextPage();
    return RecordWire.page(page.entries.values().stream().map(EncodedEntry::json));
  }

  private void add(Page<T> page, T entry, EncodedEntry encoded) {
    page.entries.put(entry, encoded);
    page.entriesBeingStored.add(entry);
    Page<T> superseded = pageBeingStored.put(entry, page);
    if (superseded != null && superseded != page) {
      // If that page is committed later, its older copy must not be taken for the newest.
      superseded.entriesBeingStored.remove(entry);
      if (storedPage.get(entry) != superseded) {
        superseded.entries.remove(entry);
      }
    }
  }

  private void onPageStored(Page<T> page) {
    page.writeQueued = false;
    Set<T> added = page.entriesBeingStored;
    page.entriesBeingStored = new LinkedHashSet<>();
    for (T entry : added) {
      Page<T> previous = storedPage.put(entry, page);
      pageBeingStored.remove(entry, page);
      kind.onStored.accept(entry);
      if (previous != null && previous.evacuating && prune(previous) <= capacity) {
        previous.evacuating = false;
        queueWrite(previous, Priority.CLEANUP);
      }
    }
  }
}
