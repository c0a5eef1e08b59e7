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
 * Attributes task failures to jobs or to machines, by where tasks fail and where they succeed.
 *
 * <p>A job that has failed on several machines, none of them known as faulty, and has succeeded on
 * none is failing: it is only probed now and then, and its failures count against no machine. A
 * machine on which several jobs that are not failing have failed is quarantined and gets no more
 * work; once one of those jobs has succeeded elsewhere the machine is faulty and is drained. A job
 * that has succeeded once is never failing, and failures on a machine found faulty no longer count
 * against its jobs.
 */
public final class FaultAttribution {
  private static final Logger log = LoggerFactory.getLogger(FaultAttribution.class);

  /**
   * Machines that a failing job has failed on, and jobs that have failed on a quarantined machine.
   */
  static final int FAULT_THRESHOLD = 2;

  /** Failed machines that are recorded of one job; more are no further evidence. */
  private static final int MAX_FAILED_MACHINES_PER_JOB = 16;

  /** A task that has run for twice the longest failed run and this margin counts as a success. */
  private static final Duration SUCCESS_RUN_TIME_MARGIN = Duration.ofSeconds(10);

  /** What follows from an attribution. */
  interface Listener {
    /** The job is failing now, or no longer. */
    void onJobFailingChanged(Job job, boolean failing);

    /** The machine gets no work while it is quarantined. */
    void onQuarantineChanged(Machine machine, boolean quarantined);

    /** The machine is faulty: it is to be drained and returned. */
    void onMachineFaulty(Machine machine);
  }

  /** The evidence on a job that has failed somewhere. */
  private static final class FailureHistory {
    final Set<Machine> failedMachines = new LinkedHashSet<>();
    Duration longestFailedRun = Duration.ZERO;
    int failureRounds;
    boolean succeeded;
    boolean failing;

    /** An earlier leader found the job failing, on evidence that this one does not have. */
    boolean inherited;
  }

  private final Listener listener;
  private final Map<Job, FailureHistory> historyByJob = new LinkedHashMap<>();

  /** Jobs that failed on a machine, of machines not found faulty. */
  private final Map<Machine, Set<Job>> failedJobsByMachine = new HashMap<>();

  private final Set<Machine> quarantinedMachines = new LinkedHashSet<>();

  /** Machines found faulty that are not gone yet; failures on them are no evidence. */
  private final Set<Machine> faultyMachines = new HashSet<>();

  private final Deque<Job> jobsToEvaluate = new ArrayDeque<>();

  FaultAttribution(Listener listener) {
    this.listener = listener;
  }

  /** How many jobs are failing. */
  public int countFailingJobs() {
    return (int) historyByJob.values().stream().filter(c -> c.failing).count();
  }

  /** How many machines are quarantined. */
  public int countQuarantinedMachines() {
    return quarantinedMachines.size();
  }

  /** An earlier leader found the job failing. */
  void inheritFailing(Job job) {
    FailureHistory history = historyByJob.computeIfAbsent(job, j -> new FailureHistory());
    history.inherited = true;
    history.failing = true;
    history.failureRounds = FAULT_THRESHOLD;
  }

  /** Counts one more round of failures, those that came together, and returns their number. */
  int countFailureRound(Job job) {
    FailureHistory history = historyByJob.get(job);
    return history == null ? 1 : ++history.failureRounds;
  }

  /**
   * A task of the job failed on the machine.
   *
   * @param ran for how long it had run; zero if it had not begun
   */
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

  /** A task of the job is complete, so the job is not failing. */
  void recordSuccess(Job job) {
    FailureHistory history = historyByJob.get(job);
    if (history != null && !history.succeeded) {
      history.succeeded = true;
      jobsToEvaluate.add(job);
      evaluatePendingJobs();
    }
  }

  /** Reviews whether jobs that failed on quarantined machines, or are failing, run well by now. */
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

  /** Removes the evidence of a job that is over. */
  void remove(Job job) {
    FailureHistory history = historyByJob.remove(job);
    if (history != null) {
      history.failedMachines.forEach(machine -> withdrawFailure(job, machine));
      history.failedMachines.forEach(this::evaluateMachine);
      evaluatePendingJobs();
    }
  }

  /** Removes a machine that is gone; failures there remain evidence on its jobs. */
  public void remove(Machine machine) {
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
    if (!job.completedTasks.isEmpty()) {
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

  /** Evaluates the jobs whose evidence has changed, their machines, and what follows from those. */
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
        logJob(job, history);
        listener.onJobFailingChanged(job, failing);
      }
      List.copyOf(history.failedMachines).forEach(this::evaluateMachine);
    }
  }

  private static void logJob(Job job, FailureHistory history) {
    if (history.failing) {
      log.info("Job found failing: job={} failedMachines={}", job, history.failedMachines);
    } else {
      log.info(
          "Job no longer found failing: job={} reason={}",
          job,
          history.succeeded ? "task succeeded" : "machines were faulty");
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
      log.info("Machine found faulty, jobs fail only there: machine={}", machine);
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
      log.info("Machine quarantine changed: machine={} quarantined={}", machine, quarantine);
      listener.onQuarantineChanged(machine, quarantine);
    }
  }
}
