package io.pineladder.zones;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.net.EventLoop;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the keep-alive records of other controllers ({@link LeaseKeepAliveWriter}), from which the
 * leader learns about workers whose heartbeats do not reach it.
 */
public final class LeaseKeepAliveReader {
  private static final Logger log = LoggerFactory.getLogger(LeaseKeepAliveReader.class);
  private static final Duration READ_INTERVAL = Duration.ofSeconds(3);

  /** A record not rewritten for this long has expired: two writes in a row were missed. */
  private static final Duration KEEP_ALIVE_TTL =
      LeaseKeepAliveWriter.WRITE_INTERVAL.multipliedBy(3);

  /** One controller's record, and when this revision of it was first read. */
  private record KeepAlive(long revision, Instant changedAt, JsonNode workersByZone) {}

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final BooleanSupplier anyZoneUnreachable;
  private final Map<String, KeepAlive> keepAlives = new HashMap<>();

  /**
   * Creates a reader that does nothing before {@link #start}.
   *
   * @param anyZoneUnreachable whether some zone is unreachable; otherwise nothing is read
   */
  public LeaseKeepAliveReader(
      StoreClient storeClient, EventLoop eventLoop, BooleanSupplier anyZoneUnreachable) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.anyZoneUnreachable = anyZoneUnreachable;
  }

  /** Reads the records periodically while a zone is unreachable, until {@code isClosed}. */
  public void start(BooleanSupplier isClosed) {
    if (isClosed.getAsBoolean()) {
      return;
    }
    if (anyZoneUnreachable.getAsBoolean()) {
      storeClient.readPage(RecordKeys.WORKER_KEEP_ALIVES, null, this::onPage);
    }
    eventLoop.schedule(READ_INTERVAL, () -> start(isClosed));
  }

  private void onPage(StoreWire.Page page) {
    if (page == null) {
      return;
    }
    Instant now = eventLoop.now();
    for (StoreWire.Entry entry : page.entries()) {
      KeepAlive previous = keepAlives.get(entry.key());
      if (previous == null || previous.revision != entry.revision()) {
        // A record that is read for the first time may be left over from an earlier outage.
        Instant changedAt = previous == null ? now.minus(KEEP_ALIVE_TTL) : now;
        keepAlives.put(entry.key(), new KeepAlive(entry.revision(), changedAt, zones(entry)));
      }
    }
  }

  private static JsonNode zones(StoreWire.Entry entry) {
    try {
      return entry.value().path("zones");
    } catch (MalformedMessageException e) {
      log.warn("Unreadable keep-alives ignored: key={} error={}", entry.key(), e.getMessage());
      return Json.object();
    }
  }

  /** The number of workers in the zone whose leases other controllers keep alive. */
  public int workersSeenByPeers(String zone) {
    Instant from = eventLoop.now().minus(KEEP_ALIVE_TTL);
    int workers = 0;
    for (KeepAlive keepAlive : keepAlives.values()) {
      workers +=
          keepAlive.changedAt.isAfter(from) ? keepAlive.workersByZone.path(zone).asInt(0) : 0;
    }
    return workers;
  }
}
