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
 * Scales the cluster: rents machines for pending and expected work, detects failed machines, and
 * releases machines that are not needed. Runs once a second while the leader's lease is valid. All
 * methods run on the event loop.
 */
public final class Autoscaler {
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

  /** A tick that is late by more than this indicates that the process was paused. */
  private static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofSeconds(2);

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final Callbacks callbacks;
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

  /** Queries and requests that the autoscaler passes to the leader. */
  public interface Callbacks {
    /** Must be checked before every side effect, since the process may have been paused. */
    boolean isLeadingWithValidLease();

    /** Whether heartbeats are accepted now; possibly also while the lease is uncertain. */
    boolean acceptsHeartbeats();

    /** Gives up leadership. */
    void resign(String reason);

    /** Gives up leadership in favour of a peer that is better connected. */
    void transferLeadership(String reason);

    /** The number of workers in the zone whose heartbeats other controllers recently received. */
    int workersSeenByPeers(String zone);

    /** Probes a machine whose heartbeat is overdue. */
    void probe(Machine machine);
  }

  /** Creates the autoscaler of one term, which is inactive until {@link #start}. */
  public Autoscaler(
      ClusterState cluster,
      Scheduler scheduler,
      Records records,
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      long term,
      OperatorSettings operator,
      Callbacks callbacks) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.callbacks = callbacks;
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
        new MachineReleaser(
            cluster, scheduler, records, cloud, bootTimes, callbacks::isLeadingWithValidLease);
    RentalClient rentals =
        new RentalClient(cluster, eventLoop, term, cloud, zones, refusals, releaser::wasReleased);
    this.scaleOut = new ScaleOut(cluster, scheduler, eventLoop, estimates, types, rentals);
    this.scaleIn = new ScaleIn(cluster, estimates, zones, releaser, operator);
    Instant now = eventLoop.now();
    this.inventory = new MachineInventory(cluster, eventLoop, cloud, releaser, now);
    this.lastTickAt = now;
    this.failureDetector = new FailureDetector(cluster, estimates, zones, callbacks, now);
  }

  /** Applies changed operator settings. */
  public void configure(OperatorSettings next) {
    scaleIn.configure(next);
  }

  /** This leader's view of the zones. */
  public Zones zones() {
    return zones;
  }

  /** Starts the periodic reviews. The jobs of earlier terms must have been loaded. */
  public void start() {
    estimates.imageFetch().start();
    tick();
  }

  /** Stops the reviews; later replies of the cloud are ignored. */
  public void close() {
    closed = true;
    cloud.close();
  }

  /** Adds a job whose tasks may start now to the arrival forecast. */
  public void recordArrival(Job job) {
    estimates.arrivals().recordArrival(job);
  }

  /**
   * Whether all machines that existed at the start of the term are known, with their tasks: a list
   * that is no older than the term was read completely, and each machine has either sent a
   * heartbeat or been released.
   */
  public boolean isInventoryConfirmed() {
    return inventory.isConfirmed();
  }

  /** Whether the cloud has confirmed the machine's release, so its messages are stale. */
  public boolean wasReleased(String machine) {
    return releaser.wasReleased(machine);
  }

  /**
   * Requests the machine's release. Only the cloud's confirmation proves that its tasks are gone.
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
        || !callbacks.acceptsHeartbeats()) {
      failureDetector.onHeartbeatsNotAccepted(now);
    }
    lastTickAt = now;
    if (callbacks.isLeadingWithValidLease()) {
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
