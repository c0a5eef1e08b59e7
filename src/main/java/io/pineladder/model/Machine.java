package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A machine as the leader knows it. Used on the event loop's thread only; after a change of what
 * decides whether work may be placed on it, the indexes of the cluster state have to be updated.
 */
public final class Machine {
  /** The life cycle of a machine. Shown to operators by these names. */
  public enum State {
    /** Rented or listed; no heartbeat in this term yet. */
    EXPECTED,
    /** Heartbeats without this leader's token: earlier leaders' commands may still reach it. */
    HEARD,
    /** Heartbeats with this leader's token: it runs what it reports and nothing else. */
    CONFIRMED,
    /** Was confirmed, and its heartbeats have ceased. */
    SILENT,
    /** Its return to the cloud was requested. */
    RELEASING,
    /** No longer in the cluster. */
    GONE
  }

  /** Whether commands arrive at the machine, of which its heartbeats are no proof. */
  public enum Reachability {
    /** No sign that commands do not arrive. */
    REACHABLE,
    /** A direct command got no answer although heartbeats come: commands may not arrive. */
    DOUBTFUL,
    /** Its agent epoch ended although its heartbeats were answered in time: nothing arrives. */
    UNREACHABLE
  }

  /** The cloud's name for it, unique in the cluster. */
  public final String name;

  /** Its type, with the prices of when it was rented or first listed. */
  public final MachineType type;

  /** Its zone. */
  public final String zone;

  /** Whether it is a spot machine, which the cloud may reclaim at any time. */
  public final boolean spot;

  /** When this leader learned of it. */
  public final Instant createdAt;

  private State state = State.EXPECTED;

  /** Where its agent takes commands; null before the first heartbeat. */
  public String address;

  /** The agent epoch (session) of the last heartbeat; 0 before any. */
  public long agentEpoch;

  /** The sequence number of the last heartbeat in its epoch; -1 before any. */
  public long lastHeartbeatSequence = -1;

  /** When the last heartbeat came; null before any. */
  public Instant lastHeartbeatAt;

  /** Its last heartbeat came through another controller: it cannot reach this one itself. */
  public boolean reachedThroughPeer;

  /** When the cloud reclaims it; null when no reclaim is announced. */
  public Instant reclaimAt;

  /** It gets no new work, and is to be returned. */
  public boolean draining;

  /** Since when it has been seen draining with work on it; null for never. */
  public Instant drainingSince;

  /**
   * It costs more than it is worth: it gets no new work, and is returned once empty unless its
   * capacity is needed again.
   */
  public boolean retiring;

  /** An on-demand machine that was rented only because arrays would have been late without it. */
  public boolean rentedForDeadlines;

  /** When it first was in the cloud's list in this term; null for never. */
  public Instant firstListedAt;

  /** The cloud has listed it as running. */
  public boolean listedRunning;

  /** The cloud has listed it as stopped by itself. */
  public boolean listedFailed;

  /** The attempts that it may list, by key, exited ones included. */
  public final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** What all attempts that may be on it hold. */
  public Resources used = Resources.ZERO;

  private Job reservedFor;
  private Resources reserved = Resources.ZERO;
  private Instant reservationExpiresAt;
  private Instant reservationStartsAt;

  /** Images that should be cached, the most recently used last, with their size in GB. */
  public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  /** Jobs fail on it, and whose fault that is is not known yet: it gets no new work. */
  public boolean quarantined;

  /** Since when it has had no work; null while it has some. */
  public Instant idleSince;

  /** It was rented in this term, so the time of the request is known exactly. */
  public boolean rentedByThisLeader;

  /** It is named by placements that an earlier leader stored. */
  public boolean knownFromPlacements;

  /** A direct command awaits its answer; there is one at a time. */
  public boolean commandInFlight;

  private Reachability reachability = Reachability.REACHABLE;

  /** Since when heartbeats have come without a sign that commands arrive; null otherwise. */
  private Instant unreachableSince;

  /** When its newest heartbeat was last answered with this leader's token; null for never. */
  public Instant lastAnsweredAt;

  /** When it was last probed since its heartbeat was overdue; null for never. */
  public Instant lastProbedAt;

  /** It reports tasks that no record names, which hold an unknown part of its capacity. */
  public boolean hasUnknownTasks;

