package io.pineladder.membership;

import io.pineladder.membership.Membership.State;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Settings;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.GossipWire.Heartbeat;
import java.time.Duration;
import java.time.Instant;

/** Another controller, with what its heartbeats and their absence have shown. */
final class Peer {
  private final Settings.Peer settings;
  private State state = State.UNKNOWN;
  private Instant stateChangedAt;
  private int stateChanges;

  /** The newest instant at which it is proven to have been alive; null for never. */
  private Instant contactAt;

  /** When a heartbeat newer than all before arrived, however old it was; null for never. */
  private Instant arrivedAt;

  /** When the latest heartbeat that it answered was sent; null for never. */
  private Instant answeredHeartbeatSentAt;

  /** Its process and the number of the newest heartbeat of it; null before the first. */
  private String nonce;

  private long sequence;
  private int consecutiveMisses;
  private int consecutiveAnswers;

  /** The cluster version that its software supports, by the newest heartbeat of its process. */
  private int supportedVersion = ClusterVersion.UNVERSIONED;

  /** The heartbeat that proved the newest contact; null for none since this process paused. */
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

  Instant arrivedAt() {
    return arrivedAt;
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

  /** Whether it answered a heartbeat or failed to. */
  boolean isProbed() {
    return answeredHeartbeatSentAt != null || consecutiveMisses > 0;
  }

  /** Whether its last heartbeat reports that the state service answers it. */
  boolean reachesStore() {
    return lastHeartbeat != null && lastHeartbeat.storeHealthy();
  }

  /** Whether its last heartbeat reports that the state service does not answer it. */
  boolean reportsStoreUnreachable() {
    return lastHeartbeat != null && !lastHeartbeat.storeHealthy();
  }

  /** Whether the heartbeat is of another process than the last one, or of a higher number. */
  boolean isNewer(Heartbeat heartbeat) {
    return !heartbeat.nonce().equals(nonce) || heartbeat.sequence() > sequence;
  }

  /** A newer heartbeat arrived. */
  void onArrival(Instant now) {
    arrivedAt = now;
  }

  /** A newer heartbeat is of its present process. */
  void onIdentified(Heartbeat heartbeat) {
    nonce = heartbeat.nonce();
    sequence = heartbeat.sequence();
    supportedVersion = heartbeat.supportedVersion();
  }

  /** The heartbeat proves that it was alive at that instant; false if that was known already. */
  boolean onContact(Instant provenAt, Heartbeat heartbeat) {
    if (contactAt != null && !provenAt.isAfter(contactAt)) {
      return false;
    }
    contactAt = provenAt;
    lastHeartbeat = heartbeat;
    return true;
  }

  /** It answered the heartbeat that was sent then, though perhaps with something else. */
  void onAnswered(Instant heartbeatSentAt) {
    answeredHeartbeatSentAt = heartbeatSentAt;
  }

  /** It answered a heartbeat with a valid one. */
  void onValidAnswer() {
    consecutiveMisses = 0;
    consecutiveAnswers++;
  }

  /** It did not answer a heartbeat in time. */
  void onMiss() {
    consecutiveMisses++;
    consecutiveAnswers = 0;
  }

  /** This process was paused: misses and reports of before say nothing, suspicion begins anew. */
  void onProcessPause(Instant now) {
    consecutiveMisses = 0;
    lastHeartbeat = null;
    if (state == State.SUSPECT) {
      stateChangedAt = now;
    }
  }

  /** Its status for others. */
  Membership.PeerStatus status(Instant now) {
    boolean reported = lastHeartbeat != null;
    return new Membership.PeerStatus(
        controllerName(),
        state,
        contactAt == null ? null : Duration.between(contactAt, now),
        reachesStore(),
        reported ? lastHeartbeat.term() : 0,
        stateChanges,
        nonce,
        reported ? lastHeartbeat.recordStatus() : GossipWire.RecordStatus.UNKNOWN,
        supportedVersion);
  }
}
