package io.pineladder.scheduling;

import io.pineladder.model.ChainDeadlines;
import io.pineladder.model.Job;
import io.pineladder.model.PriorityClass;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Tracks jobs that wait for prerequisites in a dependency graph (DAG), and releases or cancels them
 * when the prerequisites end.
 *
 * <p>A job waits until each of its prerequisites is <em>stored</em> as done, so that it never
 * starts after a completion that could still be lost. A job is cancelled once any direct or
 * indirect prerequisite is stored as cancelled. Since this follows from the stored state of the
 * prerequisite alone, nothing else has to be stored before clients are answered, and all
 * controllers reach the same conclusion.
 *
 * <p>The index maps a prerequisite to its dependents, and each dependent to its unmet
 * prerequisites, so the end of a job costs time proportional to its dependents only. A prerequisite
 * is accepted before the jobs that name it, hence there are no cycles.
 *
 * <p>Urgency propagates from dependents to prerequisites: the priority class of a job is the
 * highest of its own and its dependents', and the job should be done in time for all of them. The
 * work of one event is bounded by the edges of the graph, for each level of jobs that change.
 */
public final class JobDependencies {
  /** Receives the changes of jobs in the graph. */
  interface Listener {
    /** Called when the last prerequisite of the job is done: the job may start. */
    void onReady(Job job);

    /**
     * Called after the job was cancelled because of a prerequisite; its state has changed already.
     */
    void onCancelled(Job job);

    /** Called when the priority class or the deadlines of the job have changed. */
    void onUrgencyChanged(Job job);

    /**
     * Returns the final state of a job that is not in memory if it is known without a read, or
     * null.
     */
    Job.State knownFinalState(String id);

    /**
     * Called when a prerequisite is not in memory and its final state is unknown. The
     * implementation looks it up and then calls {@link #onPrerequisiteFound}, {@link
     * #onPrerequisiteNotFound} or {@link #onFinalStateKnown}.
     */
    void lookUpJob(String id);
  }

  private final Function<String, Job> jobsInMemory;
  private final Supplier<Instant> wallClock;
  private final Listener listener;
  private final Function<Job, ChainDeadlines> ownDeadlines;
  private final ClassLatencies classLatencies = new ClassLatencies();

  /** The waiting jobs by the id of each prerequisite. */
  private final Map<String, Set<Job>> dependentsById = new HashMap<>();

  /** The ids of the unmet prerequisites of each waiting job. */
  private final Map<Job, Set<String>> unmetPrerequisites = new LinkedHashMap<>();

  /** The ids of prerequisites that are being looked up. */
  private final Set<String> pendingLookups = new HashSet<>();

  /**
   * Creates an empty graph.
   *
   * @param jobsInMemory returns the job with an id; null if it is not in memory
   * @param wallClock returns the wall-clock time
   * @param ownDeadlines returns the deadlines of a job by its own specification; null for none
   */
  JobDependencies(
      Function<String, Job> jobsInMemory,
      Supplier<Instant> wallClock,
      Function<Job, ChainDeadlines> ownDeadlines,
      Listener listener) {
    this.jobsInMemory = jobsInMemory;
    this.wallClock = wallClock;
    this.ownDeadlines = ownDeadlines;
    this.listener = listener;
  }

  public int countWaitingJobs() {
    return unmetPrerequisites.size();
  }

  /** The number of jobs in the longest chain of waiting jobs. */
  public int longestChainLength() {
    Map<Job, Integer> depths = new HashMap<>();
    int longest = 0;
    for (Job job : unmetPrerequisites.keySet()) {
      longest = Math.max(longest, chainDepth(job, depths));
    }
    return longest;
  }

  /**
   * Returns the number of jobs from this job back to the first of its longest chain. Iterative,
   * since long chains would overflow the stack.
   */
  private int chainDepth(Job from, Map<Job, Integer> depths) {
    Deque<Job> stack = new ArrayDeque<>(List.of(from));
    while (!stack.isEmpty()) {
      Job job = stack.peek();
      int depth = 1;
      boolean allKnown = true;
      for (String id : unmetPrerequisites.getOrDefault(job, Set.of())) {
        Job prerequisite = jobsInMemory.apply(id);
        Integer prerequisiteDepth =
            prerequisite == null ? Integer.valueOf(1) : depths.get(prerequisite);
        if (prerequisiteDepth == null) {
          allKnown = false;
          stack.push(prerequisite);
        } else {
          depth = Math.max(depth, prerequisiteDepth + 1);
        }
      }
      if (allKnown) {
        depths.put(stack.pop(), depth);
      }
    }
    return depths.get(from);
  }

