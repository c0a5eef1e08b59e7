package io.pineladder.delivery;

import io.pineladder.model.DeliveryProgress;
import io.pineladder.model.Notification;
import io.pineladder.model.Subscription;
import io.pineladder.net.EventLoop;
import io.pineladder.net.OutboundClient;
import io.pineladder.net.OutboundClient.Result;
import io.pineladder.retry.Backoff;
import io.pineladder.wire.DeliveryWire;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Delivers notifications to one subscriber during one term: one at a time and in order, each
 * retried until the receiver has confirmed it.
 */
final class SubscriberDelivery {
  private static final Logger log = LoggerFactory.getLogger(SubscriberDelivery.class);

  /** Timeout for a complete request and response. */
  static final Duration TIMEOUT = Duration.ofSeconds(10);

  private static final Duration INITIAL_RETRY_DELAY = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_DELAY = Duration.ofMinutes(5);

  /** Upper bound of the delay that a receiver may request by a Retry-After header. */
  private static final Duration MAX_RETRY_AFTER = Duration.ofHours(1);

  /** The state of the delivery. Shown to operators by these names. */
  enum State {
    /** Everything is confirmed. */
    CURRENT,
    /** A notification is pending and a turn to send it has been requested. */
    READY,
    SENDING,
    /** The last attempt failed; the next one is scheduled. */
    RETRYING,
    /** Paused, parked or ended: nothing is sent. */
    HELD
  }

  /** What the dispatcher does for a delivery. */
  interface Callbacks {
    /** Must be checked before every send, since the process may have been paused. */
    boolean isLeadingWithValidLease();

    /** Requests a turn; {@link SubscriberDelivery#send} is called when it begins. */
    void requestTurn();

    /** Ends a turn: its request has ended, or none was sent. */
    void endTurn();

    void onSent();

    /** An attempt failed and will be retried. */
    void onAttemptFailed();

    /** The receiver confirmed the notification of a job that ended at this time. */
    void onConfirmed(Instant endedAt);

    /**
     * The decrypted signing secrets.
     *
     * @throws IllegalArgumentException when this controller's key does not decrypt them
     */
    List<byte[]> signingSecrets(Subscription subscription);

    /** Stores that the delivery stopped because of the receiver, and why. */
    void storeStatus(Subscription subscription, Subscription.Status status, String reason);
  }

  private final NotificationOutbox outbox;
  private final OutboundClient outboundClient;
  private final EventLoop eventLoop;
  private final Callbacks callbacks;
  private final Backoff backoff;
  private Subscription subscription;
  private State state = State.HELD;

  /** Incremented on each transition, so that a timer or result of an earlier state is ignored. */
  private long stateVersion;

  /** An attempt failed and none has succeeded since. */
  private boolean failing;

  private String lastError;
  private Instant lastConfirmedAt;
  private long sentCount;

