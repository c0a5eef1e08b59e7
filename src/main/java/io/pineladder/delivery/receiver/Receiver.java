package io.pineladder.delivery.receiver;

import io.pineladder.delivery.WebhookSignature;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.DeliveryWire.Event;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The receiving end: verifies a notice, applies it if it is the next, and answers how far it is. It
 * knows nothing of HTTP servers; whoever embeds it hands over headers and body.
 */
public final class Receiver {
  /** A notice signed so long ago, or so far ahead, is refused. */
  public static final Duration TOLERANCE = Duration.ofMinutes(5);

  private final List<byte[]> secrets;
  private final NotificationStore store;
  private final Clock clock;

  /** What to answer. */
  public record Reply(int status, byte[] body) {
    static Reply error(int status, String reason) {
      return new Reply(status, Json.bytes(Json.object().put("error", reason)));
    }
  }

  /**
   * A receiver.
   *
   * @param secrets the signing secrets, any of which is good
   */
  public Receiver(List<byte[]> secrets, NotificationStore store, Clock clock) {
    this.secrets = List.copyOf(secrets);
    this.store = store;
    this.clock = clock;
  }

  /**
   * Takes in a request.
   *
   * @param header the value of a header, whose name is given in lower case; null for none
   */
  public synchronized Reply receive(UnaryOperator<String> header, byte[] body) {
    String id = header.apply(WebhookSignature.ID);
    String seconds = header.apply(WebhookSignature.TIMESTAMP);
    String signature = header.apply(WebhookSignature.SIGNATURE);
    if (id == null || seconds == null || signature == null) {
      return Reply.error(400, "a webhook header is missing");
    }
    if (!seconds.matches("[0-9]{1,12}")) {
      return Reply.error(400, WebhookSignature.TIMESTAMP + " is not in seconds");
    }
    if (!WebhookSignature.verify(secrets, id, seconds, body, signature)) {
      return Reply.error(401, "the signature does not fit");
    }
    Instant signedAt = Instant.ofEpochSecond(Long.parseLong(seconds));
    if (Duration.between(signedAt, clock.instant()).abs().compareTo(TOLERANCE) > 0) {
      // Not for good: a packet that was held back is of no use any more, but one of the clocks may
      // be
      // wrong, and then what is signed anew is taken once it is right.
      return Reply.error(425, "the notice was signed at another time");
    }
    Event event;
    try {
      event = DeliveryWire.parseEvent(body);
    } catch (MalformedMessageException e) {
      return Reply.error(400, e.getMessage());
    }
    if (!event.json().path("id").asText().equals(id)) {
      return Reply.error(400, WebhookSignature.ID + " is not the event's id");
    }
    long position = store.lastSequence(event.source());
    if (event.firstSequence() > position + 1) {
      return new Reply(409, DeliveryWire.positionResponse(position));
    }
    if (event.sequence() > position) {
      try {
        store.apply(event);
      } catch (IOException e) {
        return Reply.error(503, "the notice could not be stored");
      }
      position = event.sequence();
    }
    return new Reply(200, DeliveryWire.positionResponse(position));
  }
}
