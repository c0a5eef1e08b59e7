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
    List<JobPages.Edit> pageEdits,
    List<String> mustNotExist,
    BooleanSupplier stillWanted,
    Runnable onCommitted,
    Runnable onAlreadyExists) {

  /** The order in which waiting changes get the write budget. */
  public enum Priority {
    ACCEPTANCE,
    FINAL_STATE,
    PLACEMENT,
    COMPLETION,
    CLEANUP
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
  static Mutation withPageEdits(
      Priority priority,
      List<Write> writes,
      List<JobPages.Edit> pageEdits,
      List<String> mustNotExist,
      Runnable onCommitted,
      Runnable onAlreadyExists) {
    return new Mutation(
        priority, writes, pageEdits, mustNotExist, () -> true, onCommitted, onAlreadyExists);
  }
}
