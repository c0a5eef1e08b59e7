package io.pineladder;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.autoscaling.Autoscaler;
import io.pineladder.delivery.NotificationOutbox;
import io.pineladder.delivery.SubscriptionManager;
import io.pineladder.failover.FailoverTimings;
import io.pineladder.failover.TermLoader;
import io.pineladder.generation.GenerationGarbageCollector;
import io.pineladder.model.Attempt;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Settings;
import io.pineladder.model.TermTokens;
import io.pineladder.net.ScopedEventLoop;
import io.pineladder.reconciliation.JobReconciler;
import io.pineladder.reconciliation.PrerequisiteReader;
import io.pineladder.replica.RecordReplica;
import io.pineladder.replica.RecordSource;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.Committer;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.upgrade.VersionRaiser;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.StoreWire;
import io.pineladder.wire.WorkerWire;
import io.pineladder.workers.WorkerManager;
import io.pineladder.zones.LeaseKeepAliveReader;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leadership term, from loading the records to its end. Creates and connects the components
 * that schedule jobs, store records and scale the cluster. Runs on the event loop's thread.
 *
 * <p>A term cannot have effects after its end: every transaction is conditional on the leader key
 * of this term, and workers reject a fencing token that is lower than the highest they have seen.
 */
public final class LeaderTerm {
  private static final Logger log = LoggerFactory.getLogger(LeaderTerm.class);

  private final ScopedEventLoop eventLoop;
  private final StoreClient storeClient;
  private final ControllerContext context;
  private final ElectedTerm elected;
  private final RecordReplica replica;
  private final FailoverTimings.OngoingFailover failover;
  private final Leadership leadership;
  private final RecordLossReporter recordLoss;

  private final TermLifecycle lifecycle;
  private final TermTokens tokens;
  private final ClusterState cluster;
  private final Committer committer;
  private final NotificationOutbox outbox;
  private final SubscriptionManager subscriptions;
  private final LeaseKeepAliveReader keepAliveReader;
  private final TaskStartHold taskStartHold;
  private final Scheduler scheduler;
  private final Records records;
  private final LoadedRecordVerifier loadedRecordVerifier;
  private final TermLoader loader;
  private final JobReconciler reconciler;
  private final RecordLossDetector recordLossDetector;
  private final PrerequisiteReader prerequisites;
  private final WorkerManager workers;
  private final HeartbeatResponder heartbeats;
  private final Autoscaler autoscaler;
  private final ConfigurationWriter configurationWriter;
  private final PendingSubmissions pendingSubmissions = new PendingSubmissions();
  private final JobStatusReader statuses;
  private final SubmissionHandler submissions;
  private final JobCanceller canceller;

  /** Placements stored since the latest call of {@link #observeTaskStarts}. */
  private int placementsStored;

  /**
   * Creates the term of a won election; {@link #load} starts it.
   *
   * @param replica this controller's replica of the records, which the term keeps up to date
   * @param failover the timings of the failover with which this term begins
   */
  LeaderTerm(
      ControllerContext context,
      ElectedTerm elected,
      RecordReplica replica,
      FailoverTimings.OngoingFailover failover,
      Leadership leadership,
      RecordLossReporter recordLoss) {
    this.context = context;
    this.elected = elected;
    this.replica = replica;
    this.failover = failover;
    this.leadership = leadership;
    this.recordLoss = recordLoss;
    this.eventLoop = new ScopedEventLoop(context.eventLoop());
    this.storeClient = context.storeClient();
    Settings settings = context.settings();
    this.lifecycle = new TermLifecycle(elected.term(), eventLoop.now(), leadership);
    this.tokens = new TermTokens(elected.term());
    this.cluster = new ClusterState(settings);
    cluster.setTypes(context.configuration().machineTypes());
    this.committer =
        new Committer(storeClient, eventLoop, elected.leaderKeyRevision(), new CommitEvents());
    this.outbox = newOutbox();
    committer.setNotificationLog(outbox);
    this.subscriptions = newSubscriptionManager();
    this.keepAliveReader =
        new LeaseKeepAliveReader(
            storeClient, eventLoop, () -> autoscaler().zones().isAnyUnreachable());
    this.taskStartHold = new TaskStartHold(lifecycle, recordLoss, eventLoop);
    this.scheduler = newScheduler();
    this.records = newRecords();
    scheduler.setRecords(records);
    this.loadedRecordVerifier = new LoadedRecordVerifier(replica, recordLoss, maxValueBytes());
    this.loader =
        new TermLoader(
            storeClient, eventLoop, cluster, committer, records, outbox, new LoadEvents());
    this.reconciler =
        new JobReconciler(storeClient, cluster, committer, records, new ReconciliationEvents());
    this.recordLossDetector = newRecordLossDetector();
    this.prerequisites = newPrerequisiteReader();
    this.workers = newWorkerManager();
    this.heartbeats =
        new HeartbeatResponder(lifecycle, leadership, workers, cluster, failover, eventLoop);
    this.autoscaler = newAutoscaler();
    this.configurationWriter = new ConfigurationWriter(lifecycle, committer);
    this.statuses = new JobStatusReader(cluster, scheduler, reconciler, pendingSubmissions);
    this.submissions = newSubmissionHandler();
    this.canceller = new JobCanceller(cluster, scheduler, statuses, pendingSubmissions);
  }

