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
 * How much capacity the jobs that arrive ask for, at list prices an hour: the headroom to have free
 * for what arrives while another machine boots, and the rate of work that can be deferred.
 */
final class ArrivalStatistics {
  private static final Duration TIME_CONSTANT = Duration.ofSeconds(60);

  /** Work that can be deferred comes in large pieces, so its rate is taken over longer. */
  private static final Duration DEFERRABLE_TIME_CONSTANT = Duration.ofSeconds(90);

  /** The share of the forecast to have free for jobs that can wait for a machine to boot. */
  private static final double DELAY_TOLERANT_HEADROOM_SHARE = 0.25;

  /** On-demand headroom of less than this share of the cheapest machine is negligible. */
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

  /** Counts a job whose tasks may start from now on. */
  void recordArrival(Job job) {
    JobSpec spec = job.spec;
    MachineType type = types.cheapestListed(spec);
    if (type == null) {
      return;
    }
    Instant now = eventLoop.now();
    double value = spec.tasks() * CapacityDemand.taskValue(spec, type);
    // A job is patient if it can wait for a machine to boot and to fetch its image there.
    Duration readyTime = type.bootTime().plus(type.fetchTime(spec.imageGb()));
    boolean patient =
        job.priorityClass() != PriorityClass.PRODUCTION
            && cluster.startSlack(job, eventLoop.wallClock()).compareTo(readyTime) > 0;
    if (spec.spotAllowed()) {
      (patient ? delayTolerantSpot : urgentSpot).add(value, now);
    } else {
      (patient ? delayTolerantOnDemand : urgentOnDemand).add(value, now);
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
   * The deferrable work that arrives each second, as value times seconds.
   *
   * @param below only work of classes above this one counts; null for all
   */
  double deferrableWorkRate(PriorityClass below) {
    Instant now = eventLoop.now();
    return deferrableWork.entrySet().stream()
        .filter(e -> below == null || e.getKey().isAbove(below))
        .mapToDouble(e -> e.getValue().rate(now))
        .sum();
  }

  /** Capacity to have free for what arrives while a machine boots, at list prices an hour. */
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
   * Whether arrays that can wait for capacity are made to: only while hardly any work arrives that
   * may not use spot machines. Such work starts at once by preempting arrays on on-demand machines.
   * Found on colombo-ops: with few of those rented for arrays, replicas found no capacity at once,
   * and 0.85 of them started in time instead of 0.97.
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
