package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notice;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The records of the jobs that this leader accepted, many in one value, so that a burst of
 * submissions does not cost a change of the store each.
 *
 * <p>Unlike the entries of {@link Pages} a job stands in one page only and leaves it in the very
 * transaction that stores its final state: a copy left behind would bring a job that is over back to
 * life. So a page's next value is made from the changes of one transaction, and what this class
 * holds to be stored changes only when that transaction has committed.
 *
 * <p>The notice that a job is over takes its record's place in the page, in that same transaction,
 * and so costs no change of its own. It stays until all subscribers are known to have it.
 */
final class JobPages {
  /** What a record may still grow by: a final state, a verdict. */
  private static final int GROWTH_BYTES = 32;

  /** No time that a notice tells takes more room. */
  private static final Instant LATEST = Instant.ofEpochMilli(Long.MAX_VALUE / 1_000_000);

  /** One value of the store. */
  static final class Page {
    final String key;

    /** What is stored, by job id. */
    private final Map<String, JsonNode> entries = new LinkedHashMap<>();

    /** The notices that are stored, by number. */
    private final Map<Long, Notice> notices = new TreeMap<>();

    /** What is in it takes, that included which is still on its way there. */
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
      Map<Long, Notice> told = new TreeMap<>(notices);
      edits.forEach(edit -> edit.make(next, told));
      return RecordWire.page(next.values().stream(), told.values());
    }

    /** The transaction with these changes has committed. */
    void committed(List<Edit> edits) {
      edits.forEach(edit -> edit.make(entries, notices));
      edits.forEach(Edit::committed);
    }
  }

  /** What happens to a job's record. */
  private enum Kind {
    ADD,
    REPLACE,
    REMOVE,
    /** Its notice is added. */
    NOTE,
    /** Nothing changes: the page is stored anew. */
    TOUCH
  }

  /** A change of one job's record, made in the same transaction as a mutation's other writes. */
  final class Edit {
    final Page page;
    private final Kind kind;
    private final String id;
    private final Supplier<JsonNode> value;

    /** The record as last rendered, which is what a committed transaction holds. */
    private JsonNode rendered;

    /** The notice as last asked for; null when nobody wants it. */
    private Notice notice;

    /** Whose end it tells of, and the room kept for that. */
    private Job over;

    private int room;

    private Edit(Page page, Kind kind, String id, Supplier<JsonNode> value) {
      this.page = page;
      this.kind = kind;
      this.id = id;
      this.value = value;
    }

    /** Asks for the record as it is now; called once for each transaction it is put into. */
    void fix() {
      if (kind == Kind.NOTE) {
        notice = book.next(over);
      } else if (kind != Kind.REMOVE && kind != Kind.TOUCH) {
        rendered = value.get();
      }
    }

    private void make(Map<String, JsonNode> records, Map<Long, Notice> notices) {
      switch (kind) {
        case ADD -> records.put(id, rendered);
        case REPLACE -> records.computeIfPresent(id, (same, old) -> rendered);
        case REMOVE -> records.remove(id);
        case TOUCH -> {}
        case NOTE -> {
          if (notice != null) {
            notices.put(notice.number(), notice);
          }
        }
      }
    }

    private void committed() {
      if (kind != Kind.NOTE) {
        return;
      }
      notes.remove(over);
      if (notice == null) {
        page.bytes -= room;
      } else {
        int taken = room(notice);
        page.bytes -= room - taken;
        book.stored(notice, taken, () -> drop(page, notice.number(), taken));
      }
    }
  }

  private final NoticeBook book;
  private final int capacity;
  private final ArrayDeque<Page> ring = new ArrayDeque<>();
  private final Map<Job, Page> homes = new HashMap<>();
  private final Map<Job, Integer> sizes = new HashMap<>();

  /** Notices that wait to be stored. */
  private final Map<Job, Edit> notes = new HashMap<>();

  private Page open;
  private long pages;

  JobPages(int valueBytes, NoticeBook book) {
    capacity = Pages.capacity(valueBytes);
    this.book = book;
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

  /** Takes in a notice read at the start of a term. */
  void known(Page page, Notice notice) {
    int room = room(notice);
    page.notices.put(notice.number(), notice);
    page.bytes += room;
    book.stored(notice, room, () -> drop(page, notice.number(), room));
  }

  private static void drop(Page page, long number, int room) {
    if (page.notices.remove(number) != null) {
      page.bytes -= room;
    }
  }

  private static int room(Notice notice) {
    return Json.bytes(RecordWire.notice(notice)).length + 1;
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
    Page page = open(size);
    settle(page, job, record);
    return new Edit(page, Kind.ADD, job.spec.id(), value);
  }

  private Page open(int size) {
    if (open == null || open.bytes + size > capacity) {
      open = pick(size);
    }
    return open;
  }

  /**
   * The notice that a job is over: in the page of its record, so that one value changes and not two,
   * or where there is room.
   *
   * @param leaves whether the record leaves its page in the same transaction
   */
  Edit note(Job job, boolean leaves) {
    Edit before = notes.remove(job);
    if (before != null) {
      before.page.bytes -= before.room;
    }
    // Numbers are given when a transaction is put together; none is longer than this one.
    int room =
        room(
            new Notice(
                Long.MAX_VALUE,
                job.spec.id(),
                job.spec.team(),
                job.spec.jobClass(),
                Job.State.CANCELLED,
                job.spec.tasks(),
                LATEST));
    Page home = homes.get(job);
    Page page =
        home != null && (leaves || home.bytes + room <= capacity) ? home : open(room);
    page.bytes += room;
    Edit edit = new Edit(page, Kind.NOTE, job.spec.id(), null);
    edit.over = job;
    edit.room = room;
    notes.put(job, edit);
    return edit;
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

  /** The page is stored anew as it should be. */
  Edit touch(String key) {
    return new Edit(known(key), Kind.TOUCH, "", null);
  }

  /** The job's record is not there, or no more. */
  void forget(Job job) {
    Page page = homes.remove(job);
    if (page != null) {
      page.bytes -= sizes.remove(job);
    }
  }
}
