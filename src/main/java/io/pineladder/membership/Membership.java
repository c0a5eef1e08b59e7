package io.pineladder.membership;

import io.pineladder.model.Settings;
import io.pineladder.net.EventLoop;
import io.pineladder.upgrade.ClusterVersion;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.GossipWire.Heartbeat;
import io.pineladder.wire.GossipWire.PeerContact;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this controller makes of the others: who is up, whom it reaches, who reaches the state
 * service.
 *
 * <p>Each sends every other a beat once a second, which is answered by one; both carry how long ago
 * their sender heard the rest. Suspicion comes before a verdict, and doubt of oneself before both:
 * a node that hears nobody, or that stood still itself, calls nobody down.
 *
 * <p>A message may be minutes late, so that one comes says nothing. Beats are numbered, and each
 * tells the number of the newest one that its sender has: it was made after that one was sent, and
 * so is no older. What counts as heard is that.
 *
 * <p>Nothing that a rule rests on is decided here. The lease says who leads, and proofs from
 * workers say where tasks are; this says where to turn first.
 */
public final class Membership {
  private static final Logger log = LoggerFactory.getLogger(Membership.class);

  /** How often each peer is sent a beat. */
  public static final Duration BEAT = Duration.ofSeconds(1);

  /** A beat without an answer for so long is missed. */
  public static final Duration TIMEOUT = Duration.ofMillis(1300);

  /**
   * Beats missed in a row before a peer is suspected. One lost message says nothing, and a leader
   * that has just taken over may answer nobody for two seconds.
   */
  static final int MISSES = 3;

  /** A peer is suspected for so long before anything is concluded. */
  static final Duration SUSPICION = Duration.ofSeconds(3);

  /** What a peer says of another counts while it is as fresh as this. */
  static final Duration FRESH = Duration.ofMillis(2500);

  /** Beats in a row that bring a peer back, and the least time that it stays as it was called. */
  static final int RETURNS = 2;

  static final Duration DWELL = Duration.ofSeconds(2);

  private static final Duration NEVER = Duration.ofDays(1);

  /** A tick that comes so much late shows that this process stood still. */
  static final Duration PAUSE = Duration.ofSeconds(1);

  /** Beats whose time is remembered; some six are made in a second. */
  private static final int REMEMBERED = 256;

  /** How a peer stands. */
  public enum State {
    /** Nothing was heard of it since this process began. */
    UNKNOWN,
    /** It answers this node. */
    UP,
    /** It has missed beats; it may be slow, cut off or gone. */
    SUSPECT,
    /** Another node hears it and this one does not reach it. */
    APART,
    /** Nobody hears it, as far as this node, which hears others, can tell. */
    DOWN
  }

  /** What this node makes of itself. */
  public enum Self {
    /** It hears others, or has just begun. */
    SURE,
    /** It hears nobody, or stood still: what it misses may be its own fault. */
    DOUBTFUL
  }

  /** Sends a beat to an address; the answer's body, or null when none came in time. */
  public interface Sender {
    void send(String address, byte[] beat, Consumer<byte[]> onAnswer);
  }

  /** What this node tells about itself. */
  public record Own(boolean storeOk, long term, GossipWire.Stored stored, int version) {}

  /** One peer, as it stands now. */
  public record View(
      String member,
      State state,
      Duration unheard,
      boolean storeOk,
      long term,
      int changes,
      String nonce,
      GossipWire.Stored stored,
      int version) {}

  private static final class Peer {
    final Settings.Peer at;
    State state = State.UNKNOWN;
    Instant changedAt;

    /** Not earlier than this it made a beat that was heard; null for never. */
    Instant heardAt;

    /** When a beat newer than all before came in, however old it may have been; null for never. */
    Instant arrivedAt;

    /** Its process and the number of the newest beat heard of it. */
    String nonce;

    long sequence;

    /** When the latest beat that it answered was sent. */
    Instant answeredAt;

    int misses;
    int answers;
    int changes;

    /**
     * The cluster version that its software supports, by the newest beat of its present process.
     */
    int version = ClusterVersion.UNVERSIONED;

    /** What it told in the newest beat. */
    Heartbeat told;

