package io.pineladder.autoscaling;

import io.pineladder.model.MachineType;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks capacity pools from which the cloud recently refused machines; these are not requested.
 */
final class CapacityRefusals {
  private static final Duration MIN_REFUSAL_PERIOD = Duration.ofSeconds(6);

  /** The share of the cloud's request rate that may be used to retry refused pools. */
  private static final double RETRY_RATE_SHARE = 0.4;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final Map<CapacityPool, Instant> refusedUntil = new HashMap<>();

  CapacityRefusals(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /** Records that the cloud refused machines of the pool. */
  void record(CapacityPool pool) {
    refusedUntil.put(pool, eventLoop.now().plus(refusalPeriod()));
  }

  /** Whether the pool's latest refusal is still in effect. */
  boolean isRefused(CapacityPool pool, Instant now) {
    Instant until = refusedUntil.get(pool);
    return until != null && !until.isBefore(now);
  }

  /** Whether the type is refused in all of its zones. */
  boolean isRefusedInAllZones(MachineType type, boolean spot) {
    Instant now = eventLoop.now();
    for (String zone : type.zones()) {
      if (!isRefused(new CapacityPool(type.name(), zone, spot), now)) {
        return false;
      }
    }
    return true;
  }

  /** How long a refusal stays in effect, so that retries of all pools fit their rate share. */
  private Duration refusalPeriod() {
    long pools = cluster.types().stream().mapToLong(t -> 2L * t.zones().size()).sum();
    double retriesPerSecond = cluster.settings.cloudLimits().requestsPerSecond() * RETRY_RATE_SHARE;
    Duration pacedPeriod =
        Duration.ofMillis((long) (pools * 1000 / Math.max(0.1, retriesPerSecond)));
    return pacedPeriod.compareTo(MIN_REFUSAL_PERIOD) > 0 ? pacedPeriod : MIN_REFUSAL_PERIOD;
  }
}
