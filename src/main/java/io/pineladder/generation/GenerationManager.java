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
 * Which generation of the records counts, and what one controller does when the state service has
 * lost data: it is noticed, held, and written anew from a controller's copy (docs/state-loss.md).
 *
 * <p>Whoever rebuilds names a new generation in one transaction, writes its records under names
 * that no transaction of an earlier generation has, and then says that it is whole. Until then
 * nobody leads.
 */
public final class GenerationManager {
  private static final Logger log = LoggerFactory.getLogger(GenerationManager.class);
  private static final Duration GENERATION_WATCH_TIMEOUT = Duration.ofSeconds(20);

  /**
   * Before this a controller that did not lead names no generation: the leader of before may not
   * have noticed the loss, and what it tells must be over when another begins. No lease lasts
   * longer.
   */
  static final Duration MAX_PREVIOUS_LEASE = Duration.ofSeconds(4);

  /** So much longer whoever has no whole copy leaves it to the others. */
  private static final Duration INCOMPLETE_REPLICA_DELAY = Duration.ofSeconds(8);

  /** A process so young may have peers that are not up yet. */
  private static final Duration STARTUP_PERIOD = Duration.ofSeconds(20);

  /** A controller with a better copy that does nothing is waited for so long. */
  private static final Duration MAX_DEFERRAL = Duration.ofSeconds(12);

  /** A controller that rebuilds and cannot be reached is waited for so long. */
  private static final Duration WRITER_UNREACHABLE_TIMEOUT = Duration.ofSeconds(5);

  /** A pause after which something that is not answered is worth another look. */
  private static final Duration GENERATION_POLL_INTERVAL = Duration.ofMillis(500);

  /** Where the records stand, as far as this controller knows. */
  public enum State {
    /** Which generation counts has not been read. */
    UNREAD,
    /** The store holds what was stored. */
    TRUSTED,
    /** Something does not fit; it is being looked into. */
    DOUBTED,
    /** Data was lost: nothing that the store says counts until a new generation is named. */
    LOST,
    /** A controller writes a new generation. */
    REBUILDING,
    /** The store holds what was rebuilt; trusted like the first generation. */
    REBUILT
  }

  /** What shows that data was lost. */
  public enum Evidence {
    /** The service told a revision below one that it had. */
    REVISION_BACK,
    /** The generation that counts is older than one that counted before, or none is named. */
    GENERATION_BACK,
    /** A record that its only writer stored is missing or older. */
    RECORD_MISSING,
    /** A record cannot be read, and the controller that needs it has no copy. */
    UNREADABLE,
    /** Another controller has found out. */
    PEER,
    /** An operator has handed in a snapshot of records that nothing else has any more. */
    HANDED_IN,
    /** Workers have seen a token that no leader of this store can have had. */
    TOKEN_ABOVE,
    /** A worker runs a task of a job that the store has no record of, not even of its end. */
    JOB_UNKNOWN;

    /** Whether whoever notices by it knows no more than the store that has lost the data. */
    boolean impliesStaleReplica() {
      return this == TOKEN_ABOVE || this == JOB_UNKNOWN;
    }
  }

  /** What the node does. */
  public interface Host {
    /** The copy of the records that would be written. */
    RecordReplica replica();

    /** Whether this node led when the loss was noticed, with a lease that held then. */
    boolean isLeader();

    /** Nothing in the store counts: no leading, no reading, no copying. */
    void onDataLoss();

    /** Another generation is named; it may be whole or not. */
    void onGenerationChange(Generation generation);

    /** The peers, with what they told of the records. */
    List<Membership.PeerStatus> peers();
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Generation.Writer self;
  private final Host host;
  private final Backoff backoff;
  private State state = State.UNREAD;
  private long highestObservedToken;
  private boolean claimIsExact;

  /** This controller led, so no other can have acted since and none has a better copy. */
  private boolean replicaIsAuthoritative;

