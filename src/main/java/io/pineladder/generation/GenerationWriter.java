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
  private static final int MOST_BYTES = 48 * 1024;

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Generation target;
  private final List<StoreWire.Entry> image;
  private final Consumer<Boolean> onEnd;
  private final Backoff retry;
  private int written;
  private boolean over;

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
      List<StoreWire.Entry> image,
      Consumer<Boolean> onEnd) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.target = target;
    this.image = image;
    this.onEnd = onEnd;
    this.retry = storeClient.newBackoff();
  }

  /** How many records are stored. */
  int written() {
    return written;
  }

  int all() {
    return image.size();
  }

  void stop() {
    over = true;
  }

  void next() {
    if (over) {
      return;
    }
    if (written == image.size()) {
      finish();
      return;
    }
    int most =
        Math.min(
            storeClient.limits().transactionOps(),
            storeClient.writeBudget().available(eventLoop.now()));
    if (most < 1) {
      eventLoop.schedule(
          storeClient.writeBudget().until(1, eventLoop.now()).plusMillis(1), this::next);
      return;
    }
    StoreWire.Transaction part =
        new StoreWire.Transaction(target.prefix()).requireGeneration(target.recordRevision());
    int count = 0;
    int bytes = 0;
    while (count < most && written + count < image.size()) {
      StoreWire.Entry entry = image.get(written + count);
      int size = Json.bytes(entry.value()).length + entry.key().length();
      if (count > 0 && bytes + size > MOST_BYTES) {
        break;
      }
      part.put(entry.key(), entry.value());
      bytes += size;
      count++;
    }
    int stored = count;
    storeClient.writeBudget().take(stored, eventLoop.now());
    send(
        part,
        () -> {
          written += stored;
          next();
        });
  }

  private void finish() {
    Generation whole =
        new Generation(
            target.base(), 0, Generation.Phase.COMPLETE, target.exact(), target.writer());
    send(
        new StoreWire.Transaction("")
            .requireGeneration(target.recordRevision())
            .putGeneration(RecordWire.generation(whole)),
        () -> end(true));
  }

  private void send(StoreWire.Transaction transaction, Runnable onStored) {
    storeClient.sendImmediately(
        storeClient.post("/multi", transaction.bytes()),
        reply -> {
          if (over) {
            return;
          }
          if (reply.is(200)) {
            retry.reset();
            onStored.run();
          } else if (reply.is(409) || reply.is(400)) {
            // Another generation counts, or this is the second copy of the last transaction.
            end(false);
          } else {
            storeClient.scheduleRetry(retry, () -> send(transaction, onStored));
          }
        });
  }

  private void end(boolean good) {
    over = true;
    onEnd.accept(good);
  }
}
