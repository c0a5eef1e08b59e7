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
 * Detects machines without heartbeats and decides when each of them is released. The release of a
 * machine is the proof that its tasks are gone.
 */
final class FailureDetector {
  private static final Logger log = LoggerFactory.getLogger(FailureDetector.class);

  /** How long after a failover workers may still be looking for the new leader. */
  private static final Duration FAILOVER_SETTLE_TIME = Duration.ofSeconds(15);

  /** How long the first heartbeat may take after the start of the term or the machine. */
  private static final Duration FIRST_HEARTBEAT_TIMEOUT = Duration.ofSeconds(15);

  /** How long tasks may live in an unreachable zone that has its own controller. */
  private static final Duration PEER_ZONE_TIMEOUT = Duration.ofMinutes(3);

  /**
   * How late a heartbeat may be, for example after a lost response or a switch to another
   * controller.
   */
  private static final Duration HEARTBEAT_GRACE = Duration.ofSeconds(6);

  /** How long before its heartbeat timeout a machine counts as overdue. */
  private static final Duration OVERDUE_LEAD = Duration.ofSeconds(4);

  /** A machine that may recover is waited for at most the replacement time divided by this. */
  private static final int REPLACEMENT_WAIT_DIVISOR = 3;

  private final ClusterState cluster;
  private final CapacityEstimates estimates;
  private final Zones zones;
  private final ZoneOutagePolicy zoneOutagePolicy;
  private final Autoscaler.Callbacks callbacks;
  private final Instant startedAt;

  /** Until when a zone is treated as unreachable after its last unreachable review. */
  private final Map<String, Instant> unreachableUntil = new HashMap<>();

  /**
   * Since when this leader has accepted heartbeats without interruption. Heartbeats missing from
   * before that time do not indicate failed machines: after a process pause they have not been read
   * yet, and while the lease was uncertain they were not applied or went to other controllers.
   */
  private Instant acceptingHeartbeatsSince;

  FailureDetector(
      ClusterState cluster,
      CapacityEstimates estimates,
      Zones zones,
      Autoscaler.Callbacks callbacks,
      Instant now) {
    this.cluster = cluster;
    this.estimates = estimates;
    this.zones = zones;
    this.zoneOutagePolicy = new ZoneOutagePolicy(cluster, estimates, zones);
    this.callbacks = callbacks;
    this.startedAt = now;
    this.acceptingHeartbeatsSince = now;
  }

  /** Restarts all heartbeat timeouts, because no heartbeats were accepted until now. */
  void onHeartbeatsNotAccepted(Instant now) {
    acceptingHeartbeatsSince = now;
  }

  private Duration heartbeatTimeout() {
    Duration interval = cluster.settings.workerTimes().heartbeatInterval();
    return interval.plus(interval.dividedBy(4)).plus(HEARTBEAT_GRACE);
  }

  /** The heartbeat counts of one zone. */
  private static final class ZoneHeartbeats {
    int expected;
    int overdue;
    int recentlySeen;

    /** Whether so many machines are overdue that they probably have a common cause. */
    boolean isCorrelated() {
      return overdue >= 3 && overdue * 20 > expected;
    }
  }

  /** The heartbeat state of all machines at one point in time. */
  private static final class Survey {
    final Map<String, ZoneHeartbeats> byZone = new HashMap<>();

    /** Machines whose heartbeat timeout has passed. */
    final List<Machine> silent = new ArrayList<>();

    /** The number of machines that should be sending heartbeats, or should soon. */
    int expected;

    /** Whether all machines are silent, although at least one has sent heartbeats before. */
    boolean areAllSilent() {
      return expected >= 2
          && silent.size() == expected
          && silent.stream().anyMatch(m -> m.lastHeartbeatAt != null);
    }

    boolean isAnyRecentlySeen() {
      return byZone.values().stream().anyMatch(zone -> zone.recentlySeen > 0);
    }
  }

  /**
   * Finds the silent machines to release now.
   *
   * <p>If nearly all machines of a zone are silent, the network between this controller and the
   * zone has probably failed. A controller in the zone may keep the workers' leases alive, so the
   * machines are kept for as long as their tasks may live. If heartbeats still arrive from other
   * machines of the zone, the silent ones are released after the timeout or their lease, however
   * many they are, because waiting longer only delays their tasks' restart.
   */
  List<Machine> findMachinesToRelease(Instant now) {
    Duration timeout = heartbeatTimeout();
    Survey survey = survey(timeout, now);
    if (survey.areAllSilent()) {
      // Workers may still reach another controller. A new leader that never received a heartbeat
      // does not resign; otherwise, machines that have all failed would never be released.
      callbacks.resign("no worker heartbeats received");
      return List.of();
    }
    reviewZones(survey, timeout, now);
    return selectForRelease(survey, timeout, now);
  }

