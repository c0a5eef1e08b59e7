package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Map;

/**
 * One start of a task on a machine, from the placement decision until the attempt is proven gone.
 * Used on the event loop's thread only.
 */
public final class Attempt {
  /** The life cycle of an attempt. */
  public enum State {
    /** Decided; the placement is not stored yet, so no start may be sent. */
    PLACEMENT_PENDING,
    /** Stored; the machine has not reported the attempt, which may be there. */
    PLACEMENT_STORED,
    /** Read from the store by a new leader; the machine has not used this leader's token yet. */
    RECOVERED,
    /** The machine fetches the task's image. */
    FETCHING_IMAGE,
    /** Ready, and waiting for the other tasks of its gang. */
    WAITING_FOR_GANG,
    /** The task runs. */
    RUNNING,
    /** Being stopped, and saving its checkpoint within the grace period. */
    SAVING_CHECKPOINT,
    /** Ended on the machine, which still lists it. */
    EXITED,
    /** Proven not to be on the machine, now or later. */
    GONE
  }

  private static final EnumSet<State> OBSERVED_STATES =
      EnumSet.of(
          State.FETCHING_IMAGE,
          State.WAITING_FOR_GANG,
          State.RUNNING,
          State.SAVING_CHECKPOINT,
          State.EXITED);
  private static final Map<State, EnumSet<State>> ALLOWED_TRANSITIONS =
      Map.of(
          State.PLACEMENT_PENDING, EnumSet.of(State.PLACEMENT_STORED, State.GONE),
          State.PLACEMENT_STORED, observedOr(State.GONE),
          State.RECOVERED, observedOr(State.GONE),
          State.FETCHING_IMAGE, observedOr(State.GONE),
          State.WAITING_FOR_GANG, observedOr(State.GONE),
          State.RUNNING, observedOr(State.GONE),
          State.SAVING_CHECKPOINT, observedOr(State.GONE),
          State.EXITED, EnumSet.of(State.GONE),
          State.GONE, EnumSet.noneOf(State.class));

  private static EnumSet<State> observedOr(State also) {
    EnumSet<State> set = EnumSet.copyOf(OBSERVED_STATES);
    set.add(also);
    return set;
  }

  /** The job whose task this is. */
  public final Job job;

  /** The task's index, from 0. */
  public final int task;

  /** The attempt number, unique among all terms; the tasks of a gang share one. */
  public final long number;

  /** The machine that it was placed on. */
  public final Machine machine;

  /** When it was placed, or read from the store. */
  public final Instant createdAt;

  /** The key of the attempt among those of its machine. */
  public final String key;

  /** The number, among all heartbeats handled, of the last one that listed it. */
  public long lastListingHeartbeat;

  private State state;

  /** Why it ended; null until it has exited. */
  public EndReason endReason;

  private Duration killGracePeriod;
  private Instant killedAt;
  private boolean killSent;

  /** When it was first reported as running; null before. */
  public Instant runningSince;

  /** When its image should be cached on the machine. */
  public Instant imageReadyAt;

  /** The agent epoch that the last start was addressed to; 0 before any. */
  public long startAgentEpoch;

  /** The sequence number of the heartbeat whose response carried the last start; -1 for none. */
  public long startHeartbeatSequence = -1;

  /** A start was sent directly, not in a heartbeat's response, and has not been answered. */
  public boolean directStartPending;

  /**
   * A direct start got no answer: it may still arrive at any time within this agent epoch and
   * fencing token. The absence of such an attempt is no proof that it is gone, and it is never
   * forgotten.
   */
  public boolean startUnconfirmed;

  /** The end is handled and, where that matters, stored: the worker may forget the attempt. */
  public boolean endProcessed;

  /** The attempt whose completion of the task is stored once this one is gone; or null. */
  public Attempt completedBy;

  /** An attempt in its first state. */
  public Attempt(Job job, int task, long number, Machine machine, Instant since, State first) {
    this.job = job;
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.createdAt = since;
    this.key = Machine.attemptKey(job.spec.id(), task, number);
    this.imageReadyAt = since;
    this.state = first;
  }

  /** The present state. */
  public State state() {
    return state;
  }

  /**
   * Changes the state; this is the only place where it changes.
   *
   * @throws IllegalStateException if the life cycle has no such transition
   */
  public void transitionTo(State next) {
    if (state == next) {
      return;
    }
    if (!ALLOWED_TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException(this + " cannot become " + next);
    }
    state = next;
  }

  /** Whether it may hold capacity on its machine. */
  public boolean holdsCapacity() {
    return state != State.EXITED && state != State.GONE;
  }

  /** Whether its machine has reported it in the present state. */
  public boolean wasObserved() {
    return OBSERVED_STATES.contains(state);
  }

  /** Whether no kill was decided. */
  public boolean isWanted() {
    return killGracePeriod == null;
  }

  /** A kill is decided; the attempt is not wanted from now on. */
  public void kill(Instant now, Duration gracePeriod) {
    killedAt = now;
    killGracePeriod = gracePeriod;
  }

  /** The kill is to take effect sooner than was decided, so it has to be sent again. */
  public void shortenGracePeriod(Duration gracePeriod) {
    killGracePeriod = gracePeriod;
    killSent = false;
  }

  /** The kill has reached the worker, or is lost and has to be sent again. */
  public void setKillSent(boolean sent) {
    killSent = sent;
  }

  /** The grace period of its kill; null while the attempt is wanted. */
  public Duration killGracePeriod() {
    return killGracePeriod;
  }

  /** When its kill was decided; null while the attempt is wanted. */
  public Instant killedAt() {
    return killedAt;
  }

  /** Whether a kill with the present grace period has reached the worker, as far as is known. */
  public boolean isKillSent() {
    return killSent;
  }

  @Override
  public String toString() {
    return job.spec.id() + "/" + task + "#" + number + " on " + machine.name + " " + state;
  }
}
