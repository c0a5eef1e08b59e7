package io.pineladder.delivery.receiver;

import io.pineladder.wire.DeliveryWire.Event;
import java.io.Closeable;
import java.io.IOException;

/**
 * Persists the effects of notifications together with the receiver's position. Exactly-once
 * processing requires that both are written atomically: after a crash, an effect without its
 * position would be repeated, and a position without its effect would skip the notification.
 */
public interface NotificationStore extends Closeable {
  /** The last sequence of a source that is durable; 0 for none. */
  long lastSequence(String source);

  /**
   * Makes an event's effect and its position durable; after a crash, both are present or neither.
   *
   * @throws IOException if the event may not be durable; the store rejects all later events then
   */
  void apply(Event event) throws IOException;
}
