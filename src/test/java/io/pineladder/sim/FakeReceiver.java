package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.delivery.receiver.NotificationStore;
import io.pineladder.delivery.receiver.Receiver;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.HttpResponse;
import io.pineladder.net.OutboundClient;
import io.pineladder.wire.DeliveryWire.Event;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A notification receiver in virtual time that crashes at random and keeps its durable state. */
class FakeReceiver implements AsyncHttpHandler, NotificationStore {
  private final SimulatedWorld world;
  private Receiver receiver;

  /** The events that were applied, in order. */
  final List<Event> appliedEvents = new ArrayList<>();

  private final Map<String, Long> positions = new HashMap<>();

  /**
   * Each of four faults occurs with a quarter of this probability: a crash before the event is
   * applied, an answer of 429 or 503, a crash before the answer, and an error while storing.
   */
  double faultRate;

  private Instant restartAt = Instant.EPOCH;

  /** Whether to crash after the current event is applied and before the answer. */
  private boolean killBeforeAnswer;

  int requestCount;

  FakeReceiver(SimulatedWorld world, byte[] secret) {
    this.world = world;
    replaceSecret(secret);
  }

  /** Replaces the secret that signatures are checked with. */
  final void replaceSecret(byte[] secret) {
    receiver =
        new Receiver(
            List.of(secret),
            this,
            new Clock() {
              @Override
              public ZoneId getZone() {
                return ZoneOffset.UTC;
              }

              @Override
              public Clock withZone(ZoneId zone) {
                return this;
              }

              @Override
              public Instant instant() {
                return world.now();
              }
            });
  }

  @Override
  public long lastSequence(String source) {
    return positions.getOrDefault(source, 0L);
  }

  @Override
  public void apply(Event event) throws IOException {
    if (world.random.nextDouble() < faultRate / 4) {
      throw new IOException("the disk is full");
    }
    appliedEvents.add(event);
    positions.put(event.source(), event.sequence());
  }

  @Override
  public void close() {}

  /** Keeps only the first {@code keep} events, as after a restore from a backup. */
  void restoreBackup(int keep) {
    while (appliedEvents.size() > keep) {
      appliedEvents.remove(appliedEvents.size() - 1);
    }
    positions.clear();
    appliedEvents.forEach(event -> positions.put(event.source(), event.sequence()));
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    requestCount++;
    if (world.now().isBefore(restartAt)) {
      return;
    }
    double chance = world.random.nextDouble();
    if (chance < faultRate / 4) {
      kill();
      return;
    }
    if (chance < faultRate / 2) {
      answer.accept(new HttpResponse(world.random.nextBoolean() ? 503 : 429, new byte[0], 1));
      return;
    }
    killBeforeAnswer = chance < faultRate * 3 / 4;
    try {
      ObjectNode envelope = Json.parseObject(body);
      Receiver.Reply reply =
          receiver.receive(
              name -> envelope.path("headers").path(name).asText(null),
              Base64.getDecoder().decode(envelope.get("body").asText()));
      if (killBeforeAnswer) {
        kill();
        return;
      }
      answer.accept(new HttpResponse(reply.status(), reply.body()));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private void kill() {
    restartAt = world.now().plusMillis(500 + world.random.nextInt(20_000));
  }

  /** A client that sends notifications from a host through the simulated network. */
  static OutboundClient outboundClient(SimulatedWorld world, String host, BooleanSupplier alive) {
    AsyncHttpClient httpClient = world.httpClient(host, alive);
    return (message, onAnswer) -> {
      ObjectNode envelope = Json.object();
      ObjectNode headers = envelope.putObject("headers");
      new TreeMap<>(message.headers()).forEach(headers::put);
      envelope.put("body", Base64.getEncoder().encodeToString(message.body()));
      httpClient.call(
          AsyncHttpClient.Request.post(
              message.url().getRawAuthority(),
              message.url().getRawPath(),
              Json.bytes(envelope),
              message.timeout()),
          reply ->
              onAnswer.accept(
                  reply.isAnswered()
                      ? OutboundClient.Result.answered(
                          reply.status(), Duration.ofSeconds(1), reply.body())
                      : OutboundClient.Result.failed("no answer")));
    };
  }
}
