package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.wire.RecordWire;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A change of one entry of a page of jobs, made in the same transaction as a mutation's other
 * writes. It is put into one transaction after another until one has committed.
 */
final class JobPageEdit {
  /** What changes. */
  private enum Kind {
    /** A job's record is added. */
    ADD,
    /** A job's record is replaced, if it is there. */
    REPLACE,
    /** A job's record is removed. */
    REMOVE,
    /** A record of a page that is being divided is copied, with the name of that page. */
    COPY,
    /** The notification that a job has ended is added. */
    ADD_NOTIFICATION,
    /** Nothing changes: the page is stored anew. */
    REWRITE
  }

  private final JobPages pages;
  private final Kind kind;

  /** Whose record it is; null for a change of none. */
  private final Job job;

  private final String jobId;
  private final Supplier<JsonNode> value;

  /** The page that a record is copied from. */
  private final JobPage copiedFrom;

  /** The capacity reserved for a notification. */
  private final int notificationBytes;

  /** Where the change is made; null for the job's page at the time. */
  private JobPage assignedPage;

  /** The record as last rendered, which is what a committed transaction holds. */
  private JsonNode rendered;

  /** The notification as last allocated; null when there is no subscriber. */
  private Notification notification;

  /** It is part of a transaction that is in flight, or was when it was last checked. */
  private boolean inFlight;

  private JobPageEdit(
      JobPages pages,
      Kind kind,
      JobPage assignedPage,
      Job job,
      Supplier<JsonNode> value,
      JobPage copiedFrom,
      int notificationBytes) {
    this.pages = pages;
    this.kind = kind;
    this.assignedPage = assignedPage;
    this.job = job;
    this.jobId = job == null ? "" : job.spec.id();
    this.value = value;
    this.copiedFrom = copiedFrom;
    this.notificationBytes = notificationBytes;
  }

  static JobPageEdit add(JobPages pages, JobPage page, Job job, Supplier<JsonNode> value) {
    return new JobPageEdit(pages, Kind.ADD, page, job, value, null, 0);
  }

  static JobPageEdit replace(JobPages pages, Job job, Supplier<JsonNode> value) {
    return new JobPageEdit(pages, Kind.REPLACE, null, job, value, null, 0);
  }

  static JobPageEdit remove(JobPages pages, Job job) {
    return new JobPageEdit(pages, Kind.REMOVE, null, job, null, null, 0);
  }

  static JobPageEdit copy(JobPages pages, JobPage from, JobPage to, Job job) {
    return new JobPageEdit(pages, Kind.COPY, to, job, null, from, 0);
  }

  static JobPageEdit addNotification(JobPages pages, JobPage page, Job job, int reservedBytes) {
    return new JobPageEdit(pages, Kind.ADD_NOTIFICATION, page, job, null, null, reservedBytes);
  }

  static JobPageEdit rewrite(JobPages pages, JobPage page) {
    return new JobPageEdit(pages, Kind.REWRITE, page, null, null, null, 0);
  }

  /** The page that it changes now: a job's record moves when its page is divided. */
  JobPage page() {
    return assignedPage != null ? assignedPage : pages.pageOf(job);
  }

  /** Whether it has to wait until its page is divided. */
  boolean mustWait() {
    JobPage page = page();
    if (page == null) {
      return false;
    }
    if (page.isDividing() || !page.isInheritedTooLarge()) {
      return page.isDividing();
    }
    int removedBytes = kind == Kind.REMOVE ? pages.recordBytes(job) : 0;
    return page.reservedBytes() - removedBytes > pages.capacity();
  }

  /** It waits, and is part of no transaction. */
  void defer() {
    inFlight = false;
  }

  boolean isInFlight() {
    return inFlight;
  }

  /** Renders the entry as it is now; called once for each transaction it is put into. */
  void prepare() {
    inFlight = true;
    switch (kind) {
      case ADD, REPLACE -> rendered = value.get();
      case COPY -> {
        JsonNode record = copiedFrom.record(jobId);
        rendered = record == null ? null : RecordWire.copiedRecord(record, copiedFrom.key);
      }
      case ADD_NOTIFICATION -> notification = pages.notificationLog().allocate(job);
      case REMOVE, REWRITE -> {}
      default -> throw new AssertionError(kind);
    }
  }

  /** Makes the change in the content of the page. */
  void apply(Map<String, JsonNode> records, Map<Long, Notification> notifications) {
    switch (kind) {
      case ADD -> records.put(jobId, rendered);
      case REPLACE -> records.computeIfPresent(jobId, (same, old) -> rendered);
      case REMOVE -> records.remove(jobId);
      case COPY -> {
        if (rendered != null) {
          records.put(jobId, rendered);
        }
      }
      case ADD_NOTIFICATION -> {
        if (notification != null) {
          notifications.put(notification.number(), notification);
        }
      }
      case REWRITE -> {}
      default -> throw new AssertionError(kind);
    }
  }

  /** Its page does not take the notification, which goes to another one. */
  void relocateNotification() {
    assignedPage.release(notificationBytes);
    assignedPage = pages.pageWithCapacity(notificationBytes);
    assignedPage.reserve(notificationBytes);
  }

  /** The notification is not to be stored by this edit: its capacity is free again. */
  void cancelNotification() {
    assignedPage.release(notificationBytes);
  }

  /** The transaction has committed. */
  void onCommitted() {
    if (kind != Kind.ADD_NOTIFICATION) {
      return;
    }
    pages.notificationCommitted(job);
    if (notification == null) {
      assignedPage.release(notificationBytes);
    } else {
      int storedBytes = JobPages.notificationBytes(notification);
      assignedPage.release(notificationBytes - storedBytes);
      pages.notificationStored(assignedPage, notification, storedBytes);
    }
  }
}
