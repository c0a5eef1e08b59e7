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
 * The pending entries in their three places: the active heap by priority, two back-off heaps
 * (rejections and errors) by expiry, and the unschedulable set by rejecting check. Used on one
 * thread only.
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

  /** The sort keys of an entry, computed whenever it enters the active heap. */
  public interface Ordering {
    /** Whether the job is within its team's guarantee; such entries come first. */
    boolean isGuaranteed(QueueEntry entry);

    /** When the job is due to start, by the time of day; orders entries of one priority class. */
    Instant dueAt(QueueEntry entry);
  }

  private final PriorityQueue<QueueEntry> active = new PriorityQueue<>(BY_PRIORITY);
  private final PriorityQueue<QueueEntry> rejectedInBackoff = new PriorityQueue<>(BY_EXPIRY);
  private final PriorityQueue<QueueEntry> failedInBackoff = new PriorityQueue<>(BY_EXPIRY);
  private final EnumMap<SchedulingCheck, Set<QueueEntry>> unschedulable =
      new EnumMap<>(SchedulingCheck.class);

  /** Entries in their scheduling cycle, each with the events that came meanwhile. */
  private final Map<QueueEntry, List<ClusterEvent>> inFlight = new LinkedHashMap<>();

  private final QueueingHintTable hints;
  private final Ordering ordering;
  private OperatorSettings settings;
  private long arrivals;
  private long cycles;

  /** An empty queue. */
  public SchedulingQueue(QueueingHintTable hints, Ordering ordering, OperatorSettings settings) {
    this.hints = hints;
    this.ordering = ordering;
    this.settings = settings;
    for (SchedulingCheck check : SchedulingCheck.values()) {
      unschedulable.put(check, new LinkedHashSet<>());
    }
  }

  /** Sets the back-off times; they apply to back-offs that begin from now on. */
  public void updateSettings(OperatorSettings next) {
    settings = next;
  }

  /** The only place where an entry changes its place. */
  private void transitionTo(QueueEntry entry, QueueEntry.State next) {
    switch (entry.state) {
      case ACTIVE -> active.remove(entry);
      case BACKOFF_REJECTED -> rejectedInBackoff.remove(entry);
      case BACKOFF_ERROR -> failedInBackoff.remove(entry);
      case UNSCHEDULABLE -> unschedulable.get(entry.rejectedBy).remove(entry);
      case IN_FLIGHT -> inFlight.remove(entry);
      case OUTSIDE -> {}
      default -> throw new IllegalStateException("Unknown place: " + entry);
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
      default -> throw new IllegalStateException("Unknown place: " + entry);
    }
  }

  /** Makes a new entry, or one whose job has new pending tasks, active. */
  public void add(QueueEntry entry) {
    if (entry.state == QueueEntry.State.ACTIVE || entry.state == QueueEntry.State.IN_FLIGHT) {
      return;
    }
    if (entry.state == QueueEntry.State.OUTSIDE) {
      entry.arrivalNumber = ++arrivals;
    }
    transitionTo(entry, QueueEntry.State.ACTIVE);
  }

  /** Removes an entry from wherever it is. */
  public void remove(QueueEntry entry) {
    transitionTo(entry, QueueEntry.State.OUTSIDE);
  }

  /**
   * Begins the scheduling cycle of the active entry of highest priority; null if none is active.
   */
  public QueueEntry pop(Instant now) {
    QueueEntry entry = active.peek();
    if (entry == null) {
      return null;
    }
    transitionTo(entry, QueueEntry.State.IN_FLIGHT);
    entry.lastCycleAt = now;
    entry.lastCycle = ++cycles;
    entry.attempts++;
    return entry;
  }

  /** How many scheduling cycles there have been, which is the number of the last one. */
  public long cycles() {
    return cycles;
  }

  /** Makes an entry active again after a cycle that left tasks pending. */
  public void putBack(QueueEntry entry) {
    transitionTo(entry, QueueEntry.State.ACTIVE);
  }

  /** Ends an entry's cycle with the initial back-off, which no event cuts short. */
  public void backOff(QueueEntry entry, SchedulingCheck check, Instant now) {
    entry.lastCycleAt = now;
    entry.attempts = 1;
    entry.rejectedBy = check;
    entry.backoffExpiry = backoffExpiry(entry);
    transitionTo(entry, QueueEntry.State.BACKOFF_REJECTED);
  }

  /** Ends an entry's cycle by a rejection; an event that came meanwhile may activate it at once. */
  public void markUnschedulable(QueueEntry entry, SchedulingCheck check, Instant now) {
    List<ClusterEvent> seen = inFlight.getOrDefault(entry, List.of());
    QueueingHint best = QueueingHint.SKIP;
    for (ClusterEvent event : seen) {
      QueueingHint hint = hints.hint(check, entry, event);
      if (hint.compareTo(best) > 0) {
        best = hint;
      }
    }
    entry.rejectedBy = check;
    entry.backoffExpiry = backoffExpiry(entry);
    transitionTo(entry, QueueEntry.State.UNSCHEDULABLE);
    applyHint(entry, best, now);
  }

  /**
   * Puts an entry whose tasks failed or were refused, not rejected by a check, into back-off.
   *
   * @param failures how often that has happened, whatever was placed in between
   */
  public void backOffAfterError(QueueEntry entry, int failures, Instant now) {
    entry.lastCycleAt = now;
    entry.attempts = Math.max(1, failures);
    entry.backoffExpiry = backoffExpiry(entry);
    if (entry.state == QueueEntry.State.OUTSIDE) {
      entry.arrivalNumber = ++arrivals;
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

  /** The end of the back-off: initial * 2^(attempts - 1), capped, rounded up to a whole window. */
  private Instant backoffExpiry(QueueEntry entry) {
    Duration delay = settings.initialBackoff();
    for (int i = 1; i < entry.attempts && delay.compareTo(settings.maxBackoff()) < 0; i++) {
      delay = delay.multipliedBy(2);
    }
    if (delay.compareTo(settings.maxBackoff()) > 0) {
      delay = settings.maxBackoff();
    }
    Instant end = entry.lastCycleAt.plus(delay);
    long window = settings.backoffWindow().toNanos();
    if (window == 0) {
      return end;
    }
    Duration sinceOrigin = Duration.between(Instant.EPOCH, end);
    long pastWindow = Math.floorMod(sinceOrigin.toNanos(), window);
    return pastWindow == 0 ? end : end.plusNanos(window - pastWindow);
  }

  /**
   * Activates the entries that the event may help. Of those that compete for a machine's capacity
   * only as many are activated as it holds, the first by priority: capacity freed on a full fleet
   * must not cost a scheduling cycle of every unschedulable entry.
   *
   * @return whether the event helped any entry
   */
  public boolean onEvent(ClusterEvent event, Instant now) {
    Map<SchedulingCheck, QueueingHintTable.HintFunction> hintFunctions =
        hints.functionsFor(event.kind());
    if (hintFunctions.isEmpty()) {
      return false;
    }
    inFlight.values().forEach(events -> events.add(event));
    List<QueueEntry> helped = findHelped(event, hintFunctions);
    if (event.freeCapacity() != null) {
      return applyWithinCapacity(event, helped, now);
    }
    helped.forEach(entry -> applyEvent(entry, event, now));
    return !helped.isEmpty();
  }

  /** The entries that the event may activate, and that have had no scheduling cycle since. */
  private List<QueueEntry> findHelped(
      ClusterEvent event, Map<SchedulingCheck, QueueingHintTable.HintFunction> hintFunctions) {
    List<QueueEntry> helped = new ArrayList<>();
    hintFunctions.forEach(
        (check, function) -> {
          for (QueueEntry entry : unschedulable.get(check)) {
            if (entry.lastCycle <= event.lastCycle()
                && function.hint(entry, event) != QueueingHint.SKIP) {
              helped.add(entry);
            }
          }
        });
    // An entry in back-off was rejected too, and is activated by an event that is sure to help.
    for (QueueEntry entry : rejectedInBackoff) {
      QueueingHintTable.HintFunction function = hintFunctions.get(entry.rejectedBy);
      if (function != null
          && entry.lastCycle <= event.lastCycle()
          && function.hint(entry, event) == QueueingHint.QUEUE_IMMEDIATELY) {
        helped.add(entry);
      }
    }
    return helped;
  }

  /** Applies the event to as many of the entries, by priority, as the machine's capacity holds. */
  private boolean applyWithinCapacity(ClusterEvent event, List<QueueEntry> helped, Instant now) {
    helped.sort(BY_PRIORITY);
    Resources remaining = event.freeCapacity();
    boolean applied = false;
    for (QueueEntry entry : helped) {
      Resources perTask = entry.job.spec.resourcesPerTask();
      long count = Math.min(entry.job.pendingTasks.cardinality(), perTask.timesFittingIn(remaining));
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
   * Activates entries that no event has activated for long, the longest unschedulable first: events
   * announce freed capacity, but not that what denied an entry capacity has passed, such as a
   * reservation that expired.
   *
   * @param lastCycleBefore entries with a later scheduling cycle are left
   * @param maxPerCheck the most entries of each check, so that a full fleet's backlog costs a
   *     bounded number of cycles
   */
  public void retryUnschedulable(Instant lastCycleBefore, int maxPerCheck) {
    unschedulable.forEach(
        (check, entries) -> {
          // The end of the last prerequisite always activates these.
          if (check != SchedulingCheck.DEPENDENCY) {
            entries.stream()
                .limit(maxPerCheck)
                .filter(entry -> entry.lastCycleAt.isBefore(lastCycleBefore))
                .toList()
                .forEach(entry -> transitionTo(entry, QueueEntry.State.ACTIVE));
          }
        });
  }

  /** The sort keys of an entry have changed. */
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

  /** When the next back-off expires; null when no entry is in back-off. */
  public Instant nextBackoffExpiry() {
    Instant first = rejectedInBackoff.isEmpty() ? null : rejectedInBackoff.peek().backoffExpiry;
    Instant second = failedInBackoff.isEmpty() ? null : failedInBackoff.peek().backoffExpiry;
    if (first == null || (second != null && second.isBefore(first))) {
      return second;
    }
    return first;
  }

  /** Whether any entry is active. */
  public boolean hasActive() {
    return !active.isEmpty();
  }

  /** How many entries are in each place, for operators. */
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

  /** How many entries are unschedulable by each check, for operators. */
  public Map<SchedulingCheck, Integer> unschedulableByCheck() {
    EnumMap<SchedulingCheck, Integer> counts = new EnumMap<>(SchedulingCheck.class);
    unschedulable.forEach((check, entries) -> counts.put(check, entries.size()));
    return counts;
  }
}
