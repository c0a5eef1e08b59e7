package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;

import io.pineladder.ControllerNode;
import io.pineladder.LeaderTerm;
import io.pineladder.leadership.Election;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.PeerWire;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.WorkerWire;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Heartbeats of workers at any controller: the leader answers them; another controller redirects
 * the worker to the leader, forwards the heartbeat of a worker that does not reach the leader, or
 * extends the worker's lease itself. Event thread only.
 */
final class HeartbeatHandler {
  /** A worker that returns this soon after a redirect has not reached the leader. */
  private static final Duration REDIRECT_RETURN_WINDOW = Duration.ofSeconds(12);

  /**
   * Workers whose redirects and leader searches are recorded: one and a half times the 4,000
   * machines of the largest fleets. A worker whose record is evicted is redirected to the leader
   * again, or gets a new random search time.
   */
  static final int MAX_TRACKED_WORKERS = 6_000;

  private final ControllerNode node;
  private final Forwarding forwarding;
  private final LeaseExtensionPolicy leaseExtension;

  /** When each worker was last redirected to the leader, or its heartbeat forwarded. */
  private final Map<String, Instant> lastRedirects = new LinkedHashMap<>();

  /** The leader of the redirects in {@link #lastRedirects}; null before the first. */
  private RecordWire.LeaderRecord redirectTarget;

  /** Forwards requests to other controllers. */
  interface Forwarding {
    /** Tries the addresses in order; runs {@code onUndecided} when none has decided. */
    void forward(
        List<String> addresses,
        PeerWire.ForwardedRequest request,
        Consumer<HttpResponse> answer,
        Runnable onUndecided);
  }

  HeartbeatHandler(ControllerNode node, Forwarding forwarding) {
    this.node = node;
    this.forwarding = forwarding;
    this.leaseExtension = new LeaseExtensionPolicy(node);
  }

  /**
   * Answers a heartbeat.
   *
   * @param forwarded whether a peer forwarded it
   */
  void handle(byte[] body, boolean forwarded, Consumer<HttpResponse> answer) {
    WorkerWire.Heartbeat heartbeat;
    try {
      heartbeat = WorkerWire.parseHeartbeat(body);
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    node.replicaManager().generations().observeToken(heartbeat.token());
    long rebuildToken =
        node.replicaManager()
            .generations()
            .keepAliveToken(
                heartbeat.token(), Election.maxWorkerLeaseExtension(node.settings().workerTimes()));
    if (rebuildToken >= heartbeat.token() && rebuildToken > 0) {
      // No controller leads while the records are rebuilt; running tasks must survive that.
      answer.accept(ok(WorkerWire.heartbeatResponse(rebuildToken, new WorkerWire.Orders())));
      return;
    }
    LeaderTerm heldTerm = node.termAcceptingHeartbeats();
    if (heldTerm != null) {
      byte[] response = heldTerm.onHeartbeat(heartbeat, forwarded);
      // To a worker that has seen a newer token, orders of this term would be fenced off.
      if (response != null && heartbeat.token() <= heldTerm.term()) {
        answer.accept(ok(response));
        return;
      }
    }
    RecordWire.LeaderRecord knownLeader = node.election().knownLeader();
    boolean leaderIsPeer =
        knownLeader != null
            && !knownLeader.controllerName().equals(node.settings().controllerName());
    long token = leaseExtension.leaseExtensionToken(heartbeat, knownLeader, leaderIsPeer);
    if (token > 0) {
      // At once: during a network cut a search through the other controllers takes most of a lease.
      node.leaseKeepAlives().onLeaseRenewed(heartbeat.machine(), heartbeat.zone());
      answer.accept(ok(WorkerWire.heartbeatResponse(token, killOrdersForEndedJobs(heartbeat))));
      return;
    }
    if (leaderIsPeer) {
      redirectOrForward(knownLeader, heartbeat, body, answer);
    } else {
      answer.accept(new HttpResponse(421, WorkerWire.redirect(null)));
    }
  }

  /** Redirects a worker to the leader, or forwards its heartbeat if the last redirect failed. */
  private void redirectOrForward(
      RecordWire.LeaderRecord leader,
      WorkerWire.Heartbeat heartbeat,
      byte[] body,
      Consumer<HttpResponse> answer) {
    Instant now = node.eventLoop().now();
    if (!leader.equals(redirectTarget)) {
      // A failed redirect to an earlier leader does not count for this one. Otherwise a heartbeat
      // once forwarded would be forwarded for ever.
      lastRedirects.clear();
      redirectTarget = leader;
    }
    Instant lastRedirect = lastRedirects.get(heartbeat.machine());
    if (lastRedirect != null
        && lastRedirect.plus(REDIRECT_RETURN_WINDOW).isAfter(now)
        && !node.membership().isUnreachable(leader.controllerName())) {
      forwardToLeader(leader, heartbeat, body, answer);
      return;
    }
    lastRedirects.put(heartbeat.machine(), now);
    if (lastRedirects.size() > MAX_TRACKED_WORKERS) {
      lastRedirects.remove(lastRedirects.keySet().iterator().next());
    }
    answer.accept(new HttpResponse(421, WorkerWire.redirect(leader.controllerName())));
  }

  /**
   * Forwards the heartbeat of a worker that does not reach the leader, and the leader's response
   * back; a worker accepts a response from any controller.
   */
  private void forwardToLeader(
      RecordWire.LeaderRecord leader,
      WorkerWire.Heartbeat heartbeat,
      byte[] body,
      Consumer<HttpResponse> answer) {
    forwarding.forward(
        List.of(leader.address()),
        new PeerWire.ForwardedRequest("POST", ApiPaths.HEARTBEAT, body, 0),
        response -> {
          lastRedirects.put(heartbeat.machine(), node.eventLoop().now());
          answer.accept(response);
        },
        () -> answer.accept(new HttpResponse(421, WorkerWire.redirect(null))));
  }

  /**
   * Orders that end the tasks of ended jobs. These are the only orders that a controller gives in
   * place of the leader: a final state is stored and never undone, so no leader wants such a task
   * to run on. With them a worker's lease can be extended for as long as this controller's replica
   * is in step with the store, since a cancelled job's tasks end without the worker's lease expiry.
   */
  private WorkerWire.Orders killOrdersForEndedJobs(WorkerWire.Heartbeat heartbeat) {
    WorkerWire.Orders orders = new WorkerWire.Orders();
    for (WorkerWire.TaskStatus task : heartbeat.tasks()) {
      String job = task.task().job();
      if (task.state() != WorkerWire.TaskState.EXITED
          && node.replicaManager().replica().finalState(job) != null) {
        orders.kill(job, task.task().index(), task.attempt(), Duration.ZERO);
      }
    }
    return orders;
  }
}
