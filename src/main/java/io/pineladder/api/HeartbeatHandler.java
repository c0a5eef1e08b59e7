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
  private static final Duration BOUNCE = Duration.ofSeconds(12);

  /**
   * Workers whose way through the nodes is remembered: half as many again as the 4,000 machines of
   * the largest fleets. A worker that is forgotten is sent to the leader again, or drawn a round
   * anew.
   */
  static final int MAX_TRACKED_WORKERS = 6_000;

  /** A zone that is cut off for longer loses what runs in it. */
  private static final Duration MOST_KEPT = Duration.ofMinutes(30);

  /** Between two tries of a worker that is kept to find a leader elsewhere. */
  private static final Duration ROUND = Duration.ofSeconds(40);

  /** What a node that does not answer costs a worker. */
  private static final Duration ELSEWHERE = Duration.ofSeconds(5);

  private final ControllerNode node;
  private final Forwarding forwarding;
  private final Instant startedAt;

  /** When each worker was last sent to the leader, or its report handed on. */
  private final Map<String, Instant> redirects = new LinkedHashMap<>();

  /** When each worker that is kept was last sent to the others. */
  private final Map<String, Instant> rounds = new LinkedHashMap<>();

  /** The leader that those workers were sent to. */
  private RecordWire.LeaderRecord redirectedTo;

  /** Hands requests on to other controllers. */
  interface Forwarding {
    /** Tries the addresses in turn; {@code alone} when none has decided. */
    void forward(
        List<String> ways, PeerWire.Forward request, Consumer<HttpResponse> answer, Runnable alone);
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
  void answer(byte[] body, boolean relayed, Consumer<HttpResponse> answer) {
    WorkerWire.Report report;
    try {
      report = WorkerWire.parseReport(body);
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    node.replicaManager().generations().observeToken(report.token());
    long keeping =
        node.replicaManager()
            .generations()
            .keepAliveToken(
                report.token(), Election.maxWorkerLeaseExtension(node.settings().workerTimes()));
    if (keeping >= report.token() && keeping > 0) {
      // Nobody leads while the records are rebuilt; what runs must live through it.
      answer.accept(ok(WorkerWire.reportResponse(keeping, new WorkerWire.Orders())));
      return;
    }
    LeaderTerm holder = node.heldTerm();
    if (holder != null && report.token() <= holder.term()) {
      byte[] response = holder.onHeartbeat(report, relayed);
      if (response != null) {
        answer.accept(ok(response));
        return;
      }
    } else if (holder != null) {
      holder.onHeartbeat(report, relayed);
    }
    RecordWire.LeaderRecord known = node.election().knownLeader();
    boolean other = known != null && !known.member().equals(node.settings().controllerName());
    long token = keptWith(report, known, other);
    if (token > 0) {
      // At once: in a cut the way round the other nodes takes most of a lease.
      node.leaseKeepAlives().onLeaseRenewed(report.machine(), report.zone());
      answer.accept(ok(WorkerWire.reportResponse(token, endsOf(report))));
      return;
    }
    Instant now = node.eventLoop().now();
    if (other && !known.equals(redirectedTo)) {
      // That a worker did not reach an earlier leader says nothing of this one. Otherwise reports
      // once handed on would be handed on for ever, and each new leader make way in its turn.
      redirects.clear();
      redirectedTo = known;
    }
    Instant redirected = redirects.get(report.machine());
    if (other
        && redirected != null
        && redirected.plus(BOUNCE).isAfter(now)
        && !node.membership().isUnreachable(known.member())) {
      relay(known, report, body, answer);
      return;
    }
    if (other) {
      redirects.put(report.machine(), now);
      if (redirects.size() > MAX_TRACKED_WORKERS) {
        redirects.remove(redirects.keySet().iterator().next());
      }
    }
    answer.accept(new HttpResponse(421, WorkerWire.redirect(other ? known.member() : null)));
  }

  /**
   * A worker that was sent to the leader and is back soon after has not reached it. This node can,
   * so it hands the report on and the response back; a response is as good from any node.
   */
  private void relay(
      RecordWire.LeaderRecord leader,
      WorkerWire.Report report,
      byte[] body,
      Consumer<HttpResponse> answer) {
    forwarding.forward(
        List.of(leader.address()),
        new PeerWire.Forward("POST", "/v1/report", body, 0),
        http -> {
          redirects.put(report.machine(), node.eventLoop().now());
          answer.accept(http);
        },
        () -> answer.accept(new HttpResponse(421, WorkerWire.redirect(null))));
  }

  /**
   * The token with which this node keeps a worker's lease in a leader's place; 0 when it does not.
   * Any node may answer with a token that the worker has seen, and orders go with it only for what
   * is over.
   */
  private long keptWith(WorkerWire.Report report, RecordWire.LeaderRecord known, boolean other) {
    Election election = node.election();
    long theirs = Math.max(report.token(), election.knownLeaderTerm());
    boolean stored = node.storeClient().isHealthy();
    if (other) {
      if (!node.membership().isUnreachable(known.member())) {
        return 0;
      }
      boolean follows =
          report.token() <= election.knownLeaderTerm()
              && node.replicaManager().follower().isFresh();
      return follows || keepsAlive(known, report) ? theirs : 0;
    }
    if (election.holdsTerm()) {
      // The leader itself is cut off with the zone: it decides nothing, and what runs goes on. A
      // later
      // leader's command that was held up may have shown the worker a higher token.
      return !stored && keepsZone(report, election.leaseExpiresAt()) ? theirs : 0;
    }
    // A process that has begun in a zone that is cut off, or in an outage of the state service.
    boolean nobody = known == null && !stored && report.token() > 0;
    return nobody && keepsZone(report, startedAt) ? report.token() : 0;
  }

  /**
   * Ends what is left there of jobs that are over. These are the only orders that a node gives in a
   * leader's place: a final state is stored and never undone, so no leader wants such a task to run
   * on. With them a worker can be kept for as long as this node's copy of the records is in step
   * with the store, since what a user cancels ends in time without the end of the worker's lease.
   */
  private WorkerWire.Orders endsOf(WorkerWire.Report report) {
    WorkerWire.Orders orders = new WorkerWire.Orders();
    for (WorkerWire.TaskReport task : report.tasks()) {
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
  private boolean keepsAlive(RecordWire.LeaderRecord known, WorkerWire.Report report) {
    Duration longest = Election.maxWorkerLeaseExtension(node.settings().workerTimes());
    Instant leaderAt = node.membership().answeredHeartbeatSentAt(known.member());
    if (node.storeClient().isHealthy()) {
      return report.token() <= node.election().knownLeaderTerm()
          && leaderAt != null
          && node.eventLoop().now().isBefore(leaderAt.plus(longest));
    }
    return keepsZone(report, leaderAt);
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
  private boolean keepsZone(WorkerWire.Report report, Instant since) {
    Instant now = node.eventLoop().now();
    if (since == null
        // A peer that reaches the store has a leader or will: this node alone is cut off.
        || node.membership().isStoreReachableByPeer()
        || now.isAfter(since.plus(MOST_KEPT))) {
      return false;
    }
    if (node.membership().isStoreUnreachableForMost()) {
      return true;
    }
    if (!report.zone().equals(node.settings().zone())) {
      return false;
    }
    Settings.WorkerTimes workers = node.settings().workerTimes();
    if (now.isBefore(since.plus(Election.maxWorkerLeaseExtension(workers)))) {
      return true;
    }
    Duration round =
        ELSEWHERE
            .multipliedBy(node.settings().peers().size())
            .plus(workers.heartbeatInterval().multipliedBy(5).dividedBy(4))
            .plusSeconds(3);
    if (round.compareTo(workers.leaseDuration()) > 0) {
      return false;
    }
    Instant sent = rounds.get(report.machine());
    if (sent == null) {
      // Not all at the same time.
      long spread = (long) (node.eventLoop().random().nextDouble() * ROUND.toMillis());
      sent = now.minusMillis(spread);
      rounds.put(report.machine(), sent);
    }
    if (sent.plus(ROUND).isAfter(now)) {
      return true;
    }
    rounds.put(report.machine(), now);
    if (rounds.size() > MAX_TRACKED_WORKERS) {
      rounds.remove(rounds.keySet().iterator().next());
    }
    return false;
  }
}
