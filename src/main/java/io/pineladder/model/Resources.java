package io.pineladder.model;

/**
 * An amount of CPUs, GPUs and memory, as integers so that sums have no rounding errors.
 *
 * @param microCpus millionths of a CPU
 * @param microGpus millionths of a GPU
 * @param microGb millionths of a GB of memory
 */
public record Resources(long microCpus, long microGpus, long microGb) {
  public static final Resources ZERO = new Resources(0, 0, 0);

  private static final double MICRO = 1e6;

  /** Converts an amount in CPUs, GPUs and GB of memory, rounded to millionths. */
  public static Resources of(double cpus, double gpus, double memoryGb) {
    return new Resources(
        Math.round(cpus * MICRO), Math.round(gpus * MICRO), Math.round(memoryGb * MICRO));
  }

  /** The sum in each dimension. */
  public Resources plus(Resources other) {
    return new Resources(
        microCpus + other.microCpus, microGpus + other.microGpus, microGb + other.microGb);
  }

  /** The difference in each dimension, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        microCpus - other.microCpus, microGpus - other.microGpus, microGb - other.microGb);
  }

  /** The product in each dimension. */
  public Resources times(long factor) {
    return new Resources(microCpus * factor, microGpus * factor, microGb * factor);
  }

  /** Whether this amount is within {@code capacity} in every dimension. */
  public boolean fitsIn(Resources capacity) {
    return microCpus <= capacity.microCpus
        && microGpus <= capacity.microGpus
        && microGb <= capacity.microGb;
  }

  /**
   * Whether this amount is positive in a dimension in which {@code available} is too small for
   * {@code request}.
   */
  public boolean relievesShortage(Resources request, Resources available) {
    return (microCpus > 0 && request.microCpus > available.microCpus)
        || (microGpus > 0 && request.microGpus > available.microGpus)
        || (microGb > 0 && request.microGb > available.microGb);
  }

  /**
   * How many times this amount fits into {@code capacity}; {@code Long.MAX_VALUE} if it is zero.
   */
  public long timesFittingIn(Resources capacity) {
    long count = Long.MAX_VALUE;
    count = Math.min(count, unitsIn(microCpus, capacity.microCpus));
    count = Math.min(count, unitsIn(microGpus, capacity.microGpus));
    return Math.min(count, unitsIn(microGb, capacity.microGb));
  }

  private static long unitsIn(long unit, long capacity) {
    if (unit == 0) {
      return Long.MAX_VALUE;
    }
    return capacity <= 0 ? 0 : capacity / unit;
  }

  /** The number of CPUs. */
  public double cpus() {
    return microCpus / MICRO;
  }

  /** The number of GPUs. */
  public double gpus() {
    return microGpus / MICRO;
  }

  /** The memory in GB. */
  public double memoryGb() {
    return microGb / MICRO;
  }

  /** The dominant share: the maximum share of {@code total} over all dimensions. */
  public double dominantShareOf(Resources total) {
    return Math.max(
        share(microCpus, total.microCpus),
        Math.max(share(microGpus, total.microGpus), share(microGb, total.microGb)));
  }

  private static double share(long amount, long total) {
    return total == 0 ? 0 : (double) amount / total;
  }
}
