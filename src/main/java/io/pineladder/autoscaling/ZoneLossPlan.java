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
 * What to do about the machines of a zone that is gone. A task starts elsewhere only once its
 * machine is proven gone, and the proof is the machine's return, which throws away warm images and
 * paid boots. So a machine goes only if what is on it can go elsewhere and would serve there sooner
 * than the zone is likely to be back, production first, and no more at a time than the zones that
 * live can take.
 */
final class ZoneLossPlan {
  /** A zone that is gone for longer is given up with all that is in it. */
  private static final Duration MAX_EXPECTED_OUTAGE = Duration.ofMinutes(10);

  /** Of the machines that live so many parts may be awaited anew at a time. */
  private static final int REPLACEMENT_DIVISOR = 20;

  private final ClusterState cluster;
  private final ScaleOut scaleOut;
  private final Zones zones;

  ZoneLossPlan(ClusterState cluster, ScaleOut scaleOut, Zones zones) {
    this.cluster = cluster;
    this.scaleOut = scaleOut;
    this.zones = zones;
  }

  /**
   * Of the machines that nobody has heard for longer than their tasks can live, those to return
   * now.
   */
  List<Machine> machinesToRelease(List<Machine> lost, Instant now) {
    if (lost.isEmpty()) {
      return List.of();
    }
    int alive = 0;
    int booting = 0;
    double freeMachines = 0;
    for (Machine machine : cluster.machines()) {
      if (!zones.isUnreachable(machine.zone)) {
        switch (machine.state()) {
          case CONFIRMED -> {
            alive++;
            freeMachines += machine.isSchedulable() ? scaleOut.freeShare(machine) : 0;
          }
          case EXPECTED, HEARD -> booting++;
          default -> {}
        }
      }
    }
    if (alive == 0) {
      // No zone lives to go by, and machines that have all died would never be given up.
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
      if (priority >= 0 && isFasterElsewhere(machine, freeMachines, now)) {
        ordered.add(machine);
        priorities.put(machine, priority);
      }
    }
    ordered.sort(Comparator.comparing(priorities::get));
    // What boots already is for what was given up before.
    int maxReleases =
        (int) Math.max(1, freeMachines) + Math.max(1, alive / REPLACEMENT_DIVISOR) - booting;
    return maxReleases <= 0 ? List.of() : ordered.subList(0, Math.min(maxReleases, ordered.size()));
  }

  /** Whether a task of the machine would serve elsewhere before the zone is likely to be back. */
  private boolean isFasterElsewhere(Machine machine, double freeMachines, Instant now) {
    MachineType type = machine.type;
    Duration ready = scaleOut.fetchTime(type);
    if (freeMachines < 1) {
      ready = ready.plus(type.bootTime());
    }
    return ready.compareTo(zones.expectedRemainingOutage(machine.zone, now)) < 0;
  }

  /** The rank of the most urgent task on it that may run in another zone; -1 when there is none. */
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

  private boolean canMoveFrom(Job job, Machine from) {
    int maxPerZone = (job.spec.tasks() + 1) / 2;
    Map<String, Integer> attemptsByZone = new HashMap<>();
    if (job.spec.spreadAcrossZones()) {
      job.attempts.values().stream()
          .flatMap(of -> of.stream())
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
