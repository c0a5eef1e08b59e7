package io.pineladder;

import io.pineladder.delivery.DeliveryContext;
import io.pineladder.failover.FailoverTimings;
import io.pineladder.leadership.Election;
import io.pineladder.membership.Membership;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.EventLoop;
import io.pineladder.recovery.ReplicaManager;
import io.pineladder.snapshot.SnapshotStore;
import io.pineladder.store.AcceptedJobIndex;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.RecordWire;
import io.pineladder.zones.LeaseKeepAliveWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: takes part in the election, holds the current term while it leads, and keeps the
 * state that it needs as leader and follower. Runs on the event loop's thread.
 */
public final class ControllerNode {
  private static final Logger log = LoggerFactory.getLogger(ControllerNode.class);
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(2);

  /** A tick that is delayed by more indicates a paused or overloaded process, and is logged. */
  private static final Duration MAX_TICK_DELAY = Duration.ofSeconds(1);

  /** Prevents leadership from being passed around when no other controller can do better. */
  private static final Duration MIN_TRANSFER_INTERVAL = Duration.ofSeconds(60);

  private final Settings settings;
  private final EventLoop eventLoop;
  private final AsyncHttpClient httpClient;
  private final StoreClient storeClient;
  private final Election election;
  private final AcceptedJobIndex acceptedJobs;
  private final Membership membership;
  private final FailoverTimings failoverTimings;
  private final ClusterConfiguration configuration;
  private final MachineTypeFetcher machineTypeFetcher;
  private final FinalStateCache finalStates = new FinalStateCache();
  private final ReplicaManager replicaManager;
  private final LeaseKeepAliveWriter leaseKeepAlives;
  private final RecordLossReporter recordLoss;
  private final TaskStartMonitor taskStartMonitor = new TaskStartMonitor();
  private final Leadership leadership = new NodeLeadership();
  private final ControllerContext context;

  /** The current term of this controller; null while it has none. */
  private LeaderTerm leaderTerm;

  /** When this controller last transferred leadership; null if never. */
  private Instant leadershipTransferredAt;

  /** When the next tick is due; null before the first. */
  private Instant tickDueAt;

  private boolean stopped;

  /**
   * Creates a controller that supports the cluster version of this software; {@link #start} starts
   * it.
   *
   * @param nonce distinguishes this process from earlier processes of the same controller
   * @param delivery delivers notifications of final states; null if delivery is disabled
   * @param snapshotStore where snapshots of the records are stored; null if snapshots are disabled
   * @param backgroundExecutor writes the snapshots; null without a snapshot store
   */
  public ControllerNode(
      Settings settings,
      EventLoop eventLoop,
      AsyncHttpClient httpClient,
      String nonce,
      DeliveryContext delivery,
      SnapshotStore snapshotStore,
      BackgroundExecutor backgroundExecutor) {
    this(
        settings,
        eventLoop,
        httpClient,
        nonce,
        delivery,
        snapshotStore,
        backgroundExecutor,
        new ClusterVersion());
  }

  /**
   * Creates a controller that may support an older cluster version than this software does.
   *
   * @param clusterVersion the version that it supports, with the oldest version in force
   */
  public ControllerNode(
      Settings settings,
      EventLoop eventLoop,
      AsyncHttpClient httpClient,
      String nonce,
      DeliveryContext delivery,
      SnapshotStore snapshotStore,
      BackgroundExecutor backgroundExecutor,
      ClusterVersion clusterVersion) {
    this.settings = settings;
    this.eventLoop = eventLoop;
    this.httpClient = httpClient;
    this.storeClient =
        new StoreClient(
            httpClient,
            eventLoop,
            settings.storeAddress(),
            settings.storeLimits(),
            settings.peers().size() + 1);
    this.configuration =
        new ClusterConfiguration(storeClient, clusterVersion, delivery, new ConfigurationEvents());
    this.machineTypeFetcher =
        new MachineTypeFetcher(
            httpClient, eventLoop, settings.cloudAddress(), configuration, this::storeMachineTypes);
    this.acceptedJobs = new AcceptedJobIndex(storeClient, eventLoop);
    this.failoverTimings = new FailoverTimings(eventLoop);
    this.membership =
        new Membership(settings, nonce, eventLoop, this::sendGossip, this::localStatus);
    this.election =
        new Election(
            storeClient,
            eventLoop,
            settings,
            nonce,
            this::mayBecomeCandidate,
            new ElectionEvents());
    this.replicaManager =
        new ReplicaManager(
            settings,
            storeClient,
            eventLoop,
            nonce,
            snapshotStore,
            backgroundExecutor,
            new ReplicaEvents());
    this.leaseKeepAlives =
        new LeaseKeepAliveWriter(
            storeClient,
            eventLoop,
            settings.controllerName(),
            settings.workerTimes().heartbeatInterval());
    this.recordLoss = new RecordLossReporter(replicaManager);
    this.context =
        new ControllerContext(
            settings,
            eventLoop,
            httpClient,
            storeClient,
            membership,
            configuration,
            finalStates,
            delivery);
  }

