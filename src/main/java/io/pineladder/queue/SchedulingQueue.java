package io.pineladder.queue;

import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The queue of pending entries: the active heap ordered by priority, two back-off heaps (rejections
 * and errors) ordered by expiry, and the unschedulable set, grouped by the check that rejected the
 * entry. Not thread-safe: used on the event loop's thread only.
 */
public final class SchedulingQueue {
  private static final Comparator<QueueEntry> BY_PRIORITY =
      Comparator.<QueueEntry, Boolean>comparing(e -> !e.guaranteed)
          .thenComparing(e -> e.priorityClass)
          .thenComparing(e -> e.dueAt)
          .thenComparing(e -> e.arrivalNumber);
  private static final Comparator<QueueEntry> BY_EXPIRY =
      Comparator.<QueueEntry, Instant>comparing(e -> e.backoffExpiry)
          .thenComparing(e -> e.arrivalNumber);

  /** Computes the sort keys of an entry whenever it enters the active heap. */
  public interface Ordering {
    /** Whether the job is within its team's guaranteed quota; such entries come first. */
    boolean isGuaranteed(QueueEntry entry);

    /**
     * When the job is due to start, as wall-clock time; orders entries of the same priority class.
     */
    Instant dueAt(QueueEntry entry);
  }

  private final PriorityQueue<QueueEntry> active = new PriorityQueue<>(BY_PRIORITY);
  private final PriorityQueue<QueueEntry> rejectedInBackoff = new PriorityQueue<>(BY_EXPIRY);
  private final PriorityQueue<QueueEntry> failedInBackoff = new PriorityQueue<>(BY_EXPIRY);
  private final EnumMap<SchedulingCheck, Set<QueueEntry>> unschedulable =
      new EnumMap<>(SchedulingCheck.class);

  /** Entries in a scheduling cycle, each with the events received during it. */
  private final Map<QueueEntry, List<ClusterEvent>> inFlight = new LinkedHashMap<>();

  private final QueueingHintTable hints;
  private final Ordering ordering;
  private OperatorSettings settings;
  private long arrivalCount;
  private long cycleCount;

  /** Creates an empty queue. */
  public SchedulingQueue(QueueingHintTable hints, Ordering ordering, OperatorSettings settings) {
    this.hints = hints;
    this.ordering = ordering;
    this.settings = settings;
    for (SchedulingCheck check : SchedulingCheck.values()) {
      unschedulable.put(check, new LinkedHashSet<>());
    }
  }

  /** Sets the back-off times, which apply to back-offs that begin from now on. */
  public void updateSettings(OperatorSettings next) {
    settings = next;
  }

  /** Moves the entry to another state; the only method that changes the state. */
  private void transitionTo(QueueEntry entry, QueueEntry.State next) {
    switch (entry.state) {
      case ACTIVE -> active.remove(entry);
      case BACKOFF_REJECTED -> rejectedInBackoff.remove(entry);
      case BACKOFF_ERROR -> failedInBackoff.remove(entry);
      case UNSCHEDULABLE -> unschedulable.get(entry.rejectedBy).remove(entry);
      case IN_FLIGHT -> inFlight.remove(entry);
      case OUTSIDE -> {}
      default -> throw new IllegalStateException("Unknown queue entry state: " + entry);
    }
    entry.state = next;
    switch (next) {
      case ACTIVE -> {
        entry.guaranteed = ordering.isGuaranteed(entry);
        entry.priorityClass = entry.job.priorityClass();
        entry.dueAt = ordering.dueAt(entry);
        active.add(entry);
      }
      case BACKOFF_REJECTED -> rejectedInBackoff.add(entry);
      case BACKOFF_ERROR -> failedInBackoff.add(entry);
      case UNSCHEDULABLE -> unschedulable.get(entry.rejectedBy).add(entry);
      case IN_FLIGHT -> inFlight.put(entry, new ArrayList<>());
      case OUTSIDE -> {}
      default -> throw new IllegalStateException("Unknown queue entry state: " + entry);
    }
  }

  /** Activates a new entry, or one whose job has new pending tasks. */
  public void add(QueueEntry entry) {
    if (entry.state == QueueEntry.State.ACTIVE || entry.state == QueueEntry.State.IN_FLIGHT) {
      return;
    }
    if (entry.state == QueueEntry.State.OUTSIDE) {
      entry.arrivalNumber = ++arrivalCount;
    }
    transitionTo(entry, QueueEntry.State.ACTIVE);
  }

  /** Removes an entry, whatever its state. */
  public void remove(QueueEntry entry) {
    transitionTo(entry, QueueEntry.State.OUTSIDE);
  }

  /**
   * Begins a scheduling cycle for the active entry of highest priority; returns null if no entry is
   * active.
   */
  public QueueEntry pop(Instant now) {
    QueueEntry entry = active.peek();
    if (entry == null) {
      return null;
    }
    transitionTo(entry, QueueEntry.State.IN_FLIGHT);
    entry.lastCycleAt = now;
    entry.lastCycleNumber = ++cycleCount;
    entry.attempts++;
    return entry;
  }

