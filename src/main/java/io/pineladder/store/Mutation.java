package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * An atomic set of changes to records. Values are supplied when a transaction is assembled, so a
 * queued mutation writes the state at that time. If the transaction is not executed, they are
 * supplied again for the next one.
 *
 * @param priority the order among queued mutations
 * @param writes keys that are written or deleted
 * @param pageEdits changes to entries of job pages
 * @param mustNotExist keys that other controllers may create and that must not exist
 * @param isStillNeeded checked when a transaction is assembled; if false, the mutation is dropped
 * @param onCommitted called when the transaction is committed
 * @param onAlreadyExists called instead if a key of {@code mustNotExist} exists; null when that
 *     list is empty
 */
public record Mutation(
    Priority priority,
    List<Write> writes,
    List<JobPageEdit> pageEdits,
    List<String> mustNotExist,
    BooleanSupplier isStillNeeded,
    Runnable onCommitted,
    Runnable onAlreadyExists) {

  /** The order in which queued mutations use the write budget, the most urgent first. */
  public enum Priority {
    /** Changes that a user waits for, such as the acceptance of a job. */
    ACCEPTANCE,
    /** Final states of jobs, and changes that these wait for. */
    FINAL_STATE,
    /** Placements, which task starts wait for. */
    PLACEMENT,
    /** Completions of tasks. */
    COMPLETION,
    /** Changes that nothing waits for. */
    CLEANUP
  }

  /** A key with the supplier of its new value; a supplied null deletes the key. */
  public record Write(String key, Supplier<JsonNode> value) {}

  /** Creates a mutation of keys that only the leader writes. */
  public static Mutation of(Priority priority, List<Write> writes, Runnable onCommitted) {
    return new Mutation(priority, writes, List.of(), List.of(), () -> true, onCommitted, null);
  }

  /**
   * Creates a mutation of entries in job pages and of other keys. If a key of {@code mustNotExist}
   * exists, {@code onAlreadyExists} is called instead of {@code onCommitted}.
   */
  static Mutation withPageEdits(
      Priority priority,
      List<Write> writes,
      List<JobPageEdit> pageEdits,
      List<String> mustNotExist,
      Runnable onCommitted,
      Runnable onAlreadyExists) {
    return new Mutation(
        priority, writes, pageEdits, mustNotExist, () -> true, onCommitted, onAlreadyExists);
  }

  /** Whether this changes a job page that is being divided or must be divided first. */
  boolean mustBeDeferred() {
    return pageEdits.stream().anyMatch(JobPageEdit::mustBeDeferred);
  }
}
