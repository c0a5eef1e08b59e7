package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;
import static io.pineladder.net.HttpResponses.unavailable;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.ControllerNode;
import io.pineladder.JobView;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.net.HttpResponse;
import io.pineladder.replica.RecordReplica;
import io.pineladder.store.AcceptedJobIndex;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a controller that reaches no leader can do for users: store submissions, and read job
 * states. Event thread only.
 */
final class LeaderlessApi {
  private static final Logger log = LoggerFactory.getLogger(LeaderlessApi.class);

  private final ControllerNode node;
  private final AdmissionPolicy admission;
  private final DependencyChainReader dependencyChains;

  LeaderlessApi(ControllerNode node, AdmissionPolicy admission) {
    this.node = node;
    this.admission = admission;
    this.dependencyChains = new DependencyChainReader(node);
  }

  /**
   * Accepts a job without a leader: the record is the same that a leader would write, with the same
   * compare-and-swap conditions, and an entry in the inbox notifies the next leader.
   */
  void submit(JobSpec spec, Consumer<HttpResponse> answer) {
    if (node.machineTypes().isEmpty() || !node.storeClient().isHealthy()) {
      answer.accept(unavailable("no leader"));
      return;
    }
    if (!node.replicaManager().generations().isTrusted()
        || (node.storeClient().generation().base() != 0
            && (!node.replicaManager().replica().hasAllFinalStates()
                || node.replicaManager().replica().base()
                    != node.storeClient().generation().base()))) {
      // A job that ended before the loss could not be distinguished from a new one.
      answer.accept(unavailable("the records are rebuilt"));
      return;
    }
    Optional<String> rejection = admission.rejectionReason(spec);
    String id = spec.id();
    if (node.replicaManager().replica().finalState(id) != null) {
      read(id, false, answer);
      return;
    }
    if (rejection.isPresent()) {
      reject(id, rejection.get(), answer);
      return;
    }
    if (spec.prerequisites().isEmpty()) {
      storeJob(spec, JobWire.Status.PENDING, answer);
      return;
    }
    if (!node.clusterVersion().allowsChainedJobs()) {
      answer.accept(unavailable(AdmissionPolicy.NOT_UPGRADED));
      return;
    }
    dependencyChains.evaluate(
        spec.prerequisites(),
        outcome -> {
          switch (outcome) {
            case UNKNOWN_JOB -> reject(id, AdmissionPolicy.UNKNOWN_PREREQUISITE, answer);
            case UNCERTAIN -> answer.accept(unavailable("no leader"));
            case NONE_CANCELLED -> storeJob(spec, JobWire.Status.PENDING, answer);
            case CANCELLED -> storeJob(spec, JobWire.Status.CANCELLED, answer);
            default -> throw new IllegalStateException("unknown outcome " + outcome);
          }
        });
  }

  /** Rejects a job, unless it was accepted before: an accepted job is not judged again. */
  private void reject(String id, String reason, Consumer<HttpResponse> answer) {
    read(id, false, found -> answer.accept(found.status() == 404 ? error(422, reason) : found));
  }

  /**
   * Stores a job.
   *
   * @param status the status in the response: a job with a cancelled prerequisite is accepted and
   *     cancelled
   */
  private void storeJob(JobSpec spec, JobWire.Status status, Consumer<HttpResponse> answer) {
    String id = spec.id();
    JsonNode record = RecordWire.job(spec, node.eventLoop().wallClock(), Job.State.ACTIVE);
    JsonNode inboxEntry = Json.object().put("by", node.settings().controllerName());
    byte[] body =
        node.storeClient()
            .transaction()
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
                log.debug("Job accepted without a leader: job={}", id);
                replica.put(RecordKeys.UNPAGED_JOB + id, record, 0, true);
                replica.put(RecordKeys.INBOX + id, inboxEntry, 0, true);
                node.replicaManager().onAcceptedWithoutLeader(() -> submit(spec, ignored -> {}));
                answer.accept(new HttpResponse(201, JobWire.view(id, status)));
              } else if (reply.hasStatus(409)) {
                read(id, false, answer);
              } else {
                answer.accept(unavailable("no leader"));
              }
            });
  }

  /**
   * Answers with a job's status from a fresh read of the store.
   *
   * @param cancel whether the request cancels the job; it succeeds only if the job has ended
   */
  void read(String id, boolean cancel, Consumer<HttpResponse> answer) {
    if (!node.replicaManager().generations().isTrusted()) {
      answer.accept(unavailable("the records are rebuilt"));
      return;
    }
    Job.State finalState = node.replicaManager().replica().finalState(id);
    if (finalState != null) {
      answerWithState(id, cancel, finalState, answer);
      return;
    }
    // A job moves from its own key or its page to its final state in one transaction, so reading in
    // this order finds every job.
    node.storeClient()
        .readForUser(
            RecordKeys.UNPAGED_JOB + id,
            read -> {
              if (!read.succeeded()) {
                answer.accept(unavailable("no leader"));
              } else if (read.found()) {
                answerFromRecord(id, cancel, read.entry(), answer);
              } else {
                readIndexedJob(id, cancel, answer);
              }
            });
  }

  private void readIndexedJob(String id, boolean cancel, Consumer<HttpResponse> answer) {
    node.acceptedJobs()
        .refresh(
            refreshed -> {
              if (!refreshed) {
                answer.accept(unavailable("no leader"));
                return;
              }
              AcceptedJobIndex.IndexedJob indexedJob = node.acceptedJobs().find(id);
              if (indexedJob != null) {
                answerFromIndexedJob(id, cancel, indexedJob, answer);
              } else {
                readFinalState(id, answer);
              }
            });
  }

  private void readFinalState(String id, Consumer<HttpResponse> answer) {
    node.storeClient()
        .readForUser(
            RecordKeys.FINAL_STATE + id,
            read -> {
              if (!read.succeeded()) {
                answer.accept(unavailable("no leader"));
              } else if (!read.found() && node.replicaManager().jobMayBeMissing(id)) {
                answer.accept(unavailable("not certain yet"));
              } else if (!read.found()) {
                answer.accept(error(404, "no such job"));
              } else {
                answerFromFinalState(id, read.entry(), answer);
              }
            });
  }

  private void answerFromRecord(
      String id, boolean cancel, StoreWire.Entry entry, Consumer<HttpResponse> answer) {
    try {
      RecordWire.StoredJob job = RecordWire.parseJob(entry.value());
      answerFromIndexedJob(
          id,
          cancel,
          new AcceptedJobIndex.IndexedJob(job.state(), job.spec().prerequisites()),
          answer);
    } catch (MalformedMessageException e) {
      answer.accept(unavailable("the stored job cannot be read"));
    }
  }

  /** A job whose record has no final state may be cancelled through one of its dependencies. */
  private void answerFromIndexedJob(
      String id, boolean cancel, AcceptedJobIndex.IndexedJob job, Consumer<HttpResponse> answer) {
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

  private void answerFromFinalState(
      String id, StoreWire.Entry entry, Consumer<HttpResponse> answer) {
    try {
      JobWire.Status status = JobView.toStatus(RecordWire.parseFinalState(entry.value()));
      node.finalStates().put(id, status);
      answer.accept(ok(JobWire.view(id, status)));
    } catch (MalformedMessageException e) {
      answer.accept(unavailable("the stored job cannot be read"));
    }
  }
}
