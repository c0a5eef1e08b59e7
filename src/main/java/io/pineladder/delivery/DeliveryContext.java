package io.pineladder.delivery;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.OutboundClient;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.MalformedMessageException;
import java.net.InetAddress;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a controller needs to deliver notices, whether it leads or not. */
public final class DeliveryContext {
  private static final Logger log = LoggerFactory.getLogger(DeliveryContext.class);

  /** Notices sent in a second by a process that has a whole core. */
  private static final double PER_CORE = 1_500;

  /** So many requests are under way at a time at most. */
  private static final int MOST_UNDER_WAY = 32;

  private final BackgroundExecutor backgroundExecutor;
  private final SecretCipher box;
  private final Collection<String> own;
  private final double perSecond;
  private final int underWay;
  private OutboundClient outward;
  private DestinationPolicy destinations;

  /**
   * Delivery on one controller.
   *
   * @param own the addresses of the cluster's own parts, without ports
   * @param coreShare how much of a core the process has
   * @param sockets how many sockets there are for it
   */
  public DeliveryContext(
      BackgroundExecutor backgroundExecutor,
      SecretCipher box,
      Collection<String> own,
      double coreShare,
      int sockets) {
    // The rest is for connections that are being closed, or kept for the next notice.
    this.underWay = Math.max(1, Math.min(MOST_UNDER_WAY, sockets * 3 / 4));
    this.backgroundExecutor = backgroundExecutor;
    this.box = box;
    this.own = List.copyOf(own);
    this.perSecond = Math.max(1, PER_CORE * coreShare);
  }

  /** Has notices sent through this. */
  public void setOutboundClient(OutboundClient through) {
    outward = through;
  }

  OutboundClient outward() {
    return outward;
  }

  BackgroundExecutor background() {
    return backgroundExecutor;
  }

  SecretCipher box() {
    return box;
  }

  int underWay() {
    return underWay;
  }

  double perSecond() {
    return perSecond;
  }

  /** Whether a notice may be sent to the address. */
  public boolean allows(InetAddress address) {
    return destinations != null && destinations.allows(address);
  }

  /** The destinations in these networks; the reason when one is none. */
  DestinationPolicy destinations(Collection<String> networks) {
    return new DestinationPolicy(networks, own);
  }

  List<String> networks() {
    return destinations == null ? List.of() : destinations.networks();
  }

  /** The stored networks were read, or have changed; null when they are gone. */
  public void setAllowedNetworks(JsonNode value) {
    try {
      destinations = value == null ? null : destinations(DeliveryWire.parseNetworks(value));
    } catch (MalformedMessageException | IllegalArgumentException e) {
      destinations = null;
      log.error("the allowed networks cannot be read, so none is: {}", e.getMessage());
    }
  }
}
