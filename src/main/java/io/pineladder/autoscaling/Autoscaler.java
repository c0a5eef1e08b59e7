package io.pineladder.autoscaling;

import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.OperatorSettings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.Records;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;

/**
 * Rents machines for pending jobs and for what is likely to arrive, detects failed ones, and
 * releases those that are not needed. Reviews them once a second while the leader may act. All
 * methods run on the event loop.
 */
public final class Autoscaler {
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

  /** A tick that is late by more than this shows that the process was paused. */
  private static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofSeconds(2);

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final Callbacks effects;
  private final CloudClient cloud;
  private final Zones zones = new Zones();
  private final CapacityEstimates estimates;
  private final MachineReleaser releaser;
  private final MachineInventory inventory;
  private final FailureDetector failureDetector;
  private final ScaleIn scaleIn;
  private final ScaleOut scaleOut;
  private boolean closed;
  private Instant lastTickAt;

  /** What the autoscaler asks of the leader. */
  public interface Callbacks {
    /** Whether the leader's lease allows it to act now. */
    boolean mayAct();

    /** Whether heartbeats are accepted now, which they may be while the lease is uncertain. */
    boolean acceptsHeartbeats();

    /** Gives up leadership. */
    void resign(String reason);

    /** Gives up leadership to a peer that can do better. */
    void transferLeadership(String reason);

    /** How many workers of a zone other controllers have lately reported heartbeats of. */
    int workersSeenByPeers(String zone);

    /** Probes a machine whose heartbeat is overdue. */
    void probe(Machine machine);
  }

  /** Creates the autoscaler of one term; it does nothing before {@link #start}. */
  public Autoscaler(
      ClusterState cluster,
      Scheduler scheduler,
      Records records,
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      long term,
      OperatorSettings operator,
      Callbacks effects) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.effects = effects;
    this.cloud = new CloudClient(cluster.settings, httpClient, eventLoop);
    CapacityRefusals refusals = new CapacityRefusals(cluster, eventLoop);
    MachineTypeSelector types = new MachineTypeSelector(cluster, refusals);
    ImageFetchEstimator imageFetch = new ImageFetchEstimator(cluster);
    BootTimeEstimator bootTimes = new BootTimeEstimator();
    this.estimates =
        new CapacityEstimates(
            bootTimes,
            imageFetch,
            new MachineUtilization(cluster, eventLoop),
            new ArrivalStatistics(cluster, eventLoop, types, imageFetch));
    this.releaser =
        new MachineReleaser(cluster, scheduler, records, cloud, bootTimes, effects::mayAct);
    RentalClient rentals =
        new RentalClient(cluster, eventLoop, term, cloud, zones, refusals, releaser::wasReleased);
    this.scaleOut = new ScaleOut(cluster, scheduler, eventLoop, estimates, types, rentals);
    this.scaleIn = new ScaleIn(cluster, estimates, zones, releaser, operator);
    Instant now = eventLoop.now();
    this.inventory = new MachineInventory(cluster, eventLoop, cloud, releaser, now);
    this.lastTickAt = now;
    this.failureDetector = new FailureDetector(cluster, estimates, zones, effects, now);
  }

  /** Applies changed settings of the operator. */
  public void configure(OperatorSettings next) {
    scaleIn.configure(next);
  }

  /** The zones as this leader sees them. */
  public Zones zones() {
    return zones;
  }

  /** Begins the reviews; the jobs of earlier terms are known. */
  public void start() {
    estimates.imageFetch().start();
    tick();
  }

  /** Ends the reviews; replies of the cloud are ignored from now on. */
  public void close() {
    closed = true;
    cloud.close();
  }

  /** Counts a job whose tasks may start from now on for the forecast. */
  public void recordArrival(Job job) {
    estimates.arrivals().recordArrival(job);
  }

  /**
   * Whether all machines that existed when this term began are known, with their tasks: a list no
   * older than the term was read to its end, and each machine has sent a heartbeat or its release
   * was confirmed.
   */
  public boolean isInventoryConfirmed() {
    return inventory.isConfirmed();
  }

  /** Whether the cloud has confirmed the machine's return: what still comes from it is stale. */
  public boolean wasReleased(String machine) {
    return releaser.wasReleased(machine);
  }

  /**
   * Asks the cloud to take the machine back; only its answer proves that the tasks there are gone.
   */
  public void release(Machine machine) {
    releaser.release(machine);
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
      inventory.listMachines(now);
      cluster.spotRisk.observe(countConfirmedSpotMachines(), now);
      failureDetector.findMachinesToRelease(now).forEach(releaser::release);
      failureDetector.resignIfWorkersReachPeersOnly(now);
      scheduler.faultAttribution().reviewRunningJobs(now);
      scheduler.retryUnschedulable(now);
      scaleIn.review(now);
      releaser.sendReleases();
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
}
