package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;
import static io.pineladder.net.HttpResponses.unavailable;
import static io.pineladder.net.HttpResponses.withTimeout;

import io.pineladder.ControllerNode;
import io.pineladder.JobView;
import io.pineladder.LeaderTerm;
import io.pineladder.admin.AdminApi;
import io.pineladder.admin.Metrics;
import io.pineladder.model.JobSpec;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.PeerWire;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers users, workers and peers on one node. */
public final class RequestRouter {
  private static final Logger log = LoggerFactory.getLogger(RequestRouter.class);
  private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(1300);

  /** A submission can be stored by this node itself, so it waits less for the leader. */
  private static final Duration SUBMIT_TIMEOUT = Duration.ofMillis(700);

  private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(2500);
  private static final Duration CONTACT = Duration.ofSeconds(6);
  private static final byte[] EMPTY = new byte[0];

  private final ControllerNode node;

  private final LeaderlessApi leaderless;
  private final HeartbeatHandler reports;
  private final Metrics metrics;
  private final AdminApi admin;
  private Instant leaderFailedAt;
  private boolean ready;

  public RequestRouter(ControllerNode node, Metrics metrics) {
    this.node = node;
    this.metrics = metrics;
    this.admin = new AdminApi(node, metrics);
    this.leaderless = new LeaderlessApi(node);
    this.reports =
        new HeartbeatHandler(
            node, (ways, request, answer, alone) -> forwardTo(ways, 0, request, answer, alone));
  }

  // ---- paths

