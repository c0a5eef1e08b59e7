package io.pineladder.scheduling;

import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.queue.QueueEntry;
import io.pineladder.queue.SchedulingCheck;
import io.pineladder.queue.SchedulingQueue;
import io.pineladder.retry.TokenBucket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * The scheduling cycle: takes the entry of highest priority from the queue, places its tasks, and
 * returns the entry to the queue or removes it once its last task is started.
 */
final class SchedulingCycle {
  /**
   * The maximum number of tasks of one entry per cycle, after which entries of higher priority are
   * considered.
   */
  private static final int MAX_TASKS_PER_CYCLE = 128;

  /** The maximum number of cycles before the event loop handles other events. */
  private static final int MAX_CYCLES_PER_RUN = 20;

  /** Arrays with more tasks than this are subject to the start rate limit. */
  private static final int MAX_UNTHROTTLED_ARRAY_TASKS = 256;

  /**
   * The start rate limit for all large arrays together. Each start costs commands, heartbeats and a
   * completion, so starting tens of thousands of tasks at once would delay all other work of the
   * leader.
   */
  private static final double LARGE_ARRAY_STARTS_PER_SECOND = 120;

  /** The maximum number of tasks of a failing job that are tried at the same time. */
  private static final int MAX_PROBE_TASKS = 2;

  private final SchedulerContext context;
  private final PendingJobs pendingJobs;
  private final SchedulingQueue queue;
  private final FreedCapacity freedCapacity;
  private final PlacementPolicy placementPolicy;
  private final TaskStarter taskStarter;
  private final AttemptLifecycle attempts;
  private final TokenBucket largeArrayStarts;

  SchedulingCycle(
      SchedulerContext context,
      PendingJobs pendingJobs,
      FreedCapacity freedCapacity,
      PlacementPolicy placementPolicy,
      TaskStarter taskStarter,
      AttemptLifecycle attempts) {
    this.context = context;
    this.pendingJobs = pendingJobs;
    this.queue = pendingJobs.queue();
    this.freedCapacity = freedCapacity;
    this.placementPolicy = placementPolicy;
    this.taskStarter = taskStarter;
    this.attempts = attempts;
    // Holds two seconds of tokens: an initial back-off rounded up to its window can last that long.
    this.largeArrayStarts =
        new TokenBucket(
            LARGE_ARRAY_STARTS_PER_SECOND, 2 * LARGE_ARRAY_STARTS_PER_SECOND, context.now());
  }

  /**
   * Runs cycles until no entry is active, or requests another run after {@link
   * #MAX_CYCLES_PER_RUN}.
   */
  void runAll() {
    if (!context.callbacks.mayStartTasks()) {
      return;
    }
    Instant now = context.now();
    queue.activateExpired(now);
    for (int cycle = 0; cycle < MAX_CYCLES_PER_RUN; cycle++) {
      QueueEntry entry = queue.pop(now);
      if (entry == null) {
        if (freedCapacity.reoffer(now)) {
          continue;
        }
        // Stopping an attempt that was never sent adds freed machines, so drain() returns a copy.
        placementPolicy.moveSlowFetches(
            freedCapacity.drain(), now, attempt -> attempts.kill(attempt, Duration.ZERO));
        pendingJobs.scheduleBackoffWakeUp();
        return;
      }
      run(entry, now);
    }
    pendingJobs.requestRun();
  }

  private void run(QueueEntry entry, Instant now) {
    Job job = entry.job;
    if (!job.isActive() || job.pendingTasks.isEmpty()) {
      pendingJobs.removeInCycle(entry);
    } else if (job.blockedByDependencies) {
      queue.markUnschedulable(entry, SchedulingCheck.DEPENDENCY, now);
    } else if (job.spec.kind() == JobKind.GANG) {
      placeGang(entry, now);
    } else {
      placeTasks(entry, now);
    }
  }

  /** Places all tasks of a gang, or none. */
  private void placeGang(QueueEntry entry, Instant now) {
    Job job = entry.job;
    if (!job.attempts.isEmpty()) {
      queue.markUnschedulable(entry, SchedulingCheck.PREDECESSOR, now);
      return;
    }
    Placer.Decision decision = placementPolicy.place(job, job.spec.tasks(), now);
    if (!decision.isPlaced()) {
      reject(entry, decision.rejectedBy(), now);
      return;
    }
    if (job.spec.tasks() == 1 && waitsForCachedImage(entry, decision.machines().get(0), now)) {
      return;
    }
    List.copyOf(context.cluster.reservedFor(job)).forEach(context.cluster::unreserve);
    long number = taskStarter.nextAttemptNumber();
    for (int task = 0; task < job.spec.tasks(); task++) {
      taskStarter.start(job, task, number, decision.machines().get(task), now);
    }
    pendingJobs.removeInCycle(entry);
  }

  /** Places as many pending tasks of an array or service as limits and capacity allow. */
  private void placeTasks(QueueEntry entry, Instant now) {
    Job job = entry.job;
    int taskCount = Math.min(job.pendingTasks.cardinality(), MAX_TASKS_PER_CYCLE);
    if (job.failing) {
      taskCount = Math.min(taskCount, MAX_PROBE_TASKS - job.attempts.size());
      if (taskCount <= 0) {
        queue.markUnschedulable(entry, SchedulingCheck.FAILING, now);
        return;
      }
    }
    if (job.spec.kind() == JobKind.ARRAY) {
      taskCount = Math.min(taskCount, context.cluster.memoryBudget().arrayAttemptsLeft());
      if (taskCount == 0) {
        queue.backOff(entry, SchedulingCheck.PACE, now);
        return;
      }
    }
    boolean isRateLimited =
        job.spec.kind() == JobKind.ARRAY && job.spec.tasks() > MAX_UNTHROTTLED_ARRAY_TASKS;
    if (isRateLimited) {
      taskCount = Math.min(taskCount, largeArrayStarts.available(now));
      if (taskCount == 0) {
        queue.backOff(entry, SchedulingCheck.PACE, now);
        return;
      }
    }
    Placer.Decision decision = placementPolicy.place(job, taskCount, now);
    if (isRateLimited) {
      largeArrayStarts.consume(decision.machines().size(), now);
    }
    for (Machine machine : decision.machines()) {
      if (waitsForCachedImage(entry, machine, now)) {
        return;
      }
      taskStarter.start(
          job, job.pendingTasks.nextSetBit(0), taskStarter.nextAttemptNumber(), machine, now);
      if (!job.failing) {
        entry.resetBackoff();
      }
    }
    if (!decision.isPlaced()) {
      reject(entry, decision.rejectedBy(), now);
    } else if (job.pendingTasks.isEmpty()) {
      pendingJobs.removeInCycle(entry);
    } else {
      queue.requeue(entry);
    }
  }

  private void reject(QueueEntry entry, SchedulingCheck check, Instant now) {
    placementPolicy.onRejected(entry.job, check, now);
    queue.markUnschedulable(entry, check, now);
  }

  private boolean waitsForCachedImage(QueueEntry entry, Machine machineWithoutImage, Instant now) {
    boolean waits = placementPolicy.waitsForCachedImage(entry.job, machineWithoutImage, now);
    if (waits) {
      queue.markUnschedulable(entry, SchedulingCheck.FIT, now);
    }
    return waits;
  }
}
