package io.pineladder;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.pineladder.delivery.DeliveryContext;
import io.pineladder.failover.FailoverTimings;
import io.pineladder.generation.GenerationManager;
import io.pineladder.leadership.Election;
import io.pineladder.membership.Membership;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.EventLoop;
import io.pineladder.recovery.ReplicaManager;
import io.pineladder.replica.RecordReplica;
import io.pineladder.retry.Backoff;
import io.pineladder.snapshot.SnapshotStore;
import io.pineladder.store.AcceptedJobIndex;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.upgrade.ClusterVersion;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import io.pineladder.zones.LeaseKeepAliveWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its part in the leadership, and what it knows whether it leads or not. */
public final class ControllerNode {
  private static final Logger log = LoggerFactory.getLogger(ControllerNode.class);
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(2);

  /** A tick that comes so much late is worth a line. */
  private static final Duration MAX_TICK_DELAY = Duration.ofSeconds(1);

  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration MACHINE_TYPES_INTERVAL = Duration.ofSeconds(60);
  private static final Duration MIN_HAND_OVER_INTERVAL = Duration.ofSeconds(60);
  private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(3);
  private static final int FINAL_STATE_CACHE_SIZE = 20_000;

  private final Settings settings;
  private final EventLoop eventLoop;
  private final AsyncHttpClient httpClient;
  private final StoreClient storeClient;
  private final Election election;
  private final AcceptedJobIndex acceptedJobs;
  private final Membership membership;
  private final FailoverTimings failoverTimings;
  private final Backoff configurationRetry;
  private final DeliveryContext delivery;

  /** Final states never change, so any copy of them may be told. */
  private final Cache<String, JobWire.Status> finalStates =
      Caffeine.newBuilder().maximumSize(FINAL_STATE_CACHE_SIZE).executor(Runnable::run).build();

  private final ReplicaManager replicaManager;
  private final LeaseKeepAliveWriter leaseKeepAlives;

