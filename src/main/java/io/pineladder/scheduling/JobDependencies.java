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
    Job.State knownEnd(String id);

    /**
     * A prerequisite is not in memory and its state not known: {@link #found} or {@link #settled}
     * is to be called for it.
     */
    void lookUp(String id);
  }

  private final Function<String, Job> jobs;
  private final Supplier<Instant> timeOfDay;
  private final Listener listener;
  private final Function<Job, ChainDeadlines> ownFinishTimes;
  private final ClassLatencies times = new ClassLatencies();

  /** The jobs that wait for a job, by its id. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /** What each waiting job still waits for. */
  private final Map<Job, Set<String>> unmet = new LinkedHashMap<>();

  /** Prerequisites that are being looked up. */
  private final Set<String> lookups = new HashSet<>();

  /**
   * An empty index.
   *
   * @param jobs the jobs in memory, by id
   * @param ownFinishTimes what is expected of a job by itself; null for nothing
   */
  JobDependencies(
      Function<String, Job> jobs,
      Supplier<Instant> timeOfDay,
      Function<Job, ChainDeadlines> ownFinishTimes,
      Listener listener) {
    this.jobs = jobs;
    this.timeOfDay = timeOfDay;
    this.ownFinishTimes = ownFinishTimes;
    this.listener = listener;
  }

  /** How many jobs wait for others. */
  public int waiting() {
    return unmet.size();
  }

  /** The most jobs that come one after another in what waits. */
  public int longestChain() {
    Map<Job, Integer> depths = new HashMap<>();
    int longest = 0;
    for (Job job : unmet.keySet()) {
      longest = Math.max(longest, depth(job, depths));
    }
    return longest;
  }

  /**
   * The jobs from this one back to the first of its chain; without recursion, since chains may be
   * long.
   */
  private int depth(Job from, Map<Job, Integer> depths) {
    Deque<Job> stack = new ArrayDeque<>(List.of(from));
    while (!stack.isEmpty()) {
      Job job = stack.peek();
      int depth = 1;
      boolean known = true;
      for (String id : unmet.getOrDefault(job, Set.of())) {
        Job needed = jobs.apply(id);
        Integer of = needed == null ? Integer.valueOf(1) : depths.get(needed);
        if (of == null) {
          known = false;
          stack.push(needed);
        } else {
          depth = Math.max(depth, of + 1);
        }
      }
      if (known) {
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
    return !lookups.isEmpty() && unmet.containsKey(job);
  }

  // ---- jobs that come and go

  /** A job has come into memory. */
  void add(Job job) {
    if (job.isActive() && !job.spec.prerequisites().isEmpty()) {
      addWaiting(job);
    }
    if (dependents.containsKey(job.spec.id())) {
      review(job);
    }
  }

  private void addWaiting(Job job) {
    job.blockedByDependencies = true;
    unmet.put(job, new LinkedHashSet<>(job.spec.prerequisites()));
    for (String id : job.spec.prerequisites()) {
      dependents.computeIfAbsent(id, i -> new LinkedHashSet<>(2)).add(job);
    }
    for (String id : job.spec.prerequisites()) {
      Job needed = jobs.apply(id);
      Job.State ended = needed == null ? listener.knownEnd(id) : null;
      if (ended != null) {
        settled(id, ended);
      } else if (needed == null) {
        lookUp(id);
      } else {
        found(needed);
      }
    }
    ChainDeadlines before = timesBefore(job);
    for (String id : unmet.getOrDefault(job, Set.of())) {
      raise(jobs.apply(id), job.priorityClass(), before);
    }
  }

  private void lookUp(String id) {
    if (lookups.add(id)) {
      listener.lookUp(id);
    }
  }

  /**
   * A prerequisite that was looked up is in memory; its end will be told, if it is not known yet.
   */
  public void found(Job needed) {
    lookups.remove(needed.spec.id());
    if (needed.finalStateStored || needed.cancelledByDependency) {
      settled(needed.spec.id(), needed.state());
    } else if (needed.state() == Job.State.CANCELLED && needed.finalStatePending) {
      endUnderWay(needed);
    } else if (needed.cancellingPrerequisite != null) {
      endUnderWay(needed.cancellingPrerequisite, needed);
    }
  }

  /** Nothing is known of a prerequisite for certain; those that need it wait on. */
  public void notFound(String id) {
    lookups.remove(id);
  }

  /** The user cancelled a job that may wait for others: it waits no more. */
  void leave(Job job) {
    Set<String> left = unmet.remove(job);
    if (left == null) {
      return;
    }
    job.blockedByDependencies = false;
    for (String id : left) {
      Set<Job> of = dependents.get(id);
      if (of != null && of.remove(job) && of.isEmpty()) {
        dependents.remove(id);
      }
      Job needed = jobs.apply(id);
      if (needed != null) {
        review(needed);
      }
    }
  }

  // ---- ends

  /** The final state of a job is stored. */
  void ended(Job job) {
    if (job.state() == Job.State.DONE) {
      times.done(job, timeOfDay.get());
    }
    settled(job.spec.id(), job.state());
  }

  /** The final state of a job is known to be stored. */
  public void settled(String id, Job.State state) {
    lookups.remove(id);
    Set<Job> of = dependents.remove(id);
    if (of == null) {
      return;
    }
    if (state == Job.State.DONE) {
      of.forEach(job -> met(job, id));
    } else {
      cancel(of);
    }
  }

  private void met(Job job, String id) {
    Set<String> left = unmet.get(job);
    if (left != null && left.remove(id) && left.isEmpty()) {
      unmet.remove(job);
      job.blockedByDependencies = false;
      listener.onReady(job);
    }
  }

  /** Cancels jobs and all that need them; without recursion, since chains may be long. */
  private void cancel(Set<Job> first) {
    Deque<Job> stack = new ArrayDeque<>(first);
    while (!stack.isEmpty()) {
      Job job = stack.pop();
      if (job.cancelledByDependency || job.finalStateStored) {
        continue;
      }
      job.cancelledByDependency = true;
      job.transitionTo(Job.State.CANCELLED);
      leave(job);
      Set<Job> next = dependents.remove(job.spec.id());
      if (next != null) {
        stack.addAll(next);
      }
      listener.onCancelled(job);
    }
  }

  /**
   * The cancellation of a job is on its way to the store: other controllers may read it there
   * before this one hears of the commit, and call the jobs cancelled that need it.
   */
  void endUnderWay(Job cancelled) {
    endUnderWay(cancelled, cancelled);
  }

  private void endUnderWay(Job cancelled, Job from) {
    Deque<Job> stack = new ArrayDeque<>(List.of(from));
    while (!stack.isEmpty()) {
      for (Job job : dependents.getOrDefault(stack.pop().spec.id(), Set.of())) {
        if (job.cancellingPrerequisite == null) {
          job.cancellingPrerequisite = cancelled;
          stack.push(job);
        }
      }
    }
  }

  // ---- urgency

  /** When the jobs that this one needs should be over for it, or null. */
  private ChainDeadlines timesBefore(Job job) {
    ChainDeadlines own = ChainDeadlines.earlier(job.chainDeadlines, ownFinishTimes.apply(job));
    Duration expected = times.expected(job);
    return own == null ? null : own.minus(expected);
  }

  /** A job is needed by one more: what is expected of it can only become more urgent. */
  private void raise(Job needed, PriorityClass rank, ChainDeadlines before) {
    if (needed == null || !needed.isActive()) {
      return;
    }
    PriorityClass highest = rank.isAbove(needed.priorityClass()) ? rank : needed.priorityClass();
    if (set(needed, highest, ChainDeadlines.earlier(needed.chainDeadlines, before))) {
      reviewBefore(needed);
    }
  }

  /**
   * Computes a job's urgency anew from all that need it, and that of the jobs before it where it
   * changed.
   */
  private void review(Job job) {
    if (job.isActive() && reviewOne(job)) {
      reviewBefore(job);
    }
  }

  private void reviewBefore(Job first) {
    Deque<Job> changed = new ArrayDeque<>(List.of(first));
    while (!changed.isEmpty()) {
      Job job = changed.poll();
      for (String id : new ArrayList<>(unmet.getOrDefault(job, Set.of()))) {
        Job needed = jobs.apply(id);
        if (needed != null && needed.isActive() && reviewOne(needed)) {
          changed.add(needed);
        }
      }
    }
  }

  private boolean reviewOne(Job job) {
    PriorityClass highest = job.spec.priorityClass();
    ChainDeadlines earliest = null;
    for (Job dependent : dependents.getOrDefault(job.spec.id(), Set.of())) {
      highest = dependent.priorityClass().isAbove(highest) ? dependent.priorityClass() : highest;
      earliest = ChainDeadlines.earlier(earliest, timesBefore(dependent));
    }
    return set(job, highest, earliest);
  }

  private boolean set(Job job, PriorityClass rank, ChainDeadlines finishTimes) {
    boolean same =
        rank == job.priorityClass()
            && (finishTimes == null
                ? job.chainDeadlines == null
                : finishTimes.equals(job.chainDeadlines));
    if (same) {
      return false;
    }
    job.setUrgency(rank, finishTimes);
    listener.onUrgencyChanged(job);
    return true;
  }
}
