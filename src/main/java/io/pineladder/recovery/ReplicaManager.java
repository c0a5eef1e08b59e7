package io.pineladder.recovery;

import io.pineladder.generation.GenerationManager;
import io.pineladder.membership.Membership;
import io.pineladder.model.Generation;
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
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Coordinates the recovery of the records in one controller, whether it leads or not: the replica
 * of the records, its snapshots, and the state machine of the generations. Also determines whether
 * records may be missing from the store. Event thread only.
 */
public final class ReplicaManager {
  private static final Logger log = LoggerFactory.getLogger(ReplicaManager.class);

  /**
   * How long after an inexact rebuild, from a replica that may lack records, no job is reported as
   * unknown.
   */
  private static final Duration INEXACT_REBUILD_UNCERTAINTY = Duration.ofMinutes(2);

  /**
   * How long after an exact rebuild no job is reported as unknown. By then all controllers have
   * submitted the jobs again that they accepted right before the loss.
   */
  private static final Duration EXACT_REBUILD_UNCERTAINTY = Duration.ofSeconds(15);

  /** Time within which all controllers that restored a snapshot compare it with the store. */
  private static final Duration SNAPSHOT_VERIFICATION_PERIOD = Duration.ofSeconds(20);

  /**
   * How long a controller with an incomplete replica defers its election to a peer with a complete
   * one.
   */
  private static final Duration INCOMPLETE_REPLICA_ELECTION_DELAY = Duration.ofSeconds(2);

  /** The controller that uses the records. */
  public interface Host {
    /** Whether the lease of this controller's current or last term is valid by its own clock. */
    boolean holdsLease();

    /** The store is not trusted; the term and reads must end. */
    void onDataLoss();

    /**
     * Another generation is in force.
     *
     * @param complete whether it is completely written; no controller leads before that
     */
    void onGenerationChange(boolean complete);

    /** The peers with their latest gossiped status. */
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
  private final LocalAcceptances localAcceptances;
  private final FinalStateRestorer finalStateRestorer;
  private RecordReplica replica = new RecordReplica(0);

  /** The replica of this controller's latest term; null before the first. */
  private RecordReplica leaderReplica;

  /**
   * Whether at its latest election this controller had a complete replica to compare with the
   * store, or no peer had one either, so that no other controller has more records.
   */
  private boolean electedWithBestReplica;

  /** Since when there has been no leader; null while there is one. */
  private Instant leaderlessSince;

  /** When this process loaded its replica from a snapshot; null if it did not. */
  private Instant snapshotRestoredAt;

  private boolean stopped;

  /**
   * Creates the manager; {@link #start} begins to read.
   *
   * @param nonce identifies this controller's process
   * @param snapshotStore where snapshots are stored; null to take none
   * @param backgroundExecutor encodes snapshots; unused without a snapshot store
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
    this.localAcceptances = new LocalAcceptances(eventLoop);
    this.finalStateRestorer =
        new FinalStateRestorer(storeClient, eventLoop, () -> !stopped && generations.isTrusted());
  }

  /** Loads the newest valid snapshot, then reads the generation in force. */
  public void start() {
    if (snapshots == null) {
      generations.start();
      return;
    }
    snapshots.load(
        loaded -> {
          if (loaded != null) {
            useReplica(RecordReplica.fromSnapshot(loaded));
            snapshotRestoredAt = eventLoop.now();
            log.info(
                "Replica loaded from snapshot: records={} revision={}",
                replica.recordCount(),
                replica.revision());
          }
          generations.start();
          snapshots.start();
        });
  }

  /** Ends all activity when the process ends. */
  public void stop() {
    stopped = true;
    generations.stop();
    if (snapshots != null) {
      snapshots.stop();
    }
  }

  /** The snapshot manager; null when no snapshots are taken. */
  public SnapshotManager snapshots() {
    return snapshots;
  }

  public GenerationManager generations() {
    return generations;
  }

  /** The replica from which a new generation is written. */
  public RecordReplica replica() {
    return replica;
  }

  public ReplicaFollower follower() {
    return follower;
  }

  /** This controller's status of the records, for gossip. */
  public RecordStatus recordStatus() {
    return new RecordStatus(
        storeClient.generation().base(),
        storeClient.highestRevision(),
        replica.base(),
        replica.revision(),
        replica.isCompleteAndReadable(),
        generations.highestObservedToken(),
        generations.state() == GenerationManager.State.LOST);
  }