  /** What users, workers and the load balancer ask. */
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> onAnswer) {
    if (node.clusterVersion().isUnsupported()) {
      onAnswer.accept(
          unavailable("the records have a version that this controller does not support"));
      return;
    }
    Instant begun = node.eventLoop().now();
    Consumer<HttpResponse> answer =
        http -> {
          metrics.answered(
              Metrics.Operation.of(method, path),
              http.status(),
              Duration.between(begun, node.eventLoop().now()));
          onAnswer.accept(http);
        };
    String plain = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
    switch (plain) {
      case "/ready" -> {
        if (allow("GET", method, answer)) {
          answer.accept(new HttpResponse(isReady() ? 200 : 503, EMPTY));
        }
        return;
      }
      case "/v1/report" -> {
        if (allow("POST", method, answer)) {
          reports.handle(body, false, answer);
        }
        return;
      }
      case "/v1/jobs" -> {
        if (allow("POST", method, answer)) {
          submit(body, answer);
        }
        return;
      }
      default -> {}
    }
    String prefix = "/v1/jobs/";
    if (!plain.startsWith(prefix)) {
      answer.accept(error(404, "no such path"));
      return;
    }
    String rest = plain.substring(prefix.length());
    boolean cancel = rest.endsWith("/cancel");
    String id = cancel ? rest.substring(0, rest.length() - "/cancel".length()) : rest;
    if (id.indexOf('/') >= 0) {
      answer.accept(error(404, "no such path"));
      return;
    }
    if (!allow(cancel ? "POST" : "GET", method, answer)) {
      return;
    }
    if (!JobWire.isJobId(id)) {
      // Nothing with such an id is ever accepted.
      answer.accept(error(404, "no such job"));
      return;
    }
    JobWire.Status known = node.finalStates().statusOf(id);
    if (known != null) {
      answer.accept(new HttpResponse(200, JobWire.view(id, known)));
      return;
    }
    serve(method, plain, EMPTY, answer, () -> alone(id, cancel, answer));
  }

  private static boolean allow(String wanted, String method, Consumer<HttpResponse> answer) {
    if (wanted.equals(method)) {
      return true;
    }
    answer.accept(error(405, "use " + wanted));
    return false;
  }

  // ---- where a request is served

  /** Serves a user's request here if this node leads, else by the leader, else as it can. */
  private void serve(
      String method, String path, byte[] body, Consumer<HttpResponse> answer, Runnable alone) {
    LeaderTerm leader = node.leadingTerm();
    if (leader != null && (!isSubmission(path) || node.storeClient().isHealthy())) {
      lead(leader, method, path, body, answer);
      return;
    }
    // A leader that the store refuses has peers that may be able to store a submission.
    forward(method, path, body, answer, alone);
  }

  private static boolean isSubmission(String path) {
    return path.equals("/v1/jobs");
  }

  private void forward(
      String method, String path, byte[] body, Consumer<HttpResponse> answer, Runnable alone) {
    List<String> ways = new ArrayList<>();
    RecordWire.LeaderRecord known = node.election().knownLeader();
    if (reachesLeader(known)) {
      ways.add(known.address());
    }
    if (!node.storeClient().isHealthy()) {
      // Cut off from the store this node may know an old leader only; its peers may know better.
      for (String peer : node.membership().candidateAddresses()) {
        if (!ways.contains(peer)) {
          ways.add(peer);
        }
      }
    }
    forwardTo(ways, 0, new PeerWire.ForwardedRequest(method, path, body, 1), answer, alone);
  }

  /** Whether there is a leader other than this node that has not failed to answer just now. */
  private boolean reachesLeader(RecordWire.LeaderRecord known) {
    boolean other = known != null && !known.member().equals(node.settings().controllerName());
    boolean failed =
        leaderFailedAt != null && leaderFailedAt.plusMillis(1000).isAfter(node.eventLoop().now());
    return other && !failed && !node.membership().isUnreachable(known.member());
  }

  private void forwardTo(
      List<String> ways,
      int from,
      PeerWire.ForwardedRequest forward,
      Consumer<HttpResponse> answer,
      Runnable alone) {
    if (from >= ways.size()) {
      alone.run();
      return;
    }
    String way = ways.get(from);
    node.httpClient()
        .call(
            Request.post(
                way,
                PeerWire.PATH,
                PeerWire.write(forward),
                isSubmission(forward.path()) ? SUBMIT_TIMEOUT : FORWARD_TIMEOUT),
            reply -> {
              try {
                if (reply.is(200)) {
                  PeerWire.ForwardedResponse got = PeerWire.parseResponse(reply.body());
                  if (got.decided()) {
                    answer.accept(got.response());
                    return;
                  }
                }
              } catch (MalformedMessageException e) {
                log.warn("a peer's answer is malformed");
              }
              RecordWire.LeaderRecord known = node.election().knownLeader();
              if (known != null && known.address().equals(way)) {
                leaderFailedAt = node.eventLoop().now();
              }
              forwardTo(ways, from + 1, forward, answer, alone);
            });
  }

  /** A request that a peer hands on. */
  public void handlePeer(byte[] body, Consumer<HttpResponse> answer) {
    PeerWire.ForwardedRequest forward;
    try {
      forward = PeerWire.parseRequest(body);
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    RecordWire.LeaderRecord known = node.election().knownLeader();
    String name = known == null ? null : known.member();
    Consumer<HttpResponse> decided =
        http -> answer.accept(ok(PeerWire.write(new PeerWire.ForwardedResponse(true, http, name))));
    Runnable undecided =
        () ->
            answer.accept(
                ok(
                    PeerWire.write(
                        new PeerWire.ForwardedResponse(false, unavailable("no leader"), name))));
    // A submission that this node cannot take is better tried by the next one than given up.
    Consumer<HttpResponse> taken =
        isSubmission(forward.path())
            ? http -> {
              if (http.status() == 503) {
                undecided.run();
              } else {
                decided.accept(http);
              }
            }
            : decided;
    LeaderTerm leader = node.leadingTerm();
    if (leader != null) {
      lead(leader, forward.method(), forward.path(), forward.body(), taken);
      return;
    }
    if (forward.remainingHops() <= 0 || !reachesLeader(known)) {
      if (isSubmission(forward.path())) {
        storeFor(forward.body(), taken);
      } else {
        undecided.run();
      }
      return;
    }
    forwardTo(
        List.of(known.address()),
        0,
        new PeerWire.ForwardedRequest(
            forward.method(), forward.path(), forward.body(), forward.remainingHops() - 1),
        decided,
        isSubmission(forward.path()) ? () -> storeFor(forward.body(), taken) : undecided);
  }

  /** Stores a submission on behalf of a peer that reaches neither a leader nor the store. */
  private void storeFor(byte[] body, Consumer<HttpResponse> answer) {
    try {
      leaderless.submit(JobWire.parse(body), withTimeout(node.eventLoop(), answer, COMMIT_TIMEOUT));
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
    }
  }

  /** Serves a user's request as the leader. */
  private void lead(
      LeaderTerm leader, String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (path.startsWith(AdminApi.PREFIX)) {
      admin.lead(leader, method, path, body, answer);
      return;
    }
    if (path.equals("/v1/report")) {
      reports.handle(body, true, answer);
      return;
    }
    Consumer<HttpResponse> counted =
        http -> {
          if (http.status() < 500) {
            leader.onRequestAnswered();
          }
          answer.accept(http);
        };
    if (path.equals("/v1/jobs")) {
      try {
        submitTo(
            leader, JobWire.parse(body), withTimeout(node.eventLoop(), counted, COMMIT_TIMEOUT));
      } catch (MalformedMessageException e) {
        answer.accept(error(400, e.getMessage()));
      }
      return;
    }
    String rest = path.substring("/v1/jobs/".length());
    if (method.equals("POST")) {
      String id = rest.substring(0, rest.length() - "/cancel".length());
      if (!node.storeClient().isHealthy()) {
        answer.accept(unavailable("the state service is not available"));
        return;
      }
      Consumer<HttpResponse> bounded = withTimeout(node.eventLoop(), counted, COMMIT_TIMEOUT);
      leader.cancel(id, view -> bounded.accept(toAnswer(id, view)));
    } else {
      Consumer<HttpResponse> bounded = withTimeout(node.eventLoop(), counted, FORWARD_TIMEOUT);
      leader.readStatus(rest, view -> bounded.accept(toAnswer(rest, view)));
    }
  }

  private static HttpResponse toAnswer(String id, JobView view) {
    if (!view.exists()) {
      return error(404, "no such job");
    }
    if (view.isUncertain()) {
      return unavailable("not certain yet");
    }
    return ok(
        view.status().isFinal()
            ? JobWire.view(id, view.status())
            : JobWire.view(id, view.status(), view.completedTasks(), view.runningTasks()));
  }

  // ---- submissions

  private void submit(byte[] body, Consumer<HttpResponse> answer) {
    JobSpec spec;
    try {
      spec = JobWire.parse(body);
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    JobWire.Status known = node.finalStates().statusOf(spec.id());
    if (known != null) {
      answer.accept(ok(JobWire.view(spec.id(), known)));
      return;
    }
    if (!spec.prerequisites().isEmpty() && !node.clusterVersion().allowsChainedJobs()) {
      // Handed on to a leader of the version before, it would be accepted without its
      // prerequisites.
      answer.accept(unavailable(LeaderlessApi.NOT_UPGRADED));
      return;
    }
    Instant begun = node.eventLoop().now();
    Consumer<HttpResponse> logged =
        http -> {
          Duration took = Duration.between(begun, node.eventLoop().now());
          log.debug("submission of {}: {} after {}", spec.id(), http.status(), took);
          answer.accept(http);
        };
    serve(
        "POST",
        "/v1/jobs",
        body,
        logged,
        () -> leaderless.submit(spec, withTimeout(node.eventLoop(), logged, COMMIT_TIMEOUT)));
  }

  private void submitTo(LeaderTerm leader, JobSpec spec, Consumer<HttpResponse> answer) {
    if (!leader.knowsJob(spec.id())) {
      if (node.machineTypes().isEmpty()) {
        answer.accept(unavailable("the machine types are not known yet"));
        return;
      }
      String never = leaderless.rejectionReason(spec);
      if (never != null) {
        refuse(leader, spec, never, answer);
        return;
      }
    }
    if (!node.storeClient().isHealthy()) {
      answer.accept(unavailable("the state service is not available"));
      return;
    }
    if (spec.prerequisites().isEmpty() || leader.knowsJob(spec.id())) {
      store(leader, spec, answer);
      return;
    }
    if (!node.clusterVersion().allowsChainedJobs()) {
      answer.accept(unavailable(LeaderlessApi.NOT_UPGRADED));
      return;
    }
    leader.verifyPrerequisites(
        spec,
        known -> {
          switch (known) {
            case ALL_ACCEPTED -> store(leader, spec, answer);
            case UNCERTAIN -> answer.accept(unavailable("not certain yet"));
            case NOT_ALL_ACCEPTED ->
                refuse(leader, spec, LeaderlessApi.UNKNOWN_PREREQUISITE, answer);
          }
        });
  }

  /** Refuses a job, unless it was accepted once: then it stays so, whatever is judged now. */
  private static void refuse(
      LeaderTerm leader, JobSpec spec, String reason, Consumer<HttpResponse> answer) {
    leader.readStatus(
        spec.id(),
        view -> answer.accept(view.exists() ? toAnswer(spec.id(), view) : error(422, reason)));
  }

  private void store(LeaderTerm leader, JobSpec spec, Consumer<HttpResponse> answer) {
    leader.submit(
        spec,
        view ->
            answer.accept(
                view.isUncertain()
                    ? unavailable("not certain yet")
                    : new HttpResponse(
                        view.status() == JobWire.Status.PENDING ? 201 : 200,
                        JobWire.view(spec.id(), view.status()))),
        view -> answer.accept(toAnswer(spec.id(), view)));
  }

  private void alone(String id, boolean cancel, Consumer<HttpResponse> answer) {
    if (!node.storeClient().isHealthy()) {
      answer.accept(unavailable("no leader"));
      return;
    }
    leaderless.read(id, cancel, withTimeout(node.eventLoop(), answer, FORWARD_TIMEOUT));
  }

  // ---- readiness

  private boolean isRecent(Instant at) {
    return at != null && at.plus(CONTACT).isAfter(node.eventLoop().now());
  }

  /**
   * A node is ready while it reaches the store, leads, or reaches a peer. In an outage of the store
   * no node serves better than another, and one taken out of service would come back late.
   */
  private boolean isReady() {
    boolean now =
        node.leadingTerm() != null
            || isRecent(node.storeClient().lastResponseAt())
            || isRecent(node.membership().lastPeerContactAt());
    if (now != ready) {
      log.info("ready: {}", now);
      ready = now;
    }
    return now;
  }

  /** What arrives on the cluster listener. */
  public void handleCluster(
      String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (path.equals(GossipWire.PATH)) {
      try {
        answer.accept(ok(node.membership().handle(body)));
      } catch (MalformedMessageException e) {
        answer.accept(error(400, e.getMessage()));
      }
    } else if (path.equals(PeerWire.PATH)) {
      handlePeer(body, answer);
    } else if (admin.isLeadersMatter(method, path)) {
      serve(method, path, body, answer, () -> answer.accept(unavailable("no leader")));
    } else {
      admin.handle(method, path, answer);
    }
  }
}
