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
 * Receives notifications: verifies each, applies it if it is next in sequence, and responds with
 * the receiver's position. Independent of any HTTP server; the caller passes headers and body.
 */
public final class Receiver {
  /** Maximum difference between a notification's timestamp and this receiver's clock. */
  public static final Duration TIMESTAMP_TOLERANCE = Duration.ofMinutes(5);

  private final List<byte[]> secrets;
  private final NotificationStore store;
  private final Clock clock;

  /** The HTTP response. */
  public record Reply(int status, byte[] body) {
    static Reply error(int status, String reason) {
      return new Reply(status, Json.bytes(Json.object().put("error", reason)));
    }
  }

  /**
   * Creates a receiver.
   *
   * @param secrets the signing secrets, any of which is accepted
   */
  public Receiver(List<byte[]> secrets, NotificationStore store, Clock clock) {
    this.secrets = List.copyOf(secrets);
    this.store = store;
    this.clock = clock;
  }

  /**
   * Handles a request.
   *
   * @param header returns the value of a header by its lower-case name, or null
   */
  public synchronized Reply receive(UnaryOperator<String> header, byte[] body) {
    String id = header.apply(WebhookSignature.ID_HEADER);
    String seconds = header.apply(WebhookSignature.TIMESTAMP_HEADER);
    String signature = header.apply(WebhookSignature.SIGNATURE_HEADER);
    if (id == null || seconds == null || signature == null) {
      return Reply.error(400, "a webhook header is missing");
    }
    if (!seconds.matches("[0-9]{1,12}")) {
      return Reply.error(400, WebhookSignature.TIMESTAMP_HEADER + " is not in seconds");
    }
    if (!WebhookSignature.verify(secrets, id, seconds, body, signature)) {
      return Reply.error(401, "the signature does not fit");
    }
    Instant signedAt = Instant.ofEpochSecond(Long.parseLong(seconds));
    if (Duration.between(signedAt, clock.instant()).abs().compareTo(TIMESTAMP_TOLERANCE) > 0) {
      // A status that is retried: if a clock is wrong, a later attempt is signed with a new
      // timestamp and succeeds once the clock is corrected. A replayed request never does.
      return Reply.error(425, "the notice was signed at another time");
    }
    Event event;
    try {
      event = DeliveryWire.parseEvent(body);
    } catch (MalformedMessageException e) {
      return Reply.error(400, e.getMessage());
    }
    if (!event.json().path("id").asText().equals(id)) {
      return Reply.error(400, WebhookSignature.ID_HEADER + " is not the event's id");
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
