package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * The records of the jobs that this leader accepted, many in one value, so that a burst of
 * submissions does not cost a change of the store each.
 *
 * <p>Unlike the entries of {@link RecordPages} a job stands in one page only and leaves it in the
 * very transaction that stores its final state: a copy left behind would bring a job that is over
 * back to life. So a page's next value is made from the changes of one transaction, and what this
 * class holds to be stored changes only when that transaction has committed.
 *
 * <p>The notice that a job is over takes its record's place in the page, in that same transaction,
 * and so costs no change of its own. It stays until all subscribers are known to have it.
 *
 * <p>A page that an earlier leader left larger than a value may be now cannot be stored with fewer
 * jobs as long as the rest is still too large. {@link #divide} copies its jobs to other pages in
 * bounded steps and removes it in the last one. Until then the page counts and the copies, which
 * name it, do not; so each step is safe when it is the last, and what changes the page waits.
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
    private final Map<Long, Notification> notices = new TreeMap<>();

    /** What is in it takes, that included which is still on its way there. */
    private int bytes;

    /** The jobs in it that are not over, by id. */
    private final Map<String, Job> jobs = new LinkedHashMap<>();

    /** An earlier leader left it larger than a value may be. */
    private boolean inheritedTooLarge;

    /** It is being divided: no transaction may change it but the one that removes it. */
    private boolean dividing;

    private Page(String key) {
      this.key = key;
    }

    /** The most bytes that its next value can take. */
    int bytes() {
      return RecordPages.FRAME_BYTES + bytes;
    }

    /** Its value once these changes are made. */
    JsonNode render(List<Edit> edits) {
      Map<String, JsonNode> next = new LinkedHashMap<>(entries);
      Map<Long, Notification> told = new TreeMap<>(notices);
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
    /** A record of a page that is being divided is copied, with the name of that page. */
    COPY,
    /** Its notice is added. */
    NOTE,
    /** Nothing changes: the page is stored anew. */
    TOUCH
  }

  /** A change of one job's record, made in the same transaction as a mutation's other writes. */
  final class Edit {
    /** Where the change is made; null for the job's page at the time. */
    private Page fixed;

    private final Kind kind;

    /** Whose record it is; null for a change of none. */
    private final Job job;

    /** The page that a copy is made of. */
    private Page source;

    private final String id;
    private final Supplier<JsonNode> value;

    /** The record as last rendered, which is what a committed transaction holds. */
    private JsonNode rendered;

    /** The notice as last asked for; null when nobody wants it. */
    private Notification notification;

    /** The room kept for a notice. */
    private int room;

    /** It is part of a transaction that is under way, or was when it was last looked at. */
    private boolean underWay;

    private Edit(Page fixed, Kind kind, Job job, Supplier<JsonNode> value) {
      this.fixed = fixed;
      this.kind = kind;
      this.job = job;
      this.id = job == null ? "" : job.spec.id();
      this.value = value;
    }

    /** The page that it changes, as things stand: a job's record moves when its page is divided. */
    Page page() {
      return fixed != null ? fixed : homes.get(job);
    }

    /** Whether it has to wait until its page is divided. */
    boolean mustWait() {
      Page page = page();
      if (page == null || page.dividing || !page.inheritedTooLarge) {
        return page != null && page.dividing;
      }
      int leaves = kind == Kind.REMOVE ? sizes.get(job) : 0;
      return page.bytes - leaves > capacity;
    }

    /** It waits, and is part of no transaction. */
    void held() {
      underWay = false;
    }

    /** Asks for the record as it is now; called once for each transaction it is put into. */
    void fix() {
      underWay = true;
      if (kind == Kind.NOTE) {
        notification = notificationLog.next(job);
      } else if (kind == Kind.COPY) {
        JsonNode record = source.entries.get(id);
        rendered = record == null ? null : RecordWire.copied(record, source.key);
      } else if (kind != Kind.REMOVE && kind != Kind.TOUCH) {
        rendered = value.get();
      }
    }

    private void make(Map<String, JsonNode> records, Map<Long, Notification> notices) {
      switch (kind) {
        case ADD -> records.put(id, rendered);
        case REPLACE -> records.computeIfPresent(id, (same, old) -> rendered);
        case REMOVE -> records.remove(id);
        case COPY -> {
          if (rendered != null) {
            records.put(id, rendered);
          }
        }
        case TOUCH -> {}
        case NOTE -> {
          if (notification != null) {
            notices.put(notification.number(), notification);
          }
        }
      }
    }

    private void committed() {
      if (kind != Kind.NOTE) {
        return;
      }
      notes.remove(job);
      Page page = fixed;
      if (notification == null) {
        page.bytes -= room;
      } else {
        int taken = room(notification);
        page.bytes -= room - taken;
        notificationLog.stored(notification, taken, () -> drop(page, notification.number(), taken));
      }
    }
  }

  private final NotificationLog notificationLog;
  private final int capacity;
  private final ArrayDeque<Page> ring = new ArrayDeque<>();
  private final Map<Job, Page> homes = new HashMap<>();
  private final Map<Job, Integer> sizes = new HashMap<>();

  /** Notices that wait to be stored. */
  private final Map<Job, Edit> notes = new HashMap<>();

  /** Pages that hold copies which do not count, by the page that was to be divided. */
  private final Map<String, List<Page>> unfinished = new HashMap<>();

  private Page open;
  private long pages;

  JobPages(int valueBytes, NotificationLog notificationLog) {
    capacity = RecordPages.capacity(valueBytes);
    this.notificationLog = notificationLog;
  }

  /** Whether a job's record can be stored at all. */
  static boolean fits(JsonNode record, int valueBytes) {
    return size(record) <= RecordPages.capacity(valueBytes);
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
    pages = Math.max(pages, RecordKeys.number(key, RecordKeys.ACCEPTED) + 1);
    return page;
  }

  /** Takes in a job read at the start of a term. */
  void known(Page page, Job job, JsonNode record) {
    page.entries.put(job.spec.id(), record);
    settle(page, job, record);
  }

  /** Takes in a notice read at the start of a term. */
  void known(Page page, Notification notification) {
    int room = room(notification);
    page.notices.put(notification.number(), notification);
    page.bytes += room;
    notificationLog.stored(notification, room, () -> drop(page, notification.number(), room));
  }

  private static void drop(Page page, long number, int room) {
    if (page.notices.remove(number) != null) {
      page.bytes -= room;
    }
  }

  private static int room(Notification notification) {
    return Json.bytes(RecordWire.notice(notification)).length + 1;
  }

  private void settle(Page page, Job job, JsonNode record) {
    int size = size(record);
    page.bytes += size;
    homes.put(job, page);
    sizes.put(job, size);
    page.jobs.put(job.spec.id(), job);
  }

  /** A new job's record, in a page that has room for it. */
  Edit add(Job job, Supplier<JsonNode> value) {
    JsonNode record = value.get();
    int size = size(record);
    Page page = open(size);
    settle(page, job, record);
    return new Edit(page, Kind.ADD, job, value);
  }

  private Page open(int size) {
    if (open == null || open.bytes + size > capacity) {
      open = pick(size);
    }
    return open;
  }

  /**
   * The notice that a job is over: in the page of its record, so that one value changes and not
   * two, or where there is room.
   *
   * @param leaves whether the record leaves its page in the same transaction
   */
  Edit note(Job job, boolean leaves) {
    Edit before = notes.remove(job);
    if (before != null) {
      before.fixed.bytes -= before.room;
    }
    // Numbers are given when a transaction is put together; none is longer than this one.
    int room =
        room(
            new Notification(
                Long.MAX_VALUE,
                job.spec.id(),
                job.spec.team(),
                job.spec.jobClass(),
                Job.State.CANCELLED,
                job.spec.tasks(),
                LATEST));
    Page home = homes.get(job);
    // What leaves a page makes room for its notice there, unless the page is too large all the
    // same.
    boolean fits =
        home != null && (leaves ? !home.inheritedTooLarge : home.bytes + room <= capacity);
    Page page = fits ? home : open(room);
    page.bytes += room;
    Edit edit = new Edit(page, Kind.NOTE, job, null);
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
    Page page = new Page(RecordKeys.ACCEPTED + pages++);
    ring.addLast(page);
    return page;
  }

  Edit replace(Job job, Supplier<JsonNode> value) {
    return new Edit(null, Kind.REPLACE, job, value);
  }

  Edit remove(Job job) {
    return new Edit(null, Kind.REMOVE, job, null);
  }

  /** The page is stored anew as it should be. */
  Edit touch(String key) {
    return new Edit(known(key), Kind.TOUCH, null, null);
  }

  /** The job's record is not there, or no more. */
  void forget(Job job) {
    Page page = homes.remove(job);
    if (page != null) {
      page.bytes -= sizes.remove(job);
      page.jobs.remove(job.spec.id(), job);
    }
  }

  // ---- pages that are larger than a value may be

  /** Takes in a copy read at the start of a term whose page was not removed: it does not count. */
  void knownCopy(String key, String source) {
    unfinished.computeIfAbsent(source, s -> new ArrayList<>(2)).add(known(key));
    reserveNumber(source);
  }

  /**
   * No new page may have the name of one that was divided, or copies of it would seem unfinished.
   */
  void reserveNumber(String source) {
    pages = Math.max(pages, RecordKeys.number(source, RecordKeys.ACCEPTED) + 1);
  }

  /** From here on a page that is too large is not stored again, but divided. */
  void shrink() {
    ring.forEach(page -> page.inheritedTooLarge = page.bytes > capacity);
  }

  private Stream<Edit> notesIn(Page page) {
    return notes.values().stream().filter(note -> note.fixed == page);
  }

  /**
   * A page that has to be divided and can be, or null: one that is too large, holds no notice, now
   * or once the transaction under way is stored, and no record that takes more than a value by
   * itself.
   */
  Page tooLarge() {
    for (Page page : ring) {
      boolean large = page.inheritedTooLarge && page.bytes > capacity;
      boolean free =
          page.notices.isEmpty()
              && !page.dividing
              && notesIn(page).noneMatch(note -> note.underWay);
      if (large
          && free
          && page.jobs.values().stream().allMatch(job -> sizes.get(job) <= capacity)) {
        return page;
      }
    }
    return null;
  }

  /** Where a record of a page that is being divided goes, and the room kept for it there. */
  private record Target(Page page, int size) {}

  /**
   * Divides a page: from here on nothing else may change it.
   *
   * @param mostEdits jobs copied by one mutation at the most
   * @param commit takes the mutations, which have to be carried out in their order
   * @param onDivided called when the page is gone; what waited may go on
   */
  void divide(Page page, int mostEdits, Consumer<Mutation> commit, Runnable onDivided) {
    page.dividing = true;
    notesIn(page).forEach(this::moveNote);
    Map<Job, Target> targets = new LinkedHashMap<>();
    Map<Page, List<Edit>> copies = new LinkedHashMap<>();
    // Earlier copies of it would count as soon as it is gone.
    for (Page stale : unfinished.getOrDefault(page.key, List.of())) {
      copies
          .computeIfAbsent(stale, s -> new ArrayList<>())
          .add(new Edit(stale, Kind.TOUCH, null, null));
    }
    for (Job job : page.jobs.values()) {
      int size = sizes.get(job);
      Page target = open(size);
      target.bytes += size;
      targets.put(job, new Target(target, size));
      Edit copy = new Edit(target, Kind.COPY, job, null);
      copy.source = page;
      copies.computeIfAbsent(target, t -> new ArrayList<>()).add(copy);
    }
    for (List<Edit> edits : copies.values()) {
      for (int from = 0; from < edits.size(); from += mostEdits) {
        List<Edit> part = edits.subList(from, Math.min(edits.size(), from + mostEdits));
        commit.accept(
            Mutation.editing(
                Mutation.Priority.END, List.of(), List.copyOf(part), List.of(), () -> {}, null));
      }
    }
    commit.accept(
        Mutation.of(
            Mutation.Priority.END,
            List.of(new Mutation.Write(page.key, () -> null)),
            () -> {
              divided(page, targets);
              onDivided.run();
            }));
  }

  /** A notice that waits to be stored in a page that is being divided goes to another one. */
  private void moveNote(Edit note) {
    note.fixed.bytes -= note.room;
    note.fixed = open(note.room);
    note.fixed.bytes += note.room;
  }

  /** The page is gone: the copies of its records count from here on. */
  private void divided(Page page, Map<Job, Target> targets) {
    unfinished.remove(page.key);
    ring.remove(page);
    targets.forEach(
        (job, planned) -> {
          String id = job.spec.id();
          Page target = planned.page;
          JsonNode copy = target.entries.get(id);
          if (homes.get(job) == page && copy != null) {
            target.entries.put(id, RecordWire.withoutSource(copy));
            target.jobs.put(id, job);
            homes.put(job, target);
          } else {
            // It was over before the first copy was made.
            target.bytes -= planned.size;
          }
        });
  }
}
