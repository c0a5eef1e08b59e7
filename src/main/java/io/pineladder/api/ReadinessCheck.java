package io.pineladder.api;

import io.pineladder.ControllerNode;
import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Whether the load balancer should send requests to this controller. Event thread only. */
final class ReadinessCheck {
  private static final Logger log = LoggerFactory.getLogger(ReadinessCheck.class);

  /** A response of the state service or a peer counts as contact for this long. */
  private static final Duration CONTACT_TIMEOUT = Duration.ofSeconds(6);

  private final ControllerNode node;
  private boolean ready;

  ReadinessCheck(ControllerNode node) {
    this.node = node;
  }

  /**
   * A controller is ready while it reaches the state service, leads, or reaches a peer. In an
   * outage of the state service no controller serves better than another, and one taken out of
   * service would come back late.
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
