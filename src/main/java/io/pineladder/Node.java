package io.pineladder;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.pineladder.delivery.Delivery;
import io.pineladder.leadership.Election;
import io.pineladder.membership.Membership;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Settings;
import io.pineladder.net.Background;
import io.pineladder.net.HttpCaller;
import io.pineladder.net.HttpCaller.Request;
import io.pineladder.net.Timeline;
import io.pineladder.recovery.Follower;
import io.pineladder.recovery.Generations;
import io.pineladder.recovery.LiveCopy;
import io.pineladder.recovery.Takeovers;
import io.pineladder.retry.Backoff;
import io.pineladder.snapshot.Shelf;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.snapshot.Snapshots;
import io.pineladder.store.JobIndex;
import io.pineladder.store.Keys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.BeatWire;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.MalformedException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import io.pineladder.zones.Keeping;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its part in the leadership, and what it knows whether it leads or not. */
public final class Node {
  private static final Logger log = LoggerFactory.getLogger(Node.class);
  private static final Duration TICK = Duration.ofSeconds(2);

  /** A tick that comes so much late is worth a line. */
  private static final Duration PAUSE = Duration.ofSeconds(1);

  private static final Duration WATCH = Duration.ofSeconds(20);
  private static final Duration TYPES_EVERY = Duration.ofSeconds(60);
  private static final Duration HAND_OVER_EVERY = Duration.ofSeconds(60);
  private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(3);
  private static final int FINALS_KEPT = 20_000;

  /** What was accepted here without a leader in this time is stored again after a loss. */
  private static final Duration ACCEPTED_AGAIN = Duration.ofMinutes(10);

  private static final int MOST_ACCEPTED_AGAIN = 2_000;

  /** For so long after an incomplete rebuild nobody is told that a job does not exist. */
  private static final Duration DOUBT = Duration.ofMinutes(2);

  /** Between two final states that are stored again; no more is missing than the last moments'. */
  private static final Duration ENDS_PACE = Duration.ofMillis(100);

  /** By then all that began with snapshots have compared them with the store. */
  private static final Duration COMPARED = Duration.ofSeconds(20);

  /** So long a node without a copy of the records lets one that has it lead. */
  private static final Duration LEFT_TO_OTHERS = Duration.ofSeconds(2);

  /** By then all nodes have stored again what they accepted right before a loss. */
  private static final Duration RESTORED = Duration.ofSeconds(15);

  private final Settings settings;
  private final Timeline time;
  private final HttpCaller http;
  private final StoreClient store;
  private final Election election;
  private final JobIndex accepted;
  private final Membership membership;
  private final Takeovers takeovers;
  private final Backoff confRetry;
  private final Delivery delivery;

  /** Final states never change, so any copy of them may be told. */
  private final Cache<String, JobWire.Status> finals =
      Caffeine.newBuilder().maximumSize(FINALS_KEPT).executor(Runnable::run).build();

  private final Snapshots snapshots;
  private final Generations generations;
  private final Follower follower;
  private final Keeping keeping;
  private final Deque<Accepted> acceptedHere = new ArrayDeque<>();
  private LiveCopy copy = new LiveCopy(0);

  /** The copy that this node fed when it last led, or null. */
  private LiveCopy ledWith;

  /**
   * When this node last was elected it could compare the store with a copy of its own, or no other could
   * either: it knows all that anybody does.
   */
  private boolean soundStart;

  /** Since when this node has found no leader; null while there is one. */
  private Instant vacantSince;

  /** When this process began with a copy from a snapshot; null without one. */
  private Instant restoredAt;

