package io.pineladder.api;

import static io.pineladder.net.HttpResponses.error;
import static io.pineladder.net.HttpResponses.ok;
import static io.pineladder.net.HttpResponses.unavailable;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.ControllerNode;
import io.pineladder.JobView;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.MachineType;
import io.pineladder.model.Team;
import io.pineladder.net.HttpResponse;
import io.pineladder.replica.RecordReplica;
import io.pineladder.store.AcceptedJobIndex;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a node that reaches no leader can do for users: store submissions, and read. */
final class LeaderlessApi {
  /** Why a job that names others is not accepted before all controllers can deal with it. */
  static final String NOT_UPGRADED = "not all controllers are upgraded";

  static final String UNKNOWN_PREREQUISITE = "it waits for a job that was never accepted";

  private static final Logger log = LoggerFactory.getLogger(LeaderlessApi.class);

  private final ControllerNode node;
  private final DependencyChainReader dependencyChains;

  LeaderlessApi(ControllerNode node) {
    this.node = node;
    this.dependencyChains = new DependencyChainReader(node);
  }

  /** Why a job can never run, or null. */
  String rejectionReason(JobSpec spec) {
    // Sent to the store it would be refused as malformed, and the leader with it.
    if (!Records.fits(spec, node.settings().storeLimits().valueBytes())) {
      return "the description is too long to be stored";
    }
    Team team = null;
    for (Team each : node.settings().teams()) {
      if (each.name().equals(spec.team())) {
        team = each;
      }
    }
    if (team == null) {
      return "unknown team";
    }
    Set<String> zones = new HashSet<>();
    for (MachineType type : node.machineTypes()) {
      if (spec.allowsType(type.name()) && spec.resourcesPerTask().fitsIn(type.capacity())) {
        type.zones().stream().filter(spec::allowsZone).forEach(zones::add);
      }
    }
    if (zones.isEmpty()) {
      return "a task fits no allowed machine type";
    }
    if (spec.isMultiTaskGang()
        && spec.spreadAcrossZones()
        && (spec.sameZone() || zones.size() == 1)) {
      // Accepted it would wait for ever: all of it runs at once, and no more than half may in one
      // zone.
      return "all of its tasks can't be in one zone and spread over several";
    }
    return team.allows(spec.minimumResources()) ? null : "beyond the team's limit";
  }

  /**
   * Accepts a job without a leader: the record is the same that a leader would write, on the same
   * conditions, and an entry in the inbox tells the next leader.
   */
  void submit(JobSpec spec, Consumer<HttpResponse> answer) {
    if (node.machineTypes().isEmpty() || !node.storeClient().isHealthy()) {
      answer.accept(unavailable("no leader"));
      return;
    }
    if (!node.replicaManager().generations().isTrusted()
        || node.storeClient().generation().base() != 0
            && (!node.replicaManager().replica().hasAllFinalStates()
                || node.replicaManager().replica().base()
                    != node.storeClient().generation().base())) {
      // A job that was over before the loss could not be told from a new one.
      answer.accept(unavailable("the records are rebuilt"));
      return;
    }
    String rejection = rejectionReason(spec);
    String id = spec.id();
    if (node.replicaManager().replica().finalState(id) != null) {
      read(id, false, answer);
      return;
    }
    if (rejection != null) {
      reject(id, rejection, answer);
      return;
    }
    if (spec.prerequisites().isEmpty()) {
      storeJob(spec, JobWire.Status.PENDING, answer);
      return;
    }
    if (!node.clusterVersion().allowsChainedJobs()) {
      answer.accept(unavailable(NOT_UPGRADED));
      return;
    }
    dependencyChains.evaluate(
        spec.prerequisites(),
        outcome -> {
          switch (outcome) {
            case UNKNOWN_JOB -> reject(id, UNKNOWN_PREREQUISITE, answer);
            case UNCERTAIN -> answer.accept(unavailable("no leader"));
            case NONE_CANCELLED -> storeJob(spec, JobWire.Status.PENDING, answer);
            case CANCELLED -> storeJob(spec, JobWire.Status.CANCELLED, answer);
          }
        });
  }

  /** Refuses a job, unless it was accepted once: then it stays so, whatever is judged now. */
  private void reject(String id, String reason, Consumer<HttpResponse> answer) {
    read(id, false, found -> answer.accept(found.status() == 404 ? error(422, reason) : found));
  }

  /**
   * Stores a job.
   *
   * @param status what its user is told of it: one that names a cancelled job is accepted and
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
              if (reply.is(200)) {
                log.debug("job {} accepted without a leader", id);
                replica.put(RecordKeys.UNPAGED_JOB + id, record, 0, true);
                replica.put(RecordKeys.INBOX + id, inboxEntry, 0, true);
                node.replicaManager().onAcceptedWithoutLeader(() -> submit(spec, again -> {}));
                answer.accept(new HttpResponse(201, JobWire.view(id, status)));
              } else if (reply.is(409)) {
                read(id, false, answer);
              } else {
                answer.accept(unavailable("no leader"));
              }
            });
  }

  /** Answers from a fresh read of the store; a cancel gets an answer only when the job is over. */
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
    // A job goes from its own key or its page to its final state in one transaction, so this order
    // misses none.
    node.storeClient()
        .readForUser(
            RecordKeys.UNPAGED_JOB + id,
            read -> {
              if (!read.certain()) {
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
            end -> {
              if (!end.certain()) {
                answer.accept(unavailable("no leader"));
              } else if (!end.found() && node.replicaManager().jobMayBeMissing(id)) {
                answer.accept(unavailable("not certain yet"));
              } else if (!end.found()) {
                answer.accept(error(404, "no such job"));
              } else {
                answerFromFinalState(id, end.entry(), answer);
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

  /** A job whose record names no final state may be cancelled with one before it. */
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
