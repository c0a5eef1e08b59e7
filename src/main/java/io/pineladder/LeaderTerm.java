package io.pineladder;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.autoscaling.Autoscaler;
import io.pineladder.delivery.DeliveryContext;
import io.pineladder.delivery.NotificationOutbox;
import io.pineladder.delivery.SubscriptionManager;
import io.pineladder.failover.FailoverTimings;
import io.pineladder.failover.TermLoader;
import io.pineladder.generation.GenerationGarbageCollector;
import io.pineladder.membership.Membership;
import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.reconciliation.JobReconciler;
import io.pineladder.reconciliation.PrerequisiteReader;
import io.pineladder.replica.RecordReplica;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.upgrade.ClusterVersion;
import io.pineladder.upgrade.VersionRaiser;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import io.pineladder.wire.WorkerWire;
import io.pineladder.workers.WorkerManager;
import io.pineladder.zones.LeaseKeepAliveReader;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of leadership, from reading the store to its end. */
public final class LeaderTerm {
  private static final Logger log = LoggerFactory.getLogger(LeaderTerm.class);

  /** How long a leader that still reads the store keeps workers' leases without orders. */
  private static final Duration LOADING_KEEP_ALIVE_DURATION = Duration.ofSeconds(2);

  /** Where a term stands. */
  public enum State {
    /** Reading what earlier leaders stored; decides nothing yet. */
    LOADING,
    LEADING,
    OVER
  }

  /** What the node does for its leader. */
  interface Host {
    /** The lease holds now. */
    boolean mayAct();

    /** The lease holds, or its doubt is young enough to go on taking in reports. */
    boolean takesReports();

    void resign(String reason);

    /** Others can do what this node cannot: the term ends, and this node does not stand at once. */
    void handOver(String reason);

    void superseded(long token);

    void onFinal(String job, JobWire.Status status);

    /** A final state that this node knows, or null. */
    JobWire.Status finalState(String job);

    /** The version of the records that is in force. */
    ClusterVersion version();

    List<Membership.PeerStatus> peers();

    List<MachineType> types();

    /** Stored settings were read. */
    void onConf(List<StoreWire.Entry> entries);

    /** The records are read, and this node leads. */
    void onBegun(RecordReplica replica);

    /** This leader's key is gone from the store, or another's. */
    void onKeyGone();

    /** A record is missing or older than this leader stored it. */
    void onLost(String reason);

    /** A worker runs a task of a job that nothing in the store tells of. */
    void onUnknownJob(String job);

    /** A record cannot be read, and this controller has no copy of it. */
    void onDamaged(String key);

    /** A record that is not there may have been lost, and come back. */
    boolean recordsMayLack();

    /** For how long something may be missing from the records; null when nothing can be. */
    Duration incompleteFor();
  }

  /** Between two looks whether the store still holds what was stored. */
  private static final Duration AUDIT_INTERVAL = Duration.ofSeconds(1);

  /**
   * A term that begins so long after an incomplete rebuild need not hold again: the terms before
   * have heard all machines, or have returned them.
   */
  private static final Duration MAX_HOLD_AGE = Duration.ofMinutes(5);

  /** For so long after an incomplete rebuild what runs is kept, though no record tells of it. */
  private static final Duration INCOMPLETE_RECORDS_DURATION = Duration.ofSeconds(60);

  private final RecordReplica replica;
  private final Settings settings;
  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final long term;

  /** The revision of this leader's key. */
  private final long leaderKeyRevision;

  private final Host host;
  private final FailoverTimings.OngoingFailover failover;
  private final ClusterState cluster;
  private final Committer committer;
  private final NotificationOutbox outbox;
  private final SubscriptionManager subscriptions;
  private final Records records;
  private final Scheduler scheduler;
  private final WorkerManager workers;
  private final Autoscaler autoscaler;
  private final LeaseKeepAliveReader keepAliveReader;
  private final TermLoader loader;
  private final JobReconciler reconciler;
  private final PrerequisiteReader prerequisites;
  private final Instant begunAt;
  private State state = State.LOADING;

  /** It was asked of late whether a job that a worker knows is in the store. */
  private boolean unknownJobChecked;

  /** No record of a job was in the store when this term began. */
  private boolean beganEmpty;

  /** No task is started, since an attempt of it may be somewhere unknown. */
  private boolean taskStartsHeld;

