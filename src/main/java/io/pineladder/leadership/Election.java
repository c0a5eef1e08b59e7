package io.pineladder.leadership;

import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient.Outcome;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.EventLoop;
import io.pineladder.retry.Backoff;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.RecordWire.LeaderRecord;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election, as run by one controller. A node that finds no leader acquires a lease in the
 * key-value store and creates the leader key attached to that lease, if the key does not exist. All
 * transactions of the term are conditional on the revision of the leader key. That revision plus
 * the base of its generation is the term number, which is also the fencing token for workers.
 *
 * <p>Not thread-safe: used on the event loop's thread only. The lease expiry is computed on the
 * local clock from the time at which the lease request was sent, minus the maximum clock drift and
 * a small margin, so the lease expires locally before it expires in the store.
 */
public final class Election {
  private static final Logger log = LoggerFactory.getLogger(Election.class);

  /** The maximum relative drift between two clocks, including a margin for rounding. */
  private static final double MAX_CLOCK_DRIFT_RATIO = 0.002;

  /** Retry delays stay short, since the cluster has no leader while elections are retried. */
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(250);

  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

  /** How long a node that yields leadership does not become a candidate again. */
  private static final Duration YIELD_DURATION = Duration.ofSeconds(3);

  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** The store's lease collection; the path of a lease is this path and the lease id. */
  private static final String LEASES_PATH = "/holds";

  /** The election state of this node. */
  public enum State {
    /** Not the leader; reads or watches the leader key. */
    FOLLOWING,
    /** Has requested a lease or the leader key. */
    CANDIDATE,
    /** Is the leader, with a lease that is valid by the local clock. */
    LEADING,
    /**
     * Holds the leader key as far as it knows, but its lease may have expired, so it must not act.
     * If the lease turns out to be still valid, as after an outage of the store, the term
     * continues.
     */
    IN_DOUBT
  }

  /** Receives the results of the election. */
  public interface Listener {
    /**
     * This node was elected leader.
     *
     * @param term the term number, which is also the fencing token for workers
     * @param leaderKeyRevision the revision on which all transactions of the term are conditional
     */
    void onElected(long term, long leaderKeyRevision);

    /** The store no longer has the lease; the term is about to end. */
    void onLeaseNotFound();

    /** The lease was in doubt and has been confirmed as valid. */
    void onLeaseConfirmed();

    /** The term has ended. */
    void onLeadershipLost(String reason);

    /** The leader record was read; null if there is none. */
    void onLeaderRead(LeaderRecord leader);
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Duration leaseDuration;
  private final LeaderRecord ownRecord;
  private final BooleanSupplier mayBecomeCandidate;
  private final Listener listener;
  private final Duration maxWorkerLeaseExtension;
  private final Backoff retry;
  private State state = State.FOLLOWING;
  private long leaseId;
  private long term;

  /** The revision of the leader key written by this node. */
  private long leaderKeyRevision;

  private Instant leaseExpiresAt = Instant.MIN;

  /** The lease was released, so another node may be elected before its expiry time. */
  private boolean leaseReleased;

  private Instant candidacyAllowedFrom = Instant.MIN;
  private LeaderRecord knownLeader;
  private long knownLeaderTerm;

  /** Incremented for each election round; replies that belong to an older round are ignored. */
  private int round;

