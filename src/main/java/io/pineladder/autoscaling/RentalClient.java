package io.pineladder.autoscaling;

import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.zones.Zones;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines. An unanswered request may have been executed, so it is retried with the same
 * request identifier, which makes it idempotent, until it is answered.
 */
final class RentalClient {
  private static final Logger log = LoggerFactory.getLogger(RentalClient.class);

  /** Sized to replace hundreds of machines that are lost together. */
  private static final int MAX_MACHINES_PER_RENT = 200;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final long term;
  private final CloudClient cloud;
  private final Zones zones;
  private final CapacityRefusals refusals;

  /** Whether the cloud has confirmed the release of the machine with this name. */
  private final Predicate<String> wasReleased;

  /** Requests that have not been answered. */
  private final List<Rental> openRentals = new ArrayList<>();

  private long requestCount;

  private static final class Rental {
    final String requestId;
    final CapacityPool pool;
    final int count;
    final boolean forDeadlines;
    boolean inFlight;

    Rental(String requestId, CapacityPool pool, int count, boolean forDeadlines) {
      this.requestId = requestId;
      this.pool = pool;
      this.count = count;
      this.forDeadlines = forDeadlines;
    }
  }

  /**
   * Creates the client of one term.
   *
   * @param term makes request identifiers unique across terms
   */
  RentalClient(
      ClusterState cluster,
      EventLoop eventLoop,
      long term,
      CloudClient cloud,
      Zones zones,
      CapacityRefusals refusals,
      Predicate<String> wasReleased) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.term = term;
    this.cloud = cloud;
    this.zones = zones;
    this.refusals = refusals;
    this.wasReleased = wasReleased;
  }

  boolean isRequestInFlight() {
    return openRentals.stream().anyMatch(r -> r.inFlight);
  }

  /**
   * Requests machines, spread over the zones, starting with the zones that have the fewest machines
   * of this kind.
   *
   * @param zone the only zone to rent in, or null for all zones of the type
   * @param forDeadlines whether the machines are rented only to start job arrays in time
   */
  void rent(
      MachineType type, String zone, boolean spot, int count, boolean forDeadlines, Instant now) {
    List<CapacityPool> openPools = openPools(type, zone, spot, now);
    int remaining = Math.min(count, MAX_MACHINES_PER_RENT);
    for (int i = 0; i < openPools.size(); i++) {
      int remainingOfPool = (int) Math.ceil((double) remaining / (openPools.size() - i));
      while (remainingOfPool > 0) {
        int batchSize = Math.min(remainingOfPool, CloudWire.MAX_MACHINES_PER_RENTAL);
        String requestId = "c-" + term + "-" + ++requestCount;
        Rental rental = new Rental(requestId, openPools.get(i), batchSize, forDeadlines);
        if (!send(rental)) {
          break;
        }
        openRentals.add(rental);
        remainingOfPool -= batchSize;
        remaining -= batchSize;
      }
    }
  }

  /** The pools to rent from, sorted by the number of such machines in their zones. */
  private List<CapacityPool> openPools(MachineType type, String zone, boolean spot, Instant now) {
    // A machine in an unreachable zone could not be used.
    List<String> candidateZones = new ArrayList<>(zones.rentableZones(type.zones()));
    if (zone != null) {
      candidateZones.retainAll(List.of(zone));
    }
    Map<String, Integer> machinesByZone = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      if (machine.hasType(type) && machine.spot == spot) {
        machinesByZone.merge(machine.zone, 1, Integer::sum);
      }
    }
    candidateZones.sort(Comparator.comparing(z -> machinesByZone.getOrDefault(z, 0)));
    List<CapacityPool> openPools = new ArrayList<>();
    for (String candidate : candidateZones) {
      CapacityPool pool = new CapacityPool(type.name(), candidate, spot);
      if (!refusals.isRefused(pool, now)) {
        openPools.add(pool);
      }
    }
    return openPools;
  }

  /** Retries the requests that were not answered. */
  void resendUnanswered() {
    for (Rental rental : List.copyOf(openRentals)) {
      if (!rental.inFlight) {
        send(rental);
      }
    }
  }

  private boolean send(Rental rental) {
    CapacityPool pool = rental.pool;
    rental.inFlight =
        cloud.post(
            "/rentals",
            CloudWire.rentalRequest(
                rental.requestId, pool.type(), pool.zone(), pool.spot(), rental.count),
            reply -> onRentalReply(rental, reply));
    return rental.inFlight;
  }

  private void onRentalReply(Rental rental, Reply reply) {
    rental.inFlight = false;
    if (!reply.isAnswered()) {
      // The request may have been executed. Retrying it returns the result and rents nothing twice.
      return;
    }
    openRentals.remove(rental);
    if (!reply.hasStatus(200)) {
      if (CloudClient.isCapacityRefusal(reply)) {
        refusals.record(rental.pool);
      }
      return;
    }
    try {
      onRented(rental, CloudWire.parseRentedNames(reply.body()));
    } catch (MalformedMessageException e) {
      log.warn("Rental reply malformed: request={} error={}", rental.requestId, e.getMessage());
    }
  }

  private void onRented(Rental rental, List<String> names) {
    CapacityPool pool = rental.pool;
    log.info(
        "Machines rented: count={} requested={} type={} zone={} spot={}",
        names.size(),
        rental.count,
        pool.type(),
        pool.zone(),
        pool.spot());
    if (names.size() < rental.count) {
      refusals.record(pool);
    }
    for (String name : names) {
      if (cluster.machine(name) == null && !wasReleased.test(name)) {
        MachineType type = cluster.type(pool.type());
        Machine machine = new Machine(name, type, pool.zone(), pool.spot(), eventLoop.now());
        machine.requestedInThisTerm = true;
        machine.provisionedForDeadlines = rental.forDeadlines;
        cluster.addMachine(machine);
      }
    }
  }
}
