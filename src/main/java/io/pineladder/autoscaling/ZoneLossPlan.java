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
  private static final Duration MOST_KEPT = Duration.ofMinutes(10);

  /** Of the machines that live so many parts may be awaited anew at a time. */
  private static final int PART = 20;

  private final ClusterState cluster;
  private final ScaleOut renting;
  private final Zones zones;

  ZoneLossPlan(ClusterState cluster, ScaleOut renting, Zones zones) {
    this.cluster = cluster;
    this.renting = renting;
    this.zones = zones;
  }

  /**
   * Of the machines that nobody has heard for longer than their tasks can live, those to return
   * now.
   */
  List<Machine> toGiveUp(List<Machine> lost, Instant now) {
    if (lost.isEmpty()) {
      return List.of();
    }
    int alive = 0;
    int coming = 0;
    double spare = 0;
    for (Machine machine : cluster.machines()) {
      if (!zones.isGone(machine.zone)) {
        switch (machine.state()) {
          case CONFIRMED -> {
            alive++;
            spare += machine.isSchedulable() ? renting.free(machine) : 0;
          }
          case EXPECTED, HEARD -> coming++;
          default -> {}
        }
      }
    }
    if (alive == 0) {
      // No zone lives to go by, and machines that have all died would never be given up.
      return lost;
    }
    List<Machine> ordered = new ArrayList<>();
    Map<Machine, Integer> urgency = new HashMap<>();
    for (Machine machine : lost) {
      if (zones.expectedAway(machine.zone, now).compareTo(MOST_KEPT) > 0) {
        ordered.add(machine);
        urgency.put(machine, Integer.MAX_VALUE);
        continue;
      }
      int rank = mostUrgentElsewhere(machine);
      if (rank >= 0 && servesSooner(machine, spare, now)) {
        ordered.add(machine);
        urgency.put(machine, rank);
      }
    }
    ordered.sort(Comparator.comparing(urgency::get));
    // What boots already is for what was given up before.
    int most = (int) Math.max(1, spare) + Math.max(1, alive / PART) - coming;
    return most <= 0 ? List.of() : ordered.subList(0, Math.min(most, ordered.size()));
  }

  /** Whether a task of the machine would serve elsewhere before the zone is likely to be back. */
  private boolean servesSooner(Machine machine, double spare, Instant now) {
    MachineType type = machine.type;
    Duration ready = renting.fetchTime(type);
    if (spare < 1) {
      ready = ready.plus(type.bootTime());
    }
    return ready.compareTo(zones.expectedAway(machine.zone, now)) < 0;
  }

  /** The rank of the most urgent task on it that may run in another zone; -1 when there is none. */
  private int mostUrgentElsewhere(Machine machine) {
    int best = -1;
    for (Attempt attempt : machine.attempts.values()) {
      Job job = attempt.job;
      if (attempt.holdsCapacity()
          && attempt.isWanted()
          && job.isActive()
          && mayMove(job, machine)) {
        int rank = job.priorityClass().ordinal();
        best = best < 0 ? rank : Math.min(best, rank);
      }
    }
    return best;
  }

  private boolean mayMove(Job job, Machine from) {
    int most = (job.spec.tasks() + 1) / 2;
    Map<String, Integer> there = new HashMap<>();
    if (job.spec.spreadAcrossZones()) {
      job.attempts.values().stream()
          .flatMap(of -> of.stream())
          .forEach(a -> there.merge(a.machine.zone, 1, Integer::sum));
    }
    for (String zone : from.type.zones()) {
      if (!zone.equals(from.zone)
          && !zones.isGone(zone)
          && job.spec.allowsZone(zone)
          && (!job.spec.spreadAcrossZones() || there.getOrDefault(zone, 0) < most)) {
        return true;
      }
    }
    return false;
  }
}
