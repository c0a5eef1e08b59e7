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
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

  /** A beat without an answer for so long is missed. */
  public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1300);

  /**
   * Beats missed in a row before a peer is suspected. One lost message says nothing, and a leader
   * that has just taken over may answer nobody for two seconds.
   */
  static final int SUSPECT_AFTER_MISSES = 3;

  /** A peer is suspected for so long before anything is concluded. */
  static final Duration SUSPICION_PERIOD = Duration.ofSeconds(3);

  /** What a peer says of another counts while it is as fresh as this. */
  static final Duration MAX_CONTACT_AGE = Duration.ofMillis(2500);

  /** Beats in a row that bring a peer back, and the least time that it stays as it was called. */
  static final int UP_AFTER_ANSWERS = 2;

  static final Duration MIN_STATE_DURATION = Duration.ofSeconds(2);

  private static final Duration NEVER_CONTACTED_AGE = Duration.ofDays(1);

  /** A tick that comes so much late shows that this process stood still. */
  static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofSeconds(1);

  /** Beats whose time is remembered; some six are made in a second. */
  private static final int SEND_TIME_HISTORY_SIZE = 256;

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
  public enum SelfAssessment {
    /** It hears others, or has just begun. */
    SURE,
    /** It hears nobody, or stood still: what it misses may be its own fault. */
    DOUBTFUL
  }

  /** Sends a beat to an address; the answer's body, or null when none came in time. */
  public interface HeartbeatSender {
    void send(String address, byte[] heartbeat, Consumer<byte[]> onAnswer);
  }

  /** What this node tells about itself. */
  public record LocalStatus(
      boolean storeReachable, long term, GossipWire.RecordStatus stored, int version) {}

  /** One peer, as it stands now. */
  public record PeerStatus(
      String controllerName,
      State state,
      Duration sinceContact,
      boolean storeReachable,
      long term,
      int stateChanges,
      String nonce,
      GossipWire.RecordStatus stored,
      int version) {}

  private static final class Peer {
    final Settings.Peer settings;
    State state = State.UNKNOWN;
    Instant changedAt;

    /** Not earlier than this it made a beat that was heard; null for never. */
    Instant contactAt;

    /** When a beat newer than all before came in, however old it may have been; null for never. */
    Instant arrivedAt;

    /** Its process and the number of the newest beat heard of it. */
    String nonce;

    long sequence;

    /** When the latest beat that it answered was sent. */
    Instant answeredHeartbeatSentAt;

    int consecutiveMisses;
    int consecutiveAnswers;
    int stateChanges;

    /**
     * The cluster version that its software supports, by the newest beat of its present process.
     */
    int version = ClusterVersion.UNVERSIONED;

    /** What it told in the newest beat. */
    Heartbeat lastHeartbeat;

    Peer(Settings.Peer settings, Instant now) {
      this.settings = settings;
      this.changedAt = now;
    }
  }

  private final String controllerName;
  private final String nonce;
  private final EventLoop eventLoop;
  private final HeartbeatSender sender;
  private final Supplier<LocalStatus> localStatus;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private SelfAssessment selfAssessment = SelfAssessment.SURE;

  /** Whether anybody was ever heard: until then that nobody is says nothing. */
  private boolean everHeardPeer;

  /** Before this nothing is concluded: the process stood still, and has to hear others first. */
  private Instant doubtfulUntil = Instant.MIN;

  private Instant lastTickAt;

  /** When some peer last was known to lead. */
  private Instant leaderContactAt;

  /** When each of the latest beats was made, by its number. */
  private final Instant[] sendTimes = new Instant[SEND_TIME_HISTORY_SIZE];

  private long sequence;
  private Consumer<GossipWire.RecordStatus> storeStatusListener = stored -> {};

  public Membership(
      Settings settings,
      String nonce,
      EventLoop eventLoop,
      HeartbeatSender sender,
      Supplier<LocalStatus> localStatus) {
    this.controllerName = settings.controllerName();
    this.nonce = nonce;
    this.eventLoop = eventLoop;
    this.sender = sender;
    this.localStatus = localStatus;
    for (Settings.Peer peer : settings.peers()) {
      peers.put(peer.controllerName(), new Peer(peer, eventLoop.now()));
    }
  }

  /** Begins to send beats. */
  public void start() {
    tick();
  }

  /** Tells what each beat says of the records. */
  public void onStoreStatus(Consumer<GossipWire.RecordStatus> listener) {
    storeStatusListener = listener;
  }

  /** Something was found that the others must not learn a beat later. */
  public void sendHeartbeatsNow() {
    byte[] heartbeat = GossipWire.write(nextHeartbeat());
    for (Peer peer : peers.values()) {
      sender.send(peer.settings.address(), heartbeat, answer -> {});
    }
  }

  private void tick() {
    Instant now = eventLoop.now();
    if (lastTickAt != null
        && lastTickAt.plus(HEARTBEAT_INTERVAL).plus(PROCESS_PAUSE_THRESHOLD).isBefore(now)) {
      onProcessPause(now);
    }
    lastTickAt = now;
    byte[] heartbeat = GossipWire.write(nextHeartbeat());
    for (Peer peer : peers.values()) {
      sender.send(
          peer.settings.address(),
          heartbeat,
          answer -> {
            if (answer == null) {
              onHeartbeatMissed(peer);
            } else {
              peer.answeredHeartbeatSentAt = now;
              onHeartbeatAnswer(answer, now);
            }
          });
    }
    peers.values().forEach(this::reviewPeer);
    reviewSelf();
    eventLoop.schedule(HEARTBEAT_INTERVAL, this::tick);
  }

  private Heartbeat nextHeartbeat() {
    Instant now = eventLoop.now();
    Map<String, PeerContact> contacts = new LinkedHashMap<>();
    for (Peer peer : peers.values()) {
      if (peer.nonce != null) {
        Duration ago =
            peer.contactAt == null ? NEVER_CONTACTED_AGE : Duration.between(peer.contactAt, now);
        contacts.put(
            peer.settings.controllerName(), new PeerContact(ago, peer.nonce, peer.sequence));
      }
    }
    sendTimes[(int) (++sequence % SEND_TIME_HISTORY_SIZE)] = now;
    LocalStatus status = localStatus.get();
    return new Heartbeat(
        controllerName,
        nonce,
        sequence,
        status.storeReachable(),
        status.term(),
        contacts,
        status.stored(),
        status.version());
  }

  /** When this process made its beat of that number; null if that is too long ago, or never was. */
  private Instant sentAt(PeerContact acknowledged) {
    boolean ownHeartbeat = acknowledged != null && acknowledged.nonce().equals(nonce);
    boolean remembered =
        ownHeartbeat
            && acknowledged.sequence() <= sequence
            && acknowledged.sequence() > sequence - SEND_TIME_HISTORY_SIZE;
    return remembered ? sendTimes[(int) (acknowledged.sequence() % SEND_TIME_HISTORY_SIZE)] : null;
  }

  /** What came while this process stood still is yet to be read: everybody starts anew. */
  private void onProcessPause(Instant now) {
    log.info("this controller stood still; it calls nobody down for now");
    doubtfulUntil = now.plus(SUSPICION_PERIOD);
    for (Peer peer : peers.values()) {
      peer.consecutiveMisses = 0;
      peer.lastHeartbeat = null;
      if (peer.state == State.SUSPECT) {
        peer.changedAt = now;
      }
    }
    reviewSelf();
  }

  /** A beat has come in; the answer to it. */
  public byte[] handle(byte[] body) throws MalformedMessageException {
    processHeartbeat(GossipWire.parse(body), null);
    return GossipWire.write(nextHeartbeat());
  }

  private void onHeartbeatAnswer(byte[] body, Instant sent) {
    try {
      processHeartbeat(GossipWire.parse(body), sent);
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
  private void processHeartbeat(Heartbeat heartbeat, Instant requestSentAt) {
    Peer peer = peers.get(heartbeat.member());
    if (peer == null) {
      return;
    }
    boolean newer = !heartbeat.nonce().equals(peer.nonce) || heartbeat.sequence() > peer.sequence;
    if (newer) {
      peer.arrivedAt = eventLoop.now();
      storeStatusListener.accept(heartbeat.recordStatus());
    }
    Instant contactAt =
        requestSentAt != null ? requestSentAt : sentAt(heartbeat.contacts().get(controllerName));
    if (newer && (contactAt != null || peer.nonce == null)) {
      peer.nonce = heartbeat.nonce();
      peer.sequence = heartbeat.sequence();
      peer.version = heartbeat.supportedVersion();
    }
    if (contactAt != null && (peer.contactAt == null || contactAt.isAfter(peer.contactAt))) {
      everHeardPeer = true;
      peer.contactAt = contactAt;
      peer.lastHeartbeat = heartbeat;
    }
    if (contactAt != null
        && heartbeat.term() != 0
        && (leaderContactAt == null || contactAt.isAfter(leaderContactAt))) {
      leaderContactAt = contactAt;
    }
    if (requestSentAt != null) {
      peer.consecutiveMisses = 0;
      peer.consecutiveAnswers++;
    }
    reviewPeer(peer);
    reviewSelf();
  }

  private void onHeartbeatMissed(Peer peer) {
    peer.consecutiveMisses++;
    peer.consecutiveAnswers = 0;
    reviewPeer(peer);
    reviewSelf();
  }

  private void reviewPeer(Peer peer) {
    Instant now = eventLoop.now();
    boolean tooSoon = peer.changedAt.plus(MIN_STATE_DURATION).isAfter(now);
    switch (peer.state) {
      case UNKNOWN -> {
        if (peer.consecutiveAnswers > 0) {
          transitionTo(peer, State.UP);
        } else if (peer.consecutiveMisses >= SUSPECT_AFTER_MISSES) {
          transitionTo(peer, State.SUSPECT);
        }
      }
      case UP -> {
        if (peer.consecutiveMisses >= SUSPECT_AFTER_MISSES && !tooSoon) {
          transitionTo(peer, State.SUSPECT);
        }
      }
      case SUSPECT, APART, DOWN -> {
        if (peer.consecutiveAnswers >= UP_AFTER_ANSWERS && !tooSoon) {
          transitionTo(peer, State.UP);
        } else if (peer.consecutiveMisses >= SUSPECT_AFTER_MISSES && !tooSoon) {
          classifyUnresponsive(peer, now);
        }
      }
    }
  }

  /** What to call a peer that does not answer. */
  private void classifyUnresponsive(Peer peer, Instant now) {
    boolean suspectedLong =
        peer.state != State.SUSPECT || !peer.changedAt.plus(SUSPICION_PERIOD).isAfter(now);
    if (isHeardByAnyNode(peer, now)) {
      transitionTo(peer, State.APART);
    } else if (suspectedLong && selfAssessment == SelfAssessment.SURE && !hasUpWitness(peer, now)) {
      transitionTo(peer, State.SUSPECT);
    } else if (suspectedLong
        && selfAssessment == SelfAssessment.SURE
        && !isFresh(peer.arrivedAt, now)) {
      transitionTo(peer, State.DOWN);
    }
  }

  /** Whether another node, or this one by what comes in, still hears from it. */
  private boolean isHeardByAnyNode(Peer peer, Instant now) {
    if (isFresh(peer.contactAt, now)) {
      return true;
    }
    for (Peer other : peers.values()) {
      Duration ago = other == peer ? null : reportedContactAge(other, peer, now);
      if (ago != null && ago.compareTo(MAX_CONTACT_AGE) < 0) {
        return true;
      }
    }
    return false;
  }

  /** Whether some other node that is up confirms that it does not hear the peer either. */
  private boolean hasUpWitness(Peer peer, Instant now) {
    for (Peer other : peers.values()) {
      if (other != peer && other.state == State.UP && isFresh(other.contactAt, now)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isFresh(Instant at, Instant now) {
    return at != null && at.plus(MAX_CONTACT_AGE).isAfter(now);
  }

  /** How long ago {@code other} heard the peer, by what it told lately; or null. */
  private static Duration reportedContactAge(Peer other, Peer peer, Instant now) {
    if (!isFresh(other.contactAt, now)) {
      return null;
    }
    PeerContact then = other.lastHeartbeat.contacts().get(peer.settings.controllerName());
    return then == null ? null : then.age().plus(Duration.between(other.contactAt, now));
  }

  private void reviewSelf() {
    Instant now = eventLoop.now();
    boolean hears = false;
    for (Peer peer : peers.values()) {
      hears |= isFresh(peer.contactAt, now);
    }
    SelfAssessment next =
        doubtfulUntil.isAfter(now) || (everHeardPeer && !hears)
            ? SelfAssessment.DOUBTFUL
            : SelfAssessment.SURE;
    if (next != selfAssessment) {
      log.info("membership: this controller is {}", next);
      selfAssessment = next;
    }
  }

  /** The one place where a peer's state changes. */
  private void transitionTo(Peer peer, State next) {
    if (peer.state != next) {
      log.info("membership: {} is {} (was {})", peer.settings.controllerName(), next, peer.state);
      peer.state = next;
      peer.changedAt = eventLoop.now();
      peer.stateChanges++;
    }
  }

  // ---- what it is asked

  public SelfAssessment selfAssessment() {
    return selfAssessment;
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
  public boolean hasProbedAll() {
    return peers.values().stream()
        .allMatch(p -> p.answeredHeartbeatSentAt != null || p.consecutiveMisses > 0);
  }

  /** Whether some peer that is up has told that the state service answers it. */
  public boolean isStoreReachableByPeer() {
    return peers.values().stream()
        .anyMatch(
            p -> p.state == State.UP && p.lastHeartbeat != null && p.lastHeartbeat.storeHealthy());
  }

  /**
   * Whether half of the peers or more tell that the state service does not answer them, and none
   * that it does. A leader with a certain lease could then be only among the rest, of whom nothing
   * is heard.
   */
  public boolean isStoreUnreachableForMost() {
    long without =
        peers.values().stream()
            .filter(
                p ->
                    p.state == State.UP
                        && p.lastHeartbeat != null
                        && !p.lastHeartbeat.storeHealthy())
            .count();
    return without > 0 && 2 * without >= peers.size() && !isStoreReachableByPeer();
  }

  /** When the latest beat that the peer answered was sent; null for never. */
  public Instant answeredHeartbeatSentAt(String member) {
    Peer peer = peers.get(member);
    return peer == null ? null : peer.answeredHeartbeatSentAt;
  }

  /** When a peer was last known to lead; null for never. */
  public Instant leaderContactAt() {
    return leaderContactAt;
  }

  /** When any peer was last heard; null for never. */
  public Instant lastPeerContactAt() {
    Instant latest = null;
    for (Peer peer : peers.values()) {
      if (peer.contactAt != null && (latest == null || peer.contactAt.isAfter(latest))) {
        latest = peer.contactAt;
      }
    }
    return latest;
  }

  /**
   * The addresses of peers that may be able to do what this node cannot: first those that reach the
   * state service; those that do not answer this node only when no other is left.
   */
  public List<String> candidateAddresses() {
    List<String> preferred = new ArrayList<>();
    List<String> reachable = new ArrayList<>();
    List<String> unreachable = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean reachesStore = peer.lastHeartbeat != null && peer.lastHeartbeat.storeHealthy();
      List<String> of =
          isUnreachable(peer.settings.controllerName())
              ? unreachable
              : peer.state == State.UP && reachesStore ? preferred : reachable;
      of.add(peer.settings.address());
    }
    preferred.addAll(reachable);
    return preferred.isEmpty() ? unreachable : preferred;
  }

  /** All peers as they stand. */
  public List<PeerStatus> peerStatuses() {
    Instant now = eventLoop.now();
    List<PeerStatus> views = new ArrayList<>();
    for (Peer peer : peers.values()) {
      views.add(
          new PeerStatus(
              peer.settings.controllerName(),
              peer.state,
              peer.contactAt == null ? null : Duration.between(peer.contactAt, now),
              peer.lastHeartbeat != null && peer.lastHeartbeat.storeHealthy(),
              peer.lastHeartbeat == null ? 0 : peer.lastHeartbeat.term(),
              peer.stateChanges,
              peer.nonce,
              peer.lastHeartbeat == null
                  ? GossipWire.RecordStatus.NOTHING
                  : peer.lastHeartbeat.recordStatus(),
              peer.version));
    }
    return views;
  }
}
