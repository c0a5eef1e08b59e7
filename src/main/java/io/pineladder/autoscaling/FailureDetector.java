package io.pineladder.autoscaling;

import io.pineladder.leadership.Election;
import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.model.Settings;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.zones.HeartbeatCounts;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects machines without heartbeats and decides how long each is waited for. A failed machine is
 * released, and the release is the proof that its tasks are gone.
 */
final class FailureDetector {
  private static final Logger log = LoggerFactory.getLogger(FailureDetector.class);

  /** How long after a failover workers still look for the new leader. */
  private static final Duration FAILOVER_SETTLE_TIME = Duration.ofSeconds(15);

  /** How long after the start of a term or of a machine its first heartbeat may take. */
  private static final Duration FIRST_HEARTBEAT_TIMEOUT = Duration.ofSeconds(15);

  /** How long a cut-off zone with a controller of its own is taken to live on. */
  private static final Duration PEER_KEPT_ZONE_PATIENCE = Duration.ofMinutes(3);

  /**
   * What a heartbeat may be late by on top of its interval: a lost response, another controller.
   */
  private static final Duration HEARTBEAT_GRACE = Duration.ofSeconds(6);

  /** How long before its heartbeat timeout a machine counts as overdue. */
  private static final Duration OVERDUE_LEAD = Duration.ofSeconds(4);

  /** Machines that may come back are waited for a third of the time that a replacement takes. */
  private static final int WORTHWHILE_WAIT_DIVISOR = 3;

  private final ClusterState cluster;
  private final CapacityEstimates estimates;
  private final Zones zones;
  private final ZoneLossPlan zoneLossPlan;
  private final Autoscaler.Callbacks effects;
  private final Instant startedAt;

  /** Until when a zone that was unreachable is taken to be so. */
  private final Map<String, Instant> unreachableUntil = new HashMap<>();

  /**
   * Since when this leader has accepted heartbeats. After a process pause, what its workers sent is
   * still unread; while its lease was uncertain for long they were answered without it, or went to
   * other controllers. That it has no heartbeats of theirs is then its own fault.
   */
  private Instant acceptingHeartbeatsSince;

  FailureDetector(
      ClusterState cluster,
      CapacityEstimates estimates,
      Zones zones,
      Autoscaler.Callbacks effects,
      Instant now) {
    this.cluster = cluster;
    this.estimates = estimates;
    this.zones = zones;
    this.zoneLossPlan = new ZoneLossPlan(cluster, estimates, zones);
    this.effects = effects;
    this.startedAt = now;
    this.acceptingHeartbeatsSince = now;
  }

  /** No heartbeats were accepted until now. */
  void onHeartbeatsNotAccepted(Instant now) {
    acceptingHeartbeatsSince = now;
  }

  private Duration heartbeatTimeout() {
    Duration interval = cluster.settings.workerTimes().heartbeatInterval();
    return interval.plus(interval.dividedBy(4)).plus(HEARTBEAT_GRACE);
  }

  /** The heartbeats of the machines of one zone. */
  private static final class ZoneHeartbeats {
    int expected;
    int overdue;
    int recentlyHeard;

    /** Whether many machines were cut off or hang at once, rather than failed one by one. */
    boolean isCorrelated() {
      return overdue >= 3 && overdue * 20 > expected;
    }
  }

  /** The heartbeats of all machines at one moment. */
  private static final class Survey {
    final Map<String, ZoneHeartbeats> byZone = new HashMap<>();

    /** Machines beyond the heartbeat timeout. */
    final List<Machine> silent = new ArrayList<>();

    /** Machines that have to send heartbeats, now or soon. */
    int expected;

    /** Whether no heartbeat arrives any more of machines of which some did. */
    boolean areAllLost() {
      return expected >= 2
          && silent.size() == expected
          && silent.stream().anyMatch(m -> m.lastHeartbeatAt != null);
    }

    boolean isAnyRecentlyHeard() {
      return byZone.values().stream().anyMatch(zone -> zone.recentlyHeard > 0);
    }
  }

  /**
   * Finds the machines without heartbeats that are to be released, which is the proof that their
   * tasks are gone. When nearly all of a zone is silent the fault is likely between this controller
   * and them, and a controller in the zone may keep their workers' leases alive; then they are
   * waited for that long. Hundreds of silent machines in a zone of which others are heard are no
   * such cut: their leases expire, and the longer they are waited for the later their tasks start
   * elsewhere.
   */
  List<Machine> findMachinesToRelease(Instant now) {
    Duration timeout = heartbeatTimeout();
    Survey survey = survey(timeout, now);
    if (survey.areAllLost()) {
      // No worker reaches this controller any more, while they may reach another. A successor that
      // has never heard any keeps its term, or machines that all died would never be given up.
      effects.resign("no worker is heard");
      return List.of();
    }
    reviewZones(survey, timeout, now);
    return selectForRelease(survey, timeout, now);
  }