  private final ClusterVersion clusterVersion;
  private LeaderTerm leaderTerm;
  private List<MachineType> machineTypes = List.of();
  private OperatorSettings operatorSettings = OperatorSettings.DEFAULTS;
  private Instant machineTypesAskedAt;
  private Instant handedOverAt;
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
    this.clusterVersion = clusterVersion;
    this.settings = settings;
    this.delivery = delivery;
    this.eventLoop = eventLoop;
    this.httpClient = httpClient;
    this.storeClient =
        new StoreClient(
            httpClient,
            eventLoop,
            settings.storeAddress(),
            settings.storeLimits(),
            settings.peers().size() + 1);
    this.configurationRetry = storeClient.newBackoff();
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
        && !clusterVersion.isUnsupported();
  }

  /** The version of the records that is in force, as far as this node knows. */
  public ClusterVersion clusterVersion() {
    return clusterVersion;
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
        readConfiguration();
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
        clusterVersion.supported());
  }

  /** Ends all activity, as a killed process would. */
  public void stop() {
    stopped = true;
    replicaManager.stop();
    if (leaderTerm != null) {
      leaderTerm.close();
    }
  }

  private final class ElectionEvents implements Election.Listener {
    @Override
    public void onElected(long term, long version) {
      FailoverTimings.OngoingFailover takeover =
          failoverTimings.begin(term, membership.leaderContactAt());
      RecordReplica fed = replicaManager.onElected();
      leaderTerm =
          new LeaderTerm(
              settings,
              storeClient,
              httpClient,
              eventLoop,
              term,
              version,
              fed,
              operatorSettings,
              takeover,
              delivery,
              new TermHost());
      leaderTerm.load();
      fetchMachineTypes();
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

  private final class TermHost implements LeaderTerm.Host {
    @Override
    public boolean mayAct() {
      return !stopped && election.isLeaseValid();
    }

    @Override
    public boolean takesReports() {
      return !stopped && election.mayExtendWorkerLeases();
    }

    @Override
    public void resign(String reason) {
      // Whatever stopped this node may not stop the others.
      election.yieldLeadership(reason);
    }

    @Override
    public void handOver(String reason) {
      Instant now = eventLoop.now();
      // Where no other node does better the leadership must not go round and round.
      if (handedOverAt == null || handedOverAt.plus(MIN_HAND_OVER_INTERVAL).isBefore(now)) {
        handedOverAt = now;
        election.yieldLeadership(reason);
      }
    }

    @Override
    public void superseded(long token) {
      long term = election.term();
      replicaManager.onHigherToken(
          token,
          term,
          () -> election.holdsTerm() && election.term() == term,
          () -> election.stepDown("a worker follows a later leader"));
    }

    @Override
    public void onBegun(RecordReplica fed) {
      replicaManager.onTermStarted(fed);
    }

    @Override
    public void onLost(String reason) {
      replicaManager.generations().declareLoss(GenerationManager.Evidence.RECORD_MISSING, reason);
    }

    @Override
    public void onKeyGone() {
      replicaManager.onLeaderKeyMissing();
      election.yieldLeadership("another leader holds the store");
    }

    @Override
    public void onUnknownJob(String job) {
      // Whoever was told that a job is accepted may ask for ever: none vanishes unless it is lost.
      replicaManager
          .generations()
          .declareLoss(
              GenerationManager.Evidence.JOB_UNKNOWN,
              "a worker runs " + job + ", of which nothing is stored");
    }

    @Override
    public void onDamaged(String key) {
      replicaManager
          .generations()
          .declareLoss(GenerationManager.Evidence.UNREADABLE, key + " cannot be read");
    }

    @Override
    public boolean recordsMayLack() {
      return replicaManager.recordsMayBeIncomplete();
    }

    @Override
    public Duration incompleteFor() {
      return replicaManager.timeSinceInexactRebuild();
    }

    @Override
    public void onFinal(String job, JobWire.Status status) {
      finalStates.put(job, status);
    }

    @Override
    public JobWire.Status finalState(String job) {
      return finalStates.getIfPresent(job);
    }

    @Override
    public ClusterVersion version() {
      return clusterVersion;
    }

    @Override
    public List<Membership.PeerStatus> peers() {
      return membership.peerStatuses();
    }

    @Override
    public List<MachineType> types() {
      return machineTypes;
    }

    @Override
    public void onConf(List<StoreWire.Entry> entries) {
      entries.forEach(ControllerNode.this::onConfigurationEntry);
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
    boolean leading = leaderTerm != null && leaderTerm.state() == LeaderTerm.State.LEADING;
    return leading && election.isLeaseValid() ? leaderTerm : null;
  }

  /**
   * The leader's memory while this node may answer reports, certain of its lease or not; or null.
   */
  public LeaderTerm heldTerm() {
    return election.mayExtendWorkerLeases() ? leaderTerm : null;
  }

  public JobWire.Status finalState(String job) {
    return finalStates.getIfPresent(job);
  }

  public void recordFinalState(String job, JobWire.Status status) {
    finalStates.put(job, status);
  }

  public List<MachineType> machineTypes() {
    return machineTypes;
  }

  public OperatorSettings operatorSettings() {
    return operatorSettings;
  }

  // ---- settings kept in the store

  private void readConfiguration() {
    long of = storeClient.generation().base();
    BooleanSupplier wanted = () -> !stopped && storeClient.generation().base() == of;
    storeClient.listAll(
        RecordKeys.CONFIGURATION,
        wanted,
        listing -> {
          listing.entries().forEach(this::onConfigurationEntry);
          watchConfiguration(listing.revision(), wanted);
        });
  }

  private void watchConfiguration(long after, BooleanSupplier wanted) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    storeClient.watch(
        RecordKeys.CONFIGURATION,
        after,
        WATCH_TIMEOUT,
        followed -> {
          if (!wanted.getAsBoolean()) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes != null) {
            configurationRetry.reset();
            changes.entries().forEach(this::onConfigurationEntry);
            watchConfiguration(changes.revision(), wanted);
          } else {
            storeClient.scheduleRetry(
                configurationRetry,
                followed.reply().is(410)
                    ? this::readConfiguration
                    : () -> watchConfiguration(after, wanted));
          }
        });
  }

  private void onConfigurationEntry(StoreWire.Entry entry) {
    if (entry.key().equals(RecordKeys.DELIVERY_NETWORKS) && delivery != null) {
      delivery.learnNetworks(entry.value());
    }
    if (entry.value() == null) {
      return;
    }
    if (entry.key().equals(RecordKeys.CLUSTER_VERSION)) {
      clusterVersion.onRecord(entry.value());
      if (clusterVersion.isUnsupported() && leaderTerm != null) {
        election.yieldLeadership(
            "the records have a version that this controller does not support");
      }
    }
    try {
      if (entry.key().equals(RecordKeys.MACHINE_TYPES)) {
        setMachineTypes(RecordWire.parseTypes(entry.value()));
      } else if (entry.key().equals(RecordKeys.OPERATOR_SETTINGS)) {
        operatorSettings = RecordWire.parseOperator(entry.value(), OperatorSettings.DEFAULTS);
        if (leaderTerm != null) {
          leaderTerm.configure(operatorSettings);
        }
      }
    } catch (MalformedMessageException e) {
      log.warn("{} cannot be read: {}", entry.key(), e.getMessage());
    }
  }

  private void setMachineTypes(List<MachineType> known) {
    machineTypes = List.copyOf(known);
    if (leaderTerm != null) {
      leaderTerm.onMachineTypes(machineTypes);
    }
  }

  /** Asks the cloud for its machine types, and keeps them for times when it cannot be asked. */
  private void fetchMachineTypes() {
    machineTypesAskedAt = eventLoop.now();
    httpClient.call(
        Request.get(settings.cloudAddress(), "/flavors", CLOUD_TIMEOUT),
        reply -> {
          try {
            if (!reply.is(200)) {
              return;
            }
            List<MachineType> known = CloudWire.parseTypes(reply.body());
            boolean changed = !known.equals(machineTypes);
            setMachineTypes(known);
            if (changed && leaderTerm != null) {
              leaderTerm.storeMachineTypes(known);
            }
          } catch (MalformedMessageException e) {
            log.warn("the cloud's machine types are malformed: {}", e.getMessage());
          }
        });
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
      Duration every = machineTypes.isEmpty() ? TICK_INTERVAL : MACHINE_TYPES_INTERVAL;
      if (machineTypesAskedAt == null
          || !machineTypesAskedAt.plus(every).isAfter(eventLoop.now())) {
        fetchMachineTypes();
      }
    } else {
      // Its watches may wait for long; this tells whether the store still answers this node.
      storeClient.read(RecordKeys.LEADER, read -> {});
    }
    eventLoop.schedule(TICK_INTERVAL, this::tick);
  }
}
