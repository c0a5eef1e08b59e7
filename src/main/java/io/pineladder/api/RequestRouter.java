package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;
import static io.pineladder.net.HttpResponses.unavailable;
import static io.pineladder.net.HttpResponses.withTimeout;

import io.pineladder.ControllerNode;
import io.pineladder.LeaderTerm;
import io.pineladder.admin.AdminApi;
import io.pineladder.admin.Metrics;
import io.pineladder.model.JobSpec;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.PeerWire;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes the requests that reach this controller: to {@link LeaderApi} while this controller leads,
 * otherwise to another controller through {@link PeerForwarder}, and to {@link LeaderlessApi} if no
 * controller decides. Each request is answered exactly once. Event thread only.
 */
public final class RequestRouter {
  private static final Logger log = LoggerFactory.getLogger(RequestRouter.class);
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ControllerNode node;
  private final Metrics metrics;
  private final AdminApi adminApi;
  private final LeaderApi leaderApi;
  private final LeaderlessApi leaderlessApi;
  private final HeartbeatHandler heartbeats;
  private final PeerForwarder forwarder;
  private final PeerRequestHandler peerRequests;
  private final ReadinessCheck readiness;

  /** Creates the router of a controller; sends nothing by itself. */
  public RequestRouter(ControllerNode node, Metrics metrics) {
    this.node = node;
    this.metrics = metrics;
    AdmissionPolicy admission = new AdmissionPolicy(node);
    this.adminApi = new AdminApi(node, metrics);
    this.leaderlessApi = new LeaderlessApi(node, admission, metrics);
    this.forwarder = new PeerForwarder(node);
    this.heartbeats = new HeartbeatHandler(node, forwarder);
    this.leaderApi = new LeaderApi(node, adminApi, heartbeats, admission, metrics);
    this.peerRequests = new PeerRequestHandler(node, leaderApi, leaderlessApi, forwarder);
    this.readiness = new ReadinessCheck(node);
  }

