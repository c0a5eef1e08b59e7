package io.pineladder.autoscaling;

import io.pineladder.model.JobSpec;
import io.pineladder.model.MachineType;
import io.pineladder.scheduling.ClusterState;

/** Selects the machine type with the lowest cost per task of a job. */
final class MachineTypeSelector {
  /** The last of n tasks keeps a machine for this fraction of the run time longer, times ln(n). */
  private static final double TAIL_COST_FACTOR = 0.15;

  private final ClusterState cluster;
  private final CapacityRefusals refusals;

  MachineTypeSelector(ClusterState cluster, CapacityRefusals refusals) {
    this.cluster = cluster;
    this.refusals = refusals;
  }

  /** Whether the job's tasks fit on machines of the type and may run there. */
  static boolean isUsable(JobSpec spec, MachineType type) {
    return spec.allowsType(type.name())
        && spec.resourcesPerTask().fitsIn(type.capacity())
        && (spec.zone() == null || type.zones().contains(spec.zone()));
  }

  /** The cheapest usable type by on-demand price, including refused ones; null if there is none. */
  MachineType cheapestListed(JobSpec spec) {
    return cheapest(false, spec, true);
  }

  /**
   * The cheapest usable type that is not currently refused in all its zones.
   *
   * @param spec the job, or null to select by price relative to the on-demand price
   * @return null if there is no such type
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
        // A small job does not fill the machine, and other jobs use the rest only later. The
        // machine is paid for until its last task ends.
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
