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
 * The jobs with pending tasks: the queue entry of each, and when the queue is processed next. A job
 * has one entry at most, which exists from its first pending task until its last one is started.
 */
final class PendingJobs {
  /**
   * An entry that no event has activated for so long is tried again; that leaves a third of the
   * starvation bound for it.
   */
  static final Duration UNSCHEDULABLE_RETRY_DELAY = Duration.ofSeconds(15);

  /** At most one unschedulable entry in so many is tried again in a second. */
  private static final int UNSCHEDULABLE_RETRY_DIVISOR = 15;

  /** Unschedulable entries of one check that are tried again in a second at the most. */
  private static final int MAX_UNSCHEDULABLE_RETRIES_PER_CHECK = 32;

  /** Between two scheduling cycles of a job that policy alone denies capacity. */
  private static final Duration WITHHELD_RETRY_DELAY = Duration.ofSeconds(5);

  private final EventLoop eventLoop;
  private final SchedulingQueue queue;
  private final Runnable runCycles;
  private final Map<String, QueueEntry> entriesByJob = new HashMap<>();
  private boolean runRequested;
  private Instant backoffWakeUpAt;

  /**
   * No pending jobs.
   *
   * @param runCycles processes the queue; run from the event loop, once for any number of requests
   */
  PendingJobs(EventLoop eventLoop, SchedulingQueue queue, Runnable runCycles) {
    this.eventLoop = eventLoop;
    this.queue = queue;
    this.runCycles = runCycles;
  }

  SchedulingQueue queue() {
    return queue;
  }

  /** The entries of all jobs with pending tasks. */
  Iterable<QueueEntry> entries() {
    return entriesByJob.values();
  }

  /** Makes the job's entry active if it has pending tasks. */
  void enqueue(Job job) {
    if (job.isActive() && !job.pendingTasks.isEmpty()) {
      queue.add(entry(job));
      requestRun();
    }
  }

  /** The job's entry, created if there is none. */
  QueueEntry entry(Job job) {
    return entriesByJob.computeIfAbsent(job.spec.id(), id -> new QueueEntry(job));
  }

  /** Removes the entry of a job that is over. */
  void remove(Job job) {
    QueueEntry entry = entriesByJob.remove(job.spec.id());
    if (entry != null) {
      queue.remove(entry);
    }
  }

  /** Removes an entry in its scheduling cycle none of whose tasks is pending any more. */
  void removeInCycle(QueueEntry entry) {
    queue.remove(entry);
    entriesByJob.remove(entry.job.spec.id());
  }

  /** The last dependency of a job is met: its entry becomes active. */
  void activate(Job job) {
    QueueEntry entry = entriesByJob.get(job.spec.id());
    if (entry != null) {
      queue.activateUnschedulable(entry);
    }
  }

  /** The job's priority class or deadlines have changed. */
  void reorder(Job job) {
    QueueEntry entry = entriesByJob.get(job.spec.id());
    if (entry != null) {
      queue.reorder(entry);
    }
  }

  /** Has the queue processed once the current event is handled. */
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

  /** Has the queue processed when the next back-off expires. */
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
   * Activates entries that no event has activated for long, and those that policy alone denies
   * capacity. Called once a second. Without it a job waited for as long as nothing else happened on
   * the machine whose capacity had been reserved for another.
   *
   * @param withheld the jobs that policy alone denies capacity
   */
  void retryUnschedulable(List<Job> withheld, Instant now) {
    int unschedulable = queue.sizes().get(QueueEntry.State.UNSCHEDULABLE);
    int maxPerCheck =
        Math.min(
            MAX_UNSCHEDULABLE_RETRIES_PER_CHECK, 1 + unschedulable / UNSCHEDULABLE_RETRY_DIVISOR);
    queue.retryUnschedulable(now.minus(UNSCHEDULABLE_RETRY_DELAY), maxPerCheck);
    for (Job job : withheld) {
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
