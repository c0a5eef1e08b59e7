package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.delivery.DeliveryContext;
import io.pineladder.delivery.SecretCipher;
import io.pineladder.delivery.WebhookSignature;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.DeliveryWire.Event;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Delivery of final answers to subscribers while receivers, controllers and the store fail. */
class DeliverySimulationTest extends SimulatedCluster {
  private static final byte[] SECRET = new byte[32];
  private static final BackgroundExecutor DIRECT =
      new BackgroundExecutor() {
        @Override
        public <T> void run(Supplier<T> work, Consumer<T> then) {
          then.accept(work.get());
        }
      };

  /** A receiver and the filter of the jobs that it is notified of. */
  private record Subscriber(FakeReceiver receiver, Predicate<ObjectNode> filter) {}

  private final Map<String, Subscriber> subscribers = new LinkedHashMap<>();

  @Override
  DeliveryContext deliveryContext(String host) {
    DeliveryContext delivery =
        new DeliveryContext(DIRECT, new SecretCipher(new byte[32]), List.of(), 1, 32);
    delivery.setOutboundClient(FakeReceiver.outboundClient(world, host, () -> true));
    return delivery;
  }

  private AsyncHttpClient.Reply[] sendAdminRequest(
      String method, String path, ObjectNode body, int node) {
    AsyncHttpClient.Reply[] got = new AsyncHttpClient.Reply[1];
    world
        .httpClient("admin", () -> true)
        .call(
            new AsyncHttpClient.Request(
                "10.0.0." + node + ":8081",
                method,
                "/admin/v1/" + path,
                body == null ? null : Json.bytes(body),
                Duration.ofSeconds(5)),
            reply -> got[0] = reply);
    return got;
  }

  /** Repeats a request to the nodes in turn until one answers with the expected status. */
  private ObjectNode adminRequest(String method, String path, ObjectNode body, int expected) {
    for (int attempt = 0; attempt < 300; attempt++) {
      AsyncHttpClient.Reply[] got = sendAdminRequest(method, path, body, 1 + attempt % 3);
      world.runFor(Duration.ofMillis(200));
      for (int i = 0; i < 60 && got[0] == null; i++) {
        world.runFor(Duration.ofMillis(100));
      }
      if (got[0] != null && got[0].hasStatus(expected)) {
        try {
          return Json.parseObject(got[0].body());
        } catch (Exception e) {
          throw new AssertionError(e);
        }
      }
    }
    throw new AssertionError(method + " " + path + " was not answered with " + expected);
  }

  private static ObjectNode subscription(String host, List<String> owners, List<String> classes) {
    ObjectNode body = Json.object().put("url", "http://" + host + ":9999/hook");
    ArrayNode ownersArray = body.putArray("owners");
    owners.forEach(ownersArray::add);
    ArrayNode classesArray = body.putArray("classes");
    classes.forEach(classesArray::add);
    body.putArray("secrets")
        .add(WebhookSignature.SECRET_PREFIX + Base64.getEncoder().encodeToString(SECRET));
    return body;
  }

  private FakeReceiver subscribe(String name, List<String> owners, List<String> classes) {
    FakeReceiver receiver = new FakeReceiver(world, SECRET);
    String host = "10.9.0." + (subscribers.size() + 1);
    world.serve(host + ":9999", receiver);
    adminRequest("PUT", "subscriptions/" + name, subscription(host, owners, classes), 201);
    subscribers.put(
        name,
        new Subscriber(
            receiver,
            spec ->
                (owners.isEmpty() || owners.contains(spec.get("owner").asText()))
                    && (classes.isEmpty() || classes.contains(spec.get("jobclass").asText()))));
    return receiver;
  }

  private ObjectNode getSubscription(String name) {
    return adminRequest("GET", "subscriptions/" + name, null, 200);
  }

