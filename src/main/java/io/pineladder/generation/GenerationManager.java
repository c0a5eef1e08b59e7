package io.pineladder.generation;

import io.pineladder.membership.Membership;
import io.pineladder.model.Generation;
import io.pineladder.model.Generation.Phase;
import io.pineladder.net.EventLoop;
import io.pineladder.replica.RecordReplica;
import io.pineladder.retry.Backoff;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.GossipWire.RecordStatus;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state machine of the record generations in one controller (docs/state-loss.md): it follows
 * which generation is in force, detects a data loss of the consensus-backed key-value store, and
 * has a new generation written from a controller's replica.
 *
 * <p>A controller that rebuilds claims a new generation by compare-and-swap, writes its records
 * under a key prefix that no transaction of an earlier generation uses, and then marks it as
 * complete. No controller leads before that. Event thread only.
 */
public final class GenerationManager {
  private static final Logger log = LoggerFactory.getLogger(GenerationManager.class);
  private static final Duration GENERATION_WATCH_TIMEOUT = Duration.ofSeconds(20);

  /**
   * No leader lease lasts longer. A controller that did not lead waits this long before it claims a
   * generation: the previous leader may not have detected the loss, and its lease must have expired
   * before another term begins.
   */
  static final Duration MAX_PREVIOUS_LEASE = Duration.ofSeconds(4);

  /** The interval at which the generation is read while none is trusted. */
  private static final Duration GENERATION_POLL_INTERVAL = Duration.ofMillis(500);

  private static final Duration WRITER_CHECK_INTERVAL = Duration.ofSeconds(1);

  /** What this controller knows of the records in the store. The admin API shows the names. */
  public enum State {
    /** The generation in force has not been read yet. */
    UNREAD,
    /** The first generation is in force, without a known loss. */
    TRUSTED,
    /** A possible data loss is being verified. */
    DOUBTED,
    /** Data was lost: no record is trusted until a new generation is claimed. */
    LOST,
    /** A controller is writing a new generation. */
    REBUILDING,
    /** A rebuilt generation is complete and in force; trusted like the first one. */
    REBUILT
  }

  /** How a data loss was detected. The admin API shows the names. */
  public enum Evidence {
    /** The store answered with a revision below one that it had reached. */
    REVISION_BACK,
    /** The generation record is missing, unreadable or older than one already in force. */
    GENERATION_BACK,
    /** A record that is never removed is missing, or older than it was seen. */
    RECORD_MISSING,
    /** A record cannot be parsed, and the controller that needs it has no replica of it. */
    UNREADABLE,
    /** Another controller has reported the loss. */
    PEER,
    /** An operator has imported a snapshot of records that were lost everywhere else. */
    HANDED_IN,
    /** A worker has seen a fencing token that no leader of this store can have held. */
    TOKEN_ABOVE,
    /** A worker runs a task of a job without any record, not even of its final state. */
    JOB_UNKNOWN;

    /** Whether the replica of the controller that detects it may lack the lost records too. */
    boolean impliesStaleReplica() {
      return this == TOKEN_ABOVE || this == JOB_UNKNOWN;
    }
  }

  /** The controller of which these are the generations. */
  public interface Host {
    /** The replica from which a generation would be written. */
    RecordReplica replica();

    /** Whether this controller leads with a valid lease and a replica that no other can exceed. */
    boolean isLeader();

    /** The store is not to be trusted: end the term, stop reading and replicating. */
    void onDataLoss();

    /** Another generation is in force; its phase tells whether it is complete. */
    void onGenerationChange(Generation generation);

    /** The peers with their latest gossiped status of the records. */
    List<Membership.PeerStatus> peers();
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Generation.Writer self;
  private final Host host;
  private final Backoff backoff;
  private State state = State.UNREAD;
  private final RebuildWriterMonitor writerMonitor = new RebuildWriterMonitor();
  private long highestObservedToken;

  /** Whether the next claimed generation holds everything that any controller acted upon. */
  private boolean claimIsExact;

  /**
   * Whether this controller led or rebuilt when the loss was detected: no other can have acted
   * since, and none has a newer replica.
   */
  private boolean replicaIsAuthoritative;

  /** The revision of the record that names the generation, as last read; 0 without one. */
  private long generationRecordRevision;

  private final Instant startedAt;
  private Instant lossDetectedAt;
  private GenerationWriter writer;

  /** Incremented to invalidate the reads and timers of earlier sequences. */
  private int currentSequence;

  private int lossCount;
  private Evidence lastEvidence;
  private Instant rebuiltGenerationAdoptedAt;
  private boolean stopped;

