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
  private static final int MOST_BYTES = 12 * 1024;

  /** What a page takes beside its entries. */
  static final int FRAME_BYTES = 64;

  /** An entry as it was encoded for its page. */
  private record Packed(JsonNode json, int bytes) {}

  private static final class Page<T> {
    final String key;
    final Map<T, Packed> entries = new LinkedHashMap<>();

    /** Entries that the write under way adds. */
    Set<T> adding = new LinkedHashSet<>();

    boolean queued;

    /** It is too large: its entries are being stored elsewhere. */
    boolean emptying;

    Page(String key) {
      this.key = key;
    }
  }

  private final String prefix;
  private final Priority priority;
  private final Duration pace;
  private final int capacity;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final Predicate<T> isLive;
  private final Function<T, JsonNode> encode;
  private final Consumer<T> onStored;

  /** Pages in the order in which they are filled, the one written last at the end. */
  private final ArrayDeque<Page<T>> ring = new ArrayDeque<>();

  /** The page that is known to be stored with an entry; it keeps its copy until another is. */
  private final Map<T, Page<T>> homes = new HashMap<>();

  /** The page that is about to be stored with an entry's newest content. */
  private final Map<T, Page<T>> adding = new HashMap<>();

  private final Set<T> waiting = new LinkedHashSet<>();
  private long pages;
  private boolean flushSet;

  /** A page whose turn to be filled has not come, or null. */
  private Page<T> next;

  /**
   * Pages under a prefix.
   *
   * @param pace how long entries gather before a page is written
   * @param isLive whether an entry is still to be kept
   */
  RecordPages(
      String prefix,
      Priority priority,
      Duration pace,
      int valueBytes,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      Predicate<T> isLive,
      Function<T, JsonNode> encode,
      Consumer<T> onStored) {
    this.prefix = prefix;
    this.priority = priority;
    this.pace = pace;
    this.capacity = capacity(valueBytes);
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.isLive = isLive;
    this.encode = encode;
    this.onStored = onStored;
  }

  /** What the entries of one page may take together. */
  static int capacity(int valueBytes) {
    return Math.min(valueBytes, MOST_BYTES) - FRAME_BYTES;
  }

  /** Takes in an entry read at the start of a term. */
  void known(String key, T entry, JsonNode json) {
    Page<T> page = knownPage(key);
    page.entries.put(entry, pack(json));
    homes.put(entry, page);
  }

  /** Takes in a page read at the start of a term, so that its key is used and not taken for new. */
  Page<T> knownPage(String key) {
    for (Page<T> page : ring) {
      if (page.key.equals(key)) {
        return page;
      }
    }
    Page<T> page = new Page<>(key);
    ring.addLast(page);
    pages = Math.max(pages, RecordKeys.number(key, prefix) + 1);
    return page;
  }

  private static Packed pack(JsonNode json) {
    return new Packed(json, Json.bytes(json).length + 1);
  }

  /** The entry is new, or has changed since it was stored. */
  void due(T entry) {
    waiting.add(entry);
    if (!flushSet) {
      flushSet = true;
      eventLoop.schedule(pace, this::flush);
    }
  }

  /** Writes the pages of these entries again soon, since they are live no more. */
  void tidy(Iterable<T> entries) {
    Set<Page<T>> touched = new LinkedHashSet<>();
    for (T entry : entries) {
      Page<T> page = homes.get(entry);
      if (page != null && !page.queued) {
        touched.add(page);
      }
    }
    touched.forEach(this::storeAgain);
  }

  /** Writes the page again as it should be. */
  void rewrite(String key) {
    Page<T> page = knownPage(key);
    if (!page.queued) {
      storeAgain(page);
    }
  }

  private void storeAgain(Page<T> page) {
    if (prune(page) <= capacity) {
      queue(page, Priority.TIDY);
    } else {
      empty(page);
    }
  }

  /** Has one page that is too large stored as pages that are not; false when there is none. */
  boolean emptyTooLarge() {
    for (Page<T> page : ring) {
      if (!page.queued && !page.emptying && prune(page) > capacity) {
        empty(page);
        return true;
      }
    }
    return false;
  }

  /** Has what is live in the page stored elsewhere, after which it can be stored again. */
  private void empty(Page<T> page) {
    if (!page.emptying) {
      page.emptying = true;
      List.copyOf(page.entries.keySet()).forEach(this::due);
    }
  }

  private void flush() {
    flushSet = false;
    queueNext();
  }

  /** How much there is shows when it is encoded; what finds no room waits for the page after. */
  private void queueNext() {
    if (!waiting.isEmpty() && next == null) {
      next = pick();
      queue(next, priority);
    }
  }

  /** The next page in turn that is at most half full of what is still live. */
  private Page<T> pick() {
    for (int i = ring.size(); i > 0; i--) {
      Page<T> page = ring.pollFirst();
      ring.addLast(page);
      if (!page.queued && prune(page) <= capacity / 2) {
        return page;
      }
    }
    Page<T> page = new Page<>(prefix + pages++);
    ring.addLast(page);
    return page;
  }

  /** Drops what is over or is stored in another page; tells the bytes that are left. */
  private int prune(Page<T> page) {
    int bytes = 0;
    var entries = page.entries.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<T, Packed> each = entries.next();
      T entry = each.getKey();
      boolean here = homes.get(entry) == page || page.adding.contains(entry);
      if (here && isLive.test(entry)) {
        bytes += each.getValue().bytes;
        continue;
      }
      entries.remove();
      if (here) {
        homes.remove(entry, page);
        adding.remove(entry, page);
        page.adding.remove(entry);
      }
    }
    return bytes;
  }

  private void queue(Page<T> page, Priority as) {
    page.queued = true;
    commit.accept(
        Mutation.of(as, List.of(new Write(page.key, () -> fill(page))), () -> stored(page)));
  }

  /** The page's next value; asked for again when the transaction was not executed. */
  private JsonNode fill(Page<T> page) {
    if (page == next) {
      next = null;
    }
    page.emptying = false;
    int bytes = prune(page);
    var left = waiting.iterator();
    while (left.hasNext()) {
      T entry = left.next();
      if (!isLive.test(entry)) {
        left.remove();
        continue;
      }
      Packed packed = pack(encode.apply(entry));
      Packed before = page.entries.get(entry);
      int more = packed.bytes - (before == null ? 0 : before.bytes);
      if (bytes + more > capacity) {
        if (packed.bytes > capacity) {
          // Of completions, a pattern that no value holds: it becomes shorter as its gaps close.
          continue;
        }
        break;
      }
      left.remove();
      bytes += more;
      page.entries.put(entry, packed);
      page.adding.add(entry);
      Page<T> other = adding.put(entry, page);
      if (other != null && other != page) {
        // Stored after this one, its older content would count as the newest.
        other.adding.remove(entry);
        if (homes.get(entry) != other) {
          other.entries.remove(entry);
        }
      }
    }
    // Another page in the same transaction, if it takes one more.
    queueNext();
    return RecordWire.page(page.entries.values().stream().map(Packed::json));
  }

  private void stored(Page<T> page) {
    page.queued = false;
    Set<T> added = page.adding;
    page.adding = new LinkedHashSet<>();
    for (T entry : added) {
      Page<T> before = homes.put(entry, page);
      adding.remove(entry, page);
      onStored.accept(entry);
      if (before != null && before.emptying && prune(before) <= capacity) {
        before.emptying = false;
        queue(before, Priority.TIDY);
      }
    }
  }
}
