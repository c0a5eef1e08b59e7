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
 * Decides which machines of unreachable zones to release.
 *
 * <p>A task is started elsewhere only once its machine is proven gone, and the proof is the
 * machine's release, which also discards its cached images and the cost of its boot. A machine is
 * therefore released only if its tasks may run in other zones and would start there before the zone
 * is expected to recover. Machines with higher-priority tasks go first, and no more are released at
 * a time than the other zones can absorb.
 */
final class ZoneOutagePolicy {
  /** If a zone is expected to stay unreachable for longer, all its machines are released. */
  private static final Duration MAX_EXPECTED_OUTAGE = Duration.ofMinutes(10);

  /** At most the other zones' machines divided by this may boot as replacements at a time. */
  private static final int REPLACEMENT_DIVISOR = 20;

  private final ClusterState cluster;
  private final CapacityEstimates estimates;
  private final Zones zones;

  ZoneOutagePolicy(ClusterState cluster, CapacityEstimates estimates, Zones zones) {
    this.cluster = cluster;
    this.estimates = estimates;
    this.zones = zones;
  }

  /** Machine counts of the reachable zones. */
  private static final class OtherZones {
    int confirmed;
    int booting;

    /** The free capacity of schedulable machines, in units of whole machines. */
    double freeMachines;

    int maxReleases() {
      // Machines that are booting replace machines released earlier.
      return (int) Math.max(1, freeMachines)
          + Math.max(1, confirmed / REPLACEMENT_DIVISOR)
          - booting;
    }
  }

  /**
   * Selects the machines to release now.
   *
   * @param candidates silent machines of unreachable zones whose tasks should have ended by now
   */
  List<Machine> machinesToRelease(List<Machine> candidates, Instant now) {
    if (candidates.isEmpty()) {
      return List.of();
    }
    OtherZones otherZones = surveyOtherZones();
    if (otherZones.confirmed == 0) {
      // No zone is reachable. If nothing were released, failed machines would be kept forever.
      return candidates;
    }
    List<Machine> ordered = new ArrayList<>();
    Map<Machine, Integer> priorities = new HashMap<>();
    for (Machine machine : candidates) {
      if (zones.expectedRemainingOutage(machine.zone, now).compareTo(MAX_EXPECTED_OUTAGE) > 0) {
        ordered.add(machine);
        priorities.put(machine, Integer.MAX_VALUE);
        continue;
      }
      int priority = highestMovablePriority(machine);
      if (priority >= 0 && isFasterInOtherZones(machine, otherZones.freeMachines, now)) {
        ordered.add(machine);
        priorities.put(machine, priority);
      }
    }
    ordered.sort(Comparator.comparing(priorities::get));
    int maxReleases = otherZones.maxReleases();
    return maxReleases <= 0 ? List.of() : ordered.subList(0, Math.min(maxReleases, ordered.size()));
  }

  private OtherZones surveyOtherZones() {
    OtherZones otherZones = new OtherZones();
    for (Machine machine : cluster.machines()) {
      if (!zones.isUnreachable(machine.zone)) {
        switch (machine.state()) {
          case CONFIRMED -> {
            otherZones.confirmed++;
            otherZones.freeMachines +=
                machine.isSchedulable() ? estimates.utilization().freeShare(machine) : 0;
          }
          case EXPECTED, HEARD -> otherZones.booting++;
          default -> {}
        }
      }
    }
    return otherZones;
  }

  /** Whether a task could start in another zone before this zone is expected to recover. */
  private boolean isFasterInOtherZones(Machine machine, double freeMachines, Instant now) {
    MachineType type = machine.type;
    Duration ready = estimates.imageFetch().fetchTime(type);
    if (freeMachines < 1) {
      ready = ready.plus(type.bootTime());
    }
    return ready.compareTo(zones.expectedRemainingOutage(machine.zone, now)) < 0;
  }

  /**
   * The ordinal of the highest priority class among the machine's tasks that may run in another
   * zone; -1 if there is none.
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

  /** Whether a task of the job may run in another reachable zone. */
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
