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
 * The sending to all subscribers in one term. They take turns, and there is a bound on what is
 * under way and on the rate, so that scheduling goes on beside it; those whose last try failed have
 * only a part of the turns, so that the dead do not delay the others.
 */
public final class DeliveryDispatcher {
  /** The part of the turns that receivers which fail have. */
  private static final double FAILING_PART = 0.25;

  /** Stores that a subscription's status has changed. */
  interface Settling {
    void settle(Subscription subscription, Subscription.Status status, String reason);
  }

  private final DeliveryContext delivery;
  private final NotificationOutbox outbox;
  private final EventLoop eventLoop;
  private final BooleanSupplier mayAct;
  private final Settling settling;
  private final TokenBucket rate;
  private final int mostUnderWay;
  private final int mostFailing;
  private final Map<String, SubscriberDelivery> subscribers = new HashMap<>();

  /** Secrets that have been decrypted, by what they were encrypted to. */
  private final Map<String, byte[]> opened = new HashMap<>();

  private final ArrayDeque<Turns> ready = new ArrayDeque<>();
  private final ArrayDeque<Turns> failing = new ArrayDeque<>();
  private int underWay;
  private int failingUnderWay;
  private boolean pumpSet;
  private long sent;
  private long failed;

  /** From a job's end to the receiver's answer, in milliseconds. */
  private final Histogram delays = new Histogram(TimeUnit.DAYS.toMillis(2), 2);

  DeliveryDispatcher(
      DeliveryContext delivery,
      NotificationOutbox outbox,
      EventLoop eventLoop,
      BooleanSupplier mayAct,
      Settling settling) {
    this.delivery = delivery;
    this.outbox = outbox;
    this.eventLoop = eventLoop;
    this.mayAct = mayAct;
    this.settling = settling;
    this.mostUnderWay = delivery.underWay();
    this.mostFailing = Math.max(1, (int) (mostUnderWay * FAILING_PART));
    this.rate = new TokenBucket(delivery.perSecond(), delivery.perSecond(), eventLoop.now());
  }

  /** The subscription's record is stored, or was read. */
  void configure(Subscription subscription) {
    SubscriberDelivery known = subscribers.get(subscription.source());
    if (known == null) {
      Turns turns = new Turns();
      known = new SubscriberDelivery(subscription, outbox, delivery.outward(), eventLoop, turns);
      turns.subscriber = known;
      subscribers.put(subscription.source(), known);
    }
    opened.clear();
    known.configure(subscription);
  }

  void remove(Subscription subscription) {
    SubscriberDelivery known = subscribers.remove(subscription.source());
    if (known != null) {
      known.close();
    }
  }

  SubscriberDelivery of(Subscription subscription) {
    return subscribers.get(subscription.source());
  }

  long sent() {
    return sent;
  }

  long failed() {
    return failed;
  }

  int underWay() {
    return underWay;
  }

  Histogram delays() {
    return delays;
  }

  /** Notices were stored, or the lease holds after all. */
  void kick() {
    subscribers.values().forEach(SubscriberDelivery::kick);
  }

  private void pump() {
    Instant now = eventLoop.now();
    while (underWay < mostUnderWay && rate.available(now) >= 1) {
      Turns next = ready.pollFirst();
      if (next == null && failingUnderWay < mostFailing) {
        next = failing.pollFirst();
        failingUnderWay += next == null ? 0 : 1;
      }
      if (next == null) {
        return;
      }
      rate.consume(1, now);
      underWay++;
      next.send();
    }
    if (underWay < mostUnderWay && !pumpSet) {
      pumpSet = true;
      eventLoop.schedule(
          rate.delayUntilAvailable(1, now).plusMillis(1),
          () -> {
            pumpSet = false;
            pump();
          });
    }
  }

  /** One subscriber's turns; it waits for no more than one. */
  private final class Turns implements SubscriberDelivery.Owner {
    private SubscriberDelivery subscriber;
    private boolean queued;

    /** The turn that it has, or waits for, is one of a receiver that fails. */
    private boolean asFailing;

    void send() {
      queued = false;
      subscriber.send();
    }

    @Override
    public boolean mayAct() {
      return mayAct.getAsBoolean();
    }

    @Override
    public void ready() {
      if (!queued) {
        queued = true;
        asFailing = subscriber.isFailing();
        (asFailing ? failing : ready).addLast(this);
        pump();
      }
    }

    @Override
    public void done() {
      underWay--;
      failingUnderWay -= asFailing ? 1 : 0;
      pump();
    }

    @Override
    public void sent() {
      sent++;
    }

    @Override
    public void failed() {
      failed++;
    }

    @Override
    public void confirmed(Instant endedAt) {
      long millis = Duration.between(endedAt, eventLoop.wallClock()).toMillis();
      delays.recordValue(Math.min(delays.getHighestTrackableValue(), Math.max(0, millis)));
    }

    @Override
    public List<byte[]> secrets(Subscription subscription) {
      return subscription.secrets().stream()
          .map(
              encrypted ->
                  opened.computeIfAbsent(
                      encrypted, s -> delivery.box().open(subscription.name(), s)))
          .toList();
    }

    @Override
    public void settle(Subscription subscription, Subscription.Status status, String reason) {
      settling.settle(subscription, status, reason);
    }
  }
}
