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
 * The election of the leader, as one controller takes part in it. A node that finds no leader takes
 * a lease in the state service and writes the leader's key under it, on condition that there is
 * none. The revision of that key is the condition of every transaction; with the base of its
 * generation added it is the number of the term and the fencing token toward workers.
 *
 * <p>Used on the event loop's thread only. The lease's expiry is counted from when the request for
 * it was sent, by this node's own clock and less the drift of the clocks, so it expires here before
 * it does in the state service.
 */
public final class Election {
  private static final Logger log = LoggerFactory.getLogger(Election.class);

  /** The worst drift of two clocks against one another, with a margin for rounding. */
  private static final double MAX_CLOCK_DRIFT_RATIO = 0.002;

  /** A leader is missed most right after an outage, so the delays between reads stay short. */
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(250);

  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

  /** How long a node that yields the leadership is no candidate, so that others are first. */
  private static final Duration YIELD_DURATION = Duration.ofSeconds(3);

  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** Where the state service creates leases; a lease's own path has its number appended. */
  private static final String LEASES_PATH = "/holds";

  /** A node's part in the election. */
  public enum State {
    /** Does not lead; reads the leader's key, or watches it. */
    FOLLOWING,
    /** Has asked for a lease or for the leader's key. */
    CANDIDATE,
    /** Leads, and its lease is valid by its own clock. */
    LEADING,
    /**
     * Has the leader's key as far as it knows, but its lease may have expired; it decides nothing.
     * After an outage of the state service the next renewal shows that the lease is still there,
     * and the term goes on.
     */
    IN_DOUBT
  }

  /** What follows as a node's part in the election changes. */
  public interface Listener {
    /**
     * This node was elected and leads from now on.
     *
     * @param term the number of the term, which is the fencing token toward workers
     * @param leaderKeyRevision the condition of the term's transactions
     */
    void onElected(long term, long leaderKeyRevision);

    /** The state service no longer knows the lease; the term is about to end. */
    void onLeaseNotFound();

    /** The lease was in doubt and is valid after all. */
    void onLeaseConfirmed();

    /** The term has ended. */
    void onLeadershipLost(String reason);

    /** The leader's key was read; null when there is none. */
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

  /** The revision of this node's leader key, of which the term's number is made. */
  private long leaderKeyRevision;

  private Instant leaseExpiresAt = Instant.MIN;

  /** The lease was released, so another node may lead before it would have expired. */
  private boolean leaseReleased;

  private Instant candidateFrom = Instant.MIN;
  private LeaderRecord knownLeader;
  private long knownLeaderTerm;

  /** Changes with every new round, so that late replies to an older one are ignored. */
  private int round;

  /**
   * A node's part in the election.
   *
   * @param nonce tells this process from the controller's earlier ones
   * @param mayBecomeCandidate whether the store can be trusted to hold what was stored
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
   * The duration of the leader's lease. A failover after a crash takes as long, and a worker must
   * hear the new leader well before its own lease expires; too short a lease makes a busy node lose
   * it by a pause.
   */
  static Duration leaseDurationFor(Duration workerLease) {
    Duration tenth = workerLease.dividedBy(10);
    Duration shortest = Duration.ofMillis(2500);
    Duration longest = Duration.ofSeconds(4);
    return tenth.compareTo(shortest) < 0
        ? shortest
        : tenth.compareTo(longest) > 0 ? longest : tenth;
  }

  private void moveTo(State next) {
    if (state != next) {
      log.info("Election state changed: from={} to={} term={}", state, next, term);
      state = next;
    }
  }

  /** This node's part in the election, as it was when it was last asked or has changed. */
  public State state() {
    return state;
  }

  /** The number of this node's present or last term; 0 before the first. */
  public long term() {
    return term;
  }

  /** The leader as last read, perhaps this node itself; null when none is known. */
  public LeaderRecord knownLeader() {
    return knownLeader;
  }

  /**
   * Whether this node leads and its lease is valid by its own clock. Asked before every effect, as
   * any pause may precede it; moves to {@link State#IN_DOUBT} when the lease has expired.
   */
  public boolean isLeaseValid() {
    if (state != State.LEADING) {
      return false;
    }
    if (eventLoop.now().isBefore(leaseExpiresAt)) {
      return true;
    }
    moveTo(State.IN_DOUBT);
    return false;
  }

  /**
   * How long a node that cannot send commands may extend workers' leases: what a user cancels
   * meanwhile must still end within the bound on cancellations, by the expiry of the lease.
   */
  public static Duration maxWorkerLeaseExtension(Settings.WorkerTimes workerTimes) {
    Duration longest =
        workerTimes.cancellationBound().minus(workerTimes.leaseDuration()).minusSeconds(4);
    return longest.isNegative() ? Duration.ZERO : longest;
  }

  /** Until when this node's present or last lease is valid by its own clock. */
  public Instant leaseExpiresAt() {
    return leaseExpiresAt;
  }

