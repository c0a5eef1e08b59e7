package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The records of the jobs that this leader accepted, many in one value, so that a burst of
 * submissions does not cost a change of the store each.
 *
 * <p>Unlike the entries of {@link Pages} a job stands in one page only and leaves it in the very
 * transaction that stores its final state: a copy left behind would bring a job that is over back to
 * life. So a page's next value is made from the changes of one transaction, and what this class
 * holds to be stored changes only when that transaction has committed.
 */
final class JobPages {
  /** What a record may still grow by: a final state, a verdict. */
  private static final int GROWTH_BYTES = 32;

  /** One value of the store. */
  static final class Page {
    final String key;

    /** What is stored, by job id. */
    private final Map<String, JsonNode> entries = new LinkedHashMap<>();

    /** What the jobs in it take, those included that are still on their way there. */
    private int bytes;

    private Page(String key) {
      this.key = key;
    }

    /** The most bytes that its next value can take. */
    int bytes() {
      return Pages.FRAME_BYTES + bytes;
    }

    /** Its value once these changes are made. */
    JsonNode render(List<Edit> edits) {
      Map<String, JsonNode> next = new LinkedHashMap<>(entries);
      edits.forEach(edit -> edit.make(next));
      return RecordWire.page(next.values().stream());
    }

    /** The transaction with these changes has committed. */
    void committed(List<Edit> edits) {
      edits.forEach(edit -> edit.make(entries));
    }
  }

  /** What happens to a job's record. */
  private enum Kind {
    ADD,
    REPLACE,
    REMOVE
  }

  /** A change of one job's record, made in the same transaction as a mutation's other writes. */
  static final class Edit {
    final Page page;
    private final Kind kind;
    private final String id;
    private final Supplier<JsonNode> value;

    /** The record as last rendered, which is what a committed transaction holds. */
    private JsonNode rendered;

    private Edit(Page page, Kind kind, String id, Supplier<JsonNode> value) {
      this.page = page;
      this.kind = kind;
      this.id = id;
      this.value = value;
    }

    /** Asks for the record as it is now; called once for each transaction it is put into. */
    void fix() {
      rendered = kind == Kind.REMOVE ? null : value.get();
    }

    private void make(Map<String, JsonNode> records) {
      switch (kind) {
        case ADD -> records.put(id, rendered);
        case REPLACE -> records.computeIfPresent(id, (same, old) -> rendered);
        case REMOVE -> records.remove(id);
      }
    }
  }

  private final int capacity;
  private final ArrayDeque<Page> ring = new ArrayDeque<>();
  private final Map<Job, Page> homes = new HashMap<>();
  private final Map<Job, Integer> sizes = new HashMap<>();
  private Page open;
  private long pages;

  JobPages(int valueBytes) {
    capacity = Pages.capacity(valueBytes);
  }

  /** Whether a job's record can be stored at all. */
  static boolean fits(JsonNode record, int valueBytes) {
    return size(record) <= Pages.capacity(valueBytes);
  }

  private static int size(JsonNode record) {
    return Json.bytes(record).length + 1 + GROWTH_BYTES;
  }

  /** The page in which the job's record is or will be, or null. */
  Page homeOf(Job job) {
    return homes.get(job);
  }

  /** Takes in a page read at the start of a term. */
  Page known(String key) {
    for (Page page : ring) {
      if (page.key.equals(key)) {
        return page;
      }
    }
    Page page = new Page(key);
    ring.addLast(page);
    pages = Math.max(pages, Keys.number(key, Keys.ACCEPTED) + 1);
    return page;
  }

  /** Takes in a job read at the start of a term. */
  void known(Page page, Job job, JsonNode record) {
    page.entries.put(job.spec.id(), record);
    settle(page, job, record);
  }

  private void settle(Page page, Job job, JsonNode record) {
    int size = size(record);
    page.bytes += size;
    homes.put(job, page);
    sizes.put(job, size);
  }

  /** A new job's record, in a page that has room for it. */
  Edit add(Job job, Supplier<JsonNode> value) {
    JsonNode record = value.get();
    int size = size(record);
    if (open == null || open.bytes + size > capacity) {
      open = pick(size);
    }
    settle(open, job, record);
    return new Edit(open, Kind.ADD, job.spec.id(), value);
  }

  private Page pick(int size) {
    for (int i = ring.size(); i > 0; i--) {
      Page page = ring.pollFirst();
      ring.addLast(page);
      if (page.bytes <= capacity / 2 && page.bytes + size <= capacity) {
        return page;
      }
    }
    Page page = new Page(Keys.ACCEPTED + pages++);
    ring.addLast(page);
    return page;
  }

  Edit replace(Job job, Supplier<JsonNode> value) {
    return new Edit(homes.get(job), Kind.REPLACE, job.spec.id(), value);
  }

  Edit remove(Job job) {
    return new Edit(homes.get(job), Kind.REMOVE, job.spec.id(), null);
  }

  /** The job's record is not there, or no more. */
  void forget(Job job) {
    Page page = homes.remove(job);
    if (page != null) {
      page.bytes -= sizes.remove(job);
    }
  }
}
