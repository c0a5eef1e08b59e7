package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;
import static io.pineladder.net.HttpResponses.unavailable;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.ControllerNode;
import io.pineladder.JobView;
import io.pineladder.admin.Metrics;
import io.pineladder.api.JobRecordReader.Result;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.net.HttpResponse;
import io.pineladder.replica.RecordReplica;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves users while this controller cannot reach a leader: stores submissions and reads job
 * states. Event thread only.
 */
final class LeaderlessApi {
  private static final Logger log = LoggerFactory.getLogger(LeaderlessApi.class);

  /** Bounds the tasks that the next leader has to hold at the same time. */
  private static final int MAX_TASKS_WITHOUT_LEADER = 1_000;

  private final ControllerNode node;
  private final AdmissionPolicy admission;
  private final JobRecordReader records;
  private final DependencyChainReader dependencyChains;
  private final Metrics metrics;

  LeaderlessApi(ControllerNode node, AdmissionPolicy admission, Metrics metrics) {
    this.node = node;
    this.admission = admission;
    this.metrics = metrics;
    this.records = new JobRecordReader(node);
    this.dependencyChains = new DependencyChainReader(node, records);
  }

  /**
   * Accepts a job without a leader, unless it is known. The pages, which only leaders write, are
   * read first; the job's own records are conditions of the compare-and-swap that stores it.
   */
  void submit(JobSpec spec, Consumer<HttpResponse> answer) {
    if (node.machineTypes().isEmpty() || !node.storeClient().isHealthy()) {
      answer.accept(unavailable("no leader"));
      return;
    }
    if (!knowsAllGenerations()) {
      // A job that ended before the data loss could not be distinguished from a new one.
      answer.accept(unavailable("the records are rebuilt"));
      return;
    }
    records.readPages(
        spec.id(),
        result -> {
          if (result instanceof Result.NotFound) {
            submitUnlessInOwnRecord(spec, answer);
          } else {
            answerRepetition(spec.id(), result, answer);
          }
        });
  }

  /** Answers a submission of a job that is known or may be. */
  private void answerRepetition(String id, Result result, Consumer<HttpResponse> answer) {
    if (result instanceof Result.Accepted job) {
      metrics.recordSubmission(Metrics.SubmissionDecision.KNOWN_WITHOUT_LEADER);
      log.debug(
          "Submission of a known job without a leader: job={} source={} revision={}",
          id,
          job.source(),
          job.revision());
    } else {
      metrics.recordSubmission(Metrics.SubmissionDecision.UNCERTAIN_WITHOUT_LEADER);
    }
    answer(id, false, result, answer);
  }

  /** Whether the final states of all earlier generations of the records are known. */
  private boolean knowsAllGenerations() {
    RecordReplica replica = node.replicaManager().replica();
    long base = node.storeClient().generation().base();
    return node.replicaManager().generations().isTrusted()
        && (base == 0 || (replica.hasAllFinalStates() && replica.base() == base));
  }

  /** Stores or rejects a job that is in no page; it may have a record under its own keys. */
  private void submitUnlessInOwnRecord(JobSpec spec, Consumer<HttpResponse> answer) {
    Optional<String> rejection = admission.rejectionReason(spec);
    if (rejection.isPresent()) {
      reject(spec.id(), rejection.get(), answer);
      return;
    }
    if (spec.kind() != JobKind.ARRAY && spec.tasks() > MAX_TASKS_WITHOUT_LEADER) {
      // Only a leader knows whether it has memory for all tasks at the same time.
      answer.accept(unavailable("no leader"));
      return;
    }
    // Fails if another generation, with other pages, becomes active before the job is stored.
    StoreWire.Transaction transaction = node.storeClient().transaction();
    if (spec.prerequisites().isEmpty()) {
      storeJob(spec, JobWire.Status.PENDING, transaction, answer);
      return;
    }
    if (!node.clusterVersion().allowsChainedJobs()) {
      answer.accept(unavailable(AdmissionPolicy.CONTROLLERS_NOT_UPGRADED));
      return;
    }
    dependencyChains.evaluate(
        spec.prerequisites(),
        outcome -> {
          switch (outcome) {
            case UNKNOWN_JOB -> reject(spec.id(), AdmissionPolicy.UNKNOWN_PREREQUISITE, answer);
            case UNCERTAIN -> answer.accept(unavailable("no leader"));
            case NONE_CANCELLED -> storeJob(spec, JobWire.Status.PENDING, transaction, answer);
            case CANCELLED -> storeJob(spec, JobWire.Status.CANCELLED, transaction, answer);
            default -> throw new IllegalStateException("unknown outcome " + outcome);
          }
        });
  }

