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
 * Which jobs wait for which others, and what follows when one of those is over.
 *
 * <p>A job waits until each of its prerequisites is <em>stored</em> as done, so no start can come
 * before a completion that may yet be lost. It is cancelled once one of them is stored as
 * cancelled, directly or through others: that follows from the stored state of the one job whose
 * user asked for it, so nothing else has to be stored before it is told, and any controller comes
 * to the same conclusion.
 *
 * <p>The index is kept from the needed job to those that need it, with what each still waits for.
 * So an end costs work for the jobs that need it only, however many others wait. A prerequisite was
 * accepted before the job that names it, hence there are no cycles.
 *
 * <p>Rank and finishing times go back along the chain: a job is treated as having the highest rank
 * of those that need it, and is to be over in time for all of them.
 */
public final class JobDependencies {
  /** What follows for a job. */
  interface Listener {
    /** Its last prerequisite is done: it may start. */
    void onReady(Job job);

    /** A prerequisite was cancelled, and the job with it. */
    void onCancelled(Job job);

    /** The rank that it is treated as having, or when it should be over, has changed. */
    void onUrgencyChanged(Job job);

    /** The final state of a job that is not in memory, if it is known without a read; or null. */
    Job.State knownFinalState(String id);

    /**
     * A prerequisite is not in memory and its state not known: {@link #onPrerequisiteFound} or
     * {@link #onFinalStateKnown} is to be called for it.
     */
    void lookUpJob(String id);
  }

  private final Function<String, Job> jobsInMemory;
  private final Supplier<Instant> wallClock;
  private final Listener listener;
  private final Function<Job, ChainDeadlines> ownDeadlines;
  private final ClassLatencies classLatencies = new ClassLatencies();

  /** The jobs that wait for a job, by its id. */
  private final Map<String, Set<Job>> dependentsById = new HashMap<>();

  /** What each waiting job still waits for. */
  private final Map<Job, Set<String>> unmetPrerequisites = new LinkedHashMap<>();

  /** Prerequisites that are being looked up. */
  private final Set<String> pendingLookups = new HashSet<>();

  /**
   * An empty index.
   *
   * @param jobs the jobs in memory, by id
   * @param ownFinishTimes what is expected of a job by itself; null for nothing
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

  /** How many jobs wait for others. */
  public int countWaitingJobs() {
    return unmetPrerequisites.size();
  }

  /** The most jobs that come one after another in what waits. */
  public int longestChainLength() {
    Map<Job, Integer> depths = new HashMap<>();
    int longest = 0;
    for (Job job : unmetPrerequisites.keySet()) {
      longest = Math.max(longest, chainDepth(job, depths));
    }
    return longest;
  }

  /**
   * The jobs from this one back to the first of its chain; without recursion, since chains may be
   * long.
   */
  private int chainDepth(Job from, Map<Job, Integer> depths) {
    Deque<Job> stack = new ArrayDeque<>(List.of(from));
    while (!stack.isEmpty()) {
      Job job = stack.peek();
      int depth = 1;
      boolean allKnown = true;
      for (String id : unmetPrerequisites.getOrDefault(job, Set.of())) {
        Job needed = jobsInMemory.apply(id);
        Integer neededDepth = needed == null ? Integer.valueOf(1) : depths.get(needed);
        if (neededDepth == null) {
          allKnown = false;
          stack.push(needed);
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
   * Whether nothing certain can be said of a waiting job: a prerequisite is being looked up, of
   * this job or of one before it, and may turn out to be cancelled.
   */
  public boolean isUncertain(Job job) {
    return !pendingLookups.isEmpty() && unmetPrerequisites.containsKey(job);
  }

  // ---- jobs that come and go

  /** A job has come into memory. */
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
      Job needed = jobsInMemory.apply(id);
      Job.State finalState = needed == null ? listener.knownFinalState(id) : null;
      if (finalState != null) {
        onFinalStateKnown(id, finalState);
      } else if (needed == null) {
        startLookup(id);
      } else {
        onPrerequisiteFound(needed);
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
   * A prerequisite that was looked up is in memory; its end will be told, if it is not known yet.
   */
  public void onPrerequisiteFound(Job needed) {
    pendingLookups.remove(needed.spec.id());
    if (needed.finalStateStored || needed.cancelledByDependency) {
      onFinalStateKnown(needed.spec.id(), needed.state());
    } else if (needed.state() == Job.State.CANCELLED && needed.finalStatePending) {
      onCancellationPending(needed);
    } else if (needed.cancellingPrerequisite != null) {
      markCancellationPending(needed.cancellingPrerequisite, needed);
    }
  }

  /** Nothing is known of a prerequisite for certain; those that need it wait on. */
  public void onPrerequisiteNotFound(String id) {
    pendingLookups.remove(id);
  }

  /** The user cancelled a job that may wait for others: it waits no more. */
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
      Job needed = jobsInMemory.apply(id);
      if (needed != null) {
        recomputeUrgency(needed);
      }
    }
  }

  // ---- ends

  /** The final state of a job is stored. */
  void onFinalStateStored(Job job) {
    if (job.state() == Job.State.DONE) {
      classLatencies.recordCompletion(job, wallClock.get());
    }
    onFinalStateKnown(job.spec.id(), job.state());
  }

  /** The final state of a job is known to be stored. */
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

  /** Cancels jobs and all that need them; without recursion, since chains may be long. */
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
   * The cancellation of a job is on its way to the store: other controllers may read it there
   * before this one hears of the commit, and call the jobs cancelled that need it.
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

  /** When the jobs that this one needs should be over for it, or null. */
  private ChainDeadlines prerequisiteDeadlines(Job job) {
    ChainDeadlines deadlines = ChainDeadlines.earlier(job.chainDeadlines, ownDeadlines.apply(job));
    Duration expected = classLatencies.expectedDuration(job);
    return deadlines == null ? null : deadlines.minus(expected);
  }

  /** A job is needed by one more: what is expected of it can only become more urgent. */
  private void raiseUrgency(Job needed, PriorityClass priorityClass, ChainDeadlines deadlines) {
    if (needed == null || !needed.isActive()) {
      return;
    }
    PriorityClass highest =
        priorityClass.isAbove(needed.priorityClass()) ? priorityClass : needed.priorityClass();
    if (setUrgency(needed, highest, ChainDeadlines.earlier(needed.chainDeadlines, deadlines))) {
      recomputePrerequisites(needed);
    }
  }

  /**
   * Computes a job's urgency anew from all that need it, and that of the jobs before it where it
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
        Job needed = jobsInMemory.apply(id);
        if (needed != null && needed.isActive() && recomputeOne(needed)) {
          changed.add(needed);
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
    job.setUrgency(priorityClass, deadlines);
    listener.onUrgencyChanged(job);
    return true;
  }
}
