package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells jobs that were submitted with a mistake from machines that are faulty, by where things fail
 * and where they go well.
 *
 * <p>A job that has failed on several machines, none of them known as faulty, and has gone well on
 * none is at fault: it is tried on now and then, and its failures speak against no machine. A
 * machine on which several jobs not at fault have failed is under suspicion and gets no more work;
 * once one of those jobs has gone well elsewhere it is faulty and goes. A job that goes well once
 * is never at fault, and what failed on a machine found faulty no longer counts against its jobs.
 */
public final class FaultAttribution {
  private static final Logger log = LoggerFactory.getLogger(FaultAttribution.class);

  /** Machines a job must have failed on to be at fault, and jobs for a machine to be suspect. */
  static final int SEVERAL = 2;

  /** Machines remembered of one job; more say nothing new. */
  private static final int REMEMBERED = 16;

  /** A task that runs so much longer than the one that failed goes well. */
  private static final Duration LONGER = Duration.ofSeconds(10);

  /** What follows from a verdict. */
  interface Listener {
    /** The job is at fault now, or is not any more. */
    void onJob(Job job, boolean atFault);

    /** The machine is to get no work while it is suspect. */
    void onSuspect(Machine machine, boolean suspect);

    /** The machine is at fault: it goes. */
    void onFaulty(Machine machine);
  }

  /** What is known of a job that failed somewhere. */
  private static final class Case {
    final Set<Machine> on = new LinkedHashSet<>();
    Duration longest = Duration.ZERO;
    int rounds;
    boolean good;
    boolean atFault;

    /** An earlier leader found it at fault, on evidence that this one does not have. */
    boolean inherited;
  }

  private final Listener listener;
  private final Map<Job, Case> cases = new LinkedHashMap<>();

  /** Jobs that failed on a machine, for machines not found faulty. */
  private final Map<Machine, Set<Job>> failed = new HashMap<>();

  private final Set<Machine> suspects = new LinkedHashSet<>();

  /** Machines found faulty that are still there; what fails on them says nothing new. */
  private final Set<Machine> faulty = new HashSet<>();

  private final Deque<Job> toJudge = new ArrayDeque<>();

  FaultAttribution(Listener listener) {
    this.listener = listener;
  }

  public int jobsAtFault() {
    return (int) cases.values().stream().filter(c -> c.atFault).count();
  }

  public int suspects() {
    return suspects.size();
  }

  /** An earlier leader found the job at fault. */
  void inherit(Job job) {
    Case of = cases.computeIfAbsent(job, j -> new Case());
    of.inherited = true;
    of.atFault = true;
    of.rounds = SEVERAL;
  }

  /** How often the job has failed, counting what failed together once. */
  int round(Job job) {
    Case of = cases.get(job);
    return of == null ? 1 : ++of.rounds;
  }

  /** A task of the job failed on the machine after it had run for so long. */
  void failed(Job job, Machine machine, Duration ran, Instant now) {
    Case of = cases.computeIfAbsent(job, j -> new Case());
    if (ran.compareTo(of.longest) > 0) {
      of.longest = ran;
    }
    if (!faulty.contains(machine) && of.on.size() < REMEMBERED && of.on.add(machine)) {
      failed.computeIfAbsent(machine, m -> new LinkedHashSet<>()).add(job);
    }
    of.good = goesWell(job, of, now);
    toJudge.add(job);
    judge();
  }

  /** A task of the job is complete: it is not at fault. */
  void succeeded(Job job) {
    Case of = cases.get(job);
    if (of != null && !of.good) {
      of.good = true;
      toJudge.add(job);
      judge();
    }
  }

  /** Looks whether jobs that failed on suspect machines, or are at fault, run elsewhere by now. */
  public void review(Instant now) {
    for (Map.Entry<Job, Case> entry : List.copyOf(cases.entrySet())) {
      Case of = entry.getValue();
      boolean open = of.atFault || of.on.stream().anyMatch(suspects::contains);
      if (open && !of.good && goesWell(entry.getKey(), of, now)) {
        succeeded(entry.getKey());
      }
    }
  }

  /** The job is over. */
  void forget(Job job) {
    Case of = cases.remove(job);
    if (of != null) {
      of.on.forEach(machine -> withdraw(job, machine));
      of.on.forEach(this::judge);
      judge();
    }
  }

  /** The machine is gone; what failed there stays known of its jobs. */
  public void forget(Machine machine) {
    failed.remove(machine);
    suspects.remove(machine);
    faulty.remove(machine);
  }

  private void withdraw(Job job, Machine machine) {
    Set<Job> of = failed.get(machine);
    if (of != null && of.remove(job) && of.isEmpty()) {
      failed.remove(machine);
    }
  }

  private static boolean goesWell(Job job, Case of, Instant now) {
    if (!job.done.isEmpty()) {
      return true;
    }
    Duration enough = of.longest.multipliedBy(2).plus(LONGER);
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt attempt : attempts) {
        if (attempt.state() == Attempt.State.RUNNING
            && attempt.runningSince != null
            && attempt.runningSince.plus(enough).isBefore(now)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Judges the jobs whose evidence has changed, their machines, and what follows from those. */
  private void judge() {
    for (Job job = toJudge.poll(); job != null; job = toJudge.poll()) {
      Case of = cases.get(job);
      if (of == null) {
        continue;
      }
      // Machines found faulty are no longer in the set.
      boolean atFault = !of.good && (of.inherited || of.on.size() >= SEVERAL);
      if (atFault != of.atFault) {
        of.atFault = atFault;
        log.info(
            atFault ? "job {} is at fault: it fails on {}" : "job {} is not at fault: {}",
            job,
            atFault ? of.on : of.good ? "it goes well" : "its machines were");
        listener.onJob(job, atFault);
      }
      List.copyOf(of.on).forEach(this::judge);
    }
  }

  private void judge(Machine machine) {
    int blaming = 0;
    boolean proven = false;
    for (Job job : failed.getOrDefault(machine, Set.of())) {
      Case of = cases.get(job);
      blaming += of.atFault ? 0 : 1;
      proven |= of.good;
    }
    boolean suspect = blaming >= SEVERAL;
    if (suspect && proven) {
      log.info("machine {} is faulty: jobs fail there that go well elsewhere", machine);
      suspects.remove(machine);
      faulty.add(machine);
      for (Job job : failed.remove(machine)) {
        cases.get(job).on.remove(machine);
        toJudge.add(job);
      }
      listener.onFaulty(machine);
    } else if (suspect ? suspects.add(machine) : suspects.remove(machine)) {
      log.info("machine {} is {} suspicion", machine, suspect ? "under" : "no longer under");
      listener.onSuspect(machine, suspect);
    }
  }
}