  /** What could not be read, where the copy had it. */
  private final List<StoreWire.Entry> repairedEntries = new ArrayList<>();

  /** Machine types learned while loading, or null. */
  private List<MachineType> machineTypesToStore;

  /** Machines recorded by earlier leaders that this one has heard. */
  private final Set<Machine> machinesHeard = new HashSet<>();

  /** Submissions being stored, with those who wait for the answer. */
  private final Map<String, List<Consumer<JobWire.Status>>> pendingSubmissions = new HashMap<>();

  LeaderTerm(
      Settings settings,
      StoreClient storeClient,
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      long term,
      long leaderKeyRevision,
      RecordReplica replica,
      OperatorSettings operator,
      FailoverTimings.OngoingFailover failover,
      DeliveryContext delivery,
      Host host) {
    this.replica = replica;
    this.settings = settings;
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.term = term;
    this.begunAt = eventLoop.now();
    this.host = host;
    this.failover = failover;
    this.cluster = new ClusterState(settings);
    cluster.setTypes(host.types());
    this.leaderKeyRevision = leaderKeyRevision;
    this.committer = new Committer(storeClient, eventLoop, leaderKeyRevision, new CommitEvents());
    int valueBytes = settings.storeLimits().valueBytes();
    this.outbox =
        new NotificationOutbox(
            NotificationOutbox.MOST_KEPT,
            valueBytes,
            eventLoop,
            committer::submit,
            this::onNotificationsStored);
    committer.setNotificationLog(outbox);
    this.subscriptions =
        new SubscriptionManager(
            delivery, outbox, eventLoop, committer::submit, valueBytes, this::mayAct);
    this.keepAliveReader =
        new LeaseKeepAliveReader(
            storeClient, eventLoop, () -> autoscaler().zones().isAnyUnreachable());
    this.scheduler =
        new Scheduler(
            cluster,
            eventLoop,
            term,
            operator,
            new Scheduler.Callbacks() {
              @Override
              public boolean mayAct() {
                return LeaderTerm.this.mayAct();
              }

              @Override
              public void onCommandsDue(Machine machine) {
                LeaderTerm.this.ordersDue(machine);
              }

              @Override
              public boolean mayStartTasks() {
                return !taskStartsHeld && LeaderTerm.this.mayAct();
              }

              @Override
              public void resign(String reason) {
                host.resign(reason);
              }

              @Override
              public void onReady(Job job) {
                autoscaler().recordArrival(job);
              }

              @Override
              public void onCancelledByDependency(Job job) {
                host.onFinal(job.spec.id(), JobWire.Status.CANCELLED);
              }

              @Override
              public Job.State knownFinalState(String job) {
                return finalState(job);
              }

              @Override
              public void lookUpJob(String job) {
                prerequisites().lookUp(job);
              }
            });
    this.records =
        new Records(
            valueBytes,
            settings.currentStoreLimits().valueBytes(),
            host.version(),
            eventLoop,
            committer::submit,
            new Records.Listener() {
              @Override
              public void onPlacementStored(Attempt attempt) {
                failover.recordPhase(FailoverTimings.Phase.FIRST_PLACEMENT);
                scheduler.onPlacementStored(attempt);
              }

              @Override
              public void onFinalStateStored(Job job) {
                LeaderTerm.this.onEndStored(job);
              }

              @Override
              public void onRemoved(Job job) {
                reconciler.onJobRemoved();
                cluster.removeJob(job);
              }

              @Override
              public void onUnpagedRecordFound(Job job, Runnable again) {
                reconciler.findDuplicateRecord(job, again);
              }
            },
            outbox);
    scheduler.setRecords(records);
    this.loader =
        new TermLoader(
            storeClient, eventLoop, cluster, committer, records, outbox, new LoadEvents());
    this.reconciler =
        new JobReconciler(storeClient, cluster, committer, records, new ReconciliationEvents());
    this.prerequisites =
        new PrerequisiteReader(
            cluster.jobs::get,
            this::finalState,
            reconciler,
            eventLoop,
            () -> state == State.LEADING,
            scheduler::dependencies);
    BooleanSupplier mayAct = this::mayAct;
    this.workers =
        new WorkerManager(
            cluster,
            scheduler,
            httpClient,
            eventLoop,
            term,
            mayAct,
            new WorkerManager.Listener() {
              @Override
              public void onNewerFencingToken(long token) {
                log.warn("a worker has seen token {}, ours is {}", token, term);
                host.superseded(token);
              }

              @Override
              public boolean wasReleased(String machine) {
                return autoscaler.wasReleased(machine);
              }

              @Override
              public void onUnexpectedMachine(Machine machine) {
                log.debug("machine {} reports", machine);
              }

              @Override
              public boolean areRecordsIncomplete() {
                Duration incomplete = host.incompleteFor();
                return taskStartsHeld
                    || incomplete != null && incomplete.compareTo(INCOMPLETE_RECORDS_DURATION) < 0;
              }

              @Override
              public void onUnknownTask(String job) {
                if (!unknownJobChecked && host.incompleteFor() == null && !host.recordsMayLack()) {
                  unknownJobChecked = true;
                  eventLoop.schedule(AUDIT_INTERVAL, () -> unknownJobChecked = false);
                  reconciler.ifUnknown(job, () -> host.onUnknownJob(job));
                }
              }

              @Override
              public boolean isJobEnded(String job) {
                return replica.finalState(job) != null;
              }

              @Override
              public void onCancellationUnprovable(Machine machine) {
                eventLoop.schedule(Duration.ZERO, () -> autoscaler.release(machine));
              }
            });
    this.autoscaler =
        new Autoscaler(
            cluster,
            scheduler,
            records,
            httpClient,
            eventLoop,
            term,
            operator,
            new Autoscaler.Effects() {
              @Override
              public boolean mayAct() {
                return LeaderTerm.this.mayAct();
              }

              @Override
              public boolean acceptsHeartbeats() {
                return host.takesReports();
              }

              @Override
              public void resign(String reason) {
                host.resign(reason);
              }

              @Override
              public void transferLeadership(String reason) {
                host.handOver(reason);
              }

              @Override
              public int workersHeardByPeers(String zone) {
                return keepAliveReader.workersHeardByPeers(zone);
              }

              @Override
              public void probe(Machine machine) {
                workers.probe(machine);
              }
            });
  }

