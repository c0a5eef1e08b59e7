package io.pineladder.recovery;

import io.pineladder.generation.GenerationManager;
import io.pineladder.membership.Membership;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.model.Settings;
import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.EventLoop;
import io.pineladder.replica.RecordReplica;
import io.pineladder.replica.ReplicaFollower;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.snapshot.SnapshotManager;
import io.pineladder.snapshot.SnapshotStore;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.GossipWire.Stored;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one controller keeps of the records beside the state service, whether it leads or not: a
 * live copy, snapshots, and what it has itself stored for others of late; and its part in a
 * rebuild.
 */
public final class ReplicaManager {
  private static final Logger log = LoggerFactory.getLogger(ReplicaManager.class);

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

  /** What the node does. */
  public interface Host {
    /** The lease of this node's present or last term holds by its own clock. */
    boolean leaseHolds();

    /** Nothing in the store counts: no leading, no reading. */
    void onLost();

    /** Another generation counts; nobody leads before it is whole. */
    void onGeneration(boolean whole);

    List<Membership.PeerStatus> peers();
  }

  private final Settings settings;
  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Host host;
  private final Generation.Writer self;
  private final SnapshotManager snapshots;
  private final GenerationManager generations;
  private final ReplicaFollower follower;
  private final Deque<Accepted> acceptedHere = new ArrayDeque<>();
  private RecordReplica replica = new RecordReplica(0);

  /** The copy that this node fed when it last led, or null. */
  private RecordReplica ledWith;

  /**
   * When this node last was elected it could compare the store with a copy of its own, or no other
   * could either: it knows all that anybody does.
   */
  private boolean soundStart;

  /** Since when this node has found no leader; null while there is one. */
  private Instant vacantSince;

  /** When this process began with a copy from a snapshot; null without one. */
  private Instant restoredAt;

  private boolean stopped;

  /**
   * The keeping of one controller.
   *
   * @param shelf where snapshots are kept; null for nowhere
   * @param background where they are made; null without a shelf
   */
  public ReplicaManager(
      Settings settings,
      StoreClient storeClient,
      EventLoop eventLoop,
      String nonce,
      SnapshotStore snapshotStore,
      BackgroundExecutor backgroundExecutor,
      Host host) {
    this.settings = settings;
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.host = host;
    this.snapshots =
        snapshotStore == null
            ? null
            : new SnapshotManager(
                snapshotStore, backgroundExecutor, eventLoop, cluster(settings), this::snapshot);
    this.self = new Generation.Writer(settings.controllerName(), nonce);
    this.generations = new GenerationManager(storeClient, eventLoop, self, new Rebuilding());
    this.follower = new ReplicaFollower(storeClient, eventLoop, new Copying());
  }

  /** Reads what a snapshot has, and which generation counts. */
  public void start() {
    if (snapshots == null) {
      generations.start();
      return;
    }
    snapshots.load(
        found -> {
          if (found != null) {
            use(RecordReplica.of(found));
            restoredAt = eventLoop.now();
            log.info(
                "the snapshot has {} records of revision {}", replica.size(), replica.revision());
          }
          generations.start();
          snapshots.start();
        });
  }

  public void stop() {
    stopped = true;
    generations.stop();
    if (snapshots != null) {
      snapshots.stop();
    }
  }

  /** The snapshots kept here, or null. */
  public SnapshotManager snapshots() {
    return snapshots;
  }

  public GenerationManager generations() {
    return generations;
  }

  /** The records as this node has seen them stored. */
  public RecordReplica copy() {
    return replica;
  }

  public ReplicaFollower follower() {
    return follower;
  }

  /** What peers are told of all this. */
  public Stored told() {
    return new Stored(
        storeClient.generation().base(),
        storeClient.highestRevision(),
        replica.base(),
        replica.revision(),
        replica.isComplete(),
        generations.highestToken(),
        generations.state() == GenerationManager.State.LOST);
  }

  // ---- the leadership

  /** Whether this node may lead in the store as it is, and no other had better. */
  public boolean mayStand() {
    return generations.hearsPeers() && !leavesItToOthers();
  }

  /** Whether there is a leader, as was just read. */
  public void leaderKnown(boolean is) {
    vacantSince = is ? null : vacantSince;
  }

