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
 * The sending to one subscriber, in one term: one notice at a time, in order, again and again until
 * the receiver has it.
 */
final class SubscriberDelivery {
  private static final Logger log = LoggerFactory.getLogger(SubscriberDelivery.class);

  /** A receiver has so long for its whole answer, however it drips. */
  static final Duration TIMEOUT = Duration.ofSeconds(10);

  private static final Duration FIRST_RETRY = Duration.ofSeconds(1);
  private static final Duration MOST_RETRY = Duration.ofMinutes(5);

  /** A receiver may ask for no longer pause than this. */
  private static final Duration MOST_AFTER = Duration.ofHours(1);

  /** Where the sending stands. */
  enum State {
    /** Everything is confirmed. */
    CURRENT,
    /** Something waits for its turn. */
    READY,
    SENDING,
    /** The last try failed; the next is due later. */
    RETRYING,
    /** Paused, parked or ended: nothing is sent. */
    HELD
  }

  /** What its owner does for it. */
  interface Owner {
    boolean mayAct();

    /** It has something to send. */
    void ready();

    /** Its turn is over. */
    void done();

    /** A request goes out. */
    void sent();

    /** A try has failed, and another is made. */
    void failed();

    /** The receiver has the notice of a job that ended then. */
    void confirmed(Instant endedAt);

    /** The secrets to sign with. */
    List<byte[]> secrets(Subscription subscription);

    /** The receiver's refusal is to be stored. */
    void settle(Subscription subscription, Subscription.Status status, String reason);
  }

  private final NotificationOutbox outbox;
  private final OutboundClient outward;
  private final EventLoop eventLoop;
  private final Owner owner;
  private final Backoff backoff;
  private Subscription subscription;
  private State state = State.HELD;

  /** Tells a timer or an answer of an earlier state that it comes too late. */
  private long round;

  /** Its last try failed, and none has succeeded since. */
  private boolean failing;

  private String lastError;
  private Instant confirmedAt;
  private long sent;

  SubscriberDelivery(
      Subscription subscription,
      NotificationOutbox outbox,
      OutboundClient outward,
      EventLoop eventLoop,
      Owner owner) {
    this.subscription = subscription;
    this.outbox = outbox;
    this.outward = outward;
    this.eventLoop = eventLoop;
    this.owner = owner;
    this.backoff = new Backoff(eventLoop, FIRST_RETRY, MOST_RETRY);
  }

