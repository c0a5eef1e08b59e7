package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Outcome;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.WorkerWire;
import io.pineladder.wire.WorkerWire.Orders;
import io.pineladder.wire.WorkerWire.Report;
import io.pineladder.wire.WorkerWire.TaskReport;
import io.pineladder.wire.WorkerWire.TaskState;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Dealings with the workers: what their reports prove, and the orders they get. */
public final class WorkerManager {
  private static final Logger log = LoggerFactory.getLogger(WorkerManager.class);
  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Probes under way: when hundreds are silent, asking all at once used up the sockets. Those that
   * live answer within milliseconds, so the rest have their turn soon.
   */
  private static final int MAX_CONCURRENT_PROBES = 100;

  /** One that has been asked is not asked again sooner. */
  private static final Duration PROBE_INTERVAL = Duration.ofSeconds(4);

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final long term;
  private final BooleanSupplier mayAct;
  private final Listener listener;
  private final Set<Machine> commandsRequested = new LinkedHashSet<>();

  /** How many reports have been dealt with. */
  private long processedHeartbeats;

  private final Set<Machine> probeQueue = new LinkedHashSet<>();
  private int probesInFlight;
  private boolean commandsScheduled;

  /** What the rest of the leader learns from here. */
  public interface Listener {
    /** A worker has seen a higher token than ours. */
    void onNewerFencingToken(long token);

    /** Whether a machine is proven gone, so that its late reports count for nothing. */
    boolean wasReleased(String machine);

    /** A machine nobody expected reports. */
    void onUnexpectedMachine(Machine machine);

    /** Whether placements and jobs may be missing from the records, so that what runs is kept. */
    boolean areRecordsIncomplete();

    /** A worker runs a task of a job that is not in memory. */
    void onUnknownTask(String job);

    /** Whether a job that is not in memory is known to be over. */
    boolean isJobEnded(String job);

    /** What a cancelled job has there can no longer be proven gone in time, but by its return. */
    void onCancellationUnprovable(Machine machine);
  }

