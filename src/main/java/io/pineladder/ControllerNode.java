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

/** One controller: its part in the leadership, and what it knows whether it leads or not. */
public final class ControllerNode {
  private static final Logger log = LoggerFactory.getLogger(ControllerNode.class);
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(2);

  /** A tick that comes so much late is worth a line. */
  private static final Duration MAX_TICK_DELAY = Duration.ofSeconds(1);

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
   * A controller.
   *
   * @param delivery delivers notices of final states; null where that is switched off
   * @param shelf where snapshots of the records are kept; null for nowhere
   * @param background where they are made; null without a shelf
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
   * @param version what it supports
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

  public void start() {
    log.info("controller {} starts in zone {}", settings.controllerName(), settings.zone());
    membership.onStoreStatus(replicaManager.generations()::onPeerStatus);
    membership.start();
    tick();
    replicaManager.start();
  }

  /** What this node keeps of the records, and does when the state service has lost them. */
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

  /** The workers whose leases this node keeps in the leader's place. */
  public LeaseKeepAliveWriter leaseKeepAlives() {
    return leaseKeepAlives;
  }

  private void sendGossip(String address, byte[] message, Consumer<byte[]> onReply) {
    httpClient.call(
        Request.post(address, GossipWire.PATH, message, Membership.HEARTBEAT_TIMEOUT),
        reply -> onReply.accept(reply.is(200) ? reply.body() : null));
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
      log.debug("the leader is {}", known);
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

  public Settings settings() {
    return settings;
  }

  public EventLoop eventLoop() {
    return eventLoop;
  }

  public AsyncHttpClient httpClient() {
    return httpClient;
  }

  public StoreClient storeClient() {
    return storeClient;
  }

  public FailoverTimings failoverTimings() {
    return failoverTimings;
  }

  public Membership membership() {
    return membership;
  }

  /** The jobs that leaders accepted, as this node can read them without one. */
  public AcceptedJobIndex acceptedJobs() {
    return acceptedJobs;
  }

  public Election election() {
    return election;
  }

  /** The leader when this node may act as such now, or null. */
  public LeaderTerm leadingTerm() {
    boolean leading = leaderTerm != null && leaderTerm.isLeading();
    return leading && election.isLeaseValid() ? leaderTerm : null;
  }

  /**
   * The leader's memory while this node may answer reports, certain of its lease or not; or null.
   */
  public LeaderTerm heldTerm() {
    return election.mayExtendWorkerLeases() ? leaderTerm : null;
  }

  /** Final states that this node has seen stored, which it may answer whether it leads or not. */
  public FinalStateCache finalStates() {
    return finalStates;
  }

  public List<MachineType> machineTypes() {
    return configuration.machineTypes();
  }

  public OperatorSettings operatorSettings() {
    return configuration.operatorSettings();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    Instant now = eventLoop.now();
    if (tickDueAt != null && tickDueAt.plus(MAX_TICK_DELAY).isBefore(now)) {
      log.warn("this process stood still or fell behind for {}", Duration.between(tickDueAt, now));
    }
    tickDueAt = now.plus(TICK_INTERVAL);
    if (election.holdsTerm()) {
      machineTypeFetcher.fetchIfDue();
    } else {
      // Its watches may wait for long; this tells whether the store still answers this node.
      storeClient.read(RecordKeys.LEADER, read -> {});
    }
    eventLoop.schedule(TICK_INTERVAL, this::tick);
  }
}
