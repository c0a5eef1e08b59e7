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
 * Membership of the controllers by gossip heartbeats: which peers are up, which of them this node
 * reaches, and which reach the key-value store.
 *
 * <p>Each controller sends every peer a heartbeat once a second, and the peer answers with one of
 * its own. Each heartbeat lists the age of its sender's last contact with every other controller.
 * Messages may be delayed by minutes, so the arrival of a heartbeat does not show when its sender
 * was alive. Therefore heartbeats are numbered, and each acknowledges the newest one that its
 * sender has received: it was created after that one was sent. Only such an acknowledgement counts
 * as contact.
 *
 * <p>Safety does not depend on membership: the lease determines the leader, and confirmations from
 * workers determine where tasks run. Membership determines which peer is contacted first. Event
 * thread only.
 */
public final class Membership {
  private static final Logger log = LoggerFactory.getLogger(Membership.class);

  /** The interval at which each peer is sent a heartbeat. */
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

  /** A heartbeat that is not answered within this time counts as missed. */
  public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1300);

  /** The age reported for a peer whose incarnation is known without a proven contact. */
  private static final Duration NEVER_CONTACTED_AGE = Duration.ofDays(1);

  /** A tick delayed by more than this shows that this process was paused. */
  private static final Duration PROCESS_PAUSE_THRESHOLD = Duration.ofSeconds(1);

  /** The state of a peer. */
  public enum State {
    /** It has not answered since this process started. */
    UNKNOWN,
    /** It answers this node. */
    UP,
    /** It has missed heartbeats; it may be slow, partitioned or down. */
    SUSPECT,
    /** This node does not reach it, but another one does. */
    APART,
    /** No controller with which this node has contact reaches it. */
    DOWN
  }

  /** Whether missed heartbeats can be attributed to the peers rather than to this node. */
  public enum LocalHealth {
    /** It has contact with a peer, or has not had any yet. */
    HEALTHY,
    /** It lost contact with all peers, or was paused: it may itself be the faulty node. */
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
   * @param storeReachable whether the key-value store answers this node
   * @param term the term that this node leads, or 0
   * @param recordStatus what this node knows of the stored records
   * @param version the cluster version that its software supports
   */
  public record LocalStatus(
      boolean storeReachable, long term, GossipWire.RecordStatus recordStatus, int version) {}

  /**
   * The status of a peer.
   *
   * @param sinceContact time since the latest instant at which the peer is proven to have been
   *     alive; null for never
   * @param storeReachable whether the peer reports that the key-value store answers it
   * @param term the term that the peer reports to lead, or 0
   * @param stateChanges the number of its state changes
   * @param nonce identifies the incarnation of its process; null before its first heartbeat
   * @param recordStatus what the peer reports to know of the stored records
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
      GossipWire.RecordStatus recordStatus,
      int version) {}

  private final String controllerName;
  private final EventLoop eventLoop;
  private final HeartbeatSender sender;
  private final Supplier<LocalStatus> localStatus;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final FailureDetector failureDetector = new FailureDetector(peers.values());
  private final SentHeartbeats sentHeartbeats;
  private Instant lastTickAt;

  /** When a peer was last proven to lead; null for never. */
  private Instant leaderContactAt;

  private Consumer<GossipWire.RecordStatus> recordStatusListener = status -> {};

  /**
   * Creates the membership; {@link #start} begins to send heartbeats.
   *
   * @param nonce identifies the incarnation of this controller's process
   * @param localStatus supplies the status sent with each heartbeat
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

  public void start() {
    tick();
  }

  /** Sets the receiver of the record status in each newer heartbeat. */
  public void setRecordStatusListener(Consumer<GossipWire.RecordStatus> listener) {
    recordStatusListener = listener;
  }

  // ---- heartbeats

  /** Sends heartbeats without waiting for the interval; answers to them are ignored. */
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
    failureDetector.evaluateAll(eventLoop.now());
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
        status.recordStatus(),
        status.version());
  }

  /** Processes a heartbeat of a peer and returns the heartbeat that answers it. */
  public byte[] handle(byte[] body) throws MalformedMessageException {
    processHeartbeat(GossipWire.parse(body), null);
    return GossipWire.write(nextHeartbeat());
  }

  private void onAnswer(Peer peer, byte[] body, Instant heartbeatSentAt) {
    if (body == null) {
      peer.onHeartbeatMissed();
      failureDetector.evaluate(peer, eventLoop.now());
      return;
    }
    peer.onHeartbeatAnswered(heartbeatSentAt);
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
   * @param requestSentAt when this node sent the heartbeat that this one answers; null for a
   *     request, which does not show that its sender can be reached
   */
  private void processHeartbeat(Heartbeat heartbeat, Instant requestSentAt) {
    Peer peer = peers.get(heartbeat.member());
    if (peer == null) {
      return;
    }
    boolean newer = peer.isNewer(heartbeat);
    if (newer) {
      peer.onNewerHeartbeat(eventLoop.now());
      recordStatusListener.accept(heartbeat.recordStatus());
    }
    Instant contactAt =
        requestSentAt != null
            ? requestSentAt
            : sentHeartbeats.sentAt(heartbeat.contacts().get(controllerName));
    if (newer && (contactAt != null || peer.nonce() == null)) {
      peer.updateIncarnation(heartbeat);
    }
    if (contactAt != null) {
      onContact(peer, contactAt, heartbeat);
    }
    if (requestSentAt != null) {
      peer.onValidAnswer();
    }
    failureDetector.evaluate(peer, eventLoop.now());
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

  /** Whether missed heartbeats can be attributed to the peers rather than to this node. */
  public LocalHealth localHealth() {
    return failureDetector.localHealth();
  }

  /** The state of a peer; {@code UNKNOWN} for a controller that is not in the settings. */
  public State stateOf(String member) {
    Peer peer = peers.get(member);
    return peer == null ? State.UNKNOWN : peer.state();
  }

  /** Whether the peer is known not to answer this node; false for an unknown state. */
  public boolean isUnreachable(String member) {
    return isUnreachable(stateOf(member));
  }

  private static boolean isUnreachable(State state) {
    return switch (state) {
      case SUSPECT, APART, DOWN -> true;
      case UNKNOWN, UP -> false;
    };
  }

  /** Whether every peer has answered or missed a heartbeat since this process started. */
  public boolean hasProbedAll() {
    return peers.values().stream().allMatch(Peer::isProbed);
  }

  /** Whether a peer that is up reports that the key-value store answers it. */
  public boolean isStoreReachableByPeer() {
    return peers.values().stream()
        .anyMatch(p -> p.state() == State.UP && p.reportsStoreReachable());
  }

  /**
   * Whether at least half of the peers report that the key-value store does not answer them, and
   * none reports that it does. A leader with a valid lease could then only be among the peers that
   * are not up.
   */
  public boolean isStoreUnreachableForMost() {
    long unreachableCount =
        peers.values().stream()
            .filter(p -> p.state() == State.UP && p.reportsStoreUnreachable())
            .count();
    return unreachableCount > 0
        && 2 * unreachableCount >= peers.size()
        && !isStoreReachableByPeer();
  }

  /** When the latest heartbeat answered by the peer was sent; null for never. */
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
   * The addresses of peers to which a request may be forwarded that this node cannot serve: first
   * those that reach the key-value store; those that do not answer this node only when there is no
   * other.
   */
  public List<String> candidateAddresses() {
    List<String> preferred = new ArrayList<>();
    List<String> reachable = new ArrayList<>();
    List<String> unreachable = new ArrayList<>();
    for (Peer peer : peers.values()) {
      List<String> candidates =
          isUnreachable(peer.state())
              ? unreachable
              : peer.state() == State.UP && peer.reportsStoreReachable() ? preferred : reachable;
      candidates.add(peer.address());
    }
    preferred.addAll(reachable);
    return preferred.isEmpty() ? unreachable : preferred;
  }

  /** The status of each peer, in the order of the settings. */
  public List<PeerStatus> peerStatuses() {
    Instant now = eventLoop.now();
    List<PeerStatus> statuses = new ArrayList<>();
    for (Peer peer : peers.values()) {
      statuses.add(peer.status(now));
    }
    return statuses;
  }
}
