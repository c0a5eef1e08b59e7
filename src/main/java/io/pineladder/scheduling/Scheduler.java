package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.OperatorSettings;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.QueueEntry;
import io.pineladder.queue.SchedulingQueue;
import io.pineladder.store.Records;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Schedules the jobs of one leader term: jobs enter and leave here, and what is observed of their
 * attempts is reported here. The parts are wired here too; each has one concern ({@link
 * SchedulingCycle}, {@link AttemptLifecycle}, {@link JobFinalizer}, {@link PendingJobs}). All of it
 * runs on the event loop's thread.
 */
public final class Scheduler {
  private static final Logger log = LoggerFactory.getLogger(Scheduler.class);

  /** For how long policy alone may deny a job capacity, or leave capacity idle, at the most. */
  public static final Duration MAX_POLICY_DELAY = StarvationBound.MAX_POLICY_DELAY;

  /** What the scheduler asks of the leader, and what it reports to it. */
  public interface Callbacks {
    /**
     * Whether tasks may be started: not while this node may not act as leader, nor while an earlier
     * attempt may be on a machine that no record and no heartbeat has named yet.
     */
    boolean mayStartTasks();

    /** The dependencies of the job are met: it may start from now on. */
    void onReady(Job job);

    /** The job is cancelled because one that it depends on is stored as cancelled. */
    void onCancelledByDependency(Job job);

    /** The final state of a job that is not in memory, if it is known without a read; or null. */
    Job.State knownFinalState(String job);

    /**
     * A job that others depend on is not in memory. It is to be looked up, and the result reported
     * to {@link #dependencies()}.
     */
    void lookUpJob(String job);

    /** Commands for this machine are ready to be sent. */
    void onCommandsDue(Machine machine);

    /** This term cannot go on. */
    void resign(String reason);
  }

  private final ClusterState cluster;
  private final SchedulerContext context;
  private final PendingJobs pendingJobs;
  private final FreedCapacity freedCapacity;
  private final FaultAttribution faultAttribution;
  private final JobDependencies dependencies;
  private final JobFinalizer jobFinalizer;
  private final AttemptLifecycle attempts;
  private final PlacementPolicy placementPolicy;
  private final SchedulingCycle schedulingCycle;

  /**
   * A scheduler without jobs.
   *
   * @param term the leader's term, a fencing token; attempt numbers begin with it
   */
  public Scheduler(
      ClusterState cluster,
      EventLoop eventLoop,
      long term,
      OperatorSettings operatorSettings,
      Callbacks callbacks) {
    this.cluster = cluster;
    this.context = new SchedulerContext(cluster, eventLoop, callbacks);
    ObjectiveOrdering ordering = new ObjectiveOrdering(cluster, eventLoop);
    SchedulingQueue queue =
        new SchedulingQueue(
            QueueingHints.createTable(cluster, eventLoop), ordering, operatorSettings);
    this.pendingJobs = new PendingJobs(eventLoop, queue, this::runCycles);
    this.freedCapacity = new FreedCapacity(eventLoop, pendingJobs);
    this.faultAttribution = new FaultAttribution(new FaultListener());
    this.dependencies =
        new JobDependencies(
            cluster.jobs::get,
            eventLoop::wallClock,
            cluster::ownDeadlines,
            new DependencyListener());
    Placer placer = new Placer(cluster, eventLoop);
    StarvationBound starvationBound = new StarvationBound(cluster, placer);
    TaskStarter taskStarter = new TaskStarter(context, starvationBound, term);
    this.jobFinalizer =
        new JobFinalizer(context, pendingJobs, starvationBound, faultAttribution, dependencies);
    this.attempts =
        new AttemptLifecycle(
            context,
            pendingJobs,
            freedCapacity,
            jobFinalizer,
            new GangRecovery(context, placer, taskStarter),
            faultAttribution);
    this.placementPolicy =
        new PlacementPolicy(
            placer,
            starvationBound,
            new PreemptionPolicy(cluster, eventLoop, attempts::preempt),
            new GangReservation(cluster, eventLoop),
            ordering);
    this.schedulingCycle =
        new SchedulingCycle(
            context, pendingJobs, freedCapacity, placementPolicy, taskStarter, attempts);
  }

