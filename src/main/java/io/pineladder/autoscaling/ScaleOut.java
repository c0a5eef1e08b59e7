package io.pineladder.autoscaling;

import io.pineladder.model.MachineType;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import java.time.Instant;

/**
 * Rents machines for pending jobs, for job arrays that would otherwise start late, and for the work
 * that is expected to arrive while a machine boots.
 */
final class ScaleOut {
  /** Missing capacity below this share of a machine is not rented. */
  private static final double NEGLIGIBLE_MACHINE_SHARE = 0.05;

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final CapacityEstimates estimates;
  private final MachineTypeSelector types;
  private final RentalClient rentals;
  private final OnDemandReview onDemandReview;

  ScaleOut(
      ClusterState cluster,
      Scheduler scheduler,
      EventLoop eventLoop,
      CapacityEstimates estimates,
      MachineTypeSelector types,
      RentalClient rentals) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.estimates = estimates;
    this.types = types;
    this.rentals = rentals;
    this.onDemandReview = new OnDemandReview(cluster, scheduler, eventLoop, estimates);
  }

  /** Rents the missing machines, unless an earlier request is in flight. */
  void rentMissing(Instant now) {
    rentals.resendUnanswered();
    if (rentals.isRequestInFlight() || cluster.jobs.isEmpty()) {
      return;
    }
    CapacityDemand demand =
        new CapacityDemand(cluster, scheduler, estimates, types, now, eventLoop.wallClock());
    double missingForDeadlines = onDemandReview.review(demand, now);
    if (missingForDeadlines > 0) {
      rentForDeadlines(demand, missingForDeadlines, now);
    }
    addMissingHeadroom(demand, false);
    addMissingHeadroom(demand, true);
    demand
        .missing()
        .forEach(
            (kind, missing) -> {
              if (missing.machines > NEGLIGIBLE_MACHINE_SHARE) {
                MachineType type = cluster.type(kind.type());
                rentals.rent(
                    type,
                    missing.zoneWithMostMissing(),
                    kind.spot(),
                    requestedCount(missing.machines, type),
                    false,
                    now);
              }
            });
  }

  private void rentForDeadlines(CapacityDemand demand, double missingValue, Instant now) {
    MachineType type = types.cheapestAvailable(false, demand.criticalJob());
    if (type != null) {
      int count = requestedCount(missingValue / type.onDemandPrice(), type);
      rentals.rent(type, null, false, count, true, now);
    }
  }

  /** The number of machines to request so that about this many boot in time. */
  private int requestedCount(double machines, MachineType type) {
    return (int) Math.ceil(machines / estimates.bootTimes().arrivalShare(type));
  }

  private void addMissingHeadroom(CapacityDemand demand, boolean spot) {
    // No job needs the headroom yet, so on-demand machines never replace spot headroom.
    double available =
        demand.freeValue(spot) + Math.max(demand.pendingValue(spot), demand.bootingValue(spot));
    double missingHeadroom = estimates.arrivals().headroom(spot) - available;
    MachineType type = missingHeadroom > 0 ? types.cheapestAvailable(spot, null) : null;
    if (type != null) {
      demand.addMissing(type, spot, missingHeadroom / type.onDemandPrice());
    }
  }
}