  /** The number of scheduling cycles so far, which is also the number of the last cycle. */
  public long cycleCount() {
    return cycleCount;
  }

  /** Reactivates an entry after a cycle that left tasks pending. */
  public void requeue(QueueEntry entry) {
    transitionTo(entry, QueueEntry.State.ACTIVE);
  }

  /**
   * Ends an entry's cycle with the initial back-off, after a rejection by a check that no event can
   * satisfy.
   */
  public void backOff(QueueEntry entry, SchedulingCheck check, Instant now) {
    entry.lastCycleAt = now;
    entry.attempts = 1;
    entry.rejectedBy = check;
    entry.backoffExpiry = backoffExpiry(entry);
    transitionTo(entry, QueueEntry.State.BACKOFF_REJECTED);
  }

  /**
   * Ends an entry's cycle with a rejection. Events received during the cycle may activate the entry
   * again at once.
   */
  public void markUnschedulable(QueueEntry entry, SchedulingCheck check, Instant now) {
    List<ClusterEvent> received = inFlight.getOrDefault(entry, List.of());
    QueueingHint strongest = QueueingHint.SKIP;
    for (ClusterEvent event : received) {
      QueueingHint hint = hints.hint(check, entry, event);
      if (hint.compareTo(strongest) > 0) {
        strongest = hint;
      }
    }
    entry.rejectedBy = check;
    entry.backoffExpiry = backoffExpiry(entry);
    transitionTo(entry, QueueEntry.State.UNSCHEDULABLE);
    applyHint(entry, strongest, now);
  }

  /**
   * Puts an entry into error back-off after its tasks failed or were refused by a machine, as
   * opposed to a rejection by a check.
   *
   * @param failures the number of failures so far, including those before tasks that were placed
   *     successfully
   */
  public void backOffAfterError(QueueEntry entry, int failures, Instant now) {
    entry.lastCycleAt = now;
    entry.attempts = Math.max(1, failures);
    entry.backoffExpiry = backoffExpiry(entry);
    if (entry.state == QueueEntry.State.OUTSIDE) {
      entry.arrivalNumber = ++arrivalCount;
    }
    transitionTo(entry, QueueEntry.State.BACKOFF_ERROR);
  }

  private void applyHint(QueueEntry entry, QueueingHint hint, Instant now) {
    if (hint == QueueingHint.QUEUE_IMMEDIATELY
        || (hint == QueueingHint.QUEUE && !entry.backoffExpiry.isAfter(now))) {
      transitionTo(entry, QueueEntry.State.ACTIVE);
    } else if (hint == QueueingHint.QUEUE) {
      transitionTo(entry, QueueEntry.State.BACKOFF_REJECTED);
    }
  }

  /**
   * Returns the end of the back-off: initial * 2^(attempts - 1), capped at the maximum and rounded
   * up to a whole back-off window.
   */
  private Instant backoffExpiry(QueueEntry entry) {
    Duration delay = settings.initialBackoff();
    for (int i = 1; i < entry.attempts && delay.compareTo(settings.maxBackoff()) < 0; i++) {
      delay = delay.multipliedBy(2);
    }
    if (delay.compareTo(settings.maxBackoff()) > 0) {
      delay = settings.maxBackoff();
    }
    Instant end = entry.lastCycleAt.plus(delay);
    long windowNanos = settings.backoffWindow().toNanos();
    if (windowNanos == 0) {
      return end;
    }
    Duration sinceOrigin = Duration.between(Instant.EPOCH, end);
    long nanosPastWindow = Math.floorMod(sinceOrigin.toNanos(), windowNanos);
    return nanosPastWindow == 0 ? end : end.plusNanos(windowNanos - nanosPastWindow);
  }

  /**
   * Activates the entries that the event may make schedulable. If the event has a capacity bound,
   * only as many entries are activated as that capacity holds, in order of priority. This avoids a
   * scheduling cycle for every unschedulable entry whenever capacity is freed in a full cluster.
   *
   * @return whether any entry was affected
   */
  public boolean onEvent(ClusterEvent event, Instant now) {
    Map<SchedulingCheck, QueueingHintTable.HintFunction> hintFunctions =
        hints.functionsFor(event.kind());
    if (hintFunctions.isEmpty()) {
      return false;
    }
    inFlight.values().forEach(events -> events.add(event));
    List<QueueEntry> candidates = findCandidates(event, hintFunctions);
    if (event.freeCapacity() != null) {
      return applyWithinCapacity(event, candidates, now);
    }
    candidates.forEach(entry -> applyEvent(entry, event, now));
    return !candidates.isEmpty();
  }

  /**
   * Returns the entries that the event may activate, except those that have had a scheduling cycle
   * since the event.
   */
  private List<QueueEntry> findCandidates(
      ClusterEvent event, Map<SchedulingCheck, QueueingHintTable.HintFunction> hintFunctions) {
    List<QueueEntry> candidates = new ArrayList<>();
    hintFunctions.forEach(
        (check, function) -> {
          for (QueueEntry entry : unschedulable.get(check)) {
            if (entry.lastCycleNumber <= event.lastCycleNumber()
                && function.hint(entry, event) != QueueingHint.SKIP) {
              candidates.add(entry);
            }
          }
        });
    // Entries in rejection back-off are activated only if the event makes them schedulable.
    for (QueueEntry entry : rejectedInBackoff) {
      QueueingHintTable.HintFunction function = hintFunctions.get(entry.rejectedBy);
      if (function != null
          && entry.lastCycleNumber <= event.lastCycleNumber()
          && function.hint(entry, event) == QueueingHint.QUEUE_IMMEDIATELY) {
        candidates.add(entry);
      }
    }
    return candidates;
  }

