package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Changes to records that are made together or not at all. Values are asked for when the
 * transaction is put together, so a record that waits is written as it is then; a transaction that
 * was not executed asks for them again.
 *
 * @param priority the order among waiting mutations
 * @param writes keys that are written or deleted
 * @param pageEdits changes of records in pages of jobs
 * @param mustNotExist keys that other nodes may create and that must be absent
 * @param stillWanted asked before the mutation is sent; it is dropped when false
 * @param onCommitted called when the transaction has committed
 * @param onAlreadyExists called instead when one of {@code mustNotExist} exists; null when there is
 *     none
 */
public record Mutation(
    Priority priority,
    List<Write> writes,
    List<JobPageEdit> pageEdits,
    List<String> mustNotExist,
    BooleanSupplier stillWanted,
    Runnable onCommitted,
    Runnable onAlreadyExists) {

  /** The order in which waiting mutations get the write budget, the most urgent first. */
  public enum Priority {
    /** Something that a user waits for, such as an accepted job. */
    ACCEPTANCE,
    /** Final states of jobs, and steps that those wait for. */
    FINAL_STATE,
    /** Placements, which starts of tasks wait for. */
    PLACEMENT,
    /** Completions of tasks. */
    COMPLETION,
    /** What nobody waits for. */
    CLEANUP
  }

  /** A key with its new value; a supplied null deletes it. */
  public record Write(String key, Supplier<JsonNode> value) {}

  /** Changes to records that only the leader writes. */
  public static Mutation of(Priority priority, List<Write> writes, Runnable onCommitted) {
    return new Mutation(priority, writes, List.of(), List.of(), () -> true, onCommitted, null);
  }

  /**
   * Changes to jobs' records together with other writes: {@code onAlreadyExists} is called instead
   * of {@code onCommitted} when one of {@code mustNotExist}, which other nodes may create, exists.
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

  /** Whether it changes a page of jobs that is being divided, or has to be first. */
  boolean mustWait() {
    return pageEdits.stream().anyMatch(JobPageEdit::mustWait);
  }
}
