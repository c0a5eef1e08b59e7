package io.pineladder.autoscaling;

import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/**
 * Statistics of the capacity that arriving jobs need, at list prices per hour. They determine the
 * headroom to keep free for jobs that arrive while a machine boots, and the arrival rate of
 * deferrable work.
 */
final class ArrivalStatistics {
  private static final Duration TIME_CONSTANT = Duration.ofSeconds(60);

  /** Deferrable work arrives in large batches, so its rate is averaged over a longer time. */
  private static final Duration DEFERRABLE_TIME_CONSTANT = Duration.ofSeconds(90);

  /** The share of the forecast to keep free for jobs that can wait for a machine to boot. */
  private static final double DELAY_TOLERANT_HEADROOM_SHARE = 0.25;

  /** On-demand headroom below this share of the cheapest machine is negligible. */
  private static final double NEGLIGIBLE_MACHINE_SHARE = 0.05;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final MachineTypeSelector types;
  private final ImageFetchEstimator imageFetch;

  private final ArrivalForecast urgentOnDemand = new ArrivalForecast(TIME_CONSTANT);
  private final ArrivalForecast urgentSpot = new ArrivalForecast(TIME_CONSTANT);
  private final ArrivalForecast delayTolerantOnDemand = new ArrivalForecast(TIME_CONSTANT);
  private final ArrivalForecast delayTolerantSpot = new ArrivalForecast(TIME_CONSTANT);
  private final Map<PriorityClass, ArrivalForecast> deferrableWork =
      new EnumMap<>(PriorityClass.class);

  ArrivalStatistics(
      ClusterState cluster,
      EventLoop eventLoop,
      MachineTypeSelector types,
      ImageFetchEstimator imageFetch) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.types = types;
    this.imageFetch = imageFetch;
  }

  /** Records the arrival of a job whose tasks may start now. */
  void recordArrival(Job job) {
    JobSpec spec = job.spec;
    MachineType type = types.cheapestListed(spec);
    if (type == null) {
      return;
    }
    Instant now = eventLoop.now();
    double value = spec.tasks() * CapacityDemand.taskValue(spec, type);
    // Delay-tolerant jobs can wait for a machine to boot and fetch their image.
    Duration readyTime = type.bootTime().plus(type.fetchTime(spec.imageGb()));
    boolean delayTolerant =
        job.priorityClass() != PriorityClass.PRODUCTION
            && cluster.startSlack(job, eventLoop.wallClock()).compareTo(readyTime) > 0;
    if (spec.spotAllowed()) {
      (delayTolerant ? delayTolerantSpot : urgentSpot).add(value, now);
    } else {
      (delayTolerant ? delayTolerantOnDemand : urgentOnDemand).add(value, now);
    }
    if (cluster.canWaitForCapacity(job)) {
      double work = value * spec.estimatedRunTime().toMillis() / 1000.0;
      deferrableWork
          .computeIfAbsent(job.priorityClass(), r -> new ArrivalForecast(DEFERRABLE_TIME_CONSTANT))
          .add(work, now);
    }
    imageFetch.record(spec.imageGb());
  }

  /**
   * The deferrable work that arrives per second, as value times seconds.
   *
   * @param aboveClass only work of classes above this one is counted; null to count all classes
   */
  double deferrableWorkRate(PriorityClass aboveClass) {
    Instant now = eventLoop.now();
    return deferrableWork.entrySet().stream()
        .filter(e -> aboveClass == null || e.getKey().isAbove(aboveClass))
        .mapToDouble(e -> e.getValue().rate(now))
        .sum();
  }

  /** Capacity to keep free for jobs that arrive during a boot, at list prices per hour. */
  double headroom(boolean spot) {
    Instant now = eventLoop.now();
    double bootSeconds =
        cluster.types().stream().mapToDouble(t -> t.bootTime().toMillis() / 1000.0).min().orElse(0);
    return spot
        ? urgentSpot.rate(now) * bootSeconds
            + delayTolerantSpot.rate(now) * bootSeconds * DELAY_TOLERANT_HEADROOM_SHARE
        : urgentOnDemand.rate(now) * bootSeconds
            + delayTolerantOnDemand.rate(now) * bootSeconds * DELAY_TOLERANT_HEADROOM_SHARE;
  }

  /**
   * Whether job arrays that can wait for capacity are deferred. They are not deferred while much
   * work arrives that requires on-demand machines: such work starts immediately by preempting
   * arrays on those machines, which must have been rented for the arrays. When arrays were deferred
   * on the colombo-ops deployment regardless, 0.85 of its replicas started in time instead of 0.97.
   */
  boolean mayDeferArrays() {
    double lowestPrice =
        cluster.types().stream()
            .mapToDouble(MachineType::onDemandPrice)
            .min()
            .orElse(Double.MAX_VALUE);
    return headroom(false) < NEGLIGIBLE_MACHINE_SHARE * lowestPrice;
  }
}
