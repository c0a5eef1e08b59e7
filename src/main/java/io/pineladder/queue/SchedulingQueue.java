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
 * The pending entries in their three places: the active heap, two back-off heaps (rejections and
 * errors) ordered by expiry, and the unschedulable set, kept by rejecting check.
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

  /** The sort keys of an entry, asked for whenever it enters the active heap. */
  public interface Ordering {
    boolean isGuaranteed(QueueEntry entry);

    Instant dueAt(QueueEntry entry);
  }

  private final PriorityQueue<QueueEntry> active = new PriorityQueue<>(BY_PRIORITY);
  private final PriorityQueue<QueueEntry> rejectedInBackoff = new PriorityQueue<>(BY_EXPIRY);
  private final PriorityQueue<QueueEntry> failedInBackoff = new PriorityQueue<>(BY_EXPIRY);
  private final EnumMap<SchedulingCheck, Set<QueueEntry>> unschedulable =
      new EnumMap<>(SchedulingCheck.class);

  /** Entries being tried, each with the events seen meanwhile. */
  private final Map<QueueEntry, List<ClusterEvent>> inFlight = new LinkedHashMap<>();

  private final QueueingHintTable hints;
  private final Ordering ordering;
  private OperatorSettings settings;
  private long arrivals;
  private long cycles;

  public SchedulingQueue(QueueingHintTable hints, Ordering ordering, OperatorSettings settings) {
    this.hints = hints;
    this.ordering = ordering;
    this.settings = settings;
    for (SchedulingCheck check : SchedulingCheck.values()) {
      unschedulable.put(check, new LinkedHashSet<>());
    }
  }

  public void updateSettings(OperatorSettings next) {
    settings = next;
  }

  /** The one place where an entry changes its place. */
  private void transitionTo(QueueEntry entry, QueueEntry.Place next) {
    switch (entry.place) {
      case ACTIVE -> active.remove(entry);
      case BACKOFF_REJECTED -> rejectedInBackoff.remove(entry);
      case BACKOFF_ERROR -> failedInBackoff.remove(entry);
      case UNSCHEDULABLE -> unschedulable.get(entry.rejectedBy).remove(entry);
      case IN_FLIGHT -> inFlight.remove(entry);
      case OUTSIDE -> {}
    }
    entry.place = next;
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
    }
  }

  /** Puts a new entry, or one whose job has got new pending tasks, into the active heap. */
  public void add(QueueEntry entry) {
    if (entry.place == QueueEntry.Place.ACTIVE || entry.place == QueueEntry.Place.IN_FLIGHT) {
      return;
    }
    if (entry.place == QueueEntry.Place.OUTSIDE) {
      entry.arrivalNumber = ++arrivals;
    }
    transitionTo(entry, QueueEntry.Place.ACTIVE);
  }

  public void remove(QueueEntry entry) {
    transitionTo(entry, QueueEntry.Place.OUTSIDE);
  }

  /** Takes the entry with the highest priority to be tried; null when none is active. */
  public QueueEntry pop(Instant now) {
    QueueEntry entry = active.peek();
    if (entry == null) {
      return null;
    }
    transitionTo(entry, QueueEntry.Place.IN_FLIGHT);
    entry.lastCycleAt = now;
    entry.lastCycle = ++cycles;
    entry.attempts++;
    return entry;
  }

  /** How many tries there have been; what an entry was tried after, it has seen. */
  public long cycles() {
    return cycles;
  }

  /** Puts an entry back after a try that left more to do, without any delay. */
  public void putBack(QueueEntry entry) {
    transitionTo(entry, QueueEntry.Place.ACTIVE);
  }

  /** Has a tried entry wait for the initial back-off, which no event cuts short. */
  public void backOff(QueueEntry entry, SchedulingCheck check, Instant now) {
    entry.lastCycleAt = now;
    entry.attempts = 1;
    entry.rejectedBy = check;
    entry.backoffExpiry = backoffExpiry(entry);
    transitionTo(entry, QueueEntry.Place.BACKOFF_REJECTED);
  }

  /** Parks a tried entry under the check that rejected it, unless an event came in meanwhile. */
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
    transitionTo(entry, QueueEntry.Place.UNSCHEDULABLE);
    applyHint(entry, best, now);
  }

  /**
   * Puts an entry that failed by an error, not by a check, into its back-off.
   *
   * @param times how often it has failed, whatever of it was placed in between
   */
  public void backOffAfterError(QueueEntry entry, int failures, Instant now) {
    entry.lastCycleAt = now;
    entry.attempts = Math.max(1, failures);
    entry.backoffExpiry = backoffExpiry(entry);
    if (entry.place == QueueEntry.Place.OUTSIDE) {
      entry.arrivalNumber = ++arrivals;
    }
    transitionTo(entry, QueueEntry.Place.BACKOFF_ERROR);
  }

  private void applyHint(QueueEntry entry, QueueingHint hint, Instant now) {
    if (hint == QueueingHint.QUEUE_IMMEDIATELY
        || (hint == QueueingHint.QUEUE && !entry.backoffExpiry.isAfter(now))) {
      transitionTo(entry, QueueEntry.Place.ACTIVE);
    } else if (hint == QueueingHint.QUEUE) {
      transitionTo(entry, QueueEntry.Place.BACKOFF_REJECTED);
    }
  }

  /** The end of the back-off: initial times two to the attempts less one, capped, in windows. */
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
   * Wakes what the event may help, and of those that want the same room only so many as it holds,
   * the first by priority: a place freed on a full fleet must not cost a try of every parked entry.
   *
   * @return whether anything was woken
   */
  public boolean onEvent(ClusterEvent event, Instant now) {
    Map<SchedulingCheck, QueueingHintTable.HintFunction> hintFunctions =
        hints.functionsFor(event.kind());
    if (hintFunctions.isEmpty()) {
      return false;
    }
    inFlight.values().forEach(events -> events.add(event));
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
    // An entry in back-off for a rejection was parked too: a sure event need not wait either.
    for (QueueEntry entry : rejectedInBackoff) {
      QueueingHintTable.HintFunction function = hintFunctions.get(entry.rejectedBy);
      if (function != null
          && entry.lastCycle <= event.lastCycle()
          && function.hint(entry, event) == QueueingHint.QUEUE_IMMEDIATELY) {
        helped.add(entry);
      }
    }
    if (event.freeCapacity() == null) {
      helped.forEach(entry -> applyEvent(entry, event, now));
      return !helped.isEmpty();
    }
    helped.sort(BY_PRIORITY);
    Resources remaining = event.freeCapacity();
    boolean activated = false;
    for (QueueEntry entry : helped) {
      Resources perTask = entry.job.spec.resourcesPerTask();
      long count = Math.min(entry.job.pending.cardinality(), perTask.timesFittingIn(remaining));
      if (count > 0) {
        remaining = remaining.minus(perTask.times(count));
        applyEvent(entry, event, now);
        activated = true;
      }
    }
    return activated;
  }

  private void applyEvent(QueueEntry entry, ClusterEvent event, Instant now) {
    applyHint(entry, hints.hint(entry.rejectedBy, entry, event), now);
  }

  /** Moves what has served its back-off to the active heap. */
  public void activateExpired(Instant now) {
    for (PriorityQueue<QueueEntry> heap : List.of(rejectedInBackoff, failedInBackoff)) {
      while (!heap.isEmpty() && !heap.peek().backoffExpiry.isAfter(now)) {
        transitionTo(heap.peek(), QueueEntry.Place.ACTIVE);
      }
    }
  }

  /**
   * Moves entries to the active heap that no event has woken since {@code before}, those parked
   * first: events tell of room that comes, and not that what kept an entry from room has passed, as
   * a reservation that ends.
   *
   * @param most so many of each check at the most, so that a full fleet's backlog costs a bounded
   *     number of tries
   */
  public void retryUnschedulable(Instant lastCycleBefore, int maxPerCheck) {
    unschedulable.forEach(
        (check, parked) -> {
          // That the last prerequisite is done is told for certain.
          if (check != SchedulingCheck.DEPENDENCY) {
            parked.stream()
                .limit(maxPerCheck)
                .filter(entry -> entry.lastCycleAt.isBefore(lastCycleBefore))
                .toList()
                .forEach(entry -> transitionTo(entry, QueueEntry.Place.ACTIVE));
          }
        });
  }

  /** An entry's place among the others has changed. */
  public void reorder(QueueEntry entry) {
    if (entry.place == QueueEntry.Place.ACTIVE) {
      transitionTo(entry, QueueEntry.Place.ACTIVE);
    } else {
      entry.priorityClass = entry.job.priorityClass();
    }
  }

  /** Moves a parked entry to the active heap. */
  public void activateUnschedulable(QueueEntry entry) {
    if (entry.place == QueueEntry.Place.UNSCHEDULABLE) {
      transitionTo(entry, QueueEntry.Place.ACTIVE);
    }
  }

  /** When the next back-off ends, or null. */
  public Instant nextBackoffExpiry() {
    Instant first = rejectedInBackoff.isEmpty() ? null : rejectedInBackoff.peek().backoffExpiry;
    Instant second = failedInBackoff.isEmpty() ? null : failedInBackoff.peek().backoffExpiry;
    if (first == null || (second != null && second.isBefore(first))) {
      return second;
    }
    return first;
  }

  public boolean hasActive() {
    return !active.isEmpty();
  }

  /** How many entries are in each place, for operators. */
  public Map<QueueEntry.Place, Integer> sizes() {
    EnumMap<QueueEntry.Place, Integer> sizes = new EnumMap<>(QueueEntry.Place.class);
    sizes.put(QueueEntry.Place.ACTIVE, active.size());
    sizes.put(QueueEntry.Place.IN_FLIGHT, inFlight.size());
    sizes.put(QueueEntry.Place.BACKOFF_REJECTED, rejectedInBackoff.size());
    sizes.put(QueueEntry.Place.BACKOFF_ERROR, failedInBackoff.size());
    sizes.put(
        QueueEntry.Place.UNSCHEDULABLE, unschedulable.values().stream().mapToInt(Set::size).sum());
    return sizes;
  }

  /** How many entries each check has parked, for operators. */
  public Map<SchedulingCheck, Integer> unschedulableByCheck() {
    EnumMap<SchedulingCheck, Integer> counts = new EnumMap<>(SchedulingCheck.class);
    unschedulable.forEach((check, entries) -> counts.put(check, entries.size()));
    return counts;
  }
}
