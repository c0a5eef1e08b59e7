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
  private static final Duration DIRECT_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Probes under way: when hundreds are silent, asking all at once used up the sockets. Those that
   * live answer within milliseconds, so the rest have their turn soon.
   */
  private static final int MOST_PROBES = 100;

  /** One that has been asked is not asked again sooner. */
  private static final Duration PROBE_AGAIN = Duration.ofSeconds(4);

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final long term;
  private final BooleanSupplier mayAct;
  private final Listener listener;
  private final Set<Machine> due = new LinkedHashSet<>();

  /** How many reports have been dealt with. */
  private long reports;

  private final Set<Machine> toProbe = new LinkedHashSet<>();
  private int probes;
  private boolean flushSet;

  /** What the rest of the leader learns from here. */
  public interface Listener {
    /** A worker has seen a higher token than ours. */
    void onSuperseded(long token);

    /** Whether a machine is proven gone, so that its late reports count for nothing. */
    boolean isGone(String machine);

    /** A machine nobody expected reports. */
    void onMachine(Machine machine);

    /** Whether placements and jobs may be missing from the records, so that what runs is kept. */
    boolean recordsIncomplete();

    /** A worker runs a task of a job that is not in memory. */
    void onStranger(String job);

    /** Whether a job that is not in memory is known to be over. */
    boolean isOver(String job);

    /** What a cancelled job has there can no longer be proven gone in time, but by its return. */
    void onUnprovable(Machine machine);
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
  public Orders onReport(Report report) {
    return onReport(report, false);
  }

  /**
   * Takes a report that a peer may have handed on.
   *
   * @param relayed whether it has
   */
  public Orders onReport(Report report, boolean relayed) {
    Machine known = cluster.machine(report.machine());
    // A copy of a report may come long after it: nobody waits for its answer, so no order goes with
    // it.
    boolean first = known == null || isNewer(report, known);
    Machine machine = take(report, relayed, true);
    if (report.token() > term) {
      listener.onSuperseded(report.token());
      return null;
    }
    Orders orders = new Orders();
    if (machine != null && first) {
      if (report.token() == term && mayAct.getAsBoolean()) {
        writeOrders(machine, orders, false);
        writeStrangers(report, machine, orders);
      }
      machine.lastAnsweredAt = eventLoop.now();
      if (machine.reachability() != Machine.Reachability.REACHABLE && !relayed) {
        machine.trackUnreachable(eventLoop.now());
        probe(machine);
      }
    }
    return orders;
  }

  private static boolean isNewer(Report report, Machine machine) {
    return report.session() > machine.agentEpoch
        || (report.session() == machine.agentEpoch
            && report.sequence() > machine.lastHeartbeatSequence);
  }

  /**
   * Finds out whether orders reach a machine that reports. An order that got no answer is asked
   * after with an empty one at its next report, so a lost packet costs it no more than that. One
   * whose session ended although it was answered in time has heard nothing for a whole lease.
   * Without this it took new tasks with each new session, of which none ever started.
   */
  private void hear(Machine machine, Machine.Reachability next) {
    if (machine.reachability() == next) {
      return;
    }
    log.info("machine {} {} (was {})", machine, next, machine.reachability());
    boolean took = machine.isSchedulable();
    machine.setReachability(next);
    cluster.updateIndexes(machine);
    if (next == Machine.Reachability.DOUBTFUL) {
      machine.lastProbedAt = null;
    }
    if (!took && machine.isSchedulable()) {
      scheduler.onMachineReady(machine);
    }
  }

  /** Whether tasks of jobs that are over may still be on a machine. */
  public boolean holdsEnded(String name) {
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
  private Machine take(Report report, boolean relayed, boolean reported) {
    if (report.token() > term) {
      return null;
    }
    Machine machine = cluster.machine(report.machine());
    if (machine == null) {
      if (listener.isGone(report.machine())) {
        // A report held up in the network would bring its tasks back to life and block them.
        return null;
      }
      MachineType type = cluster.type(report.type());
      if (type == null) {
        log.warn("machine {} is of the unknown type {}", report.machine(), report.type());
        return null;
      }
      machine = new Machine(report.machine(), type, report.zone(), report.spot(), eventLoop.now());
      cluster.addMachine(machine);
      listener.onMachine(machine);
    }
    if (!isNewer(report, machine)) {
      return machine;
    }
    machine.lastHeartbeatAt = eventLoop.now();
    machine.reachedThroughPeer = relayed;
    machine.address = report.address();
    if (report.session() > machine.agentEpoch) {
      newSession(machine, report.session());
    }
    machine.lastHeartbeatSequence = report.sequence();
    if (report.notice() != null) {
      Instant taken = eventLoop.now().plus(report.notice());
      if (machine.reclaimAt == null) {
        log.info("machine {} is taken back in {}", machine, report.notice());
        machine.reclaimAt = taken;
        if (machine.spot) {
          cluster.spotRisk.recordReclaim();
        }
      } else if (taken.isBefore(machine.reclaimAt)) {
        machine.reclaimAt = taken;
      }
    } else {
      machine.reclaimAt = null;
    }
    if (report.token() < term) {
      // Orders of an older leader may still reach it: its list proves nothing yet.
      if (machine.state() == Machine.State.EXPECTED) {
        machine.transitionTo(Machine.State.HEARD);
      }
      cluster.updateIndexes(machine);
      return machine;
    }
    boolean wasReady = machine.isSchedulable();
    machine.transitionTo(Machine.State.CONFIRMED);
    follow(machine, report, reported);
    cluster.updateIndexes(machine);
    if (!wasReady && machine.isSchedulable()) {
      scheduler.onMachineReady(machine);
    }
    if (machine.reclaimAt != null) {
      evacuate(machine);
    }
    return machine;
  }

  /** A worker forgets all its tasks when its lease ends; the next session starts empty. */
  private void newSession(Machine machine, long session) {
    long before = machine.agentEpoch;
    machine.agentEpoch = session;
    if (before == 0) {
      return;
    }
    log.info("machine {} is in session {}", machine, session);
    Duration half = cluster.settings.workerTimes().leaseDuration().dividedBy(2);
    boolean answered =
        machine.lastAnsweredAt != null
            && machine.lastAnsweredAt.plus(half).isAfter(eventLoop.now());
    if (answered) {
      hear(machine, Machine.Reachability.UNREACHABLE);
    }
    for (Attempt attempt : List.copyOf(machine.attempts.values())) {
      boolean ofBefore =
          attempt.wasObserved() || (attempt.startSession != 0 && attempt.startSession < session);
      if (ofBefore) {
        scheduler.onAttemptGone(attempt, "the worker's session ended");
      }
    }
    if (answered) {
      // What is left was never sent, and would wait for a machine that hears nothing.
      for (Attempt attempt : List.copyOf(machine.attempts.values())) {
        if (attempt.holdsCapacity() && attempt.isWanted()) {
          scheduler.preempt(attempt);
        }
      }
    }
  }

  /** Brings the attempts of a machine in step with the newest report of one that has our token. */
  private void follow(Machine machine, Report report, boolean reported) {
    // A mark on each attempt, not a set of names: a report may list hundreds of tasks.
    long mark = ++reports;
    machine.hasUnknownTasks = false;
    for (TaskReport task : report.tasks()) {
      Attempt attempt = machine.attempts.get(task.key());
      if (attempt == null) {
        attempt = adopt(machine, task);
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
        hear(machine, Machine.Reachability.REACHABLE);
      }
      if (task.state() == TaskState.EXITED) {
        scheduler.onAttemptExited(attempt, task.cause());
      } else {
        scheduler.onAttemptObserved(attempt, state(task.state()));
      }
    }
    List<Attempt> unlisted = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.lastListingHeartbeat != mark) {
        unlisted.add(attempt);
      }
    }
    unlisted.forEach(attempt -> absent(attempt, report, reported));
  }

  private static Attempt.State state(TaskState reported) {
    return switch (reported) {
      case FETCHING_IMAGE -> Attempt.State.FETCHING_IMAGE;
      case WAITING_FOR_GANG -> Attempt.State.WAITING_FOR_GANG;
      case RUNNING -> Attempt.State.RUNNING;
      case SAVING_CHECKPOINT -> Attempt.State.SAVING_CHECKPOINT;
      case EXITED -> Attempt.State.EXITED;
    };
  }

  /** A task that no stored placement accounts for: it counts while it is there, and is stopped. */
  private Attempt adopt(Machine machine, TaskReport task) {
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
        && !(listener.recordsIncomplete() && scheduler.adoptUnrecorded(attempt))) {
      log.info("{} is not expected there", attempt);
      job.pending.clear(attempt.task);
      scheduler.kill(attempt, Duration.ZERO);
    }
    return attempt;
  }

  /** The newest report of a machine that has our token does not list the attempt. */
  private void absent(Attempt attempt, Report report, boolean reported) {
    switch (attempt.state()) {
      case PLACEMENT_PENDING, GONE -> {}
      case PLACEMENT_STORED -> {
        if (attempt.startSession == 0 || attempt.directStartPending || attempt.startUnconfirmed) {
          // Not sent yet, or a direct start is or may be still on its way.
          return;
        }
        if (!reported || attempt.startHeartbeatSequence >= report.sequence()) {
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
  private void evacuate(Machine machine) {
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
  public void ordersDue(Machine machine) {
    due.add(machine);
    if (!flushSet) {
      flushSet = true;
      eventLoop.schedule(Duration.ZERO, this::flush);
    }
  }

  private void flush() {
    flushSet = false;
    List<Machine> now = new ArrayList<>(due);
    due.clear();
    now.forEach(this::direct);
  }

  /**
   * Sends what a machine is to do at once. An answer that does not come leaves open for ever
   * whether the orders run, so a machine that did not answer gets them with its reports only.
   */
  private void direct(Machine machine) {
    if (machine.state() != Machine.State.CONFIRMED
        || machine.commandInFlight
        || machine.reachability() != Machine.Reachability.REACHABLE) {
      return;
    }
    if (!mayAct.getAsBoolean()) {
      return;
    }
    Orders orders = new Orders();
    List<Attempt> started = writeOrders(machine, orders, true);
    if (orders.isEmpty()) {
      return;
    }
    machine.commandInFlight = true;
    long session = machine.agentEpoch;
    httpClient.call(
        Request.post(
            machine.address, "/do", WorkerWire.command(term, session, orders), DIRECT_TIMEOUT),
        reply -> onDirectReply(machine, started, reply));
  }

  /**
   * Asks a machine that is overdue for its report, by a command without orders. Its answer carries
   * our token, so it proves as much as a report; the worker may be kept alive by a node that cannot
   * reach us, or be on its way from node to node.
   */
  public void probe(Machine machine) {
    toProbe.add(machine);
    nextProbes();
  }

  private void nextProbes() {
    Iterator<Machine> next = toProbe.iterator();
    while (probes < MOST_PROBES && next.hasNext() && mayAct.getAsBoolean()) {
      Machine machine = next.next();
      next.remove();
      Instant now = eventLoop.now();
      boolean asked =
          machine.lastProbedAt != null && machine.lastProbedAt.plus(PROBE_AGAIN).isAfter(now);
      boolean there = machine.state() != Machine.State.GONE && machine.address != null;
      if (!asked && there && !machine.commandInFlight) {
        sendProbe(machine, now);
      }
    }
  }

  private void sendProbe(Machine machine, Instant now) {
    probes++;
    machine.lastProbedAt = now;
    machine.commandInFlight = true;
    httpClient.call(
        Request.post(
            machine.address,
            "/do",
            WorkerWire.command(term, Math.max(1, machine.agentEpoch), new Orders()),
            DIRECT_TIMEOUT),
        reply -> {
          probes--;
          onDirectReply(machine, List.of(), reply);
          nextProbes();
        });
  }

  private void onDirectReply(Machine machine, List<Attempt> started, Reply reply) {
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
        hear(machine, Machine.Reachability.DOUBTFUL);
      }
      return;
    }
    hear(machine, Machine.Reachability.REACHABLE);
    if (executed || reply.status() == 409) {
      try {
        Report report = WorkerWire.parseReport(reply.body());
        if (report.token() > term) {
          listener.onSuperseded(report.token());
          return;
        }
        take(report, machine.reachedThroughPeer, false);
      } catch (MalformedMessageException e) {
        log.warn("machine {} answered a command with {}", machine, reply);
        // It does not list what it started, and a report from before the command may still come.
        started.forEach(attempt -> attempt.startUnconfirmed |= executed);
        hear(machine, Machine.Reachability.DOUBTFUL);
      }
    }
    ordersDue(machine);
  }

  /**
   * Writes what the machine is to do now.
   *
   * @param direct whether it goes out as a command of its own; if not, it goes with the response to
   *     the report that the machine's present sequence number belongs to
   * @return the attempts whose starts it holds
   */
  private List<Attempt> writeOrders(Machine machine, Orders orders, boolean direct) {
    List<Attempt> started = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      String job = attempt.job.spec.id();
      switch (attempt.state()) {
        case PLACEMENT_STORED -> {
          boolean again = attempt.startUnconfirmed && !direct;
          if (attempt.isWanted() ? attempt.startSession == 0 || again : again) {
            if (!attempt.isWanted() && attempt.job.finalStateStored && isLate(attempt)) {
              // Too late to make its start known and ended: only the machine's return keeps a late
              // copy of it from running. Found by the simulation, after a leader stood still.
              listener.onUnprovable(machine);
              continue;
            }
            orders.start(job, attempt.task, attempt.number);
            attempt.startSession = machine.agentEpoch;
            attempt.startHeartbeatSequence = direct ? -1 : machine.lastHeartbeatSequence;
            attempt.directStartPending = direct;
            if (direct) {
              started.add(attempt);
            }
            if (!attempt.isWanted()) {
              // Known and ended it cannot be started by a late copy of the first order.
              orders.kill(job, attempt.task, attempt.number, Duration.ZERO);
            }
          }
        }
        case RECOVERED, FETCHING_IMAGE, WAITING_FOR_GANG, RUNNING, SAVING_CHECKPOINT -> {
          if (!attempt.isWanted() && !(direct && attempt.killSent)) {
            boolean saving = attempt.state() == Attempt.State.SAVING_CHECKPOINT;
            if (!saving || attempt.killGracePeriod.isZero()) {
              orders.kill(job, attempt.task, attempt.number, attempt.killGracePeriod);
            }
            attempt.killSent = true;
          }
        }
        case EXITED -> {
          if (attempt.mayBeForgotten && !attempt.startUnconfirmed && !direct) {
            orders.forget(job, attempt.task, attempt.number);
          }
        }
        default -> {}
      }
    }
    return started;
  }

  /** Whether the time in which a cancelled job's tasks must be gone is nearly over. */
  private boolean isLate(Attempt attempt) {
    Duration half = cluster.settings.workerTimes().cancellationBound().dividedBy(2);
    return attempt.killedAt.plus(half).isBefore(eventLoop.now());
  }

  /** Forgets tasks of jobs that are over, which no attempt here accounts for. */
  private void writeStrangers(Report report, Machine machine, Orders orders) {
    boolean incomplete = listener.recordsIncomplete();
    for (TaskReport task : report.tasks()) {
      String job = task.task().job();
      if (machine.attempts.containsKey(task.key())) {
        continue;
      }
      if (task.state() != TaskState.EXITED && !cluster.jobs.containsKey(job)) {
        listener.onStranger(job);
      }
      if (incomplete && !cluster.jobs.containsKey(job) && !listener.isOver(job)) {
        // The job may have been lost, and come back with its user's repeated submission.
        continue;
      }
      if (task.state() == TaskState.EXITED) {
        orders.forget(task.task().job(), task.task().index(), task.attempt());
      } else {
        orders.kill(task.task().job(), task.task().index(), task.attempt(), Duration.ZERO);
      }
    }
  }
}
