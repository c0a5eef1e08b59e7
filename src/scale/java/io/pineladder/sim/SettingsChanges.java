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
 * Changes the operators' settings at a rate, and sees how long each takes to be in force at every
 * controller.
 */
final class SettingsChanges {
  private static final String PATH = "/admin/v1/settings";
  private static final String FIELD = "idle_release_s";

  /** Above any idle time of a run, so that no change of it has machines returned. */
  private static final int LEAST = 3_600;

  private static final long LOOK_MILLIS = 20;
  private static final Duration PATIENCE = Duration.ofSeconds(4);

  private final SimulatedWorld world;
  private final AsyncHttpClient httpClient;
  private final List<String> clusters;
  private final Histogram inForce = new Histogram(120_000_000L, 3);
  private int number;
  private int pending;
  private boolean stopped;

  SettingsChanges(RealTimeWorld real, List<String> clusters) {
    this.world = real.world();
    this.httpClient = real.httpClient();
    this.clusters = clusters;
  }

  /** From a change's request until every controller answers with it, in microseconds. */
  Histogram inForce() {
    return inForce;
  }

  /** Changes that are not in force everywhere yet. */
  int pending() {
    return pending;
  }

  void start(double perMinute) {
    if (perMinute > 0 && !stopped) {
      change();
      world.after((long) (60_000 / perMinute), () -> start(perMinute));
    }
  }

  void stop() {
    stopped = true;
  }

  private void change() {
    int value = LEAST + ++number;
    pending++;
    put(value, System.nanoTime());
  }

  private void put(int value, long begun) {
    byte[] body = Json.bytes(Json.object().put(FIELD, value));
    String address = clusters.get(value % clusters.size());
    httpClient.call(
        new AsyncHttpClient.Request(address, "PUT", PATH, body, PATIENCE),
        reply -> {
          if (reply.hasStatus(200)) {
            Set<String> left = new HashSet<>(clusters);
            clusters.forEach(cluster -> look(cluster, value, begun, left));
          } else {
            world.after(LOOK_MILLIS, () -> put(value, begun));
          }
        });
  }

  private void look(String cluster, int value, long begun, Set<String> left) {
    httpClient.call(
        AsyncHttpClient.Request.get(cluster, PATH, PATIENCE),
        reply -> {
          if (reply.hasStatus(200) && read(reply.body()) >= value) {
            left.remove(cluster);
            if (left.isEmpty()) {
              pending--;
              inForce.recordValue((System.nanoTime() - begun) / 1_000);
            }
          } else {
            world.after(LOOK_MILLIS, () -> look(cluster, value, begun, left));
          }
        });
  }

  private static double read(byte[] body) {
    try {
      ObjectNode settings = Json.parseObject(body);
      JsonNode value = settings.get(FIELD);
      return value == null ? 0 : value.asDouble();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }
}
