package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.store.Mutation.Write;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Packs many small entries into few values, so that the number of writes does not grow with the
 * number of tasks. A new or changed entry is added to whichever page is written next; its older
 * copies stay in their pages until these are written for other entries. Readers must tolerate stale
 * copies, so entries are either immutable or grow monotonically.
 *
 * <p>An entry is encoded again for each write of its page, from the object and the retained {@link
 * EntryKind#content}, so that the memory per entry does not depend on its encoded size.
 *
 * <p>A page may exceed the value limit if an earlier leader wrote it under a higher one. While its
 * live entries do not fit, it is not written; they are stored in other pages first.
 *
 * @param <T> the object that an entry describes; used as a map key
 * @param <C> what else determines the encoded entry
 */
final class RecordPages<T, C> {
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
   * @param content returns what the encoded entry depends on and may change later; retained for
   *     each entry, so it should be small or shared
   * @param encoder encodes an entry with its content
   * @param onStored called for each new or changed entry once its page is committed
   */
  record EntryKind<T, C>(
      String prefix,
      Priority priority,
      Duration flushInterval,
      Predicate<T> isLive,
      Function<T, C> content,
      BiFunction<T, C, JsonNode> encoder,
      Consumer<T> onStored) {}

  /**
   * An entry as rendered in a page.
   *
   * @param bytes its encoded size, with a comma
   */
  private record PageEntry<T, C>(T entry, C content, int bytes) {}

  private static final class Page<T, C> {
    final String key;

    /** The entries in its last rendered value; a list, since a page has few of them. */
    final List<PageEntry<T, C>> entries = new ArrayList<>();

    /** New or changed entries in the queued write. */
    Set<T> entriesBeingStored = new LinkedHashSet<>();

    /** Whether a mutation that writes the page is not committed yet. */
    boolean writeQueued;

    /** Whether its entries are being stored in other pages because it is oversized. */
    boolean evacuating;

    Page(String key) {
      this.key = key;
    }

    /** The bytes of an entry in the last rendered value; 0 if it is not in the page. */
    int bytesOf(T entry) {
      int index = indexOf(entry);
      return index < 0 ? 0 : entries.get(index).bytes;
    }

    void put(PageEntry<T, C> pageEntry) {
      int index = indexOf(pageEntry.entry);
      if (index < 0) {
        entries.add(pageEntry);
      } else {
        entries.set(index, pageEntry);
      }
    }

    void remove(T entry) {
      entries.removeIf(pageEntry -> pageEntry.entry == entry);
    }

    private int indexOf(T entry) {
      for (int i = 0; i < entries.size(); i++) {
        if (entries.get(i).entry == entry) {
          return i;
        }
      }
      return -1;
    }
  }

  private final EntryKind<T, C> kind;
  private final int capacity;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;

  /** Pages in the order in which they are considered for new entries. */
  private final ArrayDeque<Page<T, C>> pages = new ArrayDeque<>();

  private final Map<String, Page<T, C>> pageByKey = new HashMap<>();

  /** The page with the committed copy of an entry; that copy remains until another is committed. */
  private final Map<T, Page<T, C>> storedPage = new HashMap<>();

  /** The page with a queued write of an entry's newest content. */
  private final Map<T, Page<T, C>> pageBeingStored = new HashMap<>();

  /** Entries whose newest content is in no page yet. */
  private final Set<T> pendingEntries = new LinkedHashSet<>();

  private long nextPageNumber;
  private boolean flushScheduled;

  /** The queued page that pending entries will be added to when it is rendered, or null. */
  private Page<T, C> pageToFill;

  /**
   * Creates the pages of a kind of entry.
   *
   * @param valueBytes maximum size of a value
   * @param commit accepts mutations, which are committed in order
   */
  RecordPages(
      EntryKind<T, C> kind, int valueBytes, EventLoop eventLoop, Consumer<Mutation> commit) {
    this.kind = kind;
    this.capacity = capacity(valueBytes);
    this.eventLoop = eventLoop;
    this.commit = commit;
  }

  /** Upper bound of the total size of a page's entries, in bytes. */
  static int capacity(int valueBytes) {
    return Math.min(valueBytes, MAX_PAGE_BYTES) - PAGE_OVERHEAD_BYTES;
  }

  /** Drops all pages and entries; nothing may be stored from here on. */
  void clear() {
    pages.clear();
    pageByKey.clear();
    storedPage.clear();
    pageBeingStored.clear();
    pendingEntries.clear();
  }

  /** Restores an entry read at the start of a term. */
  void restore(String key, T entry, C content) {
    Page<T, C> page = restorePage(key);
    page.put(encode(entry, content));
    storedPage.put(entry, page);
  }

  /** Returns the page with this key; registers it if it is not known yet. */
  Page<T, C> restorePage(String key) {
    Page<T, C> known = pageByKey.get(key);
    if (known != null) {
      return known;
    }
    nextPageNumber = Math.max(nextPageNumber, RecordKeys.pageNumber(key, kind.prefix) + 1);
    return addPage(key);
  }

  private Page<T, C> addPage(String key) {
    Page<T, C> page = new Page<>(key);
    pages.addLast(page);
    pageByKey.put(key, page);
    return page;
  }

  private PageEntry<T, C> encode(T entry, C content) {
    JsonNode json = kind.encoder.apply(entry, content);
    return new PageEntry<>(entry, content, Json.bytes(json).length + 1);
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
    Set<Page<T, C>> affectedPages = new LinkedHashSet<>();
    for (T entry : entries) {
      Page<T, C> page = storedPage.get(entry);
      if (page != null && !page.writeQueued) {
        affectedPages.add(page);
      }
    }
    affectedPages.forEach(this::rewriteOrEvacuate);
  }

  /** Writes a page again from memory. */
  void rewritePage(String key) {
    Page<T, C> page = restorePage(key);
    if (!page.writeQueued) {
      rewriteOrEvacuate(page);
    }
  }

  private void rewriteOrEvacuate(Page<T, C> page) {
    if (prune(page) <= capacity) {
      queueWrite(page, Priority.CLEANUP);
    } else {
      evacuate(page);
    }
  }

  /** Starts to evacuate an oversized page; returns false when there is none. */
  boolean evacuateOversizedPage() {
    for (Page<T, C> page : pages) {
      if (!page.writeQueued && !page.evacuating && prune(page) > capacity) {
        evacuate(page);
        return true;
      }
    }
    return false;
  }

  /** Stores the page's entries in other pages, after which it can be written again. */
  private void evacuate(Page<T, C> page) {
    if (!page.evacuating) {
      page.evacuating = true;
      page.entries.forEach(pageEntry -> store(pageEntry.entry));
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
  private Page<T, C> choosePage() {
    for (int i = pages.size(); i > 0; i--) {
      Page<T, C> page = pages.pollFirst();
      pages.addLast(page);
      if (!page.writeQueued && prune(page) <= capacity / 2) {
        return page;
      }
    }
    return addPage(kind.prefix + nextPageNumber++);
  }

  /** Drops entries that are not live or are stored in another page; returns the remaining bytes. */
  private int prune(Page<T, C> page) {
    page.entries.removeIf(pageEntry -> !isRetained(page, pageEntry.entry));
    int bytes = 0;
    for (PageEntry<T, C> pageEntry : page.entries) {
      bytes += pageEntry.bytes;
    }
    return bytes;
  }

  /** Whether the page has to contain the entry; forgets that it does otherwise. */
  private boolean isRetained(Page<T, C> page, T entry) {
    if (storedPage.get(entry) != page && !page.entriesBeingStored.contains(entry)) {
      return false;
    }
    if (kind.isLive.test(entry)) {
      return true;
    }
    storedPage.remove(entry, page);
    pageBeingStored.remove(entry, page);
    page.entriesBeingStored.remove(entry);
    return false;
  }

  private void queueWrite(Page<T, C> page, Priority writePriority) {
    page.writeQueued = true;
    commit.accept(
        Mutation.of(
            writePriority,
            List.of(new Write(page.key, () -> nextValue(page))),
            () -> onPageStored(page)));
  }

  /** Renders the page's next value; called again if the transaction is not executed. */
  private JsonNode nextValue(Page<T, C> page) {
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
      PageEntry<T, C> encoded = encode(entry, kind.content.apply(entry));
      int additionalBytes = encoded.bytes - page.bytesOf(entry);
      if (bytes + additionalBytes > capacity) {
        if (encoded.bytes > capacity) {
          // Completions with too many gaps for any page; the entry shrinks as the gaps close.
          continue;
        }
        break;
      }
      remaining.remove();
      bytes += additionalBytes;
      add(page, encoded);
    }
    // The transaction may have capacity for another page.
    queueNextPage();
    return RecordWire.page(
        page.entries.stream()
            .map(pageEntry -> kind.encoder.apply(pageEntry.entry, pageEntry.content)));
  }

  private void add(Page<T, C> page, PageEntry<T, C> encoded) {
    T entry = encoded.entry;
    page.put(encoded);
    page.entriesBeingStored.add(entry);
    Page<T, C> superseded = pageBeingStored.put(entry, page);
    if (superseded != null && superseded != page) {
      // If that page is committed later, its older copy must not be taken for the newest.
      superseded.entriesBeingStored.remove(entry);
      if (storedPage.get(entry) != superseded) {
        superseded.remove(entry);
      }
    }
  }

  private void onPageStored(Page<T, C> page) {
    page.writeQueued = false;
    Set<T> added = page.entriesBeingStored;
    page.entriesBeingStored = new LinkedHashSet<>();
    for (T entry : added) {
      Page<T, C> previous = storedPage.put(entry, page);
      pageBeingStored.remove(entry, page);
      kind.onStored.accept(entry);
      if (previous != null && previous.evacuating && prune(previous) <= capacity) {
        previous.evacuating = false;
        queueWrite(previous, Priority.CLEANUP);
      }
    }
  }
}