  /**
   * Compares with a reference model: every stored end of a job that matches a subscription took
   * effect exactly once at its receiver, in a sequence from 1 without gaps.
   */
  private void assertDelivered() {
    Map<String, String> ends = store.finalStates();
    subscribers.forEach(
        (name, subscriber) -> {
          Map<String, String> effects = new TreeMap<>();
          long expected = 0;
          for (Event event : subscriber.receiver.appliedEvents) {
            assertEquals(++expected, event.sequence(), "sequence at " + name);
            String job = event.json().get("subject").asText();
            String answer = event.json().at("/data/answer").asText();
            assertEquals(
                event.type(),
                answer.equals("done") ? DeliveryWire.JOB_DONE : DeliveryWire.JOB_CANCELLED);
            assertEquals(null, effects.put(job, answer), job + " was delivered twice to " + name);
            assertTrue(ends.containsKey(job), job + " has not ended and was delivered to " + name);
            assertTrue(ends.get(job).contains(answer), job + " ended with another answer");
          }
          ends.keySet()
              .forEach(
                  job ->
                      assertEquals(
                          subscriber.filter.test(rules.jobs.get(job).spec),
                          effects.containsKey(job),
                          job + " delivered to " + name));
        });
  }

  private void settleAndDeliver(Duration time) {
    subscribers.values().forEach(subscriber -> subscriber.receiver.faultRate = 0);
    settle(time);
    // Allows for the longest back-off, 5 minutes.
    world.runFor(Duration.ofSeconds(700));
    assertDelivered();
  }

  @Test
  void deliversEachEndOnceToMatchingSubscribers() {
    begin(1);
    world.runFor(Duration.ofSeconds(5));
    subscribe("all", List.of(), List.of());
    subscribe("blue", List.of("blue"), List.of());
    subscribe("services", List.of(), List.of("serve"));
    for (int i = 0; i < 20; i++) {
      submit(jobSpec("array", 2, i % 2 == 0 ? "red" : "blue"));
    }
    SafetyRules.TrackedJob service = submit(jobSpec("service", 2, "red"));
    world.runFor(Duration.ofSeconds(40));
    cancel(service);
    settleAndDeliver(Duration.ofMinutes(2));
    assertEquals(21, subscribers.get("all").receiver.appliedEvents.size());
    assertEquals(1, subscribers.get("services").receiver.appliedEvents.size());
    assertEquals(21, getSubscription("all").get("confirmed").asInt());
    assertEquals(0, getSubscription("all").get("backlog").asInt());
  }