  // ---- components; each is created after those on which it depends

  private NotificationOutbox newOutbox() {
    return new NotificationOutbox(
        NotificationOutbox.MAX_RETAINED,
        maxValueBytes(),
        eventLoop,
        committer::submit,
        this::onNotificationsStored);
  }

  private SubscriptionManager newSubscriptionManager() {
    return new SubscriptionManager(
        context.delivery(),
        outbox,
        // Answers operators after the end of the term too.
        context.eventLoop(),
        committer::submit,
        maxValueBytes(),
        lifecycle::isLeadingWithValidLease);
  }

  private Scheduler newScheduler() {
    return new Scheduler(
        cluster,
        eventLoop,
        elected.term(),
        context.configuration().operatorSettings(),
        new SchedulerEffects());
  }

  private Records newRecords() {
    return new Records(
        maxValueBytes(),
        context.settings().currentStoreLimits().valueBytes(),
        context.configuration().clusterVersion(),
        eventLoop,
        committer::submit,
        new RecordEvents(),
        outbox);
  }

  private RecordLossDetector newRecordLossDetector() {
    return new RecordLossDetector(
        lifecycle,
        committer,
        reconciler,
        replica,
        recordLoss,
        eventLoop,
        context.settings().workerTimes().heartbeatInterval());
  }

  private PrerequisiteReader newPrerequisiteReader() {
    return new PrerequisiteReader(
        cluster.jobs::get,
        this::finalState,
        reconciler,
        eventLoop,
        lifecycle::isLeading,
        scheduler::dependencies);
  }

  private WorkerManager newWorkerManager() {
    return new WorkerManager(
        cluster,
        scheduler,
        context.httpClient(),
        eventLoop,
        tokens,
        lifecycle::isLeadingWithValidLease,
        new WorkerEvents());
  }

  private Autoscaler newAutoscaler() {
    return new Autoscaler(
        cluster,
        scheduler,
        records,
        context.httpClient(),
        eventLoop,
        elected.term(),
        context.configuration().operatorSettings(),
        new AutoscalerEffects());
  }

  private SubmissionHandler newSubmissionHandler() {
    return new SubmissionHandler(
        cluster,
        records,
        replica,
        reconciler,
        statuses,
        pendingSubmissions,
        eventLoop,
        new SubmissionEvents());
  }

  private int maxValueBytes() {
    return context.settings().storeLimits().valueBytes();
  }

  // ---- lifecycle

  /** Loads the records of earlier leaders, whose transactions can no longer commit. */
  void load() {
    loader.load();
  }

