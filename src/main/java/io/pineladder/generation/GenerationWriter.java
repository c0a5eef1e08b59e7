package io.pineladder.generation;

import io.pineladder.model.Generation;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes the records of a new generation and then marks it as complete. Every transaction requires
 * that the generation record is unchanged, so a writer that was replaced cannot commit. A
 * transaction without a reply is sent again, which is idempotent.
 */
final class GenerationWriter {
  /** Leaves space for keys and conditions within the store's limit of 64 KiB. */
  private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  /** How a rebuild ended. */
  enum Outcome {
    /** The generation is marked as complete. */
    COMPLETE,
    /** Another generation is in force, or the generation was completed but the reply was lost. */
    REJECTED
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Generation target;
  private final List<StoreWire.Entry> entries;
  private final Consumer<Outcome> onEnd;
  private final Backoff backoff;
  private int writtenCount;
  private boolean finished;

  /**
   * Creates a writer; {@link #writeNext} starts it.
   *
   * @param entries the records, without the generation's key prefix
   * @param onEnd called once with the outcome, unless the writer is stopped before
   */
  GenerationWriter(
      StoreClient storeClient,
      EventLoop eventLoop,
      Generation target,
      List<StoreWire.Entry> entries,
      Consumer<Outcome> onEnd) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.target = target;
    this.entries = entries;
    this.onEnd = onEnd;
    this.backoff = storeClient.newBackoff();
  }

  int writtenCount() {
    return writtenCount;
  }

  int totalCount() {
    return entries.size();
  }

  /** Sends no further transactions and ignores pending replies. */
  void stop() {
    finished = true;
  }

  /** Sends the next transaction within the write budget, and further ones after each reply. */
  void writeNext() {
    if (finished) {
      return;
    }
    if (writtenCount == entries.size()) {
      writeCompletion();
      return;
    }
    int maxOperations =
        Math.min(
            storeClient.limits().transactionOps(),
            storeClient.writeBudget().available(eventLoop.now()));
    if (maxOperations < 1) {
      eventLoop.schedule(
          storeClient.writeBudget().delayUntilAvailable(1, eventLoop.now()).plusMillis(1),
          this::writeNext);
      return;
    }
    StoreWire.Transaction transaction =
        new StoreWire.Transaction(target.prefix()).requireGeneration(target.recordRevision());
    int count = 0;
    int bytes = 0;
    while (count < maxOperations && writtenCount + count < entries.size()) {
      StoreWire.Entry entry = entries.get(writtenCount + count);
      int size = entry.json().length + entry.key().length();
      if (count > 0 && bytes + size > MAX_TRANSACTION_BYTES) {
        break;
      }
      transaction.put(entry.key(), Json.decode(entry.json()));
      bytes += size;
      count++;
    }
    int stored = count;
    storeClient.writeBudget().consume(stored, eventLoop.now());
    send(
        transaction,
        () -> {
          writtenCount += stored;
          writeNext();
        });
  }

  private void writeCompletion() {
    Generation complete =
        new Generation(
            target.base(), 0, Generation.Phase.COMPLETE, target.exact(), target.writer());
    send(
        new StoreWire.Transaction("")
            .requireGeneration(target.recordRevision())
            .putGeneration(RecordWire.generation(complete)),
        () -> finish(Outcome.COMPLETE));
  }

  private void send(StoreWire.Transaction transaction, Runnable onStored) {
    storeClient.sendImmediately(
        storeClient.post("/multi", transaction.bytes()),
        reply -> {
          if (finished) {
            return;
          }
          if (reply.hasStatus(200)) {
            backoff.reset();
            onStored.run();
          } else if (reply.hasStatus(409) || reply.hasStatus(400)) {
            // Another generation is in force, or the completion was committed without a reply.
            finish(Outcome.REJECTED);
          } else {
            storeClient.scheduleRetry(backoff, () -> send(transaction, onStored));
          }
        });
  }

  private void finish(Outcome outcome) {
    finished = true;
    onEnd.accept(outcome);
  }
}
