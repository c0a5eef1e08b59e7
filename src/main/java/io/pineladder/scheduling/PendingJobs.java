package io.pineladder.scheduling;

import io.pineladder.model.Job;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.QueueEntry;
import io.pineladder.queue.SchedulingQueue;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The jobs with pending tasks: the queue entry of each job, and the next run of the scheduling
 * cycles. A job has at most one entry, which exists from its first pending task until its last task
 * is started.
 */
final class PendingJobs {
  /**
   * How long an entry stays unschedulable without an event before it is retried. This bounds how
   * late {@link StarvationBound} detects that policy withholds capacity.
   */
  static final Duration UNSCHEDULABLE_RETRY_DELAY = Duration.ofSeconds(15);

  /**
   * Retries per second and check are limited to the number of unschedulable entries divided by
   * this, plus one.
   */
  private static final int UNSCHEDULABLE_RETRY_DIVISOR = 15;

  /** The maximum number of unschedulable entries of one check that are retried per second. */
  private static final int MAX_UNSCHEDULABLE_RETRIES_PER_CHECK = 32;

  /** The interval between scheduling cycles of a job that is denied capacity by policy alone. */
  private static final Duration WITHHELD_RETRY_DELAY = Duration.ofSeconds(5);

  private final EventLoop eventLoop;
  private final SchedulingQueue queue;
  private final Runnable runCycles;
  private final Map<String, QueueEntry> entriesByJob = new HashMap<>();
  private boolean runRequested;
  private Instant backoffWakeUpAt;

  /**
   * Creates an instance without pending jobs.
   *
   * @param runCycles runs scheduling cycles; called from the event loop once for any number of
   *     requests
   */
  PendingJobs(EventLoop eventLoop, SchedulingQueue queue, Runnable runCycles) {
    this.eventLoop = eventLoop;
    this.queue = queue;
    this.runCycles = runCycles;
  }

  SchedulingQueue queue() {
    return queue;
  }

  /** The queue entries of all jobs with pending tasks. */
  Iterable<QueueEntry> entries() {
    return entriesByJob.values();
  }

  /** Activates the queue entry of the job if it has pending tasks. */
  void enqueue(Job job) {
    if (job.isActive() && !job.pendingTasks.isEmpty()) {
      queue.add(entry(job));
      requestRun();
    }
  }

  /** Returns the queue entry of the job, creating it if needed. */
  QueueEntry entry(Job job) {
    return entriesByJob.computeIfAbsent(job.spec.id(), id -> new QueueEntry(job));
  }

  /** Removes the queue entry of a job that is done or cancelled. */
  void remove(Job job) {
    QueueEntry entry = entriesByJob.remove(job.spec.id());
    if (entry != null) {
      queue.remove(entry);
    }
  }

  /** Removes an entry that is in its scheduling cycle and has no pending tasks left. */
  void removeInCycle(QueueEntry entry) {
    queue.remove(entry);
    entriesByJob.remove(entry.job.spec.id());
  }

  /** Activates the queue entry of a job whose last prerequisite is done. */
  void activate(Job job) {
    QueueEntry entry = entriesByJob.get(job.spec.id());
    if (entry != null) {
      queue.activateUnschedulable(entry);
    }
  }

  /** Reorders the queue entry of a job whose priority class or deadlines have changed. */
  void reorder(Job job) {
    QueueEntry entry = entriesByJob.get(job.spec.id());
    if (entry != null) {
      queue.reorder(entry);
    }
  }

  /** Requests a run of the scheduling cycles after the current event. */
  void requestRun() {
    if (!runRequested) {
      runRequested = true;
      eventLoop.schedule(Duration.ZERO, this::run);
    }
  }

  private void run() {
    runRequested = false;
    runCycles.run();
  }

  /** Schedules a run of the scheduling cycles for when the next back-off expires. */
  void scheduleBackoffWakeUp() {
    Instant next = queue.nextBackoffExpiry();
    Instant now = eventLoop.now();
    if (next == null
        || (backoffWakeUpAt != null
            && backoffWakeUpAt.isAfter(now)
            && !next.isBefore(backoffWakeUpAt))) {
      return;
    }
    backoffWakeUpAt = next;
    Duration wait = Duration.between(now, next);
    eventLoop.schedule(
        wait.isNegative() ? Duration.ZERO : wait.plusMillis(1),
        () -> {
          backoffWakeUpAt = null;
          requestRun();
        });
  }

  /**
   * Activates entries that no event has activated for a long time, and entries of jobs that are
   * denied capacity by policy alone. Called once a second. Some changes raise no event, such as the
   * expiry of a reservation for another job.
   *
   * @param withheldJobs the jobs that are denied capacity by policy alone
   */
  void retryUnschedulable(List<Job> withheldJobs, Instant now) {
    int unschedulable = queue.sizes().get(QueueEntry.State.UNSCHEDULABLE);
    int maxPerCheck =
        Math.min(
            MAX_UNSCHEDULABLE_RETRIES_PER_CHECK, 1 + unschedulable / UNSCHEDULABLE_RETRY_DIVISOR);
    queue.retryUnschedulable(now.minus(UNSCHEDULABLE_RETRY_DELAY), maxPerCheck);
    for (Job job : withheldJobs) {
      QueueEntry entry = entriesByJob.get(job.spec.id());
      if (entry != null && !entry.lastCycleAt().plus(WITHHELD_RETRY_DELAY).isAfter(now)) {
        queue.activateUnschedulable(entry);
      }
    }
    if (queue.hasActive()) {
      requestRun();
    }
  }
}