  /** Starts to schedule, after all records were loaded. */
  private void startLeading(List<Job> jobs, StoreClient.Listing inbox) {
    lifecycle.startLeading();
    recordLossDetector.onRecordsRead(
        jobs.isEmpty() && cluster.machines().isEmpty() && replica.finalStateCount() == 0);
    recordLoss.onRecordsRead(replica);
    failover.recordPhase(FailoverTimings.Phase.STORE_READ);
    recordLossDetector.startAudit();
    failover.expectHeartbeats(cluster.machines().size());
    for (Job job : jobs) {
      scheduler.add(job);
      if (job.isActive() && job.completedTasks.cardinality() == job.spec.tasks()) {
        job.transitionTo(Job.State.DONE);
        records.storeFinalState(job);
      }
    }
    configurationWriter.storePending();
    loadedRecordVerifier.rewriteReplaced(committer, records);
    taskStartHold.startIfNeeded(autoscaler::isInventoryConfirmed, scheduler::requestRun);
    log.info(
        "Term started: term={} jobs={} machines={} revision={}",
        elected.term(),
        cluster.jobs.size(),
        cluster.machines().size(),
        storeClient.highestRevision());
    reconciler.start(inbox);
    new VersionRaiser(
            context.configuration().clusterVersion(),
            context.membership()::peerStatuses,
            eventLoop,
            committer::submit,
            lifecycle::isLeading,
            this::applyClusterVersion)
        .raiseWhenSupported();
    applyClusterVersion();
    autoscaler.start();
    keepAliveReader.start(lifecycle::hasEnded);
    new GenerationGarbageCollector(
            storeClient, eventLoop, elected.leaderKeyRevision(), lifecycle::isLeadingWithValidLease)
        .start();
    if (subscriptions.isEnabled() || outbox.hasSubscribers()) {
      loader.loadBacklog(lifecycle::isLeading, subscriptions::start);
    }
    scheduler.requestRun();
  }

  /** Ends the term because leadership was lost or given up, or the process stops. */
  void close() {
    lifecycle.end();
    failover.close();
    committer.close();
    autoscaler.close();
    reconciler.close();
    eventLoop.close();
    // After the current event, which may still iterate over what is released.
    context.eventLoop().schedule(Duration.ZERO, this::releaseMemory);
  }

  /**
   * Drops the state of the ended term, to which its open requests refer until they are answered.
   * Meanwhile this controller may be elected again and load the same records.
   */
  private void releaseMemory() {
    cluster.clear();
    records.clear();
  }

  /** The lease was in doubt and has been confirmed as valid. */
  void onLeaseConfirmed() {
    scheduler.requestRun();
    subscriptions.wake();
  }

  // ---- configuration

  /** Applies new operator settings. */
  void applyOperatorSettings(OperatorSettings operatorSettings) {
    scheduler.queue().updateSettings(operatorSettings);
    autoscaler.configure(operatorSettings);
  }

  /** Applies machine types that were read or fetched. */
  void onMachineTypes(List<MachineType> machineTypes) {
    cluster.setTypes(machineTypes);
    scheduler.requestRun();
  }

  /** Stores machine types that were fetched from the cloud API, for all controllers. */
  void storeMachineTypes(List<MachineType> machineTypes) {
    configurationWriter.storeMachineTypes(machineTypes);
  }

  /**
   * Stores operator settings, for all controllers.
   *
   * @param onStored called after the commit
   */
  public void storeOperatorSettings(OperatorSettings operatorSettings, Runnable onStored) {
    configurationWriter.storeOperatorSettings(operatorSettings, onStored);
  }

  /** Divides oversized pages if all controllers can read divided pages by now. */
  private void applyClusterVersion() {
    if (context.configuration().clusterVersion().inForce() >= ClusterVersion.CHAINED_JOBS) {
      divideOversizedPages();
    }
  }

  /** Divides pages of earlier leaders that exceed the size limit of the store's values. */
  private void divideOversizedPages() {
    records.divideOversizedPages(lifecycle::isLeading, committer::requeueDeferred);
  }

  // ---- users and workers

  /** Whether the job is in memory or being stored, so that a submission of it is a repeated one. */
  public boolean isJobKnown(String id) {
    return submissions.isKnown(id);
  }

  /** Verifies that the prerequisites of a submitted job were accepted. */
  public void verifyPrerequisites(JobSpec spec, Consumer<PrerequisiteReader.Verification> onDone) {
    prerequisites.verify(spec.prerequisites(), onDone);
  }

