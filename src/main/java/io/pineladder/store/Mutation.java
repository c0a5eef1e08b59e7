package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Changes that are made together or not at all. Values are asked for when the transaction is put
 * together, so a record that waits is written as it is then.
 */
public record Mutation(
    Priority priority,
    List<Write> writes,
    List<String> absent,
    BooleanSupplier wanted,
    Runnable onCommitted,
    Runnable onExists) {

  /** The order in which waiting changes get the write budget. */
  public enum Priority {
    ACCEPT,
    END,
    PLACE,
    COMPLETE,
    TIDY
  }

  /** A key with its new value; a supplied null deletes it. */
  public record Write(String key, Supplier<JsonNode> value) {}

  /** Changes to records that only the leader writes. */
  public static Mutation of(Priority priority, List<Write> writes, Runnable onCommitted) {
    return new Mutation(priority, writes, List.of(), () -> true, onCommitted, null);
  }

  /** The same, to be dropped if {@code wanted} says no when its turn comes. */
  public static Mutation onlyIf(
      BooleanSupplier wanted, Priority priority, List<Write> writes, Runnable onCommitted) {
    return new Mutation(priority, writes, List.of(), wanted, onCommitted, null);
  }

  /**
   * The creation of a record that other nodes may create too: {@code onExists} is called instead
   * when it, or one of {@code absent}, is there already.
   */
  public static Mutation create(
      Write write, List<String> absent, Runnable onCommitted, Runnable onExists) {
    return new Mutation(
        Priority.ACCEPT, List.of(write), absent, () -> true, onCommitted, onExists);
  }

  boolean isCreation() {
    return onExists != null;
  }
}