  /** Sets the records, before the first job is added. */
  public void setRecords(Records records) {
    context.setRecords(records);
  }

  /** The scheduling queue, for operators' settings and its sizes. */
  public SchedulingQueue queue() {
    return pendingJobs.queue();
  }

  /** Which jobs and machines are held to be faulty. */
  public FaultAttribution faultAttribution() {
    return faultAttribution;
  }

  /** Which jobs wait for which others. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  /** What follows when a job that others depend on is over. */
  private final class DependencyListener implements JobDependencies.Listener {
    @Override
    public void onReady(Job job) {
      job.readyAt = context.eventLoop.wallClock();
      cluster.onDemandChanged(job);
      pendingJobs.activate(job);
      context.callbacks.onReady(job);
      pendingJobs.requestRun();
    }

    @Override
    public void onCancelled(Job job) {
      cluster.onDemandChanged(job);
      jobFinalizer.removeFromQueue(job);
      jobFinalizer.runFinalStateCallbacks(job);
      context.callbacks.onCancelledByDependency(job);
      attempts.killAll(job, Duration.ZERO);
      jobFinalizer.storeCancellationIfStopped(job);
    }

    @Override
    public void onUrgencyChanged(Job job) {
      pendingJobs.reorder(job);
    }

    @Override
    public Job.State knownFinalState(String id) {
      return context.callbacks.knownFinalState(id);
    }

    @Override
    public void lookUpJob(String id) {
      context.callbacks.lookUpJob(id);
    }
  }

  /** What follows when a job or a machine is found to be faulty, or no longer. */
  private final class FaultListener implements FaultAttribution.Listener {
    @Override
    public void onJobFailingChanged(Job job, boolean failing) {
      job.failing = failing;
      context.records().storeFaultAttribution(job);
      if (!failing) {
        pendingJobs.enqueue(job);
      }
    }

    @Override
    public void onQuarantineChanged(Machine machine, boolean quarantined) {
      machine.quarantined = quarantined;
      cluster.updateIndexes(machine);
      if (machine.isSchedulable()) {
        onMachineReady(machine);
      }
    }

    @Override
    public void onMachineFaulty(Machine machine) {
      machine.draining = true;
      cluster.updateIndexes(machine);
    }
  }

  // ---- jobs

  /** Adds a new job, or one read from the store whose attempts are known already. */
  public void add(Job job) {
    cluster.addJob(job);
    if (!job.isActive()) {
      job.finalStatePending = true;
      job.finalStateStored = true;
      attempts.killAll(job, Duration.ZERO);
      jobFinalizer.removeRecordIfFinished(job);
      return;
    }
    dependencies.add(job);
    // A dependency may be cancelled, and the job with it.
    if (!job.isActive()) {
      return;
    }
    if (job.failing) {
      faultAttribution.inheritFailing(job);
    }
    if (job.spec.kind() == JobKind.GANG && !job.attempts.isEmpty()) {
      // A gang is started as a whole. One whose placements were stored in part never completes.
      if (job.attempts.size() < job.spec.tasks()) {
        attempts.killAll(job, Duration.ZERO);
      }
      return;
    }
    for (int task = 0; task < job.spec.tasks(); task++) {
      if (job.mayStartTask(task)) {
        job.pendingTasks.set(task);
      }
    }
    pendingJobs.enqueue(job);
  }

