package io.pineladder.api;

import io.pineladder.ControllerNode;
import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Readiness of this controller for requests from the load balancer. Event thread only. */
final class ReadinessCheck {
  private static final Logger log = LoggerFactory.getLogger(ReadinessCheck.class);

  /** Time for which a response of the key-value store or a peer counts as contact. */
  private static final Duration CONTACT_TIMEOUT = Duration.ofSeconds(6);

  private final ControllerNode node;
  private boolean ready;

  ReadinessCheck(ControllerNode node) {
    this.node = node;
  }

  /**
   * A controller is ready while it leads, reaches the key-value store, or reaches a peer. An outage
   * of the store alone does not end readiness: it affects all controllers alike, and the load
   * balancer would add them back only after a delay.
   */
  boolean isReady() {
    boolean readyNow =
        node.leadingTerm() != null
            || isRecent(node.storeClient().lastResponseAt())
            || isRecent(node.membership().lastPeerContactAt());
    if (readyNow != ready) {
      log.info("Readiness changed: ready={}", readyNow);
      ready = readyNow;
    }
    return readyNow;
  }

  private boolean isRecent(Instant contactAt) {
    return contactAt != null && contactAt.plus(CONTACT_TIMEOUT).isAfter(node.eventLoop().now());
  }
}
