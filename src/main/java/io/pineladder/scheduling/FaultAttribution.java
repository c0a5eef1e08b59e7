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
 * Attributes task failures to jobs or to machines, based on where tasks fail and succeed.
 *
 * <p>A job that has failed on several machines that are not known to be faulty, and has succeeded
 * on none, is failing: only a few of its tasks are tried at a time as probes, and its failures do
 * not count against machines. A machine on which several jobs that are not failing have failed is
 * quarantined and gets no new work. Once one of those jobs has succeeded elsewhere, the machine is
 * faulty and is drained. A job that has succeeded once is never failing, and failures on a faulty
 * machine no longer count against jobs.
 */
public final class FaultAttribution {
  private static final Logger log = LoggerFactory.getLogger(FaultAttribution.class);

  /**
   * The number of machines on which a job must fail to be failing, and of jobs that must fail on a
   * machine to quarantine it.
   */
  static final int FAULT_THRESHOLD = 2;

  /** The maximum number of failed machines recorded per job. */
  private static final int MAX_FAILED_MACHINES_PER_JOB = 16;

  /** A task that has run for twice the longest failed run plus this margin counts as successful. */
  private static final Duration SUCCESS_RUN_TIME_MARGIN = Duration.ofSeconds(10);

  /** Receives the results of fault attribution. */
  interface Listener {
    /** Called when the job becomes failing or ceases to be. */
    void onJobFailingChanged(Job job, boolean failing);

    /** Called when the machine is quarantined, in which state it gets no new work, or released. */
    void onQuarantineChanged(Machine machine, boolean quarantined);

    /** Called when the machine is found faulty and has to be drained and released. */
    void onMachineFaulty(Machine machine);
  }

  /** The recorded failures and successes of a job that has failed at least once. */
  private static final class FailureHistory {
    final Set<Machine> failedMachines = new LinkedHashSet<>();
    Duration longestFailedRun = Duration.ZERO;
    int failureRounds;
    boolean succeeded;
    boolean failing;

    /** An earlier leader found the job failing; its evidence is not available in this term. */
    boolean restored;
  }

  private final Listener listener;
  private final Map<Job, FailureHistory> historyByJob = new LinkedHashMap<>();

  /** The jobs that failed on each machine that is not known to be faulty. */
  private final Map<Machine, Set<Job>> failedJobsByMachine = new HashMap<>();

  private final Set<Machine> quarantinedMachines = new LinkedHashSet<>();

  /** Faulty machines that still exist; failures on them do not count as evidence. */
  private final Set<Machine> faultyMachines = new HashSet<>();

  private final Deque<Job> jobsToEvaluate = new ArrayDeque<>();

  FaultAttribution(Listener listener) {
    this.listener = listener;
  }

  public int countFailingJobs() {
    return (int) historyByJob.values().stream().filter(history -> history.failing).count();
  }

  public int countQuarantinedMachines() {
    return quarantinedMachines.size();
  }

  /** Restores the failing state of a job as found by an earlier leader. */
  void restoreFailing(Job job) {
    FailureHistory history = historyByJob.computeIfAbsent(job, j -> new FailureHistory());
    history.restored = true;
    history.failing = true;
    history.failureRounds = FAULT_THRESHOLD;
  }

  /**
   * Counts another round of failures, which groups failures that occur together, and returns the
   * number of rounds.
   */
  int countFailureRound(Job job) {
    FailureHistory history = historyByJob.get(job);
    return history == null ? 1 : ++history.failureRounds;
  }

  /**
   * Records that a task of the job failed on the machine.
   *
   * @param runTime how long it had run; zero if it had not started running
   */
  void recordFailure(Job job, Machine machine, Duration runTime, Instant now) {
    FailureHistory history = historyByJob.computeIfAbsent(job, j -> new FailureHistory());
    if (runTime.compareTo(history.longestFailedRun) > 0) {
      history.longestFailedRun = runTime;
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

  /** Records that a task of the job completed, so the job is not failing. */
  void recordSuccess(Job job) {
    FailureHistory history = historyByJob.get(job);
    if (history != null && !history.succeeded) {
      history.succeeded = true;
      jobsToEvaluate.add(job);
      evaluatePendingJobs();
    }
  }

  /**
   * Checks whether jobs that are failing, or that failed on quarantined machines, have tasks that
   * now run long enough to count as successful.
   */
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

  /** Removes the evidence of a job that is done or cancelled. */
  void remove(Job job) {
    FailureHistory history = historyByJob.remove(job);
    if (history != null) {
      history.failedMachines.forEach(machine -> withdrawFailure(job, machine));
      history.failedMachines.forEach(this::evaluateMachine);
      evaluatePendingJobs();
    }
  }

  /** Removes a machine that no longer exists; failures there remain evidence against its jobs. */
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

  /**
   * Evaluates the jobs whose evidence has changed and the machines they failed on, until no further
   * job is affected.
   */
  private void evaluatePendingJobs() {
    for (Job job = jobsToEvaluate.poll(); job != null; job = jobsToEvaluate.poll()) {
      FailureHistory history = historyByJob.get(job);
      if (history == null) {
        continue;
      }
      // The set contains no machines that were found faulty.
      boolean failing =
          !history.succeeded
              && (history.restored || history.failedMachines.size() >= FAULT_THRESHOLD);
      if (failing != history.failing) {
        history.failing = failing;
        logFailingChange(job, history);
        listener.onJobFailingChanged(job, failing);
      }
      List.copyOf(history.failedMachines).forEach(this::evaluateMachine);
    }
  }

  private static void logFailingChange(Job job, FailureHistory history) {
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
    boolean shouldQuarantine = jobsNotFailing >= FAULT_THRESHOLD;
    if (shouldQuarantine && anySucceededElsewhere) {
      log.info("Machine found faulty, jobs fail only there: machine={}", machine);
      quarantinedMachines.remove(machine);
      faultyMachines.add(machine);
      for (Job job : failedJobsByMachine.remove(machine)) {
        historyByJob.get(job).failedMachines.remove(machine);
        jobsToEvaluate.add(job);
      }
      listener.onMachineFaulty(machine);
    } else if (shouldQuarantine
        ? quarantinedMachines.add(machine)
        : quarantinedMachines.remove(machine)) {
      log.info("Machine quarantine changed: machine={} quarantined={}", machine, shouldQuarantine);
      listener.onQuarantineChanged(machine, shouldQuarantine);
    }
  }
}