    Peer(Settings.Peer at, Instant now) {
      this.at = at;
      this.changedAt = now;
    }
  }

  private final String self;
  private final String nonce;
  private final EventLoop eventLoop;
  private final Sender sender;
  private final Supplier<Own> own;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private Self mine = Self.SURE;

  /** Whether anybody was ever heard: until then that nobody is says nothing. */
  private boolean met;

  /** Before this nothing is concluded: the process stood still, and has to hear others first. */
  private Instant soberFrom = Instant.MIN;

  private Instant tickedAt;

  /** When some peer last was known to lead. */
  private Instant ledAt;

  /** When each of the latest beats was made, by its number. */
  private final Instant[] made = new Instant[REMEMBERED];

  private long sequence;
  private Consumer<GossipWire.Stored> onStored = stored -> {};

  public Membership(
      Settings settings, String nonce, EventLoop eventLoop, Sender sender, Supplier<Own> own) {
    this.self = settings.controllerName();
    this.nonce = nonce;
    this.eventLoop = eventLoop;
    this.sender = sender;
    this.own = own;
    for (Settings.Peer peer : settings.peers()) {
      peers.put(peer.controllerName(), new Peer(peer, eventLoop.now()));
    }
  }

  /** Begins to send beats. */
  public void start() {
    tick();
  }

  /** Tells what each beat says of the records. */
  public void onStored(Consumer<GossipWire.Stored> listener) {
    onStored = listener;
  }

  /** Something was found that the others must not learn a beat later. */
  public void tellNow() {
    byte[] beat = GossipWire.write(beat());
    for (Peer peer : peers.values()) {
      sender.send(peer.at.address(), beat, answer -> {});
    }
  }

  private void tick() {
    Instant now = eventLoop.now();
    if (tickedAt != null && tickedAt.plus(BEAT).plus(PAUSE).isBefore(now)) {
      stoodStill(now);
    }
    tickedAt = now;
    byte[] beat = GossipWire.write(beat());
    for (Peer peer : peers.values()) {
      sender.send(
          peer.at.address(),
          beat,
          answer -> {
            if (answer == null) {
              missed(peer);
            } else {
              peer.answeredAt = now;
              onBeat(answer, now);
            }
          });
    }
    peers.values().forEach(this::review);
    reviewSelf();
    eventLoop.schedule(BEAT, this::tick);
  }

  private Heartbeat beat() {
    Instant now = eventLoop.now();
    Map<String, PeerContact> heard = new LinkedHashMap<>();
    for (Peer peer : peers.values()) {
      if (peer.nonce != null) {
        Duration ago = peer.heardAt == null ? NEVER : Duration.between(peer.heardAt, now);
        heard.put(peer.at.controllerName(), new PeerContact(ago, peer.nonce, peer.sequence));
      }
    }
    made[(int) (++sequence % REMEMBERED)] = now;
    Own mineNow = own.get();
    return new Heartbeat(
        self,
        nonce,
        sequence,
        mineNow.storeOk(),
        mineNow.term(),
        heard,
        mineNow.stored(),
        mineNow.version());
  }

  /** When this process made its beat of that number; null if that is too long ago, or never was. */
  private Instant madeAt(PeerContact of) {
    boolean mine = of != null && of.nonce().equals(nonce);
    boolean remembered = mine && of.sequence() <= sequence && of.sequence() > sequence - REMEMBERED;
    return remembered ? made[(int) (of.sequence() % REMEMBERED)] : null;
  }

  /** What came while this process stood still is yet to be read: everybody starts anew. */
  private void stoodStill(Instant now) {
    log.info("this controller stood still; it calls nobody down for now");
    soberFrom = now.plus(SUSPICION);
    for (Peer peer : peers.values()) {
      peer.misses = 0;
      peer.told = null;
      if (peer.state == State.SUSPECT) {
        peer.changedAt = now;
      }
    }
    reviewSelf();
  }

  /** A beat has come in; the answer to it. */
  public byte[] handle(byte[] body) throws MalformedMessageException {
    take(GossipWire.parse(body), null);
    return GossipWire.write(beat());
  }

