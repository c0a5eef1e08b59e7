package io.pineladder.queue;

import java.util.EnumMap;
import java.util.Map;

/** For each check and kind of event the function that answers with a hint; none means skip. */
public final class HintTable {
  /** Answers for one entry that the check rejected. */
  @FunctionalInterface
  public interface HintFunction {
    Hint hint(QueueEntry entry, Event event);
  }

  private final Map<Event.Kind, EnumMap<Check, HintFunction>> table =
      new EnumMap<>(Event.Kind.class);

  public HintTable on(Check check, Event.Kind kind, HintFunction function) {
    table.computeIfAbsent(kind, k -> new EnumMap<>(Check.class)).put(check, function);
    return this;
  }

  /** The checks that care about a kind of event. */
  Map<Check, HintFunction> interested(Event.Kind kind) {
    Map<Check, HintFunction> found = table.get(kind);
    return found == null ? Map.of() : found;
  }

  Hint hint(Check check, QueueEntry entry, Event event) {
    HintFunction function = interested(event.kind()).get(check);
    return function == null ? Hint.SKIP : function.hint(entry, event);
  }
}