  /** Whether this node leads, or has been in doubt for so short that it may answer heartbeats. */
  public boolean mayExtendWorkerLeases() {
    return isLeaseValid()
        || (holdsTerm() && eventLoop.now().isBefore(leaseExpiresAt.plus(maxWorkerLeaseExtension)));
  }

  /**
   * Whether no other node can have been elected yet, judged by this node's present or last lease:
   * it is not expired and was not released, even if the state service no longer knows it.
   */
  public boolean excludesOtherLeader() {
    return !leaseReleased && eventLoop.now().isBefore(leaseExpiresAt);
  }

  /** Whether this node has a term, its lease valid or in doubt. */
  public boolean holdsTerm() {
    return state == State.LEADING || state == State.IN_DOUBT;
  }

  /** Takes part in the election from now on, in a new round. */
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
              if (!mayBecomeCandidate.getAsBoolean() || eventLoop.now().isBefore(candidateFrom)) {
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

  /** Whether the leader is an earlier process of this controller, which ended without release. */
  private boolean isPreviousProcess(LeaderRecord leader) {
    return leader.controllerName().equals(ownRecord.controllerName())
        && !leader.nonce().equals(ownRecord.nonce());
  }

  /**
   * Releases the lease of this controller's earlier process. After an outage of the state service
   * it has its full duration again although nobody is left to use it, and workers' leases would
   * expire meanwhile. Two processes of one controller cannot run at once, since they have the same
   * addresses; were it so, the older one's transactions and commands would still be refused.
   */
  private void releasePreviousLease(int expectedRound, long previousLeaseId) {
    log.info("Lease of previous process released: leaseId={}", previousLeaseId);
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
    knownLeaderTerm = entry == null ? 0 : storeClient.generation().token(entry.revision());
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
    moveTo(State.CANDIDATE);
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
          moveTo(State.FOLLOWING);
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
      // The key may have been written by the first copy of the claim, which got no reply.
      storeClient.readImmediately(
          RecordKeys.LEADER,
          (read, same) -> onLeaderReadAfterClaim(expectedRound, leaseSentAt, read, same));
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
   * This node's record may have been written by a claim of an earlier round that was executed late.
   * The key goes with that round's lease, and this node would take itself for the leader as long as
   * it renews the other lease; so only a key under the present lease counts.
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
    // A late copy of the claim finds no lease and has no effect.
    storeClient.sendImmediately(storeClient.delete(leasePath(leaseId)), reply -> {});
    moveTo(State.FOLLOWING);
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
    moveTo(State.LEADING);
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
            endTerm("the lease has ended", false);
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
   * The lease was renewed after it had expired here. Where the state service has lost data
   * meanwhile, it numbers leases from the start and this may be another node's; so the leader's key
   * decides.
   */
  private void confirmLeaderKey(int expectedRound, Instant sentAt) {
    storeClient.readImmediately(
        RecordKeys.LEADER,
        (read, reply) -> {
          if (expectedRound != round || state != State.IN_DOUBT || !read.succeeded()) {
            return;
          }
          if (!read.found() || read.entry().revision() != leaderKeyRevision) {
            endTerm("the leader's key is another's or gone", false);
            return;
          }
          extendLease(sentAt);
          moveTo(State.LEADING);
          if (isLeaseValid()) {
            listener.onLeaseConfirmed();
          }
        });
  }

  /** Ends the term and releases the lease; no effect without a term. */
  public void stepDown(String reason) {
    endTerm(reason, true);
  }

  /**
   * Ends the term.
   *
   * @param releaseLease false when the lease may be another node's by now
   */
  private void endTerm(String reason, boolean releaseLease) {
    if (!holdsTerm()) {
      return;
    }
    log.warn("Term ended: term={} reason={}", term, reason);
    int newRound = ++round;
    knownLeader = null;
    moveTo(State.FOLLOWING);
    leaseReleased = releaseLease;
    if (releaseLease) {
      storeClient.sendImmediately(storeClient.delete(leasePath(leaseId)), reply -> {});
    }
    listener.onLeadershipLost(reason);
    eventLoop.schedule(retry.nextDelay(), () -> readLeader(newRound));
  }

  /** Ends the term, and lets other nodes be candidates first for {@link #YIELD_DURATION}. */
  public void yieldLeadership(String reason) {
    candidateFrom = eventLoop.now().plus(YIELD_DURATION);
    stepDown(reason);
  }

  /** The term of the known leader, by which newer information is preferred; 0 when none is. */
  public long knownLeaderTerm() {
    return knownLeaderTerm;
  }

  /** Takes no part until it is started again: no node leads while the records are rebuilt. */
  public void pause() {
    endTerm("the records are rebuilt", false);
    round++;
    knownLeader = null;
    knownLeaderTerm = 0;
    moveTo(State.FOLLOWING);
  }
}
