package io.pineladder.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pineladder.TaskStartMonitor;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.InboundScheduler;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** Counters and latencies of the requests that this controller answers. */
public final class Metrics {
  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final double[] PERCENTILES = {50, 90, 99, 100};

  /** The kinds of requests to a controller. Shown to operators by these names. */
  public enum Operation {
    SUBMIT,
    POLL,
    CANCEL,
    REPORT,
    READY,
    OTHER;

    /** Determines the operation from a request's method and path. */
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

  /** How a submission that is not malformed or refused was decided. */
  public enum SubmissionDecision {
    NEW_AT_LEADER,
    KNOWN_AT_LEADER,
    UNCERTAIN_AT_LEADER,
    NEW_WITHOUT_LEADER,
    KNOWN_WITHOUT_LEADER,
    UNCERTAIN_WITHOUT_LEADER
  }

  private MeterRegistry registry;

  /** The process's sockets, or null where no network is used, as in simulations. */
  private ConnectionLimiter connectionLimiter;

  /** Shares the event thread between inbound requests, or null where no network is used. */
  private InboundScheduler inboundScheduler;

  private final Map<Operation, Map<Integer, Counter>> counters = new EnumMap<>(Operation.class);
  private final Map<SubmissionDecision, Counter> submissions =
      new EnumMap<>(SubmissionDecision.class);
  private final Map<Operation, Histogram> latencies = new EnumMap<>(Operation.class);

  /** Creates the registry on first use, so that it does not delay the start of the process. */
  private MeterRegistry registry() {
    if (registry == null) {
      registry = new SimpleMeterRegistry();
    }
    return registry;
  }

  /** Includes the use of sockets in the metrics. */
  public void setConnectionLimiter(ConnectionLimiter connectionLimiter) {
    this.connectionLimiter = connectionLimiter;
  }

  /** The use of sockets by traffic class; empty where no network is used. */
  ObjectNode sockets() {
    ObjectNode out = Json.object();
    if (connectionLimiter != null) {
      connectionLimiter
          .usage()
          .forEach(
              (trafficClass, usage) ->
                  out.putObject(trafficClass.name().toLowerCase(Locale.ROOT))
                      .put("open", usage.open())
                      .put("idle", usage.idle())
                      .put("peak", usage.peak())
                      .put("most", usage.maxOpen())
                      .put("refused", usage.refused()));
    }
    return out;
  }

  /**
   * Includes a gauge for each reason why no task starts: for how many seconds it has been the
   * reason, or 0.
   */
  void registerTaskStarts(TaskStartMonitor monitor, Supplier<Instant> now) {
    for (TaskStartMonitor.Reason reason : TaskStartMonitor.Reason.values()) {
      if (reason.isBlocked()) {
        Gauge.builder(
                "pineladder.starts.blocked.seconds",
                () -> monitor.reason() == reason ? monitor.lasted(now.get()).toMillis() / 1e3 : 0)
            .tag("reason", TaskStartMonitor.label(reason))
            .strongReference(true)
            .register(registry());
      }
    }
  }

  /** Includes what the inbound requests wait for. */
  public void setInboundScheduler(InboundScheduler inboundScheduler) {
    this.inboundScheduler = inboundScheduler;
  }

  /** The connections that wait for the event thread, by lane; empty where no network is used. */
  private ObjectNode inbound() {
    ObjectNode out = Json.object();
    if (inboundScheduler != null) {
      for (InboundScheduler.Lane lane : InboundScheduler.Lane.values()) {
        InboundScheduler.Usage usage = inboundScheduler.usage(lane);
        out.putObject(lane.name().toLowerCase(Locale.ROOT))
            .put("waiting", usage.waiting())
            .put("delayed", usage.delayed())
            .put("discarded", usage.discarded());
      }
    }
    return out;
  }

  /** Counts an answered request and records its latency. */
  public void recordRequest(Operation operation, int status, Duration latency) {
    counters
        .computeIfAbsent(operation, o -> new TreeMap<>())
        .computeIfAbsent(status, s -> counter("pineladder.requests", operation, s))
        .increment();
    latencies
        .computeIfAbsent(operation, o -> new Histogram(MAX_LATENCY_MICROS, 2))
        .recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, latency.toNanos() / 1000)));
  }

  /** Counts a request that was answered without any leader's decision. */
  public void recordLeaderlessAnswer(Operation operation, int status) {
    counter("pineladder.leaderless.answers", operation, status).increment();
  }

  private Counter counter(String name, Operation operation, int status) {
    return registry()
        .counter(
            name,
            "operation",
            operation.name().toLowerCase(Locale.ROOT),
            "status",
            Integer.toString(status));
  }

  /** Counts a submission by how it was decided. */
  public void recordSubmission(SubmissionDecision decision) {
    submissions
        .computeIfAbsent(
            decision,
            d ->
                registry()
                    .counter(
                        "pineladder.submissions", "decision", d.name().toLowerCase(Locale.ROOT)))
        .increment();
  }

  /** All counters by name and tags, and percentiles of the latencies in seconds. */
  ObjectNode toJson() {
    ObjectNode out = Json.object();
    ObjectNode meters = out.putObject("meters");
    for (Meter meter : registry().getMeters()) {
      StringBuilder name = new StringBuilder(meter.getId().getName());
      for (Tag tag : meter.getId().getTags()) {
        name.append(' ').append(tag.getKey()).append('=').append(tag.getValue());
      }
      meter.measure().forEach(measurement -> meters.put(name.toString(), measurement.getValue()));
    }
    out.set("sockets", sockets());
    out.set("inbound", inbound());
    ObjectNode latencyOut = out.putObject("latency_s");
    latencies.forEach(
        (operation, histogram) -> {
          writePercentiles(
              latencyOut.putObject(operation.name().toLowerCase(Locale.ROOT)), histogram, 1e6);
        });
    return out;
  }

  /** Writes a histogram's count, and its percentiles in seconds. */
  public static void writePercentiles(ObjectNode out, Histogram histogram, double unitsPerSecond) {
    out.put("count", histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      out.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile) / unitsPerSecond);
    }
  }
}
