package io.pineladder.model;

import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An accepted job while the leader works on it. */
public final class Job {
  /** Where a job stands. Both ends are final. */
  public enum State {
    ACTIVE,
    CANCELLED,
    DONE
  }

  public final JobSpec spec;

  /** When it was accepted, by the time of day of the node that did. */
  public final Instant acceptedAt;

  private State state;

  /** The rank that it is treated as having: its own, or that of a job that needs it. */
  private PriorityClass priorityClass;

  /** When it should be over for the jobs that need it; null when nothing is expected of those. */
  public ChainDeadlines chainDeadlines;

  /**
   * When it could first start, by the time of day: once accepted, or once all that it needs was
   * done.
   */
  public Instant readyAt;

  /** Some job that it needs is not known to be done: no task of it may start. */
  public boolean blockedByDependencies;

  /**
   * It is cancelled because a job that it needs is stored as cancelled; told without a record of
   * its own.
   */
  public boolean cancelledByDependency;

  /** A job before it whose cancellation is on its way to the store, or was; null for none. */
  public Job cancellingPrerequisite;

  /** Tasks that are complete. */
  public final BitSet done = new BitSet();

  /**
   * Complete tasks that were started anew and may still run; they are not stored as complete yet.
   */
  public final BitSet unprovenDone = new BitSet();

  /** Tasks that wait to be placed; a bit each, whatever the job's size. */
  public final BitSet pending = new BitSet();

  /**
   * Attempts that may be on a machine, by task; one that was superseded stays until proven gone.
   */
  public final Map<Integer, Set<Attempt>> attempts = new HashMap<>();

  /** Machines on which it failed of late. */
  public final Set<String> avoidedMachines = new LinkedHashSet<>();

  /** When it was last looked at what policy alone keeps from it; null for never. */
  public Instant policyReviewedAt;

  /**
   * It fails wherever it is tried, so its user has made a mistake: it is tried now and then only.
   */
  public boolean failing;

  /** The final state is on its way to the store; other records of the job no longer matter. */
  public boolean finalStatePending;

  /** Only its final state is to be kept; its own record is being deleted. */
  public boolean recordRemovalPending;

  /** The final state is in the store, so users may be told. */
  public boolean finalStateStored;

  /** Called when the final state is stored. */
  public final List<Runnable> finalStateCallbacks = new ArrayList<>();

  public Job(JobSpec spec, Instant acceptedAt, State state) {
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.state = state;
    this.priorityClass = spec.priorityClass();
    this.readyAt = acceptedAt;
  }

  public PriorityClass priorityClass() {
    return priorityClass;
  }

  /** The one place where its urgency changes. */
  public void setUrgency(PriorityClass highest, ChainDeadlines times) {
    priorityClass = highest;
    chainDeadlines = times;
  }

  public State state() {
    return state;
  }

  /** The one place where a job's state changes. */
  public void transitionTo(State next) {
    if (state != State.ACTIVE && state != next) {
      throw new IllegalStateException(spec.id() + " is " + state + " and cannot become " + next);
    }
    state = next;
  }

  public boolean isActive() {
    return state == State.ACTIVE;
  }

  public void add(Attempt attempt) {
    attempts.computeIfAbsent(attempt.task, t -> new LinkedHashSet<>(2)).add(attempt);
  }

  public void remove(Attempt attempt) {
    Set<Attempt> of = attempts.get(attempt.task);
    if (of != null && of.remove(attempt) && of.isEmpty()) {
      attempts.remove(attempt.task);
    }
  }

  /** Whether a task may be started: nothing of it can be anywhere. */
  public boolean mayStartTask(int task) {
    return !attempts.containsKey(task) && !done.get(task);
  }

  @Override
  public String toString() {
    return spec.id();
  }
}