  /** A machine that is expected. */
  public Machine(String name, MachineType type, String zone, boolean spot, Instant since) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.createdAt = since;
  }

  /** The present state. */
  public State state() {
    return state;
  }

  /**
   * Changes the state; this is the only place where it changes. A machine that is being returned
   * ignores all transitions but the last.
   *
   * @throws IllegalStateException if the machine is gone
   */
  public void transitionTo(State next) {
    if (state == State.GONE && next != State.GONE) {
      throw new IllegalStateException(name + " is gone and cannot become " + next);
    }
    if (state == State.RELEASING && next != State.GONE) {
      return;
    }
    if (next == State.SILENT) {
      // Silence says no more than that it is cut off; a late heartbeat is no sign of life.
      unreachableSince = null;
    }
    state = next;
  }

  /** Whether commands arrive at it, as far as is known. */
  public Reachability reachability() {
    return reachability;
  }

  /** Changes the reachability; this is the only place where it changes. */
  public void setReachability(Reachability next) {
    if (next == Reachability.REACHABLE) {
      unreachableSince = null;
    }
    reachability = next;
  }

  /** A heartbeat has come: for how long they have come without a sign that commands arrive. */
  public Duration trackUnreachable(Instant now) {
    if (reachability == Reachability.REACHABLE) {
      return Duration.ZERO;
    }
    unreachableSince = unreachableSince == null ? now : unreachableSince;
    return Duration.between(unreachableSince, now);
  }

  /**
   * Whether commands may reach it. A machine whose heartbeats come through another controller gets
   * its commands with the responses, so a failure of direct ones is no further evidence.
   */
  private boolean isReachable() {
    return switch (reachability) {
      case REACHABLE -> true;
      case DOUBTFUL -> reachedThroughPeer;
      case UNREACHABLE -> false;
    };
  }

  /** Whether work may be placed on it without breaking a rule or losing it soon. */
  public boolean isSafeToSchedule() {
    return state == State.CONFIRMED
        && isReachable()
        && !draining
        && reclaimAt == null
        && !hasUnknownTasks;
  }

  /** Whether work is placed on it: it is safe to, and policy does not exclude it. */
  public boolean isSchedulable() {
    return isSafeToSchedule() && !retiring && !quarantined;
  }

  /**
   * Whether it is of this type. Only the names are compared: spot prices change, so the type as the
   * cloud describes it now is seldom equal to the one that the machine was rented as.
   */
  public boolean hasType(MachineType other) {
    return type.name().equals(other.name());
  }

  /** The capacity that no attempt holds, whether reserved or not. */
  public Resources free() {
    return type.capacity().minus(used);
  }

  /** Reserves capacity for one task of the job, in place of any other reservation. */
  public void reserve(Job job, Instant expiresAt) {
    reservedFor = job;
    reserved = job.spec.resourcesPerTask();
    reservationExpiresAt = expiresAt;
    reservationStartsAt = null;
  }

  /** Sets when the job that holds the reservation should start: until then others may run here. */
  public void setReservationStart(Instant startsAt) {
    reservationStartsAt = startsAt;
  }

  /** Cancels the reservation, if there is one. */
  public void cancelReservation() {
    reservedFor = null;
    reserved = Resources.ZERO;
  }

  /** The job that capacity is reserved for, though the reservation may have expired; or null. */
  public Job reservedFor() {
    return reservedFor;
  }

  /** Whether capacity is reserved for the job now. */
  public boolean isReservedFor(Job job, Instant now) {
    return reservedFor == job && reservationExpiresAt.isAfter(now);
  }

  /** Whether capacity is reserved for another job now. */
  public boolean isReservedForOther(Job job, Instant now) {
    return reservedFor != null && reservedFor != job && reservationExpiresAt.isAfter(now);
  }

  /** What is reserved, though the reservation may have expired. */
  public Resources reserved() {
    return reserved;
  }

  /** When the job that holds the reservation should start; null when that is not known. */
  public Instant reservationStartsAt() {
    return reservationStartsAt;
  }

  /** Marks an image as used last, and drops the least recently used that exceed the cache. */
  public void touchImage(String image, double gb) {
    images.remove(image);
    images.put(image, gb);
    double total = 0;
    for (double each : images.values()) {
      total += each;
    }
    var oldest = images.entrySet().iterator();
    while (total > type.cacheGb() && oldest.hasNext() && images.size() > 1) {
      total -= oldest.next().getValue();
      oldest.remove();
    }
  }

  /** The key of an attempt among those of its machine. */
  public static String attemptKey(String job, int task, long number) {
    return job + "/" + task + "#" + number;
  }

  @Override
  public String toString() {
    return name;
  }
}