  /**
   * Creates an election in state {@link State#FOLLOWING}; {@link #start} begins it.
   *
   * @param nonce distinguishes this process from earlier processes of the same controller
   * @param mayBecomeCandidate whether this node may currently stand for election
   */
  public Election(
      StoreClient storeClient,
      EventLoop eventLoop,
      Settings settings,
      String nonce,
      BooleanSupplier mayBecomeCandidate,
      Listener listener) {
    this.mayBecomeCandidate = mayBecomeCandidate;
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.ownRecord = new LeaderRecord(settings.controllerName(), settings.clusterAddress(), nonce);
    this.listener = listener;
    this.retry = new Backoff(eventLoop, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    this.leaseDuration = leaseDurationFor(settings.workerTimes().leaseDuration());
    this.maxWorkerLeaseExtension = maxWorkerLeaseExtension(settings.workerTimes());
  }

  /**
   * The duration of the leader's lease: a tenth of the workers' lease, within fixed bounds. A
   * failover after a crash takes at least this long, and workers must receive a response from the
   * new leader well before their own leases expire. With too short a lease, a pause of a busy
   * leader would end its term.
   */
  static Duration leaseDurationFor(Duration workerLease) {
    Duration tenth = workerLease.dividedBy(10);
    Duration min = Duration.ofMillis(2500);
    Duration max = Duration.ofSeconds(4);
    return tenth.compareTo(min) < 0 ? min : tenth.compareTo(max) > 0 ? max : tenth;
  }

  private void transitionTo(State next) {
    if (state != next) {
      log.info("Election state changed: from={} to={} term={}", state, next, term);
      state = next;
    }
  }

  /**
   * The election state as of the last transition; an expired lease is only detected by {@link
   * #isLeaseValid}.
   */
  public State state() {
    return state;
  }

  /** The number of this node's current or most recent term; 0 before the first. */
  public long term() {
    return term;
  }

  /** The most recently read leader, which may be this node; null if none is known. */
  public LeaderRecord knownLeader() {
    return knownLeader;
  }

  /**
   * Whether this node is the leader and its lease is valid by the local clock. Must be checked
   * before every side effect, since the process may have been paused. Transitions to {@link
   * State#IN_DOUBT} if the lease has expired.
   */
  public boolean isLeaseValid() {
    if (state != State.LEADING) {
      return false;
    }
    if (eventLoop.now().isBefore(leaseExpiresAt)) {
      return true;
    }
    transitionTo(State.IN_DOUBT);
    return false;
  }

  /**
   * How long a controller that cannot send commands may extend workers' leases. Tasks of a job that
   * is cancelled meanwhile end only when the worker's lease expires, which must still happen within
   * the cancellation bound, with a margin of four seconds.
   */
  public static Duration maxWorkerLeaseExtension(Settings.WorkerTimes workerTimes) {
    Duration extension =
        workerTimes.cancellationBound().minus(workerTimes.leaseDuration()).minusSeconds(4);
    return extension.isNegative() ? Duration.ZERO : extension;
  }

  /** When this node's current or most recent lease expires by the local clock. */
  public Instant leaseExpiresAt() {
    return leaseExpiresAt;
  }

  /**
   * Whether this node may extend workers' leases: its lease is valid, or in doubt for less than
   * {@link #maxWorkerLeaseExtension}.
   */
  public boolean mayExtendWorkerLeases() {
    return isLeaseValid()
        || (holdsTerm() && eventLoop.now().isBefore(leaseExpiresAt.plus(maxWorkerLeaseExtension)));
  }

  /**
   * Whether this node's current or most recent lease rules out another leader: it has neither
   * expired nor been released, even if the store no longer has it.
   */
  public boolean excludesOtherLeader() {
    return !leaseReleased && eventLoop.now().isBefore(leaseExpiresAt);
  }

  /** Whether this node has a term; its lease is valid or in doubt. */
  public boolean holdsTerm() {
    return state == State.LEADING || state == State.IN_DOUBT;
  }

  /** Starts a new election round. */
  public void start() {
    readLeader(++round);
  }

  private void readLeader(int expectedRound) {
    if (expectedRound != round || holdsTerm()) {
      return;
    }
    storeClient.readImmediately(
        RecordKeys.LEADER,
        (read, reply) -> {
          if (expectedRound != round) {
            return;
          }
          try {
            if (read.found()) {
              StoreWire.Entry entry = read.entry();
              setKnownLeader(entry);
              long leaderLeaseId = StoreWire.parseAttachedLease(reply.body());
              if (isPreviousProcess(knownLeader) && leaderLeaseId != 0) {
                releasePreviousLease(expectedRound, leaderLeaseId);
                return;
              }
              watchLeader(expectedRound, entry.revision());
              return;
            }
            if (read.succeeded()) {
              setKnownLeader(null);
              if (!mayBecomeCandidate.getAsBoolean()
                  || eventLoop.now().isBefore(candidacyAllowedFrom)) {
                eventLoop.schedule(retry.nextDelay(), () -> readLeader(expectedRound));
              } else {
                acquireLease(expectedRound);
              }
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("Leader record malformed: key={} error={}", RecordKeys.LEADER, e.getMessage());
          }
          eventLoop.schedule(retry.nextDelay(), () -> readLeader(expectedRound));
        });
  }

  /** Whether the leader is an earlier process of this controller that did not release its lease. */
  private boolean isPreviousProcess(LeaderRecord leader) {
    return leader.controllerName().equals(ownRecord.controllerName())
        && !leader.nonce().equals(ownRecord.nonce());
  }

  /**
   * Releases the lease of an earlier process of this controller. Otherwise workers' leases could
   * expire while the election waits for it: an outage of the store restores a lease to its full
   * duration. Two processes of one controller cannot run at the same time, since they listen on the
   * same addresses; even if they did, transactions and commands of the older process would be
   * fenced.
   */
  private void releasePreviousLease(int expectedRound, long previousLeaseId) {
    log.info("Releasing lease of previous process: leaseId={}", previousLeaseId);
    storeClient.sendImmediately(
        storeClient.delete(leasePath(previousLeaseId)),
        reply -> {
          if (expectedRound == round) {
            eventLoop.schedule(
                reply.isAnswered() ? Duration.ZERO : retry.nextDelay(),
                () -> readLeader(expectedRound));
          }
        });
  }

  private void setKnownLeader(StoreWire.Entry entry) throws MalformedMessageException {
    knownLeader = entry == null ? null : RecordWire.parseLeader(entry.value());
    long term = entry == null ? 0 : storeClient.generation().token(entry.revision());
    if (term != knownLeaderTerm) {
      log.info(
          "Known leader changed: leader={} term={} previousTerm={}",
          knownLeader == null ? "none" : knownLeader.controllerName(),
          term,
          knownLeaderTerm);
    }
    knownLeaderTerm = term;
    listener.onLeaderRead(knownLeader);
  }

  private void watchLeader(int expectedRound, long afterRevision) {
    storeClient.watch(
        RecordKeys.LEADER_PREFIX,
        afterRevision,
        WATCH_TIMEOUT,
        watched -> {
          if (expectedRound != round) {
            return;
          }
          if (watched.changes() == null) {
            eventLoop.schedule(retry.nextDelay(), () -> readLeader(expectedRound));
            return;
          }
          readLeader(expectedRound);
        });
  }

  private void acquireLease(int expectedRound) {
    transitionTo(State.CANDIDATE);
    Instant sentAt = eventLoop.now();
    storeClient.sendImmediately(
        storeClient.post(LEASES_PATH, StoreWire.leaseRequest(leaseDuration)),
        reply -> {
          if (expectedRound != round) {
            return;
          }
          try {
            if (reply.hasStatus(200)) {
              leaseId = StoreWire.parseLeaseId(reply.body());
              claimLeaderKey(expectedRound, sentAt, false);
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("Lease response malformed: error={}", e.getMessage());
          }
          transitionTo(State.FOLLOWING);
          eventLoop.schedule(retry.nextDelay(), () -> readLeader(expectedRound));
        });
  }

  private void claimLeaderKey(int expectedRound, Instant leaseSentAt, boolean repeated) {
    byte[] body =
        storeClient
            .transaction()
            .require(RecordKeys.LEADER, 0)
            .put(RecordKeys.LEADER, RecordWire.leader(ownRecord), leaseId)
            .bytes();
    long revisionBefore = storeClient.highestRevision();
    storeClient.sendImmediately(
        storeClient.post("/multi", body),
        reply -> onClaimReply(expectedRound, leaseSentAt, repeated, revisionBefore, reply));
  }

  private void onClaimReply(
      int expectedRound, Instant leaseSentAt, boolean repeated, long revisionBefore, Reply reply) {
    if (expectedRound != round) {
      return;
    }
    try {
      if (reply.hasStatus(200)) {
        long revision = StoreWire.parseRevision(reply.body());
        if (storeClient.acceptCommitRevision(revisionBefore, revision)) {
          becomeLeader(revision, leaseSentAt);
        } else {
          abandonCandidacy(expectedRound);
        }
        return;
      }
    } catch (MalformedMessageException e) {
      log.warn("Leader claim response malformed: error={}", e.getMessage());
    }
    if (reply.hasStatus(409) && repeated) {
      // An earlier attempt of this claim, which got no reply, may have written the key.
      storeClient.readImmediately(
          RecordKeys.LEADER,
          (read, readReply) -> onLeaderReadAfterClaim(expectedRound, leaseSentAt, read, readReply));
      return;
    }
    boolean outcomeUnknown = reply.outcome() == Outcome.UNKNOWN;
    if (outcomeUnknown && eventLoop.now().isBefore(leaseSentAt.plus(leaseDuration))) {
      eventLoop.schedule(retry.nextDelay(), () -> retryClaim(expectedRound, leaseSentAt));
      return;
    }
    abandonCandidacy(expectedRound);
  }

  private void retryClaim(int expectedRound, Instant leaseSentAt) {
    if (expectedRound == round) {
      claimLeaderKey(expectedRound, leaseSentAt, true);
    }
  }

  /**
   * Handles a read of the leader key after a claim that conflicted. A delayed claim of an earlier
   * round may have written this node's record attached to that round's lease. The key would
   * disappear when that lease expires, so only a key attached to the current lease counts.
   */
  private void onLeaderReadAfterClaim(
      int expectedRound, Instant leaseSentAt, StoreClient.ReadResult read, Reply reply) {
    if (expectedRound != round) {
      return;
    }
    try {
      if (read.found()) {
        StoreWire.Entry entry = read.entry();
        if (RecordWire.parseLeader(entry.value()).equals(ownRecord)
            && StoreWire.parseAttachedLease(reply.body()) == leaseId) {
          becomeLeader(entry.revision(), leaseSentAt);
          return;
        }
      }
    } catch (MalformedMessageException e) {
      log.warn("Leader record malformed: key={} error={}", RecordKeys.LEADER, e.getMessage());
    }
    abandonCandidacy(expectedRound);
  }

  private static String leasePath(long id) {
    return LEASES_PATH + "/" + id;
  }

  private void abandonCandidacy(int expectedRound) {
    // A delayed claim then refers to a lease that no longer exists and has no effect.
    storeClient.sendImmediately(storeClient.delete(leasePath(leaseId)), reply -> {});
    transitionTo(State.FOLLOWING);
    eventLoop.schedule(retry.nextDelay(), () -> readLeader(expectedRound));
  }

  private void becomeLeader(long revision, Instant leaseSentAt) {
    leaderKeyRevision = revision;
    term = storeClient.generation().token(revision);
    knownLeader = ownRecord;
    knownLeaderTerm = term;
    leaseReleased = false;
    extendLease(leaseSentAt);
    int newRound = ++round;
    transitionTo(State.LEADING);
    listener.onLeaderRead(ownRecord);
    listener.onElected(term, leaderKeyRevision);
    eventLoop.schedule(leaseDuration.dividedBy(4), () -> renewLease(newRound));
  }

  private void extendLease(Instant sentAt) {
    long nanos = leaseDuration.toNanos();
    leaseExpiresAt =
        sentAt.plusNanos(nanos - (long) (nanos * MAX_CLOCK_DRIFT_RATIO)).minusMillis(20);
  }

  private void renewLease(int expectedRound) {
    if (expectedRound != round || !holdsTerm()) {
      return;
    }
    // Called for its transition to IN_DOUBT if the lease has expired.
    isLeaseValid();
    Instant sentAt = eventLoop.now();
    storeClient.sendImmediately(
        storeClient.post(leasePath(leaseId) + "/touch", StoreWire.leaseRequest(leaseDuration)),
        reply -> {
          if (expectedRound != round || !holdsTerm()) {
            return;
          }
          if (reply.hasStatus(404)) {
            listener.onLeaseNotFound();
            endTerm("the lease no longer exists in the store", false);
            return;
          }
          boolean renewed = reply.hasStatus(200);
          if (renewed) {
            retry.reset();
            if (state == State.IN_DOUBT) {
              confirmLeaderKey(expectedRound, sentAt);
            } else {
              extendLease(sentAt);
            }
          }
          eventLoop.schedule(
              renewed ? leaseDuration.dividedBy(4) : retry.nextDelay(),
              () -> renewLease(expectedRound));
        });
  }

  /**
   * Verifies the leader key after a lease that had expired locally was renewed. After data loss the
   * store assigns lease ids from the beginning again, so the renewed lease may belong to another
   * node.
   */
  private void confirmLeaderKey(int expectedRound, Instant sentAt) {
    storeClient.readImmediately(
        RecordKeys.LEADER,
        (read, reply) -> {
          if (expectedRound != round || state != State.IN_DOUBT || !read.succeeded()) {
            return;
          }
          if (!read.found() || read.entry().revision() != leaderKeyRevision) {
            endTerm("the leader key was deleted or belongs to another controller", false);
            return;
          }
          extendLease(sentAt);
          transitionTo(State.LEADING);
          if (isLeaseValid()) {
            listener.onLeaseConfirmed();
          }
        });
  }

  /** Ends the term and releases the lease; does nothing without a term. */
  public void stepDown(String reason) {
    endTerm(reason, true);
  }

  /**
   * Ends the term.
   *
   * @param releaseLease false if the lease may belong to another node by now
   */
  private void endTerm(String reason, boolean releaseLease) {
    if (!holdsTerm()) {
      return;
    }
    log.warn("Term ended: term={} reason={}", term, reason);
    int newRound = ++round;
    knownLeader = null;
    transitionTo(State.FOLLOWING);
    leaseReleased = releaseLease;
    if (releaseLease) {
      storeClient.sendImmediately(storeClient.delete(leasePath(leaseId)), reply -> {});
    }
    listener.onLeadershipLost(reason);
    eventLoop.schedule(retry.nextDelay(), () -> readLeader(newRound));
  }

  /** Ends the term and does not become a candidate again for {@link #YIELD_DURATION}. */
  public void yieldLeadership(String reason) {
    candidacyAllowedFrom = eventLoop.now().plus(YIELD_DURATION);
    stepDown(reason);
  }

  /** The term of the known leader, used to prefer newer information; 0 if none is known. */
  public long knownLeaderTerm() {
    return knownLeaderTerm;
  }

  /**
   * Ends the term and leaves the election until {@link #start} is called; there is no leader while
   * the records are rebuilt.
   */
  public void pause() {
    endTerm("the records are being rebuilt", false);
    round++;
    knownLeader = null;
    knownLeaderTerm = 0;
    transitionTo(State.FOLLOWING);
  }
}