  private Leader leader;
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
  public Node(
      Settings settings,
      Timeline time,
      HttpCaller http,
      String nonce,
      Delivery delivery,
      Shelf shelf,
      Background background) {
    this.snapshots =
        shelf == null
            ? null
            : new Snapshots(shelf, background, time, cluster(settings), this::snapshot);
    this.settings = settings;
    this.delivery = delivery;
    this.time = time;
    this.http = http;
    this.store =
        new StoreClient(
            http, time, settings.storeAddress(), settings.store(), settings.peers().size() + 1);
    this.confRetry = store.backoff();
    this.accepted = new JobIndex(store, time);
    this.takeovers = new Takeovers(time);
    this.membership = new Membership(settings, nonce, time, this::sendBeat, this::own);
    this.election = new Election(store, time, settings, nonce, this::mayStand, new Part());
    this.generations =
        new Generations(store, time, settings.member(), nonce, new RecordsHost());
    this.keeping =
        new Keeping(store, time, settings.member(), settings.workers().report());
    this.follower = new Follower(store, time, new Copying());
  }

  public void start() {
    log.info("controller {} starts in zone {}", settings.member(), settings.zone());
    membership.onStored(generations::heard);
    membership.start();
    tick();
    if (snapshots == null) {
      generations.start();
      return;
    }
    snapshots.load(
        found -> {
          if (found != null) {
            use(LiveCopy.of(found));
            restoredAt = time.now();
            log.info("the snapshot has {} records of revision {}", copy.size(), copy.revision());
          }
          generations.start();
          snapshots.start();
        });
  }

  /** The records as this node has them, as a snapshot; null while it has not read them all. */
  public byte[] takeSnapshot() {
    Snapshot now = snapshot();
    return now == null ? null : now.encode();
  }

  /**
   * Takes in a snapshot of records that the cluster has lost: its jobs come back in a new generation,
   * beside those that were accepted since. Only the leader can.
   *
   * @return how many jobs come back
   * @throws MalformedException when it is no snapshot of this cluster, or this node cannot take it now
   */
  public int handIn(byte[] bytes) throws MalformedException {
    Snapshot snapshot = Snapshot.decode(bytes);
    if (!snapshot.cluster().equals(cluster(settings))) {
      throw new MalformedException("a snapshot of the cluster " + snapshot.cluster());
    }
    if (actingLeader() == null || ledWith != copy || !copy.isComplete()) {
      throw new MalformedException("not now: no leader that has read all records");
    }
    int jobs = copy.unite(LiveCopy.of(new Snapshots.Found(snapshot, List.of())));
    generations.lost(
        Generations.Evidence.HANDED_IN,
        "a snapshot of revision " + snapshot.revision() + " is handed in, with " + jobs + " jobs");
    return jobs;
  }

  /** The workers whose leases this node keeps in the leader's place. */
  public Keeping keeping() {
    return keeping;
  }

  /** What tells one cluster's snapshots from another's. */
  private static String cluster(Settings settings) {
    List<String> members = new ArrayList<>(List.of(settings.member()));
    settings.peers().forEach(peer -> members.add(peer.member()));
    members.sort(null);
    return String.join(",", members) + " of " + settings.storeAddress();
  }

  private Snapshot snapshot() {
    return copy.isComplete() ? copy.snapshot(cluster(settings), time.timeOfDay()) : null;
  }

  /** This copy of the records is the one that would be written if they were lost. */
  private void use(LiveCopy next) {
    copy.listen(null);
    copy = next;
    if (snapshots != null) {
      next.listen(snapshots::changed);
      snapshots.renew();
    }
  }

  /**
   * Whether a missing leader may be replaced: not before the peers were asked which revisions they have
   * seen, or a process that has just begun would lead in a store that has lost its data.
   */
  private boolean mayStand() {
    return membership.hasAskedAll() && generations.hearsPeers() && !leavesItToOthers();
  }

  /** A node with a whole copy of the records leads better than one that has just begun. */
  private boolean leavesItToOthers() {
    Instant now = time.now();
    vacantSince = vacantSince == null ? now : vacantSince;
    return !copy.isComplete()
        && vacantSince.plus(LEFT_TO_OTHERS).isAfter(now)
        && membership.view().stream()
            .anyMatch(
                peer ->
                    peer.state() == Membership.State.UP
                        && peer.stored().complete()
                        && peer.stored().copyBase() == store.generation().base());
  }

