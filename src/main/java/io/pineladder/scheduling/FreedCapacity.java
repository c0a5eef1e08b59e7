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
 * Announces freed capacity to the queue, and offers what the first entries could not use to those
 * that follow.
 */
final class FreedCapacity {
  private final EventLoop eventLoop;
  private final PendingJobs pendingJobs;
  private final SchedulingQueue queue;

  /** Machines with freed capacity, with the number of scheduling cycles run by then. */
  private final Map<Machine, Long> lastCycleByMachine = new LinkedHashMap<>();

  FreedCapacity(EventLoop eventLoop, PendingJobs pendingJobs) {
    this.eventLoop = eventLoop;
    this.pendingJobs = pendingJobs;
    this.queue = pendingJobs.queue();
  }

  /** The attempt no longer takes capacity on its machine, nor of its team's limit. */
  void onAttemptEnded(Attempt attempt) {
    Machine machine = attempt.machine;
    Instant now = eventLoop.now();
    queue.onEvent(ClusterEvent.teamUsageReduced(attempt.job.spec.team()), now);
    if (machine.isSchedulable()) {
      lastCycleByMachine.put(machine, queue.cycles());
      queue.onEvent(ClusterEvent.capacityFreed(machine, machine.free(), queue.cycles()), now);
    }
    queue.onEvent(ClusterEvent.attemptGone(attempt.job), now);
    pendingJobs.requestRun();
  }

  /** The machine has become schedulable, or has more capacity than before. */
  void onMachineReady(Machine machine) {
    lastCycleByMachine.put(machine, queue.cycles());
    queue.onEvent(
        ClusterEvent.machineReady(machine, machine.free(), queue.cycles()), eventLoop.now());
    pendingJobs.requestRun();
  }

  /**
   * Offers what is left of the freed capacity to entries that have had no scheduling cycle since.
   * An event activates no more entries than the capacity holds, and those may not be able to use
   * it, for their team's limit for example; without this it would stay idle.
   *
   * @return whether any entry is active now
   */
  boolean reoffer(Instant now) {
    boolean activated = false;
    for (Map.Entry<Machine, Long> entry : lastCycleByMachine.entrySet()) {
      Machine machine = entry.getKey();
      if (machine.isSchedulable()) {
        ClusterEvent event = ClusterEvent.capacityFreed(machine, machine.free(), entry.getValue());
        activated |= queue.onEvent(event, now);
      }
    }
    return activated && queue.hasActive();
  }

  /** Removes and returns the machines whose freed capacity no entry wants. */
  List<Machine> drain() {
    List<Machine> machines = List.copyOf(lastCycleByMachine.keySet());
    lastCycleByMachine.clear();
    return machines;
  }
}