  /** Starts the controller; it joins the election once it trusts the contents of the store. */
  public void start() {
    log.info(
        "Controller started: controller={} zone={}", settings.controllerName(), settings.zone());
    membership.setRecordStatusListener(replicaManager.generations()::onPeerStatus);
    membership.start();
    tick();
    replicaManager.start();
  }

  /** Manages this node's replica of the records, and their rebuild after data loss. */
  public ReplicaManager replicaManager() {
    return replicaManager;
  }

  /**
   * Whether this node may stand for election. All peers must have been asked first for the highest
   * revision they have seen; otherwise a newly started process could become leader on a store that
   * has lost its data.
   */
  private boolean mayBecomeCandidate() {
    return membership.hasProbedAll()
        && replicaManager.mayStandForElection()
        && !clusterVersion().isUnsupported();
  }

  /** The cluster version in force, as far as this node knows. */
  public ClusterVersion clusterVersion() {
    return configuration.clusterVersion();
  }

  /** Reacts to data loss and to new generations of the records. */
  private final class ReplicaEvents implements ReplicaManager.Host {
    @Override
    public boolean holdsLease() {
      return election.excludesOtherLeader();
    }

    @Override
    public void onDataLoss() {
      membership.sendHeartbeatsNow();
      election.pause();
      acceptedJobs.invalidate();
    }

    @Override
    public void onGenerationChange(boolean complete) {
      election.pause();
      acceptedJobs.invalidate();
      if (complete) {
        election.start();
        configuration.listAndWatch();
      }
    }

    @Override
    public List<Membership.PeerStatus> peers() {
      return membership.peerStatuses();
    }
  }

  /** Publishes how many workers' leases this node extends for a leader that they cannot reach. */
  public LeaseKeepAliveWriter leaseKeepAlives() {
    return leaseKeepAlives;
  }

  private void sendGossip(String address, byte[] message, Consumer<byte[]> onReply) {
    httpClient.call(
        Request.post(address, GossipWire.PATH, message, Membership.HEARTBEAT_TIMEOUT),
        reply -> onReply.accept(reply.hasStatus(200) ? reply.body() : null));
  }

  private Membership.LocalStatus localStatus() {
    return new Membership.LocalStatus(
        storeClient.isHealthy(),
        election.isLeaseValid() ? election.term() : 0,
        replicaManager.recordStatus(),
        clusterVersion().supported());
  }

  /** Ends all activity without releasing the leader lease, as a killed process would. */
  public void stop() {
    stopped = true;
    configuration.close();
    replicaManager.stop();
    if (leaderTerm != null) {
      leaderTerm.close();
    }
  }

  /** Starts and ends terms according to the election. */
  private final class ElectionEvents implements Election.Listener {
    @Override
    public void onElected(long term, long leaderKeyRevision) {
      FailoverTimings.OngoingFailover failover =
          failoverTimings.begin(term, membership.leaderContactAt());
      leaderTerm =
          new LeaderTerm(
              context,
              new ElectedTerm(term, leaderKeyRevision),
              replicaManager.onElected(),
              failover,
              leadership,
              recordLoss);
      leaderTerm.load();
      machineTypeFetcher.fetch();
    }

    @Override
    public void onLeaseNotFound() {
      replicaManager.onLeaderKeyMissing();
    }

    @Override
    public void onLeaseConfirmed() {
      if (leaderTerm != null) {
        leaderTerm.onLeaseConfirmed();
      }
    }

    @Override
    public void onLeadershipLost(String reason) {
      if (leaderTerm != null) {
        leaderTerm.close();
        leaderTerm = null;
      }
      replicaManager.onTermEnded();
    }

    @Override
    public void onLeaderRead(RecordWire.LeaderRecord leader) {
      replicaManager.onLeaderRead(leader != null);
      log.debug("Leader read: leader={}", leader);
    }
  }

  /** The lease operations that the term uses. */
  private final class NodeLeadership implements Leadership {
    @Override
    public boolean isLeaseValid() {
      return !stopped && election.isLeaseValid();
    }

    @Override
    public boolean acceptsHeartbeats() {
      return !stopped && election.mayExtendWorkerLeases();
    }

    @Override
    public void resign(String reason) {
      // The cause may not affect other controllers, so they get a chance to be elected first.
      election.yieldLeadership(reason);
    }

    @Override
    public void transferLeadership(String reason) {
      Instant now = eventLoop.now();
      if (leadershipTransferredAt == null
          || leadershipTransferredAt.plus(MIN_TRANSFER_INTERVAL).isBefore(now)) {
        leadershipTransferredAt = now;
        election.yieldLeadership(reason);
      }
    }

