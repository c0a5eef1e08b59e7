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
  private static final Duration TICK = Duration.ofSeconds(2);

  /** A tick that comes so much late is worth a line. */
  private static final Duration PAUSE = Duration.ofSeconds(1);

  private static final Duration WATCH = Duration.ofSeconds(20);
  private static final Duration TYPES_EVERY = Duration.ofSeconds(60);
  private static final Duration HAND_OVER_EVERY = Duration.ofSeconds(60);
  private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(3);
  private static final int FINALS_KEPT = 20_000;

  private final Settings settings;
  private final EventLoop eventLoop;
  private final AsyncHttpClient httpClient;
  private final StoreClient storeClient;
  private final Election election;
  private final AcceptedJobIndex accepted;
  private final Membership membership;
  private final FailoverTimings takeovers;
  private final Backoff confRetry;
  private final DeliveryContext delivery;

  /** Final states never change, so any copy of them may be told. */
  private final Cache<String, JobWire.Status> finals =
      Caffeine.newBuilder().maximumSize(FINALS_KEPT).executor(Runnable::run).build();

  private final ReplicaManager records;
  private final LeaseKeepAliveWriter keeping;

  private final ClusterVersion version;
  private LeaderTerm leader;
  private List<MachineType> types = List.of();
  private OperatorSettings operator = OperatorSettings.DEFAULTS;
  private Instant typesAt;
  private Instant handedOverAt;
  private Instant tickDue;
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
      ClusterVersion version) {
    this.version = version;
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
    this.confRetry = storeClient.backoff();
    this.accepted = new AcceptedJobIndex(storeClient, eventLoop);
    this.takeovers = new FailoverTimings(eventLoop);
    this.membership = new Membership(settings, nonce, eventLoop, this::sendBeat, this::own);
    this.election =
        new Election(storeClient, eventLoop, settings, nonce, this::mayStand, new Part());
    this.records =
        new ReplicaManager(
            settings,
            storeClient,
            eventLoop,
            nonce,
            snapshotStore,
            backgroundExecutor,
            new RecordsHost());
    this.keeping =
        new LeaseKeepAliveWriter(
            storeClient,
            eventLoop,
            settings.controllerName(),
            settings.workerTimes().heartbeatInterval());
  }

  public void start() {
    log.info("controller {} starts in zone {}", settings.controllerName(), settings.zone());
    membership.onStored(records.generations()::heard);
    membership.start();
    tick();
    records.start();
  }

  /** What this node keeps of the records, and does when the state service has lost them. */
  public ReplicaManager records() {
    return records;
  }

  /**
   * Whether a missing leader may be replaced: not before the peers were asked which revisions they
   * have seen, or a process that has just begun would lead in a store that has lost its data.
   */
  private boolean mayStand() {
    return membership.hasAskedAll() && records.mayStand() && !version.isUnsupported();
  }

  /** The version of the records that is in force, as far as this node knows. */
  public ClusterVersion version() {
    return version;
  }

  private final class RecordsHost implements ReplicaManager.Host {
    @Override
    public boolean leaseHolds() {
      return election.leaseHolds();
    }

    @Override
    public void onLost() {
      membership.tellNow();
      election.pause();
      accepted.forget();
    }

    @Override
    public void onGeneration(boolean whole) {
      election.pause();
      accepted.forget();
      if (whole) {
        election.start();
        readConf();
      }
    }

    @Override
    public List<Membership.View> peers() {
      return membership.view();
    }
  }

  /** The workers whose leases this node keeps in the leader's place. */
  public LeaseKeepAliveWriter keeping() {
    return keeping;
  }

  private void sendBeat(String address, byte[] beat, Consumer<byte[]> onAnswer) {
    httpClient.call(
        Request.post(address, GossipWire.PATH, beat, Membership.TIMEOUT),
        reply -> onAnswer.accept(reply.is(200) ? reply.body() : null));
  }

  private Membership.Own own() {
    return new Membership.Own(
        storeClient.isHealthy(),
        election.isValid() ? election.term() : 0,
        records.told(),
        version.supported());
  }

  /** Ends all activity, as a killed process would. */
  public void stop() {
    stopped = true;
    records.stop();
    if (leader != null) {
      leader.close();
    }
  }

  private final class Part implements Election.Listener {
    @Override
    public void onElected(long term, long version) {
      FailoverTimings.OngoingFailover takeover = takeovers.begin(term, membership.ledAt());
      RecordReplica fed = records.lead();
      leader =
          new LeaderTerm(
              settings,
              storeClient,
              httpClient,
              eventLoop,
              term,
              version,
              fed,
              operator,
              takeover,
              delivery,
              new LeaderHost());
      leader.load();
      fetchTypes();
    }

    @Override
    public void onLeaseGone() {
      records.onKeyGone();
    }

    @Override
    public void onCertain() {
      if (leader != null) {
        leader.onCertain();
      }
    }

    @Override
    public void onLost(String reason) {
      if (leader != null) {
        leader.close();
        leader = null;
      }
      records.follow();
    }

    @Override
    public void onLeaderKnown(RecordWire.LeaderRecord known) {
      records.leaderKnown(known != null);
      log.debug("the leader is {}", known);
    }
  }

  private final class LeaderHost implements LeaderTerm.Host {
    @Override
    public boolean mayAct() {
      return !stopped && election.isValid();
    }

    @Override
    public boolean takesReports() {
      return !stopped && election.mayKeepAlive();
    }

    @Override
    public void resign(String reason) {
      // Whatever stopped this node may not stop the others.
      election.yield(reason);
    }

    @Override
    public void handOver(String reason) {
      Instant now = eventLoop.now();
      // Where no other node does better the leadership must not go round and round.
      if (handedOverAt == null || handedOverAt.plus(HAND_OVER_EVERY).isBefore(now)) {
        handedOverAt = now;
        election.yield(reason);
      }
    }

    @Override
    public void superseded(long token) {
      long term = election.term();
      records.superseded(
          token,
          term,
          () -> election.holdsTerm() && election.term() == term,
          () -> election.lose("a worker follows a later leader"));
    }

    @Override
    public void onBegun(RecordReplica fed) {
      records.begun(fed);
    }

    @Override
    public void onLost(String reason) {
      records.generations().lost(GenerationManager.Evidence.RECORD_MISSING, reason);
    }

    @Override
    public void onKeyGone() {
      records.onKeyGone();
      election.yield("another leader holds the store");
    }

    @Override
    public void onUnknownJob(String job) {
      // Whoever was told that a job is accepted may ask for ever: none vanishes unless it is lost.
      records
          .generations()
          .lost(
              GenerationManager.Evidence.JOB_UNKNOWN,
              "a worker runs " + job + ", of which nothing is stored");
    }

    @Override
    public void onDamaged(String key) {
      records.generations().lost(GenerationManager.Evidence.UNREADABLE, key + " cannot be read");
    }

    @Override
    public boolean recordsMayLack() {
      return records.mayLack();
    }

    @Override
    public Duration incompleteFor() {
      return records.incompleteFor();
    }

    @Override
    public void onFinal(String job, JobWire.Status status) {
      finals.put(job, status);
    }

    @Override
    public JobWire.Status finalState(String job) {
      return finals.getIfPresent(job);
    }

    @Override
    public ClusterVersion version() {
      return version;
    }

    @Override
    public List<Membership.View> peers() {
      return membership.view();
    }

    @Override
    public List<MachineType> types() {
      return types;
    }

    @Override
    public void onConf(List<StoreWire.Entry> entries) {
      entries.forEach(ControllerNode.this::learnConf);
    }
  }

  public Settings settings() {
    return settings;
  }

  public EventLoop time() {
    return eventLoop;
  }

  public AsyncHttpClient http() {
    return httpClient;
  }

  public StoreClient store() {
    return storeClient;
  }

  public FailoverTimings takeovers() {
    return takeovers;
  }

  public Membership membership() {
    return membership;
  }

  /** The jobs that leaders accepted, as this node can read them without one. */
  public AcceptedJobIndex accepted() {
    return accepted;
  }

  public Election election() {
    return election;
  }

  /** The leader when this node may act as such now, or null. */
  public LeaderTerm actingLeader() {
    boolean leading = leader != null && leader.state() == LeaderTerm.State.LEADING;
    return leading && election.isValid() ? leader : null;
  }

  /**
   * The leader's memory while this node may answer reports, certain of its lease or not; or null.
   */
  public LeaderTerm termHolder() {
    return election.mayKeepAlive() ? leader : null;
  }

  public JobWire.Status finalState(String job) {
    return finals.getIfPresent(job);
  }

  public void learnFinal(String job, JobWire.Status status) {
    finals.put(job, status);
  }

  public List<MachineType> types() {
    return types;
  }

  public OperatorSettings operator() {
    return operator;
  }

  // ---- settings kept in the store

  private void readConf() {
    long of = storeClient.generation().base();
    BooleanSupplier wanted = () -> !stopped && storeClient.generation().base() == of;
    storeClient.list(
        RecordKeys.CONF,
        wanted,
        listing -> {
          listing.entries().forEach(this::learnConf);
          watchConf(listing.revision(), wanted);
        });
  }

  private void watchConf(long after, BooleanSupplier wanted) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    storeClient.watch(
        RecordKeys.CONF,
        after,
        WATCH,
        followed -> {
          if (!wanted.getAsBoolean()) {
            return;
          }
          StoreWire.Changes changes = followed.changes();
          if (changes != null) {
            confRetry.reset();
            changes.entries().forEach(this::learnConf);
            watchConf(changes.revision(), wanted);
          } else {
            storeClient.retry(
                confRetry,
                followed.reply().is(410) ? this::readConf : () -> watchConf(after, wanted));
          }
        });
  }

  private void learnConf(StoreWire.Entry entry) {
    if (entry.key().equals(RecordKeys.NETWORKS) && delivery != null) {
      delivery.learnNetworks(entry.value());
    }
    if (entry.value() == null) {
      return;
    }
    if (entry.key().equals(RecordKeys.VERSION)) {
      version.learn(entry.value());
      if (version.isUnsupported() && leader != null) {
        election.yield("the records have a version that this controller does not support");
      }
    }
    try {
      if (entry.key().equals(RecordKeys.TYPES)) {
        learnTypes(RecordWire.parseTypes(entry.value()));
      } else if (entry.key().equals(RecordKeys.OPERATOR)) {
        operator = RecordWire.parseOperator(entry.value(), OperatorSettings.DEFAULTS);
        if (leader != null) {
          leader.configure(operator);
        }
      }
    } catch (MalformedMessageException e) {
      log.warn("{} cannot be read: {}", entry.key(), e.getMessage());
    }
  }

  private void learnTypes(List<MachineType> known) {
    types = List.copyOf(known);
    if (leader != null) {
      leader.onTypes(types);
    }
  }

  /** Asks the cloud for its machine types, and keeps them for times when it cannot be asked. */
  private void fetchTypes() {
    typesAt = eventLoop.now();
    httpClient.call(
        Request.get(settings.cloudAddress(), "/flavors", CLOUD_TIMEOUT),
        reply -> {
          try {
            if (!reply.is(200)) {
              return;
            }
            List<MachineType> known = CloudWire.parseTypes(reply.body());
            boolean changed = !known.equals(types);
            learnTypes(known);
            if (changed && leader != null) {
              leader.storeTypes(known);
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
    if (tickDue != null && tickDue.plus(PAUSE).isBefore(now)) {
      log.warn("this process stood still or fell behind for {}", Duration.between(tickDue, now));
    }
    tickDue = now.plus(TICK);
    if (election.holdsTerm()) {
      Duration every = types.isEmpty() ? TICK : TYPES_EVERY;
      if (typesAt == null || !typesAt.plus(every).isAfter(eventLoop.now())) {
        fetchTypes();
      }
    } else {
      // Its watches may wait for long; this tells whether the store still answers this node.
      storeClient.read(RecordKeys.LEADER, read -> {});
    }
    eventLoop.schedule(TICK, this::tick);
  }
}
