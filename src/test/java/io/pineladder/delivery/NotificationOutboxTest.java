package io.pineladder.delivery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.DeliveryProgress;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.model.Subscription;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The outbox against a plain list of all notices ever, through terms that end at any moment. */
class NotificationOutboxTest {
  private static final int MOST = 200;

  private final RandomGenerator random;
  private final EventLoop eventLoop;

  /** What the state service holds: notices in their pages, subscriptions, progress. */
  private final TreeMap<Long, Notification> storedNotices = new TreeMap<>();

  private final Map<String, Subscription> storedSubscriptions = new TreeMap<>();
  private final Map<String, JsonNode> storedProgress = new TreeMap<>();
  private final Map<String, JsonNode> storedBacklog = new TreeMap<>();
  private int puts;

  /** Changes on their way to the store, first come first served. */
  private final ArrayDeque<Runnable> underWay = new ArrayDeque<>();

  /** Notices that left the log but whose page has not been written since. */
  private final Set<Long> dropped = new HashSet<>();

  private NotificationOutbox outbox;

  NotificationOutboxTest() {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(3);
    eventLoop =
        new EventLoop() {
          @Override
          public Instant now() {
            return Instant.EPOCH;
          }

          @Override
          public Instant wallClock() {
            return Instant.ofEpochSecond(1_790_000_000, 123_456_789);
          }

          @Override
          public RandomGenerator random() {
            return random;
          }

          @Override
          public void schedule(Duration delay, Runnable action) {}
        };
    begin();
  }

  /** A new term, which knows what is stored. */
  private void begin() {
    underWay.clear();
    outbox = new NotificationOutbox(MOST, 8192, eventLoop, this::commit, () -> {});
    storedSubscriptions.values().forEach(outbox::onSubscriptionLoaded);
    List<Notification> notices = new ArrayList<>(storedNotices.values());
    // Pages come in no order of numbers.
    while (!notices.isEmpty()) {
      Notification notification = notices.remove(random.nextInt(notices.size()));
      outbox.onStored(
          notification,
          Json.bytes(RecordWire.notification(notification)).length + 1,
          () -> dropped.add(notification.number()));
    }
    outbox.onJobPagesLoaded();
    dropped.clear();
    Map<String, List<Notification>> backlog = new TreeMap<>();
    Map<String, Map<String, DeliveryProgress>> progress = new TreeMap<>();
    try {
      for (var page : storedBacklog.entrySet()) {
        backlog.put(page.getKey(), RecordWire.parseNotifications(page.getValue()));
      }
      for (var page : storedProgress.entrySet()) {
        progress.put(page.getKey(), DeliveryWire.parseProgress(page.getValue()));
      }
    } catch (io.pineladder.wire.MalformedMessageException e) {
      throw new AssertionError(e);
    }
    outbox.onBacklogLoaded(backlog, progress);
  }

  private void commit(Mutation mutation) {
    Mutation.Write write = mutation.writes().get(0);
    underWay.add(
        () -> {
          JsonNode value = write.value().get();
          Map<String, JsonNode> to =
              write.key().startsWith(RecordKeys.NOTIFICATION_BACKLOG)
                  ? storedBacklog
                  : storedProgress;
          if (value == null) {
            to.remove(write.key());
          } else {
            assertTrue(Json.bytes(value).length <= 8192);
            to.put(write.key(), value);
          }
          puts++;
          mutation.onCommitted().run();
        });
  }

  private void storeOne() {
    Runnable first = underWay.poll();
    if (first != null) {
      first.run();
    }
  }

  private static Subscription subscription(String name, long since, String owner) {
    return new Subscription(
        name,
        "1",
        "http://192.0.2.1/",
        since,
        List.of(new Subscription.Filter(since, owner == null ? Set.of() : Set.of(owner), Set.of())),
        List.of(),
        Subscription.Status.ACTIVE,
        null);
  }