  private Survey survey(Duration timeout, Instant now) {
    // The machines of a cut-off zone time out at different moments. Outages are detected by the
    // overdue machines, so that the first ones are not released before the last ones time out.
    Duration overdueAfter = timeout.minus(OVERDUE_LEAD);
    // In a cut-off zone all heartbeats stop at once: when the first machine becomes overdue, the
    // last heartbeat of every machine is older than this period.
    Duration recentPeriod = overdueAfter.minus(cluster.settings.workerTimes().heartbeatInterval());
    Survey survey = new Survey();
    for (Machine machine : cluster.machines()) {
      Instant since = silentSince(machine);
      if (since == null) {
        continue;
      }
      survey.expected++;
      if (since.isAfter(now)) {
        // Its first heartbeat is not due yet. Counting it would hide an outage of its zone, for
        // example right after a failover.
        continue;
      }
      ZoneHeartbeats zone = survey.byZone.computeIfAbsent(machine.zone, z -> new ZoneHeartbeats());
      zone.expected++;
      boolean recentlySeen =
          machine.lastHeartbeatAt != null
              && machine.lastHeartbeatAt.plus(recentPeriod).isAfter(now);
      zone.recentlySeen += recentlySeen ? 1 : 0;
      if (since.plus(overdueAfter).isBefore(now)) {
        zone.overdue++;
        if (now.getEpochSecond() % 2 == 0) {
          callbacks.probe(machine);
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
    boolean wasConfirmed = machine.state() == Machine.State.CONFIRMED;
    machine.onHeartbeatTimeout();
    if (wasConfirmed) {
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
                  heartbeats.recentlySeen,
                  callbacks.workersSeenByPeers(zone));
          zones.review(zone, counts, now);
          if (counts.isUnreachable()) {
            // When the zone recovers, some machines send heartbeats before others. The others must
            // not be released in the meantime.
            unreachableUntil.put(zone, now.plus(timeout));
          }
        });
  }

  private List<Machine> selectForRelease(Survey survey, Duration timeout, Instant now) {
    boolean anySeen = survey.isAnyRecentlySeen();
    List<Machine> toRelease = new ArrayList<>();
    List<Machine> inUnreachableZones = new ArrayList<>();
    for (Machine machine : survey.silent) {
      if (zones.isKeptAliveByPeers(machine.zone)) {
        // Another controller keeps its lease alive and stops its cancelled tasks.
        continue;
      }
      Duration releaseAfter =
          releaseTimeout(machine, survey.byZone.get(machine.zone), anySeen, timeout, now);
      if (isCancellationBoundNear(machine, now)) {
        toRelease.add(machine);
      } else if (silentSince(machine).plus(releaseAfter).isBefore(now)) {
        (zones.isUnreachable(machine.zone) ? inUnreachableZones : toRelease).add(machine);
      }
    }
    toRelease.addAll(zoneOutagePolicy.machinesToRelease(inUnreachableZones, now));
    return toRelease;
  }

  /** The minimum silence after which a silent machine is released; zero to release it at once. */
  private Duration releaseTimeout(
      Machine machine, ZoneHeartbeats zone, boolean anySeen, Duration timeout, Instant now) {
    Duration lease = cluster.settings.workerTimes().leaseDuration();
    if (unreachableUntil.getOrDefault(machine.zone, Instant.MIN).isAfter(now)) {
      return maxTaskLifetime(machine.zone, anySeen);
    }
    boolean waitsForLease = zone.isCorrelated() && isWorthWaiting(machine, lease.minus(timeout));
    return waitsForLease ? lease : Duration.ZERO;
  }

  /**
   * Transfers leadership if most recent heartbeats were forwarded by peers, so the workers reach
   * other controllers but not this one. Commands could then be sent only in responses to forwarded
   * heartbeats, and a peer would be a better leader. A leader of the colombo-ops deployment that
   * was cut off from its workers alone had gone on for a minute.
   */
  void resignIfWorkersReachPeersOnly(Instant now) {
    if (startedAt.plus(FAILOVER_SETTLE_TIME).isAfter(now)) {
      return;
    }
    Instant from = now.minus(cluster.settings.workerTimes().heartbeatInterval());
    int recentlySeen = 0;
    int throughPeers = 0;
    for (Machine machine : cluster.machines()) {
      if (machine.state() == Machine.State.CONFIRMED && machine.lastHeartbeatAt.isAfter(from)) {
        recentlySeen++;
        throughPeers += machine.reachedThroughPeer ? 1 : 0;
      }
    }
    if (throughPeers >= 3 && throughPeers * 2 > recentlySeen) {
      callbacks.transferLeadership("workers reach peer controllers but not this one");
    }
  }

  /**
   * Whether to wait longer for a machine that may recover with its tasks: worthwhile if a
   * replacement with a typical image takes several times as long to be ready.
   */
  private boolean isWorthWaiting(Machine machine, Duration extraWait) {
    Duration replacementTime =
        machine.type.bootTime().plus(estimates.imageFetch().fetchTime(machine.type));
    return extraWait.multipliedBy(REPLACEMENT_WAIT_DIVISOR).compareTo(replacementTime) < 0;
  }

  /**
   * How long tasks may live in an unreachable zone, where other controllers may keep the workers'
   * leases alive, plus the time for a heartbeat to arrive here afterwards.
   */
  private Duration maxTaskLifetime(String zone, boolean anySeen) {
    // If no heartbeat arrives from any zone, an outage looks the same as failed machines.
    boolean hasPeer =
        anySeen && cluster.settings.peers().stream().anyMatch(peer -> peer.zone().equals(zone));
    if (hasPeer) {
      // The peer keeps the leases in its zone alive as long as it runs.
      return PEER_ZONE_TIMEOUT;
    }
    Settings.WorkerTimes workers = cluster.settings.workerTimes();
    Duration renewedLifetime =
        Election.maxWorkerLeaseExtension(workers)
            .plus(workers.leaseDuration())
            .plus(heartbeatTimeout());
    Duration minimum = workers.leaseDuration().multipliedBy(2);
    return renewedLifetime.compareTo(minimum) > 0 ? renewedLifetime : minimum;
  }

  /** Whether a cancelled task may still run there after half of the cancellation bound. */
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
   * The time from which the heartbeat timeout of a machine is counted, which may be in the future;
   * null if no heartbeat is expected from it.
   */
  private Instant silentSince(Machine machine) {
    Instant since = heartbeatBaseline(machine);
    return since == null || since.isAfter(acceptingHeartbeatsSince)
        ? since
        : acceptingHeartbeatsSince;
  }

  private Instant heartbeatBaseline(Machine machine) {
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
