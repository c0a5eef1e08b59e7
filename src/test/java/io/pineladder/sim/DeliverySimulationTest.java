package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.delivery.Delivery;
import io.pineladder.delivery.SecretBox;
import io.pineladder.delivery.Signature;
import io.pineladder.net.Background;
import io.pineladder.net.HttpCaller;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.DeliveryWire.Event;
import io.pineladder.wire.Json;
import java.time.Duration;
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

/** Final answers told to subscribers whose receivers are killed, among controllers that are too. */
class DeliverySimulationTest extends SimulatedCluster {
  private static final byte[] SECRET = new byte[32];
  private static final Background DIRECT =
      new Background() {
        @Override
        public <T> void run(Supplier<T> work, Consumer<T> then) {
          then.accept(work.get());
        }
      };

  /** A receiver with what it is to hear of. */
  private record Told(ReceiverStandIn receiver, Predicate<ObjectNode> wants) {}

  private final Map<String, Told> subscribers = new LinkedHashMap<>();

  @Override
  Delivery delivery(String host) {
    Delivery delivery = new Delivery(DIRECT, new SecretBox(new byte[32]), List.of(), 1);
    delivery.sendThrough(ReceiverStandIn.from(world, host, () -> true));
    return delivery;
  }

  /** Asks any node until it says what is wanted. */
  private ObjectNode admin(String method, String path, ObjectNode body, int wanted) {
    for (int tries = 0; tries < 300; tries++) {
      HttpCaller.Reply[] got = new HttpCaller.Reply[1];
      world
          .caller("admin", () -> true)
          .call(
              new HttpCaller.Request(
                  "10.0.0." + (1 + tries % 3) + ":8081",
                  method,
                  "/admin/v1/" + path,
                  body == null ? null : Json.bytes(body),
                  Duration.ofSeconds(5)),
              reply -> got[0] = reply);
      world.runFor(Duration.ofMillis(200));
      for (int i = 0; i < 60 && got[0] == null; i++) {
        world.runFor(Duration.ofMillis(100));
      }
      if (got[0] != null && got[0].is(wanted)) {
        try {
          return Json.parseObject(got[0].body());
        } catch (Exception e) {
          throw new AssertionError(e);
        }
      }
    }
    throw new AssertionError(method + " " + path + " was not answered with " + wanted);
  }

  private static ObjectNode subscription(String host, List<String> owners, List<String> classes) {
    ObjectNode body = Json.object().put("url", "http://" + host + ":9999/hook");
    ArrayNode of = body.putArray("owners");
    owners.forEach(of::add);
    ArrayNode in = body.putArray("classes");
    classes.forEach(in::add);
    body.putArray("secrets")
        .add(Signature.SECRET_PREFIX + Base64.getEncoder().encodeToString(SECRET));
    return body;
  }

  private ReceiverStandIn subscribe(String name, List<String> owners, List<String> classes) {
    ReceiverStandIn receiver = new ReceiverStandIn(world, SECRET);
    String host = "10.9.0." + (subscribers.size() + 1);
    world.serve(host + ":9999", receiver);
    admin("PUT", "subscriptions/" + name, subscription(host, owners, classes), 201);
    subscribers.put(
        name,
        new Told(
            receiver,
            spec ->
                (owners.isEmpty() || owners.contains(spec.get("owner").asText()))
                    && (classes.isEmpty() || classes.contains(spec.get("jobclass").asText()))));
    return receiver;
  }

  private ObjectNode shown(String name) {
    return admin("GET", "subscriptions/" + name, null, 200);
  }

  /**
   * The plain model: every end that the store knows, and that a subscriber wants, has had one effect
   * there, and effects are in sequence from 1 without a gap.
   */
  private void check() {
    Map<String, String> ends = store.ends();
    subscribers.forEach(
        (name, told) -> {
          Map<String, String> effects = new TreeMap<>();
          long expected = 0;
          for (Event event : told.receiver.effects) {
            assertEquals(++expected, event.sequence(), name + " in sequence");
            String job = event.json().get("subject").asText();
            String answer = event.json().at("/data/answer").asText();
            assertEquals(
                event.type(), answer.equals("done") ? DeliveryWire.DONE : DeliveryWire.CANCELLED);
            assertEquals(null, effects.put(job, answer), job + " told twice to " + name);
            assertTrue(ends.containsKey(job), job + " is not over and was told to " + name);
            assertTrue(ends.get(job).contains(answer), job + " ended otherwise");
          }
          ends.keySet()
              .forEach(
                  job ->
                      assertEquals(
                          told.wants.test(rules.jobs.get(job).spec),
                          effects.containsKey(job),
                          job + " told to " + name));
        });
  }

  private void settleAndDeliver(Duration time) {
    subscribers.values().forEach(told -> told.receiver.trouble = 0);
    settle(time);
    // A last back-off may be 5 minutes long.
    world.runFor(Duration.ofSeconds(700));
    check();
  }

  @Test
  void eachEndIsToldOnceToThoseWhoWantIt() {
    begin(1);
    world.runFor(Duration.ofSeconds(5));
    subscribe("all", List.of(), List.of());
    subscribe("blue", List.of("blue"), List.of());
    subscribe("services", List.of(), List.of("serve"));
    for (int i = 0; i < 20; i++) {
      submit(job("array", 2, i % 2 == 0 ? "red" : "blue"));
    }
    Rules.Known service = submit(job("service", 2, "red"));
    world.runFor(Duration.ofSeconds(40));
    cancel(service);
    settleAndDeliver(Duration.ofSeconds(120));
    assertEquals(21, subscribers.get("all").receiver.effects.size());
    assertEquals(1, subscribers.get("services").receiver.effects.size());
    assertEquals(21, shown("all").get("confirmed").asInt());
    assertEquals(0, shown("all").get("backlog").asInt());
  }

  /** Twelve days; more by hand with {@code -Dpineladder.days=1000 -Dpineladder.first=1}. */
  static LongStream seeds() {
    long first = Long.getLong("pineladder.first", 1);
    return LongStream.range(first, first + Long.getLong("pineladder.days", 8));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void eachEndIsToldOnceUnderFaultsTogether(long seed) {
    begin(seed);
    world.runFor(Duration.ofSeconds(4));
    subscribe("all", List.of(), List.of()).trouble = 0.3;
    subscribe("blue", List.of("blue"), List.of()).trouble = 0.1;
    subscribe("services", List.of(), List.of("serve"));
    world.lossy = 0.03;
    for (int step = 0; step < 40; step++) {
      Rules.Known job = submit(randomJob());
      job.broken = world.random.nextInt(12) == 0;
      List<Rules.Known> open =
          rules.jobs.values().stream().filter(j -> j.accepted && !j.isOver()).toList();
      if (!open.isEmpty() && world.random.nextInt(2) == 0) {
        cancel(open.get(world.random.nextInt(open.size())));
      }
      trouble(world.random.nextInt(18));
      world.runFor(Duration.ofMillis(1_000 + world.random.nextInt(4_000)));
    }
    settleAndDeliver(Duration.ofSeconds(600));
  }
}