  /**
   * Adopts an attempt that a worker reports and that no record names, if its task needs one: after
   * a loss of state that is where the task runs.
   *
   * @return false when the attempt is to be stopped
   */
  public boolean adoptUnrecorded(Attempt attempt) {
    Job job = attempt.job;
    boolean isOnlyAttempt = job.attempts.get(attempt.task).size() == 1;
    if (!job.isActive() || job.completedTasks.get(attempt.task) || !isOnlyAttempt) {
      return false;
    }
    if (job.spec.kind() == JobKind.GANG) {
      // Tasks of a gang find one another by the attempt number; two numbers are two gangs.
      for (Set<Attempt> others : job.attempts.values()) {
        if (others.stream().anyMatch(other -> other.number != attempt.number)) {
          return false;
        }
      }
    }
    job.pendingTasks.clear(attempt.task);
    context.records().storePlacement(attempt);
    return true;
  }

  /** Cancels a job for its user: no task of it is started from here on. */
  public void cancel(Job job) {
    if (!job.isActive()) {
      return;
    }
    job.transitionTo(Job.State.CANCELLED);
    cluster.onDemandChanged(job);
    jobFinalizer.removeFromQueue(job);
    dependencies.stopWaiting(job);
    attempts.killAll(job, Duration.ZERO);
    jobFinalizer.storeCancellationIfStopped(job);
  }

  /** The job's final state is stored. */
  public void onFinalStateStored(Job job) {
    log.debug("Final state stored: job={} state={}", job, job.state());
    // Those who wait for this job may ask about one that is cancelled with it.
    dependencies.onFinalStateStored(job);
    jobFinalizer.runFinalStateCallbacks(job);
    attempts.killAll(job, Duration.ZERO);
    jobFinalizer.removeRecordIfFinished(job);
  }

  // ---- attempts

  /**
   * Stops an attempt; one that is being stopped already stops sooner if the grace period is shorter
   * than before.
   */
  public void kill(Attempt attempt, Duration gracePeriod) {
    attempts.kill(attempt, gracePeriod);
  }

  /** Stops an attempt to free its capacity, after its checkpoint; a gang is stopped as a whole. */
  public void preempt(Attempt attempt) {
    attempts.preempt(attempt);
  }

  /** The placement is stored, so its start may be sent. */
  public void onPlacementStored(Attempt attempt) {
    attempts.onPlacementStored(attempt);
  }

  /** A machine lists the attempt in a state other than exited. */
  public void onAttemptObserved(Attempt attempt, Attempt.State state) {
    attempts.onObserved(attempt, state);
  }

  /** A machine lists the attempt as exited. */
  public void onAttemptExited(Attempt attempt, EndReason endReason) {
    attempts.onExited(attempt, endReason);
  }

  /**
   * Proof has come that the attempt is not on its machine and never will be.
   *
   * @param proof what proves it, for the log
   */
  public void onAttemptGone(Attempt attempt, String proof) {
    attempts.onGone(attempt, proof);
  }

  /** The machine has become schedulable, or has more capacity than before. */
  public void onMachineReady(Machine machine) {
    freedCapacity.onMachineReady(machine);
  }

  // ---- scheduling cycles

  /** Has the queue processed once the current event is handled. */
  public void requestRun() {
    pendingJobs.requestRun();
  }

  private void runCycles() {
    schedulingCycle.runAll();
  }

  /** Tries entries again that no event has activated for long; called once a second. */
  public void retryUnschedulable(Instant now) {
    pendingJobs.retryUnschedulable(placementPolicy.withheldJobs(), now);
  }

  /** The entries of all jobs with pending tasks. */
  public Iterable<QueueEntry> pendingEntries() {
    return pendingJobs.entries();
  }

  /** The number of the job's attempts that are running. */
  public static int countRunning(Job job) {
    int count = 0;
    for (Set<Attempt> taskAttempts : job.attempts.values()) {
      for (Attempt attempt : taskAttempts) {
        if (attempt.state() == Attempt.State.RUNNING) {
          count++;
        }
      }
    }
    return count;
  }
}
