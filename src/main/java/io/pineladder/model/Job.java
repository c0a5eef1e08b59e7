package io.pineladder.model;

import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An accepted job in the leader's memory. Event thread only. */
public final class Job {
  /** The state of a job; stored by ordinal. The last two states are final. */
  public enum State {
    /** At least one task is not complete. */
    ACTIVE,
    /** Cancelled by the user, or because a prerequisite was cancelled. */
    CANCELLED,
    /** All tasks are complete. */
    DONE
  }

  /** The specification that the user submitted. */
  public final JobSpec spec;

  /** When the job was accepted, by the wall clock of the controller that accepted it. */
  public final Instant acceptedAt;

  private State state;

  private PriorityClass priorityClass;

  /** The deadlines inherited from dependents; null if they have none. */
  public ChainDeadlines chainDeadlines;

  /**
   * When the job became ready to start, in wall-clock time: when it was accepted, or when its last
   * prerequisite was done.
   */
  public Instant readyAt;

  /** A prerequisite is not known to be done, so no task may start. */
  public boolean blockedByDependencies;

  /**
   * The job is cancelled because a prerequisite is stored as cancelled; no final state of its own
   * is stored.
   */
  public boolean cancelledByDependency;

  /** A direct or indirect prerequisite whose cancellation is being or was stored; null if none. */
  public Job cancellingPrerequisite;

  /** The completed tasks. */
  public final BitSet completedTasks = new BitSet();

  /**
   * Completed tasks that are not stored yet, since another attempt of them may still be running.
   */
  public final BitSet unconfirmedCompletedTasks = new BitSet();

  /** The tasks that wait to be placed. */
  public final BitSet pendingTasks = new BitSet();

  /**
   * The attempts that may hold capacity, by task, including superseded ones not proven gone. The
   * sets are replaced, not modified: almost all have one element and take little memory.
   */
  public final Map<Integer, Set<Attempt>> attempts = new HashMap<>();

  /** The machines on which tasks have failed most recently, the earliest first. */
  public final Set<String> avoidedMachines = new LinkedHashSet<>();

  /**
   * When it was last checked whether only policy withholds capacity from the job; null if never.
   */
  public Instant policyReviewedAt;

  /** The failures are attributed to the job and not to machines, so it only runs as a probe. */
  public boolean failing;

  /** The final state is being or was stored; other records of the job are obsolete. */
  public boolean finalStatePending;

  /** The job's record is being deleted; only the final state remains. */
  public boolean recordRemovalPending;

  /** The final state is stored, so it may be returned to users. */
  public boolean finalStateStored;

  /** Called when the final state is stored. */
  public final List<Runnable> finalStateCallbacks = new ArrayList<>();

  /** Creates a job without attempts. */
  public Job(JobSpec spec, Instant acceptedAt, State state) {
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.state = state;
    this.priorityClass = spec.priorityClass();
    this.readyAt = acceptedAt;
  }

  /** The effective priority class: the job's own, or the higher one of a dependent. */
  public PriorityClass priorityClass() {
    return priorityClass;
  }

  /** Changes the effective priority class and the inherited deadlines. */
  public void setPriorityAndDeadlines(PriorityClass effectiveClass, ChainDeadlines deadlines) {
    priorityClass = effectiveClass;
    chainDeadlines = deadlines;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /**
   * Changes the state; it changes nowhere else.
   *
   * @throws IllegalStateException if the current state is final and {@code next} differs from it
   */
  public void transitionTo(State next) {
    if (state != State.ACTIVE && state != next) {
      throw new IllegalStateException(
          "job " + spec.id() + " is " + state + " and cannot transition to " + next);
    }
    state = next;
  }

  /** Whether the job is neither cancelled nor done. */
  public boolean isActive() {
    return state == State.ACTIVE;
  }

  /** Adds an attempt that may hold capacity. */
  public void addAttempt(Attempt attempt) {
    attempts.merge(attempt.task, Set.of(attempt), Job::union);
  }

  private static Set<Attempt> union(Set<Attempt> first, Set<Attempt> second) {
    Set<Attempt> all = new LinkedHashSet<>(first);
    all.addAll(second);
    return all;
  }

  /** Removes an attempt that no longer holds capacity. */
  public void removeAttempt(Attempt attempt) {
    attempts.computeIfPresent(attempt.task, (task, known) -> without(known, attempt));
  }

  /** The other attempts in the set; null if there are none. */
  private static Set<Attempt> without(Set<Attempt> known, Attempt removed) {
    if (!known.contains(removed)) {
      return known;
    }
    Set<Attempt> others = new LinkedHashSet<>(known);
    others.remove(removed);
    return others.isEmpty() ? null : others;
  }

  /** Whether a task may be started: it is not complete and no attempt of it may hold capacity. */
  public boolean mayStartTask(int task) {
    return !attempts.containsKey(task) && !completedTasks.get(task);
  }

  @Override
  public String toString() {
    return spec.id();
  }
}
