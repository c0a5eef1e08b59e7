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
 * Who leads. A node that finds no leader takes a lease in the state service and writes the leader's
 * key under it, on condition that there is none. The revision of that key is the condition of every
 * transaction; with the base of its generation added it is the term and the token toward workers.
 */
public final class Election {
  private static final Logger log = LoggerFactory.getLogger(Election.class);

  /** The clocks' worst drift against one another, with room for rounding. */
  private static final double MAX_CLOCK_DRIFT_RATIO = 0.002;

  /** Looking for a leader is most urgent right after an outage, so the pauses stay short. */
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(250);

  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

  /** How long a node that makes way for others lets them stand first. */
  private static final Duration YIELD_DURATION = Duration.ofSeconds(3);

  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** Where a node stands. */
  public enum State {
    /** Does not lead; looks for a leader, or knows one. */
    FOLLOWING,
    /** Has asked for a lease or for the leader's key. */
    CANDIDATE,
    /** Leads, and its lease holds as far as its own clock can tell. */
    LEADING,
    /**
     * Holds the leader's key as far as it knows, but its lease may have run out. It decides
     * nothing. When the state service had an outage, the next renewal shows that the lease is still
     * there and the term goes on.
     */
    IN_DOUBT
  }

  /** What the node does when its part changes. */
  public interface Listener {
    void onElected(long term, long leaderKeyRevision);

    /** The state service knows the lease no more. */
    void onLeaseNotFound();

    /** The lease turned out to hold after all. */
    void onLeaseConfirmed();

    void onLeadershipLost(String reason);

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

  /** The revision of the leader's key, of which the term is made. */
  private long leaderKeyRevision;

  private Instant leaseExpiresAt = Instant.MIN;

  /** The lease was given up, so another may hold one before it has run out. */
  private boolean leaseReleased;

  private Instant candidateFrom = Instant.MIN;
  private LeaderRecord knownLeader;
  private long knownLeaderTerm;

  /** Changes with every new try, so that late replies of an older one are told apart. */
  private int round;

  /**
   * A node's part in the election.
   *
   * @param mayStand whether the store can be trusted to hold what was stored
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
   * A takeover after a crash costs the lease's life, and a worker must hear the new leader well
   * before its own lease ends; too short a life makes a busy node lose it by a pause.
   */
  static Duration leaseDurationFor(Duration workerLease) {
    Duration tenth = workerLease.dividedBy(10);
    Duration shortest = Duration.ofMillis(2500);
    Duration longest = Duration.ofMillis(4000);
    return tenth.compareTo(shortest) < 0
        ? shortest
        : tenth.compareTo(longest) > 0 ? longest : tenth;
  }

  private void moveTo(State next) {
    if (state != next) {
      log.info("leadership: {} -> {} (term {})", state, next, term);
      state = next;
    }
  }

  public State state() {
    return state;
  }

  public long term() {
    return term;
  }

  /** The leader as last heard of, perhaps this node itself, or null. */
  public LeaderRecord knownLeader() {
    return knownLeader;
  }

  /** Whether this node may act: asked before every effect, as any pause may have come before it. */
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
   * How long workers' leases may be prolonged by a node that cannot give orders: what a user
   * cancels meanwhile must still end in time by the end of the lease.
   */
  public static Duration maxWorkerLeaseExtension(Settings.WorkerTimes workerTimes) {
    Duration longest =
        workerTimes.cancellationBound().minus(workerTimes.leaseDuration()).minusSeconds(4);
    return longest.isNegative() ? Duration.ZERO : longest;
  }

  /** Until when this node was last certain to hold the term. */
  public Instant leaseExpiresAt() {
    return leaseExpiresAt;
  }

  /** Whether this node leads, or its doubt is young enough to go on answering reports. */
  public boolean mayExtendWorkerLeases() {
    return isLeaseValid()
        || (holdsTerm() && eventLoop.now().isBefore(leaseExpiresAt.plus(maxWorkerLeaseExtension)));
  }

  /**
   * Whether no other can have been elected yet, as far as the lease goes that this node holds or
   * that it found gone too soon.
   */
  public boolean excludesOtherLeader() {
    return !leaseReleased && eventLoop.now().isBefore(leaseExpiresAt);
  }

