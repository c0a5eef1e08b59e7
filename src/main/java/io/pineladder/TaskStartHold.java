package io.pineladder;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds back task starts after a rebuild of the records that may be incomplete. An attempt without
 * a record may still be running, and a second attempt of the same task must not be started. The
 * hold ends once every machine has sent a heartbeat or its release is confirmed.
 */
final class TaskStartHold {
  private static final Logger log = LoggerFactory.getLogger(TaskStartHold.class);
  private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(1);

  /**
   * A term that begins later than this after the rebuild does not hold task starts: earlier terms
   * have received heartbeats from all machines or have released them.
   */
  private static final Duration MAX_REBUILD_AGE = Duration.ofMinutes(5);

  /** How long after such a rebuild tasks without a record are left running. */
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
   * Holds back task starts if the records may be incomplete.
   *
   * @param isInventoryConfirmed whether all machines and the tasks that run on them are known
   * @param onReleased called when tasks may start again; not called if there was no hold
   */
  void startIfNeeded(BooleanSupplier isInventoryConfirmed, Runnable onReleased) {
    held = recordLoss.isRebuildIncompleteWithin(MAX_REBUILD_AGE);
    if (held) {
      log.info(
          "Task starts held, machine inventory unconfirmed: term={} reason=incomplete-rebuild",
          lifecycle.term());
      scheduleReview(isInventoryConfirmed, onReleased);
    }
  }

  private void scheduleReview(BooleanSupplier isInventoryConfirmed, Runnable onReleased) {
    eventLoop.schedule(REVIEW_INTERVAL, () -> review(isInventoryConfirmed, onReleased));
  }

  private void review(BooleanSupplier isInventoryConfirmed, Runnable onReleased) {
    if (!lifecycle.isLeading()) {
      return;
    }
    if (lifecycle.isLeadingWithValidLease() && isInventoryConfirmed.getAsBoolean()) {
      held = false;
      log.info("Task starts released, machine inventory confirmed: term={}", lifecycle.term());
      onReleased.run();
      return;
    }
    scheduleReview(isInventoryConfirmed, onReleased);
  }

  boolean isHeld() {
    return held;
  }

  /** Whether tasks without a record may be running, which must not be ended. */
  boolean mayTasksBeUnrecorded() {
    return held || recordLoss.isRebuildIncompleteWithin(UNRECORDED_TASK_RETENTION);
  }
}
