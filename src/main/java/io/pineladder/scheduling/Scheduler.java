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
  private static final int TASKS_A_TURN = 128;

  /** Turns taken before waiting messages are read. */
  private static final int TURNS_A_PASS = 20;

  /** A job of more tasks is started at a bounded pace. */
  private static final int LARGE = 256;

  /**
   * Tasks of large jobs started each second. Each costs orders, reports and a completion, and an
   * array of tens of thousands that starts at once keeps the leader from everything else.
   */
  private static final double LARGE_A_SECOND = 120;

  /**
   * A job of which nothing has begun goes before others of its rank by then: the largest, and those
   * whose objectives are missed, must begin within four minutes too.
   */
  private static final Duration LATEST_START = Duration.ofSeconds(200);

  /** Tasks of a job at fault that are tried at a time. */
  private static final int PROBES = 2;

  /**
   * What no event has woken for so long is tried again: a third of the starvation bound is left for
   * it.
   */
  static final Duration LEFTOVER = Duration.ofSeconds(15);

  /** The part of the parked entries that is tried again in a second at the most. */
  private static final int LEFTOVER_PART = 15;

  /** Policy alone keeps a job from room, and room from work, for no longer than that. */
  public static final Duration MOST_WITHHELD = StarvationBound.MOST;

  /** Parked entries of one check that are tried again in a second at the most. */
  private static final int MOST_LEFTOVER = 32;

  /** Between two tries of a job that policy keeps from room. */
  private static final Duration WITHHELD_AGAIN = Duration.ofSeconds(5);

  /** Machines that a job keeps off because it failed there. */
  private static final int AVOIDED = 16;

  /** Attempt numbers of a term; they start from the term, so no other leader uses them. */
  private static final int NUMBER_BITS = 20;

  /** What the scheduler causes outside. */
  public interface Effects {
    boolean mayAct();

    /**
     * Whether tasks may be started: not while an earlier attempt may be somewhere that no record
     * and no report has told of yet.
     */
    boolean mayStart();

    /** A job that waited for others may start from now on. */
    void onReady(Job job);

    /** A job is cancelled because one that it needs is stored as cancelled. */
    void onCancellationDerived(Job job);

    /** The final state of a job that is not in memory, if it is known without a read; or null. */
    Job.State knownEnd(String job);

    /** A job that others need is not in memory: its state is to be told to the dependencies. */
    void lookUp(String job);

    /** Orders for this machine are ready to go out. */
    void ordersDue(Machine machine);

    /** This term can go no further. */
    void resign(String reason);
  }

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final Effects effects;
  private final Placer placer;
  private final PreemptionPolicy rooms;
  private final GangReservation held;
  private final StarvationBound starvation;
  private final SchedulingQueue queue;
  private final Map<String, QueueEntry> entries = new HashMap<>();
  private final long term;
  private final TokenBucket large;

  private final FaultAttribution failures = new FaultAttribution(new Verdicts());
  private final JobDependencies dependencies;

  /** Machines on which room came free, with how many tries there had been by then. */
  private final Map<Machine, Long> roomy = new LinkedHashMap<>();

  private Records records;
  private long numbers;
  private boolean passSet;
  private Instant wakeAt;

  public Scheduler(
      ClusterState cluster,
      EventLoop eventLoop,
      long term,
      OperatorSettings operator,
      Effects effects) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.term = term;
    this.effects = effects;
    this.placer = new Placer(cluster, eventLoop);
    this.rooms = new PreemptionPolicy(cluster, eventLoop, this::displace);
    this.held = new GangReservation(cluster, eventLoop);
    this.starvation = new StarvationBound(cluster, placer);
    // A back-off with its window may last for two seconds, and what comes up in them is not lost.
    this.large = new TokenBucket(LARGE_A_SECOND, 2 * LARGE_A_SECOND, eventLoop.now());
    this.dependencies =
        new JobDependencies(
            cluster.jobs::get, eventLoop::wallClock, cluster::finishTimes, new DependencyEvents());
    this.queue =
        new SchedulingQueue(QueueingHints.table(cluster, eventLoop), new ByObjective(), operator);
  }

  public void useRecords(Records made) {
    records = made;
  }

  public SchedulingQueue queue() {
    return queue;
  }

  public FaultAttribution failures() {
    return failures;
  }

  /** Which jobs wait for which others. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  /** What follows when a job that others need is over. */
  private final class DependencyEvents implements JobDependencies.Listener {
    @Override
    public void onReady(Job job) {
      job.readyAt = eventLoop.wallClock();
      cluster.onDemandChanged(job);
      QueueEntry entry = entries.get(job.spec.id());
      if (entry != null) {
        queue.wake(entry);
      }
      effects.onReady(job);
      kick();
    }

    @Override
    public void onCancelled(Job job) {
      cluster.onDemandChanged(job);
      leaveQueue(job);
      runEndWaiters(job);
      effects.onCancellationDerived(job);
      killAll(job, Duration.ZERO);
      endIfQuiet(job);
    }

    @Override
    public void onUrgencyChanged(Job job) {
      QueueEntry entry = entries.get(job.spec.id());
      if (entry != null) {
        queue.reorder(entry);
      }
    }

    @Override
    public Job.State knownEnd(String id) {
      return effects.knownEnd(id);
    }

    @Override
    public void lookUp(String id) {
      effects.lookUp(id);
    }
  }

  /** What follows when a job or a machine is found to be at fault, or not to be. */
  private final class Verdicts implements FaultAttribution.Listener {
    @Override
    public void onJob(Job job, boolean atFault) {
      job.failing = atFault;
      records.verdict(job);
      if (!atFault) {
        enqueue(job);
      }
    }

    @Override
    public void onSuspect(Machine machine, boolean suspect) {
      machine.quarantined = suspect;
      cluster.updateIndexes(machine);
      if (machine.isSchedulable()) {
        machineReady(machine);
      }
    }

    @Override
    public void onFaulty(Machine machine) {
      machine.draining = true;
      cluster.updateIndexes(machine);
    }
  }

  /** Guarantees first, then what has the nearest time to keep. */
  private final class ByObjective implements SchedulingQueue.Ordering {
    @Override
    public boolean isGuaranteed(QueueEntry entry) {
      return cluster.isGuaranteed(entry.job);
    }

    @Override
    public Instant due(QueueEntry entry) {
      return entry.job.acceptedAt.plus(allowance(entry.job));
    }
  }

  private Duration allowance(Job job) {
    // What fails wherever it is tried makes no other job wait.
    Duration allowance =
        job.failing
            ? ServiceObjectives.NO_HURRY
            : cluster.objectives().allowance(job, eventLoop.wallClock());
    Duration due = allowance.plus(turn(job));
    boolean begun = job.attempts.size() + job.done.cardinality() > 0;
    Duration latest = LATEST_START.plus(ServiceObjectives.waited(job));
    return begun || job.failing || due.compareTo(latest) < 0 ? due : latest;
  }

  /**
   * How long the job's tasks would keep its team's limit busy: of jobs that compete for one limit
   * the small ones go first, since then fewer of them are late.
   */
  private Duration turn(Job job) {
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
      forgetIfOver(job);
      return;
    }
    dependencies.add(job);
    if (!job.isActive()) {
      return;
    }
    if (job.failing) {
      failures.inherit(job);
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
      queue.add(entries.computeIfAbsent(job.spec.id(), id -> new QueueEntry(job)));
      kick();
    }
  }

  /**
   * Takes an attempt for wanted that a worker reports and no record tells of, if its task needs
   * one: after a loss of data that is where the task runs. False when it is to be ended.
   */
  public boolean keep(Attempt attempt) {
    Job job = attempt.job;
    boolean only = job.attempts.get(attempt.task).size() == 1;
    if (!job.isActive() || job.done.get(attempt.task) || !only) {
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
    records.placementDue(attempt);
    return true;
  }

  /** The user wants the job gone: nothing of it starts from here on. */
  public void cancel(Job job) {
    if (!job.isActive()) {
      return;
    }
    job.transitionTo(Job.State.CANCELLED);
    cluster.onDemandChanged(job);
    leaveQueue(job);
    dependencies.leave(job);
    killAll(job, Duration.ZERO);
    endIfQuiet(job);
  }

  /**
   * Stores that a job is cancelled once nothing of it holds room anywhere, so that no user is told
   * sooner. Were it told at once its tasks would have to be gone in time, also where nobody can be
   * reached, and no lease could be kept for longer than that: a zone that is cut off would lose all
   * that runs in it for the few jobs that may have been cancelled.
   */
  private void endIfQuiet(Job job) {
    if (job.state() != Job.State.CANCELLED || job.finalStatePending) {
      return;
    }
    boolean quiet =
        job.attempts.values().stream()
            .allMatch(of -> of.stream().noneMatch(Attempt::holdsCapacity));
    if (quiet) {
      dependencies.endUnderWay(job);
      records.end(job);
    }
  }

  private static void runEndWaiters(Job job) {
    List<Runnable> waiting = List.copyOf(job.finalStateCallbacks);
    job.finalStateCallbacks.clear();
    waiting.forEach(Runnable::run);
  }

  private void leaveQueue(Job job) {
    job.pending.clear();
    starvation.moved(job);
    failures.forget(job);
    QueueEntry entry = entries.remove(job.spec.id());
    if (entry != null) {
      queue.remove(entry);
    }
  }

  /** The job's final state is stored. */
  public void onEndStored(Job job) {
    log.debug("job {} is {}", job, job.state());
    // Those who wait for this end may ask about a job that is cancelled with it.
    dependencies.ended(job);
    runEndWaiters(job);
    killAll(job, Duration.ZERO);
    forgetIfOver(job);
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
      if (attempt.holdsCapacity() && isUnsent(attempt)) {
        unwanted(attempt, grace);
      }
    }
    all.forEach(attempt -> kill(attempt, grace));
  }

  private static boolean isUnsent(Attempt attempt) {
    return attempt.state() == Attempt.State.PLACEMENT_PENDING
        || (attempt.state() == Attempt.State.PLACEMENT_STORED && attempt.startSession == 0);
  }

  private void unwanted(Attempt attempt, Duration grace) {
    attempt.killedAt = eventLoop.now();
    attempt.killGracePeriod = grace;
  }

  private void forgetIfOver(Job job) {
    if (job.finalStateStored && job.attempts.isEmpty()) {
      records.remove(job);
    }
  }

  // ---- attempts

  /** Decides that an attempt is to stop; with a shorter grace than before it stops sooner. */
  public void kill(Attempt attempt, Duration grace) {
    if (!attempt.holdsCapacity()) {
      return;
    }
    if (isUnsent(attempt)) {
      gone(attempt, "never started");
      return;
    }
    if (attempt.killGracePeriod == null) {
      unwanted(attempt, grace);
    } else if (grace.compareTo(attempt.killGracePeriod) < 0) {
      attempt.killGracePeriod = grace;
      attempt.killSent = false;
    } else {
      return;
    }
    effects.ordersDue(attempt.machine);
  }

  /** The placement is stored, so its start may go out. */
  public void onPlacementStored(Attempt attempt) {
    cluster.transition(attempt, Attempt.State.PLACEMENT_STORED);
    effects.ordersDue(attempt.machine);
  }

  /** A machine lists the attempt in a state other than exited. */
  public void seen(Attempt attempt, Attempt.State state) {
    if (attempt.state() == Attempt.State.EXITED) {
      return;
    }
    boolean hasImage = state == Attempt.State.RUNNING || state == Attempt.State.WAITING_FOR_GANG;
    if (hasImage && attempt.state() != state) {
      String image = attempt.job.spec.image();
      boolean isNew = !attempt.machine.images.containsKey(image);
      attempt.machine.touchImage(image, attempt.job.spec.imageGb());
      if (isNew) {
        records.imagesDue(attempt.machine);
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
  public void exited(Attempt attempt, EndReason cause) {
    if (!attempt.holdsCapacity()) {
      return;
    }
    boolean wanted = attempt.isWanted();
    attempt.endReason = cause;
    cluster.transition(attempt, Attempt.State.EXITED);
    reveal(attempt);
    Job job = attempt.job;
    if (cause == EndReason.DONE && job.spec.kind() != JobKind.SERVICE) {
      completed(attempt);
    } else {
      attempt.mayBeForgotten = true;
      if (cause == EndReason.ERROR && job.isActive()) {
        failed(attempt);
      }
      lost(attempt, wanted && isRefusalOrError(cause));
    }
    freed(attempt);
  }

  private static boolean isRefusalOrError(EndReason cause) {
    return switch (cause) {
      case ERROR, NO_CAPACITY, MACHINE_BUSY, UNKNOWN_JOB -> true;
      default -> false;
    };
  }

  private void completed(Attempt attempt) {
    Job job = attempt.job;
    if (!job.isActive()) {
      attempt.mayBeForgotten = true;
      endIfQuiet(job);
      forgetIfOver(job);
      return;
    }
    // The tasks of a gang complete together.
    if (job.spec.kind() == JobKind.GANG) {
      job.done.set(0, job.spec.tasks());
    } else {
      job.done.set(attempt.task);
    }
    job.pending.clear(attempt.task);
    failures.succeeded(job);
    cluster.onDemandChanged(job);
    endOthers(attempt);
    if (job.done.cardinality() == job.spec.tasks()) {
      job.transitionTo(Job.State.DONE);
      leaveQueue(job);
      records.end(job);
    }
  }

  /**
   * The task was started anew because a leader before this one knew of its completion and had not
   * stored it. The completion is stored once the new attempt is gone: the next leader takes no
   * attempt of a complete task for being anywhere. Found by the simulation, as a team's limit that
   * was broken after two takeovers.
   */
  private void endOthers(Attempt complete) {
    Job job = complete.job;
    List<Attempt> others = new ArrayList<>();
    for (Attempt other : job.attempts.getOrDefault(complete.task, Set.of())) {
      if (other != complete && other.holdsCapacity()) {
        others.add(other);
      }
    }
    if (others.isEmpty()) {
      job.unprovenDone.clear(complete.task);
      records.taskDone(job, complete);
      return;
    }
    job.unprovenDone.set(complete.task);
    others.get(0).completedBy = complete;
    others.forEach(other -> kill(other, Duration.ZERO));
  }

  /** An attempt is gone that kept its task's completion from being stored. */
  private void reveal(Attempt gone) {
    Attempt complete = gone.completedBy;
    if (complete != null) {
      gone.completedBy = null;
      endOthers(complete);
    }
  }

  /** Proof has come that the attempt is not on its machine and never will be. */
  public void gone(Attempt attempt, String proof) {
    boolean held = attempt.holdsCapacity();
    cluster.transition(attempt, Attempt.State.GONE);
    reveal(attempt);
    if (held) {
      log.debug("{}: {}", attempt, proof);
      lost(attempt, false);
      freed(attempt);
    } else if (attempt.endReason == EndReason.GANG_INCOMPLETE
        && attempt.job.mayStartTask(attempt.task)
        && stillGathers(attempt)) {
      // Forgotten there, it can be started again where its image is.
      replaced(attempt);
    }
  }

  /** The attempt ended without completing its task. */
  private void lost(Attempt attempt, boolean backoff) {
    Job job = attempt.job;
    if (!job.isActive()) {
      endIfQuiet(job);
      forgetIfOver(job);
      return;
    }
    if (job.spec.kind() == JobKind.GANG) {
      if (job.attempts.containsKey(attempt.task)) {
        // An old copy of a task that has been started anew: the gang is not the worse for it.
        return;
      }
      if (!job.attempts.isEmpty()) {
        boolean mend = !job.failing && stillGathers(attempt);
        if (mend && (replaced(attempt) || waitsForForget(attempt))) {
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
      QueueEntry entry = entries.computeIfAbsent(job.spec.id(), id -> new QueueEntry(job));
      // What fails together while it waits already is one failure.
      if (entry.place() != QueueEntry.Place.ACTIVE
          && entry.place() != QueueEntry.Place.BACKOFF_ERROR) {
        boolean failing = job.failing || attempt.endReason == EndReason.ERROR;
        int times = failing ? failures.round(job) : entry.attempts() + 1;
        queue.failed(entry, times, eventLoop.now());
        wakeForBackoff();
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
  private static boolean stillGathers(Attempt lost) {
    Job job = lost.job;
    if (!lost.isWanted()
        || lost.endReason == EndReason.GANG_PEER_ENDED
        || lost.runningSince != null) {
      return false;
    }
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt other : attempts) {
        boolean waits =
            switch (other.state()) {
              case PLACEMENT_PENDING, PLACEMENT_STORED, FETCHING_IMAGE, WAITING_FOR_GANG -> true;
              default -> false;
            };
        if (!waits || !other.isWanted() || other.number != lost.number) {
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
  private boolean replaced(Attempt lost) {
    Job job = lost.job;
    Instant now = eventLoop.now();
    Placer.Decision decision = placer.place(job, 1, now);
    if (!decision.isPlaced()) {
      return false;
    }
    Machine machine = decision.machines().get(0);
    String key = Machine.attemptKey(job.spec.id(), lost.task, lost.number);
    if (machine.attempts.containsKey(key) || !effects.mayStart()) {
      return false;
    }
    log.debug("{} is replaced on {}", lost, machine);
    start(job, lost.task, lost.number, machine, now);
    return true;
  }

  /** Keeps the place of a task that waited in vain until its machine has forgotten the attempt. */
  private boolean waitsForForget(Attempt lost) {
    if (lost.endReason != EndReason.GANG_INCOMPLETE) {
      return false;
    }
    cluster.reserve(lost.machine, lost.job, eventLoop.now().plus(PreemptionPolicy.RESERVATION));
    return true;
  }

  private void freed(Attempt attempt) {
    Machine machine = attempt.machine;
    Instant now = eventLoop.now();
    queue.onEvent(ClusterEvent.teamFreed(attempt.job.spec.team()), now);
    if (machine.isSchedulable()) {
      roomy.put(machine, queue.tries());
      queue.onEvent(ClusterEvent.roomFreed(machine, machine.free(), queue.tries()), now);
    }
    queue.onEvent(ClusterEvent.attemptGone(attempt.job), now);
    kick();
  }

  private void failed(Attempt attempt) {
    Job job = attempt.job;
    Instant now = eventLoop.now();
    job.avoidedMachines.add(attempt.machine.name);
    // A job that fails everywhere must not run out of machines.
    if (job.avoidedMachines.size() > Math.min(AVOIDED, cluster.machines().size() / 2)) {
      job.avoidedMachines.remove(job.avoidedMachines.iterator().next());
    }
    Duration ran =
        attempt.runningSince == null ? Duration.ZERO : Duration.between(attempt.runningSince, now);
    failures.failed(job, attempt.machine, ran, now);
  }

  /** A machine can take work now, or more than before. */
  public void machineReady(Machine machine) {
    roomy.put(machine, queue.tries());
    queue.onEvent(
        ClusterEvent.machineReady(machine, machine.free(), queue.tries()), eventLoop.now());
    kick();
  }

  // ---- the loop

  /** Has the queue looked at soon. */
  public void kick() {
    if (!passSet) {
      passSet = true;
      eventLoop.schedule(Duration.ZERO, this::pass);
    }
  }

  private void pass() {
    passSet = false;
    if (!effects.mayStart()) {
      return;
    }
    Instant now = eventLoop.now();
    queue.releaseExpired(now);
    for (int turn = 0; turn < TURNS_A_PASS; turn++) {
      QueueEntry entry = queue.pop(now);
      if (entry == null) {
        if (offerAgain(now)) {
          continue;
        }
        // An attempt that never started is gone at once, and its room is added to these.
        List<Machine> roomyNow = List.copyOf(roomy.keySet());
        roomy.clear();
        rooms.shortenFetches(roomyNow, now, each -> kill(each, Duration.ZERO));
        wakeForBackoff();
        return;
      }
      attempt(entry, now);
    }
    kick();
  }

  /**
   * What was woken for a place could not use all of it, for its team's limit perhaps: then the next
   * by priority that have not been tried since get theirs. Without this the place would stay empty,
   * since an event wakes no more entries than its room holds.
   */
  private boolean offerAgain(Instant now) {
    boolean woken = false;
    for (Map.Entry<Machine, Long> entry : roomy.entrySet()) {
      Machine machine = entry.getKey();
      if (machine.isSchedulable()) {
        ClusterEvent event = ClusterEvent.roomFreed(machine, machine.free(), entry.getValue());
        woken |= queue.onEvent(event, now);
      }
    }
    return woken && queue.hasActive();
  }

  private void wakeForBackoff() {
    Instant next = queue.nextExpiry();
    Instant now = eventLoop.now();
    if (next == null || (wakeAt != null && wakeAt.isAfter(now) && !next.isBefore(wakeAt))) {
      return;
    }
    wakeAt = next;
    Duration wait = Duration.between(now, next);
    eventLoop.schedule(
        wait.isNegative() ? Duration.ZERO : wait.plusMillis(1),
        () -> {
          wakeAt = null;
          kick();
        });
  }

  private void attempt(QueueEntry entry, Instant now) {
    Job job = entry.job;
    if (!job.isActive() || job.pending.isEmpty()) {
      queue.remove(entry);
      entries.remove(job.spec.id());
      return;
    }
    if (job.blockedByDependencies) {
      queue.park(entry, SchedulingCheck.DEPENDENCY, now);
      return;
    }
    if (job.spec.kind() == JobKind.GANG) {
      if (!job.attempts.isEmpty()) {
        queue.park(entry, SchedulingCheck.PREDECESSOR, now);
        return;
      }
      Placer.Decision decision = place(job, job.spec.tasks(), now);
      if (!decision.isPlaced()) {
        reject(entry, decision.rejectedBy(), now);
        return;
      }
      if (job.spec.tasks() == 1 && waitsForWarmRoom(entry, decision.machines().get(0), now)) {
        return;
      }
      List.copyOf(cluster.reservedFor(job)).forEach(cluster::unreserve);
      long number = nextNumber();
      for (int task = 0; task < job.spec.tasks(); task++) {
        start(job, task, number, decision.machines().get(task), now);
      }
      queue.remove(entry);
      entries.remove(job.spec.id());
      return;
    }
    int wanted = Math.min(job.pending.cardinality(), TASKS_A_TURN);
    if (job.failing) {
      wanted = Math.min(wanted, PROBES - job.attempts.size());
      if (wanted <= 0) {
        queue.park(entry, SchedulingCheck.FAILING, now);
        return;
      }
    }
    boolean paced = job.spec.kind() == JobKind.ARRAY && job.spec.tasks() > LARGE;
    if (paced) {
      wanted = Math.min(wanted, large.available(now));
      if (wanted == 0) {
        queue.postpone(entry, SchedulingCheck.PACE, now);
        return;
      }
    }
    Placer.Decision decision = place(job, wanted, now);
    if (paced) {
      large.take(decision.machines().size(), now);
    }
    for (Machine machine : decision.machines()) {
      if (waitsForWarmRoom(entry, machine, now)) {
        return;
      }
      start(job, job.pending.nextSetBit(0), nextNumber(), machine, now);
      if (!job.failing) {
        entry.progressed();
      }
    }
    if (!decision.isPlaced()) {
      reject(entry, decision.rejectedBy(), now);
    } else if (job.pending.isEmpty()) {
      queue.remove(entry);
      entries.remove(job.spec.id());
    } else {
      queue.again(entry);
    }
  }

  private Placer.Decision place(Job job, int wanted, Instant now) {
    Placer.Decision decision = placer.place(job, wanted, now);
    return decision.isPlaced() ? decision : starvation.review(job, wanted, decision, now);
  }

  /**
   * Tries again what no event has woken for long, and what policy keeps from room; once a second.
   * Without it a job waited for as long as nothing else happened on the machine whose room had been
   * reserved for another.
   */
  public void review(Instant now) {
    int parked = queue.sizes().get(QueueEntry.Place.UNSCHEDULABLE);
    int most = Math.min(MOST_LEFTOVER, 1 + parked / LEFTOVER_PART);
    queue.flushLeftover(now.minus(LEFTOVER), most);
    for (Job job : starvation.withheld()) {
      QueueEntry entry = entries.get(job.spec.id());
      if (entry != null && !entry.triedAt().plus(WITHHELD_AGAIN).isAfter(now)) {
        queue.wake(entry);
      }
    }
    if (queue.hasActive()) {
      kick();
    }
  }

  private void reject(QueueEntry entry, SchedulingCheck by, Instant now) {
    boolean room =
        by == SchedulingCheck.FIT || by == SchedulingCheck.SPREAD || by == SchedulingCheck.TOGETHER;
    if (room && !entry.job.failing) {
      rooms.makeRoom(entry.job, Double.MAX_VALUE, now);
      held.turnedAway(entry.job, now);
    }
    queue.park(entry, by, now);
  }

  /** Whether the entry waits for room where its image is, which is being made. */
  private boolean waitsForWarmRoom(QueueEntry entry, Machine cold, Instant now) {
    if (starvation.isOver(entry.job, now)
        || !rooms.waitsForWarmRoom(entry.job, cold, allowance(entry.job), now)) {
      return false;
    }
    starvation.withholds(entry.job, now);
    queue.park(entry, SchedulingCheck.FIT, now);
    return true;
  }

  /** Stops an attempt to free its room; the rest of a gang goes with it. */
  public void displace(Attempt attempt) {
    JobSpec spec = attempt.job.spec;
    Duration grace =
        spec.isCheckpointed() ? spec.checkpointDuration().plusSeconds(1) : Duration.ZERO;
    if (spec.kind() == JobKind.GANG) {
      killAll(attempt.job, grace);
    } else {
      kill(attempt, grace);
    }
  }

  private long nextNumber() {
    if (++numbers >= 1L << NUMBER_BITS) {
      effects.resign("the term's attempt numbers are used up");
    }
    return (term << NUMBER_BITS) + numbers;
  }

  private void start(Job job, int task, long number, Machine machine, Instant now) {
    if (machine.reservedFor == job) {
      cluster.unreserve(machine);
    }
    job.pending.clear(task);
    starvation.moved(job);
    double fetch = Placer.fetchSeconds(job, machine);
    log.debug("{}/{} goes to {} ({} s of fetching)", job, task, machine, fetch);
    Attempt attempt =
        cluster.addAttempt(job, task, number, machine, now, Attempt.State.PLACEMENT_PENDING);
    attempt.imageReadyAt = now.plusMillis((long) (fetch * 1000));
    records.placementDue(attempt);
  }

  /** Tasks that wait, by job, for the fleet's demand. */
  public Iterable<QueueEntry> waiting() {
    return entries.values();
  }

  /** Everything of a job that may be on a machine. */
  public static int running(Job job) {
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