  private final Instant startedAt;
  private Instant lossDetectedAt;
  private Instant unreachableSince;
  private GenerationWriter writer;
  private int currentSequence;
  private int lossCount;
  private Evidence lastEvidence;
  private Instant rebuiltGenerationAdoptedAt;
  private boolean stopped;

  /**
   * The generations as one controller sees them.
   *
   * @param self this controller, with its process
   */
  public GenerationManager(
      StoreClient storeClient, EventLoop eventLoop, Generation.Writer self, Host host) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.self = self;
    this.host = host;
    this.backoff = storeClient.newBackoff();
    this.startedAt = eventLoop.now();
    storeClient.onRevisionRollback(
        revision ->
            declareLoss(
                Evidence.REVISION_BACK,
                "the store tells revision "
                    + revision
                    + " and had "
                    + storeClient.highestRevision()));
  }

  public void start() {
    readGeneration(++currentSequence);
    checkRebuildWriter();
  }

  public void stop() {
    stopped = true;
  }

  /** The one place where the state changes. */
  private void transitionTo(State next, String reason) {
    if (state != next) {
      log.info("records: {} -> {} ({})", state, next, reason);
      state = next;
    }
  }

  public State state() {
    return state;
  }

  /** How often data was found to be lost since this process began. */
  public int lossCount() {
    return lossCount;
  }

  /** What showed the latest loss; null when there was none. */
  public Evidence lastEvidence() {
    return lastEvidence;
  }

  /** Whether what the store says counts. */
  public boolean isTrusted() {
    return state == State.TRUSTED || state == State.REBUILT;
  }

  /** Which part of the records is rebuilt by this controller now; 1 when it rebuilds nothing. */
  public double rebuildProgress() {
    return writer == null || writer.totalCount() == 0
        ? 1
        : (double) writer.writtenCount() / writer.totalCount();
  }

  /** For how long a generation that was rebuilt has counted here; null for the first generation. */
  public Duration timeSinceRebuild() {
    return rebuiltGenerationAdoptedAt == null
        ? null
        : Duration.between(rebuiltGenerationAdoptedAt, eventLoop.now());
  }

  /** Somebody has used this token. */
  public void observeToken(long token) {
    highestObservedToken = Math.max(highestObservedToken, token);
  }

  /** The highest token that anybody is known to have used. */
  public long highestObservedToken() {
    long seen = storeClient.generation().token(storeClient.highestRevision());
    return Math.max(highestObservedToken, seen);
  }

  /**
   * The token with which this controller keeps a worker's lease while nobody leads, without orders;
   * 0 when it does not. While data is lost that is the worker's own, which any node may answer
   * with; while this controller rebuilds it is one above all that were used and below that of the
   * leader to come. What was cancelled right before has to end by the end of the lease, so the time
   * is bounded.
   *
   * @param seen the highest token that the worker has seen
   * @param longest for how long leases may be kept
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

  // ---- what peers know

  /** A peer has told what it knows of the records. */
  public void onPeerStatus(RecordStatus status) {
    observeToken(status.highestToken());
    storeClient.observeRevision(status.generationBase(), status.highestRevision());
    if (!isTrusted()) {
      return;
    }
    if (status.generationBase() > storeClient.generation().base()) {
      readGeneration();
    } else if (status.recordsLost() && status.generationBase() == storeClient.generation().base()) {
      declareLoss(Evidence.PEER, "another controller has noticed");
    }
  }

  /** Takes in what peers told last; whether the store can be read as they have seen it. */
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

  // ---- which generation counts

