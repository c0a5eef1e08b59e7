package io.pineladder.zones;

import io.pineladder.net.EventLoop;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Informs the leader how many worker leases this controller renews on its behalf. The counts are
 * written to a record in the key-value store, which works even if the two controllers cannot reach
 * each other.
 */
public final class LeaseKeepAliveWriter {
  /** How often the record is written while this controller keeps leases alive. */
  static final Duration WRITE_INTERVAL = Duration.ofSeconds(4);

  /** A worker is not counted if its last heartbeat is older than this. */
  private final Duration renewalTtl;

  private record RenewedLease(String zone, Instant renewedAt) {}

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final String controllerName;
  private final Map<String, RenewedLease> renewedLeases = new LinkedHashMap<>();
  private boolean writeScheduled;

  /**
   * The revision of this controller's stored record, 0 if there is none; null while unknown,
   * because a write is in flight or its outcome is uncertain.
   */
  private Long storedRevision;

  /**
   * Creates the writer of one controller.
   *
   * @param heartbeatInterval the interval at which workers send heartbeats
   */
  public LeaseKeepAliveWriter(
      StoreClient storeClient,
      EventLoop eventLoop,
      String controllerName,
      Duration heartbeatInterval) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.controllerName = controllerName;
    this.renewalTtl = heartbeatInterval.multipliedBy(2);
  }

  /** Counts a worker whose lease this controller renewed on the leader's behalf. */
  public void onLeaseRenewed(String machine, String zone) {
    renewedLeases.put(machine, new RenewedLease(zone, eventLoop.now()));
    if (!writeScheduled) {
      writeScheduled = true;
      // Delays the first write until the zone's workers have had time to send heartbeats.
      eventLoop.schedule(WRITE_INTERVAL, this::writeKeepAlive);
    }
  }

  private void writeKeepAlive() {
    Instant from = eventLoop.now().minus(renewalTtl);
    renewedLeases.values().removeIf(lease -> lease.renewedAt.isBefore(from));
    if (renewedLeases.isEmpty()) {
      writeScheduled = false;
      return;
    }
    Map<String, Integer> workersByZone = new HashMap<>();
    renewedLeases.values().forEach(lease -> workersByZone.merge(lease.zone, 1, Integer::sum));
    eventLoop.schedule(WRITE_INTERVAL, this::writeKeepAlive);
    if (storedRevision != null) {
      write(workersByZone);
      return;
    }
    storeClient.readForUser(
        RecordKeys.WORKER_KEEP_ALIVES + controllerName,
        read -> {
          if (read.succeeded()) {
            storedRevision = read.found() ? read.entry().revision() : 0L;
            write(workersByZone);
          }
        });
  }

  /**
   * Writes the record if the stored revision is still the known one. Without this compare-and-swap,
   * a delayed or duplicated transaction could overwrite a newer record.
   */
  private void write(Map<String, Integer> workersByZone) {
    var value = Json.object();
    var counts = value.putObject("zones");
    workersByZone.forEach(counts::put);
    String key = RecordKeys.WORKER_KEEP_ALIVES + controllerName;
    byte[] body = storeClient.transaction().require(key, storedRevision).put(key, value).bytes();
    storedRevision = null;
    storeClient.writeForUser(
        storeClient.post("/multi", body),
        1,
        reply -> {
          try {
            storedRevision = reply.hasStatus(200) ? StoreWire.parseRevision(reply.body()) : null;
          } catch (MalformedMessageException e) {
            // The outcome is uncertain, as without a reply; the next write reads the record first.
            storedRevision = null;
          }
        });
  }
}