    @Override
    public void onNewerFencingToken(long token) {
      long term = election.term();
      replicaManager.onHigherToken(
          token,
          term,
          () -> election.holdsTerm() && election.term() == term,
          () -> election.stepDown("a worker has seen the fencing token of a later leader"));
    }

    @Override
    public void onLeaderKeyLost() {
      replicaManager.onLeaderKeyMissing();
      election.yieldLeadership("the leader key was deleted or belongs to another controller");
    }
  }

  /** Applies configuration changes to the current term. */
  private final class ConfigurationEvents implements ClusterConfiguration.Listener {
    @Override
    public void onUnsupportedVersion() {
      if (leaderTerm != null) {
        election.yieldLeadership(
            "the cluster version in force is not supported by this controller");
      }
    }

    @Override
    public void onMachineTypes(List<MachineType> machineTypes) {
      if (leaderTerm != null) {
        leaderTerm.onMachineTypes(machineTypes);
      }
    }

    @Override
    public void onOperatorSettings(OperatorSettings operatorSettings) {
      if (leaderTerm != null) {
        leaderTerm.applyOperatorSettings(operatorSettings);
      }
    }
  }

  private void storeMachineTypes(List<MachineType> machineTypes) {
    if (leaderTerm != null) {
      leaderTerm.storeMachineTypes(machineTypes);
    }
  }

  /** The settings with which this process was started. */
  public Settings settings() {
    return settings;
  }

  /** The clock, timers and thread of this controller. */
  public EventLoop eventLoop() {
    return eventLoop;
  }

  /** The client for requests to peers, workers and the cloud provider. */
  public AsyncHttpClient httpClient() {
    return httpClient;
  }

  /** The client of the key-value store. */
  public StoreClient storeClient() {
    return storeClient;
  }

  /** The durations of this node's failovers. */
  public FailoverTimings failoverTimings() {
    return failoverTimings;
  }

  /** The health and status of the peers, as seen by this node. */
  public Membership membership() {
    return membership;
  }

  /** The index of accepted jobs, which this node can read without a leader. */
  public AcceptedJobIndex acceptedJobs() {
    return acceptedJobs;
  }

  /** The leader election, as run by this node. */
  public Election election() {
    return election;
  }

  /** The current term if its records are loaded and its lease is valid; otherwise null. */
  public LeaderTerm leadingTerm() {
    boolean leading = leaderTerm != null && leaderTerm.isLeading();
    return leading && election.isLeaseValid() ? leaderTerm : null;
  }

  /**
   * The current term if it may answer heartbeats: its lease is valid, or has been in doubt for a
   * limited time, and its records may still be loading. Otherwise null.
   */
  public LeaderTerm termAcceptingHeartbeats() {
    return election.mayExtendWorkerLeases() ? leaderTerm : null;
  }

  /** The cache of stored final states, which are valid answers with or without a leader. */
  public FinalStateCache finalStates() {
    return finalStates;
  }

  /** The machine types that the cloud provider offers; empty until they are known. */
  public List<MachineType> machineTypes() {
    return configuration.machineTypes();
  }

  /** The operator settings, as last read by this node. */
  public OperatorSettings operatorSettings() {
    return configuration.operatorSettings();
  }

  /** Why no task starts now, as seen from this node. */
  public TaskStartMonitor taskStartMonitor() {
    return taskStartMonitor;
  }

  private TaskStartMonitor.Observation observeTaskStarts() {
    if (leaderTerm != null) {
      return leaderTerm.observeTaskStarts(election.isLeaseValid());
    }
    boolean leaderKnown = election.knownLeader() != null;
    return new TaskStartMonitor.Observation(
        leaderKnown ? TaskStartMonitor.Reason.FOLLOWING : TaskStartMonitor.Reason.NO_LEADER,
        () -> "storeHealthy=" + storeClient.isHealthy());
  }

  private void tick() {
    if (stopped) {
      return;
    }
    Instant now = eventLoop.now();
    if (tickDueAt != null && tickDueAt.plus(MAX_TICK_DELAY).isBefore(now)) {
      log.warn("Process paused or overloaded: delay={}", Duration.between(tickDueAt, now));
    }
    tickDueAt = now.plus(TICK_INTERVAL);
    taskStartMonitor.observe(observeTaskStarts(), now);
    if (election.holdsTerm()) {
      machineTypeFetcher.fetchIfDue();
    } else {
      // A watch may wait for a long time, so this read checks that the store is still reachable.
      storeClient.read(RecordKeys.LEADER, read -> {});
    }
    eventLoop.schedule(TICK_INTERVAL, this::tick);
  }
}
