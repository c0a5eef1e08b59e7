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
 * One controller's part in the recovery of the records, whether it leads or not: it joins the
 * replica of the records, the snapshots, and the state machine of the generations, and tells
 * whether the records may be relied upon. Event thread only.
 */
public final class ReplicaManager {
  private static final Logger log = LoggerFactory.getLogger(ReplicaManager.class);

  /**
   * How long after a rebuild from a replica that may lack records no job is reported as unknown.
   */
  private static final Duration INEXACT_REBUILD_UNCERTAINTY = Duration.ofMinutes(2);

  /**
   * How long after an exact rebuild no job is reported as unknown; by then all controllers have
   * stored again what they accepted right before the loss.
   */
  private static final Duration EXACT_REBUILD_UNCERTAINTY = Duration.ofSeconds(15);

  /** By then every controller that started from a snapshot has compared it with the store. */
  private static final Duration SNAPSHOT_VERIFICATION_PERIOD = Duration.ofSeconds(20);

  /** How long a controller without a complete replica leaves the election to one that has it. */
  private static final Duration INCOMPLETE_REPLICA_ELECTION_DELAY = Duration.ofSeconds(2);

  /** The controller whose records these are. */
  public interface Host {
    /** Whether the lease of this controller's present or last term is valid by its own clock. */
    boolean holdsLease();

    /** The store is not to be trusted: end the term and stop reading. */
    void onDataLoss();

    /**
     * Another generation is in force.
     *
     * @param complete whether it is completely written; no controller leads before
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

  /** The replica that this controller fed in its latest term; null before the first. */
  private RecordReplica leaderReplica;

  /**
   * Whether at its latest election this controller compared the store with a complete replica of
   * its own, or no peer had one either: then no other knows more.
   */
  private boolean electedWithBestReplica;

  /** Since when no leader is known; null while there is one. */
  private Instant leaderlessSince;

  /** When this process loaded its replica from a snapshot; null without one. */
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

  /** Loads the latest snapshot, then reads the generation in force. */
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

  /** Ends all activity; for the end of the process. */
  public void stop() {
    stopped = true;
    generations.stop();
    if (snapshots != null) {
      snapshots.stop();
    }
  }

  /** The snapshots; null when none are taken. */
  public SnapshotManager snapshots() {
    return snapshots;
  }

  /** The state machine of the generations. */
  public GenerationManager generations() {
    return generations;
  }

  /** The replica from which a generation would be written. */
  public RecordReplica replica() {
    return replica;
  }

  /** The follower that keeps the replica up to date. */
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
        replica.isComplete(),
        generations.highestObservedToken(),
        generations.state() == GenerationManager.State.LOST);
  }

  // ---- leadership

  /** Whether the store is trusted and no peer with a better replica should be elected first. */
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
   * @return the replica that the term is to feed
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
    RecordReplica fed = replica.base() == base ? replica : new RecordReplica(base);
    follower.lead(fed);
    return fed;
  }

  /** The term has read all records into its replica. */
  public void onTermStarted(RecordReplica fed) {
    fed.markRecordsLoaded();
    useReplica(fed);
    leaderReplica = fed;
  }

  /** This controller's term has ended. */
  public void onTermEnded() {
    if (generations.isTrusted()) {
      follower.follow();
    }
  }

  /**
   * This leader's key no longer exists. The store ends no lease early, so while the lease is valid
   * the key was lost.
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
   * or the store has lost the key of an earlier one; which of them shows by whether this leader's
   * key still exists.
   *
   * @param isLeading whether this controller still leads in that term
   * @param endTerm ends it
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
            // Also without an answer of the store: the controller with the higher token leads.
            endTerm.run();
          }
        });
  }

  /**
   * How long the present generation, from which records may be missing, has been in force; null
   * when none can be missing.
   */
  public Duration timeSinceInexactRebuild() {
    return storeClient.generation().exact() ? null : generations.timeSinceRebuild();
  }

  // ---- generations

  /** Reacts to a data loss, a rebuild and its completion. */
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

  /** An encoded snapshot of the replica; null while it is incomplete. */
  public byte[] exportSnapshot() {
    Snapshot now = snapshot();
    return now == null ? null : now.encode();
  }

  /**
   * Merges a snapshot of records that the cluster has lost: its jobs return in a new generation,
   * beside those accepted since. Only the leader can.
   *
   * @return the number of jobs that are restored
   * @throws MalformedMessageException when it is not a snapshot of this cluster, or when this
   *     controller cannot import it now
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

  /** Identifies the cluster in its snapshots; stored, so the form must not change. */
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
   * A new leader compares the store with its replica; one without a complete replica may miss a
   * data loss.
   */
  private boolean defersElectionToPeer() {
    Instant now = eventLoop.now();
    leaderlessSince = leaderlessSince == null ? now : leaderlessSince;
    return !replica.isComplete()
        && leaderlessSince.plus(INCOMPLETE_REPLICA_ELECTION_DELAY).isAfter(now)
        && host.peers().stream()
            .anyMatch(
                peer ->
                    peer.state() == Membership.State.UP
                        && peer.recordStatus().replicaComplete()
                        && peer.recordStatus().replicaBase() == storeClient.generation().base());
  }

  // ---- after a rebuild

  /** Replaces the replica by a newer one unless that shows a data loss. */
  private final class FollowerListener implements ReplicaFollower.Listener {
    @Override
    public void onReplicaComplete(RecordReplica complete) {
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
          GenerationManager.Evidence.RECORD_MISSING, key + " is missing or older than it was seen");
    }
  }

  /**
   * This controller has accepted a job without a leader.
   *
   * @param storeAgain submits it again; runs after a rebuild
   */
  public void onAcceptedWithoutLeader(Runnable storeAgain) {
    localAcceptances.add(storeAgain);
  }

  /**
   * Whether a job that the store does not hold may have been lost, so that it must not be reported
   * as unknown. What this controller has seen stored was not removed, or the replica would show it.
   */
  public boolean jobMayBeMissing(String job) {
    if (!generations.isTrusted() || !replica.isComplete()) {
      return true;
    }
    if (replica.containsJob(job) || replica.finalState(job) != null) {
      return true;
    }
    return recordsMayBeIncomplete();
  }

  /**
   * Whether a record that is missing may still be restored: an inexact rebuild may lack it, other
   * controllers store again what they accepted right before a rebuild, and controllers that started
   * from snapshots have yet to compare them with the store.
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