  private void onBeat(byte[] body, Instant sent) {
    try {
      take(GossipWire.parse(body), sent);
    } catch (MalformedMessageException e) {
      log.warn("a peer answered a beat with something else: {}", e.getMessage());
    }
  }

  /**
   * Takes in what a peer tells.
   *
   * @param asked when the beat was sent that this answers, or null: what merely comes from a peer
   *     does not show that it can be reached
   */
  private void take(Heartbeat beat, Instant asked) {
    Peer peer = peers.get(beat.member());
    if (peer == null) {
      return;
    }
    boolean newer = !beat.nonce().equals(peer.nonce) || beat.sequence() > peer.sequence;
    if (newer) {
      peer.arrivedAt = eventLoop.now();
      onStored.accept(beat.stored());
    }
    Instant proven = asked != null ? asked : madeAt(beat.heard().get(self));
    if (newer && (proven != null || peer.nonce == null)) {
      peer.nonce = beat.nonce();
      peer.sequence = beat.sequence();
      peer.version = beat.version();
    }
    if (proven != null && (peer.heardAt == null || proven.isAfter(peer.heardAt))) {
      met = true;
      peer.heardAt = proven;
      peer.told = beat;
    }
    if (proven != null && beat.term() != 0 && (ledAt == null || proven.isAfter(ledAt))) {
      ledAt = proven;
    }
    if (asked != null) {
      peer.misses = 0;
      peer.answers++;
    }
    review(peer);
    reviewSelf();
  }

  private void missed(Peer peer) {
    peer.misses++;
    peer.answers = 0;
    review(peer);
    reviewSelf();
  }

  private void review(Peer peer) {
    Instant now = eventLoop.now();
    boolean stays = peer.changedAt.plus(DWELL).isAfter(now);
    switch (peer.state) {
      case UNKNOWN -> {
        if (peer.answers > 0) {
          moveTo(peer, State.UP);
        } else if (peer.misses >= MISSES) {
          moveTo(peer, State.SUSPECT);
        }
      }
      case UP -> {
        if (peer.misses >= MISSES && !stays) {
          moveTo(peer, State.SUSPECT);
        }
      }
      case SUSPECT, APART, DOWN -> {
        if (peer.answers >= RETURNS && !stays) {
          moveTo(peer, State.UP);
        } else if (peer.misses >= MISSES && !stays) {
          conclude(peer, now);
        }
      }
    }
  }

  /** What to call a peer that does not answer. */
  private void conclude(Peer peer, Instant now) {
    boolean suspectedLong =
        peer.state != State.SUSPECT || !peer.changedAt.plus(SUSPICION).isAfter(now);
    if (isHeardBySomebody(peer, now)) {
      moveTo(peer, State.APART);
    } else if (suspectedLong && mine == Self.SURE && !isSure(peer, now)) {
      moveTo(peer, State.SUSPECT);
    } else if (suspectedLong && mine == Self.SURE && !isFresh(peer.arrivedAt, now)) {
      moveTo(peer, State.DOWN);
    }
  }

  /** Whether another node, or this one by what comes in, still hears from it. */
  private boolean isHeardBySomebody(Peer peer, Instant now) {
    if (isFresh(peer.heardAt, now)) {
      return true;
    }
    for (Peer other : peers.values()) {
      Duration ago = other == peer ? null : heardAgo(other, peer, now);
      if (ago != null && ago.compareTo(FRESH) < 0) {
        return true;
      }
    }
    return false;
  }

