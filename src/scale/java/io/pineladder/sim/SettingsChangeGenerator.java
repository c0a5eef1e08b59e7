package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Changes an operator setting at a constant rate and measures the time until each change is active
 * at every controller.
 */
final class SettingsChangeGenerator {
  private static final String PATH = "/admin/v1/settings";
  private static final String FIELD = "idle_release_s";

  /** Longer than any run, so that the changed setting never causes the release of idle machines. */
  private static final int MIN_VALUE_SECONDS = 3_600;

  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);

  private final SimulatedWorld world;
  private final AsyncHttpClient httpClient;
  private final List<String> controllerAddresses;
  private final Histogram activationTimes = new Histogram(120_000_000L, 3);
  private int lastChangeNumber;
  private int pendingChanges;
  private boolean stopped;

  SettingsChangeGenerator(RealTimeWorld realTimeWorld, List<String> controllerAddresses) {
    this.world = realTimeWorld.world();
    this.httpClient = realTimeWorld.httpClient();
    this.controllerAddresses = controllerAddresses;
  }

  /** Returns the times from a change request until all controllers return it, in microseconds. */
  Histogram activationTimes() {
    return activationTimes;
  }

  /** Returns the number of changes that are not yet active at all controllers. */
  int pendingChanges() {
    return pendingChanges;
  }

  void start(double perMinute) {
    if (perMinute > 0 && !stopped) {
      submitChange();
      world.after((long) (60_000 / perMinute), () -> start(perMinute));
    }
  }

  void stop() {
    stopped = true;
  }

  private void submitChange() {
    int value = MIN_VALUE_SECONDS + ++lastChangeNumber;
    pendingChanges++;
    put(value, System.nanoTime());
  }

  private void put(int value, long startNanos) {
    byte[] body = Json.bytes(Json.object().put(FIELD, value));
    String target = controllerAddresses.get(value % controllerAddresses.size());
    httpClient.call(
        new AsyncHttpClient.Request(target, "PUT", PATH, body, REQUEST_TIMEOUT),
        reply -> {
          if (reply.hasStatus(200)) {
            Set<String> remaining = new HashSet<>(controllerAddresses);
            controllerAddresses.forEach(
                address -> pollUntilActive(address, value, startNanos, remaining));
          } else {
            world.after(POLL_INTERVAL_MILLIS, () -> put(value, startNanos));
          }
        });
  }

  private void pollUntilActive(String address, int value, long startNanos, Set<String> remaining) {
    httpClient.call(
        AsyncHttpClient.Request.get(address, PATH, REQUEST_TIMEOUT),
        reply -> {
          if (reply.hasStatus(200) && parseValue(reply.body()) >= value) {
            remaining.remove(address);
            if (remaining.isEmpty()) {
              pendingChanges--;
              activationTimes.recordValue((System.nanoTime() - startNanos) / 1_000);
            }
          } else {
            world.after(
                POLL_INTERVAL_MILLIS, () -> pollUntilActive(address, value, startNanos, remaining));
          }
        });
  }

  private static double parseValue(byte[] body) {
    try {
      ObjectNode settings = Json.parseObject(body);
      JsonNode value = settings.get(FIELD);
      return value == null ? 0 : value.asDouble();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }
}