  /** What becomes of what is stored. */
  private final class CommitEvents implements Committer.Listener {
    @Override
    public void onFenced(String reason) {
      host.resign(reason);
    }

    @Override
    public void onLeaderKeyGone() {
      host.onKeyGone();
    }

    @Override
    public void onDataLoss(String reason) {
      host.onLost(reason);
    }

    @Override
    public void onLimitsLowered() {
      // Operators lower them only after all controllers are upgraded (docs/upgrades.md).
      shrinkPages();
    }

    @Override
    public void onStored(String key, JsonNode value, long revision) {
      replica.put(key, value, revision, false);
    }
  }

  private void moveTo(State next) {
    if (state != State.OVER) {
      state = next;
    }
  }

  public State state() {
    return state;
  }

  public long term() {
    return term;
  }

  public ClusterState cluster() {
    return cluster;
  }

  public Scheduler scheduler() {
    return scheduler;
  }

  /** The machines, and the zones that they are in. */
  public Autoscaler autoscaler() {
    return autoscaler;
  }

  public int pendingWrites() {
    return committer.pendingMutations();
  }

  private PrerequisiteReader prerequisites() {
    return prerequisites;
  }

  /** A final state that is known without a read, or null. */
  private Job.State finalState(String id) {
    Job.State ended = replica.finalState(id);
    if (ended != null) {
      return ended;
    }
    return toState(host.finalState(id));
  }

  /** Has what earlier leaders stored in values that are too large stored in smaller ones. */
  private void shrinkPages() {
    records.divideOversizedPages(() -> state == State.LEADING, committer::requeueDeferred);
  }

  private void onVersion() {
    if (host.version().inForce() >= ClusterVersion.CHAINED_JOBS) {
      shrinkPages();
    }
  }

  private boolean mayAct() {
    return state == State.LEADING && host.mayAct();
  }

  private void onNotificationsStored() {
    subscriptions.kick();
  }

  /** Who is told of final states. */
  public SubscriptionManager subscriptions() {
    return subscriptions;
  }

  private void ordersDue(Machine machine) {
    workers.requestCommand(machine);
  }

