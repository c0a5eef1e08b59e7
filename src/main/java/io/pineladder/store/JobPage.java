package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.wire.RecordWire;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One value of the store with records of jobs and notifications of final states. What it holds to
 * be stored changes only when a transaction has committed; its capacity is reserved before.
 */
final class JobPage {
  final String key;

  /** The records that are stored, by job id. */
  private final Map<String, JsonNode> records = new LinkedHashMap<>();

  /** The notifications that are stored, by number. */
  private final Map<Long, Notification> notifications = new TreeMap<>();

  /** The jobs whose record is or will be here, by id. */
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  /** The most bytes that its content takes, that included which is not stored yet. */
  private int reservedBytes;

  /** An earlier leader left it larger than a value may be. */
  private boolean inheritedTooLarge;

  /** It is being divided: no transaction may change it but the one that deletes it. */
  private boolean dividing;

  JobPage(String key) {
    this.key = key;
  }

  // ---- capacity

  /** The most bytes that its next value can take. */
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

  /** From here on the page is not stored as long as it exceeds the capacity, if it does now. */
  void markTooLarge(int capacity) {
    inheritedTooLarge = reservedBytes > capacity;
  }

  /** Whether it exceeded the capacity when that was lowered. */
  boolean isInheritedTooLarge() {
    return inheritedTooLarge;
  }

  /** Whether it was left too large and still is. */
  boolean isOversized(int capacity) {
    return inheritedTooLarge && reservedBytes > capacity;
  }

  /** No edit but the copies' may use it any more; it is deleted in the end. */
  void beginDivision() {
    dividing = true;
  }

  boolean isDividing() {
    return dividing;
  }

  // ---- content

  /** The jobs whose record is or will be here. */
  Collection<Job> jobs() {
    return jobs.values();
  }

  void addJob(Job job) {
    jobs.put(job.spec.id(), job);
  }

  void removeJob(Job job) {
    jobs.remove(job.spec.id(), job);
  }

  /** The stored record of a job, or null. */
  JsonNode record(String jobId) {
    return records.get(jobId);
  }

  /** A record is known to be stored here. */
  void putRecord(String jobId, JsonNode record) {
    records.put(jobId, record);
  }

  boolean hasNotifications() {
    return !notifications.isEmpty();
  }

  /** A notification is known to be stored here. */
  void putNotification(Notification notification) {
    notifications.put(notification.number(), notification);
  }

  /** Leaves a notification out of the next value, if it is still in this one. */
  void removeNotification(long number, int bytes) {
    if (notifications.remove(number) != null) {
      reservedBytes -= bytes;
    }
  }

  /** Its value after these edits, which are applied only when they have committed. */
  JsonNode render(List<JobPageEdit> edits) {
    Map<String, JsonNode> nextRecords = new LinkedHashMap<>(records);
    Map<Long, Notification> nextNotifications = new TreeMap<>(notifications);
    edits.forEach(edit -> edit.apply(nextRecords, nextNotifications));
    return RecordWire.page(nextRecords.values().stream(), nextNotifications.values());
  }

  /** The transaction with these edits has committed. */
  void onCommitted(List<JobPageEdit> edits) {
    edits.forEach(edit -> edit.apply(records, notifications));
    edits.forEach(JobPageEdit::onCommitted);
  }
}
