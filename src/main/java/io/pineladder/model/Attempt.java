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
    STORING,
    /** Stored; the start has not been seen on the machine. It may be there. */
    STORED,
    /** Read from the store by a new leader; the machine has not been heard with our token. */
    RECORDED,
    FETCHING,
    GATHERING,
    RUNNING,
    SAVING,
    /** Ended on the machine, which still lists it. */
    EXITED,
    /** Proven not to be on the machine, now or later. */
    GONE
  }

  private static final EnumSet<State> ON_MACHINE =
      EnumSet.of(State.FETCHING, State.GATHERING, State.RUNNING, State.SAVING, State.EXITED);
  private static final Map<State, EnumSet<State>> NEXT =
      Map.of(
          State.STORING, EnumSet.of(State.STORED, State.GONE),
          State.STORED, with(State.GONE),
          State.RECORDED, with(State.GONE),
          State.FETCHING, with(State.GONE),
          State.GATHERING, with(State.GONE),
          State.RUNNING, with(State.GONE),
          State.SAVING, with(State.GONE),
          State.EXITED, EnumSet.of(State.GONE),
          State.GONE, EnumSet.noneOf(State.class));

  private static EnumSet<State> with(State also) {
    EnumSet<State> set = EnumSet.copyOf(ON_MACHINE);
    set.add(also);
    return set;
  }

  public final Job job;
  public final int task;
  public final long number;
  public final Machine machine;
  public final Instant since;

  /** What it is listed by on its machine. */
  public final String key;

  /** Which of all reports dealt with was the last to list it. */
  public long listedIn;

  private State state;

  /** Null until the attempt exits. */
  public Cause cause;

  /** The grace of the kill that was decided, or null while the attempt is wanted. */
  public Duration killGrace;

  public Instant killedAt;

  /** A kill with the present grace has reached the worker, as far as is known. */
  public boolean killSent;

  public Instant runningSince;

  /** When its image should be there. */
  public Instant readyAt;

  /** The session the last start was addressed to; 0 before any. */
  public long sentSession;

  /** The sequence number of the report whose response carried the last start; -1 for none. */
  public long sentInReport = -1;

  /** A direct start is under way and has not been answered. */
  public boolean direct;

  /**
   * A direct start got no answer: it may still arrive at any time within this session and token.
   * Such an attempt is never taken as gone by its absence, and never forgotten.
   */
  public boolean doubtful;

  /** The end has been dealt with and, where that matters, stored: the worker may forget it. */
  public boolean forgettable;

  /** The attempt that completed the task, which is not stored before this one is gone; or null. */
  public Attempt hides;

  public Attempt(Job job, int task, long number, Machine machine, Instant since, State first) {
    this.job = job;
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.since = since;
    this.key = Machine.key(job.spec.id(), task, number);
    this.readyAt = since;
    this.state = first;
  }

  public State state() {
    return state;
  }

  /** The one place where an attempt's state changes. */
  public void moveTo(State next) {
    if (state == next) {
      return;
    }
    if (!NEXT.get(state).contains(next)) {
      throw new IllegalStateException(this + " cannot become " + next);
    }
    state = next;
  }

  /** Whether it may hold room on its machine. */
  public boolean holdsRoom() {
    return state != State.EXITED && state != State.GONE;
  }

  public boolean wasSeen() {
    return ON_MACHINE.contains(state);
  }

  public boolean isWanted() {
    return killGrace == null;
  }

  @Override
  public String toString() {
    return job.spec.id() + "/" + task + "#" + number + " on " + machine.name + " " + state;
  }
}
