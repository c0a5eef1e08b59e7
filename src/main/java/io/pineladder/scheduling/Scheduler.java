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
 * Schedules the jobs of one leader term. This is the entry point for adding and cancelling jobs and
 * for reporting observed attempt states. The constructor creates and connects the components:
 * {@link SchedulingCycle}, {@link AttemptLifecycle}, {@link JobFinalizer}, {@link PendingJobs} and
 * others. All of them run on the event loop's thread.
 */
public final class Scheduler {
  private static final Logger log = LoggerFactory.getLogger(Scheduler.class);

  /** The maximum time for which policy alone may deny capacity to a job, or leave capacity idle. */
  public static final Duration MAX_POLICY_DELAY = StarvationBound.MAX_POLICY_DELAY;

  /** Callbacks from the scheduler to the leader. */
  public interface Callbacks {
    /**
     * Whether tasks may be started. False while this node is not allowed to act as leader, and
     * while attempts of earlier leaders may be running that are known from neither a record nor a
     * heartbeat.
     */
    boolean mayStartTasks();

    /** Called when all prerequisites of the job are done, so it may start. */
    void onReady(Job job);

    /** Called when the job is cancelled because a prerequisite is stored as cancelled. */
    void onCancelledByDependency(Job job);

    /**
     * Returns the final state of a job that is not in memory if it is known without a read, or
     * null.
     */
    Job.State knownFinalState(String job);

    /**
     * Called when a prerequisite is not in memory. The implementation looks it up and reports the
     * result to {@link #dependencies()}.
     */
    void lookUpJob(String job);

    /** Called when commands for this machine are ready to be sent. */
    void onCommandsDue(Machine machine);

    /** Called when the leader has to resign because this term cannot continue. */
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
   * Creates a scheduler without jobs.
   *
   * @param term the term of the leader, which is a fencing token; attempt numbers begin with it
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

  /** Sets the records; must be called before the first job is added. */
  public void setRecords(Records records) {
    context.setRecords(records);
  }

  /** The scheduling queue, for its settings and sizes. */
  public SchedulingQueue queue() {
    return pendingJobs.queue();
  }

  /** The attribution of failures to jobs and machines. */
  public FaultAttribution faultAttribution() {
    return faultAttribution;
  }

  /** The dependency graph of the waiting jobs. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  private final class DependencyListener implements JobDependencies.Listener {
    @Override
    public void onReady(Job job) {
      job.readyAt = context.eventLoop.wallClock();
      cluster.onQuotaDemandChanged(job);
      pendingJobs.activate(job);
      context.callbacks.onReady(job);
      pendingJobs.requestRun();
    }

    @Override
    public void onCancelled(Job job) {
      cluster.onQuotaDemandChanged(job);
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

  /** Adds a new job, or a job read from the store whose attempts have been added already. */
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
    // Adding the job to the graph cancels it if a prerequisite is cancelled.
    if (!job.isActive()) {
      return;
    }
    if (job.failing) {
      faultAttribution.restoreFailing(job);
    }
    if (job.spec.kind() == JobKind.GANG && !job.attempts.isEmpty()) {
      // A gang whose placements were stored only in part can never start, so it is stopped.
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
   * Adopts an attempt that a worker reports but no record names, if its task needs one. After a
   * loss of stored records such an attempt is the one that runs the task.
   *
   * @return false if the attempt has to be stopped
   */
  public boolean adoptUnrecorded(Attempt attempt) {
    Job job = attempt.job;
    boolean isOnlyAttempt = job.attempts.get(attempt.task).size() == 1;
    if (!job.isActive() || job.completedTasks.get(attempt.task) || !isOnlyAttempt) {
      return false;
    }
    if (job.spec.kind() == JobKind.GANG) {
      // Tasks of a gang find their peers by attempt number, so all must have the same one.
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

  /** Cancels a job at the request of a user; none of its tasks is started after this. */
  public void cancel(Job job) {
    if (!job.isActive()) {
      return;
    }
    job.transitionTo(Job.State.CANCELLED);
    cluster.onQuotaDemandChanged(job);
    jobFinalizer.removeFromQueue(job);
    dependencies.remove(job);
    attempts.killAll(job, Duration.ZERO);
    jobFinalizer.storeCancellationIfStopped(job);
  }

  /** Handles a job whose final state is stored. */
  public void onFinalStateStored(Job job) {
    log.debug("Final state stored: job={} state={}", job, job.state());
    // Callbacks may read the state of dependents, so these are updated first.
    dependencies.onFinalStateStored(job);
    jobFinalizer.runFinalStateCallbacks(job);
    attempts.killAll(job, Duration.ZERO);
    jobFinalizer.removeRecordIfFinished(job);
  }

  // ---- attempts

  /**
   * Stops an attempt. If it is being stopped already, a shorter grace period replaces the earlier
   * one.
   */
  public void kill(Attempt attempt, Duration gracePeriod) {
    attempts.kill(attempt, gracePeriod);
  }

  /** Preempts an attempt after its checkpoint. A gang is preempted as a whole. */
  public void preempt(Attempt attempt) {
    attempts.preempt(attempt);
  }

  /** Handles a stored placement: the start command may be sent now. */
  public void onPlacementStored(Attempt attempt) {
    attempts.onPlacementStored(attempt);
  }

  /** Handles a machine that reports the attempt in a state other than exited. */
  public void onAttemptObserved(Attempt attempt, Attempt.State state) {
    attempts.onObserved(attempt, state);
  }

  /** Handles a machine that reports the attempt as exited. */
  public void onAttemptExited(Attempt attempt, EndReason endReason) {
    attempts.onExited(attempt, endReason);
  }

  /**
   * Handles proof that the attempt is not on its machine and cannot start there later.
   *
   * @param proof a description of the proof, for the log
   */
  public void onAttemptGone(Attempt attempt, String proof) {
    attempts.onGone(attempt, proof);
  }

  /** Handles a machine that has become schedulable or gained capacity. */
  public void onMachineReady(Machine machine) {
    freedCapacity.onMachineReady(machine);
  }

  // ---- scheduling cycles

  /** Requests a run of the scheduling cycles after the current event. */
  public void requestRun() {
    pendingJobs.requestRun();
  }

  private void runCycles() {
    schedulingCycle.runAll();
  }

  /** Retries entries that no event has activated for a long time; called once a second. */
  public void retryUnschedulable(Instant now) {
    pendingJobs.retryUnschedulable(placementPolicy.withheldJobs(), now);
  }

  /** The queue entries of all jobs with pending tasks. */
  public Iterable<QueueEntry> pendingEntries() {
    return pendingJobs.entries();
  }

  /** Returns the number of running attempts of the job. */
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
