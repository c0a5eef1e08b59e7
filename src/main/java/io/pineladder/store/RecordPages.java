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
 * as what is live in it is still too large: its entries are stored in other pages first.
 */
final class RecordPages<T> {
  /** Small pages cost little to write again for a few entries; many go into one transaction. */
  private static final int MAX_PAGE_BYTES = 12 * 1024;

  /** What a page takes beside its entries. */
  static final int PAGE_OVERHEAD_BYTES = 64;

  /** An entry as it was encoded for its page. */
  private record EncodedEntry(JsonNode json, int bytes) {}

  private static final class Page<T> {
    final String key;
    final Map<T, EncodedEntry> entries = new LinkedHashMap<>();

    /** Entries that the write under way adds. */
    Set<T> beingStored = new LinkedHashSet<>();

    boolean writeQueued;

    /** It is too large: its entries are being stored elsewhere. */
    boolean evacuating;

    Page(String key) {
      this.key = key;
    }
  }

  private final String prefix;
  private final Priority priority;
  private final Duration flushInterval;
  private final int capacity;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final Predicate<T> isLive;
  private final Function<T, JsonNode> encoder;
  private final Consumer<T> onStored;

  /** Pages in the order in which they are filled, the one written last at the end. */
  private final ArrayDeque<Page<T>> pages = new ArrayDeque<>();

  /** The page that is known to be stored with an entry; it keeps its copy until another is. */
  private final Map<T, Page<T>> storedPage = new HashMap<>();

  /** The page that is about to be stored with an entry's newest content. */
  private final Map<T, Page<T>> beingStoredPage = new HashMap<>();

  private final Set<T> pendingEntries = new LinkedHashSet<>();
  private long nextPageNumber;
  private boolean flushScheduled;

  /** A page whose turn to be filled has not come, or null. */
  private Page<T> pageToFill;

  /**
   * Pages under a prefix.
   *
   * @param pace how long entries gather before a page is written
   * @param isLive whether an entry is still to be kept
   */
  RecordPages(
      String prefix,
      Priority priority,
      Duration flushInterval,
      int valueBytes,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      Predicate<T> isLive,
      Function<T, JsonNode> encoder,
      Consumer<T> onStored) {
    this.prefix = prefix;
    this.priority = priority;
    this.flushInterval = flushInterval;
    this.capacity = capacity(valueBytes);
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.isLive = isLive;
    this.encoder = encoder;
    this.onStored = onStored;
  }

  /** What the entries of one page may take together. */
  static int capacity(int valueBytes) {
    return Math.min(valueBytes, MAX_PAGE_BYTES) - PAGE_OVERHEAD_BYTES;
  }

  /** Takes in an entry read at the start of a term. */
  void restore(String key, T entry, JsonNode json) {
    Page<T> page = restorePage(key);
    page.entries.put(entry, encode(json));
    storedPage.put(entry, page);
  }

  /** Takes in a page read at the start of a term, so that its key is used and not taken for new. */
  Page<T> restorePage(String key) {
    for (Page<T> page : pages) {
      if (page.key.equals(key)) {
        return page;
      }
    }
    Page<T> page = new Page<>(key);
    pages.addLast(page);
    nextPageNumber = Math.max(nextPageNumber, RecordKeys.pageNumber(key, prefix) + 1);
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
      eventLoop.schedule(flushInterval, this::flush);
    }
  }

  /** Writes the pages of these entries again soon, since they are live no more. */
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

  /** Writes the page again as it should be. */
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

  /** Has one page that is too large stored as pages that are not; false when there is none. */
  boolean evacuateOversizedPage() {
    for (Page<T> page : pages) {
      if (!page.writeQueued && !page.evacuating && prune(page) > capacity) {
        evacuate(page);
        return true;
      }
    }
    return false;
  }

  /** Has what is live in the page stored elsewhere, after which it can be stored again. */
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

  /** How much there is shows when it is encoded; what finds no room waits for the page after. */
  private void queueNextPage() {
    if (!pendingEntries.isEmpty() && pageToFill == null) {
      pageToFill = choosePage();
      queueWrite(pageToFill, priority);
    }
  }

  /** The next page in turn that is at most half full of what is still live. */
  private Page<T> choosePage() {
    for (int i = pages.size(); i > 0; i--) {
      Page<T> page = pages.pollFirst();
      pages.addLast(page);
      if (!page.writeQueued && prune(page) <= capacity / 2) {
        return page;
      }
    }
    Page<T> page = new Page<>(prefix + nextPageNumber++);
    pages.addLast(page);
    return page;
  }

  /** Drops what is over or is stored in another page; tells the bytes that are left. */
  private int prune(Page<T> page) {
    int bytes = 0;
    var entries = page.entries.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<T, EncodedEntry> each = entries.next();
      T entry = each.getKey();
      boolean here = storedPage.get(entry) == page || page.beingStored.contains(entry);
      if (here && isLive.test(entry)) {
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

  private void queueWrite(Page<T> page, Priority as) {
    page.writeQueued = true;
    commit.accept(
        Mutation.of(
            as, List.of(new Write(page.key, () -> nextValue(page))), () -> onPageStored(page)));
  }

  /** The page's next value; asked for again when the transaction was not executed. */
  private JsonNode nextValue(Page<T> page) {
    if (page == pageToFill) {
      pageToFill = null;
    }
    page.evacuating = false;
    int bytes = prune(page);
    var remaining = pendingEntries.iterator();
    while (remaining.hasNext()) {
      T entry = remaining.next();
      if (!isLive.test(entry)) {
        remaining.remove();
        continue;
      }
      EncodedEntry encoded = encode(encoder.apply(entry));
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
    // Another page in the same transaction, if it takes one more.
    queueNextPage();
    return RecordWire.page(page.entries.values().stream().map(EncodedEntry::json));
  }

  private void onPageStored(Page<T> page) {
    page.writeQueued = false;
    Set<T> added = page.beingStored;
    page.beingStored = new LinkedHashSet<>();
    for (T entry : added) {
      Page<T> before = storedPage.put(entry, page);
      beingStoredPage.remove(entry, page);
      onStored.accept(entry);
      if (before != null && before.evacuating && prune(before) <= capacity) {
        before.evacuating = false;
        queueWrite(before, Priority.CLEANUP);
      }
    }
  }
}