  /** Reads at once which generation counts. */
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
          if (!found.certain()) {
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
                  reply.is(200) ? Duration.ZERO : backoff.nextDelay(),
                  () -> readGeneration(sequence)));
    } else {
      eventLoop.schedule(GENERATION_POLL_INTERVAL, () -> readGeneration(sequence));
    }
  }

  private void evaluate(StoreClient.Read read) {
    Generation found;
    try {
      found =
          read.found()
              ? RecordWire.parseGeneration(read.entry().value(), read.entry().revision())
              : Generation.FIRST;
    } catch (MalformedMessageException e) {
      declareLoss(Evidence.GENERATION_BACK, "the generation that counts cannot be read");
      return;
    }
    Generation present = storeClient.generation();
    if (found.base() > present.base()) {
      adopt(found);
    } else if (found.base() < highestKnownBase()) {
      declareLoss(Evidence.GENERATION_BACK, "generation " + found.base() + " is named");
    } else if (state == State.UNREAD) {
      adopt(found);
    } else if (found.recordRevision() > present.recordRevision()) {
      adopt(found);
    } else if (found.recordRevision() < present.recordRevision()) {
      declareLoss(Evidence.GENERATION_BACK, "generation " + found.base() + " is named anew");
    }
  }

  /** Something does not fit that may have another reason; it is being looked into. */
  public void suspectLoss(String reason) {
    if (isTrusted()) {
      transitionTo(State.DOUBTED, reason);
    }
  }

  /** What was looked into has another reason, or cannot be told now. */
  public void clearSuspicion() {
    if (state == State.DOUBTED) {
      transitionTo(
          storeClient.generation().base() == 0 ? State.TRUSTED : State.REBUILT, "no loss is shown");
    }
  }

  private void adopt(Generation found) {
    if (state == State.LOST && found.base() == storeClient.generation().base()) {
      // The same generation once more, from a backup or a late transaction: it stays lost.
      return;
    }
    boolean whole = found.phase() == Phase.COMPLETE;
    if (found.base() != 0 && (whole || found.base() != storeClient.generation().base())) {
      rebuiltGenerationAdoptedAt = eventLoop.now();
    }
    if (writer != null) {
      writer.stop();
      writer = null;
    }
    unreachableSince = null;
    observeToken(found.base());
    transitionTo(
        !whole ? State.REBUILDING : found.base() == 0 ? State.TRUSTED : State.REBUILT,
        "generation " + found.base() + " of " + found.writer().controllerName());
    host.onGenerationChange(found);
    if (!whole && isOwn(found)) {
      startWriting(found);
    }
  }

  // ---- a loss

  /**
   * A worker has seen a token above ours, while our key as the leader still stands. No later leader
   * can have been elected in this store, so the token is of one whose key was lost.
   */
  public void onHigherToken(long token) {
    observeToken(token);
    declareLoss(Evidence.TOKEN_ABOVE, "a worker has seen token " + token);
  }

  /** Something shows that data was lost. */
  public void declareLoss(Evidence newEvidence, String detail) {
    if (state == State.LOST || state == State.UNREAD && newEvidence == Evidence.REVISION_BACK) {
      return;
    }
    lossCount++;
    lastEvidence = newEvidence;
    Generation present = storeClient.generation();
    boolean rebuilding = state == State.REBUILDING && isOwn(present) && present.exact();
    boolean leads = (isTrusted() || state == State.DOUBTED) && host.isLeader();
    replicaIsAuthoritative = rebuilding || leads && !newEvidence.impliesStaleReplica();
    claimIsExact = replicaIsAuthoritative && newEvidence != Evidence.HANDED_IN;
    lossDetectedAt = eventLoop.now();
    log.error("the state service has lost data ({}): {}", newEvidence, detail);
    transitionTo(State.LOST, newEvidence.name());
    if (writer != null) {
      writer.stop();
      writer = null;
    }
    host.onDataLoss();
    int sequence = ++currentSequence;
    eventLoop.schedule(
        replicaIsAuthoritative ? Duration.ZERO : MAX_PREVIOUS_LEASE, () -> tryClaim(sequence));
  }

  /** Names a new generation, unless another controller is better placed to. */
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
   * Reads what the store still holds. A leader's copy holds all that anybody acted upon; any other
   * lacks the last moments, and where only a part was lost the rest of the store has them.
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

  /** Reads whether another controller has named one; what follows if not. */
  private void readGenerationThen(int sequence, Runnable then) {
    storeClient.readGeneration(
        found -> {
          if (sequence != currentSequence || stopped || state != State.LOST) {
            return;
          }
          if (!found.certain()) {
            eventLoop.schedule(backoff.nextDelay(), () -> tryClaim(sequence));
            return;
          }
          generationRecordRevision = found.found() ? found.entry().revision() : 0;
          evaluate(found);
          if (state == State.LOST) {
            then.run();
          } else if (sequence == currentSequence) {
            scheduleNextRead(sequence, found.revision());
          }
        });
  }

  /** The revision of the record that names a generation, as last read; 0 when there is none. */
  private long generationRecordRevision;

  private boolean mustDefer() {
    Duration waited = Duration.between(lossDetectedAt, eventLoop.now());
    if (replicaIsAuthoritative) {
      return false;
    }
    RecordReplica mine = host.replica();
    boolean othersMayHave =
        host.peers().stream()
            .anyMatch(
                p ->
                    p.state() != Membership.State.UP
                        || !mine.isComplete() && p.stored().replicaComplete());
    // Where all began anew, whoever has the best copy may be the last to be up.
    boolean early = startedAt.plus(STARTUP_PERIOD).isAfter(eventLoop.now());
    if ((early || !mine.isComplete())
        && othersMayHave
        && waited.compareTo(MAX_PREVIOUS_LEASE.plus(INCOMPLETE_REPLICA_DELAY)) < 0) {
      return true;
    }
    if (waited.compareTo(MAX_DEFERRAL) > 0) {
      return false;
    }
    for (Membership.PeerStatus peer : host.peers()) {
      RecordStatus told = peer.stored();
      boolean newer =
          told.replicaBase() > mine.base()
              || (told.replicaBase() == mine.base() && told.replicaRevision() > mine.revision());
      // A copy that is not whole is still more than one that has less. Found with real processes:
      // in a
      // cluster's first seconds none is, and one that had read nothing yet wrote that.
      boolean better = told.replicaComplete() == mine.isComplete() ? newer : told.replicaComplete();
      if (peer.state() == Membership.State.UP && better) {
        return true;
      }
    }
    return false;
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
          // Whatever came of it stands in the store now.
          readGenerationThen(
              sequence,
              () -> eventLoop.schedule(GENERATION_POLL_INTERVAL, () -> tryClaim(sequence)));
        });
  }

  private void startWriting(Generation target) {
    List<StoreWire.Entry> image =
        host.replica().generationEntries(storeClient.limits().valueBytes());
    log.info(
        "generation {} is written with {} records from a copy of revision {}{}",
        target.base(),
        image.size(),
        host.replica().revision(),
        target.exact() ? "" : "; what was stored after that may be missing");
    Instant begun = eventLoop.now();
    writer =
        new GenerationWriter(
            storeClient,
            eventLoop,
            target,
            image,
            good -> {
              log.info(
                  "generation {} {} after {}",
                  target.base(),
                  good ? "is whole" : "could not be finished",
                  Duration.between(begun, eventLoop.now()));
              writer = null;
              readGeneration();
            });
    writer.writeNext();
  }

  /**
   * A controller that rebuilds may end or be cut off; then another names a generation of its own.
   */
  private void checkRebuildWriter() {
    if (stopped) {
      return;
    }
    Generation.Writer by = storeClient.generation().writer();
    if (state == State.REBUILDING && !by.equals(self) && !isWriterUp(by)) {
      Instant now = eventLoop.now();
      unreachableSince = unreachableSince == null ? now : unreachableSince;
      if (unreachableSince.plus(WRITER_UNREACHABLE_TIMEOUT).isBefore(now)) {
        unreachableSince = null;
        declareLoss(Evidence.GENERATION_BACK, by.controllerName() + " has given the rebuild up");
      }
    } else {
      unreachableSince = null;
    }
    eventLoop.schedule(Duration.ofSeconds(1), this::checkRebuildWriter);
  }

  private boolean isWriterUp(Generation.Writer by) {
    for (Membership.PeerStatus peer : host.peers()) {
      if (peer.controllerName().equals(by.controllerName())) {
        return peer.state() == Membership.State.UP && by.nonce().equals(peer.nonce());
      }
    }
    return false;
  }
}
