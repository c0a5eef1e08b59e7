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
 * Reads, for the leader, the notes of other controllers about workers that it does not hear and
 * whose leases they keep alive ({@link LeaseKeepAliveWriter}).
 */
public final class LeaseKeepAliveReader {
  private static final Duration READ_INTERVAL = Duration.ofSeconds(3);

  /** A note that was not renewed for this long is void: two renewals in a row were lost. */
  private static final Duration KEEP_ALIVE_TTL =
      LeaseKeepAliveWriter.WRITE_INTERVAL.multipliedBy(3);

  /** One controller's note, with the time at which it was first seen in this revision. */
  private record KeepAlive(long revision, Instant changedAt, JsonNode workersByZone) {}

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final BooleanSupplier needed;
  private final Map<String, KeepAlive> keepAlives = new HashMap<>();

  /**
   * Creates a reader that does nothing before {@link #start}.
   *
   * @param needed whether some zone is unreachable, so that the notes are worth a request
   */
  public LeaseKeepAliveReader(
      StoreClient storeClient, EventLoop eventLoop, BooleanSupplier needed) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.needed = needed;
  }

  /** Reads the notes at an interval while they are needed, until {@code isOver} holds. */
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
        // A note that is read for the first time may be left from an earlier outage.
        Instant changedAt = previous == null ? now.minus(KEEP_ALIVE_TTL) : now;
        keepAlives.put(
            entry.key(), new KeepAlive(entry.revision(), changedAt, entry.value().path("zones")));
      }
    }
  }

  /** How many workers of the zone have leases that other controllers keep alive. */
  public int workersSeenByPeers(String zone) {
    Instant from = eventLoop.now().minus(KEEP_ALIVE_TTL);
    int heard = 0;
    for (KeepAlive keepAlive : keepAlives.values()) {
      heard += keepAlive.changedAt.isAfter(from) ? keepAlive.workersByZone.path(zone).asInt(0) : 0;
    }
    return heard;
  }
}
