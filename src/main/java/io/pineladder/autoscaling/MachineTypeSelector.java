package io.pineladder.autoscaling;

import io.pineladder.model.JobSpec;
import io.pineladder.model.MachineType;
import io.pineladder.scheduling.ClusterState;

/** Selects the machine type whose machines cost a job's tasks least. */
final class MachineTypeSelector {
  /**
   * The last of its tasks keep a machine by this part longer than its tasks run, for each factor of
   * e in their number.
   */
  private static final double TAIL_COST_FACTOR = 0.15;

  private final ClusterState cluster;
  private final CapacityRefusals refusals;

  MachineTypeSelector(ClusterState cluster, CapacityRefusals refusals) {
    this.cluster = cluster;
    this.refusals = refusals;
  }

  /** Whether the job's tasks fit machines of the type, and may run there. */
  static boolean isUsable(JobSpec spec, MachineType type) {
    return spec.allowsType(type.name())
        && spec.resourcesPerTask().fitsIn(type.capacity())
        && (spec.zone() == null || type.zones().contains(spec.zone()));
  }

  /** The cheapest type for the job by on-demand prices, refused or not; null if none is usable. */
  MachineType cheapestListed(JobSpec spec) {
    return cheapest(false, spec, true);
  }

  /**
   * The cheapest type for the job that has not been refused lately.
   *
   * @param spec null for the type that is cheapest relative to its on-demand price
   * @return null if there is none
   */
  MachineType cheapestAvailable(boolean spot, JobSpec spec) {
    return cheapest(spot, spec, false);
  }

  private MachineType cheapest(boolean spot, JobSpec spec, boolean includeRefused) {
    MachineType best = null;
    double bestPrice = Double.MAX_VALUE;
    for (MachineType type : cluster.types()) {
      if ((spec != null && !isUsable(spec, type))
          || (!includeRefused && refusals.isRefusedInAllZones(type, spot))) {
        continue;
      }
      double price = type.price(spot);
      if (spec == null) {
        price /= type.onDemandPrice();
      } else {
        // What a machine holds beyond one small job's tasks serves others, but not at once; and it
        // is paid for until the last of its tasks ends.
        long tasks =
            Math.min(spec.resourcesPerTask().timesFittingIn(type.capacity()), spec.tasks());
        price *= (1 + TAIL_COST_FACTOR * Math.log((double) tasks)) / tasks;
      }
      if (price < bestPrice) {
        best = type;
        bestPrice = price;
      }
    }
    return best;
  }
}
