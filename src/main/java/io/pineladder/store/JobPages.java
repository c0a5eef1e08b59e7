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
  private static final int RECORD_GROWTH_BYTES = 32;

  /** No time that a notice tells takes more room. */
  private static final Instant LONGEST_INSTANT = Instant.ofEpochMilli(Long.MAX_VALUE / 1_000_000);

  /** One value of the store. */
  static final class Page {
    final String key;

    /** What is stored, by job id. */
    private final Map<String, JsonNode> records = new LinkedHashMap<>();

    /** The notices that are stored, by number. */
    private final Map<Long, Notification> notifications = new TreeMap<>();

    /** What is in it takes, that included which is still on its way there. */
    private int reservedBytes;

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
    int maxValueBytes() {
      return RecordPages.PAGE_OVERHEAD_BYTES + reservedBytes;
    }

    /** Its value once these changes are made. */
    JsonNode render(List<Edit> edits) {
      Map<String, JsonNode> nextRecords = new LinkedHashMap<>(records);
      Map<Long, Notification> nextNotifications = new TreeMap<>(notifications);
      edits.forEach(edit -> edit.apply(nextRecords, nextNotifications));
      return RecordWire.page(nextRecords.values().stream(), nextNotifications.values());
    }

    /** The transaction with these changes has committed. */
    void onCommitted(List<Edit> edits) {
      edits.forEach(edit -> edit.apply(records, notifications));
      edits.forEach(Edit::onCommitted);
    }
  }

  /** What happens to a job's record. */
  private enum EditKind {
    ADD,
    REPLACE,
    REMOVE,
    /** A record of a page that is being divided is copied, with the name of that page. */
    COPY,
    /** Its notice is added. */
    ADD_NOTIFICATION,
    /** Nothing changes: the page is stored anew. */
    REWRITE
  }

  /** A change of one job's record, made in the same transaction as a mutation's other writes. */
  final class Edit {
    /** Where the change is made; null for the job's page at the time. */
    private Page assignedPage;

    private final EditKind kind;

    /** Whose record it is; null for a change of none. */
    private final Job job;

    /** The page that a copy is made of. */
    private Page copiedFrom;

    private final String id;
    private final Supplier<JsonNode> value;

    /** The record as last rendered, which is what a committed transaction holds. */
    private JsonNode rendered;

    /** The notice as last asked for; null when nobody wants it. */
    private Notification notification;

    /** The room kept for a notice. */
    private int notificationBytes;

    /** It is part of a transaction that is under way, or was when it was last looked at. */
    private boolean inFlight;

    private Edit(Page fixed, EditKind kind, Job job, Supplier<JsonNode> value) {
      this.assignedPage = fixed;
      this.kind = kind;
      this.job = job;
      this.id = job == null ? "" : job.spec.id();
      this.value = value;
    }

    /** The page that it changes, as things stand: a job's record moves when its page is divided. */
    Page page() {
      return assignedPage != null ? assignedPage : pageByJob.get(job);
    }

    /** Whether it has to wait until its page is divided. */
    boolean mustWait() {
      Page page = page();
      if (page == null || page.dividing || !page.inheritedTooLarge) {
        return page != null && page.dividing;
      }
      int leaves = kind == EditKind.REMOVE ? recordBytesByJob.get(job) : 0;
      return page.reservedBytes - leaves > capacity;
    }

    /** It waits, and is part of no transaction. */
    void defer() {
      inFlight = false;
    }

    /** Asks for the record as it is now; called once for each transaction it is put into. */
    void prepare() {
      inFlight = true;
      if (kind == EditKind.ADD_NOTIFICATION) {
        notification = notificationLog.allocate(job);
      } else if (kind == EditKind.COPY) {
        JsonNode record = copiedFrom.records.get(id);
        rendered = record == null ? null : RecordWire.copiedRecord(record, copiedFrom.key);
      } else if (kind != EditKind.REMOVE && kind != EditKind.REWRITE) {
        rendered = value.get();
      }
    }

    private void apply(Map<String, JsonNode> records, Map<Long, Notification> notices) {
      switch (kind) {
        case ADD -> records.put(id, rendered);
        case REPLACE -> records.computeIfPresent(id, (same, old) -> rendered);
        case REMOVE -> records.remove(id);
        case COPY -> {
          if (rendered != null) {
            records.put(id, rendered);
          }
        }
        case REWRITE -> {}
        case ADD_NOTIFICATION -> {
          if (notification != null) {
            notices.put(notification.number(), notification);
          }
        }
      }
    }

    private void onCommitted() {
      if (kind != EditKind.ADD_NOTIFICATION) {
        return;
      }
      pendingNotifications.remove(job);
      Page page = assignedPage;
      if (notification == null) {
        page.reservedBytes -= notificationBytes;
      } else {
        int taken = notificationBytes(notification);
        page.reservedBytes -= notificationBytes - taken;
        notificationLog.onStored(
            notification, taken, () -> removeNotification(page, notification.number(), taken));
      }
    }
  }

  private final NotificationLog notificationLog;
  private final int capacity;
  private final ArrayDeque<Page> pages = new ArrayDeque<>();
  private final Map<Job, Page> pageByJob = new HashMap<>();
  private final Map<Job, Integer> recordBytesByJob = new HashMap<>();

  /** Notices that wait to be stored. */
  private final Map<Job, Edit> pendingNotifications = new HashMap<>();

  /** Pages that hold copies which do not count, by the page that was to be divided. */
  private final Map<String, List<Page>> copiesByDividedPage = new HashMap<>();

  private Page openPage;
  private long nextPageNumber;

  JobPages(int valueBytes, NotificationLog notificationLog) {
    capacity = RecordPages.capacity(valueBytes);
    this.notificationLog = notificationLog;
  }

  /** Whether a job's record can be stored at all. */
  static boolean fits(JsonNode record, int valueBytes) {
    return recordBytes(record) <= RecordPages.capacity(valueBytes);
  }

  private static int recordBytes(JsonNode record) {
    return Json.bytes(record).length + 1 + RECORD_GROWTH_BYTES;
  }

  /** The page in which the job's record is or will be, or null. */
  Page pageOf(Job job) {
    return pageByJob.get(job);
  }

  /** Takes in a page read at the start of a term. */
  Page restore(String key) {
    for (Page page : pages) {
      if (page.key.equals(key)) {
        return page;
      }
    }
    Page page = new Page(key);
    pages.addLast(page);
    nextPageNumber = Math.max(nextPageNumber, RecordKeys.pageNumber(key, RecordKeys.JOB_PAGES) + 1);
    return page;
  }

  /** Takes in a job read at the start of a term. */
  void restore(Page page, Job job, JsonNode record) {
    page.records.put(job.spec.id(), record);
    assign(page, job, record);
  }

  /** Takes in a notice read at the start of a term. */
  void restore(Page page, Notification notification) {
    int room = notificationBytes(notification);
    page.notifications.put(notification.number(), notification);
    page.reservedBytes += room;
    notificationLog.onStored(
        notification, room, () -> removeNotification(page, notification.number(), room));
  }

  private static void removeNotification(Page page, long number, int room) {
    if (page.notifications.remove(number) != null) {
      page.reservedBytes -= room;
    }
  }

  private static int notificationBytes(Notification notification) {
    return Json.bytes(RecordWire.notification(notification)).length + 1;
  }

  private void assign(Page page, Job job, JsonNode record) {
    int size = recordBytes(record);
    page.reservedBytes += size;
    pageByJob.put(job, page);
    recordBytesByJob.put(job, size);
    page.jobs.put(job.spec.id(), job);
  }

  /** A new job's record, in a page that has room for it. */
  Edit addRecord(Job job, Supplier<JsonNode> value) {
    JsonNode record = value.get();
    int size = recordBytes(record);
    Page page = pageWithCapacity(size);
    assign(page, job, record);
    return new Edit(page, EditKind.ADD, job, value);
  }

  private Page pageWithCapacity(int size) {
    if (openPage == null || openPage.reservedBytes + size > capacity) {
      openPage = choosePage(size);
    }
    return openPage;
  }

  /**
   * The notice that a job is over: in the page of its record, so that one value changes and not
   * two, or where there is room.
   *
   * @param leaves whether the record leaves its page in the same transaction
   */
  Edit addNotification(Job job, boolean leaves) {
    Edit before = pendingNotifications.remove(job);
    if (before != null) {
      before.assignedPage.reservedBytes -= before.notificationBytes;
    }
    // Numbers are given when a transaction is put together; none is longer than this one.
    int room =
        notificationBytes(
            new Notification(
                Long.MAX_VALUE,
                job.spec.id(),
                job.spec.team(),
                job.spec.jobClass(),
                Job.State.CANCELLED,
                job.spec.tasks(),
                LONGEST_INSTANT));
    Page home = pageByJob.get(job);
    // What leaves a page makes room for its notice there, unless the page is too large all the
    // same.
    boolean fits =
        home != null && (leaves ? !home.inheritedTooLarge : home.reservedBytes + room <= capacity);
    Page page = fits ? home : pageWithCapacity(room);
    page.reservedBytes += room;
    Edit edit = new Edit(page, EditKind.ADD_NOTIFICATION, job, null);
    edit.notificationBytes = room;
    pendingNotifications.put(job, edit);
    return edit;
  }

  private Page choosePage(int size) {
    for (int i = pages.size(); i > 0; i--) {
      Page page = pages.pollFirst();
      pages.addLast(page);
      if (page.reservedBytes <= capacity / 2 && page.reservedBytes + size <= capacity) {
        return page;
      }
    }
    Page page = new Page(RecordKeys.JOB_PAGES + nextPageNumber++);
    pages.addLast(page);
    return page;
  }

  Edit replaceRecord(Job job, Supplier<JsonNode> value) {
    return new Edit(null, EditKind.REPLACE, job, value);
  }

  Edit removeRecord(Job job) {
    return new Edit(null, EditKind.REMOVE, job, null);
  }

  /** The page is stored anew as it should be. */
  Edit rewrite(String key) {
    return new Edit(restore(key), EditKind.REWRITE, null, null);
  }

  /** The job's record is not there, or no more. */
  void remove(Job job) {
    Page page = pageByJob.remove(job);
    if (page != null) {
      page.reservedBytes -= recordBytesByJob.remove(job);
      page.jobs.remove(job.spec.id(), job);
    }
  }

  // ---- pages that are larger than a value may be

  /** Takes in a copy read at the start of a term whose page was not removed: it does not count. */
  void restoreCopy(String key, String source) {
    copiesByDividedPage.computeIfAbsent(source, s -> new ArrayList<>(2)).add(restore(key));
    reserveNumber(source);
  }

  /**
   * No new page may have the name of one that was divided, or copies of it would seem unfinished.
   */
  void reserveNumber(String source) {
    nextPageNumber =
        Math.max(nextPageNumber, RecordKeys.pageNumber(source, RecordKeys.JOB_PAGES) + 1);
  }

  /** From here on a page that is too large is not stored again, but divided. */
  void markOversizedPages() {
    pages.forEach(page -> page.inheritedTooLarge = page.reservedBytes > capacity);
  }

  private Stream<Edit> pendingNotificationsIn(Page page) {
    return pendingNotifications.values().stream().filter(note -> note.assignedPage == page);
  }

  /**
   * A page that has to be divided and can be, or null: one that is too large, holds no notice, now
   * or once the transaction under way is stored, and no record that takes more than a value by
   * itself.
   */
  Page nextOversizedPage() {
    for (Page page : pages) {
      boolean large = page.inheritedTooLarge && page.reservedBytes > capacity;
      boolean free =
          page.notifications.isEmpty()
              && !page.dividing
              && pendingNotificationsIn(page).noneMatch(note -> note.inFlight);
      if (large
          && free
          && page.jobs.values().stream().allMatch(job -> recordBytesByJob.get(job) <= capacity)) {
        return page;
      }
    }
    return null;
  }

  /** Where a record of a page that is being divided goes, and the room kept for it there. */
  private record CopyTarget(Page page, int recordBytes) {}

  /**
   * Divides a page: from here on nothing else may change it.
   *
   * @param mostEdits jobs copied by one mutation at the most
   * @param commit takes the mutations, which have to be carried out in their order
   * @param onDivided called when the page is gone; what waited may go on
   */
  void divide(Page page, int maxEditsPerMutation, Consumer<Mutation> commit, Runnable onDivided) {
    page.dividing = true;
    pendingNotificationsIn(page).forEach(this::relocate);
    Map<Job, CopyTarget> targets = new LinkedHashMap<>();
    Map<Page, List<Edit>> copies = new LinkedHashMap<>();
    // Earlier copies of it would count as soon as it is gone.
    for (Page stale : copiesByDividedPage.getOrDefault(page.key, List.of())) {
      copies
          .computeIfAbsent(stale, s -> new ArrayList<>())
          .add(new Edit(stale, EditKind.REWRITE, null, null));
    }
    for (Job job : page.jobs.values()) {
      int size = recordBytesByJob.get(job);
      Page target = pageWithCapacity(size);
      target.reservedBytes += size;
      targets.put(job, new CopyTarget(target, size));
      Edit copy = new Edit(target, EditKind.COPY, job, null);
      copy.copiedFrom = page;
      copies.computeIfAbsent(target, t -> new ArrayList<>()).add(copy);
    }
    for (List<Edit> edits : copies.values()) {
      for (int from = 0; from < edits.size(); from += maxEditsPerMutation) {
        List<Edit> part = edits.subList(from, Math.min(edits.size(), from + maxEditsPerMutation));
        commit.accept(
            Mutation.withPageEdits(
                Mutation.Priority.FINAL_STATE,
                List.of(),
                List.copyOf(part),
                List.of(),
                () -> {},
                null));
      }
    }
    commit.accept(
        Mutation.of(
            Mutation.Priority.FINAL_STATE,
            List.of(new Mutation.Write(page.key, () -> null)),
            () -> {
              onDivided(page, targets);
              onDivided.run();
            }));
  }

  /** A notice that waits to be stored in a page that is being divided goes to another one. */
  private void relocate(Edit note) {
    note.assignedPage.reservedBytes -= note.notificationBytes;
    note.assignedPage = pageWithCapacity(note.notificationBytes);
    note.assignedPage.reservedBytes += note.notificationBytes;
  }

  /** The page is gone: the copies of its records count from here on. */
  private void onDivided(Page page, Map<Job, CopyTarget> targets) {
    copiesByDividedPage.remove(page.key);
    pages.remove(page);
    targets.forEach(
        (job, planned) -> {
          String id = job.spec.id();
          Page target = planned.page;
          JsonNode copy = target.records.get(id);
          if (pageByJob.get(job) == page && copy != null) {
            target.records.put(id, RecordWire.withoutCopySource(copy));
            target.jobs.put(id, job);
            pageByJob.put(job, target);
          } else {
            // It was over before the first copy was made.
            target.reservedBytes -= planned.recordBytes;
          }
        });
  }
}
