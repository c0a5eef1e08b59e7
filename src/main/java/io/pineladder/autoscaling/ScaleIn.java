package io.pineladder.autoscaling;

import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Releases machines that never booted, are unreachable, drained, or idle for long enough. */
final class ScaleIn {
  private static final Logger log = LoggerFactory.getLogger(ScaleIn.class);

  /** With this multiple of the headroom free, idle machines need not be kept for long. */
  private static final double SURPLUS_HEADROOM_FACTOR = 2;

  /** A surplus idle machine is kept for the usual least time divided by this. */
  private static final int SURPLUS_IDLE_DIVISOR = 3;

  private final ClusterState cluster;
  private final CapacityEstimates estimates;
  private final Zones zones;
  private final MachineReleaser releaser;
  private OperatorSettings operator;

  ScaleIn(
      ClusterState cluster,
      CapacityEstimates estimates,
      Zones zones,
      MachineReleaser releaser,
      OperatorSettings operator) {
    this.cluster = cluster;
    this.estimates = estimates;
    this.zones = zones;
    this.releaser = releaser;
    this.operator = operator;
  }

  /** Applies changed settings of the operator. */
  void configure(OperatorSettings next) {
    operator = next;
  }

  /** Reviews all machines and releases or drains those that are to go. */
  void review(Instant now) {
    Map<Boolean, Double> freeByMarket = new HashMap<>();
    List<Machine> idle = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      estimates.bootTimes().observe(machine, now);
      switch (machine.state()) {
        case EXPECTED -> {
          if (!machine.listedRunning
              && machine.attempts.isEmpty()
              && estimates.bootTimes().hasTimedOut(machine, now)) {
            log.info("Machine never booted, releasing: machine={}", machine);
            releaser.release(machine);
          }
        }
        case CONFIRMED -> reviewConfirmed(machine, freeByMarket, idle, now);
        default -> {}
      }
    }
    idle.sort(Comparator.comparing(m -> m.idleSince));
    for (Machine machine : idle) {
      double freeWithoutIt = freeByMarket.get(machine.spot) - machine.type.onDemandPrice();
      if (isIdleTooLong(machine, freeWithoutIt, now)) {
        freeByMarket.put(machine.spot, freeWithoutIt);
        releaser.drain(machine);
      }
    }
  }

  private void reviewConfirmed(
      Machine machine, Map<Boolean, Double> freeByMarket, List<Machine> idle, Instant now) {
    if (!estimates.utilization().isIdle(machine)) {
      machine.idleSince = null;
    } else if (machine.idleSince == null) {
      machine.idleSince = now;
    }
    if ((machine.draining || machine.retiring) && machine.attempts.isEmpty()) {
      releaser.release(machine);
    } else if (isDrainOverdue(machine, now)) {
      releaser.drain(machine);
    } else if (isUnreachableTooLong(machine, now)) {
      log.info("Machine unreachable for too long, releasing: machine={}", machine);
      releaser.release(machine);
    } else if (machine.isSchedulable()) {
      freeByMarket.merge(
          machine.spot,
          estimates.utilization().freeShare(machine) * machine.type.onDemandPrice(),
          Double::sum);
      Duration surplusRetention = operator.idleReleaseAfter().dividedBy(SURPLUS_IDLE_DIVISOR);
      if (machine.idleSince != null && machine.idleSince.plus(surplusRetention).isBefore(now)) {
        idle.add(machine);
      }
    }
  }

  /**
   * Whether an idle machine is to go.
   *
   * @param freeWithoutIt what is free on the other machines of its market, at list prices an hour
   */
  private boolean isIdleTooLong(Machine machine, double freeWithoutIt, Instant now) {
    // Without any job no headroom is needed.
    boolean noJobs = cluster.jobs.isEmpty();
    double headroom = estimates.arrivals().headroom(machine.spot);
    boolean surplus =
        estimates.isQuicklyReplaced(machine.type)
            && freeWithoutIt >= SURPLUS_HEADROOM_FACTOR * headroom + machine.type.onDemandPrice();
    Duration retention = noJobs ? operator.idleReleaseAfter() : idleRetention(machine.type);
    boolean retentionOver = machine.idleSince.plus(retention).isBefore(now);
    return noJobs ? retentionOver : surplus || (retentionOver && freeWithoutIt >= headroom);
  }

  /**
   * Whether a draining machine still has tasks after the time for which policy may withhold
   * capacity from a job: a service that is left on a faulty machine never ends by itself.
   */
  private boolean isDrainOverdue(Machine machine, Instant now) {
    if (!machine.draining) {
      return false;
    }
    machine.drainingSince = machine.drainingSince == null ? now : machine.drainingSince;
    return machine.drainingSince.plus(Scheduler.MAX_POLICY_DELAY).isBefore(now);
  }

  /**
   * Whether a machine was unreachable for as long as its replacement takes and a lease, by the end
   * of which no earlier task runs there any more.
   */
  private boolean isUnreachableTooLong(Machine machine, Instant now) {
    if (machine.reachedThroughPeer || zones.isUnreachable(machine.zone)) {
      return false;
    }
    Duration patience =
        cluster.settings.workerTimes().leaseDuration().plus(idleRetention(machine.type));
    return machine.trackUnreachable(now).compareTo(patience) > 0;
  }

  /** An idle machine is kept for as long as its replacement would take. */
  private Duration idleRetention(MachineType type) {
    Duration replacementTime = estimates.replacementTime(type);
    return replacementTime.compareTo(operator.idleReleaseAfter()) > 0
        ? replacementTime
        : operator.idleReleaseAfter();
  }
}
