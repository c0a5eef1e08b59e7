package io.pineladder.model;

/**
 * A team's quota.
 *
 * @param guarantee what the team's jobs get before those of teams beyond their own guarantee
 * @param maxCpus the limit on processors in use; zero for none
 * @param maxGpus the limit on accelerators in use; zero for none
 */
public record Team(String name, Resources guarantee, double maxCpus, double maxGpus) {

  /** The limit; a dimension of zero has none. */
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
  public long maxAdditionalUnits(Resources usage, Resources each) {
    Resources limit = limit();
    long cpus = unitsWithin(limit.microCpus(), usage.microCpus(), each.microCpus());
    return Math.min(cpus, unitsWithin(limit.microGpus(), usage.microGpus(), each.microGpus()));
  }

  /** How many more of {@code each} a limit allows beside what is used. */
  private static long unitsWithin(long limit, long used, long each) {
    if (limit == 0) {
      return Long.MAX_VALUE;
    }
    if (used > limit) {
      return 0;
    }
    return each == 0 ? Long.MAX_VALUE : (limit - used) / each;
  }

  /** Whether anything is guaranteed. */
  public boolean hasGuarantee() {
    return guarantee.microCpus() > 0 || guarantee.microGpus() > 0;
  }

  /** Whether the guarantee covers that usage, in the dimensions for which it is set. */
  public boolean guarantees(Resources usage) {
    return hasGuarantee()
        && (guarantee.microCpus() == 0 || usage.microCpus() <= guarantee.microCpus())
        && (guarantee.microGpus() == 0 || usage.microGpus() <= guarantee.microGpus());
  }
}
