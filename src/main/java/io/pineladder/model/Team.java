package io.pineladder.model;

/** A team's guarantee and limit; a limit of zero means none. */
public record Team(String name, Resources guarantee, double maxCpus, double maxGpus) {

  public Resources limit() {
    return Resources.of(maxCpus, maxGpus, 0);
  }

  /** Whether a team with {@code usage} stays within its limit. */
  public boolean allows(Resources usage) {
    Resources limit = limit();
    return (limit.microCpus() == 0 || usage.microCpus() <= limit.microCpus())
        && (limit.microGpus() == 0 || usage.microGpus() <= limit.microGpus());
  }

  /** How many more times {@code each} keeps a team with {@code usage} within its limit. */
  public long countWithin(Resources usage, Resources each) {
    Resources limit = limit();
    long cpus = unitsWithin(limit.microCpus(), usage.microCpus(), each.microCpus());
    return Math.min(cpus, unitsWithin(limit.microGpus(), usage.microGpus(), each.microGpus()));
  }

  private static long unitsWithin(long limit, long used, long each) {
    if (limit == 0) {
      return Long.MAX_VALUE;
    }
    if (used > limit) {
      return 0;
    }
    return each == 0 ? Long.MAX_VALUE : (limit - used) / each;
  }

  public boolean hasGuarantee() {
    return guarantee.microCpus() > 0 || guarantee.microGpus() > 0;
  }

  /** A guarantee counts in the dimensions it names; the others are not part of it. */
  public boolean guarantees(Resources usage) {
    return hasGuarantee()
        && (guarantee.microCpus() == 0 || usage.microCpus() <= guarantee.microCpus())
        && (guarantee.microGpus() == 0 || usage.microGpus() <= guarantee.microGpus());
  }
}
