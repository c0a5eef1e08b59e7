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
 * The state machine of the record generations in one controller (docs/state-loss.md). It tracks the
 * generation in force, handles a data loss of the consensus-backed key-value store, and rebuilds
 * the records as a new generation from a controller's replica.
 *
 * <p>To rebuild, a controller claims a new generation by compare-and-swap, writes its records under
 * a key prefix that no transaction of an earlier generation uses, and then marks it as complete. No
 * controller leads in a generation before it is complete. Event thread only.
 */
public final class GenerationManager {
  private static final Logger log = LoggerFactory.getLogger(GenerationManager.class);
  private static final Duration GENERATION_WATCH_TIMEOUT = Duration.ofSeconds(20);

  /**
   * Upper bound of the duration of a leader lease. A controller that did not lead waits this long
   * before it claims a generation: the previous leader may not have detected the loss, and its
   * lease must have expired before another term begins.
   */
  static final Duration MAX_PREVIOUS_LEASE = Duration.ofSeconds(4);

  /** The interval at which the generation record is read while no generation is trusted. */
  private static final Duration GENERATION_POLL_INTERVAL = Duration.ofMillis(500);

  private static final Duration WRITER_CHECK_INTERVAL = Duration.ofSeconds(1);

  /** Whether the records in the store may be acted upon. The admin API exposes the names. */
  public enum State {
    /** The generation in force has not been read yet. */
    UNREAD,
    /** The first generation is in force and no loss is known. */
    TRUSTED,
    /** A possible data loss is being verified. */
    DOUBTED,
    /** Data was lost: no record is trusted until a controller claims a new generation. */
    LOST,
    /** A controller is writing a new generation. */
    REBUILDING,
    /** A complete rebuilt generation is in force and trusted. */
    REBUILT
  }

  /** How a data loss was detected. The admin API exposes the names. */
  public enum Evidence {
    /** The store answered with a revision below one that it had reported before. */
    REVISION_BACK,
    /** The generation record is missing, unreadable or outdated, or a rebuild was abandoned. */
    GENERATION_BACK,
    /** A record that is never removed is missing, or older than a version seen before. */
    RECORD_MISSING,
    /** A record cannot be parsed, and the replica has no readable value of it. */
    UNREADABLE,
    /** A peer has reported the loss. */
    PEER,
    /** An operator has imported a snapshot, which is merged into a new generation. */
    HANDED_IN,
    /** A worker has seen a fencing token that no leader in this store can have held. */
    TOKEN_ABOVE,
    /** A worker runs a task of a job that has neither a record nor a final state. */
    JOB_UNKNOWN;

    /** Whether the replica of the detecting controller may lack the lost records too. */
    boolean impliesStaleReplica() {
      return this == TOKEN_ABOVE || this == JOB_UNKNOWN;
    }
  }

  /** The controller that uses the generations. */
  public interface Host {
    /** The replica from which a new generation is written. */
    RecordReplica replica();

    /** Whether this controller has a valid leader lease and no other can have a newer replica. */
    boolean isLeader();

    /** The store is not trusted; the term, reads and replication must end. */
    void onDataLoss();

    /** Another generation, or another phase of the current one, is in force. */
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
   * Whether this controller led or rebuilt when the loss was detected, so that no other controller
   * can have a newer replica.
   */
  private boolean replicaIsAuthoritative;

  /** The revision of the generation record when it was last read; 0 if there was none. */
  private long generationRecordRevision;

  private final Instant startedAt;
  private Instant lossDetectedAt;
  private GenerationWriter writer;

  /** Incremented to invalidate pending reads and timers. */
  private int currentSequence;

  private int lossCount;
  private Evidence lastEvidence;
  private String lastLossDetail;

  /** How many losses in a row had the same evidence and detail. */
  private int repeatedLosses;

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

  /** Starts to read the generation record and to monitor the writer of a rebuild. */
  public void start() {
    readGeneration(++currentSequence);
    checkRebuildWriter();
  }

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

  public State state() {
    return state;
  }

  /** The number of data losses declared since this process started. */
  public int lossCount() {
    return lossCount;
  }

  /** How the latest data loss was detected; null if there was none. */
  public Evidence lastEvidence() {
    return lastEvidence;
  }

  /** Whether the records in the store may be acted upon. */
  public boolean isTrusted() {
    return state == State.TRUSTED || state == State.REBUILT;
  }

  /** The fraction of records written by this controller's rebuild, 0 to 1; 1 if there is none. */
  public double rebuildProgress() {
    return writer == null || writer.totalCount() == 0
        ? 1
        : (double) writer.writtenCount() / writer.totalCount();
  }

  /** Time since this controller adopted a rebuilt generation; null for the first generation. */
  public Duration timeSinceRebuild() {
    return rebuiltGenerationAdoptedAt == null
        ? null
        : Duration.between(rebuiltGenerationAdoptedAt, eventLoop.now());
  }

  /** Records that a controller has used this fencing token. */
  public void observeToken(long token) {
    highestObservedToken = Math.max(highestObservedToken, token);
  }