  /** This node was elected; the copy that it is to feed. */
  public RecordReplica lead() {
    long base = storeClient.generation().base();
    boolean compares = replica.base() == base && replica.isComplete();
    soundStart =
        compares
            || host.peers().stream()
                .noneMatch(p -> p.stored().complete() && p.stored().copyBase() == base);
    RecordReplica fed = replica.base() == base ? replica : new RecordReplica(base);
    follower.lead(fed);
    return fed;
  }

  /** The new leader has read all records. */
  public void begun(RecordReplica fed) {
    fed.begun();
    use(fed);
    ledWith = fed;
  }

  /** This node leads no more. */
  public void follow() {
    if (generations.isTrusted()) {
      follower.follow();
    }
  }

  /** The service ends no lease early; a leader's key that is gone too soon was lost. */
  public void onKeyGone() {
    if (host.leaseHolds()) {
      generations.lost(
          GenerationManager.Evidence.RECORD_MISSING,
          "the leader's key is gone while its lease holds");
    }
  }

  /**
   * A worker has seen a token above that of this node's term. Whether a later leader has one or the
   * store has lost the key of an earlier one shows by whether ours still stands.
   *
   * @param leads whether this node still holds that term
   * @param lose ends it
   */
  public void superseded(long token, long term, BooleanSupplier leads, Runnable lose) {
    generations.learnToken(token);
    if (generations.state() == GenerationManager.State.DOUBTED) {
      return;
    }
    generations.doubt("a worker has seen token " + token + ", ours is " + term);
    storeClient.readImmediately(
        RecordKeys.LEADER,
        (read, reply) -> {
          boolean stands =
              read.found() && storeClient.generation().token(read.entry().version()) == term;
          if (leads.getAsBoolean() && stands) {
            generations.tokenAbove(token);
            return;
          }
          generations.cleared();
          if (leads.getAsBoolean()) {
            // Also where the store does not tell: whoever has the higher token leads, and not this
            // node.
            lose.run();
          }
        });
  }

  /** For how long something may be missing from the records; null when nothing can be. */
  public Duration incompleteFor() {
    return storeClient.generation().exact() ? null : generations.rebuiltFor();
  }

  // ---- a rebuild

  /** What this node does as the records are found to be lost, rebuilt, and whole again. */
  private final class Rebuilding implements GenerationManager.Host {
    @Override
    public RecordReplica copy() {
      return replica;
    }

    @Override
    public boolean leads() {
      return ledWith == replica && soundStart && replica.isComplete() && host.leaseHolds();
    }

    @Override
    public void onLost() {
      host.onLost();
      follower.stop();
    }

    @Override
    public void onGeneration(Generation generation) {
      boolean whole = generation.phase() == Generation.Phase.COMPLETE;
      boolean mine = generation.writer().equals(self);
      follower.stop();
      storeClient.useGeneration(generation);
      storeClient.observeRevision(replica.base(), replica.revision());
      if (whole && generation.base() != 0 && mine) {
        replica.moved(generation);
        if (snapshots != null) {
          snapshots.onReplicaReplaced();
        }
      }
      host.onGeneration(whole);
      if (whole) {
        follower.follow();
      }
    }

    @Override
    public List<Membership.PeerStatus> peers() {
      return host.peers();
    }
  }

  /** The records as this node has them, as a snapshot; null while it has not read them all. */
  public byte[] takeSnapshot() {
    Snapshot now = snapshot();
    return now == null ? null : now.encode();
  }

  /**
   * Takes in a snapshot of records that the cluster has lost: its jobs come back in a new
   * generation, beside those that were accepted since. Only the leader can.
   *
   * @return how many jobs come back
   * @throws MalformedMessageException when it is no snapshot of this cluster, or this node cannot
   *     take it now
   */
  public int handIn(byte[] bytes) throws MalformedMessageException {
    Snapshot snapshot = Snapshot.decode(bytes);
    snapshot.requireCluster(cluster(settings));
    if (!host.leaseHolds() || ledWith != replica || !replica.isComplete()) {
      throw new MalformedMessageException("not now: no leader that has read all records");
    }
    int jobs =
        replica.unite(RecordReplica.of(new SnapshotManager.LoadedSnapshot(snapshot, List.of())));
    generations.lost(
        GenerationManager.Evidence.HANDED_IN,
        "a snapshot of revision " + snapshot.revision() + " is handed in, with " + jobs + " jobs");
    return jobs;
  }

