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

/** Releases machines that did not boot, are unreachable, are drained, or have been idle. */
final class ScaleIn {
  private static final Logger log = LoggerFactory.getLogger(ScaleIn.class);

  /** If this multiple of the headroom is free, idle machines are surplus. */
  private static final double SURPLUS_HEADROOM_FACTOR = 2;

  /** A surplus idle machine is kept for the configured idle time divided by this. */
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

  /** Reviews all machines, and releases or drains those that are not needed. */
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
      double freeWithoutMachine = freeByMarket.get(machine.spot) - machine.type.onDemandPrice();
      if (isIdleTooLong(machine, freeWithoutMachine, now)) {
        freeByMarket.put(machine.spot, freeWithoutMachine);
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
   * Whether an idle machine is no longer needed.
   *
   * @param freeWithoutMachine the free capacity of the other machines of its market (spot or
   *     on-demand), at list prices per hour
   */
  private boolean isIdleTooLong(Machine machine, double freeWithoutMachine, Instant now) {
    // Without jobs, no headroom is needed.
    boolean noJobs = cluster.jobs.isEmpty();
    double headroom = estimates.arrivals().headroom(machine.spot);
    boolean surplus =
        estimates.isQuicklyReplaced(machine.type)
            && freeWithoutMachine
                >= SURPLUS_HEADROOM_FACTOR * headroom + machine.type.onDemandPrice();
    Duration retention = noJobs ? operator.idleReleaseAfter() : idleRetention(machine.type);
    boolean retentionOver = machine.idleSince.plus(retention).isBefore(now);
    return noJobs ? retentionOver : surplus || (retentionOver && freeWithoutMachine >= headroom);
  }

  /**
   * Whether a machine has been draining for longer than {@link Scheduler#MAX_POLICY_DELAY}. Without
   * this limit, a service would stay on a faulty machine, since it never ends by itself.
   */
  private boolean isDrainOverdue(Machine machine, Instant now) {
    if (!machine.draining) {
      return false;
    }
    machine.drainingSince = machine.drainingSince == null ? now : machine.drainingSince;
    return machine.drainingSince.plus(Scheduler.MAX_POLICY_DELAY).isBefore(now);
  }

  /**
   * Whether a machine has been unreachable for longer than a worker lease, after which no earlier
   * task runs there, plus the time that a replacement takes.
   */
  private boolean isUnreachableTooLong(Machine machine, Instant now) {
    if (machine.reachedThroughPeer || zones.isUnreachable(machine.zone)) {
      return false;
    }
    Duration limit =
        cluster.settings.workerTimes().leaseDuration().plus(idleRetention(machine.type));
    return machine.trackUnreachable(now).compareTo(limit) > 0;
  }

  /** An idle machine is kept at least as long as its replacement would take. */
  private Duration idleRetention(MachineType type) {
    Duration replacementTime = estimates.replacementTime(type);
    return replacementTime.compareTo(operator.idleReleaseAfter()) > 0
        ? replacementTime
        : operator.idleReleaseAfter();
  }
}
