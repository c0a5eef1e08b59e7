package io.pineladder.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts and latencies of what this controller answers. */
public final class Metrics {
  private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final double[] PERCENTILES = {50, 90, 99, 100};

  /** What is asked of a controller. */
  public enum Operation {
    SUBMIT,
    POLL,
    CANCEL,
    REPORT,
    READY,
    OTHER;

    /** The operation that a method and path ask for. */
    public static Operation of(String method, String path) {
      if (path.startsWith("/v1/report")) {
        return REPORT;
      }
      if (path.startsWith("/ready")) {
        return READY;
      }
      if (path.startsWith("/v1/jobs")) {
        return method.equals("GET") ? POLL : path.endsWith("/cancel") ? CANCEL : SUBMIT;
      }
      return OTHER;
    }
  }

  private MeterRegistry registry;

  /** The process's sockets; null where it has no network of its own. */
  private ConnectionLimiter sockets;

  private final Map<Operation, Map<Integer, Counter>> counters = new EnumMap<>(Operation.class);
  private final Map<Operation, Histogram> latencies = new EnumMap<>(Operation.class);

  /** The registry is made when the first answer is counted, so that it does not slow the start. */
  private MeterRegistry registry() {
    if (registry == null) {
      registry = new SimpleMeterRegistry();
    }
    return registry;
  }

  /** Has the sockets shown with the other figures. */
  public void setConnectionLimiter(ConnectionLimiter of) {
    sockets = of;
  }

  /** The sockets by part; empty where there are none to show. */
  ObjectNode sockets() {
    ObjectNode out = Json.object();
    if (sockets != null) {
      sockets
          .usage()
          .forEach(
              (part, usage) ->
                  out.putObject(part.name().toLowerCase(Locale.ROOT))
                      .put("open", usage.open())
                      .put("idle", usage.idle())
                      .put("peak", usage.peak())
                      .put("most", usage.maxOpen())
                      .put("refused", usage.refused()));
    }
    return out;
  }

  /** One request was answered. */
  public void recordRequest(Operation operation, int status, Duration took) {
    counters
        .computeIfAbsent(operation, o -> new TreeMap<>())
        .computeIfAbsent(
            status,
            s ->
                registry()
                    .counter(
                        "pineladder.requests",
                        "operation",
                        operation.name().toLowerCase(Locale.ROOT),
                        "status",
                        Integer.toString(s)))
        .increment();
    latencies
        .computeIfAbsent(operation, o -> new Histogram(MOST_MICROS, 2))
        .recordValue(Math.min(MOST_MICROS, Math.max(0, took.toNanos() / 1000)));
  }

  /** All meters by name and tags, and the latencies in seconds by percentile. */
  ObjectNode read() {
    ObjectNode out = Json.object();
    ObjectNode meters = out.putObject("meters");
    for (Meter meter : registry().getMeters()) {
      StringBuilder name = new StringBuilder(meter.getId().getName());
      for (Tag tag : meter.getId().getTags()) {
        name.append(' ').append(tag.getKey()).append('=').append(tag.getValue());
      }
      meter.measure().forEach(measured -> meters.put(name.toString(), measured.getValue()));
    }
    out.set("sockets", sockets());
    ObjectNode all = out.putObject("latency_s");
    latencies.forEach(
        (operation, histogram) -> {
          percentiles(all.putObject(operation.name().toLowerCase(Locale.ROOT)), histogram, 1e6);
        });
    return out;
  }

  /** Writes a histogram's count and percentiles, in seconds. */
  public static void percentiles(ObjectNode out, Histogram histogram, double unitsPerSecond) {
    out.put("count", histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      out.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile) / unitsPerSecond);
    }
  }
}
