package io.pineladder.delivery;

import io.pineladder.model.Subscription;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.TokenBucket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;

/**
 * Delivers notifications to all subscribers during one term, in round-robin order. The number of
 * requests in flight and their rate are bounded, so that delivery does not slow down scheduling.
 * Subscribers whose last attempt failed share a part of the capacity, so that they do not delay the
 * others.
 */
public final class DeliveryDispatcher {
  /** Bound on the requests to failing receivers, as a fraction of the requests in flight. */
  private static final double FAILING_SHARE = 0.25;

  /** Stores changes of a subscription's status. */
  interface StatusStore {
    void storeStatus(Subscription subscription, Subscription.Status status, String reason);
  }

  private final DeliveryContext context;
  private final NotificationOutbox outbox;
  private final EventLoop eventLoop;
  private final BooleanSupplier isLeadingWithValidLease;
  private final StatusStore statusStore;
  private final TokenBucket rateLimiter;
  private final int maxInFlight;
  private final int maxFailingInFlight;
  private final Map<String, SubscriberDelivery> deliveries = new HashMap<>();

  /** Cache of decrypted secrets, by their encrypted form. */
  private final Map<String, byte[]> decryptedSecrets = new HashMap<>();

  private final ArrayDeque<Slot> readyQueue = new ArrayDeque<>();
  private final ArrayDeque<Slot> failingQueue = new ArrayDeque<>();
  private int inFlight;
  private int failingInFlight;
  private boolean dispatchScheduled;
  private long sentCount;
  private long failedCount;

  /** Time from a job's end to the receiver's confirmation, in milliseconds. */
  private final Histogram deliveryDelays = new Histogram(TimeUnit.DAYS.toMillis(2), 2);

  DeliveryDispatcher(
      DeliveryContext context,
      NotificationOutbox outbox,
      EventLoop eventLoop,
      BooleanSupplier isLeadingWithValidLease,
      StatusStore statusStore) {
    this.context = context;
    this.outbox = outbox;
    this.eventLoop = eventLoop;
    this.isLeadingWithValidLease = isLeadingWithValidLease;
    this.statusStore = statusStore;
    this.maxInFlight = context.maxInFlight();
    this.maxFailingInFlight = Math.max(1, (int) (maxInFlight * FAILING_SHARE));
    this.rateLimiter =
        new TokenBucket(context.requestsPerSecond(), context.requestsPerSecond(), eventLoop.now());
  }

  /** Applies a stored subscription, which is new or has changed. */
  void configure(Subscription subscription) {
    SubscriberDelivery delivery = deliveries.get(subscription.source());
    if (delivery == null) {
      Slot slot = new Slot();
      delivery =
          new SubscriberDelivery(subscription, outbox, context.outboundClient(), eventLoop, slot);
      slot.delivery = delivery;
      deliveries.put(subscription.source(), delivery);
    }
    decryptedSecrets.clear();
    delivery.configure(subscription);
  }

  void remove(Subscription subscription) {
    SubscriberDelivery delivery = deliveries.remove(subscription.source());
    if (delivery != null) {
      delivery.close();
    }
  }

  SubscriberDelivery get(Subscription subscription) {
    return deliveries.get(subscription.source());
  }

  long sentCount() {
    return sentCount;
  }

  long failedCount() {
    return failedCount;
  }

  int inFlight() {
    return inFlight;
  }

  Histogram deliveryDelays() {
    return deliveryDelays;
  }

  /** Checks for pending notifications after some were stored or the lease was renewed. */
  void wakeAll() {
    deliveries.values().forEach(SubscriberDelivery::wake);
  }

  private void dispatch() {
    Instant now = eventLoop.now();
    while (inFlight < maxInFlight && rateLimiter.available(now) >= 1) {
      Slot next = readyQueue.pollFirst();
      if (next == null && failingInFlight < maxFailingInFlight) {
        next = failingQueue.pollFirst();
        failingInFlight += next == null ? 0 : 1;
      }
      if (next == null) {
        return;
      }
      rateLimiter.consume(1, now);
      inFlight++;
      next.send();
    }
    if (inFlight < maxInFlight && !dispatchScheduled) {
      dispatchScheduled = true;
      eventLoop.schedule(
          rateLimiter.delayUntilAvailable(1, now).plusMillis(1),
          () -> {
            dispatchScheduled = false;
            dispatch();
          });
    }
  }

  /** One subscriber's place in the queues and among the requests in flight. */
  private final class Slot implements SubscriberDelivery.Callbacks {
    private SubscriberDelivery delivery;
    private boolean queued;

    /** Whether the current turn counts towards the bound on requests to failing receivers. */
    private boolean countedAsFailing;

    void send() {
      queued = false;
      delivery.send();
    }

    @Override
    public boolean isLeadingWithValidLease() {
      return isLeadingWithValidLease.getAsBoolean();
    }

    @Override
    public void requestTurn() {
      if (!queued) {
        queued = true;
        countedAsFailing = delivery.isFailing();
        (countedAsFailing ? failingQueue : readyQueue).addLast(this);
        dispatch();
      }
    }

    @Override
    public void endTurn() {
      inFlight--;
      failingInFlight -= countedAsFailing ? 1 : 0;
      dispatch();
    }

    @Override
    public void onSent() {
      sentCount++;
    }

    @Override
    public void onAttemptFailed() {
      failedCount++;
    }

    @Override
    public void onConfirmed(Instant endedAt) {
      long millis = Duration.between(endedAt, eventLoop.wallClock()).toMillis();
      deliveryDelays.recordValue(
          Math.min(deliveryDelays.getHighestTrackableValue(), Math.max(0, millis)));
    }

    @Override
    public List<byte[]> signingSecrets(Subscription subscription) {
      return subscription.secrets().stream()
          .map(
              encrypted ->
                  decryptedSecrets.computeIfAbsent(
                      encrypted, s -> context.secretCipher().decrypt(subscription.name(), s)))
          .toList();
    }

    @Override
    public void storeStatus(Subscription subscription, Subscription.Status status, String reason) {
      statusStore.storeStatus(subscription, status, reason);
    }
  }
}
