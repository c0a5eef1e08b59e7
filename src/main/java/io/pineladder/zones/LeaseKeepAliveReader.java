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
  private static final Duration EVERY = Duration.ofSeconds(3);

  /** A note that was not renewed for so long is over: two in a row were lost. */
  private static final Duration FRESH = LeaseKeepAliveWriter.PACE.multipliedBy(3);

  /** One controller's note; when it was first seen like this. */
  private record KeepAlive(long version, Instant at, JsonNode zones) {}

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final BooleanSupplier wanted;
  private final Map<String, KeepAlive> notes = new HashMap<>();

  /**
   * The notes that a leader reads.
   *
   * @param wanted whether a zone is not heard, so that it is worth a request
   */
  public LeaseKeepAliveReader(
      StoreClient storeClient, EventLoop eventLoop, BooleanSupplier wanted) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.wanted = wanted;
  }

  /** Reads them while they are wanted, until {@code over} says so. */
  public void start(BooleanSupplier over) {
    if (over.getAsBoolean()) {
      return;
    }
    if (wanted.getAsBoolean()) {
      storeClient.page(RecordKeys.APART, null, this::take);
    }
    eventLoop.schedule(EVERY, () -> start(over));
  }

  private void take(StoreWire.Page page) {
    if (page == null) {
      return;
    }
    Instant now = eventLoop.now();
    for (StoreWire.Entry entry : page.entries()) {
      KeepAlive known = notes.get(entry.key());
      if (known == null || known.version != entry.version()) {
        // What is there when it is read for the first time may be from an earlier parting.
        Instant at = known == null ? now.minus(FRESH) : now;
        notes.put(entry.key(), new KeepAlive(entry.version(), at, entry.value().path("zones")));
      }
    }
  }

  /** How many workers of a zone other controllers hear. */
  public int heardInside(String zone) {
    Instant from = eventLoop.now().minus(FRESH);
    int heard = 0;
    for (KeepAlive note : notes.values()) {
      heard += note.at.isAfter(from) ? note.zones.path(zone).asInt(0) : 0;
    }
    return heard;
  }
}
