package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Map;

/** One start of a task on a machine, from the decision until it is proven gone. */
public final class Attempt {
  /** Where an attempt stands. */
  public enum State {
    /** Decided; the placement is not stored yet, so no start may go out. */
    PLACEMENT_PENDING,
    /** Stored; the start has not been seen on the machine. It may be there. */
    PLACEMENT_STORED,
    /** Read from the store by a new leader; the machine has not been heard with our token. */
    RECOVERED,
    FETCHING_IMAGE,
    WAITING_FOR_GANG,
    RUNNING,
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

  public final Job job;
  public final int task;
  public final long number;
  public final Machine machine;
  public final Instant createdAt;

  /** What it is listed by on its machine. */
  public final String key;

  /** Which of all reports dealt with was the last to list it. */
  public long lastListingHeartbeat;

  private State state;

  /** Null until the attempt exits. */
  public EndReason endReason;

  /** The grace of the kill that was decided, or null while the attempt is wanted. */
  public Duration killGracePeriod;

  public Instant killedAt;

  /** A kill with the present grace has reached the worker, as far as is known. */
  public boolean killSent;

  public Instant runningSince;

  /** When its image should be there. */
  public Instant imageReadyAt;

  /** The session the last start was addressed to; 0 before any. */
  public long startSession;

  /** The sequence number of the report whose response carried the last start; -1 for none. */
  public long startHeartbeatSequence = -1;

  /** A direct start is under way and has not been answered. */
  public boolean directStartPending;

  /**
   * A direct start got no answer: it may still arrive at any time within this session and token.
   * Such an attempt is never taken as gone by its absence, and never forgotten.
   */
  public boolean startUnconfirmed;

  /** The end has been dealt with and, where that matters, stored: the worker may forget it. */
  public boolean mayBeForgotten;

  /** The attempt that completed the task, which is not stored before this one is gone; or null. */
  public Attempt completedBy;

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

  public State state() {
    return state;
  }

  /** The one place where an attempt's state changes. */
  public void transitionTo(State next) {
    if (state == next) {
      return;
    }
    if (!ALLOWED_TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException(this + " cannot become " + next);
    }
    state = next;
  }

  /** Whether it may hold room on its machine. */
  public boolean holdsCapacity() {
    return state != State.EXITED && state != State.GONE;
  }

  public boolean wasObserved() {
    return OBSERVED_STATES.contains(state);
  }

  public boolean isWanted() {
    return killGracePeriod == null;
  }

  @Override
  public String toString() {
    return job.spec.id() + "/" + task + "#" + number + " on " + machine.name + " " + state;
  }
}
