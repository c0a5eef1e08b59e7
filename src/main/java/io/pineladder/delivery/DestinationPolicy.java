package io.pineladder.delivery;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork.IPAddressGenerator;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.IPAddressStringParameters;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Allowlist of the networks that notifications may be sent to. Guards against server-side request
 * forgery: a subscription could otherwise make a controller send requests to addresses that only
 * controllers can reach. Loopback, link-local and the cluster's own addresses are therefore denied
 * even within a wider network that is listed; they must be listed explicitly.
 */
public final class DestinationPolicy {
  private static final IPAddressStringParameters STRICT_NOTATION =
      new IPAddressStringParameters.Builder()
          .allowWildcardedSeparator(false)
          .allowEmpty(false)
          .allowAll(false)
          .allowSingleSegment(false)
          .allowMask(false)
          .setRangeOptions(inet.ipaddr.AddressStringParameters.RangeParameters.NO_RANGE)
          .toParams();

  private final List<IPAddress> networks;
  private final List<IPAddress> clusterAddresses = new ArrayList<>();

  /**
   * Creates a policy that allows these networks.
   *
   * @param networks networks in CIDR notation, or single addresses
   * @param clusterAddresses the cluster's own addresses
   * @throws IllegalArgumentException naming a network that is not in canonical form
   */
  public DestinationPolicy(Collection<String> networks, Collection<String> clusterAddresses) {
    this.networks = networks.stream().map(DestinationPolicy::parse).toList();
    clusterAddresses.forEach(address -> this.clusterAddresses.add(parse(address)));
  }

  private static IPAddress parse(String text) {
    IPAddress network;
    try {
      network = new IPAddressString(text, STRICT_NOTATION).toAddress();
    } catch (AddressStringException | inet.ipaddr.IncompatibleAddressException e) {
      throw new IllegalArgumentException(text + " is no network");
    }
    // Ambiguous notations such as 010.0.0.1 obscure what is allowed, so only one form is accepted.
    if (network == null || (network.isAnyLocal() && !network.isMultiple())) {
      throw new IllegalArgumentException(text + " is no network");
    }
    if (!network.toCanonicalString().equals(text)) {
      throw new IllegalArgumentException(
          text + " is not in canonical form, which is " + network.toCanonicalString());
    }
    if (network.isPrefixed() && !network.isPrefixBlock()) {
      throw new IllegalArgumentException(text + " has bits set beyond its prefix");
    }
    return network;
  }

  /** Whether notifications may be sent to the address. */
  public boolean allows(InetAddress to) {
    IPAddress address = new IPAddressGenerator().from(to);
    if (address.isAnyLocal() || address.isMulticast()) {
      return false;
    }
    for (IPAddress network : networks) {
      if (network.contains(address) && (!isRestricted(address) || isRestricted(network))) {
        return true;
      }
    }
    return false;
  }

  /** Whether a network or address is entirely loopback, link-local, or the cluster's own. */
  private boolean isRestricted(IPAddress network) {
    return network.isLoopback()
        || network.isLinkLocal()
        || clusterAddresses.stream().anyMatch(address -> address.contains(network));
  }

  public List<String> networks() {
    return networks.stream().map(IPAddress::toCanonicalString).toList();
  }
}
