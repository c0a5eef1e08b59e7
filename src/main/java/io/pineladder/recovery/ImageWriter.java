package io.pineladder.recovery;

import io.pineladder.model.Generation;
import io.pineladder.net.Timeline;
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
final class ImageWriter {
  /** The service takes 64 KiB; the rest is for names and conditions. */
  private static final int MOST_BYTES = 48 * 1024;

  private final StoreClient store;
  private final Timeline time;
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
  ImageWriter(
      StoreClient store,
      Timeline time,
      Generation target,
      List<StoreWire.Entry> image,
      Consumer<Boolean> onEnd) {
    this.store = store;
    this.time = time;
    this.target = target;
    this.image = image;
    this.onEnd = onEnd;
    this.retry = store.backoff();
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
    int most = Math.min(store.limits().transactionOps(), store.writes().available(time.now()));
    if (most < 1) {
      time.after(store.writes().until(1, time.now()).plusMillis(1), this::next);
      return;
    }
    StoreWire.Transaction part =
        new StoreWire.Transaction(target.prefix()).requireGeneration(target.version());
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
    store.writes().take(stored, time.now());
    send(
        part,
        () -> {
          written += stored;
          next();
        });
  }

  private void finish() {
    Generation whole =
        new Generation(target.base(), 0, Generation.Phase.WHOLE, target.exact(), target.by());
    send(
        new StoreWire.Transaction("")
            .requireGeneration(target.version())
            .putGeneration(RecordWire.generation(whole)),
        () -> end(true));
  }

  private void send(StoreWire.Transaction transaction, Runnable onStored) {
    store.urgent(
        store.post("/multi", transaction.bytes()),
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
            store.retry(retry, () -> send(transaction, onStored));
          }
        });
  }

  private void end(boolean good) {
    over = true;
    onEnd.accept(good);
  }
}
