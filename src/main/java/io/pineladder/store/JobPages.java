package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The records of the jobs that leaders accepted, many in one value, so that a burst of submissions
 * does not cost a change of the store each.
 *
 * <p>Unlike the entries of {@link RecordPages} a job is in one page only and leaves it in the very
 * transaction that stores its final state: a copy left behind would bring a job that has ended back
 * to life. So a page's next value is made from the edits of one transaction, and what this class
 * holds to be stored changes only when that transaction has committed.
 *
 * <p>The notification that a job has ended takes its record's place in the page, in that same
 * transaction, and so costs no change of its own. It stays until all subscribers are known to have
 * it.
 */
final class JobPages {
  /** What a record may still grow by: a final state, a fault attribution. */
  private static final int RECORD_GROWTH_BYTES = 32;

  /** No instant that a notification holds takes more bytes. */
  private static final Instant LONGEST_INSTANT = Instant.ofEpochMilli(Long.MAX_VALUE / 1_000_000);

  private final NotificationLog notificationLog;
  private final int capacity;

  /** All pages, in the order in which they are considered for new records. */
  private final ArrayDeque<JobPage> pages = new ArrayDeque<>();

  private final Map<Job, JobPage> pageByJob = new HashMap<>();
  private final Map<Job, Integer> recordBytesByJob = new HashMap<>();

  /** Notifications that are not stored yet. */
  private final Map<Job, JobPageEdit> pendingNotifications = new HashMap<>();

  /** The page that gets new records, or null. */
  private JobPage openPage;

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

  /** The bytes that a notification takes in its page. */
  static int notificationBytes(Notification notification) {
    return Json.bytes(RecordWire.notification(notification)).length + 1;
  }

  // ---- what edits and division need

  /** The page in which the job's record is or will be, or null. */
  JobPage pageOf(Job job) {
    return pageByJob.get(job);
  }

  /** The bytes reserved for the record of a job that is in a page. */
  int recordBytes(Job job) {
    return recordBytesByJob.get(job);
  }

  /** What the content of one page may take, in bytes. */
  int capacity() {
    return capacity;
  }

  NotificationLog notificationLog() {
    return notificationLog;
  }

  Collection<JobPage> pages() {
    return pages;
  }

  /** The notifications that are to be stored in a page. */
  List<JobPageEdit> pendingNotificationsIn(JobPage page) {
    return pendingNotifications.values().stream().filter(edit -> edit.page() == page).toList();
  }

  /** A page with capacity for that many bytes, a new one if there is none. */
  JobPage pageWithCapacity(int bytes) {
    if (openPage == null || openPage.reservedBytes() + bytes > capacity) {
      openPage = choosePage(bytes);
    }
    return openPage;
  }

  private JobPage choosePage(int bytes) {
    for (int i = pages.size(); i > 0; i--) {
      JobPage page = pages.pollFirst();
      pages.addLast(page);
      if (page.reservedBytes() <= capacity / 2 && page.reservedBytes() + bytes <= capacity) {
        return page;
      }
    }
    JobPage page = new JobPage(RecordKeys.JOB_PAGES + nextPageNumber++);
    pages.addLast(page);
    return page;
  }

  /** The job's record, whose bytes are reserved there, is in that page from here on. */
  void moveTo(JobPage page, Job job) {
    page.addJob(job);
    pageByJob.put(job, page);
  }

  /** The page is not stored any more. */
  void removePage(JobPage page) {
    pages.remove(page);
  }

  /**
   * No new page may have the name of one that was divided, or copies of it would seem unfinished.
   */
  void reserveNumber(String key) {
    nextPageNumber = Math.max(nextPageNumber, RecordKeys.pageNumber(key, RecordKeys.JOB_PAGES) + 1);
  }

  // ---- the start of a term

  /** Takes over a page, if it is not known yet. */
  JobPage restore(String key) {
    for (JobPage page : pages) {
      if (page.key.equals(key)) {
        return page;
      }
    }
    JobPage page = new JobPage(key);
    pages.addLast(page);
    reserveNumber(key);
    return page;
  }

  /** Takes over a job's record. */
  void restore(JobPage page, Job job, JsonNode record) {
    page.putRecord(job.spec.id(), record);
    assign(page, job, record);
  }

  /** Takes over a notification. */
  void restore(JobPage page, Notification notification) {
    int bytes = notificationBytes(notification);
    page.putNotification(notification);
    page.reserve(bytes);
    notificationStored(page, notification, bytes);
  }

  private void assign(JobPage page, Job job, JsonNode record) {
    int bytes = recordBytes(record);
    page.reserve(bytes);
    recordBytesByJob.put(job, bytes);
    moveTo(page, job);
  }

  // ---- edits

  /** Adds a new job's record, in a page that has capacity for it. */
  JobPageEdit addRecord(Job job, Supplier<JsonNode> value) {
    JsonNode record = value.get();
    JobPage page = pageWithCapacity(recordBytes(record));
    assign(page, job, record);
    return JobPageEdit.add(this, page, job, value);
  }

  /** Replaces the job's record. */
  JobPageEdit replaceRecord(Job job, Supplier<JsonNode> value) {
    return JobPageEdit.replace(this, job, value);
  }

  /** Removes the job's record. */
  JobPageEdit removeRecord(Job job) {
    return JobPageEdit.remove(this, job);
  }

  /** Stores a page anew from memory. */
  JobPageEdit rewrite(String key) {
    return JobPageEdit.rewrite(this, restore(key));
  }

  /** The job's record is not stored, or not any more. */
  void remove(Job job) {
    JobPage page = pageByJob.remove(job);
    if (page != null) {
      page.release(recordBytesByJob.remove(job));
      page.removeJob(job);
    }
  }

  /**
   * Adds the notification that a job has ended: in the page of its record, so that one value
   * changes and not two, or where there is capacity.
   *
   * @param removesRecord whether the record leaves its page in the same transaction
   */
  JobPageEdit addNotification(Job job, boolean removesRecord) {
    JobPageEdit previous = pendingNotifications.remove(job);
    if (previous != null) {
      previous.cancelNotification();
    }
    int bytes = maxNotificationBytes(job);
    JobPage own = pageByJob.get(job);
    // What leaves a page makes way for its notification there, unless the page is too large all
    // the same.
    boolean fits =
        own != null
            && (removesRecord
                ? !own.isInheritedTooLarge()
                : own.reservedBytes() + bytes <= capacity);
    JobPage page = fits ? own : pageWithCapacity(bytes);
    page.reserve(bytes);
    JobPageEdit edit = JobPageEdit.addNotification(this, page, job, bytes);
    pendingNotifications.put(job, edit);
    return edit;
  }

  /** Numbers are given when a transaction is assembled; no notification is longer than this one. */
  private static int maxNotificationBytes(Job job) {
    return notificationBytes(
        new Notification(
            Long.MAX_VALUE,
            job.spec.id(),
            job.spec.team(),
            job.spec.jobClass(),
            Job.State.CANCELLED,
            job.spec.tasks(),
            LONGEST_INSTANT));
  }

  /** The transaction that adds the job's notification has committed. */
  void notificationCommitted(Job job) {
    pendingNotifications.remove(job);
  }

  /** A notification is in the page; the log decides when it may leave. */
  void notificationStored(JobPage page, Notification notification, int bytes) {
    notificationLog.onStored(
        notification, bytes, () -> page.removeNotification(notification.number(), bytes));
  }
}