  /**
   * Whether the state of a waiting job is uncertain: a direct or indirect prerequisite may still be
   * being looked up, and may turn out to be cancelled.
   */
  public boolean isUncertain(Job job) {
    return !pendingLookups.isEmpty() && unmetPrerequisites.containsKey(job);
  }

  // ---- adding and removing jobs

  /** Adds a job that is in memory now; it may depend on other jobs, and others on it. */
  void add(Job job) {
    if (job.isActive() && !job.spec.prerequisites().isEmpty()) {
      addWaiting(job);
    }
    if (job.isActive()) {
      recomputeFromDependents(job);
      raisePrerequisites(job);
    }
  }

  private void addWaiting(Job job) {
    job.blockedByDependencies = true;
    unmetPrerequisites.put(job, new LinkedHashSet<>(job.spec.prerequisites()));
    for (String id : job.spec.prerequisites()) {
      dependentsById.computeIfAbsent(id, i -> new LinkedHashSet<>(2)).add(job);
    }
    for (String id : job.spec.prerequisites()) {
      Job prerequisite = jobsInMemory.apply(id);
      Job.State finalState = prerequisite == null ? listener.knownFinalState(id) : null;
      if (finalState != null) {
        onFinalStateKnown(id, finalState);
      } else if (prerequisite == null) {
        startLookup(id);
      } else {
        onPrerequisiteFound(prerequisite);
      }
    }
  }

  private void startLookup(String id) {
    if (pendingLookups.add(id)) {
      listener.lookUpJob(id);
    }
  }

  /**
   * Handles a prerequisite that was looked up and is in memory. If its final state is not stored
   * yet, {@link #onFinalStateStored} is called later.
   */
  public void onPrerequisiteFound(Job prerequisite) {
    pendingLookups.remove(prerequisite.spec.id());
    if (prerequisite.finalStateStored || prerequisite.cancelledByDependency) {
      onFinalStateKnown(prerequisite.spec.id(), prerequisite.state());
    } else if (prerequisite.state() == Job.State.CANCELLED && prerequisite.finalStatePending) {
      onCancellationPending(prerequisite);
    } else if (prerequisite.cancellingPrerequisite != null) {
      markCancellationPending(prerequisite.cancellingPrerequisite, prerequisite);
    }
  }

  /** Handles a lookup without a conclusive result; the dependents keep waiting. */
  public void onPrerequisiteNotFound(String id) {
    pendingLookups.remove(id);
  }

  /** Removes a cancelled job from the graph if it is waiting. */
  void remove(Job job) {
    recomputeUrgency(detach(job));
  }

  /** Removes a job from the graph and returns the prerequisites whose urgency may fall. */
  private List<Job> detach(Job job) {
    Set<String> unmet = unmetPrerequisites.remove(job);
    if (unmet == null) {
      return List.of();
    }
    job.blockedByDependencies = false;
    List<Job> prerequisites = new ArrayList<>();
    for (String id : unmet) {
      Set<Job> dependents = dependentsById.get(id);
      if (dependents != null && dependents.remove(job) && dependents.isEmpty()) {
        dependentsById.remove(id);
      }
      Job prerequisite = jobsInMemory.apply(id);
      if (prerequisite != null) {
        prerequisites.add(prerequisite);
      }
    }
    return prerequisites;
  }

  // ---- final states of prerequisites

  /** Handles a job in memory whose final state is stored. */
  void onFinalStateStored(Job job) {
    if (job.state() == Job.State.DONE) {
      classLatencies.recordCompletion(job, wallClock.get());
    }
    onFinalStateKnown(job.spec.id(), job.state());
  }

  /** Handles a job, in memory or not, whose final state is known to be stored. */
  public void onFinalStateKnown(String id, Job.State state) {
    pendingLookups.remove(id);
    Set<Job> dependents = dependentsById.remove(id);
    if (dependents == null) {
      return;
    }
    if (state == Job.State.DONE) {
      dependents.forEach(job -> onPrerequisiteDone(job, id));
    } else {
      cancelWithDependents(dependents);
    }
  }

  private void onPrerequisiteDone(Job job, String id) {
    Set<String> unmet = unmetPrerequisites.get(job);
    if (unmet != null && unmet.remove(id) && unmet.isEmpty()) {
      unmetPrerequisites.remove(job);
      job.blockedByDependencies = false;
      listener.onReady(job);
    }
  }