  SubscriberDelivery(
      Subscription subscription,
      NotificationOutbox outbox,
      OutboundClient outboundClient,
      EventLoop eventLoop,
      Callbacks callbacks) {
    this.subscription = subscription;
    this.outbox = outbox;
    this.outboundClient = outboundClient;
    this.eventLoop = eventLoop;
    this.callbacks = callbacks;
    this.backoff = new Backoff(eventLoop, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
  }

  private void moveTo(State next) {
    if (next == State.RETRYING && !failing) {
      failing = true;
      log.warn("Delivery failing: subscription={} error=\"{}\"", subscription.name(), lastError);
    }
    stateVersion++;
    state = next;
  }

  State state() {
    return state;
  }

  boolean isFailing() {
    return failing;
  }

  String lastError() {
    return lastError;
  }

  Instant lastConfirmedAt() {
    return lastConfirmedAt;
  }

  long sentCount() {
    return sentCount;
  }

  /** Applies the stored subscription, which is new or has changed. */
  void configure(Subscription stored) {
    subscription = stored;
    if (stored.status() != Subscription.Status.ACTIVE) {
      // The response to a request in flight is still processed: it reports the receiver's position.
      if (state != State.SENDING) {
        moveTo(State.HELD);
      }
    } else if (state == State.HELD || state == State.RETRYING) {
      backoff.reset();
      updateState();
    }
  }

  /** Stops the delivery: the subscription was deleted. */
  void close() {
    moveTo(State.HELD);
  }

  /** Checks for pending notifications. */
  void wake() {
    if (state == State.CURRENT) {
      updateState();
    }
  }

  private void updateState() {
    if (subscription.status() != Subscription.Status.ACTIVE) {
      moveTo(State.HELD);
    } else if (hasPending()) {
      moveTo(State.READY);
      callbacks.requestTurn();
    } else {
      moveTo(State.CURRENT);
    }
  }

  private boolean hasPending() {
    return outbox.cursor(subscription).progress().firstLostSequence() > 0
        || outbox.nextFor(subscription) != null;
  }

  /** Sends the next notification. Called by the dispatcher after {@link Callbacks#requestTurn}. */
  void send() {
    if (state != State.READY || !callbacks.isLeadingWithValidLease()) {
      if (state == State.READY) {
        // The lease is not known to be valid; wake() is called when it is renewed.
        moveTo(State.CURRENT);
      }
      callbacks.endTurn();
      return;
    }
    DeliveryProgress progress = outbox.cursor(subscription).progress();
    Notification next = progress.firstLostSequence() > 0 ? null : outbox.nextFor(subscription);
    if (progress.firstLostSequence() == 0 && next == null) {
      moveTo(State.CURRENT);
      callbacks.endTurn();
      return;
    }
    long sequence = next == null ? progress.lastSequence() : progress.lastSequence() + 1;
    byte[] body =
        next == null
            ? DeliveryWire.lostEvent(subscription, progress.firstLostSequence(), sequence)
            : DeliveryWire.event(subscription, sequence, next);
    String id = DeliveryWire.eventId(subscription, sequence);
    Instant now = eventLoop.wallClock();
    Map<String, String> headers;
    try {
      headers =
          Map.of(
              "content-type",
              DeliveryWire.CONTENT_TYPE,
              WebhookSignature.ID_HEADER,
              id,
              WebhookSignature.TIMESTAMP_HEADER,
              Long.toString(now.getEpochSecond()),
              WebhookSignature.SIGNATURE_HEADER,
              WebhookSignature.sign(callbacks.signingSecrets(subscription), id, now, body));
    } catch (IllegalArgumentException e) {
      callbacks.endTurn();
      park("its secrets cannot be decrypted with this controller's key");
      return;
    }
    moveTo(State.SENDING);
    sentCount++;
    callbacks.onSent();
    long expectedVersion = stateVersion;
    outboundClient.post(
        new OutboundClient.Message(URI.create(subscription.url()), headers, body, TIMEOUT),
        result -> {
          callbacks.endTurn();
          if (stateVersion == expectedVersion) {
            onResult(sequence, next, result);
          }
        });
  }

  private void onResult(long sequence, Notification notification, Result result) {
    int status = result.status();
    long position = DeliveryWire.parsePosition(result.body());
    boolean accepted = status >= 200 && status < 300;
    if (result.outcome() == OutboundClient.Outcome.NOT_ALLOWED) {
      park(result.failureReason());
    } else if (result.outcome() == OutboundClient.Outcome.FAILED) {
      scheduleRetry(result.failureReason(), null);
    } else if (accepted && position < 0) {
      // The receiver reports no position: a successful response confirms this notification only.
      confirm(sequence, notification);
    } else if ((accepted || status == 409) && position >= 0) {
      if (position < sequence) {
        lastError = "the receiver has up to " + position + " and not " + sequence;
      }
      confirm(position, position >= sequence ? notification : null);
    } else if (status == 410) {
      callbacks.storeStatus(subscription, Subscription.Status.ENDED, "the receiver answered 410");
      moveTo(State.HELD);
    } else if (status == 408 || status == 425 || status == 429 || status >= 500) {
      scheduleRetry("the receiver answered " + status, result.retryAfter());
    } else {
      park("the receiver answered " + status);
    }
  }

  /**
   * Processes the position that the receiver reported.
   *
   * @param sent the notification that this confirms, or null
   */
  private void confirm(long position, Notification sent) {
    DeliveryProgress before = outbox.cursor(subscription).progress();
    if (!outbox.confirm(subscription, position)) {
      park("the receiver claims sequence " + position + ", which was never sent");
      return;
    }
    DeliveryProgress after = outbox.cursor(subscription).progress();
    if (after.lastSequence() > before.lastSequence()
        || after.firstLostSequence() != before.firstLostSequence()) {
      lastConfirmedAt = eventLoop.now();
      if (sent != null) {
        callbacks.onConfirmed(sent.endedAt());
      }
      backoff.reset();
      if (failing) {
        failing = false;
        log.info("Delivery recovered: subscription={}", subscription.name());
      }
      updateState();
    } else {
      // The receiver accepts but makes no progress; without a delay this would be a tight loop.
      scheduleRetry("the receiver stays at " + position, null);
    }
  }

  private void scheduleRetry(String error, Duration retryAfter) {
    lastError = error;
    callbacks.onAttemptFailed();
    Duration delay = backoff.nextDelay();
    if (retryAfter != null && retryAfter.compareTo(delay) > 0) {
      delay = retryAfter.compareTo(MAX_RETRY_AFTER) < 0 ? retryAfter : MAX_RETRY_AFTER;
    }
    moveTo(State.RETRYING);
    long expectedVersion = stateVersion;
    eventLoop.schedule(
        delay,
        () -> {
          if (stateVersion == expectedVersion) {
            updateState();
          }
        });
  }

  private void park(String reason) {
    lastError = reason;
    moveTo(State.HELD);
    callbacks.storeStatus(subscription, Subscription.Status.PARKED, reason);
  }
}
