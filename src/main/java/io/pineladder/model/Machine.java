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
  public enum Hearing {
    HEARS,
    /** A direct order got no answer, though it reports: none of its orders may arrive. */
    DOUBTED,
    /** Its session ended although its reports were answered in time: nothing arrives there. */
    DEAF
  }

  public final String name;
  public final MachineType type;
  public final String zone;
  public final boolean spot;
  public final Instant since;
  private State state = State.EXPECTED;

  public String address;
  public long session;
  public long sequence = -1;
  public Instant heardAt;

  /** Its last report came through a peer: it does not reach this node itself. */
  public boolean relayed;

  /** When the cloud takes it away, or null. */
  public Instant takenAt;

  /** No new work: it is to be returned. */
  public boolean draining;

  /** Since when it is draining with work on it, as far as that was noticed; or null. */
  public Instant drainsSince;

  /**
   * Its price is worth more than it: no new work, and it is returned once empty unless it is
   * needed.
   */
  public boolean spared;

  /** An ordinary machine that was rented only because arrays would have been late without it. */
  public boolean surge;

  /** When this leader first saw it in the cloud's list, or null. */
  public Instant listedAt;

  /** The cloud has listed it as running. */
  public boolean listedRunning;

  /** Its state as the cloud lists it said that it stopped by itself. */
  public boolean failed;

  /** Attempts that it may list, exited ones included. */
  public final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** What its attempts take, counting everything that may be there. */
  public Resources used = Resources.NONE;

  /** Room kept for the job that had others stopped here, until that time. */
  public Job reservedFor;

  public Resources reserved = Resources.NONE;
  public Instant reservedUntil;

  /**
   * When the job it is kept for is thought to start: what ends sooner may run there until then; or
   * null.
   */
  public Instant reservedStart;

  /** Images thought to be cached, the most recently used last, with their size. */
  public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  /** Jobs fail here, and it is not known yet whether it or they are at fault: no new work. */
  public boolean suspect;

  /** Since when it has had no work, or null. */
  public Instant idleSince;

  /** This leader rented it, so the time of its request is known exactly. */
  public boolean rentedHere;

  /** It is known from placements that an earlier leader stored. */
  public boolean recorded;

  /** A direct order is under way; one at a time. */
  public boolean ordering;

  private Hearing hearing = Hearing.HEARS;

  /**
   * Since when it has reported without being known to hear; null while it is, or does not report.
   */
  private Instant deafSince;

  /** When its newest report was answered with our token last; null for never. */
  public Instant answeredAt;

  /** When it was last asked whether it is there, being overdue; null for never. */
  public Instant probedAt;

  /** Reported tasks that nothing is known of hold an unknown amount of it. */
  public boolean strangers;

  public Machine(String name, MachineType type, String zone, boolean spot, Instant since) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.since = since;
  }

  public State state() {
    return state;
  }

  /** The one place where a machine's state changes. */
  public void moveTo(State next) {
    if (state == State.GONE && next != State.GONE) {
      throw new IllegalStateException(name + " is gone and cannot become " + next);
    }
    if (state == State.RELEASING && next != State.GONE) {
      return;
    }
    if (next == State.SILENT) {
      // That it hears nothing says no more than that it is cut off; a late report is no sign of
      // life.
      deafSince = null;
    }
    state = next;
  }

  public Hearing hearing() {
    return hearing;
  }

  /** The one place where what is known of a machine's hearing changes. */
  public void hear(Hearing next) {
    if (next == Hearing.HEARS) {
      deafSince = null;
    }
    hearing = next;
  }

  /** It has reported; for how long it has done so without being known to hear. */
  public Duration reportsUnhearing(Instant now) {
    if (hearing == Hearing.HEARS) {
      return Duration.ZERO;
    }
    deafSince = deafSince == null ? now : deafSince;
    return Duration.between(deafSince, now);
  }

  /**
   * Whether orders may reach it. One whose reports come through a peer gets its orders with the
   * responses, so that direct ones fail says nothing more.
   */
  private boolean mayHear() {
    return switch (hearing) {
      case HEARS -> true;
      case DOUBTED -> relayed;
      case DEAF -> false;
    };
  }

  /** Whether work may be given to it, as far as the rules go and what is on it lasts. */
  public boolean mayTakeWork() {
    return state == State.CONFIRMED && mayHear() && !draining && takenAt == null && !strangers;
  }

  /** Whether it is given work: policy keeps it from some machines that might take it. */
  public boolean takesWork() {
    return mayTakeWork() && !spared && !suspect;
  }

  /**
   * Whether it is of this type. Only the name tells: spot prices move, so the type as the cloud
   * last described it is seldom the one that the machine was rented as.
   */
  public boolean isOf(MachineType other) {
    return type.name().equals(other.name());
  }

  public Resources free() {
    return type.size().minus(used);
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

  public static String key(String job, int task, long number) {
    return job + "/" + task + "#" + number;
  }

  @Override
  public String toString() {
    return name;
  }
}
