package io.pineladder.membership;

import io.pineladder.membership.Membership.State;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Settings;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.GossipWire.Heartbeat;
import java.time.Duration;
import java.time.Instant;

/** Another controller: its state, latest contact and latest heartbeat. */
final class Peer {
  private final Settings.Peer settings;
  private State state = State.UNKNOWN;
  private Instant stateChangedAt;
  private int stateChanges;

  /** The latest instant at which it is proven to have been alive; null for never. */
  private Instant contactAt;

  /** When its newest heartbeat was received, which may have been delayed; null for never. */
  private Instant newestHeartbeatReceivedAt;

  /** When the latest heartbeat that it answered was sent to it; null for never. */
  private Instant answeredHeartbeatSentAt;

  /** The incarnation of its process; null before its first heartbeat. */
  private String nonce;

  /** The number of the newest heartbeat of this incarnation. */
  private long sequence;

  private int consecutiveMisses;
  private int consecutiveAnswers;

  /** The cluster version that its software supports, from its newest heartbeat. */
  private int supportedVersion = ClusterVersion.UNVERSIONED;

  /** The heartbeat that proved the latest contact; null for none since a pause of this process. */
  private Heartbeat lastHeartbeat;

  Peer(Settings.Peer settings, Instant now) {
    this.settings = settings;
    this.stateChangedAt = now;
  }

  String controllerName() {
    return settings.controllerName();
  }

  String address() {
    return settings.address();
  }

  State state() {
    return state;
  }

  Instant stateChangedAt() {
    return stateChangedAt;
  }

  int stateChanges() {
    return stateChanges;
  }

  /** Called by {@link FailureDetector#transitionTo} only. */
  void setState(State next, Instant now) {
    state = next;
    stateChangedAt = now;
    stateChanges++;
  }

  Instant contactAt() {
    return contactAt;
  }

  Instant newestHeartbeatReceivedAt() {
    return newestHeartbeatReceivedAt;
  }

  Instant answeredHeartbeatSentAt() {
    return answeredHeartbeatSentAt;
  }

  String nonce() {
    return nonce;
  }

  long sequence() {
    return sequence;
  }

  int consecutiveMisses() {
    return consecutiveMisses;
  }

  int consecutiveAnswers() {
    return consecutiveAnswers;
  }

  int supportedVersion() {
    return supportedVersion;
  }

  Heartbeat lastHeartbeat() {
    return lastHeartbeat;
  }

  /** Whether it has answered or missed a heartbeat. */
  boolean isProbed() {
    return answeredHeartbeatSentAt != null || consecutiveMisses > 0;
  }

  /** Whether its last heartbeat reports that the key-value store answers it. */
  boolean reportsStoreReachable() {
    return lastHeartbeat != null && lastHeartbeat.storeHealthy();
  }

  /** Whether its last heartbeat reports that the key-value store does not answer it. */
  boolean reportsStoreUnreachable() {
    return lastHeartbeat != null && !lastHeartbeat.storeHealthy();
  }

  /** Whether the heartbeat has another incarnation than the last one, or a higher number. */
  boolean isNewer(Heartbeat heartbeat) {
    return !heartbeat.nonce().equals(nonce) || heartbeat.sequence() > sequence;
  }

  /** A newer heartbeat was received. */
  void onNewerHeartbeat(Instant now) {
    newestHeartbeatReceivedAt = now;
  }

  /** Records the incarnation and number of a newer heartbeat. */
  void updateIncarnation(Heartbeat heartbeat) {
    nonce = heartbeat.nonce();
    sequence = heartbeat.sequence();
    supportedVersion = heartbeat.supportedVersion();
  }

  /**
   * Records that the heartbeat proves the peer to have been alive at that instant.
   *
   * @return false if a contact at that instant or later was known already
   */
  boolean onContact(Instant provenAt, Heartbeat heartbeat) {
    if (contactAt != null && !provenAt.isAfter(contactAt)) {
      return false;
    }
    contactAt = provenAt;
    lastHeartbeat = heartbeat;
    return true;
  }

  /** It answered the heartbeat sent at that instant; the answer may be malformed. */
  void onHeartbeatAnswered(Instant heartbeatSentAt) {
    answeredHeartbeatSentAt = heartbeatSentAt;
  }

  /** It answered a heartbeat with a valid heartbeat. */
  void onValidAnswer() {
    consecutiveMisses = 0;
    consecutiveAnswers++;
  }

  /** It did not answer a heartbeat within {@link Membership#HEARTBEAT_TIMEOUT}. */
  void onHeartbeatMissed() {
    consecutiveMisses++;
    consecutiveAnswers = 0;
  }

  /** Discards misses and the last heartbeat, and restarts a suspicion, after a process pause. */
  void onProcessPause(Instant now) {
    consecutiveMisses = 0;
    lastHeartbeat = null;
    if (state == State.SUSPECT) {
      stateChangedAt = now;
    }
  }

  Membership.PeerStatus status(Instant now) {
    boolean reported = lastHeartbeat != null;
    return new Membership.PeerStatus(
        controllerName(),
        state,
        contactAt == null ? null : Duration.between(contactAt, now),
        reportsStoreReachable(),
        reported ? lastHeartbeat.term() : 0,
        stateChanges,
        nonce,
        reported ? lastHeartbeat.recordStatus() : GossipWire.RecordStatus.UNKNOWN,
        supportedVersion);
  }
}
