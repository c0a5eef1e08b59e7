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
import io.pineladder.wire.GossipWire.RecordStatus;
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
  private static final Duration ACCEPTED_JOB_RETENTION = Duration.ofMinutes(10);

  private static final int MAX_RETAINED_ACCEPTED_JOBS = 2_000;

  /** For so long after an incomplete rebuild nobody is told that a job does not exist. */
  private static final Duration INEXACT_REBUILD_UNCERTAINTY = Duration.ofMinutes(2);

  /** Between two final states that are stored again; no more is missing than the last moments'. */
  private static final Duration FINAL_STATE_WRITE_INTERVAL = Duration.ofMillis(100);

  /** By then all that began with snapshots have compared them with the store. */
  private static final Duration SNAPSHOT_VERIFICATION_PERIOD = Duration.ofSeconds(20);

  /** So long a node without a copy of the records lets one that has it lead. */
  private static final Duration INCOMPLETE_REPLICA_ELECTION_DELAY = Duration.ofSeconds(2);

  /** By then all nodes have stored again what they accepted right before a loss. */
  private static final Duration EXACT_REBUILD_UNCERTAINTY = Duration.ofSeconds(15);

  /** What the node does. */
  public interface Host {
    /** The lease of this node's present or last term holds by its own clock. */
    boolean holdsLease();

    /** Nothing in the store counts: no leading, no reading. */
    void onDataLoss();

    /** Another generation counts; nobody leads before it is whole. */
    void onGenerationChange(boolean whole);

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
  private final Deque<AcceptedJob> acceptedJobs = new ArrayDeque<>();
  private RecordReplica replica = new RecordReplica(0);

  /** The copy that this node fed when it last led, or null. */
  private RecordReplica leaderReplica;

  /**
   * When this node last was elected it could compare the store with a copy of its own, or no other
   * could either: it knows all that anybody does.
   */
  private boolean electedWithBestReplica;

  /** Since when this node has found no leader; null while there is one. */
  private Instant leaderlessSince;

  /** When this process began with a copy from a snapshot; null without one. */
  private Instant snapshotRestoredAt;

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
                snapshotStore,
                backgroundExecutor,
                eventLoop,
                clusterIdentity(settings),
                this::snapshot);
    this.self = new Generation.Writer(settings.controllerName(), nonce);
    this.generations = new GenerationManager(storeClient, eventLoop, self, new GenerationHost());
    this.follower = new ReplicaFollower(storeClient, eventLoop, new FollowerListener());
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
            useReplica(RecordReplica.fromSnapshot(found));
            snapshotRestoredAt = eventLoop.now();
            log.info(
                "the snapshot has {} records of revision {}",
                replica.recordCount(),
                replica.revision());
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
  public RecordReplica replica() {
    return replica;
  }

  public ReplicaFollower follower() {
    return follower;
  }

  /** What peers are told of all this. */
  public RecordStatus recordStatus() {
    return new RecordStatus(
        storeClient.generation().base(),
        storeClient.highestRevision(),
        replica.base(),
        replica.revision(),
        replica.isComplete(),
        generations.highestObservedToken(),
        generations.state() == GenerationManager.State.LOST);
  }

  // ---- the leadership

  /** Whether this node may lead in the store as it is, and no other had better. */
  public boolean mayStandForElection() {
    return generations.syncWithPeers() && !leavesElectionToOthers();
  }

  /** Whether there is a leader, as was just read. */
  public void onLeaderRead(boolean is) {
    leaderlessSince = is ? null : leaderlessSince;
  }

  /** This node was elected; the copy that it is to feed. */
  public RecordReplica onElected() {
    long base = storeClient.generation().base();
    boolean compares = replica.base() == base && replica.isComplete();
    electedWithBestReplica =
        compares
            || host.peers().stream()
                .noneMatch(p -> p.stored().replicaComplete() && p.stored().replicaBase() == base);
    RecordReplica fed = replica.base() == base ? replica : new RecordReplica(base);
    follower.lead(fed);
    return fed;
  }

  /** The new leader has read all records. */
  public void onTermStarted(RecordReplica fed) {
    fed.recordsLoaded();
    useReplica(fed);
    leaderReplica = fed;
  }

  /** This node leads no more. */
  public void onTermEnded() {
    if (generations.isTrusted()) {
      follower.follow();
    }
  }

  /** The service ends no lease early; a leader's key that is gone too soon was lost. */
  public void onLeaderKeyMissing() {
    if (host.holdsLease()) {
      generations.declareLoss(
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
  public void onHigherToken(long token, long term, BooleanSupplier leads, Runnable lose) {
    generations.observeToken(token);
    if (generations.state() == GenerationManager.State.DOUBTED) {
      return;
    }
    generations.suspectLoss("a worker has seen token " + token + ", ours is " + term);
    storeClient.readImmediately(
        RecordKeys.LEADER,
        (read, reply) -> {
          boolean stands =
              read.found() && storeClient.generation().token(read.entry().revision()) == term;
          if (leads.getAsBoolean() && stands) {
            generations.onHigherToken(token);
            return;
          }
          generations.clearSuspicion();
          if (leads.getAsBoolean()) {
            // Also where the store does not tell: whoever has the higher token leads, and not this
            // node.
            lose.run();
          }
        });
  }

  /** For how long something may be missing from the records; null when nothing can be. */
  public Duration timeSinceInexactRebuild() {
    return storeClient.generation().exact() ? null : generations.timeSinceRebuild();
  }

  // ---- a rebuild

  /** What this node does as the records are found to be lost, rebuilt, and whole again. */
  private final class GenerationHost implements GenerationManager.Host {
    @Override
    public RecordReplica replica() {
      return replica;
    }

    @Override
    public boolean isLeader() {
      return leaderReplica == replica
          && electedWithBestReplica
          && replica.isComplete()
          && host.holdsLease();
    }

    @Override
    public void onDataLoss() {
      host.onDataLoss();
      follower.stop();
    }

    @Override
    public void onGenerationChange(Generation generation) {
      boolean whole = generation.phase() == Generation.Phase.COMPLETE;
      boolean mine = generation.writer().equals(self);
      follower.stop();
      storeClient.useGeneration(generation);
      storeClient.observeRevision(replica.base(), replica.revision());
      if (whole && generation.base() != 0 && mine) {
        replica.rebaseTo(generation);
        if (snapshots != null) {
          snapshots.onReplicaReplaced();
        }
      }
      host.onGenerationChange(whole);
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
  public byte[] exportSnapshot() {
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
  public int importSnapshot(byte[] bytes) throws MalformedMessageException {
    Snapshot snapshot = Snapshot.decode(bytes);
    snapshot.requireCluster(clusterIdentity(settings));
    if (!host.holdsLease() || leaderReplica != replica || !replica.isComplete()) {
      throw new MalformedMessageException("not now: no leader that has read all records");
    }
    int jobs =
        replica.restoreFrom(
            RecordReplica.fromSnapshot(new SnapshotManager.LoadedSnapshot(snapshot, List.of())));
    generations.declareLoss(
        GenerationManager.Evidence.HANDED_IN,
        "a snapshot of revision " + snapshot.revision() + " is handed in, with " + jobs + " jobs");
    return jobs;
  }

  /** What tells one cluster's snapshots from another's. */
  private static String clusterIdentity(Settings settings) {
    List<String> members = new ArrayList<>(List.of(settings.controllerName()));
    settings.peers().forEach(peer -> members.add(peer.controllerName()));
    members.sort(null);
    return String.join(",", members) + " of " + settings.storeAddress();
  }

  private Snapshot snapshot() {
    return replica.isComplete()
        ? replica.snapshot(clusterIdentity(settings), eventLoop.wallClock())
        : null;
  }

  /** This copy of the records is the one that would be written if they were lost. */
  private void useReplica(RecordReplica next) {
    replica.setListener(null);
    replica = next;
    if (snapshots != null) {
      next.setListener(snapshots::recordChange);
      snapshots.onReplicaReplaced();
    }
  }

  /** A node with a whole copy of the records leads better than one that has just begun. */
  private boolean leavesElectionToOthers() {
    Instant now = eventLoop.now();
    leaderlessSince = leaderlessSince == null ? now : leaderlessSince;
    return !replica.isComplete()
        && leaderlessSince.plus(INCOMPLETE_REPLICA_ELECTION_DELAY).isAfter(now)
        && host.peers().stream()
            .anyMatch(
                peer ->
                    peer.state() == Membership.State.UP
                        && peer.stored().replicaComplete()
                        && peer.stored().replicaBase() == storeClient.generation().base());
  }

  /** What becomes of a copy that follows the store. */
  private final class FollowerListener implements ReplicaFollower.Listener {
    @Override
    public void onReplicaComplete(RecordReplica whole) {
      String lacks = replica.firstKeyMissingFrom(whole);
      if (lacks == null) {
        RecordReplica before = replica;
        useReplica(whole);
        if (before.base() != whole.base()) {
          storeAcceptedJobsAgain();
          storeFinalStates(new ArrayDeque<>(before.finalStatesMissingFrom(whole).entrySet()));
        }
      } else {
        onRecordMissing(lacks);
      }
    }

    @Override
    public void onRecordMissing(String key) {
      generations.declareLoss(
          GenerationManager.Evidence.RECORD_MISSING, key + " is missing or older than it was seen");
    }
  }

  /**
   * Stores again what this node accepted without a leader of late: whoever rebuilt the records may
   * not have had it yet. A job that is there twice is still one job.
   */
  private void storeAcceptedJobsAgain() {
    Instant from = eventLoop.now().minus(ACCEPTED_JOB_RETENTION);
    acceptedJobs.removeIf(each -> each.at.isBefore(from));
    acceptedJobs.forEach(each -> each.again.run());
  }

  /**
   * Stores final states that this node has seen and that whoever rebuilt the records had not: they
   * are united, and never undone.
   */
  private void storeFinalStates(Deque<Map.Entry<String, Job.State>> left) {
    Map.Entry<String, Job.State> next = left.peekFirst();
    if (next == null || stopped || !generations.isTrusted()) {
      return;
    }
    String key = RecordKeys.FINAL_STATE + next.getKey();
    byte[] body =
        storeClient
            .transaction()
            .require(key, 0)
            .put(key, RecordWire.finalState(next.getValue()))
            .bytes();
    storeClient.writeForUser(
        storeClient.post("/multi", body),
        1,
        reply -> {
          if (reply.is(200) || reply.is(409)) {
            left.pollFirst();
          }
          eventLoop.schedule(FINAL_STATE_WRITE_INTERVAL, () -> storeFinalStates(left));
        });
  }

  /** This node has accepted a job without a leader. */
  public void onAcceptedWithoutLeader(Runnable again) {
    acceptedJobs.addLast(new AcceptedJob(eventLoop.now(), again));
    if (acceptedJobs.size() > MAX_RETAINED_ACCEPTED_JOBS) {
      acceptedJobs.removeFirst();
    }
  }

  /** A job that this node accepted without a leader, and how to store it again. */
  private record AcceptedJob(Instant at, Runnable again) {}

  /**
   * Whether nothing certain can be said of a job that the store does not hold: it may have been
   * lost. What this node itself has seen stored was not removed, or the copy would know of it.
   */
  public boolean jobMayBeMissing(String job) {
    if (!generations.isTrusted() || !replica.isComplete()) {
      return true;
    }
    if (replica.holdsJob(job) || replica.finalState(job) != null) {
      return true;
    }
    return recordsMayBeIncomplete();
  }

  /**
   * Whether a record that is not there may yet come: something may be missing from a rebuild, what
   * other controllers accepted without a leader right before it they are storing again, and
   * controllers that begin with their snapshots have yet to compare them with the store.
   */
  public boolean recordsMayBeIncomplete() {
    if (snapshotRestoredAt != null
        && snapshotRestoredAt.plus(SNAPSHOT_VERIFICATION_PERIOD).isAfter(eventLoop.now())) {
      return true;
    }
    Duration rebuilt = generations.timeSinceRebuild();
    Duration until =
        storeClient.generation().exact() ? EXACT_REBUILD_UNCERTAINTY : INEXACT_REBUILD_UNCERTAINTY;
    return rebuilt != null && rebuilt.compareTo(until) < 0;
  }
}