  private void subscribe(Subscription subscription) {
    storedSubscriptions.put(subscription.name(), subscription);
    outbox.subscribed(subscription);
  }

  private Notification end(String job, String owner) {
    outbox.beginTransaction();
    Notification notification =
        outbox.allocate(
            new Job(
                new io.pineladder.model.JobSpec(
                    job,
                    "work",
                    owner,
                    null,
                    null,
                    1,
                    null,
                    null,
                    null,
                    false,
                    false,
                    false,
                    "img",
                    1,
                    Duration.ZERO,
                    Duration.ZERO,
                    Duration.ZERO,
                    null),
                Instant.EPOCH,
                Job.State.DONE));
    if (notification != null) {
      storedNotices.put(notification.number(), notification);
      outbox.onStored(
          notification,
          Json.bytes(RecordWire.notification(notification)).length + 1,
          () -> dropped.add(notification.number()));
      outbox.onTransactionCommitted();
    }
    return notification;
  }

  /** What a receiver makes of one sending; it has a position and keeps it. */
  private static final class Model {
    /** The jobs that it is to hear of, in order. */
    final List<String> wanted = new ArrayList<>();

    /** What it was told under each sequence; null where it was told of a loss. */
    final Map<Long, String> told = new HashMap<>();

    long position;
    long lost;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void itCountsAsAPlainListDoes(int seed) {
    for (int i = 0; i < seed * 1_000; i++) {
      random.nextInt();
    }
    Map<String, Model> models = new TreeMap<>();
    List<String> owners = new ArrayList<>(List.of("red", "blue", "green"));
    for (String owner : owners) {
      subscribe(subscription(owner, outbox.last(), owner));
      models.put(owner, new Model());
    }
    subscribe(subscription("all", outbox.last(), null));
    models.put("all", new Model());
    int jobs = 0;
    for (int step = 0; step < 6_000; step++) {
      int kind = random.nextInt(100);
      if (kind < 40) {
        String owner = owners.get(random.nextInt(3));
        String job = "job-" + ++jobs;
        assertNotNull(end(job, owner));
        models.get(owner).wanted.add(job);
        models.get("all").wanted.add(job);
      } else if (kind < 85) {
        List<String> names = new ArrayList<>(models.keySet());
        // One of them is away for long.
        String name = names.get(step / 700 % 2 == 0 ? random.nextInt(3) : random.nextInt(4));
        deliver(outbox.subscriptions().get(name), models.get(name));
      } else if (kind < 97) {
        storeOne();
      } else if (kind < 99) {
        // Some page was written, without what had left the log.
        storedNotices.keySet().removeAll(dropped);
        dropped.clear();
      } else {
        begin();
      }
      // Nothing is let go that the bound does not ask for, save when a store lags behind it.
      assertTrue(outbox.kept() <= MOST + 200, outbox.kept() + " are kept");
    }
    models.forEach(
        (name, model) -> {
          Subscription subscription = outbox.subscriptions().get(name);
          while (deliver(subscription, model)) {
            storeOne();
          }
          assertEquals(model.wanted.size(), model.position, name + " hears of all, or of a loss");
          for (long n = 1; n <= model.position; n++) {
            String told = model.told.get(n);
            assertTrue(told == null || told.equals(model.wanted.get((int) n - 1)), name + n);
          }
        });
    assertTrue(models.get("all").lost > 0 || models.get("red").lost > 0, "the bound was reached");
    assertTrue(puts < jobs / 4, puts + " puts for " + jobs + " ends");
  }

