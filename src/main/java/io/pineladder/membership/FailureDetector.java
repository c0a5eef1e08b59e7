package io.pineladder.membership;

import io.pineladder.membership.Membership.LocalHealth;
import io.pineladder.membership.Membership.State;
import io.pineladder.wire.GossipWire.PeerContact;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Failure detection: the state machine of each peer. A peer is suspected before it is marked down,
 * and a node that has contact with no peer, or whose process was paused, marks no peer down.
 */
final class FailureDetector {
  private static final Logger log = LoggerFactory.getLogger(Membership.class);

  /**
   * Consecutive missed heartbeats before a peer is suspected. Tolerates lost messages and a newly
   * elected leader, which may not answer for two seconds.
   */
  private static final int SUSPECT_AFTER_MISSES = 3;

  /** How long a peer is suspected before it may be marked down. */
  private static final Duration SUSPICION_PERIOD = Duration.ofSeconds(3);

  /** An older contact, direct or reported by another peer, does not show that a peer is alive. */
  private static final Duration MAX_CONTACT_AGE = Duration.ofMillis(2500);

  /** Consecutive answers after which a suspected or failed peer is up again. */
  private static final int UP_AFTER_ANSWERS = 2;

  /** Minimum time between two state changes of a peer; limits flapping. */
  private static final Duration MIN_STATE_DURATION = Duration.ofSeconds(2);

  private final Collection<Peer> peers;
  private LocalHealth localHealth = LocalHealth.HEALTHY;

  /** Whether contact with a peer was ever proven; before that, having none is not a fault. */
  private boolean contactEstablished;

  /** After a process pause no peer is marked down before this instant. */
  private Instant degradedUntil = Instant.MIN;

  FailureDetector(Collection<Peer> peers) {
    this.peers = peers;
  }

  LocalHealth localHealth() {
    return localHealth;
  }

  /** Contact with a peer was proven. */
  void onContact() {
    contactEstablished = true;
  }

  /** Restarts the detection for each peer: messages received during the pause are still unread. */
  void onProcessPause(Instant now) {
    log.info("Process pause detected: no peer is marked down until heartbeats have been exchanged");
    degradedUntil = now.plus(SUSPICION_PERIOD);
    for (Peer peer : peers) {
      peer.onProcessPause(now);
    }
    evaluateLocalHealth(now);
  }

  /** Evaluates a peer whose heartbeats, answers or misses have changed. */
  void evaluate(Peer peer, Instant now) {
    evaluatePeer(peer, now);
    evaluateLocalHealth(now);
  }

  /** Evaluates all peers; to be called periodically. */
  void evaluateAll(Instant now) {
    for (Peer peer : peers) {
      evaluatePeer(peer, now);
    }
    evaluateLocalHealth(now);
  }

  private void evaluatePeer(Peer peer, Instant now) {
    boolean tooSoon = peer.stateChangedAt().plus(MIN_STATE_DURATION).isAfter(now);
    boolean unresponsive = peer.consecutiveMisses() >= SUSPECT_AFTER_MISSES;
    switch (peer.state()) {
      case UNKNOWN -> {
        if (peer.consecutiveAnswers() > 0) {
          transitionTo(peer, State.UP, now);
        } else if (unresponsive) {
          transitionTo(peer, State.SUSPECT, now);
        }
      }
      case UP -> {
        if (unresponsive && !tooSoon) {
          transitionTo(peer, State.SUSPECT, now);
        }
      }
      case SUSPECT, APART, DOWN -> {
        if (peer.consecutiveAnswers() >= UP_AFTER_ANSWERS && !tooSoon) {
          transitionTo(peer, State.UP, now);
        } else if (unresponsive && !tooSoon) {
          classifyUnresponsive(peer, now);
        }
      }
      default -> throw new AssertionError(peer.state());
    }
  }

  private void classifyUnresponsive(Peer peer, Instant now) {
    boolean suspicionExpired =
        peer.state() != State.SUSPECT || !peer.stateChangedAt().plus(SUSPICION_PERIOD).isAfter(now);
    boolean mayMarkDown = suspicionExpired && localHealth == LocalHealth.HEALTHY;
    if (isReachableFromAnyNode(peer, now)) {
      transitionTo(peer, State.APART, now);
    } else if (mayMarkDown && !hasUpObserver(peer, now)) {
      transitionTo(peer, State.SUSPECT, now);
    } else if (mayMarkDown && !isFresh(peer.newestHeartbeatReceivedAt(), now)) {
      transitionTo(peer, State.DOWN, now);
    }
  }

  /** Whether this node or another one has a recent contact with the peer. */
  private boolean isReachableFromAnyNode(Peer peer, Instant now) {
    if (isFresh(peer.contactAt(), now)) {
      return true;
    }
    for (Peer observer : peers) {
      Duration age = observer == peer ? null : reportedContactAge(observer, peer, now);
      if (age != null && age.compareTo(MAX_CONTACT_AGE) < 0) {
        return true;
      }
    }
    return false;
  }

  /** Whether another peer is up, whose heartbeats would report a contact with this one. */
  private boolean hasUpObserver(Peer peer, Instant now) {
    for (Peer observer : peers) {
      if (observer != peer && observer.state() == State.UP && isFresh(observer.contactAt(), now)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isFresh(Instant at, Instant now) {
    return at != null && at.plus(MAX_CONTACT_AGE).isAfter(now);
  }

  /** The age of {@code observer}'s last contact with the peer; null if not known. */
  private static Duration reportedContactAge(Peer observer, Peer peer, Instant now) {
    if (!isFresh(observer.contactAt(), now)) {
      return null;
    }
    PeerContact contact = observer.lastHeartbeat().contacts().get(peer.controllerName());
    return contact == null ? null : contact.age().plus(Duration.between(observer.contactAt(), now));
  }

  private void evaluateLocalHealth(Instant now) {
    boolean hasContact = false;
    for (Peer peer : peers) {
      hasContact |= isFresh(peer.contactAt(), now);
    }
    boolean degraded = degradedUntil.isAfter(now) || (contactEstablished && !hasContact);
    LocalHealth next = degraded ? LocalHealth.DEGRADED : LocalHealth.HEALTHY;
    if (next != localHealth) {
      log.info("Local health changed: health={} previous={}", next, localHealth);
      localHealth = next;
    }
  }

  /** The only place where a peer's state changes. */
  private static void transitionTo(Peer peer, State next, Instant now) {
    if (peer.state() != next) {
      log.info(
          "Peer state changed: controller={} state={} previous={}",
          peer.controllerName(),
          next,
          peer.state());
      peer.setState(next, now);
    }
  }
}
