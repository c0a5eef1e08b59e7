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
 * Selects the attempts to preempt at the lowest cost for a job of higher priority, or one within
 * the guaranteed quota of its team. Costs are in seconds of lost work and delay.
 */
final class VictimSelector {
  /**
   * The additional cost of preempting a task whose job would miss an objective because of the
   * restart.
   */
  private static final double MISSED_OBJECTIVE_COST_SECONDS = 60;

  private final ClusterState cluster;
  private final EventLoop eventLoop;

  VictimSelector(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  /**
   * The attempts to preempt on one machine, and the total cost including the image fetch of the new
   * task.
   */
  record PreemptionPlan(Machine machine, List<Attempt> victims, double costSeconds) {}

  /**
   * Returns the number of machines reserved for the job whose preempted attempts have not all ended
   * yet.
   */
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
   * Selects victims for up to {@code taskCount} tasks of the job, one task per machine, with the
   * cheapest plans first. All tasks share one scan, because a scan per task would block the event
   * loop for seconds for a large job.
   *
   * @param maxFetchSeconds only machines on which the image of the job is cached within this time
   *     are considered
   * @param urgent whether attempts of jobs with an objective may be preempted
   */
  List<PreemptionPlan> selectForTasks(
      Job job, int taskCount, double maxFetchSeconds, boolean urgent, Instant now) {
    FleetScan scan = new FleetScan(job, urgent, now);
    List<PreemptionPlan> plans = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      if (!machine.isSchedulable()
          || !Placer.isAllowed(job, machine)
          || machine.isReservedFor(job, now)
          || !Placer.satisfiesZoneConstraints(job, machine)) {
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
   * the gang requires it; empty if there are not enough. Capacity for only some of the tasks would
   * preempt work without letting the gang start. On the laval-ops deployment, where low-priority
   * work filled every machine, gangs of two waited until two machines happened to be empty at once.
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

  /**
   * A scan of the machines for one job, which caches the preemption penalty of each job
   * encountered.
   */
  private final class FleetScan {
    private final Job job;
    private final Instant now;

    /** Whether the job is within its team's guaranteed quota, also with the tasks to be placed. */
    private final boolean guaranteed;

    private final boolean urgent;

    /**
     * The cost of preempting any task of a job, in addition to lost work; infinite if not allowed.
     */
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
          // The attempt is being stopped already.
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
        // Skips attempts that hold none of the resources that are short.
        if (!perTask.fitsIn(available) && held.relievesShortage(perTask, available)) {
          victims.add(candidate.attempt);
          costSeconds += candidate.costSeconds;
          available = available.plus(held);
        }
      }
      return new PreemptionPlan(machine, victims, costSeconds);
    }
  }

  /** An attempt that may be preempted, and the cost of that. */
  private record Victim(Attempt attempt, double costSeconds) {}

  /**
   * Whether attempts of the victim may be preempted for the job. A job within its team's guaranteed
   * quota may preempt any job of a lower priority class, and jobs of other teams that are outside
   * their guaranteed quota. Any other job may only preempt jobs of a lower priority class that are
   * outside their guaranteed quota.
   */
  private boolean mayPreempt(Job job, Job victim, boolean guaranteed) {
    boolean victimGuaranteed = cluster.isGuaranteed(victim);
    if (job.priorityClass().isAbove(victim.priorityClass())) {
      return guaranteed || !victimGuaranteed;
    }
    return guaranteed && !victimGuaranteed && !victim.spec.team().equals(job.spec.team());
  }

  /** The seconds of work lost by preempting the attempt. */
  private static double lostWorkSeconds(Attempt attempt, Instant now) {
    Instant workStartedAt = attempt.runningSince == null ? attempt.createdAt : attempt.runningSince;
    Duration runTime = Duration.between(workStartedAt, now);
    if (attempt.job.spec.isCheckpointed()) {
      Duration checkpointDuration = attempt.job.spec.checkpointDuration();
      return Math.min(runTime.toMillis(), checkpointDuration.toMillis()) / 1000.0;
    }
    return runTime.toMillis() / 1000.0;
  }
}
