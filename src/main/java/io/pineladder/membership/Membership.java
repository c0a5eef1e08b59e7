package io.pineladder.membership;

import io.pineladder.model.Settings;
import io.pineladder.net.EventLoop;
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
 * Membership of the controllers, by gossip heartbeats: which peers are up, whom this node reaches,
 * and who reaches the state service.
 *
 * <p>Each controller sends every other a heartbeat once a second, which is answered by one; both
 * say how long ago their sender heard the rest. A message may be minutes late, so that one arrives
 * says nothing. Heartbeats are numbered, and each names the number of the newest one that its
 * sender has received: it was made after that one was sent, and so is no older. What counts as
 * contact is that.
 *
 * <p>No safety rule rests on this. The lease decides who leads, and proofs from workers where tasks
 * are; membership decides which peer is asked first. Event thread only.
 */
public final class Membership {
  private static final Logger log = LoggerFactory.getLogger(Membership.class);

  /** How often each peer is sent a heartbeat. */
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

  /** A heartbeat without an answer for so long is missed. */
  public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1300);

  /** Reported of a peer whose process is known but with which no contact is proven. */
  private static final Duration NEVER_CONTACTED_AGE = Duration.ofDays(1);

  /** A tick that comes so much late shows that this process was paused. */
  private static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofSeconds(1);

  /** The state of a peer. */
  public enum State {
    /** It has answered nothing since this process began. */
    UNKNOWN,
    /** It answers this node. */
    UP,
    /** It has missed heartbeats; it may be slow, cut off or gone. */
    SUSPECT,
    /** Another node hears it and this one does not reach it. */
    APART,
    /** Nobody hears it, as far as this node, which hears others, can know. */
    DOWN
  }

  /** Whether this node trusts its own observations. */
  public enum LocalHealth {
    /** It hears others, or has just begun. */
    HEALTHY,
    /** It hears nobody, or was paused: what it misses may be its own fault. */
    DEGRADED
  }

  /** Sends heartbeats to peers. */
  public interface HeartbeatSender {
    /**
     * Sends a heartbeat.
     *
     * @param onAnswer receives the answer's body, or null when none came within {@link
     *     #HEARTBEAT_TIMEOUT}
     */
    void send(String address, byte[] heartbeat, Consumer<byte[]> onAnswer);
  }

  /**
   * What this node reports about itself.
   *
   * @param storeReachable whether the state service answers it
   * @param term the term that it leads, or 0
   * @param stored the records that it knows
   * @param version the cluster version that its software supports
   */
  public record LocalStatus(
      boolean storeReachable, long term, GossipWire.RecordStatus stored, int version) {}

  /**
   * The status of a peer.
   *
   * @param sinceContact how long ago it is proven to have been alive; null for never
   * @param storeReachable whether it reports that the state service answers it
   * @param term the term that it reports to lead, or 0
   * @param stateChanges how often its state has changed
   * @param nonce its process; null when nothing was received of it
   * @param stored the records that it reports to know
   * @param version the cluster version that its software supports
   */
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

  private final String controllerName;
  private final EventLoop eventLoop;
  private final HeartbeatSender sender;
  private final Supplier<LocalStatus> localStatus;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final FailureDetector failureDetector = new FailureDetector(peers.values());
  private final SentHeartbeats sentHeartbeats;
  private Instant lastTickAt;

  /** When some peer last was known to lead. */
  private Instant leaderContactAt;

  private Consumer<GossipWire.RecordStatus> storeStatusListener = stored -> {};

  /**
   * The membership as this controller sees it.
   *
   * @param nonce tells this process from others of the same controller
   * @param localStatus asked for each heartbeat
   */
  public Membership(
      Settings settings,
      String nonce,
      EventLoop eventLoop,
      HeartbeatSender sender,
      Supplier<LocalStatus> localStatus) {
    this.controllerName = settings.controllerName();
    this.sentHeartbeats = new SentHeartbeats(nonce);
    this.eventLoop = eventLoop;
    this.sender = sender;
    this.localStatus = localStatus;
    for (Settings.Peer peer : settings.peers()) {
      peers.put(peer.controllerName(), new Peer(peer, eventLoop.now()));
    }
  }

  /** Begins to send heartbeats. */
  public void start() {
    tick();
  }

  /** Sets what receives each newer heartbeat's report of the records. */
  public void setRecordStatusListener(Consumer<GossipWire.RecordStatus> listener) {
    storeStatusListener = listener;
  }

  // ---- heartbeats

  /** Sends heartbeats at once, for something that must not wait for the interval. */
  public void sendHeartbeatsNow() {
    byte[] heartbeat = GossipWire.write(nextHeartbeat());
    for (Peer peer : peers.values()) {
      sender.send(peer.address(), heartbeat, answer -> {});
    }
  }

  private void tick() {
    Instant now = eventLoop.now();
    if (lastTickAt != null
        && lastTickAt.plus(HEARTBEAT_INTERVAL).plus(PROCESS_PAUSE_THRESHOLD).isBefore(now)) {
      failureDetector.onProcessPause(now);
    }
    lastTickAt = now;
    byte[] heartbeat = GossipWire.write(nextHeartbeat());
    for (Peer peer : peers.values()) {
      sender.send(peer.address(), heartbeat, answer -> onAnswer(peer, answer, now));
    }
    failureDetector.reviewAll(eventLoop.now());
    eventLoop.schedule(HEARTBEAT_INTERVAL, this::tick);
  }

  private Heartbeat nextHeartbeat() {
    Instant now = eventLoop.now();
    Map<String, PeerContact> contacts = new LinkedHashMap<>();
    for (Peer peer : peers.values()) {
      if (peer.nonce() != null) {
        Instant contactAt = peer.contactAt();
        Duration age = contactAt == null ? NEVER_CONTACTED_AGE : Duration.between(contactAt, now);
        contacts.put(peer.controllerName(), new PeerContact(age, peer.nonce(), peer.sequence()));
      }
    }
    long sequence = sentHeartbeats.next(now);
    LocalStatus status = localStatus.get();
    return new Heartbeat(
        controllerName,
        sentHeartbeats.nonce(),
        sequence,
        status.storeReachable(),
        status.term(),
        contacts,
        status.stored(),
        status.version());
  }

  /** Processes a peer's heartbeat; returns the one that answers it. */
  public byte[] handle(byte[] body) throws MalformedMessageException {
    processHeartbeat(GossipWire.parse(body), null);
    return GossipWire.write(nextHeartbeat());
  }

  private void onAnswer(Peer peer, byte[] body, Instant heartbeatSentAt) {
    if (body == null) {
      peer.onMiss();
      failureDetector.review(peer, eventLoop.now());
      return;
    }
    peer.onAnswered(heartbeatSentAt);
    try {
      processHeartbeat(GossipWire.parse(body), heartbeatSentAt);
    } catch (MalformedMessageException e) {
      log.warn(
          "Malformed heartbeat answer: controller={} error={}",
          peer.controllerName(),
          e.getMessage());
    }
  }

  /**
   * Processes a heartbeat.
   *
   * @param requestSentAt when the heartbeat was sent that this answers, or null: that a peer sends
   *     something does not show that it can be reached
   */
  private void processHeartbeat(Heartbeat heartbeat, Instant requestSentAt) {
    Peer peer = peers.get(heartbeat.member());
    if (peer == null) {
      return;
    }
    boolean newer = peer.isNewer(heartbeat);
    if (newer) {
      peer.onArrival(eventLoop.now());
      storeStatusListener.accept(heartbeat.recordStatus());
    }
    Instant contactAt =
        requestSentAt != null
            ? requestSentAt
            : sentHeartbeats.madeAt(heartbeat.contacts().get(controllerName));
    if (newer && (contactAt != null || peer.nonce() == null)) {
      peer.onIdentified(heartbeat);
    }
    if (contactAt != null) {
      onContact(peer, contactAt, heartbeat);
    }
    if (requestSentAt != null) {
      peer.onValidAnswer();
    }
    failureDetector.review(peer, eventLoop.now());
  }

  private void onContact(Peer peer, Instant contactAt, Heartbeat heartbeat) {
    if (peer.onContact(contactAt, heartbeat)) {
      failureDetector.onContact();
    }
    boolean leads = heartbeat.term() != 0;
    if (leads && (leaderContactAt == null || contactAt.isAfter(leaderContactAt))) {
      leaderContactAt = contactAt;
    }
  }

  // ---- queries

  /** Whether this node trusts its own observations. */
  public LocalHealth localHealth() {
    return failureDetector.selfAssessment();
  }

  /** The state of a peer; {@code UNKNOWN} for one that the settings do not name. */
  public State stateOf(String member) {
    Peer peer = peers.get(member);
    return peer == null ? State.UNKNOWN : peer.state();
  }

  /** Whether this node is known not to reach the peer. */
  public boolean isUnreachable(String member) {
    return isUnreachable(stateOf(member));
  }

  private static boolean isUnreachable(State state) {
    return switch (state) {
      case SUSPECT, APART, DOWN -> true;
      case UNKNOWN, UP -> false;
    };
  }

  /** Whether each peer has answered a heartbeat or failed to, so that all reports are in. */
  public boolean hasProbedAll() {
    return peers.values().stream().allMatch(Peer::isProbed);
  }

  /** Whether some peer that is up reports that the state service answers it. */
  public boolean isStoreReachableByPeer() {
    return peers.values().stream().anyMatch(p -> p.state() == State.UP && p.reachesStore());
  }

  /**
   * Whether half of the peers or more report that the state service does not answer them, and none
   * that it does. A leader with a certain lease could then be only among the rest, of whom nothing
   * is heard.
   */
  public boolean isStoreUnreachableForMost() {
    long without =
        peers.values().stream()
            .filter(p -> p.state() == State.UP && p.reportsStoreUnreachable())
            .count();
    return without > 0 && 2 * without >= peers.size() && !isStoreReachableByPeer();
  }

  /** When the latest heartbeat that the peer answered was sent; null for never. */
  public Instant answeredHeartbeatSentAt(String member) {
    Peer peer = peers.get(member);
    return peer == null ? null : peer.answeredHeartbeatSentAt();
  }

  /** When a peer was last proven to lead; null for never. */
  public Instant leaderContactAt() {
    return leaderContactAt;
  }

  /** When any peer was last proven to be alive; null for never. */
  public Instant lastPeerContactAt() {
    Instant latest = null;
    for (Peer peer : peers.values()) {
      Instant contactAt = peer.contactAt();
      if (contactAt != null && (latest == null || contactAt.isAfter(latest))) {
        latest = contactAt;
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
      List<String> group =
          isUnreachable(peer.state())
              ? unreachable
              : peer.state() == State.UP && peer.reachesStore() ? preferred : reachable;
      group.add(peer.address());
    }
    preferred.addAll(reachable);
    return preferred.isEmpty() ? unreachable : preferred;
  }

  /** The status of all peers, in the order of the settings. */
  public List<PeerStatus> peerStatuses() {
    Instant now = eventLoop.now();
    List<PeerStatus> statuses = new ArrayList<>();
    for (Peer peer : peers.values()) {
      statuses.add(peer.status(now));
    }
    return statuses;
  }
}
