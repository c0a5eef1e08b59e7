package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;
import static io.pineladder.net.HttpResponses.unavailable;
import static io.pineladder.net.HttpResponses.withTimeout;

import io.pineladder.ControllerNode;
import io.pineladder.JobView;
import io.pineladder.LeaderTerm;
import io.pineladder.SubmissionResult;
import io.pineladder.admin.AdminApi;
import io.pineladder.admin.Metrics;
import io.pineladder.model.JobSpec;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Serves requests of users and operators, and forwarded heartbeats, as the leader. Event thread
 * only.
 */
final class LeaderApi {
  /** Time limit for answering a request that waits for a commit. */
  static final Duration COMMIT_TIMEOUT = Duration.ofMillis(2500);

  /** Time limit for answering a request that reads a job's status. */
  static final Duration READ_TIMEOUT = Duration.ofMillis(1300);

  private final ControllerNode node;
  private final AdminApi adminApi;
  private final HeartbeatHandler heartbeats;
  private final AdmissionPolicy admission;
  private final Metrics metrics;

  LeaderApi(
      ControllerNode node,
      AdminApi adminApi,
      HeartbeatHandler heartbeats,
      AdmissionPolicy admission,
      Metrics metrics) {
    this.node = node;
    this.adminApi = adminApi;
    this.heartbeats = heartbeats;
    this.admission = admission;
    this.metrics = metrics;
  }

  /** Serves a request in the given term of this controller. */
  void handle(
      LeaderTerm leader, String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (path.startsWith(AdminApi.PREFIX)) {
      adminApi.handleAsLeader(leader, method, path, body, answer);
      return;
    }
    if (path.equals(ApiPaths.HEARTBEAT)) {
      heartbeats.handle(body, true, answer);
      return;
    }
    Consumer<HttpResponse> countingAnswer =
        response -> {
          if (response.status() < 500) {
            leader.onRequestAnswered();
          }
          answer.accept(response);
        };
    if (ApiPaths.isSubmission(path)) {
      try {
        submit(
            leader,
            JobWire.parse(body),
            withTimeout(node.eventLoop(), countingAnswer, COMMIT_TIMEOUT));
      } catch (MalformedMessageException e) {
        answer.accept(error(400, e.getMessage()));
      }
      return;
    }
    Optional<ApiPaths.JobPath> jobPath = ApiPaths.jobPath(path);
    if (jobPath.isEmpty()
        || !jobPath.get().method().equals(method)
        || !JobWire.isJobId(jobPath.get().id())) {
      answer.accept(error(404, "no such job"));
      return;
    }
    String id = jobPath.get().id();
    if (jobPath.get().isCancellation()) {
      if (!node.storeClient().isHealthy()) {
        answer.accept(unavailable("the state service is not available"));
        return;
      }
      Consumer<HttpResponse> timedAnswer =
          withTimeout(node.eventLoop(), countingAnswer, COMMIT_TIMEOUT);
      leader.cancel(id, view -> timedAnswer.accept(toResponse(id, view)));
    } else {
      Consumer<HttpResponse> timedAnswer =
          withTimeout(node.eventLoop(), countingAnswer, READ_TIMEOUT);
      leader.readStatus(id, view -> timedAnswer.accept(toResponse(id, view)));
    }
  }

  private static HttpResponse toResponse(String id, JobView view) {
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

  private void submit(LeaderTerm leader, JobSpec spec, Consumer<HttpResponse> answer) {
    if (!leader.isJobKnown(spec.id())) {
      if (node.machineTypes().isEmpty()) {
        answer.accept(unavailable("the machine types are not known yet"));
        return;
      }
      Optional<String> rejection = admission.rejectionReason(spec);
      if (rejection.isPresent()) {
        reject(leader, spec, rejection.get(), answer);
        return;
      }
    }
    if (!node.storeClient().isHealthy()) {
      answer.accept(unavailable("the state service is not available"));
      return;
    }
    if (spec.prerequisites().isEmpty() || leader.isJobKnown(spec.id())) {
      accept(leader, spec, answer);
      return;
    }
    if (!node.clusterVersion().allowsChainedJobs()) {
      answer.accept(unavailable(AdmissionPolicy.CONTROLLERS_NOT_UPGRADED));
      return;
    }
    leader.verifyPrerequisites(
        spec,
        result -> {
          switch (result) {
            case ALL_ACCEPTED -> accept(leader, spec, answer);
            case UNCERTAIN -> answer.accept(unavailable("not certain yet"));
            case NOT_ALL_ACCEPTED ->
                reject(leader, spec, AdmissionPolicy.UNKNOWN_PREREQUISITE, answer);
            default -> throw new IllegalStateException("unknown result " + result);
          }
        });
  }

  /** Rejects a job unless it was accepted before; a repeated submission is not re-evaluated. */
  private static void reject(
      LeaderTerm leader, JobSpec spec, String reason, Consumer<HttpResponse> answer) {
    leader.readStatus(
        spec.id(),
        view -> answer.accept(view.exists() ? toResponse(spec.id(), view) : error(422, reason)));
  }

  private void accept(LeaderTerm leader, JobSpec spec, Consumer<HttpResponse> answer) {
    leader.submit(
        spec,
        result -> {
          metrics.recordSubmission(decision(result));
          answer.accept(toResponse(spec.id(), result));
        });
  }

  private static Metrics.SubmissionDecision decision(SubmissionResult result) {
    if (result.view().isUncertain()) {
      return Metrics.SubmissionDecision.UNCERTAIN_AT_LEADER;
    }
    return result.isNew()
        ? Metrics.SubmissionDecision.NEW_AT_LEADER
        : Metrics.SubmissionDecision.KNOWN_AT_LEADER;
  }

  private static HttpResponse toResponse(String id, SubmissionResult result) {
    boolean created = result.isNew() && result.view().status() == JobWire.Status.PENDING;
    return created
        ? new HttpResponse(201, JobWire.view(id, JobWire.Status.PENDING))
        : toResponse(id, result.view());
  }
}