  private Survey survey(Duration timeout, Instant now) {
    // The machines of a zone become silent one heartbeat after the other: what counts for a cut is
    // which are overdue, or the first ones would be given up before the last ones are missed.
    Duration overdueAfter = timeout.minus(OVERDUE_LEAD);
    // In a zone that is cut off all become silent at once: when the first is missed none was heard
    // since.
    Duration recentPeriod = overdueAfter.minus(cluster.settings.workerTimes().heartbeatInterval());
    Survey survey = new Survey();
    for (Machine machine : cluster.machines()) {
      Instant since = silentSince(machine);
      if (since == null) {
        continue;
      }
      survey.expected++;
      if (since.isAfter(now)) {
        // Its first heartbeat is not due yet, so it says nothing of its zone. Found on laval-fleet:
        // right after a failover idle machines hid that none of those with tasks was heard, which
        // were given up.
        continue;
      }
      ZoneHeartbeats zone = survey.byZone.computeIfAbsent(machine.zone, z -> new ZoneHeartbeats());
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
        survey.silent.add(machine);
        markSilent(machine);
      }
    }
    return survey;
  }

  private void markSilent(Machine machine) {
    if (machine.state() == Machine.State.CONFIRMED) {
      machine.transitionTo(Machine.State.SILENT);
      cluster.updateIndexes(machine);
      log.debug("Heartbeat timeout: machine={}", machine);
    }
  }

  private void reviewZones(Survey survey, Duration timeout, Instant now) {
    survey.byZone.forEach(
        (zone, heartbeats) -> {
          HeartbeatCounts counts =
              new HeartbeatCounts(
                  heartbeats.expected,
                  heartbeats.overdue,
                  heartbeats.recentlyHeard,
                  effects.workersSeenByPeers(zone));
          zones.review(zone, counts, now);
          if (counts.isUnreachable()) {
            // Once a cut is over the first that are heard say nothing of the rest, whose heartbeats
            // are on their way.
            unreachableUntil.put(zone, now.plus(timeout));
          }
        });
  }

  private List<Machine> selectForRelease(Survey survey, Duration timeout, Instant now) {
    boolean anyHeard = survey.isAnyRecentlyHeard();
    List<Machine> toRelease = new ArrayList<>();
    List<Machine> lostWithZone = new ArrayList<>();
    for (Machine machine : survey.silent) {
      if (zones.isKeptAliveByPeers(machine.zone)) {
        // Another controller hears it, keeps its lease alive, and ends there what users cancel.
        continue;
      }
      Duration patience =
          patience(machine, survey.byZone.get(machine.zone), anyHeard, timeout, now);
      if (isCancellationBoundNear(machine, now)) {
        toRelease.add(machine);
      } else if (silentSince(machine).plus(patience).isBefore(now)) {
        (zones.isUnreachable(machine.zone) ? lostWithZone : toRelease).add(machine);
      }
    }
    toRelease.addAll(zoneLossPlan.machinesToRelease(lostWithZone, now));
    return toRelease;
  }

  /** How long a silent machine is waited for, from its last heartbeat on. */
  private Duration patience(
      Machine machine, ZoneHeartbeats zone, boolean anyHeard, Duration timeout, Instant now) {
    Duration lease = cluster.settings.workerTimes().leaseDuration();
    if (unreachableUntil.getOrDefault(machine.zone, Instant.MIN).isAfter(now)) {
      return longestTaskLifetime(machine.zone, anyHeard);
    }
    boolean waitsForLease = zone.isCorrelated() && isWorthWaiting(machine, lease.minus(timeout));
    return waitsForLease ? lease : Duration.ZERO;
  }

  /**
   * Resigns when most workers heard recently were heard through peers: they reach other controllers
   * but not this one. Commands then go out only with forwarded heartbeats' responses, so a peer
   * serves better as the leader. Found on colombo-ops, where a leader cut off from its workers
   * alone went on for a minute.
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
   * Whether a machine that may come back with its tasks is worth waiting for this much longer: to
   * have another ready, with a typical image, takes several times as long.
   */
  private boolean isWorthWaiting(Machine machine, Duration extraWait) {
    Duration replacementTime =
        machine.type.bootTime().plus(estimates.imageFetch().fetchTime(machine.type));
    return extraWait.multipliedBy(WORTHWHILE_WAIT_DIVISOR).compareTo(replacementTime) < 0;
  }

  /**
   * How long tasks may live in a zone that is cut off, where controllers keep their workers' leases
   * alive, with the time that a heartbeat then takes to arrive here.
   */
  private Duration longestTaskLifetime(String zone, boolean anyHeard) {
    // Where no zone is heard nothing distinguishes a cut from machines that have all died.
    boolean hasPeer =
        anyHeard && cluster.settings.peers().stream().anyMatch(peer -> peer.zone().equals(zone));
    if (hasPeer) {
      // It keeps the leases there alive for as long as it lives.
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

  /** Whether a cancelled job's task may still run there after half of the cancellation bound. */
  private boolean isCancellationBoundNear(Machine machine, Instant now) {
    Duration halfBound = cluster.settings.workerTimes().cancellationBound().dividedBy(2);
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.job.finalStateStored
          && attempt.holdsCapacity()
          && attempt.killedAt() != null
          && attempt.killedAt().plus(halfBound).isBefore(now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Since when a machine should have sent a heartbeat and none was accepted, which may be a time to
   * come; null if none is expected of it.
   */
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
          yield machine.knownFromPlacements ? startedAt : from.plus(FIRST_HEARTBEAT_TIMEOUT);
        }
        yield null;
      }
      case RELEASING, GONE -> null;
    };
  }
}
