package io.pineladder.autoscaling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.Records;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines for what waits and what is likely to come, and returns those that are not needed.
 */
public final class Autoscaler {
  private static final Logger log = LoggerFactory.getLogger(Autoscaler.class);
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

  /** A tick that comes so much late shows that this process stood still. */
  private static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofSeconds(2);

  /** So many times the room to have ready is plenty: idle machines need not wait for long. */
  private static final double SURPLUS_HEADROOM_FACTOR = 2;

  /** An idle machine that is not needed even then waits for this part of the usual least time. */
  private static final int SURPLUS_IDLE_DIVISOR = 3;

  /**
   * Returned machines that are remembered, so that what still names them is known to be late: half
   * as many again as the 4,000 machines of the largest fleets, which may all go within moments.
   */
  static final int MAX_TRACKED_RELEASES = 6_000;

  /**
   * A list of which no more pages could be asked for at the time.
   *
   * @param after the last name that was read
   * @param begun when its first page was asked for
   */
  private record Interrupted(String after, Instant begun) {}

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final Records records;
  private final EventLoop eventLoop;
  private final Effects effects;
  private final Map<String, Instant> releasedAt = new LinkedHashMap<>();
  private final Set<String> pendingReleases = new LinkedHashSet<>();
  private OperatorSettings operator;
  private boolean listInFlight;

  /** A list that the rate has interrupted, or null. */
  private Interrupted interrupted;

  private Instant lastCompleteListAt = Instant.MIN;
  private boolean releaseInFlight;
  private boolean closed;
  private final Instant startedAt;
  private Instant lastTickAt;

  private final BootTimeEstimator bootTimes = new BootTimeEstimator();
  private final CloudClient cloud;
  private final Zones zones = new Zones();
  private final ScaleOut scaleOut;
  private final FailureDetector failureDetector;

  /** What the fleet asks of the leader. */
  public interface Effects {
    boolean mayAct();

    /** Workers' reports are taken in now, certain of the lease or not. */
    boolean acceptsHeartbeats();

    void resign(String reason);

    /** Another node can do better. */
    void transferLeadership(String reason);

    /** How many machines of a zone another controller hears, as it has told lately. */
    int workersHeardByPeers(String zone);

    /** Asks a machine that is overdue whether it is there. */
    void probe(Machine machine);
  }

