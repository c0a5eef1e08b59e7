package io.pineladder.model;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Map;

/**
 * One attempt to run a task on a machine, from the placement decision until it is proven that the
 * attempt is not running. Event thread only.
 */
public final class Attempt {
  /** The life cycle of an attempt. */
  public enum State {
    /** The placement is decided but not stored, so no start command may be sent. */
    PLACEMENT_PENDING,
    /** The placement is stored; the machine has not reported the attempt but may run it. */
    PLACEMENT_STORED,
    /** Restored by a new leader whose fencing token the machine has not acknowledged yet. */
    RECOVERED,
    /** The machine is fetching the task's image. */
    FETCHING_IMAGE,
    /** The image is present; the task waits for the other tasks of its gang. */
    WAITING_FOR_GANG,
    /** The task is running. */
    RUNNING,
    /** The task is being stopped and saves a checkpoint within the grace period. */
    SAVING_CHECKPOINT,
    /** The task has ended; the machine still lists the attempt. */
    EXITED,
    /** Proven not to run on the machine, now or in the future. */
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

  private static EnumSet<State> observedOr(State additional) {
    EnumSet<State> states = EnumSet.copyOf(OBSERVED_STATES);
    states.add(additional);
    return states;
  }

  /** The job to which the task belongs. */
  public final Job job;

  /** The zero-based index of the task. */
  public final int task;

  /** The attempt number, which is unique across terms; tasks of a gang share the same number. */
  public final long number;

  /** The machine on which the task is placed. */
  public final Machine machine;

  /** When the placement was decided, or restored from the store. */
  public final Instant createdAt;

  /** The key of the attempt within its machine. */
  public final String key;

  /** The ordinal number, among all heartbeats handled, of the last one that listed the attempt. */
  public long lastListingHeartbeat;

  private State state;

  /** Why the attempt ended; null until it has exited. */
  public EndReason endReason;

  private Duration killGracePeriod;
  private Instant killedAt;
  private boolean killSent;

  /** When the attempt was first reported as running; null before. */
  public Instant runningSince;

  /** When the image is expected to be cached on the machine. */
  public Instant imageReadyAt;

  /** The agent epoch for which the last start command was sent; 0 if none was sent. */
  public long startAgentEpoch;

  /** The sequence number of the heartbeat whose response carried the last start; -1 if none. */
  public long startHeartbeatSequence = -1;

  /** A start command was sent directly, not in a heartbeat response, and is unanswered. */
  public boolean directStartPending;

  /**
   * A direct start command was not answered, so it may still be executed at any time while its
   * agent epoch and fencing token are valid. The absence of the attempt from a heartbeat does not
   * prove that it is gone, and the attempt is not discarded.
   */
  public boolean startUnconfirmed;

  /** The end is processed and stored if required, so the worker may discard the attempt. */
  public boolean endProcessed;

  /** The attempt whose completion is stored once this one is gone; null if none. */
  public Attempt completedBy;

  /** Creates an attempt in the given state. */
  public Attempt(
      Job job, int task, long number, Machine machine, Instant createdAt, State initialState) {
    this.job = job;
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.createdAt = createdAt;
    this.key = Machine.attemptKey(job.spec.id(), task, number);
    this.imageReadyAt = createdAt;
    this.state = initialState;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /**
   * Changes the state; it changes nowhere else.
   *
   * @throws IllegalStateException if the transition is not allowed
   */
  public void transitionTo(State next) {
    if (state == next) {
      return;
    }
    if (!ALLOWED_TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException(this + " cannot transition to " + next);
    }
    state = next;
  }

  /** Whether the attempt may use capacity on its machine. */
  public boolean holdsCapacity() {
    return state != State.EXITED && state != State.GONE;
  }

  /** Whether the current state was reported by the machine. */
  public boolean wasObserved() {
    return OBSERVED_STATES.contains(state);
  }

  /** Whether no kill of the attempt has been decided. */
  public boolean isWanted() {
    return killGracePeriod == null;
  }

  /** Records when the kill was decided and its grace period; sends nothing. */
  public void kill(Instant now, Duration gracePeriod) {
    killedAt = now;
    killGracePeriod = gracePeriod;
  }

  /** Shortens the grace period of the kill, which therefore has to be sent again. */
  public void shortenGracePeriod(Duration gracePeriod) {
    killGracePeriod = gracePeriod;
    killSent = false;
  }

  /** Records that the kill has reached the worker, or was lost and has to be sent again. */
  public void setKillSent(boolean sent) {
    killSent = sent;
  }

  /** The grace period of the kill; null if no kill was decided. */
  public Duration killGracePeriod() {
    return killGracePeriod;
  }

  /** When the kill was decided; null if none was. */
  public Instant killedAt() {
    return killedAt;
  }

  /** Whether a kill with the current grace period is assumed to have reached the worker. */
  public boolean isKillSent() {
    return killSent;
  }

  @Override
  public String toString() {
    return job.spec.id() + "/" + task + "#" + number + " on " + machine.name + " " + state;
  }
}