  /** What becomes of a copy that follows the store. */
  private final class Copying implements Follower.Listener {
    @Override
    public void onCopy(LiveCopy whole) {
      String lacks = copy.lackedBy(whole);
      if (lacks == null) {
        LiveCopy before = copy;
        use(whole);
        if (before.base() != whole.base()) {
          acceptAgain();
          storeEnds(new ArrayDeque<>(before.endsMissingIn(whole).entrySet()));
        }
      } else {
        onMissing(lacks);
      }
    }

    @Override
    public void onMissing(String key) {
      generations.lost(
          Generations.Evidence.RECORD_MISSING, key + " is missing or older than it was seen");
    }
  }

  /** What this node does as the records are found to be lost, rebuilt, and whole again. */
  private final class RecordsHost implements Generations.Host {
    @Override
    public LiveCopy copy() {
      return copy;
    }

    @Override
    public boolean leads() {
      return ledWith == copy && soundStart && copy.isComplete() && election.leaseHolds();
    }

    @Override
    public void onLost() {
      membership.tellNow();
      election.pause();
      follower.stop();
      accepted.forget();
    }

    @Override
    public void onGeneration(Generation generation) {
      boolean first = generation.equals(Generation.FIRST);
      election.pause();
      follower.stop();
      accepted.forget();
      store.use(generation);
      store.learn(copy.base(), copy.revision());
      if (generation.phase() == Generation.Phase.REBUILDING) {
        return;
      }
      if (!first && generation.by().member().equals(settings.member())) {
        copy.moved(generation);
        if (snapshots != null) {
          snapshots.renew();
        }
      }
      election.start();
      follower.follow();
      readConf();
    }

    @Override
    public List<Membership.View> peers() {
      return membership.view();
    }
  }

  /**
   * Stores again what this node accepted without a leader of late: whoever rebuilt the records may not
   * have had it yet. A job that is there twice is still one job.
   */
  private void acceptAgain() {
    Instant from = time.now().minus(ACCEPTED_AGAIN);
    acceptedHere.removeIf(each -> each.at.isBefore(from));
    acceptedHere.forEach(each -> each.again.run());
  }

  /**
   * Stores final states that this node has seen and that whoever rebuilt the records had not: they are
   * united, and never undone.
   */
  private void storeEnds(Deque<Map.Entry<String, Job.State>> left) {
    Map.Entry<String, Job.State> next = left.peekFirst();
    if (next == null || stopped || !generations.isTrusted()) {
      return;
    }
    String key = Keys.END + next.getKey();
    byte[] body =
        store
            .transaction()
            .require(key, 0)
            .put(key, RecordWire.end(next.getValue()))
            .bytes();
    store.changeForUser(
        store.post("/multi", body),
        1,
        reply -> {
          if (reply.is(200) || reply.is(409)) {
            left.pollFirst();
          }
          time.after(ENDS_PACE, () -> storeEnds(left));
        });
  }

  /** This node has accepted a job without a leader. */
  public void acceptedHere(Runnable again) {
    acceptedHere.addLast(new Accepted(time.now(), again));
    if (acceptedHere.size() > MOST_ACCEPTED_AGAIN) {
      acceptedHere.removeFirst();
    }
  }

  /** A job that this node accepted without a leader, and how to store it again. */
  private record Accepted(Instant at, Runnable again) {}

  /** The snapshots kept here, or null. */
  public Snapshots snapshots() {
    return snapshots;
  }

  public Generations generations() {
    return generations;
  }

  /** The records as this node has seen them stored. */
  public LiveCopy copy() {
    return copy;
  }

  public Follower follower() {
    return follower;
  }