  public Autoscaler(
      ClusterState cluster,
      Scheduler scheduler,
      Records records,
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      long term,
      OperatorSettings operator,
      Effects effects) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.records = records;
    this.eventLoop = eventLoop;
    this.operator = operator;
    this.effects = effects;
    this.cloud = new CloudClient(cluster.settings, httpClient, eventLoop);
    this.scaleOut =
        new ScaleOut(
            cluster, scheduler, eventLoop, term, cloud, bootTimes, zones, this::wasReleased);
    this.startedAt = eventLoop.now();
    this.lastTickAt = startedAt;
    this.failureDetector = new FailureDetector(cluster, scaleOut, zones, effects, startedAt);
  }

  public void configure(OperatorSettings next) {
    operator = next;
  }

  /** The zones, as this leader sees them. */
  public Zones zones() {
    return zones;
  }

  public void start() {
    scaleOut.start();
    tick();
  }

  public void close() {
    closed = true;
    cloud.close();
  }

  /** A job has come in: it counts for the forecast. */
  public void recordArrival(Job job) {
    scaleOut.recordArrival(job);
  }

  private void tick() {
    if (closed) {
      return;
    }
    Instant now = eventLoop.now();
    if (now.isAfter(lastTickAt.plus(TICK_INTERVAL).plus(PROCESS_PAUSE_THRESHOLD))
        || !effects.acceptsHeartbeats()) {
      failureDetector.onHeartbeatsNotAccepted(now);
    }
    lastTickAt = now;
    if (effects.mayAct()) {
      listMachines(now);
      cluster.spotRisk.observe(countConfirmedSpotMachines(), now);
      failureDetector.findMachinesToRelease(now).forEach(this::release);
      failureDetector.resignIfWorkersReachPeersOnly(now);
      scheduler.faultAttribution().reviewRunningJobs(now);
      scheduler.retryUnschedulable(now);
      scaleIn(now);
      sendReleases();
      scaleOut.rentMissing(now);
    }
    eventLoop.schedule(TICK_INTERVAL, this::tick);
  }

  private int countConfirmedSpotMachines() {
    int count = 0;
    for (Machine machine : cluster.machines()) {
      count += machine.spot && machine.state() == Machine.State.CONFIRMED ? 1 : 0;
    }
    return count;
  }

  // ---- what there is

  private void listMachines(Instant now) {
    // A list of many pages takes its part of the calls; a short one is asked for as often as it
    // ages.
    long pages = 1 + cluster.machines().size() / CloudWire.PAGE;
    Duration interval =
        cluster.settings.cloudLimits().listLag().dividedBy(2).plusSeconds(pages / 2);
    if (listInFlight) {
      return;
    }
    if (interrupted != null) {
      // Begun anew a list of more pages than the rate allows at once would never be whole.
      listInFlight = requestPage(interrupted.after, interrupted.begun);
    } else if (!now.isBefore(lastCompleteListAt.plus(interval))) {
      listInFlight = requestPage("", now);
    }
  }

  private boolean requestPage(String after, Instant listStartedAt) {
    String path = "/rentals?page=" + CloudWire.PAGE + (after.isEmpty() ? "" : "&since=" + after);
    Instant sentAt = eventLoop.now();
    interrupted = null;
    boolean asked = cloud.get(path, reply -> onPage(reply, after, listStartedAt, sentAt));
    if (!asked && !after.isEmpty()) {
      interrupted = new Interrupted(after, listStartedAt);
    }
    return asked;
  }

  private void onPage(AsyncHttpClient.Reply reply, String after, Instant begun, Instant sent) {
    listInFlight = false;
    if (!reply.is(200)) {
      return;
    }
    try {
      CloudWire.Page page = CloudWire.parsePage(reply.body());
      page.machines().forEach(this::onListed);
      boolean more = page.more() && !page.machines().isEmpty();
      String last = more ? page.machines().get(page.machines().size() - 1).name() : null;
      releaseMissing(page, after, last, sent);
      if (more) {
        listInFlight = requestPage(last, begun);
      } else {
        lastCompleteListAt = begun;
      }
    } catch (MalformedMessageException e) {
      log.warn("the machine list is malformed: {}", e.getMessage());
    }
  }

  /**
   * A machine that was listed stays listed until it is gone. One that is missing from a list too
   * young to be from before it was listed has most likely been taken; its tasks wait for the proof,
   * which its return gives at once. Without this, work on machines taken without a notice waited
   * until they had been silent for long.
   *
   * @param last the last name of the page, or null when no more follow
   */
  private void releaseMissing(CloudWire.Page page, String after, String last, Instant sentAt) {
    Set<String> names = new HashSet<>();
    page.machines().forEach(listed -> names.add(listed.name()));
    Instant knownBefore =
        sentAt.minus(cluster.settings.cloudLimits().listLag().multipliedBy(2)).minusSeconds(1);
    List<Machine> missing = new ArrayList<>();
    for (Machine machine : cluster.machinesBetween(after, last)) {
      Instant knownSince = machine.knownFromPlacements ? startedAt : machine.firstListedAt;
      boolean stillRented =
          machine.state() != Machine.State.RELEASING && !names.contains(machine.name);
      if (stillRented && knownSince != null && knownSince.isBefore(knownBefore)) {
        missing.add(machine);
      }
    }
    if (!missing.isEmpty()) {
      log.info("{} machines are no longer listed", missing.size());
      for (Machine machine : missing) {
        if (machine.spot && machine.reclaimAt == null) {
          cluster.spotRisk.recordReclaim();
        }
        release(machine);
      }
    }
  }

  private void onListed(CloudWire.Listed listed) {
    if (releasedAt.containsKey(listed.name())) {
      return;
    }
    Machine machine = cluster.machine(listed.name());
    if (machine == null) {
      MachineType type = cluster.type(listed.type());
      if (type == null) {
        return;
      }
      Instant since = eventLoop.now().minus(listed.age());
      machine = new Machine(listed.name(), type, listed.zone(), listed.spot(), since);
      machine.address = listed.address();
      cluster.addMachine(machine);
    }
    if (machine.address == null) {
      machine.address = listed.address();
    }
    if (machine.firstListedAt == null) {
      machine.firstListedAt = eventLoop.now();
    }
    machine.listedRunning |= listed.life() == CloudWire.Life.RUNNING;
    if (listed.life() == CloudWire.Life.FAILED && !machine.stoppedByItself) {
      machine.stoppedByItself = true;
      log.info("machine {} has failed", machine);
      release(machine);
    }
  }

  /**
   * Whether all machines that were there when this term began are known, and what is on them: a
   * list that is no older than the term has named them, and each was heard or its return was
   * answered.
   */
  public boolean isInventoryConfirmed() {
    Duration lag = cluster.settings.cloudLimits().listLag();
    if (!lastCompleteListAt.isAfter(startedAt.plus(lag.multipliedBy(2)).plusSeconds(1))) {
      return false;
    }
    for (Machine machine : cluster.machines()) {
      boolean heard =
          switch (machine.state()) {
            case CONFIRMED, SILENT, GONE -> true;
            case EXPECTED -> machine.rentedByThisLeader;
            case HEARD, RELEASING -> false;
          };
      if (!heard) {
        return false;
      }
    }
    return true;
  }

  /** Whether a machine has been returned: what still comes from it is late. */
  public boolean wasReleased(String machine) {
    return releasedAt.containsKey(machine);
  }

  // ---- returning

  /** Asks the cloud to take the machine away; only its answer proves that the tasks are gone. */
  public void release(Machine machine) {
    if (machine.state() == Machine.State.RELEASING || machine.state() == Machine.State.GONE) {
      return;
    }
    log.debug("returning machine {} ({}, {})", machine, machine.state(), machine.attempts.size());
    machine.transitionTo(Machine.State.RELEASING);
    cluster.updateIndexes(machine);
    pendingReleases.add(machine.name);
    sendReleases();
  }

  private void sendReleases() {
    if (releaseInFlight || pendingReleases.isEmpty() || !effects.mayAct()) {
      return;
    }
    List<String> names = pendingReleases.stream().limit(CloudWire.MOST_RELEASED).toList();
    releaseInFlight =
        cloud.post(
            "/rentals/release",
            CloudWire.release(names),
            reply -> {
              releaseInFlight = false;
              if (reply.is(200)) {
                names.forEach(this::onReleased);
              }
            });
  }

  private void onReleased(String name) {
    pendingReleases.remove(name);
    releasedAt.put(name, eventLoop.now());
    if (releasedAt.size() > MAX_TRACKED_RELEASES) {
      releasedAt.remove(releasedAt.keySet().iterator().next());
    }
    Machine machine = cluster.removeMachine(name);
    if (machine == null) {
      return;
    }
    machine.transitionTo(Machine.State.GONE);
    scheduler.faultAttribution().forget(machine);
    bootTimes.forget(machine);
    List<Attempt> lost = List.copyOf(machine.attempts.values());
    records.removePlacements(lost);
    for (Attempt attempt : lost) {
      scheduler.onAttemptGone(attempt, "the machine was returned");
    }
  }

  /** Returns machines that are to go: faulty or never up, or idle for long enough. */
  private void scaleIn(Instant now) {
    // Without any job there is nothing to be ready for.
    boolean noJobs = cluster.jobs.isEmpty();
    Map<Boolean, Double> freeByMarket = new HashMap<>();
    List<Machine> idle = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      bootTimes.observe(machine, now);
      switch (machine.state()) {
        case EXPECTED -> {
          if (!machine.listedRunning
              && machine.attempts.isEmpty()
              && bootTimes.isGivenUp(machine, now)) {
            log.info("machine {} never came up", machine);
            release(machine);
          }
        }
        case CONFIRMED -> {
          if (!scaleOut.isIdle(machine)) {
            machine.idleSince = null;
          } else if (machine.idleSince == null) {
            machine.idleSince = now;
          }
          if ((machine.draining || machine.retiring) && machine.attempts.isEmpty()) {
            release(machine);
          } else if (isDrainOverdue(machine, now)) {
            drain(machine);
          } else if (isUnreachableTooLong(machine, now)) {
            log.info("machine {} reports but hears nothing", machine);
            release(machine);
          } else if (machine.isSchedulable()) {
            freeByMarket.merge(
                machine.spot,
                scaleOut.freeShare(machine) * machine.type.onDemandPrice(),
                Double::sum);
            Duration surplusRetention = operator.idleReleaseAfter().dividedBy(SURPLUS_IDLE_DIVISOR);
            if (machine.idleSince != null
                && machine.idleSince.plus(surplusRetention).isBefore(now)) {
              idle.add(machine);
            }
          }
        }
        default -> {}
      }
    }
    idle.sort(Comparator.comparing(m -> m.idleSince));
    for (Machine machine : idle) {
      double freeWithoutIt = freeByMarket.get(machine.spot) - machine.type.onDemandPrice();
      double headroom = scaleOut.headroom(machine.spot);
      boolean surplus =
          isCapacityQuicklyReplaced(machine.type)
              && freeWithoutIt >= SURPLUS_HEADROOM_FACTOR * headroom + machine.type.onDemandPrice();
      Duration retention = noJobs ? operator.idleReleaseAfter() : idleRetention(machine.type);
      boolean retentionOver = machine.idleSince.plus(retention).isBefore(now);
      if (noJobs ? retentionOver : surplus || (retentionOver && freeWithoutIt >= headroom)) {
        freeByMarket.put(machine.spot, freeWithoutIt);
        drain(machine);
      }
    }
  }

  /**
   * A machine that is to go is emptied after the time for which policy may keep a job from room:
   * what is left on a faulty one may be a service, which never ends by itself.
   */
  private boolean isDrainOverdue(Machine machine, Instant now) {
    if (!machine.draining) {
      return false;
    }
    machine.drainingSince = machine.drainingSince == null ? now : machine.drainingSince;
    return machine.drainingSince.plus(Scheduler.MAX_POLICY_DELAY).isBefore(now);
  }

  /**
   * Whether a machine that hears nothing has been waited for as long as another takes, and a lease,
   * by the end of which nothing of before runs there any more.
   */
  private boolean isUnreachableTooLong(Machine machine, Instant now) {
    if (machine.reachedThroughPeer || zones.isUnreachable(machine.zone)) {
      return false;
    }
    Duration patience =
        cluster.settings.workerTimes().leaseDuration().plus(idleRetention(machine.type));
    return machine.trackUnreachable(now).compareTo(patience) > 0;
  }

  /** Returns a machine that is not needed; work for idle time saves first and goes elsewhere. */
  private void drain(Machine machine) {
    if (machine.attempts.isEmpty()) {
      release(machine);
      return;
    }
    machine.draining = true;
    cluster.updateIndexes(machine);
    List.copyOf(machine.attempts.values()).forEach(scheduler::preempt);
  }

  /**
   * Whether room is easily had again: a usual image is fetched sooner than a machine boots, and
   * machines boot as they should.
   */
  private boolean isCapacityQuicklyReplaced(MachineType type) {
    return scaleOut.isFetchFasterThanBoot(type) && bootTimes.isTypical(type);
  }

  /** An idle machine is kept as long as having one ready again would take. */
  private Duration idleRetention(MachineType type) {
    Duration replacementTime = bootTimes.typicalBootTime(type).plus(scaleOut.fetchTime(type));
    return replacementTime.compareTo(operator.idleReleaseAfter()) > 0
        ? replacementTime
        : operator.idleReleaseAfter();
  }
}
