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

/**
 * Selects the attempts whose preemption costs least and frees the capacity that a job of higher
 * priority or within its guarantee needs. Costs are in seconds of lost work and delay.
 */
final class VictimSelector {
  /** The cost of preempting a task whose job would miss an objective by the restart. */
  private static final double MISSED_OBJECTIVE_COST_SECONDS = 60;

  private final ClusterState cluster;
  private final EventLoop eventLoop;

  VictimSelector(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /** Attempts to preempt on one machine, and what that costs, the image's fetch included. */
  record PreemptionPlan(Machine machine, List<Attempt> victims, double costSeconds) {}

  /** On how many machines reserved for this job preempted work has not ended yet. */
  int countMachinesBeingFreed(Job job, Instant now) {
    int count = 0;
    for (Machine machine : cluster.reservedFor(job)) {
      if (machine.isReservedFor(job, now)
          && machine.isSchedulable()
          && !job.spec.resourcesPerTask().fitsIn(machine.free())) {
        count++;
      }
    }
    return count;
  }

  /**
   * Selects victims for up to that many tasks of the job, each task on a machine of its own; the
   * cheapest plans first. One scan of the fleet serves them all: a scan for each task blocked a
   * leader for seconds when a large job was rejected.
   *
   * @param maxFetchSeconds only machines on which the job's image is cached by then
   * @param urgent whether work that has an objective may be preempted for it
   */
  List<PreemptionPlan> selectForTasks(
      Job job, int taskCount, double maxFetchSeconds, boolean urgent, Instant now) {
    FleetScan scan = new FleetScan(job, urgent, now);
    List<PreemptionPlan> plans = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      if (!machine.isSchedulable()
          || !Placer.isAllowed(job, machine)
          || machine.isReservedFor(job, now)
          || !Placer.allowsZoneOf(job, machine)) {
        continue;
      }
      double fetchSeconds = Placer.fetchSeconds(job, machine);
      PreemptionPlan plan =
          fetchSeconds > maxFetchSeconds ? null : scan.plan(machine, fetchSeconds);
      if (plan != null) {
        plans.add(plan);
      }
    }
    plans.sort(Comparator.comparingDouble(PreemptionPlan::costSeconds));
    return plans.subList(0, Math.min(taskCount, plans.size()));
  }

  /**
   * Selects machines for all tasks of a gang, with free capacity or with victims, in one zone if
   * the gang must be; empty when there are not enough. Capacity for a part of it would preempt work
   * for a gang that may not be able to start. Found on laval-ops: a guest's work of low priority
   * filled every machine, and gangs of two waited until two machines happened to be empty at once.
   */
  List<PreemptionPlan> selectForGang(Job job, Instant now) {
    JobSpec spec = job.spec;
    if (spec.spreadAcrossZones()) {
      return List.of();
    }
    FleetScan scan = new FleetScan(job, true, now);
    Map<String, List<PreemptionPlan>> plansByZone = new LinkedHashMap<>();
    for (Machine machine : cluster.machines()) {
      if (!machine.isSchedulable() || !Placer.isAllowed(job, machine)) {
        continue;
      }
      double fetchSeconds = Placer.fetchSeconds(job, machine);
      long tasksFitting =
          spec.resourcesPerTask().timesFittingIn(Placer.availableCapacity(job, machine, now));
      PreemptionPlan plan =
          tasksFitting > 0
              ? new PreemptionPlan(machine, List.of(), fetchSeconds)
              : scan.plan(machine, fetchSeconds);
      if (plan != null) {
        List<PreemptionPlan> zonePlans =
            plansByZone.computeIfAbsent(
                spec.sameZone() ? machine.zone : "", z -> new ArrayList<>());
        for (long i = 0; i < Math.max(1, Math.min(tasksFitting, spec.tasks())); i++) {
          zonePlans.add(plan);
        }
      }
    }
    List<PreemptionPlan> best = List.of();
    for (List<PreemptionPlan> zonePlans : plansByZone.values()) {
      if (zonePlans.size() >= spec.tasks()) {
        zonePlans.sort(Comparator.comparingDouble(PreemptionPlan::costSeconds));
        List<PreemptionPlan> cheapest = zonePlans.subList(0, spec.tasks());
        if (best.isEmpty() || totalCostSeconds(cheapest) < totalCostSeconds(best)) {
          best = cheapest;
        }
      }
    }
    return best;
  }

