package io.pineladder.autoscaling;

import io.pineladder.model.MachineType;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The capacity pools that the cloud has refused lately, which are not requested for a while. */
final class CapacityRefusals {
  private static final Duration MIN_REFUSAL_PERIOD = Duration.ofSeconds(6);

  /** The share of the cloud's request rate that may go into requesting refused pools again. */
  private static final double RETRY_RATE_SHARE = 0.4;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final Map<CapacityPool, Instant> refusedUntil = new HashMap<>();

  CapacityRefusals(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /** The cloud has refused machines of the pool now. */
  void record(CapacityPool pool) {
    refusedUntil.put(pool, eventLoop.now().plus(refusalPeriod()));
  }

  /** Whether the pool counts as refused. */
  boolean isRefused(CapacityPool pool, Instant now) {
    Instant until = refusedUntil.get(pool);
    return until != null && !until.isBefore(now);
  }

  /** Whether the type counts as refused in each of its zones. */
  boolean isRefusedInAllZones(MachineType type, boolean spot) {
    Instant now = eventLoop.now();
    for (String zone : type.zones()) {
      if (!isRefused(new CapacityPool(type.name(), zone, spot), now)) {
        return false;
      }
    }
    return true;
  }

  /** For how long a refusal counts: there are many pools and few requests to the cloud. */
  private Duration refusalPeriod() {
    long pools = cluster.types().stream().mapToLong(t -> 2L * t.zones().size()).sum();
    double retriesPerSecond = cluster.settings.cloudLimits().requestsPerSecond() * RETRY_RATE_SHARE;
    Duration pacedPeriod =
        Duration.ofMillis((long) (pools * 1000 / Math.max(0.1, retriesPerSecond)));
    return pacedPeriod.compareTo(MIN_REFUSAL_PERIOD) > 0 ? pacedPeriod : MIN_REFUSAL_PERIOD;
  }
}
