package io.pineladder.workers;

import io.pineladder.model.Machine;
import io.pineladder.model.TermTokens;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.WorkerWire.Heartbeat;
import io.pineladder.wire.WorkerWire.Orders;
import java.util.function.BooleanSupplier;

/**
 * The leader's side of the worker protocol: applies heartbeats and sends commands, in heartbeat
 * responses and in requests. All methods run on the event loop.
 */
public final class WorkerManager {
  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final TermTokens tokens;
  private final BooleanSupplier isLeadingWithValidLease;
  private final Listener listener;
  private final HeartbeatProcessor heartbeats;
  private final CommandWriter commandWriter;
  private final CommandSender commandSender;

  /**
   * The response to a heartbeat.
   *
   * @param token the fencing token, which is not lower than any that this term has sent the worker
   */
  public record Response(long token, Orders commands) {}

  /** Queries and events that the worker manager passes to the rest of the leader. */
  public interface Listener {
    /** A worker has a newer fencing token than this term's. */
    void onNewerFencingToken(long token);

    /** Whether the cloud has confirmed the machine's release, so its heartbeats are stale. */
    boolean wasReleased(String machine);

    /** A machine that was neither rented nor listed sent a heartbeat; it has been added. */
    void onUnexpectedMachine(Machine machine);

    /** Whether stored placements or jobs may be missing, so unknown tasks must not be killed. */
    boolean areRecordsIncomplete();

    /** A worker lists a task that has not exited, of a job that is not in memory. */
    void onUnknownTask(String job);

    /** Whether a job that is not in memory is known to have ended. */
    boolean isJobEnded(String job);

    /**
     * Only the machine's release can now prove, within the cancellation bound, that a cancelled
     * job's task has ended.
     */
    void onCancellationUnprovable(Machine machine);
  }

  /**
   * Creates the manager of one term.
   *
   * @param tokens the fencing tokens of the term
   * @param isLeadingWithValidLease checked before commands are sent, since the process may have
   *     been paused
   */
  public WorkerManager(
      ClusterState cluster,
      Scheduler scheduler,
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      TermTokens tokens,
      BooleanSupplier isLeadingWithValidLease,
      Listener listener) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.tokens = tokens;
    this.isLeadingWithValidLease = isLeadingWithValidLease;
    this.listener = listener;
    ReachabilityTracker reachability = new ReachabilityTracker(cluster, scheduler);
    this.heartbeats =
        new HeartbeatProcessor(cluster, scheduler, eventLoop, tokens, listener, reachability);
    this.commandWriter = new CommandWriter(cluster, eventLoop, tokens, listener);
    this.commandSender =
        new CommandSender(
            httpClient,
            eventLoop,
            tokens,
            isLeadingWithValidLease,
            commandWriter,
            new CommandReplyHandler(scheduler, tokens, listener, heartbeats, reachability));
  }

  /** Applies a heartbeat that this controller received directly from the worker. */
  public Response onHeartbeat(Heartbeat heartbeat) {
    return onHeartbeat(heartbeat, false);
  }

  /**
   * Applies a heartbeat.
   *
   * @param viaPeer whether another controller forwarded it
   * @return the response, or null if the worker follows a later leader and its lease must not be
   *     renewed by this one
   */
  public Response onHeartbeat(Heartbeat heartbeat, boolean viaPeer) {
    Machine known = cluster.machine(heartbeat.machine());
    // The response to a delayed duplicate is not read by the worker, so it carries no commands.
    boolean isNewest = known == null || HeartbeatProcessor.isNewer(heartbeat, known);
    Machine machine = heartbeats.apply(heartbeat, viaPeer, HeartbeatProcessor.Source.HEARTBEAT);
    if (tokens.isOfLaterTerm(heartbeat.token())) {
      listener.onNewerFencingToken(heartbeat.token());
      return null;
    }
    Orders commands = new Orders();
    if (machine != null && isNewest) {
      if (heartbeat.token() >= tokens.first() && isLeadingWithValidLease.getAsBoolean()) {
        commandWriter.write(machine, commands, CommandWriter.Channel.HEARTBEAT_RESPONSE);
        commandWriter.writeForUnknownTasks(heartbeat, machine, commands);
      }
      machine.lastAnsweredAt = eventLoop.now();
      if (machine.reachability() != Machine.Reachability.REACHABLE && !viaPeer) {
        machine.trackUnreachable(eventLoop.now());
        probe(machine);
      }
    }
    // A worker drops a response with a lower token than it has seen, and its lease runs on.
    long token = machine == null ? tokens.highestUsed() : machine.commandFence.token(tokens);
    return new Response(token, commands);
  }

  /** Whether the machine holds tasks of jobs whose final state is being or was stored. */
  public boolean holdsTasksOfEndedJobs(String name) {
    Machine machine = cluster.machine(name);
    return machine != null
        && machine.attempts.values().stream()
            .anyMatch(a -> a.holdsCapacity() && a.job.finalStatePending);
  }

  /** Schedules a request with the machine's commands, to be sent after the current event. */
  public void requestCommand(Machine machine) {
    commandSender.requestCommand(machine);
  }

  /** Probes a machine whose heartbeat is overdue or which may not receive commands. */
  public void probe(Machine machine) {
    commandSender.probe(machine);
  }
}