  /**
   * Cancels jobs and all their dependents. Iterative, since long chains would overflow the stack.
   */
  private void cancelWithDependents(Set<Job> jobs) {
    Set<Job> affected = new LinkedHashSet<>();
    Deque<Job> stack = new ArrayDeque<>(jobs);
    while (!stack.isEmpty()) {
      Job job = stack.pop();
      if (job.cancelledByDependency || job.finalStateStored) {
        continue;
      }
      job.cancelledByDependency = true;
      job.transitionTo(Job.State.CANCELLED);
      affected.addAll(detach(job));
      Set<Job> dependents = dependentsById.remove(job.spec.id());
      if (dependents != null) {
        stack.addAll(dependents);
      }
      listener.onCancelled(job);
    }
    recomputeUrgency(affected);
  }

  /**
   * Handles a cancellation that is being stored. Other controllers may read it before this one
   * learns of the commit, and answer that the dependents are cancelled.
   */
  void onCancellationPending(Job cancelled) {
    markCancellationPending(cancelled, cancelled);
  }

  private void markCancellationPending(Job cancelled, Job from) {
    Deque<Job> stack = new ArrayDeque<>(List.of(from));
    while (!stack.isEmpty()) {
      for (Job job : dependentsById.getOrDefault(stack.pop().spec.id(), Set.of())) {
        if (job.cancellingPrerequisite == null) {
          job.cancellingPrerequisite = cancelled;
          stack.push(job);
        }
      }
    }
  }

  // ---- urgency

  /**
   * Returns when the prerequisites of the job should be done so that it meets its deadlines; null
   * for no bound.
   */
  private ChainDeadlines prerequisiteDeadlines(Job job) {
    ChainDeadlines deadlines = ChainDeadlines.earlier(job.chainDeadlines, ownDeadlines.apply(job));
    Duration expected = classLatencies.expectedDuration(job);
    return deadlines == null ? null : deadlines.minus(expected);
  }

  /**
   * Raises the urgency of all direct and indirect prerequisites to at least what the job needs. A
   * new dependent can only raise it, so the other dependents need not be looked at.
   */
  private void raisePrerequisites(Job dependent) {
    Set<Job> risen = new LinkedHashSet<>(List.of(dependent));
    while (!risen.isEmpty()) {
      Job job = removeFirst(risen);
      ChainDeadlines deadlines = prerequisiteDeadlines(job);
      for (String id : unmetPrerequisites.getOrDefault(job, Set.of())) {
        Job prerequisite = jobsInMemory.apply(id);
        if (prerequisite != null
            && prerequisite.isActive()
            && raiseUrgency(prerequisite, job.priorityClass(), deadlines)) {
          risen.add(prerequisite);
        }
      }
    }
  }

  private boolean raiseUrgency(Job job, PriorityClass priorityClass, ChainDeadlines deadlines) {
    PriorityClass highest =
        priorityClass.isAbove(job.priorityClass()) ? priorityClass : job.priorityClass();
    return setUrgency(job, highest, ChainDeadlines.earlier(job.chainDeadlines, deadlines));
  }

  /**
   * Recomputes the urgency of jobs that lost dependents, and of their prerequisites where it
   * changed.
   */
  private void recomputeUrgency(Collection<Job> jobs) {
    Set<Job> pending = new LinkedHashSet<>(jobs);
    while (!pending.isEmpty()) {
      Job job = removeFirst(pending);
      if (!job.isActive() || !recomputeFromDependents(job)) {
        continue;
      }
      for (String id : unmetPrerequisites.getOrDefault(job, Set.of())) {
        Job prerequisite = jobsInMemory.apply(id);
        if (prerequisite != null) {
          pending.add(prerequisite);
        }
      }
    }
  }

  private static Job removeFirst(Set<Job> jobs) {
    Iterator<Job> iterator = jobs.iterator();
    Job first = iterator.next();
    iterator.remove();
    return first;
  }

  private boolean recomputeFromDependents(Job job) {
    PriorityClass highest = job.spec.priorityClass();
    ChainDeadlines earliest = null;
    for (Job dependent : dependentsById.getOrDefault(job.spec.id(), Set.of())) {
      highest = dependent.priorityClass().isAbove(highest) ? dependent.priorityClass() : highest;
      earliest = ChainDeadlines.earlier(earliest, prerequisiteDeadlines(dependent));
    }
    return setUrgency(job, highest, earliest);
  }

  private boolean setUrgency(Job job, PriorityClass priorityClass, ChainDeadlines deadlines) {
    boolean unchanged =
        priorityClass == job.priorityClass()
            && (deadlines == null
                ? job.chainDeadlines == null
                : deadlines.equals(job.chainDeadlines));
    if (unchanged) {
      return false;
    }
    job.setPriorityAndDeadlines(priorityClass, deadlines);
    listener.onUrgencyChanged(job);
    return true;
  }
}