  /** Whether some other node that is up confirms that it does not hear the peer either. */
  private boolean isSure(Peer peer, Instant now) {
    for (Peer other : peers.values()) {
      if (other != peer && other.state == State.UP && isFresh(other.heardAt, now)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isFresh(Instant at, Instant now) {
    return at != null && at.plus(FRESH).isAfter(now);
  }

  /** How long ago {@code other} heard the peer, by what it told lately; or null. */
  private static Duration heardAgo(Peer other, Peer peer, Instant now) {
    if (!isFresh(other.heardAt, now)) {
      return null;
    }
    PeerContact then = other.told.heard().get(peer.at.controllerName());
    return then == null ? null : then.ago().plus(Duration.between(other.heardAt, now));
  }

  private void reviewSelf() {
    Instant now = eventLoop.now();
    boolean hears = false;
    for (Peer peer : peers.values()) {
      hears |= isFresh(peer.heardAt, now);
    }
    Self next = soberFrom.isAfter(now) || (met && !hears) ? Self.DOUBTFUL : Self.SURE;
    if (next != mine) {
      log.info("membership: this controller is {}", next);
      mine = next;
    }
  }

  /** The one place where a peer's state changes. */
  private void moveTo(Peer peer, State next) {
    if (peer.state != next) {
      log.info("membership: {} is {} (was {})", peer.at.controllerName(), next, peer.state);
      peer.state = next;
      peer.changedAt = eventLoop.now();
      peer.changes++;
    }
  }

  // ---- what it is asked

  public Self self() {
    return mine;
  }

  /** How a peer stands; {@code UNKNOWN} for one that the settings do not name. */
  public State stateOf(String member) {
    Peer peer = peers.get(member);
    return peer == null ? State.UNKNOWN : peer.state;
  }

  /** Whether this node is known not to reach the peer. */
  public boolean isUnreachable(String member) {
    return switch (stateOf(member)) {
      case SUSPECT, APART, DOWN -> true;
      case UNKNOWN, UP -> false;
    };
  }

  /**
   * Whether each peer has answered a beat or failed to, so that what they know has been asked for.
   */
  public boolean hasAskedAll() {
    return peers.values().stream().allMatch(p -> p.answeredAt != null || p.misses > 0);
  }

  /** Whether some peer that is up has told that the state service answers it. */
  public boolean hearsOfStore() {
    return peers.values().stream()
        .anyMatch(p -> p.state == State.UP && p.told != null && p.told.storeOk());
  }

  /**
   * Whether half of the peers or more tell that the state service does not answer them, and none
   * that it does. A leader with a certain lease could then be only among the rest, of whom nothing
   * is heard.
   */
  public boolean isStoreOutForMost() {
    long without =
        peers.values().stream()
            .filter(p -> p.state == State.UP && p.told != null && !p.told.storeOk())
            .count();
    return without > 0 && 2 * without >= peers.size() && !hearsOfStore();
  }

  /** When the latest beat that the peer answered was sent; null for never. */
  public Instant answeredAt(String member) {
    Peer peer = peers.get(member);
    return peer == null ? null : peer.answeredAt;
  }

  /** When a peer was last known to lead; null for never. */
  public Instant ledAt() {
    return ledAt;
  }

  /** When any peer was last heard; null for never. */
  public Instant heardAnyAt() {
    Instant latest = null;
    for (Peer peer : peers.values()) {
      if (peer.heardAt != null && (latest == null || peer.heardAt.isAfter(latest))) {
        latest = peer.heardAt;
      }
    }
    return latest;
  }

  /**
   * The addresses of peers that may be able to do what this node cannot: first those that reach the
   * state service; those that do not answer this node only when no other is left.
   */
  public List<String> likely() {
    List<String> good = new ArrayList<>();
    List<String> fair = new ArrayList<>();
    List<String> poor = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean stores = peer.told != null && peer.told.storeOk();
      List<String> of =
          isUnreachable(peer.at.controllerName())
              ? poor
              : peer.state == State.UP && stores ? good : fair;
      of.add(peer.at.address());
    }
    good.addAll(fair);
    return good.isEmpty() ? poor : good;
  }

  /** All peers as they stand. */
  public List<View> view() {
    Instant now = eventLoop.now();
    List<View> views = new ArrayList<>();
    for (Peer peer : peers.values()) {
      views.add(
          new View(
              peer.at.controllerName(),
              peer.state,
              peer.heardAt == null ? null : Duration.between(peer.heardAt, now),
              peer.told != null && peer.told.storeOk(),
              peer.told == null ? 0 : peer.told.term(),
              peer.changes,
              peer.nonce,
              peer.told == null ? GossipWire.Stored.NOTHING : peer.told.stored(),
              peer.version));
    }
    return views;
  }
}