  private void onEndStored(Job job) {
    host.onFinal(
        job.spec.id(),
        job.state() == Job.State.DONE ? JobWire.Status.DONE : JobWire.Status.CANCELLED);
    scheduler.onFinalStateStored(job);
  }

  void close() {
    moveTo(State.OVER);
    failover.close();
    committer.close();
    autoscaler.close();
  }

  /** The lease was in doubt and holds after all. */
  void onLeaseConfirmed() {
    scheduler.requestRun();
    subscriptions.kick();
  }

  void configure(OperatorSettings operator) {
    scheduler.queue().updateSettings(operator);
    autoscaler.configure(operator);
  }

  void onMachineTypes(List<MachineType> types) {
    cluster.setTypes(types);
    scheduler.requestRun();
  }

  /** Stores the machine types, so that a cloud outage does not stop submissions. */
  void storeMachineTypes(List<MachineType> types) {
    if (state != State.LEADING) {
      // They came while the store is still being read. Forgotten here, no other node would learn
      // them, and none could accept a job without a leader.
      machineTypesToStore = types;
      return;
    }
    committer.submit(
        Mutation.of(
            Mutation.Priority.CLEANUP,
            List.of(new Mutation.Write(RecordKeys.MACHINE_TYPES, () -> RecordWire.types(types))),
            () -> {}));
  }

  /** Stores what operators have set. */
  public void storeOperatorSettings(OperatorSettings operator, Runnable onStored) {
    committer.submit(
        Mutation.of(
            Mutation.Priority.ACCEPTANCE,
            List.of(
                new Mutation.Write(
                    RecordKeys.OPERATOR_SETTINGS, () -> RecordWire.operator(operator))),
            onStored));
  }

  /** Reads everything that earlier leaders stored; their late transactions can no longer apply. */
  void load() {
    loader.load();
  }

  private final class LoadEvents implements TermLoader.Listener {
    @Override
    public boolean isLoading() {
      return state == State.LOADING;
    }

    @Override
    public void onConfiguration(List<StoreWire.Entry> entries) {
      host.onConf(entries);
    }

    @Override
    public List<MachineType> machineTypes() {
      return host.types();
    }

    @Override
    public StoreClient.Listing onPrefixRead(String prefix, StoreClient.Listing listing) {
      String missing = replica.firstMissingKey(prefix, listing.entries());
      if (missing != null) {
        host.onLost(missing + " is missing or older than it was seen");
        return null;
      }
      RecordReplica.ListingResult reading = replica.applyListing(prefix, listing.entries());
      for (RecordReplica.DamagedRecord each : reading.damaged()) {
        if (each.repaired()) {
          log.warn("{} cannot be read and is mended from the copy", each.entry().key());
          repairedEntries.add(each.entry());
        } else {
          host.onDamaged(each.entry().key());
          return null;
        }
      }
      return new StoreClient.Listing(reading.entries(), listing.revision());
    }

    @Override
    public Job.State finalState(String id) {
      return replica.finalState(id);
    }

    @Override
    public void onUnreadableRecord(String reason) {
      host.resign(reason);
    }

    @Override
    public void onLoaded(List<Job> jobs, StoreClient.Listing inbox) {
      begin(jobs, inbox);
    }
  }

  private final class ReconciliationEvents implements JobReconciler.Listener {
    @Override
    public boolean isLeading() {
      return state == State.LEADING;
    }

    @Override
    public boolean isAccepting(String id) {
      return pendingSubmissions.containsKey(id);
    }

    @Override
    public void onJobFound(Job job) {
      scheduler.add(job);
      countArrival(job);
    }

    @Override
    public void onFinalState(String id, Job.State ended) {
      host.onFinal(id, toStatus(ended));
    }

    @Override
    public Job.State finalState(String id) {
      return replica.finalState(id);
    }

    @Override
    public void onRecordRead(StoreWire.Entry entry) {
      replica.put(entry.key(), entry.value(), entry.version(), false);
    }

    @Override
    public boolean recordsMayBeIncomplete() {
      return host.recordsMayLack() || !replica.isComplete() || mayHaveBegunAnew();
    }
  }

