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
 * Reads the cloud's list of machines, page by page: adds machines that were not known and releases
 * those that failed or are no longer listed.
 */
final class MachineInventory {
  private static final Logger log = LoggerFactory.getLogger(MachineInventory.class);

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final CloudClient cloud;
  private final MachineReleaser releaser;

  /** When this term began. */
  private final Instant startedAt;

  private boolean listInFlight;

  /** A list that the rate limit has interrupted, or null. */
  private InterruptedList interrupted;

  /** When the first page of the newest complete list was requested. */
  private Instant lastCompleteListAt = Instant.MIN;

  /**
   * A list of which no more pages could be requested at the time.
   *
   * @param after the last name that was read
   * @param begunAt when its first page was requested
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

  /** Requests the list if it is due, or continues one that the rate limit has interrupted. */
  void listMachines(Instant now) {
    // A list of many pages takes its part of the request rate; a short one is requested as often as
    // the cloud renews it.
    long pages = 1L + cluster.machines().size() / CloudWire.PAGE_SIZE;
    Duration interval =
        cluster.settings.cloudLimits().listLag().dividedBy(2).plusSeconds(pages / 2);
    if (listInFlight) {
      return;
    }
    if (interrupted != null) {
      // A list of more pages than the rate allows at once would never complete if begun anew.
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
   * Releases machines that are no longer listed. A machine that was listed stays listed until it is
   * gone. One that is missing from a list too young to be from before it was listed has most likely
   * been reclaimed; its tasks wait for the proof, which its release gives at once. Without this,
   * work on machines reclaimed without a notice waited for the heartbeat timeout.
   *
   * @param last the last name of the page, or null when no more follow
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
   * Whether all machines that existed when this term began are known, with their tasks: a list no
   * older than the term was read to its end, and each machine has sent a heartbeat or its release
   * was confirmed.
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
            case EXPECTED -> machine.rentedByThisLeader;
            case HEARD, RELEASING -> false;
          };
      if (!confirmed) {
        return false;
      }
    }
    return true;
  }
}
