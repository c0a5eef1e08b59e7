package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A change to one entry of a job page, made in the same transaction as the mutation's other writes.
 * It is included in successive transactions until one is committed.
 */
final class JobPageEdit {
  private enum Kind {
    /** Adds a job's record. */
    ADD,
    /** Replaces a job's record if it exists. */
    REPLACE,
    /** Removes a job's record. */
    REMOVE,
    /** Copies a record from a page that is being divided; the copy names that page. */
    COPY,
    /** Adds the notification of a job's final state. */
    ADD_NOTIFICATION,
    /** Writes the page again without a change. */
    REWRITE
  }

  private final JobPages pages;
  private final Kind kind;

  /** The job whose entry changes; null for {@link Kind#REWRITE}. */
  private final Job job;

  private final String jobId;
  private final Supplier<JsonNode> value;

  /** The page that a record is copied from. */
  private final JobPage copiedFrom;

  /** The capacity reserved for a notification. */
  private final int notificationBytes;

  /** The page to change; null for the page that contains the job's record at the time. */
  private JobPage assignedPage;

  /** The record as last rendered, encoded; after the commit, the committed record. */
  private byte[] rendered;

  /** The notification as last allocated; null when no subscriber wants it. */
  private Notification notification;

  /** Whether this edit is part of a transaction that may be in flight. */
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

  /** The page that this edit changes at present; a job's record moves when its page is divided. */
  JobPage page() {
    return assignedPage != null ? assignedPage : pages.pageOf(job);
  }

  /** Whether this edit must be deferred until its page is divided. */
  boolean mustBeDeferred() {
    JobPage page = page();
    if (page == null) {
      return false;
    }
    if (page.isDividing() || !page.wasOversized()) {
      return page.isDividing();
    }
    int removedBytes = kind == Kind.REMOVE ? pages.recordBytes(job) : 0;
    return page.reservedBytes() - removedBytes > pages.capacity();
  }

  /** Marks this edit as part of no transaction. */
  void defer() {
    inFlight = false;
  }

  boolean isInFlight() {
    return inFlight;
  }

  /** Renders the present entry; called once for each transaction that includes this edit. */
  void prepare() {
    inFlight = true;
    switch (kind) {
      case ADD, REPLACE -> rendered = Json.bytes(value.get());
      case COPY -> {
        JsonNode record = copiedFrom.record(jobId);
        rendered =
            record == null ? null : Json.bytes(RecordWire.copiedRecord(record, copiedFrom.key));
      }
      case ADD_NOTIFICATION -> notification = pages.notificationLog().allocate(job);
      case REMOVE, REWRITE -> {}
      default -> throw new AssertionError(kind);
    }
  }

  /** Applies the change to the content of a page. */
  void apply(Map<String, byte[]> records, Map<Long, Notification> notifications) {
    switch (kind) {
      case ADD -> records.put(jobId, rendered);
      case REPLACE -> records.computeIfPresent(jobId, (id, previous) -> rendered);
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

  /** Moves the notification to another page, because its page is being divided. */
  void relocateNotification() {
    assignedPage.release(notificationBytes);
    assignedPage = pages.pageWithCapacity(notificationBytes);
    assignedPage.reserve(notificationBytes);
  }

  /** Releases the capacity reserved for the notification, which this edit will not add. */
  void cancelNotification() {
    assignedPage.release(notificationBytes);
  }

  /** Handles the commit of the transaction that includes this edit. */
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