  /**
   * Whether the store was empty when this term began, and workers that know better have not had the
   * time to report: a cluster that begins for the first time looks like one that has lost
   * everything.
   */
  private boolean mayHaveBegunAnew() {
    Duration report = settings.workerTimes().heartbeatInterval();
    Duration reported = report.plus(report.dividedBy(4)).plusSeconds(2);
    return beganEmpty && eventLoop.now().isBefore(begunAt.plus(reported));
  }

  /** Ends the hold once nothing can be anywhere that is not known. */
  private void reviewHold() {
    if (state != State.LEADING) {
      return;
    }
    if (mayAct() && autoscaler.isInventoryConfirmed()) {
      taskStartsHeld = false;
      log.info("all machines were heard; tasks are started again");
      scheduler.requestRun();
      return;
    }
    eventLoop.schedule(AUDIT_INTERVAL, this::reviewHold);
  }

  /** Keeps what could not be read aside, and stores the record anew. */
  private void store(StoreWire.Entry damaged) {
    committer.submit(
        Mutation.of(
            Mutation.Priority.CLEANUP,
            List.of(new Mutation.Write(RecordKeys.UNREADABLE + damaged.key(), damaged::value)),
            () -> {}));
    records.rewritePage(damaged.key());
  }

  /**
   * Has the records compared with what was stored, some at a time, for as long as the term lasts.
   */
  private void audit(String after) {
    if (state == State.LEADING) {
      committer.audit(after, last -> eventLoop.schedule(AUDIT_INTERVAL, () -> audit(last)));
    }
  }

  private void begin(List<Job> jobs, StoreClient.Listing inbox) {
    moveTo(State.LEADING);
    beganEmpty = jobs.isEmpty() && cluster.machines().isEmpty() && replica.finalStateCount() == 0;
    host.onBegun(replica);
    failover.recordPhase(FailoverTimings.Phase.STORE_READ);
    eventLoop.schedule(AUDIT_INTERVAL, () -> audit(null));
    failover.expectReports(cluster.machines().size());
    for (Job job : jobs) {
      scheduler.add(job);
      if (job.isActive() && job.done.cardinality() == job.spec.tasks()) {
        job.transitionTo(Job.State.DONE);
        records.storeFinalState(job);
      }
    }
    if (machineTypesToStore != null) {
      storeMachineTypes(machineTypesToStore);
    }
    repairedEntries.forEach(this::store);
    taskStartsHeld =
        host.incompleteFor() != null && host.incompleteFor().compareTo(MAX_HOLD_AGE) < 0;
    if (taskStartsHeld) {
      log.info("nothing is started until all machines were heard: records may be missing");
      eventLoop.schedule(AUDIT_INTERVAL, this::reviewHold);
    }
    log.info(
        "term {} begins with {} jobs and {} machines",
        term,
        cluster.jobs.size(),
        cluster.machines().size());
    reconciler.start(inbox);
    new VersionRaiser(
            host.version(),
            host::peers,
            eventLoop,
            committer::submit,
            () -> state == State.LEADING,
            this::onVersion)
        .review();
    onVersion();
    autoscaler.start();
    keepAliveReader.start(() -> state == State.OVER);
    new GenerationGarbageCollector(storeClient, eventLoop, leaderKeyRevision, this::mayAct).start();
    if (subscriptions.isOn() || outbox.hasSubscribers()) {
      loader.loadBacklog(() -> state == State.LEADING, subscriptions::start);
    }
    scheduler.requestRun();
  }

  public static JobWire.Status toStatus(Job.State state) {
    return switch (state) {
      case DONE -> JobWire.Status.DONE;
      case CANCELLED -> JobWire.Status.CANCELLED;
      case ACTIVE -> JobWire.Status.PENDING;
    };
  }

  /** The job's state that a user is told as this final one; null for null. */
  public static Job.State toState(JobWire.Status ended) {
    if (ended == null) {
      return null;
    }
    return ended == JobWire.Status.DONE ? Job.State.DONE : Job.State.CANCELLED;
  }

  // ---- users

  /** A job's state toward a user; a null status means that nothing certain can be said. */
  public record JobView(JobWire.Status status, int done, int running) {
    static final JobView UNKNOWN = new JobView(null, 0, 0);
  }

  /** The state of a job in memory, or null when it is not there. */
  private JobView viewOf(Job job) {
    if (job.cancelledByDependency || (!job.isActive() && job.finalStateStored)) {
      return new JobView(toStatus(job.state()), job.done.cardinality(), 0);
    }
    int running = Scheduler.countRunning(job);
    return new JobView(
        running > 0 ? JobWire.Status.RUNNING : JobWire.Status.PENDING,
        job.done.cardinality(),
        running);
  }

