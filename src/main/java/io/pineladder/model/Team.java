package io.pineladder.model;

/**
 * The quota of a team.
 *
 * @param guarantee the guaranteed quota: within it the team's jobs are scheduled before those of
 *     teams that exceed their own guarantees
 * @param maxCpus the limit on CPUs in use; zero for none
 * @param maxGpus the limit on GPUs in use; zero for none
 */
public record Team(String name, Resources guarantee, double maxCpus, double maxGpus) {

  /** The limit; dimensions that are zero are unlimited. */
  public Resources limit() {
    return Resources.of(maxCpus, maxGpus, 0);
  }

  /** Whether a team with {@code usage} stays within its limit. */
  public boolean allows(Resources usage) {
    Resources limit = limit();
    return (limit.microCpus() == 0 || usage.microCpus() <= limit.microCpus())
        && (limit.microGpus() == 0 || usage.microGpus() <= limit.microGpus());
  }

  /** How many more tasks that need {@code perTask} fit within the limit beside {@code usage}. */
  public long maxAdditionalUnits(Resources usage, Resources perTask) {
    Resources limit = limit();
    long cpus = remainingUnits(limit.microCpus(), usage.microCpus(), perTask.microCpus());
    return Math.min(
        cpus, remainingUnits(limit.microGpus(), usage.microGpus(), perTask.microGpus()));
  }

  private static long remainingUnits(long limit, long used, long unit) {
    if (limit == 0) {
      return Long.MAX_VALUE;
    }
    if (used > limit) {
      return 0;
    }
    return unit == 0 ? Long.MAX_VALUE : (limit - used) / unit;
  }

  /** Whether the team has a guaranteed quota in any dimension. */
  public boolean hasGuarantee() {
    return guarantee.microCpus() > 0 || guarantee.microGpus() > 0;
  }

  /** Whether {@code usage} is within the guarantee in all dimensions for which one is set. */
  public boolean guarantees(Resources usage) {
    return hasGuarantee()
        && (guarantee.microCpus() == 0 || usage.microCpus() <= guarantee.microCpus())
        && (guarantee.microGpus() == 0 || usage.microGpus() <= guarantee.microGpus());
  }
}
