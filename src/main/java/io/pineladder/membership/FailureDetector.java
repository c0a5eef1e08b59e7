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
 * The state machine of each peer. Suspicion precedes a conclusion, and doubt of this node itself
 * precedes both: a node that hears nobody, or that was paused, calls nobody down.
 */
final class FailureDetector {
  private static final Logger log = LoggerFactory.getLogger(Membership.class);

  /**
   * Heartbeats missed in a row before a peer is suspected. One lost message says nothing, and a
   * leader that has just taken over may answer nobody for two seconds.
   */
  private static final int SUSPECT_AFTER_MISSES = 3;

  /** A peer is suspected for so long before anything is concluded. */
  private static final Duration SUSPICION_PERIOD = Duration.ofSeconds(3);

  /** A contact that is older than this, own or reported, is no evidence that a peer is alive. */
  private static final Duration MAX_CONTACT_AGE = Duration.ofMillis(2500);

  /** Answers in a row that bring a peer back. */
  private static final int UP_AFTER_ANSWERS = 2;

  /** The least time between two changes of a peer's state. */
  private static final Duration MIN_STATE_DURATION = Duration.ofSeconds(2);

  private final Collection<Peer> peers;
  private LocalHealth selfAssessment = LocalHealth.HEALTHY;

  /** Whether any peer was ever heard: until then that none is heard says nothing. */
  private boolean everHeardPeer;

  /** Until then nothing is concluded: the process was paused, and has to hear others first. */
  private Instant doubtfulUntil = Instant.MIN;

  FailureDetector(Collection<Peer> peers) {
    this.peers = peers;
  }

  LocalHealth selfAssessment() {
    return selfAssessment;
  }

  /** Some peer is proven to have been alive. */
  void onContact() {
    everHeardPeer = true;
  }

  /** Messages that came during the pause are yet to be read: each peer begins anew. */
  void onProcessPause(Instant now) {
    log.info("Process pause: no controller is called down for now");
    doubtfulUntil = now.plus(SUSPICION_PERIOD);
    for (Peer peer : peers) {
      peer.onProcessPause(now);
    }
    reviewSelf(now);
  }

  /** Something about the peer has changed. */
  void review(Peer peer, Instant now) {
    reviewPeer(peer, now);
    reviewSelf(now);
  }

  /** Time has passed. */
  void reviewAll(Instant now) {
    for (Peer peer : peers) {
      reviewPeer(peer, now);
    }
    reviewSelf(now);
  }

  private void reviewPeer(Peer peer, Instant now) {
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
    boolean suspectedLong =
        peer.state() != State.SUSPECT || !peer.stateChangedAt().plus(SUSPICION_PERIOD).isAfter(now);
    boolean conclusive = suspectedLong && selfAssessment == LocalHealth.HEALTHY;
    if (isHeardByAnyNode(peer, now)) {
      transitionTo(peer, State.APART, now);
    } else if (conclusive && !hasUpWitness(peer, now)) {
      transitionTo(peer, State.SUSPECT, now);
    } else if (conclusive && !isFresh(peer.arrivedAt(), now)) {
      transitionTo(peer, State.DOWN, now);
    }
  }

  /** Whether this node or another one still hears from it. */
  private boolean isHeardByAnyNode(Peer peer, Instant now) {
    if (isFresh(peer.contactAt(), now)) {
      return true;
    }
    for (Peer other : peers) {
      Duration age = other == peer ? null : reportedContactAge(other, peer, now);
      if (age != null && age.compareTo(MAX_CONTACT_AGE) < 0) {
        return true;
      }
    }
    return false;
  }

  /** Whether some other node that is up confirms that it does not hear the peer either. */
  private boolean hasUpWitness(Peer peer, Instant now) {
    for (Peer other : peers) {
      if (other != peer && other.state() == State.UP && isFresh(other.contactAt(), now)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isFresh(Instant at, Instant now) {
    return at != null && at.plus(MAX_CONTACT_AGE).isAfter(now);
  }

  /** How long ago {@code other} heard the peer, by its last heartbeat; null if not known. */
  private static Duration reportedContactAge(Peer other, Peer peer, Instant now) {
    if (!isFresh(other.contactAt(), now)) {
      return null;
    }
    PeerContact contact = other.lastHeartbeat().contacts().get(peer.controllerName());
    return contact == null ? null : contact.age().plus(Duration.between(other.contactAt(), now));
  }

  private void reviewSelf(Instant now) {
    boolean hearsAny = false;
    for (Peer peer : peers) {
      hearsAny |= isFresh(peer.contactAt(), now);
    }
    boolean doubtful = doubtfulUntil.isAfter(now) || (everHeardPeer && !hearsAny);
    LocalHealth next = doubtful ? LocalHealth.DEGRADED : LocalHealth.HEALTHY;
    if (next != selfAssessment) {
      log.info("Self-assessment changed: assessment={} previous={}", next, selfAssessment);
      selfAssessment = next;
    }
  }

  /** The one place where a peer's state changes. */
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
