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
 * Tells the leader how many workers' leases this controller keeps alive in its place: by a note in
 * the state service, which both reach although they do not reach one another.
 */
public final class LeaseKeepAliveWriter {
  /** The interval of the note's renewal while any lease is kept alive. */
  static final Duration WRITE_INTERVAL = Duration.ofSeconds(4);

  /** A worker that was not heard for this long is not counted; heartbeats come more often. */
  private final Duration renewalTtl;

  private record RenewedLease(String zone, Instant renewedAt) {}

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final String controllerName;
  private final Map<String, RenewedLease> renewedLeases = new LinkedHashMap<>();
  private boolean writeScheduled;

  /**
   * The revision of this controller's stored note, 0 for none; null while it is not known because a
   * write is in flight or its outcome is uncertain.
   */
  private Long storedRevision;

  /**
   * Creates the writer of one controller.
   *
   * @param heartbeatInterval how often workers send heartbeats
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

  /** This controller has answered a heartbeat in the leader's place, which renews the lease. */
  public void onLeaseRenewed(String machine, String zone) {
    renewedLeases.put(machine, new RenewedLease(zone, eventLoop.now()));
    if (!writeScheduled) {
      writeScheduled = true;
      // The first counts would be too low: a zone's workers come one after the other.
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
   * Writes the note on condition of the revision that is known to be stored. Without it a
   * transaction that got no answer and was executed late replaced a newer note, and a duplicate of
   * it took effect again.
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
            // The outcome is as uncertain as without an answer: the next renewal reads the note.
            storedRevision = null;
          }
        });
  }
}
