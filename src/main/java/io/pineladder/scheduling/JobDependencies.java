package io.pineladder.scheduling;

import io.pineladder.model.ChainDeadlines;
import io.pineladder.model.Job;
import io.pineladder.model.PriorityClass;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The dependency graph (DAG) of the jobs that wait, and what follows when a prerequisite is over.
 *
 * <p>A job waits until each of its prerequisites is <em>stored</em> as done, so no start can come
 * before a completion that may yet be lost. It is cancelled once one of them is stored as
 * cancelled, directly or through others: that follows from the stored state of the one job whose
 * user asked for it, so nothing else has to be stored before users are answered, and any controller
 * comes to the same conclusion.
 *
 * <p>The index leads from a prerequisite to its dependents, and from each of those to its unmet
 * prerequisites, so an end costs work for the dependents only, however many other jobs wait. A
 * prerequisite was accepted before the job that names it, hence there are no cycles.
 *
 * <p>Urgency goes back along the chain: a job has the highest priority class of its own and its
 * dependents', and is to be over in time for all of them.
 */
public final class JobDependencies {
  /** Receives what follows for a job. */
  interface Listener {
    /** The job's last prerequisite is done: it may start. */
    void onReady(Job job);

    /** A prerequisite was cancelled, and the job with it; its state has changed already. */
    void onCancelled(Job job);

    /** The job's priority class or its deadlines have changed. */
    void onUrgencyChanged(Job job);

    /** The final state of a job that is not in memory, if it is known without a read; or null. */
    Job.State knownFinalState(String id);

    /**
     * A prerequisite is not in memory and its final state not known. It is to be looked up, and
     * {@link #onPrerequisiteFound}, {@link #onPrerequisiteNotFound} or {@link #onFinalStateKnown}
     * is to be called for it.
     */
    void lookUpJob(String id);
  }

  private final Function<String, Job> jobsInMemory;
  private final Supplier<Instant> wallClock;
  private final Listener listener;
  private final Function<Job, ChainDeadlines> ownDeadlines;
  private final ClassLatencies classLatencies = new ClassLatencies();

  /** The jobs that wait for a prerequisite, by its id. */
  private final Map<String, Set<Job>> dependentsById = new HashMap<>();

  /** The ids of the prerequisites that each waiting job still waits for. */
  private final Map<Job, Set<String>> unmetPrerequisites = new LinkedHashMap<>();

  /** Prerequisites that are being looked up. */
  private final Set<String> pendingLookups = new HashSet<>();

  /**
   * An empty graph.
   *
   * @param jobsInMemory the job of an id; null when it is not in memory
   * @param wallClock the time of day
   * @param ownDeadlines a job's deadlines by its own specification; null for none
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

  /** How many jobs wait for prerequisites. */
  public int countWaitingJobs() {
    return unmetPrerequisites.size();
  }

  /** The number of jobs in the longest chain of those that wait. */
  public int longestChainLength() {
    Map<Job, Integer> depths = new HashMap<>();
    int longest = 0;
    for (Job job : unmetPrerequisites.keySet()) {
      longest = Math.max(longest, chainDepth(job, depths));
    }
    return longest;
  }

  /**
   * The number of jobs from this one back to the first of its chain; without recursion, since
   * chains may be long.
   */
  private int chainDepth(Job from, Map<Job, Integer> depths) {
    Deque<Job> stack = new ArrayDeque<>(List.of(from));
    while (!stack.isEmpty()) {
      Job job = stack.peek();
      int depth = 1;
      boolean allKnown = true;
      for (String id : unmetPrerequisites.getOrDefault(job, Set.of())) {
        Job prerequisite = jobsInMemory.apply(id);
        Integer neededDepth = prerequisite == null ? Integer.valueOf(1) : depths.get(prerequisite);
        if (neededDepth == null) {
          allKnown = false;
          stack.push(prerequisite);
        } else {
          depth = Math.max(depth, neededDepth + 1);
        }
      }
      if (allKnown) {
        depths.put(stack.pop(), depth);
      }
    }
    return depths.get(from);
  }

  /**
   * Whether the state of a waiting job is uncertain: a prerequisite of this job or of one before it
   * may be being looked up, and may turn out to be cancelled.
   */
  public boolean isUncertain(Job job) {
    return !pendingLookups.isEmpty() && unmetPrerequisites.containsKey(job);
  }

  // ---- jobs that come and go

