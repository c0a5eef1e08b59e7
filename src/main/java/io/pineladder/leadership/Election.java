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
  private static final double DRIFT = 0.002;

  /** Looking for a leader is most urgent right after an outage, so the pauses stay short. */
  private static final Duration FIRST_RETRY = Duration.ofMillis(250);

  private static final Duration MOST_RETRY = Duration.ofMillis(400);

  /** How long a node that makes way for others lets them stand first. */
  private static final Duration YIELD = Duration.ofSeconds(3);

  private static final Duration WATCH = Duration.ofSeconds(20);

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
    void onElected(long term, long version);

    /** The state service knows the lease no more. */
    void onLeaseGone();

    /** The lease turned out to hold after all. */
    void onCertain();

    void onLost(String reason);

    void onLeaderKnown(LeaderRecord leader);
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Duration life;
  private final LeaderRecord self;
  private final BooleanSupplier mayStand;
  private final Listener listener;
  private final Duration keepAlive;
  private final Backoff retry;
  private State state = State.FOLLOWING;
  private long lease;
  private long term;

  /** The revision of the leader's key, of which the term is made. */
  private long version;

  private Instant leaseUntil = Instant.MIN;

  /** The lease was given up, so another may hold one before it has run out. */
  private boolean released;

  private Instant standFrom = Instant.MIN;
  private LeaderRecord known;
  private long knownTerm;

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
      BooleanSupplier mayStand,
      Listener listener) {
    this.mayStand = mayStand;
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.self = new LeaderRecord(settings.controllerName(), settings.clusterAddress(), nonce);
    this.listener = listener;
    this.retry = new Backoff(eventLoop, FIRST_RETRY, MOST_RETRY);
    this.life = lifeFor(settings.workerTimes().leaseDuration());
    this.keepAlive = longestKeepAlive(settings.workerTimes());
  }

  /**
   * A takeover after a crash costs the lease's life, and a worker must hear the new leader well
   * before its own lease ends; too short a life makes a busy node lose it by a pause.
   */
  static Duration lifeFor(Duration workerLease) {
    Duration part = workerLease.dividedBy(10);
    Duration least = Duration.ofMillis(2500);
    Duration most = Duration.ofMillis(4000);
    return part.compareTo(least) < 0 ? least : part.compareTo(most) > 0 ? most : part;
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
  public LeaderRecord known() {
    return known;
  }

  /** Whether this node may act: asked before every effect, as any pause may have come before it. */
  public boolean isValid() {
    if (state != State.LEADING) {
      return false;
    }
    if (eventLoop.now().isBefore(leaseUntil)) {
      return true;
    }
    moveTo(State.IN_DOUBT);
    return false;
  }

  /**
   * How long workers' leases may be prolonged by a node that cannot give orders: what a user
   * cancels meanwhile must still end in time by the end of the lease.
   */
  public static Duration longestKeepAlive(Settings.WorkerTimes workers) {
    Duration longest = workers.cancellationBound().minus(workers.leaseDuration()).minusSeconds(4);
    return longest.isNegative() ? Duration.ZERO : longest;
  }

  /** Until when this node was last certain to hold the term. */
  public Instant certainUntil() {
    return leaseUntil;
  }

  /** Whether this node leads, or its doubt is young enough to go on answering reports. */
  public boolean mayKeepAlive() {
    return isValid() || (holdsTerm() && eventLoop.now().isBefore(leaseUntil.plus(keepAlive)));
  }

  /**
   * Whether no other can have been elected yet, as far as the lease goes that this node holds or
   * that it found gone too soon.
   */
  public boolean leaseHolds() {
    return !released && eventLoop.now().isBefore(leaseUntil);
  }

  /** Whether this node holds the term, certain or in doubt. */
  public boolean holdsTerm() {
    return state == State.LEADING || state == State.IN_DOUBT;
  }

  public void start() {
    look(++round);
  }

  private void look(int of) {
    if (of != round || holdsTerm()) {
      return;
    }
    storeClient.urgentRead(
        RecordKeys.LEADER,
        (read, reply) -> {
          if (of != round) {
            return;
          }
          try {
            if (read.found()) {
              StoreWire.Entry entry = read.entry();
              learn(entry);
              long left = StoreWire.parseAttached(reply.body());
              if (isOfBefore(known) && left != 0) {
                endLeaseOfBefore(of, left);
                return;
              }
              watch(of, entry.version());
              return;
            }
            if (read.certain()) {
              learn(null);
              if (!mayStand.getAsBoolean() || eventLoop.now().isBefore(standFrom)) {
                eventLoop.schedule(retry.pause(), () -> look(of));
              } else {
                stand(of);
              }
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("the store's answer on the leader is malformed");
          }
          eventLoop.schedule(retry.pause(), () -> look(of));
        });
  }

  /** Whether the leader is this controller's process of before, which ended without a word. */
  private boolean isOfBefore(LeaderRecord leader) {
    return leader.member().equals(self.member()) && !leader.nonce().equals(self.nonce());
  }

  /**
   * Ends the lease that the process before this one held. After an outage of the state service it
   * has its full time again although nobody is left to use it, and that time is what workers'
   * leases lack then. Two processes of one controller cannot run at once, since they have the same
   * addresses; were it so, the older one's transactions and orders would be refused all the same.
   */
  private void endLeaseOfBefore(int of, long left) {
    log.info("the lease {} of this controller's process before is ended", left);
    storeClient.urgent(
        storeClient.delete("/holds/" + left),
        reply -> {
          if (of == round) {
            eventLoop.schedule(reply.isAnswered() ? Duration.ZERO : retry.pause(), () -> look(of));
          }
        });
  }

  private void learn(StoreWire.Entry entry) throws MalformedMessageException {
    known = entry == null ? null : RecordWire.parseLeader(entry.value());
    knownTerm = entry == null ? 0 : storeClient.generation().token(entry.version());
    listener.onLeaderKnown(known);
  }

  private void watch(int of, long after) {
    storeClient.watch(
        RecordKeys.LEADER_PREFIX,
        after,
        WATCH,
        followed -> {
          if (of != round) {
            return;
          }
          if (followed.changes() == null) {
            eventLoop.schedule(retry.pause(), () -> look(of));
            return;
          }
          look(of);
        });
  }

  private void stand(int of) {
    moveTo(State.CANDIDATE);
    Instant sent = eventLoop.now();
    storeClient.urgent(
        storeClient.post("/holds", StoreWire.lease(life)),
        reply -> {
          if (of != round) {
            return;
          }
          try {
            if (reply.is(200)) {
              lease = StoreWire.parseLease(reply.body());
              claim(of, sent, false);
              return;
            }
          } catch (MalformedMessageException e) {
            log.warn("the store's answer on a lease is malformed");
          }
          moveTo(State.FOLLOWING);
          eventLoop.schedule(retry.pause(), () -> look(of));
        });
  }

  private void claim(int of, Instant leaseSent, boolean again) {
    byte[] body =
        storeClient
            .transaction()
            .require(RecordKeys.LEADER, 0)
            .put(RecordKeys.LEADER, RecordWire.leader(self), lease)
            .bytes();
    long seen = storeClient.seen();
    storeClient.urgent(
        storeClient.post("/multi", body), reply -> onClaim(of, leaseSent, again, seen, reply));
  }

  private void onClaim(int of, Instant leaseSent, boolean again, long seen, Reply reply) {
    if (of != round) {
      return;
    }
    try {
      if (reply.is(200)) {
        long revision = StoreWire.parseRevision(reply.body());
        if (storeClient.isAhead(seen, revision)) {
          elected(revision, leaseSent);
        } else {
          giveUp(of);
        }
        return;
      }
    } catch (MalformedMessageException e) {
      log.warn("the store's answer on the claim is malformed");
    }
    if (reply.is(409) && again) {
      // The first copy, which got no reply, may be what stands there.
      storeClient.urgentRead(
          RecordKeys.LEADER, (read, same) -> onOwnClaimRead(of, leaseSent, read, same));
      return;
    }
    boolean unknown = reply.outcome() == Outcome.UNKNOWN;
    if (unknown && eventLoop.now().isBefore(leaseSent.plus(life))) {
      eventLoop.schedule(retry.pause(), () -> claimAgain(of, leaseSent));
      return;
    }
    giveUp(of);
  }

  private void claimAgain(int of, Instant leaseSent) {
    if (of == round) {
      claim(of, leaseSent, true);
    }
  }

  /**
   * Our record may have been written by a claim of an earlier round that was carried out late. It
   * goes with that round's lease, and this node would take itself for the leader for as long as it
   * renews the other one.
   */
  private void onOwnClaimRead(int of, Instant leaseSent, StoreClient.Read read, Reply reply) {
    if (of != round) {
      return;
    }
    try {
      if (read.found()) {
        StoreWire.Entry entry = read.entry();
        if (RecordWire.parseLeader(entry.value()).equals(self)
            && StoreWire.parseAttached(reply.body()) == lease) {
          elected(entry.version(), leaseSent);
          return;
        }
      }
    } catch (MalformedMessageException e) {
      log.warn("the leader's record is malformed");
    }
    giveUp(of);
  }

  private void giveUp(int of) {
    // A late copy of the claim finds no lease and does nothing.
    storeClient.urgent(storeClient.delete("/holds/" + lease), reply -> {});
    moveTo(State.FOLLOWING);
    eventLoop.schedule(retry.pause(), () -> look(of));
  }

  private void elected(long newVersion, Instant leaseSent) {
    version = newVersion;
    term = storeClient.generation().token(newVersion);
    known = self;
    knownTerm = term;
    released = false;
    extend(leaseSent);
    int of = ++round;
    moveTo(State.LEADING);
    listener.onLeaderKnown(self);
    listener.onElected(term, version);
    eventLoop.schedule(life.dividedBy(4), () -> renew(of));
  }

  private void extend(Instant sent) {
    long nanos = life.toNanos();
    leaseUntil = sent.plusNanos(nanos - (long) (nanos * DRIFT)).minusMillis(20);
  }

  private void renew(int of) {
    if (of != round || !holdsTerm()) {
      return;
    }
    isValid();
    Instant sent = eventLoop.now();
    storeClient.urgent(
        storeClient.post("/holds/" + lease + "/touch", StoreWire.lease(life)),
        reply -> {
          if (of != round || !holdsTerm()) {
            return;
          }
          if (reply.is(404)) {
            listener.onLeaseGone();
            end("the lease has ended", false);
            return;
          }
          boolean good = reply.is(200);
          if (good) {
            retry.reset();
            if (state == State.IN_DOUBT) {
              makeSure(of, sent);
            } else {
              extend(sent);
            }
          }
          eventLoop.schedule(good ? life.dividedBy(4) : retry.pause(), () -> renew(of));
        });
  }

  /**
   * The lease was renewed after it had run out here. Where data was lost meanwhile, leases are
   * numbered anew and it may be another's; so the leader's key tells.
   */
  private void makeSure(int of, Instant sent) {
    storeClient.urgentRead(
        RecordKeys.LEADER,
        (read, reply) -> {
          if (of != round || state != State.IN_DOUBT || !read.certain()) {
            return;
          }
          if (!read.found() || read.entry().version() != version) {
            end("the leader's key is another's or gone", false);
            return;
          }
          extend(sent);
          moveTo(State.LEADING);
          if (isValid()) {
            listener.onCertain();
          }
        });
  }

  /** Gives the term up: it is over, or this node cannot go on. */
  public void lose(String reason) {
    end(reason, true);
  }

  /** Ends the term; a lease that may be another's by now is left alone. */
  private void end(String reason, boolean release) {
    if (!holdsTerm()) {
      return;
    }
    log.warn("term {} is over: {}", term, reason);
    int of = ++round;
    known = null;
    moveTo(State.FOLLOWING);
    released = release;
    if (release) {
      storeClient.urgent(storeClient.delete("/holds/" + lease), reply -> {});
    }
    listener.onLost(reason);
    eventLoop.schedule(retry.pause(), () -> look(of));
  }

  /** Gives the term up in favour of any other node that stands within a while. */
  public void yield(String reason) {
    standFrom = eventLoop.now().plus(YIELD);
    lose(reason);
  }

  /** The term of the leader that is known, to tell newer news from older; 0 when none is. */
  public long knownTerm() {
    return knownTerm;
  }

  /** Takes no part until it is started again: nobody leads while records are rebuilt. */
  public void pause() {
    end("the records are rebuilt", false);
    round++;
    known = null;
    knownTerm = 0;
    moveTo(State.FOLLOWING);
  }
}
