package io.pineladder;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds back task starts after an incomplete rebuild of the records: an attempt of a task may run
 * on a machine that no record tells of, and a second one must not be started beside it. The hold
 * ends once every machine was heard or is known to be gone.
 */
final class TaskStartHold {
  private static final Logger log = LoggerFactory.getLogger(TaskStartHold.class);
  private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(1);

  /**
   * A term that begins so long after an incomplete rebuild need not hold again: the terms before
   * have heard all machines, or have returned them.
   */
  private static final Duration MAX_REBUILD_AGE = Duration.ofMinutes(5);

  /** So long after an incomplete rebuild tasks run on, though no record tells of them. */
  private static final Duration UNRECORDED_TASK_RETENTION = Duration.ofSeconds(60);

  private final TermLifecycle lifecycle;
  private final RecordLossReporter recordLoss;
  private final EventLoop eventLoop;
  private boolean held;

  TaskStartHold(TermLifecycle lifecycle, RecordLossReporter recordLoss, EventLoop eventLoop) {
    this.lifecycle = lifecycle;
    this.recordLoss = recordLoss;
    this.eventLoop = eventLoop;
  }

  /**
   * Holds task starts back if the records may be incomplete.
   *
   * @param allMachinesHeard whether nothing can run on a machine that is not known
   * @param onReleased called when tasks may start again; not called when nothing is held
   */
  void startIfNeeded(BooleanSupplier allMachinesHeard, Runnable onReleased) {
    held = recordLoss.isRebuildIncompleteWithin(MAX_REBUILD_AGE);
    if (held) {
      log.info(
          "Task starts held until all machines are heard: term={} reason=incomplete-rebuild",
          lifecycle.term());
      scheduleReview(allMachinesHeard, onReleased);
    }
  }

  private void scheduleReview(BooleanSupplier allMachinesHeard, Runnable onReleased) {
    eventLoop.schedule(REVIEW_INTERVAL, () -> review(allMachinesHeard, onReleased));
  }

  private void review(BooleanSupplier allMachinesHeard, Runnable onReleased) {
    if (!lifecycle.isLeading()) {
      return;
    }
    if (lifecycle.mayAct() && allMachinesHeard.getAsBoolean()) {
      held = false;
      log.info("Task starts released, all machines heard: term={}", lifecycle.term());
      onReleased.run();
      return;
    }
    scheduleReview(allMachinesHeard, onReleased);
  }

  /** Whether no task may be started. */
  boolean isHeld() {
    return held;
  }

  /** Whether tasks may run that no record tells of, so that they must not be ended. */
  boolean mayTasksBeUnrecorded() {
    return held || recordLoss.isRebuildIncompleteWithin(UNRECORDED_TASK_RETENTION);
  }
}
