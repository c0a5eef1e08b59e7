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
 * What a controller tells the leader of the workers whose leases it keeps in the leader's place: a
 * note in the state service, which both reach although they do not reach one another.
 */
public final class LeaseKeepAliveWriter {
  /** Between two notes while there is anything to tell. */
  static final Duration PACE = Duration.ofSeconds(4);

  /** A worker that was not heard for so long is not counted; it reports more often than that. */
  private final Duration counted;

  private record RenewedLease(String zone, Instant at) {}

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final String member;
  private final Map<String, RenewedLease> kept = new LinkedHashMap<>();
  private boolean told;

  /**
   * The revision of this controller's note as it is stored, 0 for none; null while that is not
   * known.
   */
  private Long stored;

  /**
   * The notes of one controller.
   *
   * @param report how often workers report
   */
  public LeaseKeepAliveWriter(
      StoreClient storeClient, EventLoop eventLoop, String member, Duration report) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.member = member;
    this.counted = report.multipliedBy(2);
  }

  /** This controller has answered a report in the leader's place. */
  public void kept(String machine, String zone) {
    kept.put(machine, new RenewedLease(zone, eventLoop.now()));
    if (!told) {
      told = true;
      // The first ones say nothing yet: a zone's workers come one after the other.
      eventLoop.schedule(PACE, this::tell);
    }
  }

  private void tell() {
    Instant from = eventLoop.now().minus(counted);
    kept.values().removeIf(each -> each.at.isBefore(from));
    if (kept.isEmpty()) {
      told = false;
      return;
    }
    Map<String, Integer> zones = new HashMap<>();
    kept.values().forEach(each -> zones.merge(each.zone, 1, Integer::sum));
    eventLoop.schedule(PACE, this::tell);
    if (stored != null) {
      write(zones);
      return;
    }
    storeClient.readForUser(
        RecordKeys.APART + member,
        read -> {
          if (read.certain()) {
            stored = read.found() ? read.entry().version() : 0L;
            write(zones);
          }
        });
  }

  /**
   * The note follows the one that is known to be stored: without that condition a transaction that
   * got no answer and was carried out late took the place of a newer note, and a second copy of it
   * had effect again.
   */
  private void write(Map<String, Integer> zones) {
    var value = Json.object();
    var counts = value.putObject("zones");
    zones.forEach(counts::put);
    String key = RecordKeys.APART + member;
    byte[] body = storeClient.transaction().require(key, stored).put(key, value).bytes();
    stored = null;
    storeClient.changeForUser(
        storeClient.post("/multi", body),
        1,
        reply -> {
          try {
            stored = reply.is(200) ? StoreWire.parseRevision(reply.body()) : null;
          } catch (MalformedMessageException e) {
            stored = null;
          }
        });
  }
}
