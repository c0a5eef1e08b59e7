package io.pineladder.autoscaling;

import io.pineladder.leadership.Election;
import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.model.Settings;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which machines have fallen silent, and how long each is waited for. */
final class FailureDetector {
  private static final Logger log = LoggerFactory.getLogger(FailureDetector.class);

  /** How long after a takeover workers are still on their way from node to node. */
  private static final Duration FAILOVER_SETTLE_TIME = Duration.ofSeconds(15);

  /** So long a zone with a controller of its own is taken to live on, cut off. */
  private static final Duration PEER_KEPT_ZONE_PATIENCE = Duration.ofMinutes(3);

  /** Machines that may come back are waited for a third of the time that another takes. */
  private static final int WORTHWHILE_WAIT_DIVISOR = 3;

  private final ClusterState cluster;
  private final ScaleOut scaleOut;
  private final Zones zones;
  private final ZoneLossPlan zoneLossPlan;
  private final Autoscaler.Effects effects;
  private final Instant startedAt;

  /** Until when a zone that was cut is taken to be so. */
  private final Map<String, Instant> unreachableUntil = new HashMap<>();

  /**
   * Since when this leader has taken in what came for it. After it stood still, what its workers
   * sent is yet to be read; in a long doubt of its lease they were answered without it, or went to
   * other nodes. Their silence is its own.
   */
  private Instant acceptingHeartbeatsSince;

  FailureDetector(
      ClusterState cluster,
      ScaleOut scaleOut,
      Zones zones,
      Autoscaler.Effects effects,
      Instant now) {
    this.cluster = cluster;
    this.scaleOut = scaleOut;
    this.zones = zones;
    this.zoneLossPlan = new ZoneLossPlan(cluster, scaleOut, zones);
    this.effects = effects;
    this.startedAt = now;
    this.acceptingHeartbeatsSince = now;
  }

  /** Until now no reports were taken in. */
  void onHeartbeatsNotAccepted(Instant now) {
    acceptingHeartbeatsSince = now;
  }

  /** How long a machine may be silent: a report's time, a lost response and another node's try. */
  private Duration heartbeatTimeout() {
    Duration heartbeatInterval = cluster.settings.workerTimes().heartbeatInterval();
    return heartbeatInterval.plus(heartbeatInterval.dividedBy(4)).plusSeconds(6);
  }

  /** How the machines of one zone are heard. */
  private static final class ZoneHeartbeats {
    int expected;
    int overdue;
    int recentlyHeard;

    /** Many at once are cut off or hang rather than have stopped one by one. */
    boolean isCorrelated() {
      return overdue >= 3 && overdue * 20 > expected;
    }
  }

  /**
   * Machines that have stopped reporting are cut off by returning them, which is the proof that
   * their tasks are gone. When nearly all of a zone is silent the fault is likely between us and
   * them, and a node in the zone may keep their workers' leases; then they get that time. Hundreds
   * of machines that are silent while others of their zone are heard are no such cut: their leases
   * end, and the longer they are waited for the later their tasks start elsewhere.
   *
   * @return the machines to return
   */
  List<Machine> findMachinesToRelease(Instant now) {
    Duration timeout = heartbeatTimeout();
    // A whole zone falls silent one report after the other: what counts for a cut is who is late,
    // or the first ones would be given up before the last ones are missed.
    Duration overdueAfter = timeout.minusSeconds(4);
    // In a zone that is cut all fall silent at once: when the first is missed none was heard since.
    Duration recentPeriod = overdueAfter.minus(cluster.settings.workerTimes().heartbeatInterval());
    Map<String, ZoneHeartbeats> byZone = new HashMap<>();
    List<Machine> silent = new ArrayList<>();
    int expected = 0;
    for (Machine machine : cluster.machines()) {
      Instant since = silentSince(machine);
      if (since == null) {
        continue;
      }
      expected++;
      if (since.isAfter(now)) {
        // It need not report yet, so it says nothing of its zone. Found on laval-fleet: right after
        // a
        // takeover idle machines hid that none of those with tasks was heard, which were given up.
        continue;
      }
      ZoneHeartbeats zone = byZone.computeIfAbsent(machine.zone, z -> new ZoneHeartbeats());
      zone.expected++;
      boolean recentlyHeard =
          machine.lastHeartbeatAt != null
              && machine.lastHeartbeatAt.plus(recentPeriod).isAfter(now);
      zone.recentlyHeard += recentlyHeard ? 1 : 0;
      if (since.plus(overdueAfter).isBefore(now)) {
        zone.overdue++;
        if (now.getEpochSecond() % 2 == 0) {
          effects.probe(machine);
        }
      }
      if (since.plus(timeout).isBefore(now)) {
        silent.add(machine);
        if (machine.state() == Machine.State.CONFIRMED) {
          machine.transitionTo(Machine.State.SILENT);
          cluster.updateIndexes(machine);
          log.debug("machine {} is silent", machine);
        }
      }
    }
    boolean heardBefore = silent.stream().anyMatch(m -> m.lastHeartbeatAt != null);
    if (expected >= 2 && silent.size() == expected && heardBefore) {
      // No worker reaches this node any more, while others may reach another. A successor that
      // hears none either keeps its term, or machines that all died would never be given up.
      effects.resign("no worker is heard");
      return List.of();
    }
    Duration lease = cluster.settings.workerTimes().leaseDuration();
    List<Machine> toRelease = new ArrayList<>();
    // Once a cut is over the first that are heard say nothing of the rest, which are on their way.
    byZone.forEach(
        (zone, recentlyHeard) -> {
          boolean cut =
              zones.review(
                  zone,
                  recentlyHeard.expected,
                  recentlyHeard.overdue,
                  recentlyHeard.recentlyHeard,
                  effects.workersHeardByPeers(zone),
                  now);
          if (cut) {
            unreachableUntil.put(zone, now.plus(timeout));
          }
        });
    boolean anyHeard = byZone.values().stream().anyMatch(zone -> zone.recentlyHeard > 0);
    List<Machine> lost = new ArrayList<>();
    for (Machine machine : silent) {
      ZoneHeartbeats zone = byZone.get(machine.zone);
      if (zones.isKeptAliveByPeers(machine.zone)) {
        // Another controller hears it, keeps its lease, and ends there what users have cancelled.
        continue;
      }
      Duration patience =
          unreachableUntil.getOrDefault(machine.zone, Instant.MIN).isAfter(now)
              ? longestTaskLifetime(machine.zone, anyHeard)
              : zone.isCorrelated() && isWorthWaiting(machine, lease.minus(timeout))
                  ? lease
                  : Duration.ZERO;
      if (isCancellationBoundNear(machine, now)) {
        toRelease.add(machine);
      } else if (silentSince(machine).plus(patience).isBefore(now)) {
        (zones.isUnreachable(machine.zone) ? lost : toRelease).add(machine);
      }
    }
    toRelease.addAll(zoneLossPlan.machinesToRelease(lost, now));
    return toRelease;
  }

