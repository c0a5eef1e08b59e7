package io.pineladder.queue;

import java.util.EnumMap;
import java.util.Map;

/**
 * The hint functions by check and kind of event; a missing function means {@link
 * QueueingHint#SKIP}.
 */
public final class QueueingHintTable {
  /** Computes the hint for an entry that the check has rejected. */
  @FunctionalInterface
  public interface HintFunction {
    /** Returns what the event means for the entry. */
    QueueingHint hint(QueueEntry entry, ClusterEvent event);
  }

  private final Map<ClusterEvent.Kind, EnumMap<SchedulingCheck, HintFunction>> functions =
      new EnumMap<>(ClusterEvent.Kind.class);

  /** Registers the function for a check and a kind of event, and returns this table. */
  public QueueingHintTable register(
      SchedulingCheck check, ClusterEvent.Kind kind, HintFunction function) {
    functions.computeIfAbsent(kind, k -> new EnumMap<>(SchedulingCheck.class)).put(check, function);
    return this;
  }

  /** Returns the functions for a kind of event, by check. */
  Map<SchedulingCheck, HintFunction> functionsFor(ClusterEvent.Kind kind) {
    Map<SchedulingCheck, HintFunction> byCheck = functions.get(kind);
    return byCheck == null ? Map.of() : byCheck;
  }

  /** Returns what the event means for an entry that the check has rejected. */
  QueueingHint hint(SchedulingCheck check, QueueEntry entry, ClusterEvent event) {
    HintFunction function = functionsFor(event.kind()).get(check);
    return function == null ? QueueingHint.SKIP : function.hint(entry, event);
  }
}
