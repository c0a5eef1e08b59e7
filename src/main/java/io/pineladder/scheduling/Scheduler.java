package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Team;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.ClusterEvent;
import io.pineladder.queue.QueueEntry;
import io.pineladder.queue.SchedulingCheck;
import io.pineladder.queue.SchedulingQueue;
import io.pineladder.retry.TokenBucket;
import io.pineladder.store.Records;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scheduling loop: takes entries from the queue, places their tasks, and follows their ends.
 */
public final class Scheduler {
  private static final Logger log = LoggerFactory.getLogger(Scheduler.class);

  /** Tasks of one entry placed before others of higher priority get a look. */
  private static final int MAX_TASKS_PER_CYCLE = 128;

  /** Turns taken before waiting messages are read. */
  private static final int MAX_CYCLES_PER_RUN = 20;

  /** A job of more tasks is started at a bounded pace. */
  private static final int MAX_UNTHROTTLED_ARRAY_TASKS = 256;

  /**
   * Tasks of large jobs started each second. Each costs orders, reports and a completion, and an
   * array of tens of thousands that starts at once keeps the leader from everything else.
   */
  private static final double LARGE_ARRAY_STARTS_PER_SECOND = 120;

  /**
   * A job of which nothing has begun goes before others of its rank by then: the largest, and those
   * whose objectives are missed, must begin within four minutes too.
   */
  private static final Duration MAX_START_DELAY = Duration.ofSeconds(200);

  /** Tasks of a job at fault that are tried at a time. */
  private static final int MAX_PROBE_TASKS = 2;

  /**
   * What no event has woken for so long is tried again: a third of the starvation bound is left for
   * it.
   */
  static final Duration UNSCHEDULABLE_RETRY_DELAY = Duration.ofSeconds(15);

  /** The part of the parked entries that is tried again in a second at the most. */
  private static final int UNSCHEDULABLE_RETRY_DIVISOR = 15;

  /** Policy alone keeps a job from room, and room from work, for no longer than that. */
  public static final Duration MAX_POLICY_DELAY = StarvationBound.MAX_POLICY_DELAY;

  /** Parked entries of one check that are tried again in a second at the most. */
  private static final int MAX_UNSCHEDULABLE_RETRIES_PER_CHECK = 32;

  /** Between two tries of a job that policy keeps from room. */
  private static final Duration WITHHELD_RETRY_DELAY = Duration.ofSeconds(5);

  /** Machines that a job keeps off because it failed there. */
  private static final int MAX_AVOIDED_MACHINES = 16;

  /** Attempt numbers of a term; they start from the term, so no other leader uses them. */
  private static final int ATTEMPT_NUMBER_BITS = 20;

  /** What the scheduler causes outside. */
  public interface Callbacks {
    boolean mayAct();

    /**
     * Whether tasks may be started: not while an earlier attempt may be somewhere that no record
     * and no report has told of yet.
     */
    boolean mayStartTasks();

    /** A job that waited for others may start from now on. */
    void onReady(Job job);

    /** A job is cancelled because one that it needs is stored as cancelled. */
    void onCancelledByDependency(Job job);

    /** The final state of a job that is not in memory, if it is known without a read; or null. */
    Job.State knownFinalState(String job);

    /** A job that others need is not in memory: its state is to be told to the dependencies. */
    void lookUpJob(String job);

    /** Orders for this machine are ready to go out. */
    void onCommandsDue(Machine machine);

    /** This term can go no further. */
    void resign(String reason);
  }

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final Callbacks callbacks;
  private final Placer placer;
  private final PreemptionPolicy preemptionPolicy;
  private final GangReservation gangReservation;
  private final StarvationBound starvationBound;
  private final SchedulingQueue queue;
  private final Map<String, QueueEntry> entriesByJob = new HashMap<>();
  private final long term;
  private final TokenBucket largeArrayStarts;

  private final FaultAttribution faultAttribution = new FaultAttribution(new FaultListener());
  private final JobDependencies dependencies;

  /** Machines on which room came free, with how many tries there had been by then. */
  private final Map<Machine, Long> machinesWithFreedCapacity = new LinkedHashMap<>();

  private Records records;
  private long attemptsNumbered;
  private boolean runRequested;
  private Instant backoffWakeUpAt;