  // ---- leadership

  /** Whether the store is trusted and the election is not deferred to a peer's better replica. */
  public boolean mayStandForElection() {
    return generations.syncWithPeers() && !defersElectionToPeer();
  }

  /** The leader key was read. */
  public void onLeaderRead(boolean exists) {
    leaderlessSince = exists ? null : leaderlessSince;
  }

  /**
   * This controller was elected.
   *
   * @return the replica that the term updates
   */
  public RecordReplica onElected() {
    long base = storeClient.generation().base();
    boolean canCompare = replica.base() == base && replica.isComplete();
    electedWithBestReplica =
        canCompare
            || host.peers().stream()
                .noneMatch(
                    p ->
                        p.recordStatus().replicaComplete()
                            && p.recordStatus().replicaBase() == base);
    RecordReplica termReplica = replica.base() == base ? replica : new RecordReplica(base);
    follower.lead(termReplica);
    return termReplica;
  }

  /** The term has read all records into its replica. */
  public void onTermStarted(RecordReplica termReplica) {
    termReplica.markRecordsLoaded();
    useReplica(termReplica);
    leaderReplica = termReplica;
  }

  /** This controller's term has ended. */
  public void onTermEnded() {
    if (generations.isTrusted()) {
      follower.follow();
    }
  }

  /**
   * This leader's key no longer exists. The store never expires a lease early, so the key was lost
   * if the lease is still valid.
   */
  public void onLeaderKeyMissing() {
    if (host.holdsLease()) {
      generations.declareLoss(
          GenerationManager.Evidence.RECORD_MISSING,
          "the leader key is missing while its lease is valid");
    }
  }

  /**
   * A worker has seen a fencing token above that of this leader. Either a later leader was elected,
   * or the store has lost the key of a previous leader. It is the latter if the key of this leader
   * still exists.
   *
   * @param isLeading whether this controller still leads in that term
   * @param endTerm ends the term
   */
  public void onHigherToken(long token, long term, BooleanSupplier isLeading, Runnable endTerm) {
    generations.observeToken(token);
    if (generations.state() == GenerationManager.State.DOUBTED) {
      return;
    }
    generations.suspectLoss("a worker has seen fencing token " + token + ", own term is " + term);
    storeClient.readImmediately(
        RecordKeys.LEADER,
        (read, reply) -> {
          boolean keyExists =
              read.found() && storeClient.generation().token(read.entry().revision()) == term;
          if (isLeading.getAsBoolean() && keyExists) {
            generations.onHigherToken(token);
            return;
          }
          generations.clearSuspicion();
          if (isLeading.getAsBoolean()) {
            // Also if the store did not answer: the controller with the higher token leads.
            endTerm.run();
          }
        });
  }

  /**
   * Time since an inexact rebuild, from which records may be missing; null when the generation in
   * force is exact.
   */
  public Duration timeSinceInexactRebuild() {
    return storeClient.generation().exact() ? null : generations.timeSinceRebuild();
  }

  // ---- generations

  /** Handles a data loss, a rebuild and its completion. */
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
      boolean complete = generation.phase() == Generation.Phase.COMPLETE;
      boolean own = generation.writer().equals(self);
      follower.stop();
      storeClient.useGeneration(generation);
      storeClient.observeRevision(replica.base(), replica.revision());
      if (complete && generation.base() != 0 && own) {
        replica.rebaseTo(generation);
        if (snapshots != null) {
          snapshots.onReplicaReplaced();
        }
      }
      host.onGenerationChange(complete);
      if (complete) {
        follower.follow();
      }
    }

