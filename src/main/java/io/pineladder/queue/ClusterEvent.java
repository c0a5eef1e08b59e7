package io.pineladder.queue;

import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;

/**
 * Something that may let a parked entry be placed; the fields that do not apply are null. {@code
 * room} is what a machine has free: no more entries are woken than could take it. Entries tried
 * after {@code since} have had their try at it.
 */
public record ClusterEvent(
    Kind kind, Machine machine, Resources freeCapacity, long lastCycle, Job job, String team) {
  /** What happened. */
  public enum Kind {
    CAPACITY_FREED,
    MACHINE_READY,
    TEAM_USAGE_REDUCED,
    ATTEMPT_GONE
  }

  public static ClusterEvent capacityFreed(
      Machine machine, Resources freeCapacity, long lastCycle) {
    return new ClusterEvent(Kind.CAPACITY_FREED, machine, freeCapacity, lastCycle, null, null);
  }

  public static ClusterEvent machineReady(Machine machine, Resources freeCapacity, long lastCycle) {
    return new ClusterEvent(Kind.MACHINE_READY, machine, freeCapacity, lastCycle, null, null);
  }

  public static ClusterEvent teamUsageReduced(String team) {
    return new ClusterEvent(Kind.TEAM_USAGE_REDUCED, null, null, Long.MAX_VALUE, null, team);
  }

  public static ClusterEvent attemptGone(Job job) {
    return new ClusterEvent(Kind.ATTEMPT_GONE, null, null, Long.MAX_VALUE, job, null);
  }
}
