package io.pineladder.autoscaling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which machines of an unreachable zone to release. A task starts elsewhere only once its
 * machine is proven gone, and the proof is the machine's release, which discards cached images and
 * boots that were paid for. So a machine is released only if its tasks may run elsewhere and would
 * run there sooner than the zone is likely to be back, production first, and no more at a time than
 * the other zones can take.
 */
final class ZoneOutagePolicy {
  /** Of a zone that is likely to stay unreachable for longer all machines are released. */
  private static final Duration MAX_EXPECTED_OUTAGE = Duration.ofMinutes(10);

  /** Replacements may boot at a time for the machines of the other zones divided by this. */
  private static final int REPLACEMENT_DIVISOR = 20;

  private final ClusterState cluster;
  private final CapacityEstimates estimates;
  private final Zones zones;

  ZoneOutagePolicy(ClusterState cluster, CapacityEstimates estimates, Zones zones) {
    this.cluster = cluster;
    this.estimates = estimates;
    this.zones = zones;
  }

  /** The machines of the zones that are not unreachable. */
  private static final class OtherZones {
    int confirmed;
    int booting;

    /** What is free on schedulable machines, as a number of machines. */
    double freeMachines;

    /** How many machines may be released now. */
    int maxReleases() {
      // Machines that boot already are for what was released before.
      return (int) Math.max(1, freeMachines)
          + Math.max(1, confirmed / REPLACEMENT_DIVISOR)
          - booting;
    }
  }

  /**
   * Selects the machines to release now.
   *
   * @param lost silent machines of unreachable zones whose tasks should have ended by now
   */
  List<Machine> machinesToRelease(List<Machine> lost, Instant now) {
    if (lost.isEmpty()) {
      return List.of();
    }
    OtherZones elsewhere = surveyOtherZones();
    if (elsewhere.confirmed == 0) {
      // No zone is up to compare with, and machines that have all died would never be given up.
      return lost;
    }
    List<Machine> ordered = new ArrayList<>();
    Map<Machine, Integer> priorities = new HashMap<>();
    for (Machine machine : lost) {
      if (zones.expectedRemainingOutage(machine.zone, now).compareTo(MAX_EXPECTED_OUTAGE) > 0) {
        ordered.add(machine);
        priorities.put(machine, Integer.MAX_VALUE);
        continue;
      }
      int priority = highestMovablePriority(machine);
      if (priority >= 0 && isFasterInOtherZones(machine, elsewhere.freeMachines, now)) {
        ordered.add(machine);
        priorities.put(machine, priority);
      }
    }
    ordered.sort(Comparator.comparing(priorities::get));
    int maxReleases = elsewhere.maxReleases();
    return maxReleases <= 0 ? List.of() : ordered.subList(0, Math.min(maxReleases, ordered.size()));
  }

  private OtherZones surveyOtherZones() {
    OtherZones elsewhere = new OtherZones();
    for (Machine machine : cluster.machines()) {
      if (!zones.isUnreachable(machine.zone)) {
        switch (machine.state()) {
          case CONFIRMED -> {
            elsewhere.confirmed++;
            elsewhere.freeMachines +=
                machine.isSchedulable() ? estimates.utilization().freeShare(machine) : 0;
          }
          case EXPECTED, HEARD -> elsewhere.booting++;
          default -> {}
        }
      }
    }
    return elsewhere;
  }

  /** Whether a task of the machine would run elsewhere before the zone is likely to be back. */
  private boolean isFasterInOtherZones(Machine machine, double freeMachines, Instant now) {
    MachineType type = machine.type;
    Duration ready = estimates.imageFetch().fetchTime(type);
    if (freeMachines < 1) {
      ready = ready.plus(type.bootTime());
    }
    return ready.compareTo(zones.expectedRemainingOutage(machine.zone, now)) < 0;
  }

  /**
   * The ordinal of the highest priority class of a task on it that may run in another zone; -1 if
   * there is none.
   */
  private int highestMovablePriority(Machine machine) {
    int highest = -1;
    for (Attempt attempt : machine.attempts.values()) {
      Job job = attempt.job;
      if (attempt.holdsCapacity()
          && attempt.isWanted()
          && job.isActive()
          && canMoveFrom(job, machine)) {
        int priority = job.priorityClass().ordinal();
        highest = highest < 0 ? priority : Math.min(highest, priority);
      }
    }
    return highest;
  }

  /** Whether a task of the job may run in another zone, one that is not unreachable. */
  private boolean canMoveFrom(Job job, Machine from) {
    int maxPerZone = (job.spec.tasks() + 1) / 2;
    Map<String, Integer> attemptsByZone = new HashMap<>();
    if (job.spec.spreadAcrossZones()) {
      job.attempts.values().stream()
          .flatMap(attempts -> attempts.stream())
          .forEach(a -> attemptsByZone.merge(a.machine.zone, 1, Integer::sum));
    }
    for (String zone : from.type.zones()) {
      if (!zone.equals(from.zone)
          && !zones.isUnreachable(zone)
          && job.spec.allowsZone(zone)
          && (!job.spec.spreadAcrossZones() || attemptsByZone.getOrDefault(zone, 0) < maxPerZone)) {
        return true;
      }
    }
    return false;
  }
}
