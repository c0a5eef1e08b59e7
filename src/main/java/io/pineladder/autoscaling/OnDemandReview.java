package io.pineladder.autoscaling;

import io.pineladder.model.Attempt;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Retires on-demand machines whose jobs would start in time without them. A retiring machine gets
 * no new tasks and is released when its tasks have ended, unless it is needed again before that.
 * Without this, machines rented for a peak would be kept as long as any job is pending.
 */
final class OnDemandReview {
  private static final Logger log = LoggerFactory.getLogger(OnDemandReview.class);

  /** The cloud charges at least this much time per machine, so no machine is retired earlier. */
  private static final Duration MIN_BILLED_PERIOD = Duration.ofSeconds(45);

  /** The longest task of a group runs for about this multiple of the estimated run time. */
  private static final double STRAGGLER_FACTOR = 1.3;

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final CapacityEstimates estimates;

  OnDemandReview(
      ClusterState cluster, Scheduler scheduler, EventLoop eventLoop, CapacityEstimates estimates) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.estimates = estimates;
  }

  /**
   * Retires machines, or reactivates retiring ones if capacity is missing. The demand's missing
   * on-demand machines are reduced by the reactivated capacity.
   *
   * @return the capacity still to be rented for arrays that would be late, at list prices per hour
   */
  double review(CapacityDemand demand, Instant now) {
    double missingNow = 0;
    for (Map.Entry<CapacityDemand.MachineKind, CapacityDemand.MissingMachines> missingOfKind :
        demand.missing().entrySet()) {
      double price = cluster.type(missingOfKind.getKey().type()).onDemandPrice();
      missingNow += missingOfKind.getKey().spot() ? 0 : missingOfKind.getValue().machines * price;
    }
    double missingForDeadlines = demand.missingForDeferrable();
    double stillMissingNow = missingNow;
    List<Machine> retiring = retiringMachines();
    for (Machine machine : retiring) {
      if (missingForDeadlines > 0 || stillMissingNow > 0) {
        machine.retiring = false;
        cluster.updateIndexes(machine);
        scheduler.onMachineReady(machine);
        stillMissingNow -=
            machine.type.onDemandPrice() * estimates.utilization().freeShare(machine);
        missingForDeadlines -= machine.type.onDemandPrice();
      }
    }
    if (missingNow > 0) {
      double missingShare = Math.max(0, stillMissingNow) / missingNow;
      demand
          .missing()
          .forEach(
              (kind, missingOfKind) -> missingOfKind.machines *= kind.spot() ? 1 : missingShare);
    }
    boolean isAnyMissing = missingNow > 0 || missingForDeadlines > 0;
    retire(demand, isAnyMissing, now);
    if (!isAnyMissing) {
      drainRetiring(demand.freeValue(true) - estimates.arrivals().headroom(true), now);
    }
    log.debug(
        "On-demand machines reviewed: missingForDeadlines={} missingNow={} retiringBefore={}",
        missingForDeadlines,
        missingNow,
        retiring.size());
    return Math.max(0, missingForDeadlines);
  }

  private List<Machine> retiringMachines() {
    List<Machine> retiring = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      if (machine.retiring) {
        retiring.add(machine);
      }
    }
    // Reactivates cheap machines first: the last tasks on an expensive one cost more.
    retiring.sort(Comparator.comparing(machine -> machine.type.onDemandPrice()));
    return retiring;
  }

  private void retire(CapacityDemand demand, boolean isAnyMissing, Instant now) {
    List<Machine> deferrableOnly = demand.deferrableOnlyMachines();
    double deferrableValue = deferrableOnly.stream().mapToDouble(m -> m.type.onDemandPrice()).sum();
    double neededValue =
        Math.max(
            demand.neededForDeferrable(deferrableValue), 2 * estimates.arrivals().headroom(false));
    // Retires large machines first: they take longest until their last task has ended.
    deferrableOnly.sort(
        Comparator.<Machine>comparingDouble(machine -> -machine.type.onDemandPrice())
            .thenComparing(machine -> -estimates.utilization().freeShare(machine)));
    for (Machine machine : deferrableOnly) {
      if (isAnyMissing || deferrableValue - machine.type.onDemandPrice() < neededValue) {
        break;
      }
      if (machine.createdAt.plus(MIN_BILLED_PERIOD).isBefore(now)) {
        machine.retiring = true;
        cluster.updateIndexes(machine);
        deferrableValue -= machine.type.onDemandPrice();
      }
    }
  }

  /**
   * Preempts the last tasks on retiring machines if they can restart on free spot capacity and the
   * lost progress costs less than keeping the machine until they end. On the galleharbour
   * deployment a few long tasks kept each of a hundred on-demand machines for two minutes.
   *
   * @param freeSpotValue the free capacity of spot machines, at list prices per hour
   */
  private void drainRetiring(double freeSpotValue, Instant now) {
    Instant wallClock = eventLoop.wallClock();
    double remainingSpotValue = freeSpotValue;
    for (Machine machine : cluster.machines()) {
      if (!machine.retiring || machine.attempts.isEmpty()) {
        continue;
      }
      DrainCost cost = drainCost(machine, now, wallClock);
      if (cost.isWorthwhile(machine.type.onDemandPrice(), remainingSpotValue)) {
        log.debug(
            "Retiring machine drained: machine={} lostValue={} remainingSeconds={}",
            machine,
            cost.lostValue,
            cost.remainingSeconds);
        remainingSpotValue -= cost.movedValue;
        machine.draining = true;
        List.copyOf(machine.attempts.values()).forEach(scheduler::preempt);
      }
    }
  }

  /**
   * The cost of preempting all tasks of a machine.
   *
   * @param lostValue the lost progress: hourly price times the seconds that the tasks have run
   * @param movedValue the capacity that the tasks take, at list prices per hour
   * @param remainingSeconds how long the last task would run if it were not preempted
   * @param meetsObjectives whether all jobs would still meet their service-level objectives
   */
  private record DrainCost(
      double lostValue, double movedValue, double remainingSeconds, boolean meetsObjectives) {
    boolean isWorthwhile(double onDemandPrice, double freeSpotValue) {
      return meetsObjectives
          && movedValue > 0
          && movedValue < freeSpotValue
          && 2 * lostValue < remainingSeconds * onDemandPrice;
    }
  }

  private DrainCost drainCost(Machine machine, Instant now, Instant wallClock) {
    double lostValue = 0;
    double movedValue = 0;
    double remainingSeconds = 0;
    boolean meetsObjectives = true;
    for (Attempt attempt : machine.attempts.values()) {
      if (!attempt.holdsCapacity()) {
        continue;
      }
      JobSpec spec = attempt.job.spec;
      double runSeconds = spec.estimatedRunTime().toMillis() / 1000.0;
      Instant startedAt = attempt.runningSince == null ? now : attempt.runningSince;
      double elapsedSeconds = Duration.between(startedAt, now).toMillis() / 1000.0;
      double taskValue = CapacityDemand.taskValue(spec, machine.type);
      movedValue += taskValue;
      lostValue +=
          taskValue * elapsedSeconds * machine.type.spotPrice() / machine.type.onDemandPrice();
      remainingSeconds =
          Math.max(
              remainingSeconds,
              Math.max(STRAGGLER_FACTOR * runSeconds - elapsedSeconds, runSeconds / 2));
      meetsObjectives &=
          attempt.isWanted() && !cluster.wouldMissObjectiveAfterRestart(attempt.job, wallClock);
    }
    return new DrainCost(lostValue, movedValue, remainingSeconds, meetsObjectives);
  }
}