  public WorkerManager(
      ClusterState cluster,
      Scheduler scheduler,
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      long term,
      BooleanSupplier mayAct,
      Listener listener) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.httpClient = httpClient;
    this.eventLoop = eventLoop;
    this.term = term;
    this.mayAct = mayAct;
    this.listener = listener;
  }

  /**
   * Takes a report and gives the response's orders, or null when the worker follows a later leader
   * and must not be kept here.
   */
  public Orders onHeartbeat(Report heartbeat) {
    return onHeartbeat(heartbeat, false);
  }

  /**
   * Takes a report that a peer may have handed on.
   *
   * @param relayed whether it has
   */
  public Orders onHeartbeat(Report heartbeat, boolean viaPeer) {
    Machine known = cluster.machine(heartbeat.machine());
    // A copy of a report may come long after it: nobody waits for its answer, so no order goes with
    // it.
    boolean isNewest = known == null || isNewer(heartbeat, known);
    Machine machine = applyHeartbeat(heartbeat, viaPeer, true);
    if (heartbeat.token() > term) {
      listener.onNewerFencingToken(heartbeat.token());
      return null;
    }
    Orders commands = new Orders();
    if (machine != null && isNewest) {
      if (heartbeat.token() == term && mayAct.getAsBoolean()) {
        writeCommands(machine, commands, false);
        writeCommandsForUnknownTasks(heartbeat, machine, commands);
      }
      machine.lastAnsweredAt = eventLoop.now();
      if (machine.reachability() != Machine.Reachability.REACHABLE && !viaPeer) {
        machine.trackUnreachable(eventLoop.now());
        probe(machine);
      }
    }
    return commands;
  }

  private static boolean isNewer(Report heartbeat, Machine machine) {
    return heartbeat.session() > machine.agentEpoch
        || (heartbeat.session() == machine.agentEpoch
            && heartbeat.sequence() > machine.lastHeartbeatSequence);
  }

  /**
   * Finds out whether orders reach a machine that reports. An order that got no answer is asked
   * after with an empty one at its next report, so a lost packet costs it no more than that. One
   * whose session ended although it was answered in time has heard nothing for a whole lease.
   * Without this it took new tasks with each new session, of which none ever started.
   */
  private void updateReachability(Machine machine, Machine.Reachability next) {
    if (machine.reachability() == next) {
      return;
    }
    log.info("machine {} {} (was {})", machine, next, machine.reachability());
    boolean wasSchedulable = machine.isSchedulable();
    machine.setReachability(next);
    cluster.updateIndexes(machine);
    if (next == Machine.Reachability.DOUBTFUL) {
      machine.lastProbedAt = null;
    }
    if (!wasSchedulable && machine.isSchedulable()) {
      scheduler.onMachineReady(machine);
    }
  }

  /** Whether tasks of jobs that are over may still be on a machine. */
  public boolean holdsTasksOfEndedJobs(String name) {
    Machine machine = cluster.machine(name);
    return machine != null
        && machine.attempts.values().stream()
            .anyMatch(a -> a.holdsCapacity() && a.job.finalStatePending);
  }

  /**
   * Takes in what a report, or the body of a command's response, says.
   *
   * @param reported whether it is a report, which its worker sends only once it has taken in or
   *     given up the response to the one before
   */
  private Machine applyHeartbeat(Report heartbeat, boolean viaPeer, boolean isHeartbeat) {
    if (heartbeat.token() > term) {
      return null;
    }
    Machine machine = cluster.machine(heartbeat.machine());
    if (machine == null) {
      if (listener.wasReleased(heartbeat.machine())) {
        // A report held up in the network would bring its tasks back to life and block them.
        return null;
      }
      MachineType type = cluster.type(heartbeat.type());
      if (type == null) {
        log.warn("machine {} is of the unknown type {}", heartbeat.machine(), heartbeat.type());
        return null;
      }
      machine =
          new Machine(
              heartbeat.machine(), type, heartbeat.zone(), heartbeat.spot(), eventLoop.now());
      cluster.addMachine(machine);
      listener.onUnexpectedMachine(machine);
    }
    if (!isNewer(heartbeat, machine)) {
      return machine;
    }
    machine.lastHeartbeatAt = eventLoop.now();
    machine.reachedThroughPeer = viaPeer;
    machine.address = heartbeat.address();
    if (heartbeat.session() > machine.agentEpoch) {
      onNewAgentEpoch(machine, heartbeat.session());
    }
    machine.lastHeartbeatSequence = heartbeat.sequence();
    if (heartbeat.notice() != null) {
      Instant announcedReclaimAt = eventLoop.now().plus(heartbeat.notice());
      if (machine.reclaimAt == null) {
        log.info("machine {} is taken back in {}", machine, heartbeat.notice());
        machine.reclaimAt = announcedReclaimAt;
        if (machine.spot) {
          cluster.spotRisk.recordReclaim();
        }
      } else if (announcedReclaimAt.isBefore(machine.reclaimAt)) {
        machine.reclaimAt = announcedReclaimAt;
      }
    } else {
      machine.reclaimAt = null;
    }
    if (heartbeat.token() < term) {
      // Orders of an older leader may still reach it: its list proves nothing yet.
      if (machine.state() == Machine.State.EXPECTED) {
        machine.transitionTo(Machine.State.HEARD);
      }
      cluster.updateIndexes(machine);
      return machine;
    }
    boolean wasSchedulable = machine.isSchedulable();
    machine.transitionTo(Machine.State.CONFIRMED);
    reconcile(machine, heartbeat, isHeartbeat);
    cluster.updateIndexes(machine);
    if (!wasSchedulable && machine.isSchedulable()) {
      scheduler.onMachineReady(machine);
    }
    if (machine.reclaimAt != null) {
      displaceBeforeReclaim(machine);
    }
    return machine;
  }

  /** A worker forgets all its tasks when its lease ends; the next session starts empty. */
  private void onNewAgentEpoch(Machine machine, long agentEpoch) {
    long previousEpoch = machine.agentEpoch;
    machine.agentEpoch = agentEpoch;
    if (previousEpoch == 0) {
      return;
    }
    log.info("machine {} is in session {}", machine, agentEpoch);
    Duration halfLease = cluster.settings.workerTimes().leaseDuration().dividedBy(2);
    boolean responsesWereLost =
        machine.lastAnsweredAt != null
            && machine.lastAnsweredAt.plus(halfLease).isAfter(eventLoop.now());
    if (responsesWereLost) {
      updateReachability(machine, Machine.Reachability.UNREACHABLE);
    }
    for (Attempt attempt : List.copyOf(machine.attempts.values())) {
      boolean ofPreviousEpoch =
          attempt.wasObserved() || (attempt.startSession != 0 && attempt.startSession < agentEpoch);
      if (ofPreviousEpoch) {
        scheduler.onAttemptGone(attempt, "the worker's session ended");
      }
    }
    if (responsesWereLost) {
      // What is left was never sent, and would wait for a machine that hears nothing.
      for (Attempt attempt : List.copyOf(machine.attempts.values())) {
        if (attempt.holdsCapacity() && attempt.isWanted()) {
          scheduler.preempt(attempt);
        }
      }
    }
  }

  /** Brings the attempts of a machine in step with the newest report of one that has our token. */
  private void reconcile(Machine machine, Report heartbeat, boolean isHeartbeat) {
    // A mark on each attempt, not a set of names: a report may list hundreds of tasks.
    long mark = ++processedHeartbeats;
    machine.hasUnknownTasks = false;
    for (TaskReport task : heartbeat.tasks()) {
      Attempt attempt = machine.attempts.get(task.key());
      if (attempt == null) {
        attempt = addUnrecordedAttempt(machine, task);
      }
      if (attempt == null) {
        if (task.state() != TaskState.EXITED) {
          machine.hasUnknownTasks = true;
        }
        continue;
      }
      attempt.lastListingHeartbeat = mark;
      if (attempt.state() == Attempt.State.PLACEMENT_STORED
          && attempt.startHeartbeatSequence >= 0) {
        // Its start went with a response, which has been heard.
        updateReachability(machine, Machine.Reachability.REACHABLE);
      }
      if (task.state() == TaskState.EXITED) {
        scheduler.onAttemptExited(attempt, task.cause());
      } else {
        scheduler.onAttemptObserved(attempt, attemptState(task.state()));
      }
    }
    List<Attempt> unlisted = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.lastListingHeartbeat != mark) {
        unlisted.add(attempt);
      }
    }
    unlisted.forEach(attempt -> onUnlisted(attempt, heartbeat, isHeartbeat));
  }

  private static Attempt.State attemptState(TaskState taskState) {
    return switch (taskState) {
      case FETCHING_IMAGE -> Attempt.State.FETCHING_IMAGE;
      case WAITING_FOR_GANG -> Attempt.State.WAITING_FOR_GANG;
      case RUNNING -> Attempt.State.RUNNING;
      case SAVING_CHECKPOINT -> Attempt.State.SAVING_CHECKPOINT;
      case EXITED -> Attempt.State.EXITED;
    };
  }

  /** A task that no stored placement accounts for: it counts while it is there, and is stopped. */
  private Attempt addUnrecordedAttempt(Machine machine, TaskReport task) {
    Job job = cluster.jobs.get(task.task().job());
    if (job == null || task.task().index() >= job.spec.tasks()) {
      return null;
    }
    Attempt attempt =
        cluster.addAttempt(
            job,
            task.task().index(),
            task.attempt(),
            machine,
            eventLoop.now(),
            Attempt.State.RECOVERED);
    attempt.startSession = machine.agentEpoch;
    if (task.state() != TaskState.EXITED
        && !(listener.areRecordsIncomplete() && scheduler.adoptUnrecorded(attempt))) {
      log.info("{} is not expected there", attempt);
      job.pending.clear(attempt.task);
      scheduler.kill(attempt, Duration.ZERO);
    }
    return attempt;
  }

  /** The newest report of a machine that has our token does not list the attempt. */
  private void onUnlisted(Attempt attempt, Report heartbeat, boolean isHeartbeat) {
    switch (attempt.state()) {
      case PLACEMENT_PENDING, GONE -> {}
      case PLACEMENT_STORED -> {
        if (attempt.startSession == 0 || attempt.directStartPending || attempt.startUnconfirmed) {
          // Not sent yet, or a direct start is or may be still on its way.
          return;
        }
        if (!isHeartbeat || attempt.startHeartbeatSequence >= heartbeat.sequence()) {
          // What a worker answers to a command is newer than its report before it, and yet older
          // than
          // that report's response, which may be on its way for 4 s. Taken for proof it had tasks
          // started elsewhere, and jobs told cancelled, whose starts were still to arrive.
          return;
        }
        // The response that carried the start was dropped, and is never executed late.
        if (attempt.isWanted()) {
          attempt.startSession = 0;
          attempt.startHeartbeatSequence = -1;
        } else {
          scheduler.onAttemptGone(attempt, "its start was dropped");
        }
      }
      default -> scheduler.onAttemptGone(attempt, "not in a newer report");
    }
  }

  /** The cloud takes the machine back: its work moves before that, unless it ends in time. */
  private void displaceBeforeReclaim(Machine machine) {
    Instant now = eventLoop.now();
    for (Attempt attempt : List.copyOf(machine.attempts.values())) {
      if (!attempt.holdsCapacity() || !attempt.isWanted()) {
        continue;
      }
      if (attempt.job.spec.kind() == JobKind.ARRAY
          && attempt.runningSince != null
          && attempt
              .runningSince
              .plus(attempt.job.spec.estimatedRunTime())
              .isBefore(machine.reclaimAt.minusSeconds(1))
          && attempt.runningSince.plus(attempt.job.spec.estimatedRunTime()).isAfter(now)) {
        continue;
      }
      scheduler.preempt(attempt);
    }
  }

  // ---- orders

  /** Orders for the machine are to go out directly, as soon as this message is dealt with. */
  public void requestCommand(Machine machine) {
    commandsRequested.add(machine);
    if (!commandsScheduled) {
      commandsScheduled = true;
      eventLoop.schedule(Duration.ZERO, this::sendRequestedCommands);
    }
  }

  private void sendRequestedCommands() {
    commandsScheduled = false;
    List<Machine> machines = new ArrayList<>(commandsRequested);
    commandsRequested.clear();
    machines.forEach(this::sendCommand);
  }

  /**
   * Sends what a machine is to do at once. An answer that does not come leaves open for ever
   * whether the orders run, so a machine that did not answer gets them with its reports only.
   */
  private void sendCommand(Machine machine) {
    if (machine.state() != Machine.State.CONFIRMED
        || machine.commandInFlight
        || machine.reachability() != Machine.Reachability.REACHABLE) {
      return;
    }
    if (!mayAct.getAsBoolean()) {
      return;
    }
    Orders commands = new Orders();
    List<Attempt> started = writeCommands(machine, commands, true);
    if (commands.isEmpty()) {
      return;
    }
    machine.commandInFlight = true;
    long agentEpoch = machine.agentEpoch;
    httpClient.call(
        Request.post(
            machine.address,
            "/do",
            WorkerWire.command(term, agentEpoch, commands),
            COMMAND_TIMEOUT),
        reply -> onCommandReply(machine, started, reply));
  }

  /**
   * Asks a machine that is overdue for its report, by a command without orders. Its answer carries
   * our token, so it proves as much as a report; the worker may be kept alive by a node that cannot
   * reach us, or be on its way from node to node.
   */
  public void probe(Machine machine) {
    probeQueue.add(machine);
    sendNextProbes();
  }

  private void sendNextProbes() {
    Iterator<Machine> next = probeQueue.iterator();
    while (probesInFlight < MAX_CONCURRENT_PROBES && next.hasNext() && mayAct.getAsBoolean()) {
      Machine machine = next.next();
      next.remove();
      Instant now = eventLoop.now();
      boolean probedRecently =
          machine.lastProbedAt != null && machine.lastProbedAt.plus(PROBE_INTERVAL).isAfter(now);
      boolean isReachable = machine.state() != Machine.State.GONE && machine.address != null;
      if (!probedRecently && isReachable && !machine.commandInFlight) {
        sendProbe(machine, now);
      }
    }
  }

  private void sendProbe(Machine machine, Instant now) {
    probesInFlight++;
    machine.lastProbedAt = now;
    machine.commandInFlight = true;
    httpClient.call(
        Request.post(
            machine.address,
            "/do",
            WorkerWire.command(term, Math.max(1, machine.agentEpoch), new Orders()),
            COMMAND_TIMEOUT),
        reply -> {
          probesInFlight--;
          onCommandReply(machine, List.of(), reply);
          sendNextProbes();
        });
  }

  private void onCommandReply(Machine machine, List<Attempt> started, Reply reply) {
    machine.commandInFlight = false;
    boolean executed = reply.is(200);
    // What the protocol does not name tells nothing, least of all that a start was not executed.
    boolean refused = reply.is(409) || reply.is(400) || reply.outcome() == Outcome.NOT_SENT;
    for (Attempt attempt : started) {
      attempt.directStartPending = false;
      if (refused) {
        attempt.startSession = 0;
        if (!attempt.isWanted()) {
          // Decided while the start was on its way; nobody else would ever settle it.
          scheduler.onAttemptGone(attempt, "its start was refused");
        }
      } else if (!executed) {
        attempt.startUnconfirmed = true;
      }
    }
    if (refused || !executed) {
      // Kills in it may not have arrived; the next report's response repeats them.
      machine.attempts.values().forEach(a -> a.killSent = false);
    }
    if (!reply.isAnswered()) {
      if (machine.reachability() == Machine.Reachability.REACHABLE) {
        log.info("machine {} did not answer ({})", machine, reply);
        updateReachability(machine, Machine.Reachability.DOUBTFUL);
      }
      return;
    }
    updateReachability(machine, Machine.Reachability.REACHABLE);
    if (executed || reply.status() == 409) {
      try {
        Report heartbeat = WorkerWire.parseReport(reply.body());
        if (heartbeat.token() > term) {
          listener.onNewerFencingToken(heartbeat.token());
          return;
        }
        applyHeartbeat(heartbeat, machine.reachedThroughPeer, false);
      } catch (MalformedMessageException e) {
        log.warn("machine {} answered a command with {}", machine, reply);
        // It does not list what it started, and a report from before the command may still come.
        started.forEach(attempt -> attempt.startUnconfirmed |= executed);
        updateReachability(machine, Machine.Reachability.DOUBTFUL);
      }
    }
    requestCommand(machine);
  }

  /**
   * Writes what the machine is to do now.
   *
   * @param direct whether it goes out as a command of its own; if not, it goes with the response to
   *     the report that the machine's present sequence number belongs to
   * @return the attempts whose starts it holds
   */
  private List<Attempt> writeCommands(Machine machine, Orders commands, boolean direct) {
    List<Attempt> started = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      String job = attempt.job.spec.id();
      switch (attempt.state()) {
        case PLACEMENT_STORED -> {
          boolean retriesUnconfirmed = attempt.startUnconfirmed && !direct;
          if (attempt.isWanted()
              ? attempt.startSession == 0 || retriesUnconfirmed
              : retriesUnconfirmed) {
            if (!attempt.isWanted()
                && attempt.job.finalStateStored
                && isCancellationBoundNear(attempt)) {
              // Too late to make its start known and ended: only the machine's return keeps a late
              // copy of it from running. Found by the simulation, after a leader stood still.
              listener.onCancellationUnprovable(machine);
              continue;
            }
            commands.start(job, attempt.task, attempt.number);
            attempt.startSession = machine.agentEpoch;
            attempt.startHeartbeatSequence = direct ? -1 : machine.lastHeartbeatSequence;
            attempt.directStartPending = direct;
            if (direct) {
              started.add(attempt);
            }
            if (!attempt.isWanted()) {
              // Known and ended it cannot be started by a late copy of the first order.
              commands.kill(job, attempt.task, attempt.number, Duration.ZERO);
            }
          }
        }
        case RECOVERED, FETCHING_IMAGE, WAITING_FOR_GANG, RUNNING, SAVING_CHECKPOINT -> {
          if (!attempt.isWanted() && !(direct && attempt.killSent)) {
            boolean saving = attempt.state() == Attempt.State.SAVING_CHECKPOINT;
            if (!saving || attempt.killGracePeriod.isZero()) {
              commands.kill(job, attempt.task, attempt.number, attempt.killGracePeriod);
            }
            attempt.killSent = true;
          }
        }
        case EXITED -> {
          if (attempt.mayBeForgotten && !attempt.startUnconfirmed && !direct) {
            commands.forget(job, attempt.task, attempt.number);
          }
        }
        default -> {}
      }
    }
    return started;
  }

  /** Whether the time in which a cancelled job's tasks must be gone is nearly over. */
  private boolean isCancellationBoundNear(Attempt attempt) {
    Duration halfBound = cluster.settings.workerTimes().cancellationBound().dividedBy(2);
    return attempt.killedAt.plus(halfBound).isBefore(eventLoop.now());
  }

  /** Forgets tasks of jobs that are over, which no attempt here accounts for. */
  private void writeCommandsForUnknownTasks(Report heartbeat, Machine machine, Orders commands) {
    boolean recordsIncomplete = listener.areRecordsIncomplete();
    for (TaskReport task : heartbeat.tasks()) {
      String job = task.task().job();
      if (machine.attempts.containsKey(task.key())) {
        continue;
      }
      if (task.state() != TaskState.EXITED && !cluster.jobs.containsKey(job)) {
        listener.onUnknownTask(job);
      }
      if (recordsIncomplete && !cluster.jobs.containsKey(job) && !listener.isJobEnded(job)) {
        // The job may have been lost, and come back with its user's repeated submission.
        continue;
      }
      if (task.state() == TaskState.EXITED) {
        commands.forget(task.task().job(), task.task().index(), task.attempt());
      } else {
        commands.kill(task.task().job(), task.task().index(), task.attempt(), Duration.ZERO);
      }
    }
  }
}
