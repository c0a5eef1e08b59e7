package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;
import io.pineladder.model.Shape;
import io.pineladder.model.Team;
import io.pineladder.queue.Check;
import io.pineladder.store.Records;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The checks that a placement must pass, and the choice among the machines that pass them. */
public final class Placer {
  private final Cluster cluster;

  /** A machine's stored record must fit into one value; each placement takes part of it. */
  private final int mostAttempts;

  public Placer(Cluster cluster) {
    this.cluster = cluster;
    this.mostAttempts = Math.max(1, (cluster.settings.store().valueBytes() - 600 - Records.IMAGES_KEPT * 230) / 180);
  }

  /** Machines for all of a gang's tasks or for one other task, or the check that said no. */
  public record Decision(List<Machine> machines, Check rejectedBy) {
    static Decision no(Check by) {
      return new Decision(null, by);
    }

    public boolean isPlaced() {
      return rejectedBy == null;
    }
  }

  /** Decides for one task of an array or service, or for a gang as a whole. */
  public Decision place(Job job, Instant now) {
    return place(job, job.spec.shape() == Shape.GANG ? job.spec.tasks() : 1, now);
  }

  /** Decides for so many tasks, which all get a place or none does. */
  Decision place(Job job, int wanted, Instant now) {
    JobSpec spec = job.spec;
    Team team = cluster.team(spec.team());
    Resources after = cluster.usage(spec.team()).plus(spec.each().times(wanted));
    if (team == null || !team.allows(after)) {
      return Decision.no(Check.TEAM_LIMIT);
    }
    List<Machine> allowed = new ArrayList<>();
    boolean anyAllowed = false;
    for (Machine machine : cluster.machines.values()) {
      if (!isAllowed(job, machine)) {
        continue;
      }
      anyAllowed = true;
      if (machine.takesWork()
          && machine.attempts.size() < mostAttempts
          && spec.each().fitsIn(room(job, machine, now))) {
        allowed.add(machine);
      }
    }
    if (allowed.isEmpty()) {
      return Decision.no(anyAllowed ? Check.FIT : Check.PLACE);
    }
    return spec.together() ? together(job, wanted, allowed, now) : free(job, wanted, allowed, now);
  }

  /** Type, zone, kind, and no earlier failure of this job there. */
  static boolean isAllowed(Job job, Machine machine) {
    JobSpec spec = job.spec;
    return spec.allowsType(machine.type.name())
        && spec.allowsZone(machine.zone)
        && (spec.spotAllowed() || !machine.spot)
        && !job.avoid.contains(machine.name);
  }

  /** Whether one more task there keeps to the job's wishes about zones. */
  static boolean mayTake(Job job, Machine machine) {
    Map<String, Integer> zones = byZone(job);
    if (job.spec.together() && !zones.isEmpty() && !zones.containsKey(machine.zone)) {
      return false;
    }
    return !job.spec.spread()
        || zones.getOrDefault(machine.zone, 0) < (job.spec.tasks() + 1) / 2;
  }

  /** What a job may take of a machine: free room less what is kept there for another job. */
  static Resources room(Job job, Machine machine, Instant now) {
    Resources free = machine.free();
    boolean kept =
        machine.reservedFor != null
            && machine.reservedFor != job
            && machine.reservedUntil.isAfter(now)
            && !job.spec.rank().isAbove(machine.reservedFor.spec.rank());
    return kept ? free.minus(machine.reserved) : free;
  }

