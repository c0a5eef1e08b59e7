package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader's view of a machine. Event thread only. After a change that affects whether work may
 * be placed on the machine, the indexes of the cluster state must be updated.
 */
public final class Machine {
  /** The life cycle of a machine. The names are shown to operators. */
  public enum State {
    /** Requested from the cloud or listed by it; no heartbeat in this term yet. */
    EXPECTED,
    /**
     * Sends heartbeats without this leader's fencing token, so it may still accept commands of
     * earlier leaders.
     */
    HEARD,
    /** Sends heartbeats with this leader's fencing token, so it runs only what it reports. */
    CONFIRMED,
    /** Was confirmed, but heartbeats are overdue. */
    SILENT,
    /** Its release to the cloud was requested. */
    RELEASING,
    /** No longer in the cluster. */
    GONE
  }

  /** Whether commands reach the machine, which heartbeats alone do not prove. */
  public enum Reachability {
    /** There is no evidence that commands fail to arrive. */
    REACHABLE,
    /** A direct command was unanswered although heartbeats arrive. */
    DOUBTFUL,
    /** The agent epoch ended although heartbeats were answered in time, so no answer arrives. */
    UNREACHABLE
  }

  /** The name assigned by the cloud, unique in the cluster. */
  public final String name;

  /** The machine type, with the prices at the time when it was requested or first listed. */
  public final MachineType type;

  public final String zone;

  /** Whether it is a spot machine, which the cloud may reclaim at any time. */
  public final boolean spot;

  /** When this leader first knew of the machine. */
  public final Instant createdAt;

  private State state = State.EXPECTED;

  /** The address of the agent for direct commands; null if unknown. */
  public String address;

  /** The agent epoch of the last heartbeat; 0 before any. */
  public long agentEpoch;

  /** The sequence number of the last heartbeat in its epoch; -1 before any. */
  public long lastHeartbeatSequence = -1;

  /** When the last heartbeat was received; null before any. */
  public Instant lastHeartbeatAt;

  /**
   * The last heartbeat was forwarded by another controller, since the machine cannot reach this
   * one.
   */
  public boolean reachedThroughPeer;

  /** When the cloud will reclaim the spot machine; null if no reclaim is announced. */
  public Instant reclaimAt;

  /** Gets no new work and will be released. */
  public boolean draining;

  /** Since when the machine has been draining with work on it; null if never. */
  public Instant drainingSince;

  /**
   * Not cost-effective: gets no new work, and is released once it is idle unless its capacity is
   * needed again.
   */
  public boolean retiring;

  /** An on-demand machine requested only because arrays would have missed their deadlines. */
  public boolean provisionedForDeadlines;

  /** When the cloud first listed the machine in this term; null if never. */
  public Instant firstListedAt;

  /** The cloud has listed the machine as running. */
  public boolean listedRunning;

  /** The cloud has listed the machine as failed. */
  public boolean listedFailed;

  /** The attempts that heartbeats may list, by key, including exited ones. */
  public final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** Makes the worker refuse copies of requests whose attempts it has forgotten. */
  public final CommandFence commandFence = new CommandFence();

  /** The resources held by all attempts that may be on the machine. */
  public Resources used = Resources.ZERO;

  private Job reservedFor;
  private Resources reserved = Resources.ZERO;
  private Instant reservationExpiresAt;
  private Instant reservationStartsAt;

  /** Images assumed to be cached, with their sizes in GB; the most recently used last. */
  public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  /** Gets no new work, since jobs have failed on it and the cause is not known yet. */
  public boolean quarantined;

  /** Since when the machine has been idle; null while it has work. */
  public Instant idleSince;

  /** Requested in this term, so the time of the request is known exactly. */
  public boolean requestedInThisTerm;

  /** Referenced by placements that an earlier leader stored. */
  public boolean knownFromPlacements;

  /** A direct command is unanswered; there is at most one at a time. */
  public boolean commandInFlight;

  private Reachability reachability = Reachability.REACHABLE;

  /** Since when heartbeats have arrived without evidence that commands do; null if reachable. */
  private Instant unreachableSince;

  /** When its newest heartbeat was last answered with this leader's token; null if never. */
  public Instant lastAnsweredAt;

  /** When it was last probed because of an overdue heartbeat; null if never. */
  public Instant lastProbedAt;

  /** Reports tasks without a record, which hold an unknown amount of its capacity. */
  public boolean hasUnknownTasks;

  /** Creates a machine in state {@link State#EXPECTED}. */
  public Machine(String name, MachineType type, String zone, boolean spot, Instant createdAt) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.createdAt = createdAt;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /**
   * Changes the state; it changes nowhere else. In state {@link State#RELEASING} all transitions
   * except to {@link State#GONE} are ignored.
   *
   * @throws IllegalStateException if the machine is gone
   */
  public void transitionTo(State next) {
    if (state == State.GONE && next != State.GONE) {
      throw new IllegalStateException(
          "machine " + name + " is gone and cannot transition to " + next);
    }
    if (state == State.RELEASING && next != State.GONE) {
      return;
    }
    state = next;
  }