  /** What tells one cluster's snapshots from another's. */
  private static String cluster(Settings settings) {
    List<String> members = new ArrayList<>(List.of(settings.controllerName()));
    settings.peers().forEach(peer -> members.add(peer.controllerName()));
    members.sort(null);
    return String.join(",", members) + " of " + settings.storeAddress();
  }

  private Snapshot snapshot() {
    return replica.isComplete() ? replica.snapshot(cluster(settings), eventLoop.wallClock()) : null;
  }

  /** This copy of the records is the one that would be written if they were lost. */
  private void use(RecordReplica next) {
    replica.listen(null);
    replica = next;
    if (snapshots != null) {
      next.listen(snapshots::recordChange);
      snapshots.onReplicaReplaced();
    }
  }

  /** A node with a whole copy of the records leads better than one that has just begun. */
  private boolean leavesItToOthers() {
    Instant now = eventLoop.now();
    vacantSince = vacantSince == null ? now : vacantSince;
    return !replica.isComplete()
        && vacantSince.plus(LEFT_TO_OTHERS).isAfter(now)
        && host.peers().stream()
            .anyMatch(
                peer ->
                    peer.state() == Membership.State.UP
                        && peer.stored().complete()
                        && peer.stored().copyBase() == storeClient.generation().base());
  }

  /** What becomes of a copy that follows the store. */
  private final class Copying implements ReplicaFollower.Listener {
    @Override
    public void onCopy(RecordReplica whole) {
      String lacks = replica.lackedBy(whole);
      if (lacks == null) {
        RecordReplica before = replica;
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
          GenerationManager.Evidence.RECORD_MISSING, key + " is missing or older than it was seen");
    }
  }

  /**
   * Stores again what this node accepted without a leader of late: whoever rebuilt the records may
   * not have had it yet. A job that is there twice is still one job.
   */
  private void acceptAgain() {
    Instant from = eventLoop.now().minus(ACCEPTED_AGAIN);
    acceptedHere.removeIf(each -> each.at.isBefore(from));
    acceptedHere.forEach(each -> each.again.run());
  }

  /**
   * Stores final states that this node has seen and that whoever rebuilt the records had not: they
   * are united, and never undone.
   */
  private void storeEnds(Deque<Map.Entry<String, Job.State>> left) {
    Map.Entry<String, Job.State> next = left.peekFirst();
    if (next == null || stopped || !generations.isTrusted()) {
      return;
    }
    String key = RecordKeys.FINAL_STATE + next.getKey();
    byte[] body =
        storeClient.transaction().require(key, 0).put(key, RecordWire.end(next.getValue())).bytes();
    storeClient.writeForUser(
        storeClient.post("/multi", body),
        1,
        reply -> {
          if (reply.is(200) || reply.is(409)) {
            left.pollFirst();
          }
          eventLoop.schedule(ENDS_PACE, () -> storeEnds(left));
        });
  }

  /** This node has accepted a job without a leader. */
  public void acceptedHere(Runnable again) {
    acceptedHere.addLast(new Accepted(eventLoop.now(), again));
    if (acceptedHere.size() > MOST_ACCEPTED_AGAIN) {
      acceptedHere.removeFirst();
    }
  }

  /** A job that this node accepted without a leader, and how to store it again. */
  private record Accepted(Instant at, Runnable again) {}

  /**
   * Whether nothing certain can be said of a job that the store does not hold: it may have been
   * lost. What this node itself has seen stored was not removed, or the copy would know of it.
   */
  public boolean mayBeLost(String job) {
    if (!generations.isTrusted() || !replica.isComplete()) {
      return true;
    }
    if (replica.holdsJob(job) || replica.end(job) != null) {
      return true;
    }
    return mayLack();
  }

  /**
   * Whether a record that is not there may yet come: something may be missing from a rebuild, what
   * other controllers accepted without a leader right before it they are storing again, and
   * controllers that begin with their snapshots have yet to compare them with the store.
   */
  public boolean mayLack() {
    if (restoredAt != null && restoredAt.plus(COMPARED).isAfter(eventLoop.now())) {
      return true;
    }
    Duration rebuilt = generations.rebuiltFor();
    Duration until = storeClient.generation().exact() ? RESTORED : DOUBT;
    return rebuilt != null && rebuilt.compareTo(until) < 0;
  }
}
