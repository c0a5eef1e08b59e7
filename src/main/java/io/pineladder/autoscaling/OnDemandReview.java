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
 * Retires on-demand machines that serve only jobs which would be in time without them: those take
 * no more tasks and are released as theirs end, and take tasks again when they are needed after
 * all. Without this, machines rented for a peak were kept as long as any job was pending.
 */
final class OnDemandReview {
  private static final Logger log = LoggerFactory.getLogger(OnDemandReview.class);

  /**
   * A machine costs as much as if it had been kept for this long; released much sooner it is money
   * lost.
   */
  private static final Duration MIN_BILLED_PERIOD = Duration.ofSeconds(45);

  /** The last of some tasks runs for about this multiple of their estimate. */
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
   * Retires machines and takes them back into use. The on-demand machines missing in the demand are
   * reduced by what was taken back.
   *
   * @return what is still to be rented for arrays that would be late, at list prices an hour
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
    // The dearer a machine is, the dearer are the last tasks that keep it.
    retiring.sort(Comparator.comparing(machine -> machine.type.onDemandPrice()));
    return retiring;
  }

  private void retire(CapacityDemand demand, boolean isAnyMissing, Instant now) {
    List<Machine> deferrableOnly = demand.deferrableOnlyMachines();
    double deferrableValue = deferrableOnly.stream().mapToDouble(m -> m.type.onDemandPrice()).sum();
    double neededValue =
        Math.max(
            demand.neededForDeferrable(deferrableValue), 2 * estimates.arrivals().headroom(false));
    // The larger a machine, the longer the last of its tasks keep it.
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
   * Preempts the last tasks on retiring machines, to start again on spot machines with capacity for
   * them, if that loses less than the machine costs until they end. Found on galleharbour, where a
   * hundred on-demand machines were each kept for two minutes by a few long tasks.
   *
   * @param freeSpotValue what is free on spot machines, at list prices an hour
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
            "Retiring machine drained: machine={} lostValue={} longestSeconds={}",
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
   * What preempting all tasks of a machine costs.
   *
   * @param lostValue list price an hour, times the seconds that the tasks have run
   * @param movedValue what the tasks take, at list prices an hour
   * @param remainingSeconds how much longer the last of them runs otherwise
   * @param meetsObjectives whether all of them would still meet their objectives
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
    double longestSeconds = 0;
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
      longestSeconds =
          Math.max(
              longestSeconds,
              Math.max(STRAGGLER_FACTOR * runSeconds - elapsedSeconds, runSeconds / 2));
      meetsObjectives &=
          attempt.isWanted() && !cluster.wouldMissObjectiveAfterRestart(attempt.job, wallClock);
    }
    return new DrainCost(lostValue, movedValue, longestSeconds, meetsObjectives);
  }
}