  /** Stores a job unless it was accepted before; {@code onDone} is called after the commit. */
  public void submit(JobSpec spec, Consumer<SubmissionResult> onDone) {
    submissions.submit(spec, onDone);
  }

  /** Reads a job's status from memory, or from the store if the job is not in memory. */
  public void readStatus(String id, Consumer<JobView> onDone) {
    statuses.read(id, onDone);
  }

  /** Cancels a job; {@code onDone} is called after the commit. */
  public void cancel(String id, Consumer<JobView> onDone) {
    canceller.cancel(id, onDone);
  }

  /** A user request was answered by this leader. */
  public void onRequestAnswered() {
    failover.recordPhase(FailoverTimings.Phase.FIRST_ANSWER);
  }

  /**
   * Handles a heartbeat.
   *
   * @param relayed whether a peer forwarded the heartbeat
   * @return the response body; null if this controller must not extend the worker's lease, so that
   *     the worker has to try another controller
   */
  public byte[] onHeartbeat(WorkerWire.Heartbeat heartbeat, boolean relayed) {
    return heartbeats.onHeartbeat(heartbeat, relayed);
  }

  // ---- state exposed to the administration API

  /** Whether all records are read and the term has not ended. */
  boolean isLeading() {
    return lifecycle.isLeading();
  }

  /**
   * Determines why no task has started since the previous call.
   *
   * @param leaseValid whether the lease is valid now
   */
  TaskStartMonitor.Observation observeTaskStarts(boolean leaseValid) {
    int stored = placementsStored;
    placementsStored = 0;
    TaskStartMonitor.Reason reason =
        stored > 0 ? TaskStartMonitor.Reason.NONE : reasonForNoStart(leaseValid);
    return new TaskStartMonitor.Observation(reason, this::describeTaskStarts);
  }

  private TaskStartMonitor.Reason reasonForNoStart(boolean leaseValid) {
    if (!lifecycle.isLeading()) {
      return TaskStartMonitor.Reason.LOADING;
    }
    if (!leaseValid) {
      return TaskStartMonitor.Reason.LEASE_IN_DOUBT;
    }
    if (taskStartHold.isHeld()) {
      return TaskStartMonitor.Reason.START_HOLD;
    }
    if (scheduler.queue().sizes().values().stream().allMatch(size -> size == 0)) {
      return TaskStartMonitor.Reason.NONE;
    }
    if (cluster.types().isEmpty()) {
      return TaskStartMonitor.Reason.NO_MACHINE_TYPES;
    }
    if (countConfirmedMachines() == 0) {
      return TaskStartMonitor.Reason.NO_CONFIRMED_MACHINE;
    }
    return committer.pendingMutations() > 0
        ? TaskStartMonitor.Reason.COMMIT_PENDING
        : TaskStartMonitor.Reason.UNSCHEDULABLE;
  }

  private String describeTaskStarts() {
    return String.format(
        Locale.ROOT,
        "term=%d jobs=%d machines=%d confirmed=%d pendingWrites=%d storeHealthy=%s"
            + " unschedulable=%s",
        elected.term(),
        cluster.jobs.size(),
        cluster.machines().size(),
        countConfirmedMachines(),
        committer.pendingMutations(),
        storeClient.isHealthy(),
        scheduler.queue().unschedulableByCheck());
  }

  private long countConfirmedMachines() {
    return cluster.machines().stream()
        .filter(machine -> machine.state() == Machine.State.CONFIRMED)
        .count();
  }

  /** The term number, which is also the lowest fencing token of the term. */
  public long term() {
    return elected.term();
  }

  /** Whether a machine that has seen this fencing token follows a later leader. */
  public boolean isOfLaterTerm(long token) {
    return tokens.isOfLaterTerm(token);
  }

  /** The jobs and machines in memory. */
  public ClusterState cluster() {
    return cluster;
  }

  /** The scheduler of this term. */
  public Scheduler scheduler() {
    return scheduler;
  }

  /** The autoscaler of this term, which also monitors machines and zones. */
  public Autoscaler autoscaler() {
    return autoscaler;
  }