  /** A job is in memory now: it may wait for others, and others for it. */
  void add(Job job) {
    if (job.isActive() && !job.spec.prerequisites().isEmpty()) {
      addWaiting(job);
    }
    if (dependentsById.containsKey(job.spec.id())) {
      recomputeUrgency(job);
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
    ChainDeadlines deadlines = prerequisiteDeadlines(job);
    for (String id : unmetPrerequisites.getOrDefault(job, Set.of())) {
      raiseUrgency(jobsInMemory.apply(id), job.priorityClass(), deadlines);
    }
  }

  private void startLookup(String id) {
    if (pendingLookups.add(id)) {
      listener.lookUpJob(id);
    }
  }

  /**
   * A prerequisite that was looked up is in memory; {@link #onFinalStateStored} follows if its
   * final state is not stored yet.
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

  /** The lookup of a prerequisite gave nothing certain; its dependents wait on. */
  public void onPrerequisiteNotFound(String id) {
    pendingLookups.remove(id);
  }

  /** A job that may wait for others is cancelled: it is removed from the graph. */
  void stopWaiting(Job job) {
    Set<String> unmet = unmetPrerequisites.remove(job);
    if (unmet == null) {
      return;
    }
    job.blockedByDependencies = false;
    for (String id : unmet) {
      Set<Job> dependents = dependentsById.get(id);
      if (dependents != null && dependents.remove(job) && dependents.isEmpty()) {
        dependentsById.remove(id);
      }
      Job prerequisite = jobsInMemory.apply(id);
      if (prerequisite != null) {
        recomputeUrgency(prerequisite);
      }
    }
  }

  // ---- ends

  /** The final state of a job in memory is stored. */
  void onFinalStateStored(Job job) {
    if (job.state() == Job.State.DONE) {
      classLatencies.recordCompletion(job, wallClock.get());
    }
    onFinalStateKnown(job.spec.id(), job.state());
  }

  /** The final state of a job, in memory or not, is known to be stored. */
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

  /** Cancels jobs and all their dependents; without recursion, since chains may be long. */
  private void cancelWithDependents(Set<Job> first) {
    Deque<Job> stack = new ArrayDeque<>(first);
    while (!stack.isEmpty()) {
      Job job = stack.pop();
      if (job.cancelledByDependency || job.finalStateStored) {
        continue;
      }
      job.cancelledByDependency = true;
      job.transitionTo(Job.State.CANCELLED);
      stopWaiting(job);
      Set<Job> dependents = dependentsById.remove(job.spec.id());
      if (dependents != null) {
        stack.addAll(dependents);
      }
      listener.onCancelled(job);
    }
  }

  /**
   * The cancellation of a job is being stored: other controllers may read it before this one learns
   * of the commit, and answer that its dependents are cancelled.
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

  /** When the prerequisites of this job should be over for its sake; null for no bound. */
  private ChainDeadlines prerequisiteDeadlines(Job job) {
    ChainDeadlines deadlines = ChainDeadlines.earlier(job.chainDeadlines, ownDeadlines.apply(job));
    Duration expected = classLatencies.expectedDuration(job);
    return deadlines == null ? null : deadlines.minus(expected);
  }

  /** A prerequisite has one more dependent: it can only become more urgent. */
  private void raiseUrgency(
      Job prerequisite, PriorityClass priorityClass, ChainDeadlines deadlines) {
    if (prerequisite == null || !prerequisite.isActive()) {
      return;
    }
    PriorityClass highest =
        priorityClass.isAbove(prerequisite.priorityClass())
            ? priorityClass
            : prerequisite.priorityClass();
    if (setUrgency(
        prerequisite, highest, ChainDeadlines.earlier(prerequisite.chainDeadlines, deadlines))) {
      recomputePrerequisites(prerequisite);
    }
  }

  /**
   * Computes a job's urgency anew from all its dependents, and that of its prerequisites where it
   * changed.
   */
  private void recomputeUrgency(Job job) {
    if (job.isActive() && recomputeOne(job)) {
      recomputePrerequisites(job);
    }
  }

  private void recomputePrerequisites(Job first) {
    Deque<Job> changed = new ArrayDeque<>(List.of(first));
    while (!changed.isEmpty()) {
      Job job = changed.poll();
      for (String id : new ArrayList<>(unmetPrerequisites.getOrDefault(job, Set.of()))) {
        Job prerequisite = jobsInMemory.apply(id);
        if (prerequisite != null && prerequisite.isActive() && recomputeOne(prerequisite)) {
          changed.add(prerequisite);
        }
      }
    }
  }

  private boolean recomputeOne(Job job) {
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
