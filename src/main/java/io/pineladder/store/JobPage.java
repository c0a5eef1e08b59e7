package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A store value that contains job records and notifications of final states. Its content here is
 * the committed content; capacity is reserved before a change is committed.
 */
final class JobPage {
  final String key;

  /** The committed records by job ID, encoded, since trees take several times as much memory. */
  private final Map<String, byte[]> records = new LinkedHashMap<>();

  /** The committed notifications, by number. */
  private final Map<Long, Notification> notifications = new TreeMap<>();

  /** The jobs whose record is or will be in this page, by job ID. */
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Upper bound of the content's size, uncommitted content included. */
  private int reservedBytes;

  /** Whether the page exceeded the capacity when {@link #markIfOversized} was called. */
  private boolean wasOversized;

  /** While the page is being divided, only the transaction that deletes it may change it. */
  private boolean dividing;

  JobPage(String key) {
    this.key = key;
  }

  // ---- capacity

  /** Upper bound of the size of its next value. */
  int maxValueBytes() {
    return RecordPages.PAGE_OVERHEAD_BYTES + reservedBytes;
  }

  int reservedBytes() {
    return reservedBytes;
  }

  void reserve(int bytes) {
    reservedBytes += bytes;
  }

  void release(int bytes) {
    reservedBytes -= bytes;
  }

  /** Marks the page if it exceeds the capacity now; it is not stored again until it fits. */
  void markIfOversized(int capacity) {
    wasOversized = reservedBytes > capacity;
  }

  boolean wasOversized() {
    return wasOversized;
  }

  /** Whether it was marked as oversized and still exceeds the capacity. */
  boolean isOversized(int capacity) {
    return wasOversized && reservedBytes > capacity;
  }

  /** Excludes all edits, because the page is copied to other pages and then deleted. */
  void beginDivision() {
    dividing = true;
  }

  boolean isDividing() {
    return dividing;
  }

  // ---- content

  /** The jobs whose record is or will be in this page. */
  Collection<Job> jobs() {
    return jobs.values();
  }

  void addJob(Job job) {
    jobs.put(job.spec.id(), job);
  }

  void removeJob(Job job) {
    jobs.remove(job.spec.id(), job);
  }

  /** The committed record of a job, or null. */
  JsonNode record(String jobId) {
    byte[] encoded = records.get(jobId);
    return encoded == null ? null : Json.decode(encoded);
  }

  /** Adds a committed record. */
  void putRecord(String jobId, JsonNode record) {
    records.put(jobId, Json.bytes(record));
  }

  boolean hasNotifications() {
    return !notifications.isEmpty();
  }

  /** Adds a committed notification. */
  void putNotification(Notification notification) {
    notifications.put(notification.number(), notification);
  }

  /** Removes a notification from the next value and releases its capacity. */
  void removeNotification(long number, int bytes) {
    if (notifications.remove(number) != null) {
      reservedBytes -= bytes;
    }
  }

  /** The value with these edits; the committed content stays as it is. */
  JsonNode render(List<JobPageEdit> edits) {
    Map<String, byte[]> nextRecords = new LinkedHashMap<>(records);
    Map<Long, Notification> nextNotifications = new TreeMap<>(notifications);
    edits.forEach(edit -> edit.apply(nextRecords, nextNotifications));
    return RecordWire.page(
        nextRecords.values().stream().map(Json::decode), nextNotifications.values());
  }

  /** Applies these edits, whose transaction was committed. */
  void onCommitted(List<JobPageEdit> edits) {
    edits.forEach(edit -> edit.apply(records, notifications));
    edits.forEach(JobPageEdit::onCommitted);
  }
}