  /** The webhook subscriptions to final states. */
  public SubscriptionManager subscriptions() {
    return subscriptions;
  }

  /** The number of record mutations that are not committed yet. */
  public int pendingWrites() {
    return committer.pendingMutations();
  }

  /**
   * The minimum slack in seconds over all active jobs with chain deadlines: the time until the job
   * has to start for its dependents to meet their deadlines, negative if that time has passed.
   * Empty if no active job has chain deadlines.
   */
  public OptionalDouble minChainSlackSeconds() {
    Instant now = eventLoop.wallClock();
    boolean found = false;
    double minSlackSeconds = Double.POSITIVE_INFINITY;
    for (Job job : cluster.jobs.values()) {
      if (job.isActive() && job.chainDeadlines != null) {
        Instant start = job.chainDeadlines.target().minus(job.spec.estimatedRunTime());
        minSlackSeconds =
            Math.min(minSlackSeconds, Duration.between(now, start).toMillis() / 1000.0);
        found = true;
      }
    }
    return found ? OptionalDouble.of(minSlackSeconds) : OptionalDouble.empty();
  }

  // ---- callbacks between components

  /** The final state of a job as known without reading the store; null if unknown. */
  private Job.State finalState(String id) {
    Job.State finalState = replica.finalState(id);
    return finalState != null ? finalState : context.finalStates().stateOf(id);
  }

  private void onNotificationsStored() {
    subscriptions.wake();
  }

  /** Adds a job; a job with prerequisites counts as an arrival only once it is ready to start. */
  private void addJob(Job job) {
    scheduler.add(job);
    if (job.spec.prerequisites().isEmpty()) {
      autoscaler.recordArrival(job);
    }
  }

  /** Handles the outcomes of commits. */
  private final class CommitEvents implements Committer.Listener {
    @Override
    public void onFenced(String reason) {
      leadership.resign(reason);
    }

    @Override
    public void onLeaderKeyGone() {
      leadership.onLeaderKeyLost();
    }

    @Override
    public void onDataLoss(String reason) {
      recordLoss.onRecordMissing(reason);
    }

    @Override
    public void onLimitsLowered() {
      // Limits are lowered only after all controllers were upgraded, so all can read divided pages
      // (docs/upgrades.md).
      divideOversizedPages();
    }

    @Override
    public void onCommitted(long revision) {
      tokens.onCommitted(elected.token(revision));
    }

    @Override
    public void onStored(String key, JsonNode value, long revision) {
      replica.put(key, value, revision);
    }
  }

  /** Carries out the scheduler's decisions. */
  private final class SchedulerEffects implements Scheduler.Callbacks {
    @Override
    public boolean mayStartTasks() {
      return !taskStartHold.isHeld() && lifecycle.isLeadingWithValidLease();
    }

    @Override
    public void onCommandsDue(Machine machine) {
      workers.requestCommand(machine);
    }

    @Override
    public void resign(String reason) {
      leadership.resign(reason);
    }

    @Override
    public void onReady(Job job) {
      autoscaler.recordArrival(job);
    }

    @Override
    public void onCancelledByDependency(Job job) {
      context.finalStates().put(job.spec.id(), JobWire.Status.CANCELLED);
    }

    @Override
    public Job.State knownFinalState(String job) {
      return finalState(job);
    }

    @Override
    public void lookUpJob(String job) {
      prerequisites.lookUp(job);
    }
  }

  /** Updates the components when records are stored. */
  private final class RecordEvents implements Records.Listener {
    @Override
    public void onPlacementStored(Attempt attempt) {
      placementsStored++;
      failover.recordPhase(FailoverTimings.Phase.FIRST_PLACEMENT);
      scheduler.onPlacementStored(attempt);
    }

    @Override
    public void onFinalStateStored(Job job) {
      context
          .finalStates()
          .put(
              job.spec.id(),
              job.state() == Job.State.DONE ? JobWire.Status.DONE : JobWire.Status.CANCELLED);
      scheduler.onFinalStateStored(job);
    }

    @Override
    public void onRemoved(Job job) {
      reconciler.onJobRemoved();
      cluster.removeJob(job);
    }