  /**
   * Applies the event to the entries in order of priority, as long as the machine's capacity holds
   * their tasks.
   */
  private boolean applyWithinCapacity(
      ClusterEvent event, List<QueueEntry> candidates, Instant now) {
    candidates.sort(BY_PRIORITY);
    Resources remaining = event.freeCapacity();
    boolean applied = false;
    for (QueueEntry entry : candidates) {
      Resources perTask = entry.job.spec.resourcesPerTask();
      long count =
          Math.min(entry.job.pendingTasks.cardinality(), perTask.timesFittingIn(remaining));
      if (count > 0) {
        remaining = remaining.minus(perTask.times(count));
        applyEvent(entry, event, now);
        applied = true;
      }
    }
    return applied;
  }

  private void applyEvent(QueueEntry entry, ClusterEvent event, Instant now) {
    applyHint(entry, hints.hint(entry.rejectedBy, entry, event), now);
  }

  /** Activates the entries whose back-off has expired. */
  public void activateExpired(Instant now) {
    for (PriorityQueue<QueueEntry> heap : List.of(rejectedInBackoff, failedInBackoff)) {
      while (!heap.isEmpty() && !heap.peek().backoffExpiry.isAfter(now)) {
        transitionTo(heap.peek(), QueueEntry.State.ACTIVE);
      }
    }
  }

  /**
   * Activates entries that no event has activated for a long time, the longest unschedulable first.
   * Some changes raise no event, such as the expiry of a reservation.
   *
   * @param lastCycleBefore only entries whose last scheduling cycle was before this time are
   *     activated
   * @param maxPerCheck the maximum number of entries per check, which bounds the number of cycles
   *     for the backlog of a full cluster
   */
  public void retryUnschedulable(Instant lastCycleBefore, int maxPerCheck) {
    unschedulable.forEach(
        (check, entries) -> {
          // The completion of the last prerequisite always activates these.
          if (check != SchedulingCheck.DEPENDENCY) {
            entries.stream()
                .limit(maxPerCheck)
                .filter(entry -> entry.lastCycleAt.isBefore(lastCycleBefore))
                .toList()
                .forEach(entry -> transitionTo(entry, QueueEntry.State.ACTIVE));
          }
        });
  }

  /** Updates the position of an entry whose sort keys have changed. */
  public void reorder(QueueEntry entry) {
    if (entry.state == QueueEntry.State.ACTIVE) {
      transitionTo(entry, QueueEntry.State.ACTIVE);
    } else {
      entry.priorityClass = entry.job.priorityClass();
    }
  }

  /** Activates the entry if it is unschedulable. */
  public void activateUnschedulable(QueueEntry entry) {
    if (entry.state == QueueEntry.State.UNSCHEDULABLE) {
      transitionTo(entry, QueueEntry.State.ACTIVE);
    }
  }

  /** When the next back-off expires; null if no entry is in back-off. */
  public Instant nextBackoffExpiry() {
    Instant rejectedExpiry =
        rejectedInBackoff.isEmpty() ? null : rejectedInBackoff.peek().backoffExpiry;
    Instant failedExpiry = failedInBackoff.isEmpty() ? null : failedInBackoff.peek().backoffExpiry;
    if (rejectedExpiry == null || (failedExpiry != null && failedExpiry.isBefore(rejectedExpiry))) {
      return failedExpiry;
    }
    return rejectedExpiry;
  }

  /** Whether any entry is active. */
  public boolean hasActive() {
    return !active.isEmpty();
  }

  /** The number of entries in each state, for operators. */
  public Map<QueueEntry.State, Integer> sizes() {
    EnumMap<QueueEntry.State, Integer> sizes = new EnumMap<>(QueueEntry.State.class);
    sizes.put(QueueEntry.State.ACTIVE, active.size());
    sizes.put(QueueEntry.State.IN_FLIGHT, inFlight.size());
    sizes.put(QueueEntry.State.BACKOFF_REJECTED, rejectedInBackoff.size());
    sizes.put(QueueEntry.State.BACKOFF_ERROR, failedInBackoff.size());
    sizes.put(
        QueueEntry.State.UNSCHEDULABLE, unschedulable.values().stream().mapToInt(Set::size).sum());
    return sizes;
  }

  /** The number of unschedulable entries for each check, for operators. */
  public Map<SchedulingCheck, Integer> unschedulableByCheck() {
    EnumMap<SchedulingCheck, Integer> counts = new EnumMap<>(SchedulingCheck.class);
    unschedulable.forEach((check, entries) -> counts.put(check, entries.size()));
    return counts;
  }
}
