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
    List<JobPages.Edit> edits,
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
    return new Mutation(priority, writes, List.of(), List.of(), () -> true, onCommitted, null);
  }

  /**
   * Changes to jobs' records together with other writes: {@code onExists} is called instead of
   * {@code onCommitted} when one of {@code absent}, which other nodes may create, is there already.
   */
  static Mutation editing(
      Priority priority,
      List<Write> writes,
      List<JobPages.Edit> edits,
      List<String> absent,
      Runnable onCommitted,
      Runnable onExists) {
    return new Mutation(priority, writes, edits, absent, () -> true, onCommitted, onExists);
  }
}
