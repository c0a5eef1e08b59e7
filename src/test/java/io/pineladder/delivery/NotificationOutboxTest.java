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

/** Compares the outbox with a plain list of all notifications, across terms that end at random. */
class NotificationOutboxTest {
  private static final int MAX_RETAINED = 200;

  private final RandomGenerator random;
  private final EventLoop eventLoop;

  /** The notifications in the job pages of the key-value store, by number. */
  private final TreeMap<Long, Notification> storedNotifications = new TreeMap<>();

  private final Map<String, Subscription> storedSubscriptions = new TreeMap<>();
  private final Map<String, JsonNode> storedProgress = new TreeMap<>();
  private final Map<String, JsonNode> storedBacklog = new TreeMap<>();
  private int writeCount;

  /** Mutations that are not committed yet, in order. */
  private final ArrayDeque<Runnable> pendingCommits = new ArrayDeque<>();

  /** Notifications that left the log but whose job page has not been written since. */
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
    startTerm();
  }

  /** Starts a new term from the contents of the store. */
  private void startTerm() {
    pendingCommits.clear();
    outbox = new NotificationOutbox(MAX_RETAINED, 8192, eventLoop, this::commit, () -> {});
    storedSubscriptions.values().forEach(outbox::onSubscriptionLoaded);
    List<Notification> notifications = new ArrayList<>(storedNotifications.values());
    // Pages are read in any order.
    while (!notifications.isEmpty()) {
      Notification notification = notifications.remove(random.nextInt(notifications.size()));
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
    pendingCommits.add(
        () -> {
          JsonNode value = write.value().get();
          Map<String, JsonNode> records =
              write.key().startsWith(RecordKeys.NOTIFICATION_BACKLOG)
                  ? storedBacklog
                  : storedProgress;
          if (value == null) {
            records.remove(write.key());
          } else {
            assertTrue(Json.bytes(value).length <= 8192);
            records.put(write.key(), value);
          }
          writeCount++;
          mutation.onCommitted().run();
        });
  }

  private void commitNext() {
    Runnable next = pendingCommits.poll();
    if (next != null) {
      next.run();
    }
  }

  private static Subscription subscription(String name, long createdAfter, String team) {
    return new Subscription(
        name,
        "1",
        "http://192.0.2.1/",
        createdAfter,
        List.of(
            new Subscription.Filter(
                createdAfter, team == null ? Set.of() : Set.of(team), Set.of())),
        List.of(),
        Subscription.Status.ACTIVE,
        null);
  }

  private void subscribe(Subscription subscription) {
    storedSubscriptions.put(subscription.name(), subscription);
    outbox.onSubscriptionStored(subscription);
  }

  private Notification endJob(String job, String team) {
    outbox.beginTransaction();
    Notification notification =
        outbox.allocate(
            new Job(
                new io.pineladder.model.JobSpec(
                    job,
                    "work",
                    team,
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
      storedNotifications.put(notification.number(), notification);
      outbox.onStored(
          notification,
          Json.bytes(RecordWire.notification(notification)).length + 1,
          () -> dropped.add(notification.number()));
      outbox.onTransactionCommitted();
    }
    return notification;
  }

  /** The expected and actual state of one receiver. */
  private static final class ReceiverModel {
    /** The jobs that match its subscription, in order. */
    final List<String> expected = new ArrayList<>();

    /** The job received under each sequence; null where it was reported lost. */
    final Map<Long, String> received = new HashMap<>();

    long position;
    long lostCount;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void matchesPlainListAcrossTerms(int seed) {
    for (int i = 0; i < seed * 1_000; i++) {
      random.nextInt();
    }
    Map<String, ReceiverModel> models = new TreeMap<>();
    List<String> teams = new ArrayList<>(List.of("red", "blue", "green"));
    for (String team : teams) {
      subscribe(subscription(team, outbox.lastNumber(), team));
      models.put(team, new ReceiverModel());
    }
    subscribe(subscription("all", outbox.lastNumber(), null));
    models.put("all", new ReceiverModel());
    int jobs = 0;
    for (int step = 0; step < 6_000; step++) {
      int action = random.nextInt(100);
      if (action < 40) {
        String team = teams.get(random.nextInt(3));
        String job = "job-" + ++jobs;
        assertNotNull(endJob(job, team));
        models.get(team).expected.add(job);
        models.get("all").expected.add(job);
      } else if (action < 85) {
        List<String> names = new ArrayList<>(models.keySet());
        // In every other period of 700 steps one receiver is unreachable.
        String name = names.get(step / 700 % 2 == 0 ? random.nextInt(3) : random.nextInt(4));
        deliver(outbox.subscriptions().get(name), models.get(name));
      } else if (action < 97) {
        commitNext();
      } else if (action < 99) {
        // A job page was written without the notifications that had left the log.
        storedNotifications.keySet().removeAll(dropped);
        dropped.clear();
      } else {
        startTerm();
      }
      // Pending writes may delay the removal of notifications beyond the retention limit.
      assertTrue(
          outbox.retainedCount() <= MAX_RETAINED + 200,
          outbox.retainedCount() + " notifications retained");
    }
    models.forEach(
        (name, model) -> {
          Subscription subscription = outbox.subscriptions().get(name);
          while (deliver(subscription, model)) {
            commitNext();
          }
          assertEquals(
              model.expected.size(), model.position, name + " received all, or reports of losses");
          for (long n = 1; n <= model.position; n++) {
            String received = model.received.get(n);
            assertTrue(
                received == null || received.equals(model.expected.get((int) n - 1)), name + n);
          }
        });
    assertTrue(
        models.get("all").lostCount > 0 || models.get("red").lostCount > 0,
        "retention limit was reached");
    assertTrue(writeCount < jobs / 4, writeCount + " writes for " + jobs + " notifications");
  }

  /** Sends the next notification and processes the response; false when there is none. */
  private boolean deliver(Subscription subscription, ReceiverModel model) {
    DeliveryProgress progress = outbox.cursor(subscription).progress();
    if (progress.firstLostSequence() > 0) {
      assertTrue(
          progress.firstLostSequence() <= model.position + 1,
          "a reported loss starts within or right after the position");
      for (long n = model.position + 1; n <= progress.lastSequence(); n++) {
        model.lostCount++;
        model.received.put(n, null);
      }
      model.position = Math.max(model.position, progress.lastSequence());
    } else {
      Notification next = outbox.nextFor(subscription);
      if (next == null) {
        return false;
      }
      long sequence = progress.lastSequence() + 1;
      assertEquals(
          model.expected.get((int) sequence - 1), next.job(), "numbered by its own sequence");
      if (sequence <= model.position) {
        String before = model.received.get(sequence);
        assertTrue(before == null || before.equals(next.job()), "same job on every repetition");
      } else {
        assertEquals(model.position + 1, sequence, "no gap in the sequence");
        model.position = sequence;
        model.received.put(sequence, next.job());
      }
    }
    if (random.nextInt(5) > 0) {
      assertTrue(outbox.confirm(subscription, model.position));
    }
    return true;
  }

  @Test
  void appliesChangedFilterToLaterNotificationsOnly() {
    subscribe(subscription("desk", outbox.lastNumber(), "red"));
    endJob("a", "red");
    endJob("b", "blue");
    Subscription before = outbox.subscriptions().get("desk");
    List<Subscription.Filter> filters = new ArrayList<>(outbox.neededFilters(before));
    filters.add(new Subscription.Filter(outbox.lastNumber(), Set.of("blue"), Set.of()));
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
    endJob("c", "red");
    endJob("d", "blue");
    Subscription desk = outbox.subscriptions().get("desk");
    assertEquals("a", outbox.nextFor(desk).job());
    assertTrue(outbox.confirm(desk, 1));
    assertEquals("d", outbox.nextFor(desk).job());
    startTerm();
    assertEquals("a", outbox.nextFor(desk).job(), "a later leader derives the same sequence");
  }

  /** Guards against a receiver that would skip later notifications by a position never sent. */
  @Test
  void rejectsPositionBeyondLastNotification() {
    subscribe(subscription("desk", outbox.lastNumber(), null));
    endJob("a", "red");
    Subscription desk = outbox.subscriptions().get("desk");
    assertFalse(outbox.confirm(desk, 2));
    assertEquals("a", outbox.nextFor(desk).job());
  }

  @Test
  void resendsAfterPositionMovesBack() {
    subscribe(subscription("desk", outbox.lastNumber(), null));
    for (int i = 1; i <= 10; i++) {
      endJob("job-" + i, "red");
    }
    Subscription desk = outbox.subscriptions().get("desk");
    assertTrue(outbox.confirm(desk, 10));
    assertNull(outbox.nextFor(desk));
    assertTrue(outbox.confirm(desk, 4));
    assertEquals("job-5", outbox.nextFor(desk).job());
    assertTrue(outbox.resumeFrom(desk, 2));
    assertEquals("job-2", outbox.nextFor(desk).job());
    assertFalse(outbox.resumeFrom(desk, 12));
    assertEquals("job-2", outbox.nextFor(desk).job());
  }

  /** Guards against a timestamp that loses precision when a later leader reads it. */
  @Test
  void sendsIdenticalEventAfterFailover() throws io.pineladder.wire.MalformedMessageException {
    subscribe(subscription("desk", outbox.lastNumber(), null));
    Notification first = endJob("a", "red");
    JsonNode page = RecordWire.page(java.util.stream.Stream.of(), List.of(first));
    Notification later = RecordWire.parseNotifications(page).get(0);
    Subscription desk = outbox.subscriptions().get("desk");
    assertArrayEquals(DeliveryWire.event(desk, 1, first), DeliveryWire.event(desk, 1, later));
  }

  @Test
  void allocatesOnlyForMatchingSubscriptions() {
    assertNull(endJob("a", "red"));
    subscribe(subscription("desk", outbox.lastNumber(), "blue"));
    assertNull(endJob("b", "red"));
    assertNotNull(endJob("c", "blue"));
    outbox.onSubscriptionDeleted("desk");
    assertNull(endJob("d", "blue"));
    assertEquals(
        1,
        outbox.retainedCount(),
        "the newest, from which the next leader continues the numbering");
  }
}
