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
 * Writes the records of a new generation, and says that it is whole once all are stored. Every
 * transaction asks that the generation is still the one being rebuilt, so nothing of a writer that
 * was given up is stored later; one without a reply is sent again, which stores the same.
 */
final class GenerationWriter {
  /** The service takes 64 KiB; the rest is for names and conditions. */
  private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Generation target;
  private final List<StoreWire.Entry> entries;
  private final Consumer<Boolean> onEnd;
  private final Backoff backoff;
  private int writtenCount;
  private boolean finished;

  /**
   * A writer.
   *
   * @param onEnd told true when the last transaction was answered with 200, false when another
   *     generation counts or it cannot be known
   */
  GenerationWriter(
      StoreClient storeClient,
      EventLoop eventLoop,
      Generation target,
      List<StoreWire.Entry> entries,
      Consumer<Boolean> onEnd) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.target = target;
    this.entries = entries;
    this.onEnd = onEnd;
    this.backoff = storeClient.newBackoff();
  }

  /** How many records are stored. */
  int writtenCount() {
    return writtenCount;
  }

  int totalCount() {
    return entries.size();
  }

  void stop() {
    finished = true;
  }

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
      int size = Json.bytes(entry.value()).length + entry.key().length();
      if (count > 0 && bytes + size > MAX_TRANSACTION_BYTES) {
        break;
      }
      transaction.put(entry.key(), entry.value());
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
    Generation whole =
        new Generation(
            target.base(), 0, Generation.Phase.COMPLETE, target.exact(), target.writer());
    send(
        new StoreWire.Transaction("")
            .requireGeneration(target.recordRevision())
            .putGeneration(RecordWire.generation(whole)),
        () -> finish(true));
  }

  private void send(StoreWire.Transaction transaction, Runnable onStored) {
    storeClient.sendImmediately(
        storeClient.post("/multi", transaction.bytes()),
        reply -> {
          if (finished) {
            return;
          }
          if (reply.is(200)) {
            backoff.reset();
            onStored.run();
          } else if (reply.is(409) || reply.is(400)) {
            // Another generation counts, or this is the second copy of the last transaction.
            finish(false);
          } else {
            storeClient.scheduleRetry(backoff, () -> send(transaction, onStored));
          }
        });
  }

  private void finish(boolean good) {
    finished = true;
    onEnd.accept(good);
  }
}
