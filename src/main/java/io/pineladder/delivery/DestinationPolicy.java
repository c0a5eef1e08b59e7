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
 * Which addresses notices may be sent to: those of listed networks. Whoever may subscribe could
 * otherwise have a controller send requests to what only controllers reach. So loopback, link-local
 * and the cluster's own addresses are denied even within a wider network that is listed; they must
 * be listed by themselves.
 */
public final class DestinationPolicy {
  private static final IPAddressStringParameters PLAIN =
      new IPAddressStringParameters.Builder()
          .allowWildcardedSeparator(false)
          .allowEmpty(false)
          .allowAll(false)
          .allowSingleSegment(false)
          .allowMask(false)
          .setRangeOptions(inet.ipaddr.AddressStringParameters.RangeParameters.NO_RANGE)
          .toParams();

  private final List<IPAddress> networks;
  private final List<IPAddress> own = new ArrayList<>();

  /**
   * Destinations in these networks.
   *
   * @param networks each a network in CIDR form, or an address
   * @param own the cluster's own addresses
   * @throws IllegalArgumentException naming what is no network in canonical form
   */
  public DestinationPolicy(Collection<String> networks, Collection<String> own) {
    this.networks = networks.stream().map(DestinationPolicy::parse).toList();
    own.forEach(address -> this.own.add(parse(address)));
  }

  private static IPAddress parse(String text) {
    IPAddress network;
    try {
      network = new IPAddressString(text, PLAIN).toAddress();
    } catch (AddressStringException | inet.ipaddr.IncompatibleAddressException e) {
      throw new IllegalArgumentException(text + " is no network");
    }
    // Two ways to write one network hide from a reader what is allowed, 010.0.0.1 for one.
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

  /** Whether a notice may be sent to the address. */
  public boolean allows(InetAddress to) {
    IPAddress address = new IPAddressGenerator().from(to);
    if (address.isAnyLocal() || address.isMulticast()) {
      return false;
    }
    for (IPAddress network : networks) {
      if (network.contains(address) && (!isSpecial(address) || isSpecial(network))) {
        return true;
      }
    }
    return false;
  }

  /** Whether all of it is loopback, link-local, or one of the cluster's own addresses. */
  private boolean isSpecial(IPAddress what) {
    return what.isLoopback()
        || what.isLinkLocal()
        || own.stream().anyMatch(each -> each.contains(what));
  }

  /** The networks, as they were given. */
  public List<String> networks() {
    return networks.stream().map(IPAddress::toCanonicalString).toList();
  }
}