  /**
   * Whether nothing certain can be said of a job that the store does not hold: it may have been lost.
   * What this node itself has seen stored was not removed, or the copy would know of it.
   */
  public boolean mayBeLost(String job) {
    if (!generations.isTrusted() || !copy.isComplete()) {
      return true;
    }
    if (copy.holdsJob(job) || copy.end(job) != null) {
      return true;
    }
    return recordsMayLack();
  }

  /**
   * Whether a record that is not there may yet come: something may be missing from a rebuild, what other
   * controllers accepted without a leader right before it they are storing again, and controllers that
   * begin with their snapshots have yet to compare them with the store.
   */
  private boolean recordsMayLack() {
    if (restoredAt != null && restoredAt.plus(COMPARED).isAfter(time.now())) {
      return true;
    }
    Duration rebuilt = generations.rebuiltFor();
    Duration until = store.generation().exact() ? RESTORED : DOUBT;
    return rebuilt != null && rebuilt.compareTo(until) < 0;
  }

  private void sendBeat(String address, byte[] beat, Consumer<byte[]> onAnswer) {
    http.call(
        Request.post(address, BeatWire.PATH, beat, Membership.TIMEOUT),
        reply -> onAnswer.accept(reply.is(200) ? reply.body() : null));
  }

  private Membership.Own own() {
    return new Membership.Own(
        store.isHealthy(),
        election.isValid() ? election.term() : 0,
        new BeatWire.Stored(
            store.generation().base(),
            store.seen(),
            copy.base(),
            copy.revision(),
            copy.isComplete(),
            generations.highestToken(),
            generations.state() == Generations.State.LOST));
  }

  /** Ends all activity, as a killed process would. */
  public void stop() {
    stopped = true;
    generations.stop();
    if (snapshots != null) {
      snapshots.stop();
    }
    if (leader != null) {
      leader.close();
    }
  }

  private final class Part implements Election.Listener {
    @Override
    public void onElected(long term, long version) {
      Takeovers.Takeover takeover = takeovers.begin(term, membership.ledAt());
      long base = store.generation().base();
      boolean compares = copy.base() == base && copy.isComplete();
      soundStart =
          compares
              || membership.view().stream()
                  .noneMatch(p -> p.stored().complete() && p.stored().copyBase() == base);
      LiveCopy fed = copy.base() == base ? copy : new LiveCopy(base);
      follower.lead(fed);
      leader =
          new Leader(
              settings,
              store,
              http,
              time,
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
      keyGone();
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
      if (generations.isTrusted()) {
        follower.follow();
      }
    }

    @Override
    public void onLeaderKnown(RecordWire.LeaderRecord known) {
      vacantSince = known == null ? vacantSince : null;
      log.debug("the leader is {}", known);
    }
  }

  /** The service ends no lease early; one that is gone too soon was lost. */
  private void keyGone() {
    if (election.leaseHolds()) {
      generations.lost(
          Generations.Evidence.RECORD_MISSING, "the leader's key is gone while its lease holds");
    }
  }

  private final class LeaderHost implements Leader.Host {
    @Override
    public boolean mayAct() {
      return !stopped && election.isValid();
    }

    @Override
    public void resign(String reason) {
      // Whatever stopped this node may not stop the others.
      election.yield(reason);
    }

    @Override
    public void handOver(String reason) {
      Instant now = time.now();
      // Where no other node does better the leadership must not go round and round.
      if (handedOverAt == null || handedOverAt.plus(HAND_OVER_EVERY).isBefore(now)) {
        handedOverAt = now;
        election.yield(reason);
      }
    }

    @Override
    public void superseded(long token) {
      generations.learnToken(token);
      long term = election.term();
      store.urgentRead(
          Keys.LEADER,
          (read, reply) -> {
            if (!election.holdsTerm() || election.term() != term || !read.certain()) {
              return;
            }
            if (read.found() && store.generation().token(read.entry().version()) == term) {
              generations.tokenAbove(token);
            } else {
              election.lose("a worker follows a later leader");
            }
          });
    }

    @Override
    public void onBegun(LiveCopy fed) {
      fed.begun();
      use(fed);
      ledWith = fed;
    }

