package io.pineladder.queue;

import java.util.EnumMap;
import java.util.Map;

/** For each check and kind of event the function that answers with a hint; none means skip. */
public final class QueueingHintTable {
  /** Answers for one entry that the check rejected. */
  @FunctionalInterface
  public interface HintFunction {
    QueueingHint hint(QueueEntry entry, ClusterEvent event);
  }

  private final Map<ClusterEvent.Kind, EnumMap<SchedulingCheck, HintFunction>> table =
      new EnumMap<>(ClusterEvent.Kind.class);

  public QueueingHintTable on(
      SchedulingCheck check, ClusterEvent.Kind kind, HintFunction function) {
    table.computeIfAbsent(kind, k -> new EnumMap<>(SchedulingCheck.class)).put(check, function);
    return this;
  }

  /** The checks that care about a kind of event. */
  Map<SchedulingCheck, HintFunction> interested(ClusterEvent.Kind kind) {
    Map<SchedulingCheck, HintFunction> found = table.get(kind);
    return found == null ? Map.of() : found;
  }

  QueueingHint hint(SchedulingCheck check, QueueEntry entry, ClusterEvent event) {
    HintFunction function = interested(event.kind()).get(check);
    return function == null ? QueueingHint.SKIP : function.hint(entry, event);
  }
}