  /** Submits jobs, then cancels all of them. */
  private void submitAndCancelJobs(int count) {
    List<SafetyRules.TrackedJob> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(submit(jobSpec("array", 1, "red")));
    }
    world.runFor(Duration.ofSeconds(20));
    all.forEach(this::cancel);
    world.runFor(Duration.ofSeconds(40));
    all.forEach(job -> assertTrue(job.isFinished(), job.id + " is not over"));
  }

  /** The state of the subscriptions while store changes are counted. */
  private enum SubscriptionState {
    NONE,
    ACTIVE,
    PAUSED
  }

  /** Counts the changes of keys that can hold notifications while 800 jobs end. */
  private int storeChangesFor800Jobs(SubscriptionState state) {
    begin(2);
    fleet.zoneCapacity = 0;
    world.runFor(Duration.ofSeconds(5));
    if (state != SubscriptionState.NONE) {
      for (String name : List.of("all", "blue")) {
        subscribe(name, name.equals("all") ? List.of() : List.of(name), List.of());
        if (state == SubscriptionState.PAUSED) {
          adminRequest("POST", "subscriptions/" + name + "/pause", null, 200);
        }
      }
    }
    submitAndCancelJobs(400);
    submitAndCancelJobs(400);
    return store.changesByPrefix.get("accepted/")
        + store.changesByPrefix.getOrDefault("backlog/", 0)
        + store.changesByPrefix.getOrDefault("delivered/", 0);
  }

  /** Guards against an extra store change for each notification. */
  @Test
  void notificationsAddFewStoreChanges() {
    int baseline = new DeliverySimulationTest().storeChangesFor800Jobs(SubscriptionState.NONE);
    int more = storeChangesFor800Jobs(SubscriptionState.ACTIVE) - baseline;
    assertTrue(more < 0.1 * 800, more + " more changes than " + baseline + " for 800 jobs");
    assertEquals(800, subscribers.get("all").receiver.appliedEvents.size());
    assertDelivered();
    int paused =
        new DeliverySimulationTest().storeChangesFor800Jobs(SubscriptionState.PAUSED) - baseline;
    assertTrue(paused < 0.1 * 800, paused + " more changes than " + baseline + " for 800 jobs");
  }

  /** Guards against a slow failover because old notifications stay in the pages of jobs. */
  @Test
  void movesOldNotificationsToBacklogPages() {
    begin(7);
    fleet.zoneCapacity = 0;
    world.runFor(Duration.ofSeconds(5));
    subscribe("all", List.of(), List.of());
    adminRequest("POST", "subscriptions/all/pause", null, 200);
    submitAndCancelJobs(400);
    submitAndCancelJobs(400);
    assertTrue(store.countKeys("backlog/") >= 2, store.countKeys("backlog/") + " pages");
    kill(controllers.get(leaderIndex()), 6_000);
    world.runFor(Duration.ofSeconds(10));
    assertEquals(800, getSubscription("all").get("backlog").asInt());
    adminRequest("POST", "subscriptions/all/resume", null, 200);
    world.runFor(Duration.ofSeconds(30));
    submitAndCancelJobs(100);
    assertEquals(900, subscribers.get("all").receiver.appliedEvents.size());
    assertDelivered();
    assertEquals(0, store.countKeys("backlog/"));
  }

  /**
   * Guards against a leader that loses its term because it did not read the stored progress of
   * subscriptions that were deleted before it was elected.
   */
  @Test
  void keepsTermWhenProgressOfDeletedSubscriptionIsStored() {
    begin(8);
    fleet.zoneCapacity = 0;
    world.runFor(Duration.ofSeconds(5));
    subscribe("old", List.of(), List.of());
    submitAndCancelJobs(100);
    assertDelivered();
    assertTrue(store.countKeys("delivered/") > 0);
    subscribers.clear();
    adminRequest("DELETE", "subscriptions/old", null, 200);
    kill(controllers.get(leaderIndex()), 6_000);
    world.runFor(Duration.ofSeconds(15));
    long term = controllers.get(leaderIndex()).node.election().term();
    subscribe("fresh", List.of(), List.of());
    submitAndCancelJobs(100);
    assertEquals(100, subscribers.get("fresh").receiver.appliedEvents.size());
    assertEquals(term, controllers.get(leaderIndex()).node.election().term());
  }

  /** A receiver with a fixed answer. */
  private static FakeReceiver receiverAnswering(SimulatedWorld world, int status, byte[] body) {
    return new FakeReceiver(world, SECRET) {
      @Override
      public void handle(String method, String path, byte[] sent, Consumer<HttpResponse> answer) {
        requestCount++;
        answer.accept(new HttpResponse(status, body));
      }
    };
  }

  private FakeReceiver subscribeAnswering(String name, int status, byte[] body) {
    FakeReceiver receiver = receiverAnswering(world, status, body);
    String host = "10.8.0." + status % 250;
    world.serve(host + ":9999", receiver);
    adminRequest("PUT", "subscriptions/" + name, subscription(host, List.of(), List.of()), 201);
    return receiver;
  }

  @Test
  void rejectionsAffectOnlyTheirSubscription() {
    begin(3);
    world.runFor(Duration.ofSeconds(5));
    subscribe("good", List.of(), List.of());
    FakeReceiver gone = subscribeAnswering("gone", 410, new byte[0]);
    FakeReceiver refusing = subscribeAnswering("refusing", 403, new byte[0]);
    FakeReceiver moved = subscribeAnswering("moved", 302, new byte[0]);
    FakeReceiver busy = subscribeAnswering("busy", 503, new byte[0]);
    FakeReceiver behind = subscribeAnswering("behind", 200, DeliveryWire.positionResponse(0));
    FakeReceiver ahead = subscribeAnswering("ahead", 202, DeliveryWire.positionResponse(1_000_000));
    FakeReceiver plain = subscribeAnswering("plain", 204, new byte[0]);
    for (int i = 0; i < 6; i++) {
      submit(jobSpec("array", 1, "red"));
    }
    world.runFor(Duration.ofMinutes(2));
    assertDelivered();
    assertEquals(6, subscribers.get("good").receiver.appliedEvents.size());
    assertEquals(6, plain.requestCount, "a receiver that returns no position gets each event once");
    assertEquals("ended", getSubscription("gone").get("status").asText());
    assertEquals(1, gone.requestCount);
    for (String parked : List.of("refusing", "moved", "ahead")) {
      assertEquals("parked", getSubscription(parked).get("status").asText(), parked);
    }
    assertEquals("the receiver answered 403", getSubscription("refusing").get("reason").asText());
    assertEquals("the receiver answered 302", getSubscription("moved").get("reason").asText());
    assertEquals(3, refusing.requestCount + moved.requestCount + ahead.requestCount);
    assertEquals("active", getSubscription("busy").get("status").asText());
    assertEquals("retrying", getSubscription("busy").get("sending").asText());
    assertEquals(6, getSubscription("busy").get("backlog").asInt());
    assertTrue(busy.requestCount <= 12, busy.requestCount + " tries");
    assertTrue(behind.requestCount <= 12, behind.requestCount + " tries");
    // A parked subscription keeps its events and can be resumed by an operator.
    FakeReceiver repaired = new FakeReceiver(world, SECRET);
    world.serve("10.8.0.153:9999", repaired);
    adminRequest("POST", "subscriptions/refusing/resume", Json.object().put("sequence", 8), 409);
    adminRequest("POST", "subscriptions/refusing/resume", Json.object().put("sequence", "x"), 400);
    adminRequest("POST", "subscriptions/refusing/resume", null, 200);
    world.runFor(Duration.ofSeconds(10));
    assertEquals(6, repaired.appliedEvents.size());
    adminRequest("POST", "subscriptions/gone/resume", null, 409);
  }

  @Test
  void keepsSubscriptionChangesAcrossFailover() {
    begin(4);
    world.runFor(Duration.ofSeconds(5));
    FakeReceiver receiver = subscribe("desk", List.of(), List.of());
    ObjectNode invalid = Json.object().put("url", "ftp://example.org/").put("colour", "red");
    assertEquals(2, adminRequest("PUT", "subscriptions/other", invalid, 400).get("faults").size());
    adminRequest("PUT", "subscriptions/Other", invalid, 400);
    adminRequest("GET", "subscriptions/other", null, 404);
    adminRequest("DELETE", "subscriptions", null, 405);
    ObjectNode networks = Json.object();
    networks.putArray("networks").add("10.9.0.0/16").add("010.0.0.0/8");
    assertEquals(
        "/networks/1",
        adminRequest("PUT", "networks", networks, 400).at("/faults/0/pointer").asText());
    String shown = adminRequest("GET", "subscriptions", null, 200).toString();
    assertTrue(!shown.contains("whsec"), shown);
    assertTrue(!store.value("conf/subscription/desk").toString().contains("whsec"));
    adminRequest("POST", "subscriptions/desk/pause", null, 200);
    submit(jobSpec("array", 1, "red"));
    world.runFor(Duration.ofSeconds(60));
    assertEquals(0, receiver.appliedEvents.size());
    kill(controllers.get(leaderIndex()), 6_000);
    world.runFor(Duration.ofSeconds(15));
    assertEquals("paused", getSubscription("desk").get("status").asText());
    assertEquals(1, getSubscription("desk").get("backlog").asInt());
    adminRequest("POST", "subscriptions/desk/resume", null, 200);
    world.runFor(Duration.ofSeconds(5));
    assertEquals(1, receiver.appliedEvents.size());
    // A receiver restored from an older copy gets the lost events again.
    submit(jobSpec("array", 1, "blue"));
    world.runFor(Duration.ofSeconds(60));
    receiver.restoreBackup(1);
    submit(jobSpec("array", 1, "red"));
    world.runFor(Duration.ofSeconds(60));
    assertEquals(3, receiver.appliedEvents.size());
    assertDelivered();
    // A subscription that is deleted and created again starts at sequence 1 with a new source.
    adminRequest("DELETE", "subscriptions/desk", null, 200);
    submit(jobSpec("array", 1, "red"));
    world.runFor(Duration.ofSeconds(60));
    assertEquals(3, receiver.appliedEvents.size());
    adminRequest("PUT", "subscriptions/desk", subscription("10.9.0.1", List.of(), List.of()), 201);
    submit(jobSpec("array", 1, "red"));
    world.runFor(Duration.ofSeconds(150));
    assertEquals(4, receiver.appliedEvents.size());
    Event last = receiver.appliedEvents.get(3);
    assertEquals(1, last.sequence());
    assertTrue(!last.source().equals(receiver.appliedEvents.get(2).source()));
  }

  /** Guards against lost or doubly applied events when confirmations can't be stored. */
  @Test
  void recoversFromStoreOutageWithoutLoss() {
    begin(5);
    world.runFor(Duration.ofSeconds(5));
    subscribe("all", List.of(), List.of());
    for (int i = 0; i < 30; i++) {
      submit(jobSpec("array", 1, "red"));
    }
    world.runFor(Duration.ofSeconds(20));
    store.outage = true;
    controllers.forEach(each -> kill(each, 6_000 + each.index * 500L));
    world.runFor(Duration.ofSeconds(20));
    store.endOutage();
    settleAndDeliver(Duration.ofSeconds(200));
    assertTrue(subscribers.get("all").receiver.requestCount > 30);
  }

  /** Eight runs; more with {@code -Dpineladder.days=1000 -Dpineladder.first=1}. */
  static LongStream seeds() {
    long first = Long.getLong("pineladder.first", 1);
    return LongStream.range(first, first + Long.getLong("pineladder.days", 8));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void deliversEachEndOnceUnderRandomFaults(long seed) {
    begin(seed);
    world.runFor(Duration.ofSeconds(4));
    subscribe("all", List.of(), List.of()).faultRate = 0.3;
    subscribe("blue", List.of("blue"), List.of()).faultRate = 0.1;
    subscribe("services", List.of(), List.of("serve"));
    world.lossRate = 0.03;
    for (int step = 0; step < 40; step++) {
      SafetyRules.TrackedJob job = submit(randomJobSpec());
      job.alwaysFails = world.random.nextInt(12) == 0;
      List<SafetyRules.TrackedJob> open =
          rules.jobs.values().stream().filter(j -> j.accepted && !j.isFinished()).toList();
      if (!open.isEmpty() && world.random.nextInt(2) == 0) {
        cancel(open.get(world.random.nextInt(open.size())));
      }
      if (world.random.nextInt(6) == 0) {
        // An operator pauses and resumes a subscription; the requests may be lost.
        boolean pause = world.random.nextBoolean();
        sendAdminRequest("POST", "subscriptions/blue/" + (pause ? "pause" : "resume"), null, 1);
      }
      injectFault(world.random.nextInt(18));
      world.runFor(Duration.ofMillis(1_000 + world.random.nextInt(4_000)));
    }
    // Waits for delayed requests: a pause that arrives after the resume would stay in force.
    world.lossRate = 0;
    world.runFor(Duration.ofMinutes(2));
    adminRequest("POST", "subscriptions/blue/resume", null, 200);
    settleAndDeliver(Duration.ofMinutes(10));
  }

  /** Guards against rejected signatures while one secret replaces another. */
  @Test
  void rotatesSecretsDuringDelivery() {
    byte[] fresh = SECRET.clone();
    fresh[0] = 1;
    begin(6);
    fleet.zoneCapacity = 0;
    world.runFor(Duration.ofSeconds(5));
    FakeReceiver receiver = subscribe("desk", List.of(), List.of());
    receiver.faultRate = 0.2;
    submitAndCancelJobs(20);
    adminRequest("PUT", "subscriptions/desk", subscriptionWithSecrets(fresh, SECRET), 200);
    submitAndCancelJobs(20);
    receiver.replaceSecret(fresh);
    submitAndCancelJobs(20);
    adminRequest("PUT", "subscriptions/desk", subscriptionWithSecrets(fresh), 200);
    submitAndCancelJobs(20);
    receiver.faultRate = 0;
    world.runFor(Duration.ofSeconds(700));
    assertEquals("active", getSubscription("desk").get("status").asText());
    assertEquals(80, receiver.appliedEvents.size());
    assertDelivered();
  }

  private static ObjectNode subscriptionWithSecrets(byte[]... secrets) {
    ObjectNode body = subscription("10.9.0.1", List.of(), List.of());
    ArrayNode list = body.putArray("secrets");
    for (byte[] secret : secrets) {
      list.add(WebhookSignature.SECRET_PREFIX + Base64.getEncoder().encodeToString(secret));
    }
    return body;
  }
}
