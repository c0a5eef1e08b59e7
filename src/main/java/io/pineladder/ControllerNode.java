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
 * One controller: its part in the election, its term while it leads, and what it knows whether it
 * leads or not. Everything happens on the event loop's thread.
 */
public final class ControllerNode {
  private static final Logger log = LoggerFactory.getLogger(ControllerNode.class);
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(2);

  /** A tick that is later shows that the process was paused or is overloaded, and is logged. */
  private static final Duration MAX_TICK_DELAY = Duration.ofSeconds(1);

  /** Where no other controller does better, the leadership must not go round. */
  private static final Duration MIN_HAND_OVER_INTERVAL = Duration.ofSeconds(60);

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
  private final Leadership leadership = new NodeLeadership();
  private final ControllerContext context;

  /** The present term of this controller; null while it does not hold one. */
  private LeaderTerm leaderTerm;

  /** When this controller last gave a term up because others could do better; null if never. */
  private Instant handedOverAt;

  /** When the next tick should come; null before the first. */
  private Instant tickDueAt;

  private boolean stopped;

  /**
   * A controller of this software's version.
   *
   * @param nonce tells this process from the controller's earlier ones
   * @param delivery delivers notifications of final states; null where that is switched off
   * @param snapshotStore where snapshots of the records are stored; null for nowhere
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
   * A controller that may support an older cluster version than this software does.
   *
   * @param clusterVersion the version that it supports, with the oldest one in force
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
    this.membership = new Membership(settings, nonce, eventLoop, this::sendGossip, this::ownGossip);
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

  /** Starts the controller; it takes part in elections once it trusts what the store holds. */
  public void start() {
    log.info(
        "Controller started: controller={} zone={}", settings.controllerName(), settings.zone());
    membership.setRecordStatusListener(replicaManager.generations()::onPeerStatus);
    membership.start();
    tick();
    replicaManager.start();
  }

  /** This node's replica of the records, and what it does when the state service has lost them. */
  public ReplicaManager replicaManager() {
    return replicaManager;
  }

  /**
   * Whether a missing leader may be replaced: not before the peers were asked which revisions they
   * have seen, or a process that has just begun would lead in a store that has lost its data.
   */
  private boolean mayBecomeCandidate() {
    return membership.hasProbedAll()
        && replicaManager.mayStandForElection()
        && !clusterVersion().isUnsupported();
  }

  /** The version of the records that is in force, as far as this node knows. */
  public ClusterVersion clusterVersion() {
    return configuration.clusterVersion();
  }

  /** What follows as records are found to be lost or were rebuilt. */
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
    public void onGenerationChange(boolean whole) {
      election.pause();
      acceptedJobs.invalidate();
      if (whole) {
        election.start();
        configuration.follow();
      }
    }

    @Override
    public List<Membership.PeerStatus> peers() {
      return membership.peerStatuses();
    }
  }

  /** The workers whose leases this node extends in place of a leader they do not reach. */
  public LeaseKeepAliveWriter leaseKeepAlives() {
    return leaseKeepAlives;
  }

  private void sendGossip(String address, byte[] message, Consumer<byte[]> onReply) {
    httpClient.call(
        Request.post(address, GossipWire.PATH, message, Membership.HEARTBEAT_TIMEOUT),
        reply -> onReply.accept(reply.hasStatus(200) ? reply.body() : null));
  }

  private Membership.LocalStatus ownGossip() {
    return new Membership.LocalStatus(
        storeClient.isHealthy(),
        election.isLeaseValid() ? election.term() : 0,
        replicaManager.recordStatus(),
        clusterVersion().supported());
  }

  /** Ends all activity, as a killed process would. */
  public void stop() {
    stopped = true;
    configuration.close();
    replicaManager.stop();
    if (leaderTerm != null) {
      leaderTerm.close();
    }
  }

  /** What follows as this controller's part in the election changes. */
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
    public void onLeaderRead(RecordWire.LeaderRecord known) {
      replicaManager.onLeaderRead(known != null);
      log.debug("Leader read: leader={}", known);
    }
  }

  /** This controller's leadership as its term sees it. */
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
      // What stops this controller may not stop the others, so they go first.
      election.yieldLeadership(reason);
    }

    @Override
    public void transferLeadership(String reason) {
      Instant now = eventLoop.now();
      if (handedOverAt == null || handedOverAt.plus(MIN_HAND_OVER_INTERVAL).isBefore(now)) {
        handedOverAt = now;
        election.yieldLeadership(reason);
      }
    }

    @Override
    public void onNewerToken(long token) {
      long term = election.term();
      replicaManager.onHigherToken(
          token,
          term,
          () -> election.holdsTerm() && election.term() == term,
          () -> election.stepDown("a worker follows a later leader"));
    }

    @Override
    public void onLeaderKeyLost() {
      replicaManager.onLeaderKeyMissing();
      election.yieldLeadership("another leader holds the store");
    }
  }

  /** What follows from the configuration that all controllers share. */
  private final class ConfigurationEvents implements ClusterConfiguration.Listener {
    @Override
    public void onUnsupportedVersion() {
      if (leaderTerm != null) {
        election.yieldLeadership(
            "the records have a version that this controller does not support");
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
        leaderTerm.configure(operatorSettings);
      }
    }
  }

  private void storeMachineTypes(List<MachineType> machineTypes) {
    if (leaderTerm != null) {
      leaderTerm.storeMachineTypes(machineTypes);
    }
  }

  /** The settings that this process was started with. */
  public Settings settings() {
    return settings;
  }

  /** The clock, timers and thread of this controller. */
  public EventLoop eventLoop() {
    return eventLoop;
  }

  /** The client for requests to peers, workers and the cloud. */
  public AsyncHttpClient httpClient() {
    return httpClient;
  }

  /** The client of the state service. */
  public StoreClient storeClient() {
    return storeClient;
  }

  /** How long this node's failovers took. */
  public FailoverTimings failoverTimings() {
    return failoverTimings;
  }

  /** What this node knows of its peers. */
  public Membership membership() {
    return membership;
  }

  /** The jobs that leaders accepted, as this node can read them without one. */
  public AcceptedJobIndex acceptedJobs() {
    return acceptedJobs;
  }

  /** This node's part in the election. */
  public Election election() {
    return election;
  }

  /** The term while this node leads with a valid lease, so that it may act now; else null. */
  public LeaderTerm leadingTerm() {
    boolean leading = leaderTerm != null && leaderTerm.isLeading();
    return leading && election.isLeaseValid() ? leaderTerm : null;
  }

  /**
   * The term while this node may answer heartbeats, its lease valid or in doubt for a short time,
   * whether its records are read or not; else null.
   */
  public LeaderTerm termAcceptingHeartbeats() {
    return election.mayExtendWorkerLeases() ? leaderTerm : null;
  }

  /** Final states that this node has seen stored, which it may answer whether it leads or not. */
  public FinalStateCache finalStates() {
    return finalStates;
  }

  /** The cloud's machine types; empty until they are known. */
  public List<MachineType> machineTypes() {
    return configuration.machineTypes();
  }

  /** What operators have set, as this node has last read it. */
  public OperatorSettings operatorSettings() {
    return configuration.operatorSettings();
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
    if (election.holdsTerm()) {
      machineTypeFetcher.fetchIfDue();
    } else {
      // A watch may wait for long; this read shows whether the store still answers this node.
      storeClient.read(RecordKeys.LEADER, read -> {});
    }
    eventLoop.schedule(TICK_INTERVAL, this::tick);
  }
}