  /**
   * Most workers heard of late came through peers: they do not reach this node, but others. Orders
   * then go out only with reports handed on, so a peer serves better as the leader. Found on
   * colombo-ops, where a leader cut from its workers alone went on for a minute.
   */
  void resignIfWorkersReachPeersOnly(Instant now) {
    if (startedAt.plus(FAILOVER_SETTLE_TIME).isAfter(now)) {
      return;
    }
    Instant from = now.minus(cluster.settings.workerTimes().heartbeatInterval());
    int heard = 0;
    int throughPeers = 0;
    for (Machine machine : cluster.machines()) {
      if (machine.state() == Machine.State.CONFIRMED && machine.lastHeartbeatAt.isAfter(from)) {
        heard++;
        throughPeers += machine.reachedThroughPeer ? 1 : 0;
      }
    }
    if (throughPeers >= 3 && throughPeers * 2 > heard) {
      effects.transferLeadership("workers reach its peers and not this node");
    }
  }

  /**
   * Whether a machine that may come back with its tasks is worth waiting for so much longer: having
   * another ready, with an image like most, takes several times as long.
   */
  private boolean isWorthWaiting(Machine machine, Duration extraWait) {
    Duration replacementTime = machine.type.bootTime().plus(scaleOut.fetchTime(machine.type));
    return extraWait.multipliedBy(WORTHWHILE_WAIT_DIVISOR).compareTo(replacementTime) < 0;
  }

  /**
   * How long tasks may live in a zone that is cut off, where nodes keep their workers' leases, and
   * how long a report then takes to come here.
   */
  private Duration longestTaskLifetime(String zone, boolean anyHeard) {
    // Where no zone is heard nothing tells a cut from machines that have all died.
    boolean hasPeer =
        anyHeard && cluster.settings.peers().stream().anyMatch(peer -> peer.zone().equals(zone));
    if (hasPeer) {
      // It keeps the leases there for as long as it lives.
      return PEER_KEPT_ZONE_PATIENCE;
    }
    Settings.WorkerTimes workers = cluster.settings.workerTimes();
    Duration renewedLifetime =
        Election.maxWorkerLeaseExtension(workers)
            .plus(workers.leaseDuration())
            .plus(heartbeatTimeout());
    Duration minimum = workers.leaseDuration().multipliedBy(2);
    return renewedLifetime.compareTo(minimum) > 0 ? renewedLifetime : minimum;
  }

  /** A cancelled job's task is still there and its time is running out. */
  private boolean isCancellationBoundNear(Machine machine, Instant now) {
    Duration halfBound = cluster.settings.workerTimes().cancellationBound().dividedBy(2);
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.job.finalStateStored
          && attempt.holdsCapacity()
          && attempt.killedAt != null
          && attempt.killedAt.plus(halfBound).isBefore(now)) {
        return true;
      }
    }
    return false;
  }

  /** Since when nothing was heard of a machine that should report, or null if it need not yet. */
  private Instant silentSince(Machine machine) {
    Instant since = lastHeardSince(machine);
    return since == null || since.isAfter(acceptingHeartbeatsSince)
        ? since
        : acceptingHeartbeatsSince;
  }

  private Instant lastHeardSince(Machine machine) {
    return switch (machine.state()) {
      case HEARD, CONFIRMED, SILENT -> machine.lastHeartbeatAt;
      case EXPECTED -> {
        if (machine.listedRunning || !machine.attempts.isEmpty()) {
          Instant from = machine.createdAt.isAfter(startedAt) ? machine.createdAt : startedAt;
          yield machine.knownFromPlacements ? startedAt : from.plusSeconds(15);
        }
        yield null;
      }
      case RELEASING, GONE -> null;
    };
  }
}
