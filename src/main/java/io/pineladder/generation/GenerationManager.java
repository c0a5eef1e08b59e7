package io.pineladder.generation;

import io.pineladder.membership.Membership;
import io.pineladder.model.Generation;
import io.pineladder.model.Generation.Phase;
import io.pineladder.net.EventLoop;
import io.pineladder.replica.RecordReplica;
import io.pineladder.retry.Backoff;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.GossipWire.Stored;
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
  private static final Duration WATCH = Duration.ofSeconds(20);

  /**
   * Before this a controller that did not lead names no generation: the leader of before may not
   * have noticed the loss, and what it tells must be over when another begins. No lease lasts
   * longer.
   */
  static final Duration LEASE = Duration.ofSeconds(4);

  /** So much longer whoever has no whole copy leaves it to the others. */
  private static final Duration WITHOUT_COPY = Duration.ofSeconds(8);

  /** A process so young may have peers that are not up yet. */
  private static final Duration STARTING = Duration.ofSeconds(20);

  /** A controller with a better copy that does nothing is waited for so long. */
  private static final Duration MOST_DEFERRED = Duration.ofSeconds(12);

  /** A controller that rebuilds and cannot be reached is waited for so long. */
  private static final Duration ABANDONED = Duration.ofSeconds(5);

  /** A pause after which something that is not answered is worth another look. */
  private static final Duration LOOK = Duration.ofMillis(500);

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
    boolean tellsOfIgnorance() {
      return this == TOKEN_ABOVE || this == JOB_UNKNOWN;
    }
  }

  /** What the node does. */
  public interface Host {
    /** The copy of the records that would be written. */
    RecordReplica copy();

    /** Whether this node led when the loss was noticed, with a lease that held then. */
    boolean leads();

    /** Nothing in the store counts: no leading, no reading, no copying. */
    void onLost();

    /** Another generation is named; it may be whole or not. */
    void onGeneration(Generation generation);

    /** The peers, with what they told of the records. */
    List<Membership.PeerStatus> peers();
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final Generation.Writer self;
  private final Host host;
  private final Backoff retry;
  private State state = State.UNREAD;
  private long highestToken;
  private boolean exact;

  /** This controller led, so no other can have acted since and none has a better copy. */
  private boolean atOnce;

  private final Instant startedAt;
  private Instant lostAt;
  private Instant unreachableSince;
  private GenerationWriter writer;
  private int round;
  private int losses;
  private Evidence evidence;
  private Instant adoptedAt;
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
    this.retry = storeClient.newBackoff();
    this.startedAt = eventLoop.now();
    storeClient.onRevisionRollback(
        revision ->
            lost(
                Evidence.REVISION_BACK,
                "the store tells revision "
                    + revision
                    + " and had "
                    + storeClient.highestRevision()));
  }

  public void start() {
    read(++round);
    watchRebuild();
  }

  public void stop() {
    stopped = true;
  }

  /** The one place where the state changes. */
  private void moveTo(State next, String why) {
    if (state != next) {
      log.info("records: {} -> {} ({})", state, next, why);
      state = next;
    }
  }

  public State state() {
    return state;
  }

  /** How often data was found to be lost since this process began. */
  public int losses() {
    return losses;
  }

  /** What showed the latest loss; null when there was none. */
  public Evidence evidence() {
    return evidence;
  }

  /** Whether what the store says counts. */
  public boolean isTrusted() {
    return state == State.TRUSTED || state == State.REBUILT;
  }

  /** Which part of the records is rebuilt by this controller now; 1 when it rebuilds nothing. */
  public double progress() {
    return writer == null || writer.all() == 0 ? 1 : (double) writer.written() / writer.all();
  }

  /** For how long a generation that was rebuilt has counted here; null for the first generation. */
  public Duration rebuiltFor() {
    return adoptedAt == null ? null : Duration.between(adoptedAt, eventLoop.now());
  }

  /** Somebody has used this token. */
  public void learnToken(long token) {
    highestToken = Math.max(highestToken, token);
  }

  /** The highest token that anybody is known to have used. */
  public long highestToken() {
    long seen = storeClient.generation().token(storeClient.highestRevision());
    return Math.max(highestToken, seen);
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
  public long keepingToken(long seen, Duration longest) {
    if (lostAt == null || !lostAt.plus(longest).isAfter(eventLoop.now())) {
      return 0;
    }
    return switch (state) {
      case LOST -> seen;
      case REBUILDING -> isMine(storeClient.generation()) ? storeClient.generation().base() : 0;
      default -> 0;
    };
  }

  private boolean isMine(Generation generation) {
    return generation.writer().equals(self);
  }

  // ---- what peers know

  /** A peer has told what it knows of the records. */
  public void heard(Stored told) {
    learnToken(told.token());
    storeClient.observeRevision(told.base(), told.seen());
    if (!isTrusted()) {
      return;
    }
    if (told.base() > storeClient.generation().base()) {
      look();
    } else if (told.lost() && told.base() == storeClient.generation().base()) {
      lost(Evidence.PEER, "another controller has noticed");
    }
  }

  /** Takes in what peers told last; whether the store can be read as they have seen it. */
  public boolean hearsPeers() {
    host.peers().forEach(peer -> heard(peer.stored()));
    return isTrusted() && highestBase() == storeClient.generation().base();
  }

  private long highestBase() {
    long highest = Math.max(storeClient.generation().base(), host.copy().base());
    for (Membership.PeerStatus peer : host.peers()) {
      highest = Math.max(highest, peer.stored().base());
    }
    return highest;
  }

  // ---- which generation counts

  /** Reads at once which generation counts. */
  public void look() {
    read(++round);
  }

  private void read(int of) {
    if (of != round || stopped) {
      return;
    }
    storeClient.readGeneration(
        found -> {
          if (of != round || stopped) {
            return;
          }
          if (!found.certain()) {
            eventLoop.schedule(retry.pause(), () -> read(of));
            return;
          }
          retry.reset();
          take(found);
          if (of == round) {
            goOn(of, found.revision());
          }
        });
  }

  private void goOn(int of, long revision) {
    if (isTrusted() || state == State.DOUBTED) {
      storeClient.watchGeneration(
          revision,
          WATCH,
          reply ->
              eventLoop.schedule(reply.is(200) ? Duration.ZERO : retry.pause(), () -> read(of)));
    } else {
      eventLoop.schedule(LOOK, () -> read(of));
    }
  }

  private void take(StoreClient.Read read) {
    Generation found;
    try {
      found =
          read.found()
              ? RecordWire.parseGeneration(read.entry().value(), read.entry().version())
              : Generation.FIRST;
    } catch (MalformedMessageException e) {
      lost(Evidence.GENERATION_BACK, "the generation that counts cannot be read");
      return;
    }
    Generation present = storeClient.generation();
    if (found.base() > present.base()) {
      adopt(found);
    } else if (found.base() < highestBase()) {
      lost(Evidence.GENERATION_BACK, "generation " + found.base() + " is named");
    } else if (state == State.UNREAD) {
      adopt(found);
    } else if (found.recordRevision() > present.recordRevision()) {
      adopt(found);
    } else if (found.recordRevision() < present.recordRevision()) {
      lost(Evidence.GENERATION_BACK, "generation " + found.base() + " is named anew");
    }
  }

  /** Something does not fit that may have another reason; it is being looked into. */
  public void doubt(String why) {
    if (isTrusted()) {
      moveTo(State.DOUBTED, why);
    }
  }

  /** What was looked into has another reason, or cannot be told now. */
  public void cleared() {
    if (state == State.DOUBTED) {
      moveTo(
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
      adoptedAt = eventLoop.now();
    }
    if (writer != null) {
      writer.stop();
      writer = null;
    }
    unreachableSince = null;
    learnToken(found.base());
    moveTo(
        !whole ? State.REBUILDING : found.base() == 0 ? State.TRUSTED : State.REBUILT,
        "generation " + found.base() + " of " + found.writer().controllerName());
    host.onGeneration(found);
    if (!whole && isMine(found)) {
      write(found);
    }
  }

  // ---- a loss

  /**
   * A worker has seen a token above ours, while our key as the leader still stands. No later leader
   * can have been elected in this store, so the token is of one whose key was lost.
   */
  public void tokenAbove(long token) {
    learnToken(token);
    lost(Evidence.TOKEN_ABOVE, "a worker has seen token " + token);
  }

  /** Something shows that data was lost. */
  public void lost(Evidence shown, String detail) {
    if (state == State.LOST || state == State.UNREAD && shown == Evidence.REVISION_BACK) {
      return;
    }
    losses++;
    evidence = shown;
    Generation present = storeClient.generation();
    boolean rebuilding = state == State.REBUILDING && isMine(present) && present.exact();
    boolean leads = (isTrusted() || state == State.DOUBTED) && host.leads();
    atOnce = rebuilding || leads && !shown.tellsOfIgnorance();
    exact = atOnce && shown != Evidence.HANDED_IN;
    lostAt = eventLoop.now();
    log.error("the state service has lost data ({}): {}", shown, detail);
    moveTo(State.LOST, shown.name());
    if (writer != null) {
      writer.stop();
      writer = null;
    }
    host.onLost();
    int of = ++round;
    eventLoop.schedule(atOnce ? Duration.ZERO : LEASE, () -> name(of));
  }

  /** Names a new generation, unless another controller is better placed to. */
  private void name(int of) {
    if (of != round || stopped || state != State.LOST) {
      return;
    }
    if (defers()) {
      lookThen(of, () -> eventLoop.schedule(LOOK, () -> name(of)));
    } else if (atOnce) {
      lookThen(of, () -> claim(of));
    } else {
      lookThen(of, () -> collect(of, new ArrayList<>(), null));
    }
  }

  /**
   * Reads what the store still holds. A leader's copy holds all that anybody acted upon; any other
   * lacks the last moments, and where only a part was lost the rest of the store has them.
   */
  private void collect(int of, List<StoreWire.Entry> found, String after) {
    if (of != round || stopped || state != State.LOST) {
      return;
    }
    storeClient.readPageAfterDataLoss(
        after,
        page -> {
          if (page == null) {
            eventLoop.schedule(retry.pause(), () -> collect(of, found, after));
            return;
          }
          found.addAll(page.entries());
          if (page.next() != null) {
            collect(of, found, page.next());
            return;
          }
          if (of == round && state == State.LOST) {
            RecordReplica replica = host.copy();
            if (replica.base() == storeClient.generation().base()) {
              replica.merge(found);
            }
            claim(of);
          }
        });
  }

  /** Reads whether another controller has named one; what follows if not. */
  private void lookThen(int of, Runnable then) {
    storeClient.readGeneration(
        found -> {
          if (of != round || stopped || state != State.LOST) {
            return;
          }
          if (!found.certain()) {
            eventLoop.schedule(retry.pause(), () -> name(of));
            return;
          }
          pointer = found.found() ? found.entry().version() : 0;
          take(found);
          if (state == State.LOST) {
            then.run();
          } else if (of == round) {
            goOn(of, found.revision());
          }
        });
  }

  /** The revision of the record that names a generation, as last read; 0 when there is none. */
  private long pointer;

  private boolean defers() {
    Duration waited = Duration.between(lostAt, eventLoop.now());
    if (atOnce) {
      return false;
    }
    RecordReplica mine = host.copy();
    boolean othersMayHave =
        host.peers().stream()
            .anyMatch(
                p ->
                    p.state() != Membership.State.UP
                        || !mine.isComplete() && p.stored().complete());
    // Where all began anew, whoever has the best copy may be the last to be up.
    boolean early = startedAt.plus(STARTING).isAfter(eventLoop.now());
    if ((early || !mine.isComplete())
        && othersMayHave
        && waited.compareTo(LEASE.plus(WITHOUT_COPY)) < 0) {
      return true;
    }
    if (waited.compareTo(MOST_DEFERRED) > 0) {
      return false;
    }
    for (Membership.PeerStatus peer : host.peers()) {
      Stored told = peer.stored();
      boolean newer =
          told.copyBase() > mine.base()
              || (told.copyBase() == mine.base() && told.copied() > mine.revision());
      // A copy that is not whole is still more than one that has less. Found with real processes:
      // in a
      // cluster's first seconds none is, and one that had read nothing yet wrote that.
      boolean better = told.complete() == mine.isComplete() ? newer : told.complete();
      if (peer.state() == Membership.State.UP && better) {
        return true;
      }
    }
    return false;
  }

  private void claim(int of) {
    host.peers().forEach(peer -> learnToken(peer.stored().token()));
    long base = Generation.nextBase(Math.max(highestToken(), highestBase()), eventLoop.wallClock());
    Generation next = new Generation(base, 0, Phase.REBUILDING, exact, self);
    byte[] body =
        new StoreWire.Transaction("")
            .requireGeneration(pointer)
            .putGeneration(RecordWire.generation(next))
            .bytes();
    storeClient.sendImmediately(
        storeClient.post("/multi", body),
        reply -> {
          if (of != round || stopped) {
            return;
          }
          // Whatever came of it stands in the store now.
          lookThen(of, () -> eventLoop.schedule(LOOK, () -> name(of)));
        });
  }

  private void write(Generation target) {
    List<StoreWire.Entry> image = host.copy().image(storeClient.limits().valueBytes());
    log.info(
        "generation {} is written with {} records from a copy of revision {}{}",
        target.base(),
        image.size(),
        host.copy().revision(),
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
              look();
            });
    writer.next();
  }

  /**
   * A controller that rebuilds may end or be cut off; then another names a generation of its own.
   */
  private void watchRebuild() {
    if (stopped) {
      return;
    }
    Generation.Writer by = storeClient.generation().writer();
    if (state == State.REBUILDING && !by.equals(self) && !isAtWork(by)) {
      Instant now = eventLoop.now();
      unreachableSince = unreachableSince == null ? now : unreachableSince;
      if (unreachableSince.plus(ABANDONED).isBefore(now)) {
        unreachableSince = null;
        lost(Evidence.GENERATION_BACK, by.controllerName() + " has given the rebuild up");
      }
    } else {
      unreachableSince = null;
    }
    eventLoop.schedule(Duration.ofSeconds(1), this::watchRebuild);
  }

  private boolean isAtWork(Generation.Writer by) {
    for (Membership.PeerStatus peer : host.peers()) {
      if (peer.controllerName().equals(by.controllerName())) {
        return peer.state() == Membership.State.UP && by.nonce().equals(peer.nonce());
      }
    }
    return false;
  }
}
