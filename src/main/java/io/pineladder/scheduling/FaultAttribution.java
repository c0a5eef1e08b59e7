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
  static final int FAULT_THRESHOLD = 2;

  /** Machines remembered of one job; more say nothing new. */
  private static final int MAX_FAILED_MACHINES_PER_JOB = 16;

  /** A task that runs so much longer than the one that failed goes well. */
  private static final Duration SUCCESS_RUN_TIME_MARGIN = Duration.ofSeconds(10);

  /** What follows from a verdict. */
  interface Listener {
    /** The job is at fault now, or is not any more. */
    void onJobFailingChanged(Job job, boolean failing);

    /** The machine is to get no work while it is suspect. */
    void onQuarantineChanged(Machine machine, boolean quarantined);

    /** The machine is at fault: it goes. */
    void onMachineFaulty(Machine machine);
  }

  /** What is known of a job that failed somewhere. */
  private static final class FailureHistory {
    final Set<Machine> failedMachines = new LinkedHashSet<>();
    Duration longestFailedRun = Duration.ZERO;
    int failureRounds;
    boolean succeeded;
    boolean failing;

    /** An earlier leader found it at fault, on evidence that this one does not have. */
    boolean inherited;
  }

  private final Listener listener;
  private final Map<Job, FailureHistory> historyByJob = new LinkedHashMap<>();

  /** Jobs that failed on a machine, for machines not found faulty. */
  private final Map<Machine, Set<Job>> failedJobsByMachine = new HashMap<>();

  private final Set<Machine> quarantinedMachines = new LinkedHashSet<>();

  /** Machines found faulty that are still there; what fails on them says nothing new. */
  private final Set<Machine> faultyMachines = new HashSet<>();

  private final Deque<Job> jobsToEvaluate = new ArrayDeque<>();

  FaultAttribution(Listener listener) {
    this.listener = listener;
  }

  public int countFailingJobs() {
    return (int) historyByJob.values().stream().filter(c -> c.failing).count();
  }

  public int countQuarantinedMachines() {
    return quarantinedMachines.size();
  }

  /** An earlier leader found the job at fault. */
  void inheritFailing(Job job) {
    FailureHistory history = historyByJob.computeIfAbsent(job, j -> new FailureHistory());
    history.inherited = true;
    history.failing = true;
    history.failureRounds = FAULT_THRESHOLD;
  }

  /** How often the job has failed, counting what failed together once. */
  int countFailureRound(Job job) {
    FailureHistory history = historyByJob.get(job);
    return history == null ? 1 : ++history.failureRounds;
  }

  /** A task of the job failed on the machine after it had run for so long. */
  void recordFailure(Job job, Machine machine, Duration ran, Instant now) {
    FailureHistory history = historyByJob.computeIfAbsent(job, j -> new FailureHistory());
    if (ran.compareTo(history.longestFailedRun) > 0) {
      history.longestFailedRun = ran;
    }
    if (!faultyMachines.contains(machine)
        && history.failedMachines.size() < MAX_FAILED_MACHINES_PER_JOB
        && history.failedMachines.add(machine)) {
      failedJobsByMachine.computeIfAbsent(machine, m -> new LinkedHashSet<>()).add(job);
    }
    history.succeeded = isSuccessful(job, history, now);
    jobsToEvaluate.add(job);
    evaluatePendingJobs();
  }

  /** A task of the job is complete: it is not at fault. */
  void recordSuccess(Job job) {
    FailureHistory history = historyByJob.get(job);
    if (history != null && !history.succeeded) {
      history.succeeded = true;
      jobsToEvaluate.add(job);
      evaluatePendingJobs();
    }
  }

  /** Looks whether jobs that failed on suspect machines, or are at fault, run elsewhere by now. */
  public void reviewRunningJobs(Instant now) {
    for (Map.Entry<Job, FailureHistory> entry : List.copyOf(historyByJob.entrySet())) {
      FailureHistory history = entry.getValue();
      boolean isUndecided =
          history.failing
              || history.failedMachines.stream().anyMatch(quarantinedMachines::contains);
      if (isUndecided && !history.succeeded && isSuccessful(entry.getKey(), history, now)) {
        recordSuccess(entry.getKey());
      }
    }
  }

  /** The job is over. */
  void forget(Job job) {
    FailureHistory history = historyByJob.remove(job);
    if (history != null) {
      history.failedMachines.forEach(machine -> withdrawFailure(job, machine));
      history.failedMachines.forEach(this::evaluateMachine);
      evaluatePendingJobs();
    }
  }

  /** The machine is gone; what failed there stays known of its jobs. */
  public void forget(Machine machine) {
    failedJobsByMachine.remove(machine);
    quarantinedMachines.remove(machine);
    faultyMachines.remove(machine);
  }

  private void withdrawFailure(Job job, Machine machine) {
    Set<Job> jobs = failedJobsByMachine.get(machine);
    if (jobs != null && jobs.remove(job) && jobs.isEmpty()) {
      failedJobsByMachine.remove(machine);
    }
  }

  private static boolean isSuccessful(Job job, FailureHistory history, Instant now) {
    if (!job.done.isEmpty()) {
      return true;
    }
    Duration successRunTime =
        history.longestFailedRun.multipliedBy(2).plus(SUCCESS_RUN_TIME_MARGIN);
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt attempt : attempts) {
        if (attempt.state() == Attempt.State.RUNNING
            && attempt.runningSince != null
            && attempt.runningSince.plus(successRunTime).isBefore(now)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Judges the jobs whose evidence has changed, their machines, and what follows from those. */
  private void evaluatePendingJobs() {
    for (Job job = jobsToEvaluate.poll(); job != null; job = jobsToEvaluate.poll()) {
      FailureHistory history = historyByJob.get(job);
      if (history == null) {
        continue;
      }
      // Machines found faulty are no longer in the set.
      boolean failing =
          !history.succeeded
              && (history.inherited || history.failedMachines.size() >= FAULT_THRESHOLD);
      if (failing != history.failing) {
        history.failing = failing;
        log.info(
            failing ? "job {} is at fault: it fails on {}" : "job {} is not at fault: {}",
            job,
            failing
                ? history.failedMachines
                : history.succeeded ? "it goes well" : "its machines were");
        listener.onJobFailingChanged(job, failing);
      }
      List.copyOf(history.failedMachines).forEach(this::evaluateMachine);
    }
  }

  private void evaluateMachine(Machine machine) {
    int jobsNotFailing = 0;
    boolean anySucceededElsewhere = false;
    for (Job job : failedJobsByMachine.getOrDefault(machine, Set.of())) {
      FailureHistory history = historyByJob.get(job);
      jobsNotFailing += history.failing ? 0 : 1;
      anySucceededElsewhere |= history.succeeded;
    }
    boolean quarantine = jobsNotFailing >= FAULT_THRESHOLD;
    if (quarantine && anySucceededElsewhere) {
      log.info("machine {} is faulty: jobs fail there that go well elsewhere", machine);
      quarantinedMachines.remove(machine);
      faultyMachines.add(machine);
      for (Job job : failedJobsByMachine.remove(machine)) {
        historyByJob.get(job).failedMachines.remove(machine);
        jobsToEvaluate.add(job);
      }
      listener.onMachineFaulty(machine);
    } else if (quarantine
        ? quarantinedMachines.add(machine)
        : quarantinedMachines.remove(machine)) {
      log.info("machine {} is {} suspicion", machine, quarantine ? "under" : "no longer under");
      listener.onQuarantineChanged(machine, quarantine);
    }
  }
}