  /** Sends what is next and takes in the answer; false when nothing is. */
  private boolean deliver(Subscription to, Model model) {
    DeliveryProgress at = outbox.cursor(to).now();
    if (at.firstLostSequence() > 0) {
      assertTrue(
          at.firstLostSequence() <= model.position + 1, "a loss that begins beyond what it has");
      for (long n = model.position + 1; n <= at.lastSequence(); n++) {
        model.lost++;
        model.told.put(n, null);
      }
      model.position = Math.max(model.position, at.lastSequence());
    } else {
      Notification next = outbox.allocate(to);
      if (next == null) {
        return false;
      }
      long sequence = at.lastSequence() + 1;
      assertEquals(model.wanted.get((int) sequence - 1), next.job(), "by its own count");
      if (sequence <= model.position) {
        String before = model.told.get(sequence);
        assertTrue(before == null || before.equals(next.job()), "the same on every repeat");
      } else {
        assertEquals(model.position + 1, sequence, "without a gap");
        model.position = sequence;
        model.told.put(sequence, next.job());
      }
    }
    if (random.nextInt(5) > 0) {
      assertTrue(outbox.has(to, model.position));
    }
    return true;
  }

  @Test
  void aFilterHoldsFromItsChangeOn() {
    subscribe(subscription("desk", outbox.last(), "red"));
    end("a", "red");
    end("b", "blue");
    Subscription before = outbox.subscriptions().get("desk");
    List<Subscription.Filter> filters = new ArrayList<>(outbox.filters(before));
    filters.add(new Subscription.Filter(outbox.last(), Set.of("blue"), Set.of()));
    subscribe(
        new Subscription(
            "desk",
            "1",
            before.url(),
            before.createdAfterNumber(),
            filters,
            List.of(),
            before.status(),
            null));
    end("c", "red");
    end("d", "blue");
    Subscription desk = outbox.subscriptions().get("desk");
    assertEquals("a", outbox.allocate(desk).job());
    assertTrue(outbox.has(desk, 1));
    assertEquals("d", outbox.allocate(desk).job());
    begin();
    assertEquals("a", outbox.allocate(desk).job(), "a later leader counts the same");
  }

  /** A receiver that claims what was never sent would pass over all that comes. */
  @Test
  void aPositionBeyondAllNoticesIsNotBelieved() {
    subscribe(subscription("desk", outbox.last(), null));
    end("a", "red");
    Subscription desk = outbox.subscriptions().get("desk");
    assertFalse(outbox.has(desk, 2));
    assertEquals("a", outbox.allocate(desk).job());
  }

  @Test
  void aReceiverThatLostSomethingGetsItAgain() {
    subscribe(subscription("desk", outbox.last(), null));
    for (int i = 1; i <= 10; i++) {
      end("job-" + i, "red");
    }
    Subscription desk = outbox.subscriptions().get("desk");
    assertTrue(outbox.has(desk, 10));
    assertNull(outbox.allocate(desk));
    assertTrue(outbox.has(desk, 4));
    assertEquals("job-5", outbox.allocate(desk).job());
    assertTrue(outbox.seek(desk, 2));
    assertEquals("job-2", outbox.allocate(desk).job());
    assertFalse(outbox.seek(desk, 12));
    assertEquals("job-2", outbox.allocate(desk).job());
  }

  /**
   * Seen by hand: the leader that stored it told the time to the nanosecond, the next one did not.
   */
  @Test
  void aLaterLeaderTellsTheSameToTheByte() throws io.pineladder.wire.MalformedMessageException {
    subscribe(subscription("desk", outbox.last(), null));
    Notification first = end("a", "red");
    JsonNode page = RecordWire.page(java.util.stream.Stream.of(), List.of(first));
    Notification later = RecordWire.parseNotifications(page).get(0);
    Subscription desk = outbox.subscriptions().get("desk");
    assertArrayEquals(DeliveryWire.event(desk, 1, first), DeliveryWire.event(desk, 1, later));
  }

  @Test
  void nothingIsKeptThatNobodyWants() {
    assertNull(end("a", "red"));
    subscribe(subscription("desk", outbox.last(), "blue"));
    assertNull(end("b", "red"));
    assertNotNull(end("c", "blue"));
    outbox.unsubscribed("desk");
    assertNull(end("d", "blue"));
    assertEquals(1, outbox.kept(), "the newest, from which the next leader counts on");
  }
}
