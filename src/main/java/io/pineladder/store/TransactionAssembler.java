package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Settings.StoreLimits;
import io.pineladder.wire.Json;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Combines queued mutations into one transaction, within the limits on operations, conditions and
 * bytes. An instance assembles a single transaction.
 */
final class TransactionAssembler {
  /** Limit of the values' size. The store allows 64 KiB; the rest is for conditions. */
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
   * Creates an assembler with an empty transaction.
   *
   * @param fenced the transaction to fill, fenced by the generation and the leader's key
   * @param revisions the last known revision of each key; absent for keys that are not stored
   * @param maxOperations the number of keys that the write budget allows to change now
   * @param maxTransactionOperations the maximum number of keys that the store allows to change in
   *     one transaction
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

  /** The number of conditions that a transaction may have in addition to the fencing ones. */
  static int maxConditions(int maxTransactionOperations) {
    return StoreLimits.CONDITIONS_PER_OPERATION * maxTransactionOperations - FENCING_CONDITIONS;
  }

  /** The number of keys that the mutation changes when it is alone in a transaction. */
  static int operations(Mutation mutation) {
    return operations(mutation, Map.of());
  }

  /** The number of keys that the mutation changes and the transaction does not change yet. */
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
   * Moves mutations from the queue into the transaction, highest priority first, up to the first
   * one that does not fit.
   *
   * @param maxMutations the maximum number of mutations in the transaction
   * @return the transaction, or null if it would be empty
   */
  PendingTransaction assemble(MutationQueue queue, int maxMutations) {
    // Rendering a value may submit further mutations. Those of a priority that was already
    // processed go into the next transaction.
    for (Deque<Mutation> mutations : queue.byPriority()) {
      while (!mutations.isEmpty()) {
        Mutation mutation = mutations.peekFirst();
        if (!mutation.isStillNeeded().getAsBoolean()) {
          mutations.pollFirst();
        } else if (mutation.mustBeDeferred()) {
          // It is queued again when its page is divided; other mutations need not wait.
          queue.defer(mutations.pollFirst());
        } else if (assembled.mutations().size() < maxMutations && include(mutation)) {
          mutations.pollFirst();
        } else {
          // No mutation of lower priority may overtake it, or it could starve.
          return seal();
        }
      }
    }
    return seal();
  }

  /** Adds the mutation; returns false if it does not fit into the transaction. */
  private boolean include(Mutation mutation) {
    int operations = operations(mutation, assembled.pageEdits());
    int conditions = operations + mutation.mustNotExist().size();
    boolean repeatsKey = mutation.writes().stream().anyMatch(w -> writtenKeys.contains(w.key()));
    if (operations > remainingOperations || repeatsKey || conditions > remainingConditions) {
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

  /** Renders the values of the mutation's writes; returns their total size in bytes. */
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

  /** Renders each changed job page with all its edits, and encodes the request. */
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
