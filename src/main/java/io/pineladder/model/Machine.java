package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/** A machine as the leader knows it. */
public final class Machine {
  /** Where a machine stands. */
  public enum State {
    /** Rented or listed, never heard in this term. */
    EXPECTED,
    /** Heard, but not yet with our token: older orders may still reach it. */
    HEARD,
    /** Heard with our token: what it reports is all there is. */
    CONFIRMED,
    /** Was confirmed and has gone silent. */
    SILENT,
    /** Its return to the cloud has been asked for. */
    RELEASING,
    GONE
  }

  /**
   * Whether what is sent to a machine arrives there. That its reports arrive here does not tell.
   */
  public enum Reachability {
    REACHABLE,
    /** A direct order got no answer, though it reports: none of its orders may arrive. */
    DOUBTFUL,
    /** Its session ended although its reports were answered in time: nothing arrives there. */
    UNREACHABLE
  }

  public final String name;
  public final MachineType type;
  public final String zone;
  public final boolean spot;
  public final Instant createdAt;
  private State state = State.EXPECTED;

  public String address;
  public long agentEpoch;
  public long lastHeartbeatSequence = -1;
  public Instant lastHeartbeatAt;

  /** Its last report came through a peer: it does not reach this node itself. */
  public boolean reachedThroughPeer;

  /** When the cloud takes it away, or null. */
  public Instant reclaimAt;

  /** No new work: it is to be returned. */
  public boolean draining;

  /** Since when it is draining with work on it, as far as that was noticed; or null. */
  public Instant drainingSince;

  /**
   * Its price is worth more than it: no new work, and it is returned once empty unless it is
   * needed.
   */
  public boolean retiring;

  /** An ordinary machine that was rented only because arrays would have been late without it. */
  public boolean rentedForDeadlines;

  /** When this leader first saw it in the cloud's list, or null. */
  public Instant firstListedAt;

  /** The cloud has listed it as running. */
  public boolean listedRunning;

  /** Its state as the cloud lists it said that it stopped by itself. */
  public boolean stoppedByItself;

  /** Attempts that it may list, exited ones included. */
  public final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** What its attempts take, counting everything that may be there. */
  public Resources used = Resources.ZERO;

  /** Room kept for the job that had others stopped here, until that time. */
  public Job reservedFor;

  public Resources reserved = Resources.ZERO;
  public Instant reservationExpiresAt;

  /**
   * When the job it is kept for is thought to start: what ends sooner may run there until then; or
   * null.
   */
  public Instant reservationStartsAt;

  /** Images thought to be cached, the most recently used last, with their size. */
  public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  /** Jobs fail here, and it is not known yet whether it or they are at fault: no new work. */
  public boolean quarantined;

  /** Since when it has had no work, or null. */
  public Instant idleSince;

  /** This leader rented it, so the time of its request is known exactly. */
  public boolean rentedByThisLeader;

  /** It is known from placements that an earlier leader stored. */
  public boolean knownFromPlacements;

  /** A direct order is under way; one at a time. */
  public boolean commandInFlight;

  private Reachability reachability = Reachability.REACHABLE;

  /**
   * Since when it has reported without being known to hear; null while it is, or does not report.
   */
  private Instant unreachableSince;

  /** When its newest report was answered with our token last; null for never. */
  public Instant lastAnsweredAt;

  /** When it was last asked whether it is there, being overdue; null for never. */
  public Instant lastProbedAt;

  /** Reported tasks that nothing is known of hold an unknown amount of it. */
  public boolean hasUnknownTasks;

  public Machine(String name, MachineType type, String zone, boolean spot, Instant since) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.createdAt = since;
  }

  public State state() {
    return state;
  }

  /** The one place where a machine's state changes. */
  public void transitionTo(State next) {
    if (state == State.GONE && next != State.GONE) {
      throw new IllegalStateException(name + " is gone and cannot become " + next);
    }
    if (state == State.RELEASING && next != State.GONE) {
      return;
    }
    if (next == State.SILENT) {
      // That it hears nothing says no more than that it is cut off; a late report is no sign of
      // life.
      unreachableSince = null;
    }
    state = next;
  }

  public Reachability reachability() {
    return reachability;
  }

  /** The one place where what is known of a machine's hearing changes. */
  public void setReachability(Reachability next) {
    if (next == Reachability.REACHABLE) {
      unreachableSince = null;
    }
    reachability = next;
  }

  /** It has reported; for how long it has done so without being known to hear. */
  public Duration trackUnreachable(Instant now) {
    if (reachability == Reachability.REACHABLE) {
      return Duration.ZERO;
    }
    unreachableSince = unreachableSince == null ? now : unreachableSince;
    return Duration.between(unreachableSince, now);
  }

  /**
   * Whether orders may reach it. One whose reports come through a peer gets its orders with the
   * responses, so that direct ones fail says nothing more.
   */
  private boolean isReachable() {
    return switch (reachability) {
      case REACHABLE -> true;
      case DOUBTFUL -> reachedThroughPeer;
      case UNREACHABLE -> false;
    };
  }

  /** Whether work may be given to it, as far as the rules go and what is on it lasts. */
  public boolean isSafeToSchedule() {
    return state == State.CONFIRMED
        && isReachable()
        && !draining
        && reclaimAt == null
        && !hasUnknownTasks;
  }

  /** Whether it is given work: policy keeps it from some machines that might take it. */
  public boolean isSchedulable() {
    return isSafeToSchedule() && !retiring && !quarantined;
  }

  /**
   * Whether it is of this type. Only the name tells: spot prices move, so the type as the cloud
   * last described it is seldom the one that the machine was rented as.
   */
  public boolean hasType(MachineType other) {
    return type.name().equals(other.name());
  }

  public Resources free() {
    return type.capacity().minus(used);
  }

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

  public static String attemptKey(String job, int task, long number) {
    return job + "/" + task + "#" + number;
  }

  @Override
  public String toString() {
    return name;
  }
}
