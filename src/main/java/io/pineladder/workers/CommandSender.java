package io.pineladder.workers;

import io.pineladder.model.Attempt;
import io.pineladder.model.Machine;
import io.pineladder.model.TermTokens;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.wire.WorkerWire;
import io.pineladder.wire.WorkerWire.Orders;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Sends commands to workers in requests, with at most one request in flight to each machine. A
 * probe is a request without commands.
 */
final class CommandSender {
  private static final String COMMAND_PATH = "/do";
  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Limits the connections that probes use when hundreds of machines are overdue. Live machines
   * reply within milliseconds, so the queue drains quickly.
   */
  private static final int MAX_CONCURRENT_PROBES = 100;

  /** Minimum time between two probes of the same machine. */
  private static final Duration PROBE_INTERVAL = Duration.ofSeconds(4);

  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final TermTokens tokens;
  private final BooleanSupplier isLeadingWithValidLease;
  private final CommandWriter writer;
  private final CommandReplyHandler replies;

  private final Set<Machine> commandQueue = new LinkedHashSet<>();
  private boolean commandsScheduled;
  private final Set<Machine> probeQueue = new LinkedHashSet<>();
  private int probesInFlight;

  CommandSender(
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      TermTokens tokens,
      BooleanSupplier isLeadingWithValidLease,
      CommandWriter writer,
      CommandReplyHandler replies) {
    this.httpClient = httpClient;
    this.eventLoop = eventLoop;
    this.tokens = tokens;
    this.isLeadingWithValidLease = isLeadingWithValidLease;
    this.writer = writer;
    this.replies = replies;
  }

  /** Schedules a request with the machine's commands, to be sent after the current event. */
  void requestCommand(Machine machine) {
    commandQueue.add(machine);
    if (!commandsScheduled) {
      commandsScheduled = true;
      eventLoop.schedule(Duration.ZERO, this::sendRequestedCommands);
    }
  }

  private void sendRequestedCommands() {
    commandsScheduled = false;
    List<Machine> machines = new ArrayList<>(commandQueue);
    commandQueue.clear();
    machines.forEach(this::sendCommand);
  }

  /**
   * Sends the machine's commands. If a request is not answered, it is never known whether its
   * commands took effect; so an unresponsive machine gets commands in heartbeat responses only.
   */
  private void sendCommand(Machine machine) {
    if (machine.state() != Machine.State.CONFIRMED
        || machine.commandInFlight
        || machine.reachability() != Machine.Reachability.REACHABLE) {
      return;
    }
    if (!isLeadingWithValidLease.getAsBoolean()) {
      return;
    }
    Orders commands = new Orders();
    List<Attempt> started = writer.write(machine, commands, CommandWriter.Channel.REQUEST);
    if (commands.isEmpty()) {
      return;
    }
    machine.commandInFlight = true;
    machine.commandFence.onRequestSent();
    httpClient.call(
        request(machine, machine.agentEpoch, commands),
        reply -> {
          if (replies.onReply(machine, started, reply)) {
            requestCommand(machine);
          }
        });
  }

  private Request request(Machine machine, long agentEpoch, Orders commands) {
    return Request.post(
        machine.address,
        COMMAND_PATH,
        WorkerWire.command(machine.commandFence.token(tokens), agentEpoch, commands),
        COMMAND_TIMEOUT);
  }

  /**
   * Probes a machine whose heartbeat is overdue. The reply proves as much as a heartbeat does,
   * since it carries a fencing token of this term. The worker may be alive although no heartbeat
   * arrives: a controller that cannot reach this one may renew its lease, or the worker may be
   * trying the controllers in turn.
   */
  void probe(Machine machine) {
    probeQueue.add(machine);
    sendNextProbes();
  }

  private void sendNextProbes() {
    Iterator<Machine> next = probeQueue.iterator();
    while (probesInFlight < MAX_CONCURRENT_PROBES
        && next.hasNext()
        && isLeadingWithValidLease.getAsBoolean()) {
      Machine machine = next.next();
      next.remove();
      Instant now = eventLoop.now();
      boolean probedRecently =
          machine.lastProbedAt != null && machine.lastProbedAt.plus(PROBE_INTERVAL).isAfter(now);
      boolean canBeProbed = machine.state() != Machine.State.GONE && machine.address != null;
      if (!probedRecently && canBeProbed && !machine.commandInFlight) {
        sendProbe(machine, now);
      }
    }
  }

  private void sendProbe(Machine machine, Instant now) {
    probesInFlight++;
    machine.lastProbedAt = now;
    machine.commandInFlight = true;
    httpClient.call(
        request(machine, Math.max(1, machine.agentEpoch), new Orders()),
        reply -> {
          probesInFlight--;
          if (replies.onReply(machine, List.of(), reply)) {
            requestCommand(machine);
          }
          sendNextProbes();
        });
  }
}