  /** Handles a request of a user, a worker or the load balancer. */
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> onAnswer) {
    if (node.clusterVersion().isUnsupported()) {
      onAnswer.accept(
          unavailable("the records have a version that this controller does not support"));
      return;
    }
    Instant receivedAt = node.eventLoop().now();
    Consumer<HttpResponse> answer =
        response -> {
          metrics.recordRequest(
              Metrics.Operation.of(method, path),
              response.status(),
              Duration.between(receivedAt, node.eventLoop().now()));
          onAnswer.accept(response);
        };
    String pathOnly = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
    switch (pathOnly) {
      case ApiPaths.READY -> {
        if (checkMethod("GET", method, answer)) {
          answer.accept(new HttpResponse(readiness.isReady() ? 200 : 503, EMPTY_BODY));
        }
      }
      case ApiPaths.HEARTBEAT -> {
        if (checkMethod("POST", method, answer)) {
          heartbeats.handle(body, false, answer);
        }
      }
      case ApiPaths.JOBS -> {
        if (checkMethod("POST", method, answer)) {
          submit(body, answer);
        }
      }
      default -> handleJob(method, pathOnly, answer);
    }
  }

  /** Reads or cancels one job. */
  private void handleJob(String method, String path, Consumer<HttpResponse> answer) {
    Optional<ApiPaths.JobPath> jobPath = ApiPaths.jobPath(path);
    if (jobPath.isEmpty()) {
      answer.accept(error(404, "no such path"));
      return;
    }
    String id = jobPath.get().id();
    if (!checkMethod(jobPath.get().method(), method, answer)) {
      return;
    }
    if (!JobWire.isJobId(id)) {
      // No job with an invalid id is accepted.
      answer.accept(error(404, "no such job"));
      return;
    }
    JobWire.Status finalStatus = node.finalStates().statusOf(id);
    if (finalStatus != null) {
      answer.accept(new HttpResponse(200, JobWire.view(id, finalStatus)));
      return;
    }
    serve(
        method,
        path,
        EMPTY_BODY,
        answer,
        () -> readWithoutLeader(id, jobPath.get().isCancellation(), answer));
  }

  /** Whether the method is the allowed one; otherwise answers with status 405. */
  private static boolean checkMethod(
      String allowedMethod, String method, Consumer<HttpResponse> answer) {
    if (allowedMethod.equals(method)) {
      return true;
    }
    answer.accept(error(405, "use " + allowedMethod));
    return false;
  }

  /**
   * Serves a request locally if this controller leads, otherwise through another controller.
   *
   * @param onUndecided runs if no controller decides the request
   */
  private void serve(
      String method,
      String path,
      byte[] body,
      Consumer<HttpResponse> answer,
      Runnable onUndecided) {
    LeaderTerm leader = node.leadingTerm();
    if (leader != null && (!ApiPaths.isSubmission(path) || node.storeClient().isHealthy())) {
      leaderApi.handle(leader, method, path, body, answer);
      return;
    }
    // If this controller leads but cannot reach the store, a peer may still store a submission.
    forwarder.forwardToLeader(method, path, body, answer, onUndecided);
  }

  private void submit(byte[] body, Consumer<HttpResponse> answer) {
    JobSpec spec;
    try {
      spec = JobWire.parse(body);
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    JobWire.Status finalStatus = node.finalStates().statusOf(spec.id());
    if (finalStatus != null) {
      answer.accept(ok(JobWire.view(spec.id(), finalStatus)));
      return;
    }
    if (!spec.prerequisites().isEmpty() && !node.clusterVersion().allowsChainedJobs()) {
      // A leader of the previous version would accept the job without its prerequisites.
      answer.accept(unavailable(AdmissionPolicy.CONTROLLERS_NOT_UPGRADED));
      return;
    }
    Instant receivedAt = node.eventLoop().now();
    Consumer<HttpResponse> loggingAnswer =
        response -> {
          Duration elapsed = Duration.between(receivedAt, node.eventLoop().now());
          log.debug(
              "Submission answered: job={} status={} elapsed={}",
              spec.id(),
              response.status(),
              elapsed);
          answer.accept(response);
        };
    serve(
        "POST",
        ApiPaths.JOBS,
        body,
        loggingAnswer,
        () ->
            leaderlessApi.submit(
                spec,
                withTimeout(
                    node.eventLoop(),
                    counted(Metrics.Operation.SUBMIT, loggingAnswer),
                    LeaderApi.COMMIT_TIMEOUT)));
  }

  private void readWithoutLeader(String id, boolean cancel, Consumer<HttpResponse> onAnswer) {
    Consumer<HttpResponse> answer =
        counted(cancel ? Metrics.Operation.CANCEL : Metrics.Operation.POLL, onAnswer);
    if (!node.storeClient().isHealthy()) {
      answer.accept(unavailable("no leader"));
      return;
    }
    leaderlessApi.read(id, cancel, withTimeout(node.eventLoop(), answer, LeaderApi.READ_TIMEOUT));
  }

  /** Counts the answer as one without a leader. */
  private Consumer<HttpResponse> counted(
      Metrics.Operation operation, Consumer<HttpResponse> answer) {
    return response -> {
      metrics.recordLeaderlessAnswer(operation, response.status());
      answer.accept(response);
    };
  }

  /** Handles a request on the cluster listener: gossip, forwarded requests, administration. */
  public void handleCluster(
      String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (path.equals(GossipWire.PATH)) {
      try {
        answer.accept(ok(node.membership().handle(body)));
      } catch (MalformedMessageException e) {
        answer.accept(error(400, e.getMessage()));
      }
    } else if (path.equals(PeerWire.PATH)) {
      peerRequests.handle(body, answer);
    } else if (adminApi.requiresLeader(method, path)) {
      serve(method, path, body, answer, () -> answer.accept(unavailable("no leader")));
    } else {
      adminApi.handle(method, path, answer);
    }
  }
}
