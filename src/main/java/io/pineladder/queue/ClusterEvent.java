package io.pineladder.queue;

import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;

/**
 * A change in the cluster that may make unschedulable entries schedulable.
 *
 * @param machine the machine whose free capacity changed; null for other kinds
 * @param freeCapacity the machine's free capacity, which bounds how many entries the event
 *     activates; null for no bound
 * @param lastCycleNumber the number of the last scheduling cycle before the change; entries with a
 *     later cycle have taken the change into account
 * @param job the job whose attempt ended; null for other kinds
 * @param team the team whose usage decreased; null for other kinds
 */
public record ClusterEvent(
    Kind kind,
    Machine machine,
    Resources freeCapacity,
    long lastCycleNumber,
    Job job,
    String team) {
  /** The kinds of cluster events. */
  public enum Kind {
    /** An attempt on a schedulable machine has ended. */
    CAPACITY_FREED,
    /** A machine has become schedulable. */
    MACHINE_READY,
    /** A team's resource usage has decreased. */
    TEAM_USAGE_REDUCED,
    /** An attempt of a job no longer holds capacity. */
    ATTEMPT_ENDED
  }

  /** Returns the event for capacity freed by an attempt that ended on the machine. */
  public static ClusterEvent capacityFreed(
      Machine machine, Resources freeCapacity, long lastCycleNumber) {
    return new ClusterEvent(
        Kind.CAPACITY_FREED, machine, freeCapacity, lastCycleNumber, null, null);
  }

  /** Returns the event for a machine that has become schedulable or gained capacity. */
  public static ClusterEvent machineReady(
      Machine machine, Resources freeCapacity, long lastCycleNumber) {
    return new ClusterEvent(Kind.MACHINE_READY, machine, freeCapacity, lastCycleNumber, null, null);
  }

  /** Returns the event for a decrease of the team's resource usage. */
  public static ClusterEvent teamUsageReduced(String team) {
    return new ClusterEvent(Kind.TEAM_USAGE_REDUCED, null, null, Long.MAX_VALUE, null, team);
  }

  /** Returns the event for an attempt of the job that no longer holds capacity. */
  public static ClusterEvent attemptEnded(Job job) {
    return new ClusterEvent(Kind.ATTEMPT_ENDED, null, null, Long.MAX_VALUE, job, null);
  }
}
