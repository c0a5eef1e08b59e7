package io.pineladder.model;

/**
 * An amount of processors, accelerators and memory, in exact millionths so that sums never drift.
 *
 * @param microCpus millionths of a processor
 * @param microGpus millionths of an accelerator
 * @param microGb millionths of a GB of memory
 */
public record Resources(long microCpus, long microGpus, long microGb) {
  /** Nothing. */
  public static final Resources ZERO = new Resources(0, 0, 0);

  private static final double MICRO = 1e6;

  /** An amount in processors, accelerators and GB, rounded to millionths. */
  public static Resources of(double cpus, double gpus, double memoryGb) {
    return new Resources(
        Math.round(cpus * MICRO), Math.round(gpus * MICRO), Math.round(memoryGb * MICRO));
  }

  /** The sum of both. */
  public Resources plus(Resources other) {
    return new Resources(
        microCpus + other.microCpus, microGpus + other.microGpus, microGb + other.microGb);
  }

  /** The difference, which may be negative in any dimension. */
  public Resources minus(Resources other) {
    return new Resources(
        microCpus - other.microCpus, microGpus - other.microGpus, microGb - other.microGb);
  }

  /** This amount for each of {@code factor} tasks. */
  public Resources times(long factor) {
    return new Resources(microCpus * factor, microGpus * factor, microGb * factor);
  }

  /** Whether no dimension exceeds that of {@code capacity}. */
  public boolean fitsIn(Resources capacity) {
    return microCpus <= capacity.microCpus
        && microGpus <= capacity.microGpus
        && microGb <= capacity.microGb;
  }

  /** Whether it holds some of what {@code capacity} lacks for {@code each}. */
  public boolean relievesShortage(Resources each, Resources capacity) {
    return (microCpus > 0 && each.microCpus > capacity.microCpus)
        || (microGpus > 0 && each.microGpus > capacity.microGpus)
        || (microGb > 0 && each.microGb > capacity.microGb);
  }

  /** How many times this fits into {@code capacity}; {@code Long.MAX_VALUE} for no bound. */
  public long timesFittingIn(Resources capacity) {
    long count = Long.MAX_VALUE;
    count = Math.min(count, unitsIn(microCpus, capacity.microCpus));
    count = Math.min(count, unitsIn(microGpus, capacity.microGpus));
    return Math.min(count, unitsIn(microGb, capacity.microGb));
  }

  private static long unitsIn(long part, long whole) {
    if (part == 0) {
      return Long.MAX_VALUE;
    }
    return whole <= 0 ? 0 : whole / part;
  }

  /** The processors. */
  public double cpus() {
    return microCpus / MICRO;
  }

  /** The accelerators. */
  public double gpus() {
    return microGpus / MICRO;
  }

  /** The memory in GB. */
  public double memoryGb() {
    return microGb / MICRO;
  }

  /** The largest part of {@code whole} that any one dimension takes: the dominant share. */
  public double dominantShareOf(Resources whole) {
    return Math.max(
        share(microCpus, whole.microCpus),
        Math.max(share(microGpus, whole.microGpus), share(microGb, whole.microGb)));
  }

  private static double share(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
