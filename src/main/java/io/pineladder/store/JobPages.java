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
 * The records of the jobs that leaders accepted. A page contains many of them, so that a burst of
 * submissions does not need one write to the store per job.
 *
 * <p>Unlike an entry of {@link RecordPages}, a job's record is in one page only and is removed in
 * the transaction that stores its final state; a stale copy would resurrect a completed job. A
 * page's next value is therefore rendered from the edits of one transaction, and the committed
 * content is updated only when that transaction is committed.
 *
 * <p>The notification of a job's final state replaces its record in the page in that transaction
 * and so needs no additional write. It is retained until all subscribers have acknowledged it.
 */
final class JobPages {
  /** Reserve for the growth of a record: its final state and fault attribution. */
  private static final int RECORD_GROWTH_BYTES = 32;

  /** The instant with the longest encoding in a notification. */
  private static final Instant LONGEST_INSTANT = Instant.ofEpochMilli(Long.MAX_VALUE / 1_000_000);

  private final NotificationLog notificationLog;
  private final int capacity;

  /** All pages, in the order in which they are considered for new content. */
  private final ArrayDeque<JobPage> pages = new ArrayDeque<>();

  private final Map<String, JobPage> pageByKey = new HashMap<>();
  private final Map<Job, JobPage> pageByJob = new HashMap<>();
  private final Map<Job, Integer> recordBytesByJob = new HashMap<>();

  /** Notifications that are not committed yet. */
  private final Map<Job, JobPageEdit> pendingNotifications = new HashMap<>();

  /** The page that new content is added to, or null. */
  private JobPage openPage;

  private long nextPageNumber;

  JobPages(int valueBytes, NotificationLog notificationLog) {
    capacity = RecordPages.capacity(valueBytes);
    this.notificationLog = notificationLog;
  }

  /** Whether a job's record fits into a page. */
  static boolean fits(JsonNode record, int valueBytes) {
    return recordBytes(record) <= RecordPages.capacity(valueBytes);
  }

  private static int recordBytes(JsonNode record) {
    return Json.bytes(record).length + 1 + RECORD_GROWTH_BYTES;
  }

  /** The size of a notification in its page, in bytes. */
  static int notificationBytes(Notification notification) {
    return Json.bytes(RecordWire.notification(notification)).length + 1;
  }

  // ---- access for edits and division

  /** The page that contains or will contain the job's record, or null. */
  JobPage pageOf(Job job) {
    return pageByJob.get(job);
  }

  /** The bytes reserved for the record of a job that is in a page. */
  int recordBytes(Job job) {
    return recordBytesByJob.get(job);
  }

  /** Upper bound of the content of a page, in bytes. */
  int capacity() {
    return capacity;
  }

  NotificationLog notificationLog() {
    return notificationLog;
  }

  Collection<JobPage> pages() {
    return pages;
  }

  /** The edits that add notifications to the page and are not committed yet. */
  List<JobPageEdit> pendingNotificationsIn(JobPage page) {
    return pendingNotifications.values().stream().filter(edit -> edit.page() == page).toList();
  }

  /** Returns a page with free capacity for that many bytes; creates one if there is none. */
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
    return addPage(RecordKeys.JOB_PAGES + nextPageNumber++);
  }

  /** Records that the page contains the job's record; capacity was reserved before. */
  void moveTo(JobPage page, Job job) {
    page.addJob(job);
    pageByJob.put(job, page);
  }

  /** Removes a page that was deleted from the store. */
  void removePage(JobPage page) {
    pages.remove(page);
    pageByKey.remove(page.key, page);
  }

  /**
   * Excludes the number in this page key from use for new pages. If a new page had the key of a
   * divided page, copies made from the divided page would be ignored.
   */
  void reserveNumber(String key) {
    nextPageNumber = Math.max(nextPageNumber, RecordKeys.pageNumber(key, RecordKeys.JOB_PAGES) + 1);
  }

  /** Drops all pages; nothing may be stored from here on. */
  void clear() {
    pages.clear();
    pageByKey.clear();
    pageByJob.clear();
    recordBytesByJob.clear();
    pendingNotifications.clear();
    openPage = null;
  }

  // ---- the start of a term

  /** Returns the page with this key; registers it if it is not known yet. */
  JobPage restore(String key) {
    JobPage known = pageByKey.get(key);
    if (known != null) {
      return known;
    }
    reserveNumber(key);
    return addPage(key);
  }

  private JobPage addPage(String key) {
    JobPage page = new JobPage(key);
    pages.addLast(page);
    pageByKey.put(key, page);
    return page;
  }

  /** Restores a job's record in a page. */
  void restore(JobPage page, Job job, JsonNode record) {
    page.putRecord(job.spec.id(), record);
    assign(page, job, record);
  }

  /** Restores a notification in a page. */
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

  /** Returns an edit that adds a new job's record to a page with free capacity. */
  JobPageEdit addRecord(Job job, Supplier<JsonNode> value) {
    JsonNode record = value.get();
    JobPage page = pageWithCapacity(recordBytes(record));
    assign(page, job, record);
    return JobPageEdit.add(this, page, job, value);
  }

  JobPageEdit replaceRecord(Job job, Supplier<JsonNode> value) {
    return JobPageEdit.replace(this, job, value);
  }

  JobPageEdit removeRecord(Job job) {
    return JobPageEdit.remove(this, job);
  }

  /** Returns an edit that writes a page again from memory. */
  JobPageEdit rewrite(String key) {
    return JobPageEdit.rewrite(this, restore(key));
  }

  /** Releases the capacity of a job whose record was removed or not stored. */
  void removeJob(Job job) {
    JobPage page = pageByJob.remove(job);
    if (page != null) {
      page.release(recordBytesByJob.remove(job));
      page.removeJob(job);
    }
  }

  /**
   * Returns an edit that adds the notification of a job's final state. It is added to the page of
   * the job's record if it fits there, so that only one value changes, or else to another page.
   *
   * @param removesRecord whether the record is removed in the same transaction
   */
  JobPageEdit addNotification(Job job, boolean removesRecord) {
    JobPageEdit previous = pendingNotifications.remove(job);
    if (previous != null) {
      previous.cancelNotification();
    }
    int bytes = maxNotificationBytes(job);
    JobPage ownPage = pageByJob.get(job);
    // A removed record leaves enough space for its notification, unless the page is oversized.
    boolean fits =
        ownPage != null
            && (removesRecord
                ? !ownPage.wasOversized()
                : ownPage.reservedBytes() + bytes <= capacity);
    JobPage page = fits ? ownPage : pageWithCapacity(bytes);
    page.reserve(bytes);
    JobPageEdit edit = JobPageEdit.addNotification(this, page, job, bytes);
    pendingNotifications.put(job, edit);
    return edit;
  }

  /** Upper bound of the notification's size; its number is allocated at transaction assembly. */
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

  void notificationCommitted(Job job) {
    pendingNotifications.remove(job);
  }

  /** Reports a committed notification to the log, which decides when it is removed. */
  void notificationStored(JobPage page, Notification notification, int bytes) {
    notificationLog.onStored(
        notification, bytes, () -> page.removeNotification(notification.number(), bytes));
  }
}