  /**
   * Creates the state machine; {@link #start} begins to read.
   *
   * @param self this controller's name and process nonce
   */
  public GenerationManager(
      StoreClient storeClient, EventLoop eventLoop, Generation.Writer self, Host host) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.self = self;
    this.host = host;
    this.backoff = storeClient.newBackoff();
    this.startedAt = eventLoop.now();
    storeClient.setRevisionRollbackListener(
        revision ->
            declareLoss(
                Evidence.REVISION_BACK,
                "revision " + revision + " is below " + storeClient.highestRevision()));
  }

  /** Begins to read the generation and to monitor whoever rebuilds. */
  public void start() {
    readGeneration(++currentSequence);
    checkRebuildWriter();
  }

  /** Ends all activity; for the end of the process. */
  public void stop() {
    stopped = true;
  }

  /** The only place where the state changes. */
  private void transitionTo(State next, String reason) {
    if (state != next) {
      log.info("Generation state changed: from={} to={} reason=\"{}\"", state, next, reason);
      state = next;
    }
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** The number of data losses detected since this process started. */
  public int lossCount() {
    return lossCount;
  }

  /** How the latest data loss was detected; null without one. */
  public Evidence lastEvidence() {
    return lastEvidence;
  }

  /** Whether the records in the store may be acted upon. */
  public boolean isTrusted() {
    return state == State.TRUSTED || state == State.REBUILT;
  }

  /** The fraction of records written by this controller's rebuild, 0 to 1; 1 without a rebuild. */
  public double rebuildProgress() {
    return writer == null || writer.totalCount() == 0
        ? 1
        : (double) writer.writtenCount() / writer.totalCount();
  }

  /** How long a rebuilt generation has been in force here; null for the first generation. */
  public Duration timeSinceRebuild() {
    return rebuiltGenerationAdoptedAt == null
        ? null
        : Duration.between(rebuiltGenerationAdoptedAt, eventLoop.now());
  }

  /** Records that this fencing token was used by some controller. */
  public void observeToken(long token) {
    highestObservedToken = Math.max(highestObservedToken, token);
  }

  /** The highest fencing token known to have been used. */
  public long highestObservedToken() {
    long seen = storeClient.generation().token(storeClient.highestRevision());
    return Math.max(highestObservedToken, seen);
  }

  /**
   * The fencing token with which this controller extends a worker's lease while no controller
   * leads, without orders; 0 when it does not extend it. In state LOST it is the worker's own
   * token, with which any controller may answer. While this controller rebuilds it is the base of
   * the new generation, above all tokens used and below that of the next leader. The time is
   * bounded, because tasks of jobs cancelled right before the loss end only with the lease.
   *
   * @param workerToken the highest token that the worker has seen
   * @param maxKeepAlive how long after the loss leases are extended at most
   */
  public long keepAliveToken(long workerToken, Duration maxKeepAlive) {
    if (lossDetectedAt == null || !lossDetectedAt.plus(maxKeepAlive).isAfter(eventLoop.now())) {
      return 0;
    }
    return switch (state) {
      case LOST -> workerToken;
      case REBUILDING -> isOwn(storeClient.generation()) ? storeClient.generation().base() : 0;
      default -> 0;
    };
  }

  private boolean isOwn(Generation generation) {
    return generation.writer().equals(self);
  }

  // ---- status of the peers

  /** Handles a peer's gossiped status of the records. */
  public void onPeerStatus(RecordStatus status) {
    observeToken(status.highestToken());
    storeClient.observeRevision(status.generationBase(), status.highestRevision());
    if (!isTrusted()) {
      return;
    }
    if (status.generationBase() > storeClient.generation().base()) {
      readGeneration();
    } else if (status.recordsLost() && status.generationBase() == storeClient.generation().base()) {
      declareLoss(Evidence.PEER, "detected by a peer");
    }
  }

  /**
   * Handles the latest status of all peers.
   *
   * @return whether the store is trusted and no peer knows of a later generation
   */
  public boolean syncWithPeers() {
    host.peers().forEach(peer -> onPeerStatus(peer.stored()));
    return isTrusted() && highestKnownBase() == storeClient.generation().base();
  }

  private long highestKnownBase() {
    long highest = Math.max(storeClient.generation().base(), host.replica().base());
    for (Membership.PeerStatus peer : host.peers()) {
      highest = Math.max(highest, peer.stored().generationBase());
    }
    return highest;
  }

  // ---- the generation in force

  /** Reads the generation in force immediately. */
  public void readGeneration() {
    readGeneration(++currentSequence);
  }

  private void readGeneration(int sequence) {
    if (sequence != currentSequence || stopped) {
      return;
    }
    storeClient.readGeneration(
        found -> {
          if (sequence != currentSequence || stopped) {
            return;
          }
          if (!found.succeeded()) {
            eventLoop.schedule(backoff.nextDelay(), () -> readGeneration(sequence));
            return;
          }
          backoff.reset();
          evaluate(found);
          if (sequence == currentSequence) {
            scheduleNextRead(sequence, found.revision());
          }
        });
  }

  private void scheduleNextRead(int sequence, long revision) {
    if (isTrusted() || state == State.DOUBTED) {
      storeClient.watchGeneration(
          revision,
          GENERATION_WATCH_TIMEOUT,
          reply ->
              eventLoop.schedule(
                  reply.hasStatus(200) ? Duration.ZERO : backoff.nextDelay(),
                  () -> readGeneration(sequence)));
    } else {
      eventLoop.schedule(GENERATION_POLL_INTERVAL, () -> readGeneration(sequence));
    }
  }

  private void evaluate(StoreClient.ReadResult read) {
    Generation found;
    try {
      found =
          read.found()
              ? RecordWire.parseGeneration(read.entry().value(), read.entry().revision())
              : Generation.FIRST;
    } catch (MalformedMessageException e) {
      declareLoss(Evidence.GENERATION_BACK, "the generation record cannot be parsed");
      return;
    }
    Generation present = storeClient.generation();
    if (found.base() > present.base()) {
      adopt(found);
    } else if (found.base() < highestKnownBase()) {
      declareLoss(Evidence.GENERATION_BACK, "the store names generation " + found.base());
    } else if (state == State.UNREAD) {
      adopt(found);
    } else if (found.recordRevision() > present.recordRevision()) {
      adopt(found);
    } else if (found.recordRevision() < present.recordRevision()) {
      declareLoss(Evidence.GENERATION_BACK, "an older record names generation " + found.base());
    }
  }

  /** A possible data loss is to be verified; {@link #clearSuspicion} or a loss follows. */
  public void suspectLoss(String reason) {
    if (isTrusted()) {
      transitionTo(State.DOUBTED, reason);
    }
  }

  /** The suspected loss was not confirmed. */
  public void clearSuspicion() {
    if (state == State.DOUBTED) {
      transitionTo(
          storeClient.generation().base() == 0 ? State.TRUSTED : State.REBUILT,
          "suspected loss not confirmed");
    }
  }

  private void adopt(Generation found) {
    if (state == State.LOST && found.base() == storeClient.generation().base()) {
      // A restored backup or a late transaction: the generation stays lost.
      return;
    }
    boolean complete = found.phase() == Phase.COMPLETE;
    if (found.base() != 0 && (complete || found.base() != storeClient.generation().base())) {
      rebuiltGenerationAdoptedAt = eventLoop.now();
    }
    stopWriting();
    writerMonitor.reset();
    observeToken(found.base());
    transitionTo(
        !complete ? State.REBUILDING : found.base() == 0 ? State.TRUSTED : State.REBUILT,
        "generation " + found.base() + " written by " + found.writer().controllerName());
    host.onGenerationChange(found);
    if (!complete && isOwn(found)) {
      startWriting(found);
    }
  }

  // ---- data loss and claim

  /**
   * A worker has seen a fencing token above that of this leader while its leader key still exists.
   * No later leader can have been elected in this store, so the key of the one with that token was
   * lost.
   */
  public void onHigherToken(long token) {
    observeToken(token);
    declareLoss(Evidence.TOKEN_ABOVE, "a worker has seen fencing token " + token);
  }

  /**
   * Declares that the store has lost data and schedules the claim of a new generation. Without
   * effect when the loss is known already.
   */
  public void declareLoss(Evidence newEvidence, String detail) {
    if (state == State.LOST || (state == State.UNREAD && newEvidence == Evidence.REVISION_BACK)) {
      return;
    }
    lossCount++;
    lastEvidence = newEvidence;
    Generation present = storeClient.generation();
    boolean rebuilding = state == State.REBUILDING && isOwn(present) && present.exact();
    boolean leads = (isTrusted() || state == State.DOUBTED) && host.isLeader();
    replicaIsAuthoritative = rebuilding || (leads && !newEvidence.impliesStaleReplica());
    claimIsExact = replicaIsAuthoritative && newEvidence != Evidence.HANDED_IN;
    lossDetectedAt = eventLoop.now();
    log.error("Data loss of the state service: evidence={} detail=\"{}\"", newEvidence, detail);
    transitionTo(State.LOST, newEvidence.name());
    stopWriting();
    host.onDataLoss();
    int sequence = ++currentSequence;
    eventLoop.schedule(
        replicaIsAuthoritative ? Duration.ZERO : MAX_PREVIOUS_LEASE, () -> tryClaim(sequence));
  }

  /** Claims a new generation unless another controller with a newer replica is expected to. */
  private void tryClaim(int sequence) {
    if (sequence != currentSequence || stopped || state != State.LOST) {
      return;
    }
    if (mustDefer()) {
      readGenerationThen(
          sequence, () -> eventLoop.schedule(GENERATION_POLL_INTERVAL, () -> tryClaim(sequence)));
    } else if (replicaIsAuthoritative) {
      readGenerationThen(sequence, () -> claimGeneration(sequence));
    } else {
      readGenerationThen(sequence, () -> readSurvivingRecords(sequence, new ArrayList<>(), null));
    }
  }

  /**
   * Reads the records that survived. The replica of a leader holds everything that was acted upon;
   * any other lacks the latest changes, which the store may still hold after a partial loss.
   */
  private void readSurvivingRecords(int sequence, List<StoreWire.Entry> found, String after) {
    if (sequence != currentSequence || stopped || state != State.LOST) {
      return;
    }
    storeClient.readPageAfterDataLoss(
        after,
        page -> {
          if (page == null) {
            eventLoop.schedule(
                backoff.nextDelay(), () -> readSurvivingRecords(sequence, found, after));
            return;
          }
          found.addAll(page.entries());
          if (page.nextPageAfter() != null) {
            readSurvivingRecords(sequence, found, page.nextPageAfter());
            return;
          }
          if (sequence == currentSequence && state == State.LOST) {
            RecordReplica replica = host.replica();
            if (replica.base() == storeClient.generation().base()) {
              replica.mergeSurviving(found);
            }
            claimGeneration(sequence);
          }
        });
  }

  /** Runs the action unless another controller has claimed a generation in the meantime. */
  private void readGenerationThen(int sequence, Runnable action) {
    storeClient.readGeneration(
        found -> {
          if (sequence != currentSequence || stopped || state != State.LOST) {
            return;
          }
          if (!found.succeeded()) {
            eventLoop.schedule(backoff.nextDelay(), () -> tryClaim(sequence));
            return;
          }
          generationRecordRevision = found.found() ? found.entry().revision() : 0;
          evaluate(found);
          if (state == State.LOST) {
            action.run();
          } else if (sequence == currentSequence) {
            scheduleNextRead(sequence, found.revision());
          }
        });
  }

  private boolean mustDefer() {
    if (replicaIsAuthoritative) {
      return false;
    }
    Instant now = eventLoop.now();
    return RebuildDeferral.mustDefer(
        host.replica(),
        host.peers(),
        Duration.between(startedAt, now),
        Duration.between(lossDetectedAt, now));
  }

  private void claimGeneration(int sequence) {
    host.peers().forEach(peer -> observeToken(peer.stored().highestToken()));
    long base =
        Generation.nextBase(
            Math.max(highestObservedToken(), highestKnownBase()), eventLoop.wallClock());
    Generation next = new Generation(base, 0, Phase.REBUILDING, claimIsExact, self);
    byte[] body =
        new StoreWire.Transaction("")
            .requireGeneration(generationRecordRevision)
            .putGeneration(RecordWire.generation(next))
            .bytes();
    storeClient.sendImmediately(
        storeClient.post("/multi", body),
        reply -> {
          if (sequence != currentSequence || stopped) {
            return;
          }
          // Also without a reply the store now shows which claim succeeded.
          readGenerationThen(
              sequence,
              () -> eventLoop.schedule(GENERATION_POLL_INTERVAL, () -> tryClaim(sequence)));
        });
  }

  // ---- rebuild

  private void startWriting(Generation target) {
    List<StoreWire.Entry> entries =
        host.replica().generationEntries(storeClient.limits().valueBytes());
    log.info(
        "Rebuild started: generation={} records={} replicaRevision={} exact={}",
        target.base(),
        entries.size(),
        host.replica().revision(),
        target.exact());
    Instant writeStartedAt = eventLoop.now();
    writer =
        new GenerationWriter(
            storeClient,
            eventLoop,
            target,
            entries,
            outcome -> {
              log.info(
                  "Rebuild ended: generation={} outcome={} duration={}",
                  target.base(),
                  outcome,
                  Duration.between(writeStartedAt, eventLoop.now()));
              writer = null;
              readGeneration();
            });
    writer.writeNext();
  }

  private void stopWriting() {
    if (writer != null) {
      writer.stop();
      writer = null;
    }
  }

  /**
   * Declares a rebuild as lost whose writer has ended or is unreachable, so that another controller
   * claims a generation of its own.
   */
  private void checkRebuildWriter() {
    if (stopped) {
      return;
    }
    Generation generation = storeClient.generation();
    if (state != State.REBUILDING || isOwn(generation)) {
      writerMonitor.reset();
    } else if (writerMonitor.isAbandoned(generation.writer(), host.peers(), eventLoop.now())) {
      declareLoss(
          Evidence.GENERATION_BACK,
          generation.writer().controllerName() + " has abandoned the rebuild");
    }
    eventLoop.schedule(WRITER_CHECK_INTERVAL, this::checkRebuildWriter);
  }
}
