package io.pineladder.model;

import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An accepted job in the leader's memory. Used on the event loop's thread only. */
public final class Job {
  /** The state of a job, stored by ordinal. The last two are final. */
  public enum State {
    /** Some task is not complete. */
    ACTIVE,
    /** Cancelled by its user, or with a job that it depends on. */
    CANCELLED,
    /** All tasks are complete. */
    DONE
  }

  /** What the user submitted. */
  public final JobSpec spec;

  /** When it was accepted, by the time of day of the controller that accepted it. */
  public final Instant acceptedAt;

  private State state;

  /** Its own priority class, or the higher one of a dependent. */
  private PriorityClass priorityClass;

  /** When it should be over for its dependents; null when they have no deadlines. */
  public ChainDeadlines chainDeadlines;

  /**
   * When it could first start, by the time of day: once accepted, or once its last dependency was
   * done.
   */
  public Instant readyAt;

  /** A job that it depends on is not known to be done: no task of it may start. */
  public boolean blockedByDependencies;

  /**
   * It is cancelled because a job that it depends on is stored as cancelled; it has no final record
   * of its own.
   */
  public boolean cancelledByDependency;

  /** A direct or indirect dependency whose cancellation is being stored, or was; null for none. */
  public Job cancellingPrerequisite;

  /** Tasks that are complete. */
  public final BitSet completedTasks = new BitSet();

  /** Complete tasks of which another attempt may still run; they are not stored as complete yet. */
  public final BitSet unconfirmedCompletedTasks = new BitSet();

  /** Tasks that wait to be placed. */
  public final BitSet pendingTasks = new BitSet();

  /** Attempts that may hold capacity, by task; a superseded one stays until it is proven gone. */
  public final Map<Integer, Set<Attempt>> attempts = new HashMap<>();

  /** The machines on which its tasks failed last, the earliest first. */
  public final Set<String> avoidedMachines = new LinkedHashSet<>();

  /** When it was last reviewed which capacity policy alone denies it; null for never. */
  public Instant policyReviewedAt;

  /** It fails on whatever machine, so the fault is its own: it is only probed now and then. */
  public boolean failing;

  /** The final state is being stored or is stored; other records of the job no longer matter. */
  public boolean finalStatePending;

  /** Its record is being deleted; only its final state remains. */
  public boolean recordRemovalPending;

  /** The final state is stored, so users may be answered with it. */
  public boolean finalStateStored;

  /** Called when the final state is stored. */
  public final List<Runnable> finalStateCallbacks = new ArrayList<>();

  /** A job without attempts. */
  public Job(JobSpec spec, Instant acceptedAt, State state) {
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.state = state;
    this.priorityClass = spec.priorityClass();
    this.readyAt = acceptedAt;
  }

  /** The priority class that it is scheduled with: its own, or the higher one of a dependent. */
  public PriorityClass priorityClass() {
    return priorityClass;
  }

  /** Changes the priority class and deadlines; this is the only place where they change. */
  public void setPriorityAndDeadlines(PriorityClass highest, ChainDeadlines times) {
    priorityClass = highest;
    chainDeadlines = times;
  }

  /** The present state. */
  public State state() {
    return state;
  }

  /**
   * Changes the state; this is the only place where it changes.
   *
   * @throws IllegalStateException if the present state is final and another one
   */
  public void transitionTo(State next) {
    if (state != State.ACTIVE && state != next) {
      throw new IllegalStateException(spec.id() + " is " + state + " and cannot become " + next);
    }
    state = next;
  }

  /** Whether it is neither cancelled nor done. */
  public boolean isActive() {
    return state == State.ACTIVE;
  }

  /** Adds an attempt that may hold capacity. */
  public void addAttempt(Attempt attempt) {
    attempts.computeIfAbsent(attempt.task, t -> new LinkedHashSet<>(2)).add(attempt);
  }

  /** Removes an attempt that no longer holds capacity. */
  public void removeAttempt(Attempt attempt) {
    Set<Attempt> taskAttempts = attempts.get(attempt.task);
    if (taskAttempts != null && taskAttempts.remove(attempt) && taskAttempts.isEmpty()) {
      attempts.remove(attempt.task);
    }
  }

  /** Whether a task may be started: it is not complete, and no attempt of it holds capacity. */
  public boolean mayStartTask(int task) {
    return !attempts.containsKey(task) && !completedTasks.get(task);
  }

  @Override
  public String toString() {
    return spec.id();
  }
}