  public Scheduler(
      ClusterState cluster,
      EventLoop eventLoop,
      long term,
      OperatorSettings operatorSettings,
      Callbacks callbacks) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.term = term;
    this.callbacks = callbacks;
    this.placer = new Placer(cluster, eventLoop);
    this.preemptionPolicy = new PreemptionPolicy(cluster, eventLoop, this::preempt);
    this.gangReservation = new GangReservation(cluster, eventLoop);
    this.starvationBound = new StarvationBound(cluster, placer);
    // A back-off with its window may last for two seconds, and what comes up in them is not lost.
    this.largeArrayStarts =
        new TokenBucket(
            LARGE_ARRAY_STARTS_PER_SECOND, 2 * LARGE_ARRAY_STARTS_PER_SECOND, eventLoop.now());
    this.dependencies =
        new JobDependencies(
            cluster.jobs::get,
            eventLoop::wallClock,
            cluster::ownDeadlines,
            new DependencyListener());
    this.queue =
        new SchedulingQueue(
            QueueingHints.createTable(cluster, eventLoop),
            new ObjectiveOrdering(),
            operatorSettings);
  }

  public void setRecords(Records made) {
    records = made;
  }

  public SchedulingQueue queue() {
    return queue;
  }

  public FaultAttribution faultAttribution() {
    return faultAttribution;
  }

  /** Which jobs wait for which others. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  /** What follows when a job that others need is over. */
  private final class DependencyListener implements JobDependencies.Listener {
    @Override
    public void onReady(Job job) {
      job.readyAt = eventLoop.wallClock();
      cluster.onDemandChanged(job);
      QueueEntry entry = entriesByJob.get(job.spec.id());
      if (entry != null) {
        queue.activateUnschedulable(entry);
      }
      callbacks.onReady(job);
      requestRun();
    }

    @Override
    public void onCancelled(Job job) {
      cluster.onDemandChanged(job);
      removeFromQueue(job);
      runFinalStateCallbacks(job);
      callbacks.onCancelledByDependency(job);
      killAll(job, Duration.ZERO);
      storeCancellationIfStopped(job);
    }

    @Override
    public void onUrgencyChanged(Job job) {
      QueueEntry entry = entriesByJob.get(job.spec.id());
      if (entry != null) {
        queue.reorder(entry);
      }
    }

    @Override
    public Job.State knownFinalState(String id) {
      return callbacks.knownFinalState(id);
    }

    @Override
    public void lookUpJob(String id) {
      callbacks.lookUpJob(id);
    }
  }

  /** What follows when a job or a machine is found to be at fault, or not to be. */
  private final class FaultListener implements FaultAttribution.Listener {
    @Override
    public void onJobFailingChanged(Job job, boolean failing) {
      job.failing = failing;
      records.storeFaultAttribution(job);
      if (!failing) {
        enqueue(job);
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

  /** Guarantees first, then what has the nearest time to keep. */
  private final class ObjectiveOrdering implements SchedulingQueue.Ordering {
    @Override
    public boolean isGuaranteed(QueueEntry entry) {
      return cluster.isGuaranteed(entry.job);
    }

    @Override
    public Instant dueAt(QueueEntry entry) {
      return entry.job.acceptedAt.plus(startAllowance(entry.job));
    }
  }

  private Duration startAllowance(Job job) {
    // What fails wherever it is tried makes no other job wait.
    Duration allowance =
        job.failing
            ? ServiceObjectives.DEFAULT_START_ALLOWANCE
            : cluster.objectives().startAllowance(job, eventLoop.wallClock());
    Duration withOccupancy = allowance.plus(teamLimitOccupancy(job));
    boolean anyTaskStarted = job.attempts.size() + job.done.cardinality() > 0;
    Duration latest = MAX_START_DELAY.plus(ServiceObjectives.dependencyWait(job));
    return anyTaskStarted || job.failing || withOccupancy.compareTo(latest) < 0
        ? withOccupancy
        : latest;
  }

  /**
   * How long the job's tasks would keep its team's limit busy: of jobs that compete for one limit
   * the small ones go first, since then fewer of them are late.
   */
  private Duration teamLimitOccupancy(Job job) {
    JobSpec spec = job.spec;
    Team team = cluster.team(spec.team());
    if (spec.kind() != JobKind.ARRAY || team == null) {
      return Duration.ZERO;
    }
    double share =
        spec.resourcesPerTask().times(spec.tasks() - job.done.cardinality()).shareOf(team.limit());
    return Duration.ofMillis((long) (spec.estimatedRunTime().toMillis() * share));
  }

  // ---- jobs

  /** A new job, or one read from the store whose attempts are known already. */
  public void add(Job job) {
    cluster.addJob(job);
    if (!job.isActive()) {
      job.finalStatePending = true;
      job.finalStateStored = true;
      killAll(job, Duration.ZERO);
      removeRecordIfFinished(job);
      return;
    }
    dependencies.add(job);
    if (!job.isActive()) {
      return;
    }
    if (job.failing) {
      faultAttribution.inheritFailing(job);
    }
    if (job.spec.kind() == JobKind.GANG && !job.attempts.isEmpty()) {
      // A gang is started as a whole. One whose placements were stored in part never completes.
      if (job.attempts.size() < job.spec.tasks()) {
        killAll(job, Duration.ZERO);
      }
      return;
    }
    for (int task = 0; task < job.spec.tasks(); task++) {
      if (job.mayStartTask(task)) {
        job.pending.set(task);
      }
    }
    enqueue(job);
  }

  private void enqueue(Job job) {
    if (job.isActive() && !job.pending.isEmpty()) {
      queue.add(entriesByJob.computeIfAbsent(job.spec.id(), id -> new QueueEntry(job)));
      requestRun();
    }
  }

  /**
   * Takes an attempt for wanted that a worker reports and no record tells of, if its task needs
   * one: after a loss of data that is where the task runs. False when it is to be ended.
   */
  public boolean adoptUnrecorded(Attempt attempt) {
    Job job = attempt.job;
    boolean isOnlyAttempt = job.attempts.get(attempt.task).size() == 1;
    if (!job.isActive() || job.done.get(attempt.task) || !isOnlyAttempt) {
      return false;
    }
    if (job.spec.kind() == JobKind.GANG) {
      // Tasks of a gang find one another by their attempt; two attempts are two gangs.
      for (Set<Attempt> others : job.attempts.values()) {
        if (others.stream().anyMatch(a -> a.number != attempt.number)) {
          return false;
        }
      }
    }
    job.pending.clear(attempt.task);
    records.storePlacement(attempt);
    return true;
  }

  /** The user wants the job gone: nothing of it starts from here on. */
  public void cancel(Job job) {
    if (!job.isActive()) {
      return;
    }
    job.transitionTo(Job.State.CANCELLED);
    cluster.onDemandChanged(job);
    removeFromQueue(job);
    dependencies.stopWaiting(job);
    killAll(job, Duration.ZERO);
    storeCancellationIfStopped(job);
  }

  /**
   * Stores that a job is cancelled once nothing of it holds room anywhere, so that no user is told
   * sooner. Were it told at once its tasks would have to be gone in time, also where nobody can be
   * reached, and no lease could be kept for longer than that: a zone that is cut off would lose all
   * that runs in it for the few jobs that may have been cancelled.
   */
  private void storeCancellationIfStopped(Job job) {
    if (job.state() != Job.State.CANCELLED || job.finalStatePending) {
      return;
    }
    boolean stopped =
        job.attempts.values().stream()
            .allMatch(of -> of.stream().noneMatch(Attempt::holdsCapacity));
    if (stopped) {
      dependencies.onCancellationPending(job);
      records.storeFinalState(job);
    }
  }

  private static void runFinalStateCallbacks(Job job) {
    List<Runnable> callbacks = List.copyOf(job.finalStateCallbacks);
    job.finalStateCallbacks.clear();
    callbacks.forEach(Runnable::run);
  }

  private void removeFromQueue(Job job) {
    job.pending.clear();
    starvationBound.clear(job);
    faultAttribution.forget(job);
    QueueEntry entry = entriesByJob.remove(job.spec.id());
    if (entry != null) {
      queue.remove(entry);
    }
  }

  /** The job's final state is stored. */
  public void onFinalStateStored(Job job) {
    log.debug("job {} is {}", job, job.state());
    // Those who wait for this end may ask about a job that is cancelled with it.
    dependencies.onFinalStateStored(job);
    runFinalStateCallbacks(job);
    killAll(job, Duration.ZERO);
    removeRecordIfFinished(job);
  }

  /**
   * Stops everything of a job that may be somewhere. All of it is unwanted before any is gone:
   * those that never started are gone at once, and were taken for tasks lost by a gang that still
   * gathers and started anew, all but one for which there was no room. Found by the simulation, as
   * a gang that waited for its last task for ever.
   */
  public void killAll(Job job, Duration grace) {
    List<Attempt> all = new ArrayList<>();
    job.attempts.values().forEach(all::addAll);
    for (Attempt attempt : all) {
      if (attempt.holdsCapacity() && isNeverSent(attempt)) {
        markKilled(attempt, grace);
      }
    }
    all.forEach(attempt -> kill(attempt, grace));
  }

  private static boolean isNeverSent(Attempt attempt) {
    return attempt.state() == Attempt.State.PLACEMENT_PENDING
        || (attempt.state() == Attempt.State.PLACEMENT_STORED && attempt.startSession == 0);
  }

  private void markKilled(Attempt attempt, Duration grace) {
    attempt.killedAt = eventLoop.now();
    attempt.killGracePeriod = grace;
  }

  private void removeRecordIfFinished(Job job) {
    if (job.finalStateStored && job.attempts.isEmpty()) {
      records.removeJob(job);
    }
  }

  // ---- attempts

  /** Decides that an attempt is to stop; with a shorter grace than before it stops sooner. */
  public void kill(Attempt attempt, Duration grace) {
    if (!attempt.holdsCapacity()) {
      return;
    }
    if (isNeverSent(attempt)) {
      onAttemptGone(attempt, "never started");
      return;
    }
    if (attempt.killGracePeriod == null) {
      markKilled(attempt, grace);
    } else if (grace.compareTo(attempt.killGracePeriod) < 0) {
      attempt.killGracePeriod = grace;
      attempt.killSent = false;
    } else {
      return;
    }
    callbacks.onCommandsDue(attempt.machine);
  }

  /** The placement is stored, so its start may go out. */
  public void onPlacementStored(Attempt attempt) {
    cluster.transition(attempt, Attempt.State.PLACEMENT_STORED);
    callbacks.onCommandsDue(attempt.machine);
  }

  /** A machine lists the attempt in a state other than exited. */
  public void onAttemptObserved(Attempt attempt, Attempt.State state) {
    if (attempt.state() == Attempt.State.EXITED) {
      return;
    }
    boolean hasImage = state == Attempt.State.RUNNING || state == Attempt.State.WAITING_FOR_GANG;
    if (hasImage && attempt.state() != state) {
      String image = attempt.job.spec.image();
      boolean isNew = !attempt.machine.images.containsKey(image);
      attempt.machine.touchImage(image, attempt.job.spec.imageGb());
      if (isNew) {
        records.storeImages(attempt.machine);
      }
    }
    if (state == Attempt.State.RUNNING && attempt.runningSince == null) {
      attempt.runningSince = eventLoop.now();
      log.debug(
          "{} runs {} after its placement, {} after the job came",
          attempt,
          Duration.between(attempt.createdAt, eventLoop.now()),
          Duration.between(attempt.job.acceptedAt, eventLoop.wallClock()));
    }
    cluster.transition(attempt, state);
  }

  /** A machine lists the attempt as exited. */
  public void onAttemptExited(Attempt attempt, EndReason endReason) {
    if (!attempt.holdsCapacity()) {
      return;
    }
    boolean wanted = attempt.isWanted();
    attempt.endReason = endReason;
    cluster.transition(attempt, Attempt.State.EXITED);
    resumeCompletion(attempt);
    Job job = attempt.job;
    if (endReason == EndReason.DONE && job.spec.kind() != JobKind.SERVICE) {
      onTaskCompleted(attempt);
    } else {
      attempt.mayBeForgotten = true;
      if (endReason == EndReason.ERROR && job.isActive()) {
        onTaskFailed(attempt);
      }
      onAttemptLost(attempt, wanted && isRefusalOrError(endReason));
    }
    onCapacityFreed(attempt);
  }

  private static boolean isRefusalOrError(EndReason endReason) {
    return switch (endReason) {
      case ERROR, NO_CAPACITY, MACHINE_BUSY, UNKNOWN_JOB -> true;
      default -> false;
    };
  }

  private void onTaskCompleted(Attempt attempt) {
    Job job = attempt.job;
    if (!job.isActive()) {
      attempt.mayBeForgotten = true;
      storeCancellationIfStopped(job);
      removeRecordIfFinished(job);
      return;
    }
    // The tasks of a gang complete together.
    if (job.spec.kind() == JobKind.GANG) {
      job.done.set(0, job.spec.tasks());
    } else {
      job.done.set(attempt.task);
    }
    job.pending.clear(attempt.task);
    faultAttribution.recordSuccess(job);
    cluster.onDemandChanged(job);
    stopOtherAttempts(attempt);
    if (job.done.cardinality() == job.spec.tasks()) {
      job.transitionTo(Job.State.DONE);
      removeFromQueue(job);
      records.storeFinalState(job);
    }
  }

  /**
   * The task was started anew because a leader before this one knew of its completion and had not
   * stored it. The completion is stored once the new attempt is gone: the next leader takes no
   * attempt of a complete task for being anywhere. Found by the simulation, as a team's limit that
   * was broken after two takeovers.
   */
  private void stopOtherAttempts(Attempt complete) {
    Job job = complete.job;
    List<Attempt> others = new ArrayList<>();
    for (Attempt other : job.attempts.getOrDefault(complete.task, Set.of())) {
      if (other != complete && other.holdsCapacity()) {
        others.add(other);
      }
    }
    if (others.isEmpty()) {
      job.unprovenDone.clear(complete.task);
      records.storeCompletion(job, complete);
      return;
    }
    job.unprovenDone.set(complete.task);
    others.get(0).completedBy = complete;
    others.forEach(other -> kill(other, Duration.ZERO));
  }

  /** An attempt is gone that kept its task's completion from being stored. */
  private void resumeCompletion(Attempt gone) {
    Attempt complete = gone.completedBy;
    if (complete != null) {
      gone.completedBy = null;
      stopOtherAttempts(complete);
    }
  }

  /** Proof has come that the attempt is not on its machine and never will be. */
  public void onAttemptGone(Attempt attempt, String proof) {
    boolean heldCapacity = attempt.holdsCapacity();
    cluster.transition(attempt, Attempt.State.GONE);
    resumeCompletion(attempt);
    if (heldCapacity) {
      log.debug("{}: {}", attempt, proof);
      onAttemptLost(attempt, false);
      onCapacityFreed(attempt);
    } else if (attempt.endReason == EndReason.GANG_INCOMPLETE
        && attempt.job.mayStartTask(attempt.task)
        && isGangStillStarting(attempt)) {
      // Forgotten there, it can be started again where its image is.
      replaceInGang(attempt);
    }
  }

  /** The attempt ended without completing its task. */
  private void onAttemptLost(Attempt attempt, boolean backoff) {
    Job job = attempt.job;
    if (!job.isActive()) {
      storeCancellationIfStopped(job);
      removeRecordIfFinished(job);
      return;
    }
    if (job.spec.kind() == JobKind.GANG) {
      if (job.attempts.containsKey(attempt.task)) {
        // An old copy of a task that has been started anew: the gang is not the worse for it.
        return;
      }
      if (!job.attempts.isEmpty()) {
        boolean mayReplace = !job.failing && isGangStillStarting(attempt);
        if (mayReplace && (replaceInGang(attempt) || reserveUntilForgotten(attempt))) {
          return;
        }
        // A gang that lost a task is stopped as a whole and started again as a whole.
        killAll(job, job.spec.checkpointDuration());
        return;
      }
      job.pending.set(0, job.spec.tasks());
    } else if (job.mayStartTask(attempt.task)) {
      job.pending.set(attempt.task);
    }
    if (job.pending.isEmpty()) {
      return;
    }
    // Of a gang that fails the last task to go may have been stopped for the others.
    if (backoff || job.failing) {
      QueueEntry entry = entriesByJob.computeIfAbsent(job.spec.id(), id -> new QueueEntry(job));
      // What fails together while it waits already is one failure.
      if (entry.place() != QueueEntry.Place.ACTIVE
          && entry.place() != QueueEntry.Place.BACKOFF_ERROR) {
        boolean failing = job.failing || attempt.endReason == EndReason.ERROR;
        int times = failing ? faultAttribution.countFailureRound(job) : entry.attempts() + 1;
        queue.backOffAfterError(entry, times, eventLoop.now());
        scheduleBackoffWakeUp();
      }
    } else {
      enqueue(job);
    }
  }

  /**
   * Whether a gang has not begun yet and its other tasks still wait or fetch, so that one lost task
   * can be started anew under the same attempt number and the others need not fetch again. That one
   * task waited in vain for the others is no reason to stop their fetches.
   */
  private static boolean isGangStillStarting(Attempt lost) {
    Job job = lost.job;
    if (!lost.isWanted()
        || lost.endReason == EndReason.GANG_PEER_ENDED
        || lost.runningSince != null) {
      return false;
    }
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt other : attempts) {
        boolean isStarting =
            switch (other.state()) {
              case PLACEMENT_PENDING, PLACEMENT_STORED, FETCHING_IMAGE, WAITING_FOR_GANG -> true;
              default -> false;
            };
        if (!isStarting || !other.isWanted() || other.number != lost.number) {
          return false;
        }
      }
    }
    return !job.attempts.isEmpty();
  }

  /**
   * Starts a lost task of a gathering gang anew. Not on a machine that still lists the attempt: a
   * start of what it knows already has no effect there.
   */
  private boolean replaceInGang(Attempt lost) {
    Job job = lost.job;
    Instant now = eventLoop.now();
    Placer.Decision decision = placer.place(job, 1, now);
    if (!decision.isPlaced()) {
      return false;
    }
    Machine machine = decision.machines().get(0);
    String key = Machine.attemptKey(job.spec.id(), lost.task, lost.number);
    if (machine.attempts.containsKey(key) || !callbacks.mayStartTasks()) {
      return false;
    }
    log.debug("{} is replaced on {}", lost, machine);
    startTask(job, lost.task, lost.number, machine, now);
    return true;
  }

  /** Keeps the place of a task that waited in vain until its machine has forgotten the attempt. */
  private boolean reserveUntilForgotten(Attempt lost) {
    if (lost.endReason != EndReason.GANG_INCOMPLETE) {
      return false;
    }
    cluster.reserve(
        lost.machine, lost.job, eventLoop.now().plus(PreemptionPolicy.RESERVATION_DURATION));
    return true;
  }

  private void onCapacityFreed(Attempt attempt) {
    Machine machine = attempt.machine;
    Instant now = eventLoop.now();
    queue.onEvent(ClusterEvent.teamUsageReduced(attempt.job.spec.team()), now);
    if (machine.isSchedulable()) {
      machinesWithFreedCapacity.put(machine, queue.cycles());
      queue.onEvent(ClusterEvent.capacityFreed(machine, machine.free(), queue.cycles()), now);
    }
    queue.onEvent(ClusterEvent.attemptGone(attempt.job), now);
    requestRun();
  }

  private void onTaskFailed(Attempt attempt) {
    Job job = attempt.job;
    Instant now = eventLoop.now();
    job.avoidedMachines.add(attempt.machine.name);
    // A job that fails everywhere must not run out of machines.
    if (job.avoidedMachines.size()
        > Math.min(MAX_AVOIDED_MACHINES, cluster.machines().size() / 2)) {
      job.avoidedMachines.remove(job.avoidedMachines.iterator().next());
    }
    Duration ran =
        attempt.runningSince == null ? Duration.ZERO : Duration.between(attempt.runningSince, now);
    faultAttribution.recordFailure(job, attempt.machine, ran, now);
  }

  /** A machine can take work now, or more than before. */
  public void onMachineReady(Machine machine) {
    machinesWithFreedCapacity.put(machine, queue.cycles());
    queue.onEvent(
        ClusterEvent.machineReady(machine, machine.free(), queue.cycles()), eventLoop.now());
    requestRun();
  }

  // ---- the loop

  /** Has the queue looked at soon. */
  public void requestRun() {
    if (!runRequested) {
      runRequested = true;
      eventLoop.schedule(Duration.ZERO, this::runCycles);
    }
  }

  private void runCycles() {
    runRequested = false;
    if (!callbacks.mayStartTasks()) {
      return;
    }
    Instant now = eventLoop.now();
    queue.activateExpired(now);
    for (int cycle = 0; cycle < MAX_CYCLES_PER_RUN; cycle++) {
      QueueEntry entry = queue.pop(now);
      if (entry == null) {
        if (reofferFreedCapacity(now)) {
          continue;
        }
        // An attempt that never started is gone at once, and its room is added to these.
        List<Machine> freedMachines = List.copyOf(machinesWithFreedCapacity.keySet());
        machinesWithFreedCapacity.clear();
        preemptionPolicy.moveSlowFetches(freedMachines, now, each -> kill(each, Duration.ZERO));
        scheduleBackoffWakeUp();
        return;
      }
      runCycle(entry, now);
    }
    requestRun();
  }

  /**
   * What was woken for a place could not use all of it, for its team's limit perhaps: then the next
   * by priority that have not been tried since get theirs. Without this the place would stay empty,
   * since an event wakes no more entries than its room holds.
   */
  private boolean reofferFreedCapacity(Instant now) {
    boolean woken = false;
    for (Map.Entry<Machine, Long> entry : machinesWithFreedCapacity.entrySet()) {
      Machine machine = entry.getKey();
      if (machine.isSchedulable()) {
        ClusterEvent event = ClusterEvent.capacityFreed(machine, machine.free(), entry.getValue());
        woken |= queue.onEvent(event, now);
      }
    }
    return woken && queue.hasActive();
  }

  private void scheduleBackoffWakeUp() {
    Instant next = queue.nextBackoffExpiry();
    Instant now = eventLoop.now();
    if (next == null
        || (backoffWakeUpAt != null
            && backoffWakeUpAt.isAfter(now)
            && !next.isBefore(backoffWakeUpAt))) {
      return;
    }
    backoffWakeUpAt = next;
    Duration wait = Duration.between(now, next);
    eventLoop.schedule(
        wait.isNegative() ? Duration.ZERO : wait.plusMillis(1),
        () -> {
          backoffWakeUpAt = null;
          requestRun();
        });
  }

  private void runCycle(QueueEntry entry, Instant now) {
    Job job = entry.job;
    if (!job.isActive() || job.pending.isEmpty()) {
      queue.remove(entry);
      entriesByJob.remove(job.spec.id());
      return;
    }
    if (job.blockedByDependencies) {
      queue.markUnschedulable(entry, SchedulingCheck.DEPENDENCY, now);
      return;
    }
    if (job.spec.kind() == JobKind.GANG) {
      if (!job.attempts.isEmpty()) {
        queue.markUnschedulable(entry, SchedulingCheck.PREDECESSOR, now);
        return;
      }
      Placer.Decision decision = place(job, job.spec.tasks(), now);
      if (!decision.isPlaced()) {
        onRejected(entry, decision.rejectedBy(), now);
        return;
      }
      if (job.spec.tasks() == 1 && waitsForCachedImage(entry, decision.machines().get(0), now)) {
        return;
      }
      List.copyOf(cluster.reservedFor(job)).forEach(cluster::unreserve);
      long number = nextAttemptNumber();
      for (int task = 0; task < job.spec.tasks(); task++) {
        startTask(job, task, number, decision.machines().get(task), now);
      }
      queue.remove(entry);
      entriesByJob.remove(job.spec.id());
      return;
    }
    int taskCount = Math.min(job.pending.cardinality(), MAX_TASKS_PER_CYCLE);
    if (job.failing) {
      taskCount = Math.min(taskCount, MAX_PROBE_TASKS - job.attempts.size());
      if (taskCount <= 0) {
        queue.markUnschedulable(entry, SchedulingCheck.FAILING, now);
        return;
      }
    }
    boolean isRateLimited =
        job.spec.kind() == JobKind.ARRAY && job.spec.tasks() > MAX_UNTHROTTLED_ARRAY_TASKS;
    if (isRateLimited) {
      taskCount = Math.min(taskCount, largeArrayStarts.available(now));
      if (taskCount == 0) {
        queue.backOff(entry, SchedulingCheck.PACE, now);
        return;
      }
    }
    Placer.Decision decision = place(job, taskCount, now);
    if (isRateLimited) {
      largeArrayStarts.consume(decision.machines().size(), now);
    }
    for (Machine machine : decision.machines()) {
      if (waitsForCachedImage(entry, machine, now)) {
        return;
      }
      startTask(job, job.pending.nextSetBit(0), nextAttemptNumber(), machine, now);
      if (!job.failing) {
        entry.resetBackoff();
      }
    }
    if (!decision.isPlaced()) {
      onRejected(entry, decision.rejectedBy(), now);
    } else if (job.pending.isEmpty()) {
      queue.remove(entry);
      entriesByJob.remove(job.spec.id());
    } else {
      queue.putBack(entry);
    }
  }

  private Placer.Decision place(Job job, int taskCount, Instant now) {
    Placer.Decision decision = placer.place(job, taskCount, now);
    return decision.isPlaced()
        ? decision
        : starvationBound.reviewRejection(job, taskCount, decision, now);
  }

  /**
   * Tries again what no event has woken for long, and what policy keeps from room; once a second.
   * Without it a job waited for as long as nothing else happened on the machine whose room had been
   * reserved for another.
   */
  public void retryUnschedulable(Instant now) {
    int unschedulable = queue.sizes().get(QueueEntry.Place.UNSCHEDULABLE);
    int maxPerCheck =
        Math.min(
            MAX_UNSCHEDULABLE_RETRIES_PER_CHECK, 1 + unschedulable / UNSCHEDULABLE_RETRY_DIVISOR);
    queue.retryUnschedulable(now.minus(UNSCHEDULABLE_RETRY_DELAY), maxPerCheck);
    for (Job job : starvationBound.withheldJobs()) {
      QueueEntry entry = entriesByJob.get(job.spec.id());
      if (entry != null && !entry.lastCycleAt().plus(WITHHELD_RETRY_DELAY).isAfter(now)) {
        queue.activateUnschedulable(entry);
      }
    }
    if (queue.hasActive()) {
      requestRun();
    }
  }

  private void onRejected(QueueEntry entry, SchedulingCheck check, Instant now) {
    boolean lacksCapacity =
        check == SchedulingCheck.FIT
            || check == SchedulingCheck.SPREAD
            || check == SchedulingCheck.TOGETHER;
    if (lacksCapacity && !entry.job.failing) {
      preemptionPolicy.preemptFor(entry.job, Double.MAX_VALUE, now);
      gangReservation.onGangRejected(entry.job, now);
    }
    queue.markUnschedulable(entry, check, now);
  }

  /** Whether the entry waits for room where its image is, which is being made. */
  private boolean waitsForCachedImage(QueueEntry entry, Machine machineWithoutImage, Instant now) {
    if (starvationBound.isExceeded(entry.job, now)
        || !preemptionPolicy.waitsForCachedImage(
            entry.job, machineWithoutImage, startAllowance(entry.job), now)) {
      return false;
    }
    starvationBound.recordWithheld(entry.job, now);
    queue.markUnschedulable(entry, SchedulingCheck.FIT, now);
    return true;
  }

  /** Stops an attempt to free its room; the rest of a gang goes with it. */
  public void preempt(Attempt attempt) {
    JobSpec spec = attempt.job.spec;
    Duration grace =
        spec.isCheckpointed() ? spec.checkpointDuration().plusSeconds(1) : Duration.ZERO;
    if (spec.kind() == JobKind.GANG) {
      killAll(attempt.job, grace);
    } else {
      kill(attempt, grace);
    }
  }

  private long nextAttemptNumber() {
    if (++attemptsNumbered >= 1L << ATTEMPT_NUMBER_BITS) {
      callbacks.resign("the term's attempt numbers are used up");
    }
    return (term << ATTEMPT_NUMBER_BITS) + attemptsNumbered;
  }

  private void startTask(Job job, int task, long number, Machine machine, Instant now) {
    if (machine.reservedFor == job) {
      cluster.unreserve(machine);
    }
    job.pending.clear(task);
    starvationBound.clear(job);
    double fetchSeconds = Placer.fetchSeconds(job, machine);
    log.debug("{}/{} goes to {} ({} s of fetching)", job, task, machine, fetchSeconds);
    Attempt attempt =
        cluster.addAttempt(job, task, number, machine, now, Attempt.State.PLACEMENT_PENDING);
    attempt.imageReadyAt = now.plusMillis((long) (fetchSeconds * 1000));
    records.storePlacement(attempt);
  }

  /** Tasks that wait, by job, for the fleet's demand. */
  public Iterable<QueueEntry> pendingEntries() {
    return entriesByJob.values();
  }

  /** Everything of a job that may be on a machine. */
  public static int countRunning(Job job) {
    int count = 0;
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt attempt : attempts) {
        if (attempt.state() == Attempt.State.RUNNING) {
          count++;
        }
      }
    }
    return count;
  }
}