    @Override
    public void onLost(String reason) {
      generations.lost(Generations.Evidence.RECORD_MISSING, reason);
    }

    @Override
    public void onKeyGone() {
      keyGone();
      election.yield("another leader holds the store");
    }

    @Override
    public void onUnknownJob(String job) {
      // Whoever was told that a job is accepted may ask for ever: none vanishes unless it is lost.
      generations.lost(
          Generations.Evidence.JOB_UNKNOWN, "a worker runs " + job + ", of which nothing is stored");
    }

    @Override
    public void onDamaged(String key) {
      generations.lost(Generations.Evidence.UNREADABLE, key + " cannot be read");
    }

    @Override
    public boolean recordsMayLack() {
      return Node.this.recordsMayLack();
    }

    @Override
    public Duration incompleteFor() {
      return store.generation().exact() ? null : generations.rebuiltFor();
    }

    @Override
    public void onFinal(String job, JobWire.Status status) {
      finals.put(job, status);
    }

    @Override
    public List<MachineType> types() {
      return types;
    }

    @Override
    public void onConf(List<StoreWire.Entry> entries) {
      entries.forEach(Node.this::learnConf);
    }
  }

  public Settings settings() {
    return settings;
  }

  public Timeline time() {
    return time;
  }

  public HttpCaller http() {
    return http;
  }

  public StoreClient store() {
    return store;
  }

  public Takeovers takeovers() {
    return takeovers;
  }

  public Membership membership() {
    return membership;
  }

  /** The jobs that leaders accepted, as this node can read them without one. */
  public JobIndex accepted() {
    return accepted;
  }

  public Election election() {
    return election;
  }

  /** The leader when this node may act as such now, or null. */
  public Leader actingLeader() {
    boolean leading = leader != null && leader.state() == Leader.State.LEADING;
    return leading && election.isValid() ? leader : null;
  }

  /** The leader's memory while this node may answer reports, certain of its lease or not; or null. */
  public Leader termHolder() {
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
    long of = store.generation().base();
    BooleanSupplier wanted = () -> !stopped && store.generation().base() == of;
    store.list(
        Keys.CONF,
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
    store.watch(
        Keys.CONF,
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
            store.retry(
                confRetry,
                followed.reply().is(410) ? this::readConf : () -> watchConf(after, wanted));
          }
        });
  }

  private void learnConf(StoreWire.Entry entry) {
    if (entry.key().equals(Keys.NETWORKS) && delivery != null) {
      delivery.learnNetworks(entry.value());
    }
    if (entry.value() == null) {
      return;
    }
    try {
      if (entry.key().equals(Keys.TYPES)) {
        learnTypes(RecordWire.parseTypes(entry.value()));
      } else if (entry.key().equals(Keys.OPERATOR)) {
        operator = RecordWire.parseOperator(entry.value(), OperatorSettings.DEFAULTS);
        if (leader != null) {
          leader.configure(operator);
        }
      }
    } catch (MalformedException e) {
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
    typesAt = time.now();
    http.call(
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
          } catch (MalformedException e) {
            log.warn("the cloud's machine types are malformed: {}", e.getMessage());
          }
        });
  }

  private void tick() {
    if (stopped) {
      return;
    }
    Instant now = time.now();
    if (tickDue != null && tickDue.plus(PAUSE).isBefore(now)) {
      log.warn("this process stood still or fell behind for {}", Duration.between(tickDue, now));
    }
    tickDue = now.plus(TICK);
    if (election.holdsTerm()) {
      Duration every = types.isEmpty() ? TICK : TYPES_EVERY;
      if (typesAt == null || !typesAt.plus(every).isAfter(time.now())) {
        fetchTypes();
      }
    } else {
      // Its watches may wait for long; this tells whether the store still answers this node.
      store.read(Keys.LEADER, read -> {});
    }
    time.after(TICK, this::tick);
  }
}
