package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.wire.Json;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Puts waiting mutations together into one transaction, as many as its limits allow: operations,
 * conditions and bytes. Used for one transaction only.
 */
final class TransactionAssembler {
  /** The service takes 64 KiB; the rest is for conditions. */
  private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  /** Conditions that every transaction has: the generation and the leader's key. */
  private static final int FENCING_CONDITIONS = 2;

  private final Map<String, Long> revisions;
  private final StoreWire.Transaction transaction;
  private final PendingTransaction assembled = new PendingTransaction();
  private final Set<String> writtenKeys = new HashSet<>();
  private int remainingOperations;
  private int remainingConditions;
  private int bytes;

  /**
   * An empty transaction.
   *
   * @param fenced the transaction to fill, fenced by the generation and the leader's key
   * @param revisions the revision of each key as last known; absent for a key that is not stored
   * @param maxOperations keys that the write budget allows to be changed now
   * @param maxTransactionOperations keys that the service allows in a transaction at most
   */
  TransactionAssembler(
      StoreWire.Transaction fenced,
      Map<String, Long> revisions,
      int maxOperations,
      int maxTransactionOperations) {
    this.transaction = fenced;
    this.revisions = revisions;
    this.remainingOperations = maxOperations;
    this.remainingConditions = maxConditions(maxTransactionOperations);
  }

  /** Conditions on records that a transaction may have beside those that fence it. */
  static int maxConditions(int maxTransactionOperations) {
    return 4 * maxTransactionOperations - FENCING_CONDITIONS;
  }

  /** Keys that the mutation changes when it is alone in a transaction. */
  static int operations(Mutation mutation) {
    return operations(mutation, Map.of());
  }

  /** Keys that the mutation changes and that the transaction does not change already. */
  private static int operations(Mutation mutation, Map<JobPage, ?> includedPages) {
    long additionalPages =
        mutation.pageEdits().stream()
            .map(JobPageEdit::page)
            .filter(page -> !includedPages.containsKey(page))
            .distinct()
            .count();
    return mutation.writes().size() + (int) additionalPages;
  }

  /**
   * Takes mutations out of the queue, of the highest priority first, up to the first one that the
   * transaction has no capacity for.
   *
   * @return the transaction, or null when it would be empty
   */
  PendingTransaction assemble(MutationQueue queue) {
    // Rendering a value may submit further mutations; those of a priority that is already past
    // wait for the next transaction.
    for (Deque<Mutation> mutations : queue.byPriority()) {
      while (!mutations.isEmpty()) {
        Mutation mutation = mutations.peekFirst();
        if (!mutation.stillWanted().getAsBoolean()) {
          mutations.pollFirst();
        } else if (mutation.mustWait()) {
          // Whoever divides the page requeues it; what does not touch the page need not wait.
          queue.defer(mutations.pollFirst());
        } else if (include(mutation)) {
          mutations.pollFirst();
        } else {
          // Nothing of lower priority may overtake it, or it could starve.
          return seal();
        }
      }
    }
    return seal();
  }

  /** Adds the mutation; false when the transaction has no capacity for it. */
  private boolean include(Mutation mutation) {
    int operations = operations(mutation, assembled.pageEdits());
    int conditions = operations + mutation.mustNotExist().size();
    boolean repeats = mutation.writes().stream().anyMatch(w -> writtenKeys.contains(w.key()));
    if (operations > remainingOperations || repeats || conditions > remainingConditions) {
      return false;
    }
    Map<String, JsonNode> values = new HashMap<>();
    int addedBytes = renderWrites(mutation, values);
    for (JobPageEdit edit : mutation.pageEdits()) {
      addedBytes +=
          assembled.pageEdits().containsKey(edit.page()) ? 0 : edit.page().maxValueBytes();
    }
    if (!assembled.mutations().isEmpty() && bytes + addedBytes > MAX_TRANSACTION_BYTES) {
      return false;
    }
    bytes += addedBytes;
    remainingOperations -= operations;
    remainingConditions -= conditions;
    assembled.mutations().add(mutation);
    assembled.values().putAll(values);
    for (JobPageEdit edit : mutation.pageEdits()) {
      edit.prepare();
      assembled.pageEdits().computeIfAbsent(edit.page(), p -> new ArrayList<>()).add(edit);
    }
    addOperations(mutation, values);
    return true;
  }

  /** Renders the values of the mutation's own keys; returns their bytes. */
  private static int renderWrites(Mutation mutation, Map<String, JsonNode> values) {
    int size = 0;
    for (Mutation.Write write : mutation.writes()) {
      JsonNode value = write.value().get();
      values.put(write.key(), value);
      size += value == null ? 0 : Json.bytes(value).length;
    }
    return size;
  }

  private void addOperations(Mutation mutation, Map<String, JsonNode> values) {
    for (String key : mutation.mustNotExist()) {
      transaction.require(key, 0);
    }
    for (Mutation.Write write : mutation.writes()) {
      writtenKeys.add(write.key());
      transaction.require(write.key(), revisions.getOrDefault(write.key(), 0L));
      JsonNode value = values.get(write.key());
      if (value == null) {
        transaction.delete(write.key());
      } else {
        transaction.put(write.key(), value);
      }
    }
  }

  /** Renders the changed pages of jobs, once each with all their edits, and the request. */
  private PendingTransaction seal() {
    if (assembled.mutations().isEmpty()) {
      return null;
    }
    assembled
        .pageEdits()
        .forEach(
            (page, edits) -> {
              JsonNode value = page.render(edits);
              assembled.values().put(page.key, value);
              transaction.require(page.key, revisions.getOrDefault(page.key, 0L));
              transaction.put(page.key, value);
            });
    assembled.setBody(transaction.bytes());
    return assembled;
  }
}
