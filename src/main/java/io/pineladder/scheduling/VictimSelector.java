package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Finds the work whose stopping costs least and lets a job of higher priority in. */
final class VictimSelector {
  /** What speaks against stopping a task that its job cannot start again in time, in seconds. */
  private static final double LATE = 60;

  private final ClusterState cluster;
  private final EventLoop eventLoop;

  VictimSelector(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /** Attempts to stop on one machine, and what that costs, in seconds. */
  record Plan(Machine machine, List<Attempt> victims, double loss) {}

  /** On how many machines work stopped for this job is still leaving. */
  int waiting(Job job, Instant now) {
    int count = 0;
    for (Machine machine : cluster.reservedFor(job)) {
      if (machine.reservationExpiresAt.isAfter(now)
          && machine.isSchedulable()
          && !job.spec.resourcesPerTask().fitsIn(machine.free())) {
        count++;
      }
    }
    return count;
  }

  /**
   * Room for up to so many tasks of the job, each on a machine of its own where its image takes at
   * most so long to arrive; the cheapest first. One look at the fleet serves them all: a look for
   * each stopped a leader for seconds when a large job was turned away.
   *
   * @param presses whether work of which something is expected may be stopped for it
   */
  List<Plan> plans(Job job, int wanted, double mostFetchSeconds, boolean presses, Instant now) {
    Look look = new Look(job, presses, now);
    List<Plan> plans = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      if (!machine.isSchedulable()
          || !Placer.isAllowed(job, machine)
          || (machine.reservedFor == job && machine.reservationExpiresAt.isAfter(now))
          || !Placer.mayTake(job, machine)) {
        continue;
      }
      double fetch = Placer.fetchSeconds(job, machine);
      Plan plan = fetch > mostFetchSeconds ? null : look.plan(machine, fetch);
      if (plan != null) {
        plans.add(plan);
      }
    }
    plans.sort(Comparator.comparingDouble(Plan::loss));
    return plans.subList(0, Math.min(wanted, plans.size()));
  }

  /**
   * Room for all tasks of a gang, on machines that have it or where work makes way, in one zone if
   * they must be together; empty when there is not enough. Room for a part of it would stop work
   * for a gang that may not be able to start. Found on laval-ops: a guest's work of low rank filled
   * every machine, and gangs of two waited until two happened to be empty at once.
   */
  List<Plan> gangPlans(Job job, Instant now) {
    JobSpec spec = job.spec;
    if (spec.spreadAcrossZones()) {
      return List.of();
    }
    Look look = new Look(job, true, now);
    Map<String, List<Plan>> zones = new LinkedHashMap<>();
    for (Machine machine : cluster.machines()) {
      if (!machine.isSchedulable() || !Placer.isAllowed(job, machine)) {
        continue;
      }
      double fetch = Placer.fetchSeconds(job, machine);
      long free = spec.resourcesPerTask().timesFittingIn(Placer.room(job, machine, now));
      Plan plan = free > 0 ? new Plan(machine, List.of(), fetch) : look.plan(machine, fetch);
      if (plan != null) {
        List<Plan> there =
            zones.computeIfAbsent(spec.sameZone() ? machine.zone : "", z -> new ArrayList<>());
        for (long i = 0; i < Math.max(1, Math.min(free, spec.tasks())); i++) {
          there.add(plan);
        }
      }
    }
    List<Plan> best = List.of();
    for (List<Plan> there : zones.values()) {
      if (there.size() >= spec.tasks()) {
        there.sort(Comparator.comparingDouble(Plan::loss));
        List<Plan> first = there.subList(0, spec.tasks());
        if (best.isEmpty() || loss(first) < loss(best)) {
          best = first;
        }
      }
    }
    return best;
  }

  private static double loss(List<Plan> plans) {
    return plans.stream().mapToDouble(Plan::loss).sum();
  }

  /** One look at the fleet for one job, with what it has found out about other jobs. */
  private final class Look {
    private final Job job;
    private final Instant now;
    private final boolean guaranteed;
    private final boolean presses;

    /** What speaks against stopping any task of a job, in seconds; infinite if that may not be. */
    private final Map<Job, Double> penalties = new IdentityHashMap<>();

    Look(Job job, boolean presses, Instant now) {
      this.job = job;
      this.presses = presses;
      this.now = now;
      Team team = cluster.team(job.spec.team());
      guaranteed =
          cluster.isGuaranteed(job)
              && team.guarantees(
                  cluster
                      .usage(job.spec.team())
                      .plus(
                          job.spec.kind() == JobKind.GANG
                              ? job.spec.minimumResources()
                              : job.spec.resourcesPerTask()));
    }

    private double penalty(Job victim) {
      if (!mayDisplace(job, victim, guaranteed) || !(presses || cluster.hasNoObjective(victim))) {
        return Double.POSITIVE_INFINITY;
      }
      return cluster.wouldMissObjectiveAfterRestart(victim, eventLoop.wallClock()) ? LATE : 0;
    }

    Plan plan(Machine machine, double fetch) {
      Resources each = job.spec.resourcesPerTask();
      Resources room = Placer.room(job, machine, now);
      Resources most = room;
      List<Victim> candidates = new ArrayList<>();
      for (Attempt attempt : machine.attempts.values()) {
        if (!attempt.holdsCapacity()) {
          continue;
        }
        Resources held = attempt.job.spec.resourcesPerTask();
        if (!attempt.isWanted()) {
          // It is leaving anyway.
          room = room.plus(held);
          most = most.plus(held);
          continue;
        }
        double penalty = penalties.computeIfAbsent(attempt.job, this::penalty);
        if (penalty != Double.POSITIVE_INFINITY) {
          candidates.add(new Victim(attempt, lostWork(attempt, now) + penalty));
          most = most.plus(held);
        }
      }
      if (!each.fitsIn(most) || each.fitsIn(room)) {
        return null;
      }
      candidates.sort(Comparator.comparingDouble(Victim::loss));
      List<Attempt> victims = new ArrayList<>();
      double loss = fetch;
      for (Victim candidate : candidates) {
        Resources held = candidate.attempt.job.spec.resourcesPerTask();
        // Stopping what holds nothing of what is lacking would help nobody.
        if (!each.fitsIn(room) && held.relievesShortage(each, room)) {
          victims.add(candidate.attempt);
          loss += candidate.loss;
          room = room.plus(held);
        }
      }
      return new Plan(machine, victims, loss);
    }
  }

  /** Work that may be stopped, and what that would cost, in seconds. */
  private record Victim(Attempt attempt, double loss) {}

  /** A higher rank, or a guarantee against what another team has beyond its own. */
  private boolean mayDisplace(Job job, Job victim, boolean guaranteed) {
    boolean victimGuaranteed = cluster.isGuaranteed(victim);
    if (job.priorityClass().isAbove(victim.priorityClass())) {
      return guaranteed || !victimGuaranteed;
    }
    return guaranteed && !victimGuaranteed && !victim.spec.team().equals(job.spec.team());
  }

  /** Seconds of work that stopping it throws away. */
  private static double lostWork(Attempt attempt, Instant now) {
    Instant from = attempt.runningSince == null ? attempt.createdAt : attempt.runningSince;
    Duration ran = Duration.between(from, now);
    if (attempt.job.spec.isCheckpointed()) {
      Duration save = attempt.job.spec.checkpointDuration();
      return Math.min(ran.toMillis(), save.toMillis()) / 1000.0;
    }
    return ran.toMillis() / 1000.0;
  }
}