  /** Everything of a job that may be somewhere, by zone. */
  private static Map<String, Integer> byZone(Job job) {
    Map<String, Integer> zones = new HashMap<>();
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt attempt : attempts) {
        zones.merge(attempt.machine.zone, 1, Integer::sum);
      }
    }
    return zones;
  }

  private Decision together(Job job, int wanted, List<Machine> allowed, Instant now) {
    Set<String> taken = byZone(job).keySet();
    Set<String> zones = new LinkedHashSet<>();
    for (Machine machine : allowed) {
      if (taken.isEmpty() || (taken.size() == 1 && taken.contains(machine.zone))) {
        zones.add(machine.zone);
      }
    }
    List<Machine> best = null;
    double bestCost = Double.MAX_VALUE;
    for (String zone : zones) {
      List<Machine> there = allowed.stream().filter(m -> m.zone.equals(zone)).toList();
      List<Machine> chosen = fill(job, wanted, there, Map.of(), Integer.MAX_VALUE, now);
      if (chosen != null) {
        double worst = 0;
        for (Machine machine : chosen) {
          worst = Math.max(worst, cost(job, machine));
        }
        if (worst < bestCost) {
          best = chosen;
          bestCost = worst;
        }
      }
    }
    return best == null ? Decision.no(wanted > 1 && taken.isEmpty() ? Check.FIT : Check.TOGETHER)
        : new Decision(best, null);
  }

  private Decision free(Job job, int wanted, List<Machine> allowed, Instant now) {
    Map<String, Integer> zones = job.spec.spread() ? byZone(job) : Map.of();
    int most = job.spec.spread() ? (job.spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
    List<Machine> chosen = fill(job, wanted, allowed, zones, most, now);
    if (chosen != null) {
      return new Decision(chosen, null);
    }
    return Decision.no(job.spec.spread() ? Check.SPREAD : Check.FIT);
  }

  /** Takes the cheapest machine again and again, or gives up; nothing is changed. */
  private List<Machine> fill(
      Job job,
      int wanted,
      List<Machine> allowed,
      Map<String, Integer> zones,
      int mostInZone,
      Instant now) {
    Resources each = job.spec.each();
    Map<Machine, Integer> planned = new HashMap<>();
    Map<String, Integer> inZone = new HashMap<>(zones);
    List<Machine> chosen = new ArrayList<>(wanted);
    for (int i = 0; i < wanted; i++) {
      Machine best = null;
      double bestCost = Double.MAX_VALUE;
      for (Machine machine : allowed) {
        int here = planned.getOrDefault(machine, 0);
        if (inZone.getOrDefault(machine.zone, 0) >= mostInZone
            || machine.attempts.size() + here >= mostAttempts
            || (here > 0 && !each.times(here + 1L).fitsIn(room(job, machine, now)))) {
          continue;
        }
        double cost = cost(job, machine) + here * 1e-6;
        if (cost < bestCost) {
          best = machine;
          bestCost = cost;
        }
      }
      if (best == null) {
        return null;
      }
      chosen.add(best);
      planned.merge(best, 1, Integer::sum);
      inZone.merge(best.zone, 1, Integer::sum);
    }
    return chosen;
  }

  /**
   * What speaks against a machine, in seconds: mostly the time until the image is there. A job that
   * may use spot machines leaves the others to those that may not, and fuller machines come first
   * so that some become empty and can be returned.
   */
  static double cost(Job job, Machine machine) {
    JobSpec spec = job.spec;
    double cost = fetchSeconds(job, machine);
    if (spec.spotAllowed() && !machine.spot) {
      cost += 3;
    }
    cost += 1 - machine.used.shareOf(machine.type.size());
    return cost;
  }

  /** How long the image takes to get there, given what else is being fetched. */
  static double fetchSeconds(Job job, Machine machine) {
    String image = job.spec.image();
    if (machine.images.containsKey(image)) {
      return 0;
    }
    double gb = job.spec.imageGb();
    for (Attempt attempt : machine.attempts.values()) {
      if (!isFetching(attempt) || machine.images.containsKey(attempt.job.spec.image())) {
        continue;
      }
      if (attempt.job.spec.image().equals(image)) {
        return 0.5 * job.spec.imageGb() / machine.type.fetchGbPerSecond();
      }
      gb += attempt.job.spec.imageGb();
    }
    return gb / Math.max(1e-3, machine.type.fetchGbPerSecond());
  }

  private static boolean isFetching(Attempt attempt) {
    return switch (attempt.state()) {
      case STORING, STORED, FETCHING -> true;
      default -> false;
    };
  }
}
