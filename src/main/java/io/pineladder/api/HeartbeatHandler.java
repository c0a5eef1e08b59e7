package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;

import io.pineladder.ControllerNode;
import io.pineladder.LeaderTerm;
import io.pineladder.leadership.Election;
import io.pineladder.model.Settings;
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
 * Workers' reports on any node: answered by the leader, sent there, handed on for those that do not
 * reach it, or answered in its place to keep a lease.
 */
final class HeartbeatHandler {
  /** A worker back so soon after it was sent to the leader has not reached it. */
  private static final Duration REDIRECT_RETURN_WINDOW = Duration.ofSeconds(12);

  /**
   * Workers whose way through the nodes is remembered: half as many again as the 4,000 machines of
   * the largest fleets. A worker that is forgotten is sent to the leader again, or drawn a round
   * anew.
   */
  static final int MAX_TRACKED_WORKERS = 6_000;

  /** A zone that is cut off for longer loses what runs in it. */
  private static final Duration MAX_ISOLATED_LEASE_EXTENSION = Duration.ofMinutes(30);

  /** Between two tries of a worker that is kept to find a leader elsewhere. */
  private static final Duration LEADER_SEARCH_INTERVAL = Duration.ofSeconds(40);

  /** What a node that does not answer costs a worker. */
  private static final Duration UNRESPONSIVE_CONTROLLER_DELAY = Duration.ofSeconds(5);

  private final ControllerNode node;
  private final Forwarding forwarding;
  private final Instant startedAt;

  /** When each worker was last sent to the leader, or its report handed on. */
  private final Map<String, Instant> lastRedirects = new LinkedHashMap<>();

  /** When each worker that is kept was last sent to the others. */
  private final Map<String, Instant> lastLeaderSearches = new LinkedHashMap<>();

  /** The leader that those workers were sent to. */
  private RecordWire.LeaderRecord redirectTarget;

  /** Hands requests on to other controllers. */
  interface Forwarding {
    /** Tries the addresses in turn; {@code alone} when none has decided. */
    void forward(
        List<String> addresses,
        PeerWire.ForwardedRequest request,
        Consumer<HttpResponse> answer,
        Runnable onUndecided);
  }

  HeartbeatHandler(ControllerNode node, Forwarding forwarding) {
    this.node = node;
    this.forwarding = forwarding;
    this.startedAt = node.eventLoop().now();
  }

  /**
   * Answers a report.
   *
   * @param relayed whether a peer handed it on
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
      // Nobody leads while the records are rebuilt; what runs must live through it.
      answer.accept(ok(WorkerWire.heartbeatResponse(rebuildToken, new WorkerWire.Orders())));
      return;
    }
    LeaderTerm heldTerm = node.heldTerm();
    if (heldTerm != null && heartbeat.token() <= heldTerm.term()) {
      byte[] response = heldTerm.onHeartbeat(heartbeat, forwarded);
      if (response != null) {
        answer.accept(ok(response));
        return;
      }
    } else if (heldTerm != null) {
      heldTerm.onHeartbeat(heartbeat, forwarded);
    }
    RecordWire.LeaderRecord knownLeader = node.election().knownLeader();
    boolean leaderIsPeer =
        knownLeader != null && !knownLeader.member().equals(node.settings().controllerName());
    long token = leaseExtensionToken(heartbeat, knownLeader, leaderIsPeer);
    if (token > 0) {
      // At once: in a cut the way round the other nodes takes most of a lease.
      node.leaseKeepAlives().onLeaseRenewed(heartbeat.machine(), heartbeat.zone());
      answer.accept(ok(WorkerWire.heartbeatResponse(token, killOrdersForEndedJobs(heartbeat))));
      return;
    }
    Instant now = node.eventLoop().now();
    if (leaderIsPeer && !knownLeader.equals(redirectTarget)) {
      // That a worker did not reach an earlier leader says nothing of this one. Otherwise reports
      // once handed on would be handed on for ever, and each new leader make way in its turn.
      lastRedirects.clear();
      redirectTarget = knownLeader;
    }
    Instant lastRedirect = lastRedirects.get(heartbeat.machine());
    if (leaderIsPeer
        && lastRedirect != null
        && lastRedirect.plus(REDIRECT_RETURN_WINDOW).isAfter(now)
        && !node.membership().isUnreachable(knownLeader.member())) {
      forwardToLeader(knownLeader, heartbeat, body, answer);
      return;
    }
    if (leaderIsPeer) {
      lastRedirects.put(heartbeat.machine(), now);
      if (lastRedirects.size() > MAX_TRACKED_WORKERS) {
        lastRedirects.remove(lastRedirects.keySet().iterator().next());
      }
    }
    answer.accept(
        new HttpResponse(421, WorkerWire.redirect(leaderIsPeer ? knownLeader.member() : null)));
  }

  /**
   * A worker that was sent to the leader and is back soon after has not reached it. This node can,
   * so it hands the report on and the response back; a response is as good from any node.
   */
  private void forwardToLeader(
      RecordWire.LeaderRecord leader,
      WorkerWire.Heartbeat heartbeat,
      byte[] body,
      Consumer<HttpResponse> answer) {
    forwarding.forward(
        List.of(leader.address()),
        new PeerWire.ForwardedRequest("POST", "/v1/report", body, 0),
        http -> {
          lastRedirects.put(heartbeat.machine(), node.eventLoop().now());
          answer.accept(http);
        },
        () -> answer.accept(new HttpResponse(421, WorkerWire.redirect(null))));
  }

