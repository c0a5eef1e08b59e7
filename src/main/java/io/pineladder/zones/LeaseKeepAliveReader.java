package io.pineladder.zones;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.net.EventLoop;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * What other controllers tell the leader of workers that it does not hear ({@link
 * LeaseKeepAliveWriter}).
 */
public final class LeaseKeepAliveReader {
  private static final Duration READ_INTERVAL = Duration.ofSeconds(3);

  /** A note that was not renewed for so long is over: two in a row were lost. */
  private static final Duration KEEP_ALIVE_TTL =
      LeaseKeepAliveWriter.WRITE_INTERVAL.multipliedBy(3);

  /** One controller's note; when it was first seen like this. */
  private record KeepAlive(long revision, Instant changedAt, JsonNode workersByZone) {}

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final BooleanSupplier needed;
  private final Map<String, KeepAlive> keepAlives = new HashMap<>();

  /**
   * The notes that a leader reads.
   *
   * @param wanted whether a zone is not heard, so that it is worth a request
   */
  public LeaseKeepAliveReader(
      StoreClient storeClient, EventLoop eventLoop, BooleanSupplier needed) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.needed = needed;
  }

  /** Reads them while they are wanted, until {@code over} says so. */
  public void start(BooleanSupplier isOver) {
    if (isOver.getAsBoolean()) {
      return;
    }
    if (needed.getAsBoolean()) {
      storeClient.readPage(RecordKeys.WORKER_KEEP_ALIVES, null, this::onPage);
    }
    eventLoop.schedule(READ_INTERVAL, () -> start(isOver));
  }

  private void onPage(StoreWire.Page page) {
    if (page == null) {
      return;
    }
    Instant now = eventLoop.now();
    for (StoreWire.Entry entry : page.entries()) {
      KeepAlive previous = keepAlives.get(entry.key());
      if (previous == null || previous.revision != entry.revision()) {
        // What is there when it is read for the first time may be from an earlier parting.
        Instant changedAt = previous == null ? now.minus(KEEP_ALIVE_TTL) : now;
        keepAlives.put(
            entry.key(), new KeepAlive(entry.revision(), changedAt, entry.value().path("zones")));
      }
    }
  }

  /** How many workers of a zone other controllers hear. */
  public int workersHeardByPeers(String zone) {
    Instant from = eventLoop.now().minus(KEEP_ALIVE_TTL);
    int heard = 0;
    for (KeepAlive keepAlive : keepAlives.values()) {
      heard += keepAlive.changedAt.isAfter(from) ? keepAlive.workersByZone.path(zone).asInt(0) : 0;
    }
    return heard;
  }
}
