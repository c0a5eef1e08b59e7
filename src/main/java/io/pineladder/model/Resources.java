package io.pineladder.model;

/** An amount of processor, accelerator and memory, in exact millionths so that sums never drift. */
public record Resources(long microCpus, long microGpus, long microGb) {
  public static final Resources ZERO = new Resources(0, 0, 0);
  private static final double MICRO = 1e6;

  public static Resources of(double cpus, double gpus, double memoryGb) {
    return new Resources(
        Math.round(cpus * MICRO), Math.round(gpus * MICRO), Math.round(memoryGb * MICRO));
  }

  public Resources plus(Resources other) {
    return new Resources(
        microCpus + other.microCpus, microGpus + other.microGpus, microGb + other.microGb);
  }

  public Resources minus(Resources other) {
    return new Resources(
        microCpus - other.microCpus, microGpus - other.microGpus, microGb - other.microGb);
  }

  public Resources times(long factor) {
    return new Resources(microCpus * factor, microGpus * factor, microGb * factor);
  }

  public boolean fitsIn(Resources capacity) {
    return microCpus <= capacity.microCpus
        && microGpus <= capacity.microGpus
        && microGb <= capacity.microGb;
  }

  /** Whether it holds some of what {@code room} lacks for {@code each}. */
  public boolean relievesShortage(Resources each, Resources capacity) {
    return (microCpus > 0 && each.microCpus > capacity.microCpus)
        || (microGpus > 0 && each.microGpus > capacity.microGpus)
        || (microGb > 0 && each.microGb > capacity.microGb);
  }

  /** How many times this fits into {@code room}. */
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

  public double cpus() {
    return microCpus / MICRO;
  }

  public double gpus() {
    return microGpus / MICRO;
  }

  public double memoryGb() {
    return microGb / MICRO;
  }

  /** The largest part of {@code whole} that any one dimension takes. */
  public double shareOf(Resources whole) {
    return Math.max(
        share(microCpus, whole.microCpus),
        Math.max(share(microGpus, whole.microGpus), share(microGb, whole.microGb)));
  }

  private static double share(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
