package io.pineladder.autoscaling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.Records;
import io.pineladder.wire.CloudWire;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases machines to the cloud. The cloud's confirmation is the proof that a machine's tasks are
 * gone; only then may they start elsewhere.
 */
final class MachineReleaser {
  private static final Logger log = LoggerFactory.getLogger(MachineReleaser.class);

  /**
   * How many released machines are remembered, to recognize stale messages about them. Exceeds the
   * size of the largest supported clusters, whose machines may all be released within a short time.
   */
  static final int MAX_TRACKED_RELEASES = 6_000;

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final Records records;
  private final CloudClient cloud;
  private final BootTimeEstimator bootTimes;
  private final BooleanSupplier isLeadingWithValidLease;

  /** The names of released machines, oldest first. */
  private final Set<String> released = new LinkedHashSet<>();

  private final Set<String> pendingReleases = new LinkedHashSet<>();
  private boolean releaseInFlight;

  MachineReleaser(
      ClusterState cluster,
      Scheduler scheduler,
      Records records,
      CloudClient cloud,
      BootTimeEstimator bootTimes,
      BooleanSupplier isLeadingWithValidLease) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.records = records;
    this.cloud = cloud;
    this.bootTimes = bootTimes;
    this.isLeadingWithValidLease = isLeadingWithValidLease;
  }

  /** Whether the cloud has confirmed the machine's release, so its messages are stale. */
  boolean wasReleased(String machine) {
    return released.contains(machine);
  }

  /** Requests the machine's release, unless that was done before. */
  void release(Machine machine) {
    if (machine.state() == Machine.State.RELEASING || machine.state() == Machine.State.GONE) {
      return;
    }
    log.debug(
        "Releasing machine: machine={} state={} attempts={}",
        machine,
        machine.state(),
        machine.attempts.size());
    machine.transitionTo(Machine.State.RELEASING);
    cluster.updateIndexes(machine);
    pendingReleases.add(machine.name);
    sendReleases();
  }

  /** Preempts the machine's tasks, so that it can be released once they have ended. */
  void drain(Machine machine) {
    if (machine.attempts.isEmpty()) {
      release(machine);
      return;
    }
    machine.draining = true;
    cluster.updateIndexes(machine);
    List.copyOf(machine.attempts.values()).forEach(scheduler::preempt);
  }

  /** Requests the releases that the cloud has not confirmed, one request at a time. */
  void sendReleases() {
    if (releaseInFlight || pendingReleases.isEmpty() || !isLeadingWithValidLease.getAsBoolean()) {
      return;
    }
    List<String> names =
        pendingReleases.stream().limit(CloudWire.MAX_MACHINES_PER_RELEASE).toList();
    releaseInFlight =
        cloud.post(
            "/rentals/release",
            CloudWire.releaseRequest(names),
            reply -> {
              releaseInFlight = false;
              if (reply.hasStatus(200)) {
                names.forEach(this::onReleased);
              }
            });
  }

  private void onReleased(String name) {
    pendingReleases.remove(name);
    released.add(name);
    if (released.size() > MAX_TRACKED_RELEASES) {
      released.remove(released.iterator().next());
    }
    Machine machine = cluster.removeMachine(name);
    if (machine == null) {
      return;
    }
    machine.transitionTo(Machine.State.GONE);
    scheduler.faultAttribution().remove(machine);
    bootTimes.forget(machine);
    List<Attempt> lost = List.copyOf(machine.attempts.values());
    records.removePlacements(lost);
    for (Attempt attempt : lost) {
      scheduler.onAttemptGone(attempt, "the machine was released");
    }
  }
}