    @Override
    public List<Membership.PeerStatus> peers() {
      return host.peers();
    }
  }

  // ---- snapshots

  /** Encodes a snapshot of the replica; null while the replica is incomplete. */
  public byte[] exportSnapshot() {
    Snapshot snapshot = snapshot();
    return snapshot == null ? null : snapshot.encode();
  }

  /**
   * Merges a snapshot with lost records into the replica and starts a rebuild, which restores its
   * jobs in addition to those accepted since. Only the leader can import a snapshot.
   *
   * @return the number of restored jobs
   * @throws MalformedMessageException when it is not a snapshot of this cluster, or when this
   *     controller does not lead with a complete replica
   */
  public int importSnapshot(byte[] bytes) throws MalformedMessageException {
    Snapshot snapshot = Snapshot.decode(bytes);
    snapshot.requireCluster(clusterIdentity(settings));
    if (!host.holdsLease() || leaderReplica != replica || !replica.isComplete()) {
      throw new MalformedMessageException("not now: no leader that has read all records");
    }
    int jobs =
        replica.mergeSnapshot(
            RecordReplica.fromSnapshot(new SnapshotManager.LoadedSnapshot(snapshot, List.of())));
    generations.declareLoss(
        GenerationManager.Evidence.HANDED_IN,
        "imported a snapshot of revision " + snapshot.revision() + " with " + jobs + " jobs");
    return jobs;
  }

  /** The identity of the cluster in its snapshots; stored, so the format must not change. */
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

  /** Replaces the replica from which snapshots and generations are written. */
  private void useReplica(RecordReplica next) {
    replica.setListener(null);
    replica = next;
    if (snapshots != null) {
      next.setListener(snapshots::appendChange);
      snapshots.onReplicaReplaced();
    }
  }

  /**
   * Whether a peer with a complete replica should be elected first: a new leader compares the store
   * with its replica, and misses a data loss if that is incomplete.
   */
  private boolean defersElectionToPeer() {
    Instant now = eventLoop.now();
    leaderlessSince = leaderlessSince == null ? now : leaderlessSince;
    return !replica.isCompleteAndReadable()
        && leaderlessSince.plus(INCOMPLETE_REPLICA_ELECTION_DELAY).isAfter(now)
        && host.peers().stream()
            .anyMatch(
                peer ->
                    peer.state() == Membership.State.UP
                        && peer.recordStatus().replicaComplete()
                        && peer.recordStatus().replicaBase() == storeClient.generation().base());
  }

  // ---- after a rebuild

  /** Replaces the replica by a newer one unless the comparison shows a data loss. */
  private final class FollowerListener implements ReplicaFollower.Listener {
    @Override
    public void onReplicaComplete(RecordReplica complete) {
      complete.retainReadableOf(replica);
      String missing = replica.firstKeyMissingFrom(complete);
      if (missing != null) {
        onRecordMissing(missing);
        return;
      }
      RecordReplica previous = replica;
      useReplica(complete);
      if (previous.base() != complete.base()) {
        localAcceptances.resubmitAll();
        finalStateRestorer.store(previous.finalStatesMissingFrom(complete));
      }
    }

    @Override
    public void onRecordMissing(String key) {
      generations.declareLoss(
          GenerationManager.Evidence.RECORD_MISSING,
          key + " is missing or older than in the replica");
    }
  }

  /**
   * This controller has accepted a job without a leader.
   *
   * @param resubmit submits the job again; runs after a rebuild
   */
  public void onAcceptedWithoutLeader(Runnable resubmit) {
    localAcceptances.add(resubmit);
  }

  /**
   * Whether a job that is missing in the store may have been lost, so that it must not be reported
   * as unknown. The replica also reflects removals, so a job that it contains was lost.
   */
  public boolean jobMayBeMissing(String job) {
    if (!generations.isTrusted() || !replica.isCompleteAndReadable()) {
      return true;
    }
    if (replica.containsJob(job) || replica.finalState(job) != null) {
      return true;
    }
    return recordsMayBeIncomplete();
  }

  /**
   * Whether a missing record may still be restored: an inexact rebuild may lack it, controllers
   * submit the jobs again that they accepted right before a rebuild, and controllers that started
   * from a snapshot may not have compared it with the store yet.
   */
  public boolean recordsMayBeIncomplete() {
    if (snapshotRestoredAt != null
        && snapshotRestoredAt.plus(SNAPSHOT_VERIFICATION_PERIOD).isAfter(eventLoop.now())) {
      return true;
    }
    Duration sinceRebuild = generations.timeSinceRebuild();
    Duration uncertainty =
        storeClient.generation().exact() ? EXACT_REBUILD_UNCERTAINTY : INEXACT_REBUILD_UNCERTAINTY;
    return sinceRebuild != null && sinceRebuild.compareTo(uncertainty) < 0;
  }
}