  private void moveTo(State next) {
    if (next == State.RETRYING && !failing) {
      failing = true;
      log.warn("subscription {} is retried: {}", subscription.name(), lastError);
    }
    round++;
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

  Instant confirmedAt() {
    return confirmedAt;
  }

  long sent() {
    return sent;
  }

  /** Its record has changed, or is known for the first time. */
  void configure(Subscription now) {
    subscription = now;
    if (now.status() != Subscription.Status.ACTIVE) {
      // An answer under way is still heard: it tells what the receiver has.
      if (state != State.SENDING) {
        moveTo(State.HELD);
      }
    } else if (state == State.HELD || state == State.RETRYING) {
      backoff.reset();
      advance();
    }
  }

  /** The subscription is gone. */
  void close() {
    moveTo(State.HELD);
  }

  /** More may be there to send. */
  void kick() {
    if (state == State.CURRENT) {
      advance();
    }
  }

  private void advance() {
    if (subscription.status() != Subscription.Status.ACTIVE) {
      moveTo(State.HELD);
    } else if (isWaiting()) {
      moveTo(State.READY);
      owner.ready();
    } else {
      moveTo(State.CURRENT);
    }
  }

  private boolean isWaiting() {
    return outbox.cursor(subscription).now().firstLostSequence() > 0
        || outbox.allocate(subscription) != null;
  }

  /** It is its turn. */
  void send() {
    if (state != State.READY || !owner.mayAct()) {
      if (state == State.READY) {
        // In doubt of the lease; asked again when it holds after all.
        moveTo(State.CURRENT);
      }
      owner.done();
      return;
    }
    DeliveryProgress at = outbox.cursor(subscription).now();
    Notification next = at.firstLostSequence() > 0 ? null : outbox.allocate(subscription);
    if (at.firstLostSequence() == 0 && next == null) {
      moveTo(State.CURRENT);
      owner.done();
      return;
    }
    long sequence = next == null ? at.lastSequence() : at.lastSequence() + 1;
    byte[] body =
        next == null
            ? DeliveryWire.lostEvent(subscription, at.firstLostSequence(), sequence)
            : DeliveryWire.event(subscription, sequence, next);
    String id = DeliveryWire.eventId(subscription, sequence);
    Instant now = eventLoop.wallClock();
    Map<String, String> headers;
    try {
      headers =
          Map.of(
              "content-type",
              DeliveryWire.CONTENT_TYPE,
              WebhookSignature.ID,
              id,
              WebhookSignature.TIMESTAMP,
              Long.toString(now.getEpochSecond()),
              WebhookSignature.SIGNATURE,
              WebhookSignature.sign(owner.secrets(subscription), id, now, body));
    } catch (IllegalArgumentException e) {
      owner.done();
      park("its secrets cannot be decrypted with this controller's key");
      return;
    }
    moveTo(State.SENDING);
    sent++;
    owner.sent();
    long mine = round;
    outward.post(
        new OutboundClient.Message(URI.create(subscription.url()), headers, body, TIMEOUT),
        answer -> {
          owner.done();
          if (round == mine) {
            answered(sequence, next, answer);
          }
        });
  }

  private void answered(long sequence, Notification notification, Result answer) {
    int status = answer.status();
    long position = DeliveryWire.parsePosition(answer.body());
    boolean taken = status >= 200 && status < 300;
    if (answer.outcome() == OutboundClient.Outcome.NOT_ALLOWED) {
      park(answer.failureReason());
    } else if (answer.outcome() == OutboundClient.Outcome.FAILED) {
      retry(answer.failureReason(), null);
    } else if (taken && position < 0) {
      // A receiver that keeps no position: what it has taken is all that can be known.
      has(sequence, notification);
    } else if ((taken || status == 409) && position >= 0) {
      if (position < sequence) {
        lastError = "the receiver has up to " + position + " and not " + sequence;
      }
      has(position, position >= sequence ? notification : null);
    } else if (status == 410) {
      owner.settle(subscription, Subscription.Status.ENDED, "the receiver answered 410");
      moveTo(State.HELD);
    } else if (status == 408 || status == 425 || status == 429 || status >= 500) {
      retry("the receiver answered " + status, answer.retryAfter());
    } else {
      park("the receiver answered " + status);
    }
  }

  /** The receiver has told, or shown, up to where it has everything. */
  private void has(long position, Notification sent) {
    DeliveryProgress before = outbox.cursor(subscription).now();
    if (!outbox.has(subscription, position)) {
      park("the receiver claims sequence " + position + ", which was never sent");
      return;
    }
    DeliveryProgress now = outbox.cursor(subscription).now();
    if (now.lastSequence() > before.lastSequence()
        || now.firstLostSequence() != before.firstLostSequence()) {
      confirmedAt = eventLoop.now();
      if (sent != null) {
        owner.confirmed(sent.endedAt());
      }
      backoff.reset();
      if (failing) {
        failing = false;
        log.info("subscription {} takes notices again", subscription.name());
      }
      advance();
    } else {
      // It takes notices and does not get on. Without a pause it would be asked for ever.
      retry("the receiver stays at " + position, null);
    }
  }

  private void retry(String why, Duration after) {
    lastError = why;
    owner.failed();
    Duration pause = backoff.nextDelay();
    if (after != null && after.compareTo(pause) > 0) {
      pause = after.compareTo(MOST_AFTER) < 0 ? after : MOST_AFTER;
    }
    moveTo(State.RETRYING);
    long mine = round;
    eventLoop.schedule(
        pause,
        () -> {
          if (round == mine) {
            advance();
          }
        });
  }

  private void park(String why) {
    lastError = why;
    moveTo(State.HELD);
    owner.settle(subscription, Subscription.Status.PARKED, why);
  }
}