  /** Whether this node holds the term, certain or in doubt. */
  public boolean holdsTerm() {
    return state == State.LEADING || state == State.IN_DOUBT;
  }

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
            if (read.certain()) {
              setKnownLeader(null);
              if (!mayBecomeCandidate.getAsBoolean() || eventLoop.now().isBefore(candidateFrom)) {
                eventLoop.schedule(retry.nextDelay(), () -> readLeader(expectedRound));
              } else {
                acquireLease(expectedRound);
              }
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("the store's answer on the leader is malformed");
          }
          eventLoop.schedule(retry.nextDelay(), () -> readLeader(expectedRound));
        });
  }

  /** Whether the leader is this controller's process of before, which ended without a word. */
  private boolean isPreviousProcess(LeaderRecord leader) {
    return leader.member().equals(ownRecord.member()) && !leader.nonce().equals(ownRecord.nonce());
  }

  /**
   * Ends the lease that the process before this one held. After an outage of the state service it
   * has its full time again although nobody is left to use it, and that time is what workers'
   * leases lack then. Two processes of one controller cannot run at once, since they have the same
   * addresses; were it so, the older one's transactions and orders would be refused all the same.
   */
  private void releasePreviousLease(int expectedRound, long previousLeaseId) {
    log.info("the lease {} of this controller's process before is ended", previousLeaseId);
    storeClient.sendImmediately(
        storeClient.delete("/holds/" + previousLeaseId),
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
        storeClient.post("/holds", StoreWire.leaseRequest(leaseDuration)),
        reply -> {
          if (expectedRound != round) {
            return;
          }
          try {
            if (reply.is(200)) {
              leaseId = StoreWire.parseLeaseId(reply.body());
              claimLeaderKey(expectedRound, sentAt, false);
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("the store's answer on a lease is malformed");
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
      if (reply.is(200)) {
        long revision = StoreWire.parseRevision(reply.body());
        if (storeClient.acceptCommitRevision(revisionBefore, revision)) {
          becomeLeader(revision, leaseSentAt);
        } else {
          abandonCandidacy(expectedRound);
        }
        return;
      }
    } catch (MalformedMessageException e) {
      log.warn("the store's answer on the claim is malformed");
    }
    if (reply.is(409) && repeated) {
      // The first copy, which got no reply, may be what stands there.
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
   * Our record may have been written by a claim of an earlier round that was carried out late. It
   * goes with that round's lease, and this node would take itself for the leader for as long as it
   * renews the other one.
   */
  private void onLeaderReadAfterClaim(
      int expectedRound, Instant leaseSentAt, StoreClient.Read read, Reply reply) {
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
      log.warn("the leader's record is malformed");
    }
    abandonCandidacy(expectedRound);
  }

  private void abandonCandidacy(int expectedRound) {
    // A late copy of the claim finds no lease and does nothing.
    storeClient.sendImmediately(storeClient.delete("/holds/" + leaseId), reply -> {});
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
        storeClient.post("/holds/" + leaseId + "/touch", StoreWire.leaseRequest(leaseDuration)),
        reply -> {
          if (expectedRound != round || !holdsTerm()) {
            return;
          }
          if (reply.is(404)) {
            listener.onLeaseNotFound();
            endTerm("the lease has ended", false);
            return;
          }
          boolean renewed = reply.is(200);
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
   * The lease was renewed after it had run out here. Where data was lost meanwhile, leases are
   * numbered anew and it may be another's; so the leader's key tells.
   */
  private void confirmLeaderKey(int expectedRound, Instant sentAt) {
    storeClient.readImmediately(
        RecordKeys.LEADER,
        (read, reply) -> {
          if (expectedRound != round || state != State.IN_DOUBT || !read.certain()) {
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

  /** Gives the term up: it is over, or this node cannot go on. */
  public void stepDown(String reason) {
    endTerm(reason, true);
  }

  /** Ends the term; a lease that may be another's by now is left alone. */
  private void endTerm(String reason, boolean releaseLease) {
    if (!holdsTerm()) {
      return;
    }
    log.warn("term {} is over: {}", term, reason);
    int newRound = ++round;
    knownLeader = null;
    moveTo(State.FOLLOWING);
    leaseReleased = releaseLease;
    if (releaseLease) {
      storeClient.sendImmediately(storeClient.delete("/holds/" + leaseId), reply -> {});
    }
    listener.onLeadershipLost(reason);
    eventLoop.schedule(retry.nextDelay(), () -> readLeader(newRound));
  }

  /** Gives the term up in favour of any other node that stands within a while. */
  public void yieldLeadership(String reason) {
    candidateFrom = eventLoop.now().plus(YIELD_DURATION);
    stepDown(reason);
  }

  /** The term of the leader that is known, to tell newer news from older; 0 when none is. */
  public long knownLeaderTerm() {
    return knownLeaderTerm;
  }

  /** Takes no part until it is started again: nobody leads while records are rebuilt. */
  public void pause() {
    endTerm("the records are rebuilt", false);
    round++;
    knownLeader = null;
    knownLeaderTerm = 0;
    moveTo(State.FOLLOWING);
  }
}