    @Override
    public void onUnpagedRecordFound(Job job, Runnable retry) {
      reconciler.findDuplicateRecord(job, retry);
    }
  }

  /** Handles the records that are read while the term is loading. */
  private final class LoadEvents implements TermLoader.Listener {
    @Override
    public boolean isLoading() {
      return lifecycle.isLoading();
    }

    @Override
    public void onConfiguration(List<StoreWire.Entry> entries) {
      context.configuration().applyEntries(entries);
    }

    @Override
    public List<MachineType> machineTypes() {
      return context.configuration().machineTypes();
    }

    @Override
    public StoreClient.Listing onPrefixRead(String prefix, StoreClient.Listing listing) {
      return loadedRecordVerifier.verify(prefix, listing);
    }

    @Override
    public Job.State finalState(String id) {
      return replica.finalState(id);
    }

    @Override
    public void onUnreadableRecord(String reason) {
      leadership.resign(reason);
    }

    @Override
    public void onLoaded(List<Job> jobs, StoreClient.Listing inbox) {
      startLeading(jobs, inbox);
    }
  }

  /** Handles jobs that other controllers stored and the reconciler found. */
  private final class ReconciliationEvents implements JobReconciler.Listener {
    @Override
    public boolean isLeading() {
      return lifecycle.isLeading();
    }

    @Override
    public boolean isAccepting(String id) {
      return pendingSubmissions.contains(id);
    }

    @Override
    public void onJobFound(Job job) {
      addJob(job);
    }

    @Override
    public void onFinalState(String id, Job.State finalState) {
      context.finalStates().put(id, JobView.toStatus(finalState));
    }

    @Override
    public Job.State finalState(String id) {
      return replica.finalState(id);
    }

    @Override
    public void onRecordRead(StoreWire.Entry entry) {
      replica.put(entry, RecordSource.LEADER_READ);
    }

    @Override
    public boolean recordsMayBeIncomplete() {
      return recordLossDetector.mayJobBeLost();
    }
  }

  /** Handles findings from workers' heartbeats. */
  private final class WorkerEvents implements WorkerManager.Listener {
    @Override
    public void onNewerFencingToken(long token) {
      log.warn(
          "Heartbeat with newer fencing token: observedToken={} ownToken={}",
          token,
          elected.term());
      leadership.onNewerFencingToken(token);
    }

    @Override
    public boolean wasReleased(String machine) {
      return autoscaler.wasReleased(machine);
    }

    @Override
    public void onUnexpectedMachine(Machine machine) {
      log.debug("Heartbeat of a machine that was not requested or listed: machine={}", machine);
    }

    @Override
    public boolean areRecordsIncomplete() {
      return taskStartHold.mayTasksBeUnrecorded();
    }

    @Override
    public void onUnknownTask(String job) {
      recordLossDetector.checkUnknownJob(job);
    }

    @Override
    public boolean isJobEnded(String job) {
      return replica.finalState(job) != null;
    }

    @Override
    public void onCancellationUnprovable(Machine machine) {
      eventLoop.schedule(Duration.ZERO, () -> autoscaler.release(machine));
    }
  }

  /** Gives the autoscaler access to leadership and workers. */
  private final class AutoscalerEffects implements Autoscaler.Callbacks {
    @Override
    public boolean isLeadingWithValidLease() {
      return lifecycle.isLeadingWithValidLease();
    }

    @Override
    public boolean acceptsHeartbeats() {
      return leadership.acceptsHeartbeats();
    }

    @Override
    public void resign(String reason) {
      leadership.resign(reason);
    }

    @Override
    public void transferLeadership(String reason) {
      leadership.transferLeadership(reason);
    }

    @Override
    public int workersSeenByPeers(String zone) {
      return keepAliveReader.workersSeenByPeers(zone);
    }

    @Override
    public void probe(Machine machine) {
      workers.probe(machine);
    }
  }

  /** Handles the results of submissions. */
  private final class SubmissionEvents implements SubmissionHandler.Listener {
    @Override
    public void onAccepted(Job job) {
      addJob(job);
    }

    @Override
    public void onDuplicate(String reason) {
      leadership.resign(reason);
    }
  }
}