  /**
   * Tells a job's state. While its final state is on its way to the store, another node may read it
   * there before this one hears of the commit; an answer that is not final would then be older than
   * what a user has been told already. So the answer waits for the commit, also where the final
   * state would follow from that of a job before it.
   */
  private void answerWhenCertain(Job job, Consumer<JobView> onDone) {
    Job prerequisite = job.cancellingPrerequisite;
    if (job.cancelledByDependency) {
      onDone.accept(viewOf(job));
    } else if (job.finalStatePending && !job.finalStateStored) {
      job.finalStateCallbacks.add(() -> onDone.accept(viewOf(job)));
    } else if (prerequisite != null && !prerequisite.finalStateStored) {
      prerequisite.finalStateCallbacks.add(() -> onDone.accept(viewOf(job)));
    } else if (scheduler.dependencies().isUncertain(job)) {
      onDone.accept(JobView.UNKNOWN);
    } else {
      onDone.accept(viewOf(job));
    }
  }

  /** Whether the job is known here, so that a repeated submission is no new one. */
  public boolean knowsJob(String id) {
    return cluster.jobs.containsKey(id) || pendingSubmissions.containsKey(id);
  }

  /** Tells whether the jobs that a submission names were accepted. */
  public void verifyPrerequisites(JobSpec spec, Consumer<PrerequisiteReader.Verification> onDone) {
    prerequisites.verify(spec.prerequisites(), onDone);
  }

  /** Stores a new job; the answer follows the commit. Null: nothing certain can be said. */
  public void submit(JobSpec spec, Consumer<JobWire.Status> onDone, Consumer<JobView> onKnown) {
    String id = spec.id();
    Job known = cluster.jobs.get(id);
    if (known != null) {
      answerWhenCertain(known, onKnown);
      return;
    }
    List<Consumer<JobWire.Status>> waiting = pendingSubmissions.get(id);
    if (waiting != null) {
      waiting.add(onDone);
      return;
    }
    Job.State ended = replica.finalState(id);
    if (ended != null) {
      // Its own record of that may be lost, or be one of many in a value of the generation before.
      onKnown.accept(new JobView(toStatus(ended), 0, 0));
      return;
    }
    List<Consumer<JobWire.Status>> first = new ArrayList<>();
    first.add(onDone);
    pendingSubmissions.put(id, first);
    Job job = new Job(spec, eventLoop.wallClock(), Job.State.ACTIVE);
    records.storeAcceptance(job, () -> accepted(job), () -> acceptedElsewhere(id));
  }

  private void accepted(Job job) {
    String id = job.spec.id();
    List<Consumer<JobWire.Status>> all = pendingSubmissions.remove(id);
    log.debug(
        "job {} accepted: {} x {} of {} for {}",
        id,
        job.spec.tasks(),
        job.spec.kind(),
        job.spec.jobClass(),
        job.spec.team());
    if (cluster.jobs.containsKey(id)) {
      // Two copies of one job in memory would run its tasks twice; adopt() keeps this from being.
      host.resign("job " + id + " was taken up while it was being accepted");
      return;
    }
    scheduler.add(job);
    countArrival(job);
    JobWire.Status status =
        job.cancelledByDependency ? JobWire.Status.CANCELLED : JobWire.Status.PENDING;
    all.forEach(each -> each.accept(status));
  }

  /** What waits for others counts as an arrival once it may start, which the scheduler tells. */
  private void countArrival(Job job) {
    if (job.spec.prerequisites().isEmpty()) {
      autoscaler.recordArrival(job);
    }
  }

  private void acceptedElsewhere(String id) {
    List<Consumer<JobWire.Status>> all = pendingSubmissions.remove(id);
    reconciler.lookUp(
        id,
        lookup -> {
          JobWire.Status status =
              lookup == null
                  ? null
                  : lookup.job() != null
                      ? viewOf(lookup.job()).status()
                      : lookup.finalState() == null ? null : toStatus(lookup.finalState());
          all.forEach(each -> each.accept(status));
        });
  }