  /**
   * The token with which this node keeps a worker's lease in a leader's place; 0 when it does not.
   * Any node may answer with a token that the worker has seen, and orders go with it only for what
   * is over.
   */
  private long leaseExtensionToken(
      WorkerWire.Heartbeat heartbeat, RecordWire.LeaderRecord knownLeader, boolean leaderIsPeer) {
    Election election = node.election();
    long newestToken = Math.max(heartbeat.token(), election.knownLeaderTerm());
    boolean storeHealthy = node.storeClient().isHealthy();
    if (leaderIsPeer) {
      if (!node.membership().isUnreachable(knownLeader.member())) {
        return 0;
      }
      boolean replicaInStep =
          heartbeat.token() <= election.knownLeaderTerm()
              && node.replicaManager().follower().isFresh();
      return replicaInStep || mayExtendForUnreachableLeader(knownLeader, heartbeat)
          ? newestToken
          : 0;
    }
    if (election.holdsTerm()) {
      // The leader itself is cut off with the zone: it decides nothing, and what runs goes on. A
      // later
      // leader's command that was held up may have shown the worker a higher token.
      return !storeHealthy && mayExtendWhileIsolated(heartbeat, election.leaseExpiresAt())
          ? newestToken
          : 0;
    }
    // A process that has begun in a zone that is cut off, or in an outage of the state service.
    boolean noLeaderKnown = knownLeader == null && !storeHealthy && heartbeat.token() > 0;
    return noLeaderKnown && mayExtendWhileIsolated(heartbeat, startedAt) ? heartbeat.token() : 0;
  }

  /**
   * Ends what is left there of jobs that are over. These are the only orders that a node gives in a
   * leader's place: a final state is stored and never undone, so no leader wants such a task to run
   * on. With them a worker can be kept for as long as this node's copy of the records is in step
   * with the store, since what a user cancels ends in time without the end of the worker's lease.
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

  /**
   * Whether this node answers a report in place of a leader that it cannot reach: without that a
   * zone cut off from its leader would lose all its tasks. It gives no orders. No leader ever takes
   * the end of a worker's lease as proof, so prolonging it is safe.
   *
   * <p>The store need not confirm the term to a node of the worker's own zone: such a node is most
   * likely cut off along with the worker, and the next one is out of reach for both. Found on
   * laval-fleet, where it was luck whether the leader was in the zone that was cut off.
   */
  private boolean mayExtendForUnreachableLeader(
      RecordWire.LeaderRecord knownLeader, WorkerWire.Heartbeat heartbeat) {
    Duration maxExtension = Election.maxWorkerLeaseExtension(node.settings().workerTimes());
    Instant leaderHeartbeatAt = node.membership().answeredHeartbeatSentAt(knownLeader.member());
    if (node.storeClient().isHealthy()) {
      return heartbeat.token() <= node.election().knownLeaderTerm()
          && leaderHeartbeatAt != null
          && node.eventLoop().now().isBefore(leaderHeartbeatAt.plus(maxExtension));
    }
    return mayExtendWhileIsolated(heartbeat, leaderHeartbeatAt);
  }

  /**
   * Whether this node, which reaches neither leader nor store, keeps a worker: of its own zone,
   * since both are most likely cut off together, or of any zone where most controllers say that the
   * store is out. For as long as that lasts, since no user is told that a job is cancelled before
   * nothing of it is anywhere.
   *
   * <p>But it may be this node alone that is cut off, peers and all, and the worker could reach a
   * leader: so after a while each is sent to the others now and then, and comes back if nobody
   * answers, well before its lease ends. Not in an outage for all: workers outside the leader's
   * zone were sent to and fro between a leader that did not keep them and nodes that sent them back
   * to it, until their leases ended.
   */
  private boolean mayExtendWhileIsolated(WorkerWire.Heartbeat heartbeat, Instant since) {
    Instant now = node.eventLoop().now();
    if (since == null
        // A peer that reaches the store has a leader or will: this node alone is cut off.
        || node.membership().isStoreReachableByPeer()
        || now.isAfter(since.plus(MAX_ISOLATED_LEASE_EXTENSION))) {
      return false;
    }
    if (node.membership().isStoreUnreachableForMost()) {
      return true;
    }
    if (!heartbeat.zone().equals(node.settings().zone())) {
      return false;
    }
    Settings.WorkerTimes workerTimes = node.settings().workerTimes();
    if (now.isBefore(since.plus(Election.maxWorkerLeaseExtension(workerTimes)))) {
      return true;
    }
    Duration searchDuration =
        UNRESPONSIVE_CONTROLLER_DELAY
            .multipliedBy(node.settings().peers().size())
            .plus(workerTimes.heartbeatInterval().multipliedBy(5).dividedBy(4))
            .plusSeconds(3);
    if (searchDuration.compareTo(workerTimes.leaseDuration()) > 0) {
      return false;
    }
    Instant lastSearch = lastLeaderSearches.get(heartbeat.machine());
    if (lastSearch == null) {
      // Not all at the same time.
      long offsetMillis =
          (long) (node.eventLoop().random().nextDouble() * LEADER_SEARCH_INTERVAL.toMillis());
      lastSearch = now.minusMillis(offsetMillis);
      lastLeaderSearches.put(heartbeat.machine(), lastSearch);
    }
    if (lastSearch.plus(LEADER_SEARCH_INTERVAL).isAfter(now)) {
      return true;
    }
    lastLeaderSearches.put(heartbeat.machine(), now);
    if (lastLeaderSearches.size() > MAX_TRACKED_WORKERS) {
      lastLeaderSearches.remove(lastLeaderSearches.keySet().iterator().next());
    }
    return false;
  }
}
