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

  private final Map<ClusterEvent.Kind, EnumMap<SchedulingCheck, HintFunction>> functions =
      new EnumMap<>(ClusterEvent.Kind.class);

  public QueueingHintTable register(
      SchedulingCheck check, ClusterEvent.Kind kind, HintFunction function) {
    functions.computeIfAbsent(kind, k -> new EnumMap<>(SchedulingCheck.class)).put(check, function);
    return this;
  }

  /** The checks that care about a kind of event. */
  Map<SchedulingCheck, HintFunction> functionsFor(ClusterEvent.Kind kind) {
    Map<SchedulingCheck, HintFunction> byCheck = functions.get(kind);
    return byCheck == null ? Map.of() : byCheck;
  }

  QueueingHint hint(SchedulingCheck check, QueueEntry entry, ClusterEvent event) {
    HintFunction function = functionsFor(event.kind()).get(check);
    return function == null ? QueueingHint.SKIP : function.hint(entry, event);
  }
}