  /** A job's state, from memory or a fresh read; {@code null} when no such job exists. */
  public void readStatus(String id, Consumer<JobView> onDone) {
    Job job = cluster.jobs.get(id);
    if (job != null) {
      answerWhenCertain(job, onDone);
      return;
    }
    List<Consumer<JobWire.Status>> waiting = pendingSubmissions.get(id);
    if (waiting != null) {
      // Its record may be there already: another node may have read it, and told its user so.
      waiting.add(status -> onDone.accept(new JobView(status, 0, 0)));
      return;
    }
    reconciler.lookUp(
        id,
        lookup -> {
          if (lookup == null) {
            onDone.accept(JobView.UNKNOWN);
          } else if (lookup.job() != null) {
            answerWhenCertain(lookup.job(), onDone);
          } else if (lookup.finalState() != null) {
            onDone.accept(new JobView(toStatus(lookup.finalState()), 0, 0));
          } else {
            onDone.accept(null);
          }
        });
  }

  /** Cancels a job; the answer follows the commit. */
  public void cancel(String id, Consumer<JobView> onDone) {
    Job job = cluster.jobs.get(id);
    if (job == null && pendingSubmissions.containsKey(id)) {
      onDone.accept(JobView.UNKNOWN);
      return;
    }
    if (job == null) {
      reconciler.lookUp(
          id,
          lookup -> {
            if (lookup == null) {
              onDone.accept(JobView.UNKNOWN);
            } else if (lookup.job() != null) {
              cancelKnown(lookup.job(), onDone);
            } else {
              Job.State ended = lookup.finalState();
              onDone.accept(ended == null ? null : new JobView(toStatus(ended), 0, 0));
            }
          });
      return;
    }
    cancelKnown(job, onDone);
  }

  private void cancelKnown(Job job, Consumer<JobView> onDone) {
    if (job.finalStateStored || job.cancelledByDependency) {
      onDone.accept(viewOf(job));
      return;
    }
    job.finalStateCallbacks.add(() -> onDone.accept(viewOf(job)));
    scheduler.cancel(job);
  }

  /**
   * The least time that is left to a job of a chain until it should have started for the jobs that
   * need it, in seconds, negative when it should have; null when nothing is expected of any chain.
   */
  public Double minChainSlackSeconds() {
    Instant now = eventLoop.wallClock();
    Double least = null;
    for (Job job : cluster.jobs.values()) {
      if (job.isActive() && job.chainDeadlines != null) {
        Instant start = job.chainDeadlines.target().minus(job.spec.estimatedRunTime());
        double slack = Duration.between(now, start).toMillis() / 1000.0;
        least = least == null ? slack : Double.valueOf(Math.min(least, slack));
      }
    }
    return least;
  }

  /** A request of a user was answered here. */
  public void onRequestAnswered() {
    failover.recordPhase(FailoverTimings.Phase.FIRST_ANSWER);
  }

  // ---- workers

  private void countHeard(Machine machine) {
    if (machine.state() == Machine.State.CONFIRMED && machinesHeard.add(machine)) {
      failover.onMachineReported();
    }
  }

  /**
   * Answers a report, or returns null when the worker must go elsewhere.
   *
   * @param relayed whether a peer handed it on
   */
  public byte[] onHeartbeat(WorkerWire.Report report, boolean relayed) {
    if (state != State.LEADING) {
      // The store is still being read: the lease is kept and our token learned, nothing more.
      return state == State.LOADING
              && host.mayAct()
              && eventLoop.now().isBefore(begunAt.plus(LOADING_KEEP_ALIVE_DURATION))
          ? WorkerWire.reportResponse(term, new WorkerWire.Orders())
          : null;
    }
    if (!host.mayAct() && workers.holdsTasksOfEndedJobs(report.machine())) {
      // Without orders nothing ends a cancelled job's tasks but the end of the worker's lease.
      return null;
    }
    WorkerWire.Orders orders = workers.onHeartbeat(report, relayed);
    Machine machine = cluster.machine(report.machine());
    if (orders != null) {
      failover.recordPhase(FailoverTimings.Phase.FIRST_REPORT);
      if (failover.expectsMoreReports() && machine != null && machine.knownFromPlacements) {
        countHeard(machine);
      }
    }
    return orders == null ? null : WorkerWire.reportResponse(term, orders);
  }
}
