package io.pineladder;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells operators why no task starts now, and since when: one log line for each change of the
 * reason, repeated while it lasts, and the state for the metrics. Event thread only.
 */
public final class TaskStartMonitor {
  private static final Logger log = LoggerFactory.getLogger(TaskStartMonitor.class);

  /** How often the line is repeated while the reason stays the same. */
  private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(30);

  /** Why this controller starts no task, in the order in which the reasons are checked. */
  public enum Reason {
    /** Tasks start, or none is pending. */
    NONE(false),
    /** Another controller leads. */
    FOLLOWING(false),
    /** No leader is known. */
    NO_LEADER(true),
    /** This controller was elected and still reads the records. */
    LOADING(true),
    /** The lease may have expired, so this controller must not act. */
    LEASE_IN_DOUBT(true),
    /** The records may be incomplete after a data loss, and not all machines are heard from. */
    START_HOLD(true),
    /** The cloud has not named the machine types yet. */
    NO_MACHINE_TYPES(true),
    /** No machine has sent a heartbeat with the fencing token of this term. */
    NO_CONFIRMED_MACHINE(true),
    /** Changes wait for the key-value store; a start is sent only after its placement is stored. */
    COMMIT_PENDING(true),
    /** A check rejects every pending job; the counts by check are in the line. */
    UNSCHEDULABLE(true);

    private final boolean blocked;

    Reason(boolean blocked) {
      this.blocked = blocked;
    }

    /** Whether tasks may be waiting for this reason alone. */
    public boolean isBlocked() {
      return blocked;
    }
  }

  /**
   * A reason and what it was seen from.
   *
   * @param detail supplies counts for the log line; called only if the line is logged
   */
  record Observation(Reason reason, Supplier<String> detail) {}

  private Reason reason = Reason.NONE;
  private Instant since;
  private Instant loggedAt;

  /** Records the reason at this moment, and logs it if it is new or is due to be repeated. */
  void observe(Observation observation, Instant now) {
    boolean changed = observation.reason != reason;
    if (since == null || changed) {
      boolean wasBlocked = reason.blocked;
      Duration blockedFor = since == null ? Duration.ZERO : Duration.between(since, now);
      reason = observation.reason;
      since = now;
      if (!reason.blocked && wasBlocked) {
        log.info("Tasks start: reason={} blockedFor={}", label(reason), blockedFor);
      }
    }
    boolean repeat = changed || Duration.between(loggedAt(), now).compareTo(REPEAT_INTERVAL) >= 0;
    if (reason.blocked && repeat) {
      loggedAt = now;
      log.warn(
          "No task starts: reason={} blockedFor={} {}",
          label(reason),
          Duration.between(since, now),
          observation.detail.get());
    }
  }

  private Instant loggedAt() {
    return loggedAt == null ? since : loggedAt;
  }

  /** The reason as of the latest observation. */
  public Reason reason() {
    return reason;
  }

  /** How long the reason has lasted. */
  public Duration lasted(Instant now) {
    return since == null ? Duration.ZERO : Duration.between(since, now);
  }

  /** The name of a reason in log lines and metrics. */
  public static String label(Reason reason) {
    return reason.name().toLowerCase(Locale.ROOT);
  }
}
