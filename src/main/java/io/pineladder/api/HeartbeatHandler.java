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
 * Handles heartbeats of workers. The leader answers them; any other controller redirects the worker
 * to the leader, forwards the heartbeat if the worker cannot reach the leader, or extends the
 * worker's lease itself. Event thread only.
 */
final class HeartbeatHandler {
  /** A worker that returns within this time after a redirect could not reach the leader. */
  private static final Duration REDIRECT_RETURN_WINDOW = Duration.ofSeconds(12);

  /**
   * Maximum number of workers whose redirects and leader searches are recorded, 1.5 times the
   * largest supported fleet of 4,000 machines. A worker whose entry is evicted is redirected to the
   * leader again, or gets a new random search time.
   */
  static final int MAX_TRACKED_WORKERS = 6_000;

  private final ControllerNode node;
  private final RequestForwarder requestForwarder;
  private final LeaseExtensionPolicy leaseExtension;

  /** When each worker was last redirected to the leader, or its heartbeat forwarded. */
  private final Map<String, Instant> lastRedirects = new LinkedHashMap<>();

  /** The leader of the redirects in {@link #lastRedirects}; null before the first. */
  private RecordWire.LeaderRecord redirectTarget;

  /** Forwards requests to other controllers; replaced in tests. */
  interface RequestForwarder {
    /** Tries the addresses in order; runs {@code onUndecided} if no controller decides. */
    void forward(
        List<String> addresses,
        PeerWire.ForwardedRequest request,
        Consumer<HttpResponse> answer,
        Runnable onUndecided);
  }

  HeartbeatHandler(ControllerNode node, RequestForwarder requestForwarder) {
    this.node = node;
    this.requestForwarder = requestForwarder;
    this.leaseExtension = new LeaseExtensionPolicy(node);
  }

  /**
   * Answers a heartbeat.
   *
   * @param forwarded whether another controller forwarded the heartbeat
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
      // No controller leads while the records are rebuilt, but running tasks must survive.
      answer.accept(ok(WorkerWire.heartbeatResponse(rebuildToken, new WorkerWire.Orders())));
      return;
    }
    LeaderTerm heldTerm = node.termAcceptingHeartbeats();
    if (heldTerm != null) {
      byte[] response = heldTerm.onHeartbeat(heartbeat, forwarded);
      // A worker that has seen a newer fencing token rejects orders of this term.
      if (response != null && !heldTerm.isOfLaterTerm(heartbeat.token())) {
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
      // Answered without forwarding first: in a network partition, trying the other controllers
      // would take most of the lease.
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

  /** Redirects a worker to the leader, or forwards its heartbeat if its last redirect failed. */
  private void redirectOrForward(
      RecordWire.LeaderRecord leader,
      WorkerWire.Heartbeat heartbeat,
      byte[] body,
      Consumer<HttpResponse> answer) {
    Instant now = node.eventLoop().now();
    if (!leader.equals(redirectTarget)) {
      // A failed redirect to an earlier leader says nothing about the new one. Without this reset,
      // all heartbeats of a worker would be forwarded once the first was.
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
   * Forwards the heartbeat of a worker that cannot reach the leader, and returns the leader's
   * response; a worker accepts responses from any controller.
   */
  private void forwardToLeader(
      RecordWire.LeaderRecord leader,
      WorkerWire.Heartbeat heartbeat,
      byte[] body,
      Consumer<HttpResponse> answer) {
    requestForwarder.forward(
        List.of(leader.address()),
        new PeerWire.ForwardedRequest("POST", ApiPaths.HEARTBEAT, body, 0),
        response -> {
          lastRedirects.put(heartbeat.machine(), node.eventLoop().now());
          answer.accept(response);
        },
        () -> answer.accept(new HttpResponse(421, WorkerWire.redirect(null))));
  }

  /**
   * Orders to end the tasks of ended jobs, the only orders that a controller other than the leader
   * may give: a final state is permanent, so no leader needs such a task. They make it safe to
   * extend a worker's lease for as long as this controller's replica is up to date, since the tasks
   * of cancelled jobs then end without the expiry of the lease.
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