  /** Whether commands reach the machine, as far as is known. */
  public Reachability reachability() {
    return reachability;
  }

  /** Changes the reachability; it changes nowhere else. */
  public void setReachability(Reachability next) {
    if (next == Reachability.REACHABLE) {
      unreachableSince = null;
    }
    reachability = next;
  }

  /**
   * Returns for how long heartbeats have arrived without evidence that commands do, and starts that
   * period at {@code now} if it has not started; zero if the machine is reachable.
   */
  public Duration trackUnreachable(Instant now) {
    if (reachability == Reachability.REACHABLE) {
      return Duration.ZERO;
    }
    unreachableSince = unreachableSince == null ? now : unreachableSince;
    return Duration.between(unreachableSince, now);
  }

  /** Heartbeats are overdue, so those before must not count toward the unreachable period. */
  public void onHeartbeatTimeout() {
    unreachableSince = null;
    if (state == State.CONFIRMED) {
      transitionTo(State.SILENT);
    }
  }

  /**
   * Whether commands may reach the machine. If another controller forwards its heartbeats, commands
   * are sent with the responses, so the failure of a direct command is not conclusive.
   */
  private boolean isReachable() {
    return switch (reachability) {
      case REACHABLE -> true;
      case DOUBTFUL -> reachedThroughPeer;
      case UNREACHABLE -> false;
    };
  }

  /** Whether work placed on the machine now violates no rule and is not about to be lost. */
  public boolean isSafeToSchedule() {
    return state == State.CONFIRMED
        && isReachable()
        && !draining
        && reclaimAt == null
        && !hasUnknownTasks;
  }

  /** Whether the machine accepts work: placement is safe, and no policy excludes the machine. */
  public boolean isSchedulable() {
    return isSafeToSchedule() && !retiring && !quarantined;
  }

  /**
   * Whether the machine is of that type. Compares names only, since prices of a type change over
   * time and {@link #type} has those of an earlier time.
   */
  public boolean hasType(MachineType machineType) {
    return type.name().equals(machineType.name());
  }

  /** The capacity that is not held by attempts, whether reserved or not. */
  public Resources free() {
    return type.capacity().minus(used);
  }

  /** Reserves capacity for one task of the job, replacing any other reservation. */
  public void reserve(Job job, Instant expiresAt) {
    reservedFor = job;
    reserved = job.spec.resourcesPerTask();
    reservationExpiresAt = expiresAt;
    reservationStartsAt = null;
  }

  /**
   * Sets when the job with the reservation is expected to start; other tasks may run until then.
   */
  public void setReservationStart(Instant startsAt) {
    reservationStartsAt = startsAt;
  }

  /** Cancels the reservation, if any. */
  public void cancelReservation() {
    reservedFor = null;
    reserved = Resources.ZERO;
  }

  /** The job for which capacity is reserved; null if none. The reservation may have expired. */
  public Job reservedFor() {
    return reservedFor;
  }

  /** Whether there is an unexpired reservation for the job. */
  public boolean isReservedFor(Job job, Instant now) {
    return reservedFor == job && reservationExpiresAt.isAfter(now);
  }

  /** Whether there is an unexpired reservation for another job. */
  public boolean isReservedForOther(Job job, Instant now) {
    return reservedFor != null && reservedFor != job && reservationExpiresAt.isAfter(now);
  }

  /** The reserved resources; the reservation may have expired. */
  public Resources reserved() {
    return reserved;
  }

  /** When the job with the reservation is expected to start; null if not known. */
  public Instant reservationStartsAt() {
    return reservationStartsAt;
  }

  /**
   * Marks an image as most recently used, and evicts least recently used ones beyond the cache
   * size.
   */
  public void touchImage(String image, double gb) {
    images.remove(image);
    images.put(image, gb);
    double total = 0;
    for (double imageGb : images.values()) {
      total += imageGb;
    }
    var oldest = images.entrySet().iterator();
    while (total > type.cacheGb() && oldest.hasNext() && images.size() > 1) {
      total -= oldest.next().getValue();
      oldest.remove();
    }
  }

  /** The number of ended attempts that the worker has not been told to forget, or still lists. */
  public long countEndedAttempts() {
    return attempts.values().stream()
        .filter(attempt -> attempt.state() == Attempt.State.EXITED)
        .count();
  }

  /** The key of an attempt within its machine. */
  public static String attemptKey(String job, int task, long number) {
    return job + "/" + task + "#" + number;
  }

  @Override
  public String toString() {
    return name;
  }
}