  /** The highest fencing token known to have been used. */
  public long highestObservedToken() {
    long seen = storeClient.generation().token(storeClient.highestRevision());
    return Math.max(highestObservedToken, seen);
  }

  /**
   * The fencing token with which this controller extends a worker's lease, without commands, while
   * there is no leader; 0 if it does not extend the lease. In state LOST this is the worker's own
   * token, with which any controller may answer. While this controller rebuilds, it is the base of
   * the new generation, which is above all tokens used and below the token of the next leader. The
   * period is bounded because tasks of jobs cancelled right before the loss end only when the lease
   * expires.
   *
   * @param workerToken the highest token that the worker has seen
   * @param maxKeepAlive the maximum time after the loss for which leases are extended
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
   * @return whether the store is trusted and no peer knows a later generation
   */
  public boolean syncWithPeers() {
    host.peers().forEach(peer -> onPeerStatus(peer.recordStatus()));
    return isTrusted() && highestKnownBase() == storeClient.generation().base();
  }

  private long highestKnownBase() {
    long highest = Math.max(storeClient.generation().base(), host.replica().base());
    for (Membership.PeerStatus peer : host.peers()) {
      highest = Math.max(highest, peer.recordStatus().generationBase());
    }
    return highest;
  }

  // ---- the generation in force

  /** Reads the generation record immediately. */
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
      declareLoss(
          Evidence.GENERATION_BACK, "generation record cannot be parsed: " + e.getMessage());
      return;
    }
    Generation current = storeClient.generation();
    if (found.base() > current.base()) {
      adopt(found);
    } else if (found.base() < highestKnownBase()) {
      declareLoss(
          Evidence.GENERATION_BACK,
          "generation record names an earlier generation: " + found.base());
    } else if (state == State.UNREAD) {
      adopt(found);
    } else if (found.recordRevision() > current.recordRevision()) {
      adopt(found);
    } else if (found.recordRevision() < current.recordRevision()) {
      declareLoss(
          Evidence.GENERATION_BACK,
          "generation record has an earlier revision: " + found.recordRevision());
    }
  }

  /** Suspects a data loss until {@link #clearSuspicion} or {@link #declareLoss} is called. */
  public void suspectLoss(String reason) {
    if (isTrusted()) {
      transitionTo(State.DOUBTED, reason);
    }
  }

  /** Restores trust after a suspected loss was not confirmed. */
  public void clearSuspicion() {
    if (state == State.DOUBTED) {
      transitionTo(
          storeClient.generation().base() == 0 ? State.TRUSTED : State.REBUILT,
          "suspected loss not confirmed");
    }
  }

  private void adopt(Generation found) {
    if (state == State.LOST && found.base() == storeClient.generation().base()) {
      // The record reappeared by a restored backup or a delayed transaction; the data stays lost.
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
   * A worker has seen a fencing token above that of this leader, whose leader key still exists. No
   * later leader can have been elected in this store, so it has lost the key of the leader with
   * that token.
   */
  public void onHigherToken(long token) {
    observeToken(token);
    declareLoss(Evidence.TOKEN_ABOVE, "a worker has seen fencing token " + token);
  }

  /**
   * Declares that the store has lost data and schedules the claim of a new generation. Has no
   * effect if the loss is already known.
   */
  public void declareLoss(Evidence newEvidence, String detail) {
    if (state == State.LOST || (state == State.UNREAD && newEvidence == Evidence.REVISION_BACK)) {
      return;
    }
    lossCount++;
    boolean repeated = newEvidence == lastEvidence && detail.equals(lastLossDetail);
    repeatedLosses = repeated ? repeatedLosses + 1 : 1;
    lastEvidence = newEvidence;
    lastLossDetail = detail;
    Generation current = storeClient.generation();
    boolean rebuilding = state == State.REBUILDING && isOwn(current) && current.exact();
    boolean leading = (isTrusted() || state == State.DOUBTED) && host.isLeader();
    replicaIsAuthoritative = rebuilding || (leading && !newEvidence.impliesStaleReplica());
    claimIsExact = replicaIsAuthoritative && newEvidence != Evidence.HANDED_IN;
    lossDetectedAt = eventLoop.now();
    log.error(
        "Data loss in the key-value store: evidence={} detail=\"{}\" inARow={}",
        newEvidence,
        detail,
        repeatedLosses);
    transitionTo(State.LOST, newEvidence.name());
    stopWriting();
    host.onDataLoss();
    int sequence = ++currentSequence;
    eventLoop.schedule(
        replicaIsAuthoritative ? Duration.ZERO : MAX_PREVIOUS_LEASE, () -> tryClaim(sequence));
  }

  /** Claims a new generation unless a controller with a better replica is expected to do so. */
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
   * Reads the records that survived a partial loss. Only the replica of a leader contains all
   * changes that were acted upon; any other may lack the latest ones.
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

  /** Runs the action if no controller has claimed a generation in the meantime. */
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
    host.peers().forEach(peer -> observeToken(peer.recordStatus().highestToken()));
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
          // The generation record shows which claim succeeded, even if the reply was lost.
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
   * Declares a loss when the writer of a rebuild has ended or is unreachable, so that another
   * controller claims a new generation.
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