  /** Rejects a job unless it was accepted before; a repeated submission is not re-evaluated. */
  private void reject(String id, String reason, Consumer<HttpResponse> answer) {
    read(
        id,
        false,
        response -> answer.accept(response.status() == 404 ? error(422, reason) : response));
  }

  /**
   * Stores a job that is in no page.
   *
   * @param status the status in the response; {@code CANCELLED} for a job with a cancelled
   *     prerequisite
   * @param transaction an empty transaction, created after the pages were read
   */
  private void storeJob(
      JobSpec spec,
      JobWire.Status status,
      StoreWire.Transaction transaction,
      Consumer<HttpResponse> answer) {
    String id = spec.id();
    JsonNode record = RecordWire.job(spec, node.eventLoop().wallClock(), Job.State.ACTIVE);
    JsonNode inboxEntry = Json.object().put("by", node.settings().controllerName());
    byte[] body =
        transaction
            .require(RecordKeys.UNPAGED_JOB + id, 0)
            .require(RecordKeys.FINAL_STATE + id, 0)
            .put(RecordKeys.UNPAGED_JOB + id, record)
            .put(RecordKeys.INBOX + id, inboxEntry)
            .bytes();
    RecordReplica replica = node.replicaManager().replica();
    node.storeClient()
        .writeForUser(
            node.storeClient().post("/multi", body),
            2,
            reply -> {
              if (reply.hasStatus(200)) {
                metrics.recordSubmission(Metrics.SubmissionDecision.NEW_WITHOUT_LEADER);
                log.info(
                    "Job accepted without a leader: job={} pagesRevision={}",
                    id,
                    node.acceptedJobs().revision());
                replica.put(RecordKeys.UNPAGED_JOB + id, record, 0);
                replica.put(RecordKeys.INBOX + id, inboxEntry, 0);
                node.replicaManager().onAcceptedWithoutLeader(() -> submit(spec, ignored -> {}));
                answer.accept(new HttpResponse(201, JobWire.view(id, status)));
              } else if (reply.hasStatus(409)) {
                records.readOwnRecords(id, result -> answerAfterConflict(id, result, answer));
              } else {
                answer.accept(unavailable("no leader"));
              }
            });
  }

  /** Answers a submission that was not stored; without a record, the generation has changed. */
  private void answerAfterConflict(String id, Result result, Consumer<HttpResponse> answer) {
    if (result instanceof Result.NotFound) {
      metrics.recordSubmission(Metrics.SubmissionDecision.UNCERTAIN_WITHOUT_LEADER);
      answer.accept(unavailable("not certain yet"));
    } else {
      answerRepetition(id, result, answer);
    }
  }

  /**
   * Answers with a job's status from a fresh read of the store.
   *
   * @param cancel whether the request cancels the job; without a leader this succeeds only if the
   *     job has ended
   */
  void read(String id, boolean cancel, Consumer<HttpResponse> answer) {
    if (!node.replicaManager().generations().isTrusted()) {
      answer.accept(unavailable("the records are rebuilt"));
      return;
    }
    records.read(id, result -> answer(id, cancel, result, answer));
  }

  private void answer(String id, boolean cancel, Result result, Consumer<HttpResponse> answer) {
    if (result instanceof Result.Accepted job) {
      answerAccepted(id, cancel, job, answer);
    } else if (result instanceof Result.Uncertain uncertain) {
      answer.accept(unavailable(uncertain.reason()));
    } else {
      answer.accept(error(404, "no such job"));
    }
  }

  /** Answers for an accepted job; an active one may be cancelled through its dependencies. */
  private void answerAccepted(
      String id, boolean cancel, Result.Accepted job, Consumer<HttpResponse> answer) {
    if (job.state() != Job.State.ACTIVE || job.prerequisites().isEmpty()) {
      answerWithState(id, cancel, job.state(), answer);
      return;
    }
    dependencyChains.evaluate(
        job.prerequisites(),
        outcome -> {
          switch (outcome) {
            case CANCELLED -> answerWithState(id, cancel, Job.State.CANCELLED, answer);
            case NONE_CANCELLED -> answerWithState(id, cancel, Job.State.ACTIVE, answer);
            case UNKNOWN_JOB, UNCERTAIN -> answer.accept(unavailable("no leader"));
            default -> throw new IllegalStateException("unknown outcome " + outcome);
          }
        });
  }

  private void answerWithState(
      String id, boolean cancel, Job.State state, Consumer<HttpResponse> answer) {
    JobWire.Status status = JobView.toStatus(state);
    if (status.isFinal()) {
      node.finalStates().put(id, status);
      answer.accept(ok(JobWire.view(id, status)));
    } else if (cancel) {
      answer.accept(unavailable("no leader"));
    } else {
      answer.accept(ok(JobWire.view(id, status, 0, 0)));
    }
  }
}
