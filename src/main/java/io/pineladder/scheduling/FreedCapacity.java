package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.ClusterEvent;
import io.pineladder.queue.SchedulingQueue;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes freed capacity as queue events, and offers capacity that the first entries could not
 * use to the entries after them.
 */
final class FreedCapacity {
  private final EventLoop eventLoop;
  private final PendingJobs pendingJobs;
  private final SchedulingQueue queue;

  /**
   * Machines with freed capacity, with the number of the last scheduling cycle before it was freed.
   */
  private final Map<Machine, Long> lastCycleNumberByMachine = new LinkedHashMap<>();

  FreedCapacity(EventLoop eventLoop, PendingJobs pendingJobs) {
    this.eventLoop = eventLoop;
    this.pendingJobs = pendingJobs;
    this.queue = pendingJobs.queue();
  }

  /**
   * Handles the end of an attempt, which frees capacity on its machine and reduces the usage of its
   * team.
   */
  void onAttemptEnded(Attempt attempt) {
    Machine machine = attempt.machine;
    Instant now = eventLoop.now();
    queue.onEvent(ClusterEvent.teamUsageReduced(attempt.job.spec.team()), now);
    if (machine.isSchedulable()) {
      lastCycleNumberByMachine.put(machine, queue.cycleCount());
      queue.onEvent(ClusterEvent.capacityFreed(machine, machine.free(), queue.cycleCount()), now);
    }
    queue.onEvent(ClusterEvent.attemptEnded(attempt.job), now);
    pendingJobs.requestRun();
  }

  /** Handles a machine that has become schedulable or gained capacity. */
  void onMachineReady(Machine machine) {
    lastCycleNumberByMachine.put(machine, queue.cycleCount());
    queue.onEvent(
        ClusterEvent.machineReady(machine, machine.free(), queue.cycleCount()), eventLoop.now());
    pendingJobs.requestRun();
  }

  /**
   * Offers the remaining freed capacity to entries that have had no scheduling cycle since. An
   * event activates no more entries than the capacity holds, and those may be unable to use it, for
   * example because of their team's limit; without this step the capacity would stay idle.
   *
   * @return whether any entry is active now
   */
  boolean reoffer(Instant now) {
    boolean activated = false;
    for (Map.Entry<Machine, Long> entry : lastCycleNumberByMachine.entrySet()) {
      Machine machine = entry.getKey();
      if (machine.isSchedulable()) {
        ClusterEvent event = ClusterEvent.capacityFreed(machine, machine.free(), entry.getValue());
        activated |= queue.onEvent(event, now);
      }
    }
    return activated && queue.hasActive();
  }

  /** Removes and returns the machines whose freed capacity no entry can use. */
  List<Machine> drain() {
    List<Machine> machines = List.copyOf(lastCycleNumberByMachine.keySet());
    lastCycleNumberByMachine.clear();
    return machines;
  }
}
