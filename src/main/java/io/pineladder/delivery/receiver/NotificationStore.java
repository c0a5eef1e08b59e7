package io.pineladder.delivery.receiver;

import io.pineladder.wire.DeliveryWire.Event;
import java.io.Closeable;
import java.io.IOException;

/**
 * Where a receiver keeps what notices cause, together with how far it is. Exactly once rests on
 * both being one step: with an effect that is there without its position, a crash has it repeated,
 * and with a position that is there without its effect, a crash has it left out.
 */
public interface NotificationStore extends Closeable {
  /** The last sequence of a source whose effect is durable; 0 for none. */
  long lastSequence(String source);

  /**
   * Makes the event's effect and its position durable in one step that is there as a whole or not
   * at all after a crash.
   *
   * @throws IOException when it is not known to be durable; nothing more is applied after that
   */
  void apply(Event event) throws IOException;
}
