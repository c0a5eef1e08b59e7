package io.pineladder.autoscaling;

import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the cloud's list of machines page by page, adds unknown machines, and releases machines
 * that failed or are no longer listed.
 */
final class MachineInventory {
  private static final Logger log = LoggerFactory.getLogger(MachineInventory.class);

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final CloudClient cloud;
  private final MachineReleaser releaser;

  /** When the term started. */
  private final Instant startedAt;

  private boolean listInFlight;

  /** A list whose next page could not be requested because of the rate limit, or null. */
  private InterruptedList interrupted;

  /** When the first page of the latest complete list was requested. */
  private Instant lastCompleteListAt = Instant.MIN;

  /**
   * The position at which reading a list was interrupted.
   *
   * @param after the last machine name that was read
   * @param begunAt when the first page of the list was requested
   */
  private record InterruptedList(String after, Instant begunAt) {}

  MachineInventory(
      ClusterState cluster,
      EventLoop eventLoop,
      CloudClient cloud,
      MachineReleaser releaser,
      Instant startedAt) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.cloud = cloud;
    this.releaser = releaser;
    this.startedAt = startedAt;
  }

  /** Requests the list if it is due, or continues an interrupted one. */
  void listMachines(Instant now) {
    // A short list is requested at the rate at which the cloud refreshes it; a list of many pages
    // less often, since each page uses up part of the request rate.
    long pages = 1L + cluster.machines().size() / CloudWire.PAGE_SIZE;
    Duration interval =
        cluster.settings.cloudLimits().listLag().dividedBy(2).plusSeconds(pages / 2);
    if (listInFlight) {
      return;
    }
    if (interrupted != null) {
      // Restarting would never complete a list with more pages than the rate limit's burst.
      listInFlight = requestPage(interrupted.after, interrupted.begunAt);
    } else if (!now.isBefore(lastCompleteListAt.plus(interval))) {
      listInFlight = requestPage("", now);
    }
  }

  private boolean requestPage(String after, Instant listBegunAt) {
    String path =
        "/rentals?page=" + CloudWire.PAGE_SIZE + (after.isEmpty() ? "" : "&since=" + after);
    Instant sentAt = eventLoop.now();
    interrupted = null;
    boolean sent = cloud.get(path, reply -> onPage(reply, after, listBegunAt, sentAt));
    if (!sent && !after.isEmpty()) {
      interrupted = new InterruptedList(after, listBegunAt);
    }
    return sent;
  }

  private void onPage(Reply reply, String after, Instant listBegunAt, Instant sentAt) {
    listInFlight = false;
    if (!reply.hasStatus(200)) {
      return;
    }
    try {
      CloudWire.Page page = CloudWire.parsePage(reply.body());
      page.machines().forEach(this::onListed);
      boolean more = page.hasMore() && !page.machines().isEmpty();
      String last = more ? page.machines().get(page.machines().size() - 1).name() : null;
      releaseMissing(page, after, last, sentAt);
      if (more) {
        listInFlight = requestPage(last, listBegunAt);
      } else {
        lastCompleteListAt = listBegunAt;
      }
    } catch (MalformedMessageException e) {
      log.warn("Machine list malformed: error={}", e.getMessage());
    }
  }

  /**
   * Releases machines that are no longer listed. A machine stays listed until it is gone, so a
   * machine that was listed before and is missing from a sufficiently recent list has most likely
   * been reclaimed. Confirming its release lets its tasks start elsewhere without waiting for the
   * heartbeat timeout.
   *
   * @param last the last machine name of the page, or null if this is the last page
   */
  private void releaseMissing(CloudWire.Page page, String after, String last, Instant sentAt) {
    Set<String> names = new HashSet<>();
    page.machines().forEach(listed -> names.add(listed.name()));
    Instant knownBefore =
        sentAt.minus(cluster.settings.cloudLimits().listLag().multipliedBy(2)).minusSeconds(1);
    List<Machine> missing = new ArrayList<>();
    for (Machine machine : cluster.machinesBetween(after, last)) {
      Instant knownSince = machine.knownFromPlacements ? startedAt : machine.firstListedAt;
      boolean stillRented =
          machine.state() != Machine.State.RELEASING && !names.contains(machine.name);
      if (stillRented && knownSince != null && knownSince.isBefore(knownBefore)) {
        missing.add(machine);
      }
    }
    if (!missing.isEmpty()) {
      log.info("Machines no longer listed: count={}", missing.size());
      for (Machine machine : missing) {
        if (machine.spot && machine.reclaimAt == null) {
          cluster.spotRisk.recordReclaim();
        }
        releaser.release(machine);
      }
    }
  }

  private void onListed(CloudWire.ListedMachine listed) {
    if (releaser.wasReleased(listed.name())) {
      return;
    }
    Machine machine = cluster.machine(listed.name());
    if (machine == null) {
      MachineType type = cluster.type(listed.type());
      if (type == null) {
        return;
      }
      Instant createdAt = eventLoop.now().minus(listed.age());
      machine = new Machine(listed.name(), type, listed.zone(), listed.spot(), createdAt);
      machine.address = listed.address();
      cluster.addMachine(machine);
    }
    if (machine.address == null) {
      machine.address = listed.address();
    }
    if (machine.firstListedAt == null) {
      machine.firstListedAt = eventLoop.now();
    }
    machine.listedRunning |= listed.status() == CloudWire.MachineStatus.RUNNING;
    if (listed.status() == CloudWire.MachineStatus.FAILED && !machine.listedFailed) {
      machine.listedFailed = true;
      log.info("Machine failed: machine={}", machine);
      releaser.release(machine);
    }
  }

  /**
   * Whether all machines that existed at the start of the term are known, with their tasks: a list
   * that is no older than the term was read completely, and each machine has either sent a
   * heartbeat or been released.
   */
  boolean isConfirmed() {
    Duration lag = cluster.settings.cloudLimits().listLag();
    if (!lastCompleteListAt.isAfter(startedAt.plus(lag.multipliedBy(2)).plusSeconds(1))) {
      return false;
    }
    for (Machine machine : cluster.machines()) {
      boolean confirmed =
          switch (machine.state()) {
            case CONFIRMED, SILENT, GONE -> true;
            case EXPECTED -> machine.requestedInThisTerm;
            case HEARD, RELEASING -> false;
          };
      if (!confirmed) {
        return false;
      }
    }
    return true;
  }
}
