package io.pineladder.workers;

import io.pineladder.model.Machine;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.Orders;
import java.util.function.BooleanSupplier;

/**
 * A leader's dealings with the workers: applies their heartbeats and sends them commands, by
 * heartbeat responses and by requests. All methods run on the event loop.
 */
public final class WorkerManager {
  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final long term;
  private final BooleanSupplier mayAct;
  private final Listener listener;
  private final HeartbeatProcessor heartbeats;
  private final CommandWriter commandWriter;
  private final CommandSender commandSender;

  /** The questions and events that the workers' statuses raise for the rest of the leader. */
  public interface Listener {
    /** A worker has a newer fencing token than this term's. */
    void onNewerFencingToken(long token);

    /** Whether a machine's return was confirmed, so that heartbeats that still come are stale. */
    boolean wasReleased(String machine);

    /** A machine that was neither rented nor listed sent a heartbeat; it has been added. */
    void onUnexpectedMachine(Machine machine);

    /** Whether placements and jobs may be missing from the records, so that listed tasks stay. */
    boolean areRecordsIncomplete();

    /** A worker lists a task that has not ended, of a job that is not in memory. */
    void onUnknownTask(String job);

    /** Whether a job that is not in memory is known to be over. */
    boolean isJobEnded(String job);

    /**
     * A cancelled job's task can no longer be proven gone within the cancellation bound, except by
     * the machine's release.
     */
    void onCancellationUnprovable(Machine machine);
  }

  /**
   * Creates the manager of one term.
   *
   * @param term the term's fencing token
   * @param mayAct whether the leader's lease allows commands at the moment
   */
  public WorkerManager(
      ClusterState cluster,
      Scheduler scheduler,
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      long term,
      BooleanSupplier mayAct,
      Listener listener) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.term = term;
    this.mayAct = mayAct;
    this.listener = listener;
    ReachabilityTracker reachability = new ReachabilityTracker(cluster, scheduler);
    this.heartbeats =
        new HeartbeatProcessor(cluster, scheduler, eventLoop, term, listener, reachability);
    this.commandWriter = new CommandWriter(cluster, eventLoop, listener);
    this.commandSender =
        new CommandSender(
            httpClient,
            eventLoop,
            term,
            mayAct,
            commandWriter,
            new CommandReplyHandler(scheduler, term, listener, heartbeats, reachability));
  }

  /** Applies a heartbeat that this controller received itself; see the other overload. */
  public Orders onHeartbeat(Heartbeat heartbeat) {
    return onHeartbeat(heartbeat, false);
  }

  /**
   * Applies a heartbeat.
   *
   * @param viaPeer whether another controller forwarded it
   * @return the commands for the response, or null when the worker follows a later leader and its
   *     lease must not be renewed here
   */
  public Orders onHeartbeat(Heartbeat heartbeat, boolean viaPeer) {
    Machine known = cluster.machine(heartbeat.machine());
    // A duplicate may come long after the heartbeat. Nobody waits for its response, so no command
    // goes with it.
    boolean isNewest = known == null || HeartbeatProcessor.isNewer(heartbeat, known);
    Machine machine = heartbeats.apply(heartbeat, viaPeer, HeartbeatProcessor.Source.HEARTBEAT);
    if (heartbeat.token() > term) {
      listener.onNewerFencingToken(heartbeat.token());
      return null;
    }
    Orders commands = new Orders();
    if (machine != null && isNewest) {
      if (heartbeat.token() == term && mayAct.getAsBoolean()) {
        commandWriter.write(machine, commands, CommandWriter.Channel.HEARTBEAT_RESPONSE);
        commandWriter.writeForUnknownTasks(heartbeat, machine, commands);
      }
      machine.lastAnsweredAt = eventLoop.now();
      if (machine.reachability() != Machine.Reachability.REACHABLE && !viaPeer) {
        machine.trackUnreachable(eventLoop.now());
        probe(machine);
      }
    }
    return commands;
  }

  /** Whether tasks of jobs whose end is being stored may still be on a machine. */
  public boolean holdsTasksOfEndedJobs(String name) {
    Machine machine = cluster.machine(name);
    return machine != null
        && machine.attempts.values().stream()
            .anyMatch(a -> a.holdsCapacity() && a.job.finalStatePending);
  }

  /** Has the machine's commands sent by a request once the present event has been processed. */
  public void requestCommand(Machine machine) {
    commandSender.requestCommand(machine);
  }

  /** Probes a machine whose heartbeat is overdue or which may not receive commands. */
  public void probe(Machine machine) {
    commandSender.probe(machine);
  }
}
