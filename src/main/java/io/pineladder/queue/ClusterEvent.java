package io.pineladder.queue;

import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;

/**
 * A change that may let an unschedulable entry be placed.
 *
 * @param machine the machine with capacity; null for other kinds
 * @param freeCapacity what the machine has free; no more entries are activated than it holds; null
 *     where that does not bound them
 * @param lastCycle the last scheduling cycle before the change: entries with a later one have taken
 *     it into account
 * @param job the job whose attempt is gone; null for other kinds
 * @param team the team that uses less; null for other kinds
 */
public record ClusterEvent(
    Kind kind, Machine machine, Resources freeCapacity, long lastCycle, Job job, String team) {
  /** What happened. */
  public enum Kind {
    /** An attempt on a schedulable machine has ended. */
    CAPACITY_FREED,
    /** A machine has become schedulable. */
    MACHINE_READY,
    /** A team uses less of its limit. */
    TEAM_USAGE_REDUCED,
    /** An attempt of a job holds nothing any more. */
    ATTEMPT_GONE
  }

  /** An attempt on the machine has ended. */
  public static ClusterEvent capacityFreed(
      Machine machine, Resources freeCapacity, long lastCycle) {
    return new ClusterEvent(Kind.CAPACITY_FREED, machine, freeCapacity, lastCycle, null, null);
  }

  /** The machine has become schedulable. */
  public static ClusterEvent machineReady(Machine machine, Resources freeCapacity, long lastCycle) {
    return new ClusterEvent(Kind.MACHINE_READY, machine, freeCapacity, lastCycle, null, null);
  }

  /** The team uses less of its limit. */
  public static ClusterEvent teamUsageReduced(String team) {
    return new ClusterEvent(Kind.TEAM_USAGE_REDUCED, null, null, Long.MAX_VALUE, null, team);
  }

  /** An attempt of the job holds nothing any more. */
  public static ClusterEvent attemptGone(Job job) {
    return new ClusterEvent(Kind.ATTEMPT_GONE, null, null, Long.MAX_VALUE, job, null);
  }
}
