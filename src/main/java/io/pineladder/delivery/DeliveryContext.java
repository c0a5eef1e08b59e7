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

/** Resources of a controller for delivering notifications; they outlive its terms as leader. */
public final class DeliveryContext {
  private static final Logger log = LoggerFactory.getLogger(DeliveryContext.class);

  /** Limit for a process with one whole core; scaled by its share of a core. */
  private static final double REQUESTS_PER_SECOND_PER_CORE = 1_500;

  /** Upper bound of concurrent requests, however many sockets there are. */
  private static final int MAX_IN_FLIGHT = 32;

  private final BackgroundExecutor backgroundExecutor;
  private final SecretCipher secretCipher;
  private final Collection<String> clusterAddresses;
  private final double requestsPerSecond;
  private final int maxInFlight;
  private OutboundClient outboundClient;
  private DestinationPolicy destinationPolicy;

  /**
   * Creates the context of one controller.
   *
   * @param clusterAddresses the addresses of the cluster's own components, without ports
   * @param coreShare the process's share of a CPU core
   * @param sockets the number of sockets available for notifications
   */
  public DeliveryContext(
      BackgroundExecutor backgroundExecutor,
      SecretCipher secretCipher,
      Collection<String> clusterAddresses,
      double coreShare,
      int sockets) {
    // A quarter of the sockets is left for connections that are closing or idle between requests.
    this.maxInFlight = Math.max(1, Math.min(MAX_IN_FLIGHT, sockets * 3 / 4));
    this.backgroundExecutor = backgroundExecutor;
    this.secretCipher = secretCipher;
    this.clusterAddresses = List.copyOf(clusterAddresses);
    this.requestsPerSecond = Math.max(1, REQUESTS_PER_SECOND_PER_CORE * coreShare);
  }

  public void setOutboundClient(OutboundClient outboundClient) {
    this.outboundClient = outboundClient;
  }

  OutboundClient outboundClient() {
    return outboundClient;
  }

  BackgroundExecutor backgroundExecutor() {
    return backgroundExecutor;
  }

  SecretCipher secretCipher() {
    return secretCipher;
  }

  int maxInFlight() {
    return maxInFlight;
  }

  double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Whether notifications may be sent to the address; false until networks are configured. */
  public boolean allows(InetAddress address) {
    return destinationPolicy != null && destinationPolicy.allows(address);
  }

  /**
   * Creates a policy that allows these networks.
   *
   * @throws IllegalArgumentException naming a network that is not in canonical form
   */
  DestinationPolicy destinationPolicy(Collection<String> networks) {
    return new DestinationPolicy(networks, clusterAddresses);
  }

  List<String> allowedNetworks() {
    return destinationPolicy == null ? List.of() : destinationPolicy.networks();
  }

  /**
   * Applies the stored record of allowed networks; null when it does not exist. Without a readable
   * record no destination is allowed.
   */
  public void setAllowedNetworks(JsonNode value) {
    try {
      destinationPolicy =
          value == null ? null : destinationPolicy(DeliveryWire.parseNetworks(value));
    } catch (MalformedMessageException | IllegalArgumentException e) {
      destinationPolicy = null;
      log.error("Allowed networks unreadable, no destination allowed: error={}", e.getMessage());
    }
  }
}