  private static double totalCostSeconds(List<PreemptionPlan> plans) {
    return plans.stream().mapToDouble(PreemptionPlan::costSeconds).sum();
  }

  /** One scan of the fleet for one job, with the penalties of the jobs met so far. */
  private final class FleetScan {
    private final Job job;
    private final Instant now;
    private final boolean guaranteed;
    private final boolean urgent;

    /** The cost, beside lost work, of preempting any task of a job; infinite if not allowed. */
    private final IdentityHashMap<Job, Double> penaltySecondsByJob = new IdentityHashMap<>();

    FleetScan(Job job, boolean urgent, Instant now) {
      this.job = job;
      this.urgent = urgent;
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

    private double penaltySeconds(Job victim) {
      if (!mayPreempt(job, victim, guaranteed) || !(urgent || cluster.hasNoObjective(victim))) {
        return Double.POSITIVE_INFINITY;
      }
      return cluster.wouldMissObjectiveAfterRestart(victim, eventLoop.wallClock())
          ? MISSED_OBJECTIVE_COST_SECONDS
          : 0;
    }

    PreemptionPlan plan(Machine machine, double fetchSeconds) {
      Resources perTask = job.spec.resourcesPerTask();
      Resources available = Placer.availableCapacity(job, machine, now);
      Resources reclaimable = available;
      List<Victim> candidates = new ArrayList<>();
      for (Attempt attempt : machine.attempts.values()) {
        if (!attempt.holdsCapacity()) {
          continue;
        }
        Resources held = attempt.job.spec.resourcesPerTask();
        if (!attempt.isWanted()) {
          // It is being stopped already.
          available = available.plus(held);
          reclaimable = reclaimable.plus(held);
          continue;
        }
        double penaltySeconds =
            penaltySecondsByJob.computeIfAbsent(attempt.job, this::penaltySeconds);
        if (penaltySeconds != Double.POSITIVE_INFINITY) {
          candidates.add(new Victim(attempt, lostWorkSeconds(attempt, now) + penaltySeconds));
          reclaimable = reclaimable.plus(held);
        }
      }
      if (!perTask.fitsIn(reclaimable) || perTask.fitsIn(available)) {
        return null;
      }
      candidates.sort(Comparator.comparingDouble(Victim::costSeconds));
      List<Attempt> victims = new ArrayList<>();
      double costSeconds = fetchSeconds;
      for (Victim candidate : candidates) {
        Resources held = candidate.attempt.job.spec.resourcesPerTask();
        // Preempting what holds nothing of the lacking resources would not help.
        if (!perTask.fitsIn(available) && held.relievesShortage(perTask, available)) {
          victims.add(candidate.attempt);
          costSeconds += candidate.costSeconds;
          available = available.plus(held);
        }
      }
      return new PreemptionPlan(machine, victims, costSeconds);
    }
  }

  /** An attempt that may be preempted, and what that would cost. */
  private record Victim(Attempt attempt, double costSeconds) {}

  /**
   * Whether the victim has a lower priority class, or exceeds its own team's guarantee while the
   * job is within that of another team.
   */
  private boolean mayPreempt(Job job, Job victim, boolean guaranteed) {
    boolean victimGuaranteed = cluster.isGuaranteed(victim);
    if (job.priorityClass().isAbove(victim.priorityClass())) {
      return guaranteed || !victimGuaranteed;
    }
    return guaranteed && !victimGuaranteed && !victim.spec.team().equals(job.spec.team());
  }

  /** Seconds of work that are lost by preempting the attempt. */
  private static double lostWorkSeconds(Attempt attempt, Instant now) {
    Instant workStartedAt = attempt.runningSince == null ? attempt.createdAt : attempt.runningSince;
    Duration ran = Duration.between(workStartedAt, now);
    if (attempt.job.spec.isCheckpointed()) {
      Duration save = attempt.job.spec.checkpointDuration();
      return Math.min(ran.toMillis(), save.toMillis()) / 1000.0;
    }
    return ran.toMillis() / 1000.0;
  }
}
