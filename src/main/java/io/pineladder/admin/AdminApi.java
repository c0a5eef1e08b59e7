package io.pineladder.admin;

import static io.pineladder.net.HttpResponses.error;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.ControllerNode;
import io.pineladder.LeaderTerm;
import io.pineladder.delivery.SubscriptionManager;
import io.pineladder.failover.FailoverTimings;
import io.pineladder.generation.GenerationManager;
import io.pineladder.membership.Membership;
import io.pineladder.model.Machine;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Settings;
import io.pineladder.net.HttpResponse;
import io.pineladder.net.HttpResponses;
import io.pineladder.replica.RecordReplica;
import io.pineladder.scheduling.JobDependencies;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * The administration API, on the cluster listener: the state of a controller, and the settings that
 * operators may change. Some requests can be handled by the leader only.
 */
public final class AdminApi {
  private static final String SNAPSHOT = "snapshot";

  /** Prefix of the paths of the administration API. */
  public static final String PREFIX = "/admin/v1/";

  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);

  private final ControllerNode node;
  private final Metrics metrics;

  public AdminApi(ControllerNode node, Metrics metrics) {
    this.node = node;
    this.metrics = metrics;
  }

  /** Whether a request must be handled by the leader, whichever controller receives it. */
  public boolean requiresLeader(String method, String path) {
    if (isSubscriptionPath(path)) {
      return true;
    }
    return switch (path) {
      case PREFIX + "queue", PREFIX + "machines" -> method.equals("GET");
      case PREFIX + "settings", PREFIX + SNAPSHOT -> method.equals("PUT");
      default -> false;
    };
  }

  private static boolean isSubscriptionPath(String path) {
    return path.equals(PREFIX + SubscriptionManager.PATH)
        || path.startsWith(PREFIX + SubscriptionManager.PATH + "/")
        || path.equals(PREFIX + SubscriptionManager.NETWORKS_PATH);
  }

  private static HttpResponse json(int status, ObjectNode body) {
    return new HttpResponse(status, Json.bytes(body));
  }

  /** Handles a request that any controller can answer. */
  public void handle(String method, String path, Consumer<HttpResponse> answer) {
    boolean isKnownPath =
        switch (path) {
          case PREFIX + "status",
              PREFIX + "metrics",
              PREFIX + "takeovers",
              PREFIX + "settings",
              PREFIX + SNAPSHOT,
              PREFIX + "queue",
              PREFIX + "machines" ->
              true;
          default -> false;
        };
    if (!isKnownPath) {
      answer.accept(error(404, "no such path"));
    } else if (!method.equals("GET")) {
      answer.accept(error(405, "use GET"));
    } else if (path.equals(PREFIX + SNAPSHOT)) {
      byte[] snapshot = node.replicaManager().exportSnapshot();
      answer.accept(
          snapshot == null
              ? error(503, "this node has not read all records yet")
              : new HttpResponse(200, snapshot));
    } else {
      answer.accept(
          json(
              200,
              switch (path) {
                case PREFIX + "status" -> status();
                case PREFIX + "metrics" -> metrics();
                case PREFIX + "takeovers" -> failovers();
                default -> RecordWire.operatorSettings(node.operatorSettings());
              }));
    }
  }

  private ObjectNode status() {
    var knownLeader = node.election().knownLeader();
    LeaderTerm ownTerm = node.termAcceptingHeartbeats();
    ObjectNode out = Json.object();
    out.put("member", node.settings().controllerName())
        .put("zone", node.settings().zone())
        .put("leadership", node.election().state().name().toLowerCase(Locale.ROOT))
        .put("leader", knownLeader == null ? null : knownLeader.controllerName())
        .put("term", ownTerm == null ? node.election().knownLeaderTerm() : ownTerm.term())
        .put("store_healthy", node.storeClient().isHealthy())
        .put("machine_types", node.machineTypes().size())
        .put("doubts_itself", node.membership().localHealth() == Membership.LocalHealth.DEGRADED);
    ArrayNode peers = out.putArray("peers");
    for (Membership.PeerStatus peer : node.membership().peerStatuses()) {
      peers
          .addObject()
          .put("member", peer.controllerName())
          .put("state", peer.state().name().toLowerCase(Locale.ROOT))
          .put(
              "unheard_s",
              peer.sinceContact() == null ? null : peer.sinceContact().toMillis() / 1e3)
          .put("store_healthy", peer.storeReachable())
          .put("term", peer.term())
          .put("changes", peer.stateChanges())
          .put("supported_version", peer.version());
    }
    out.set("version", version());
    out.set("store_limits", storeLimits());
    out.set("records", records());
    out.set("sockets", metrics.sockets());
    return out;
  }

  /** The record version in force, and the version that this controller supports. */
  private ObjectNode version() {
    return Json.object()
        .put("in_force", node.clusterVersion().inForce())
        .put("supported", node.clusterVersion().supported());
  }

  /** The limits of the key-value store that this controller applies, and its use of them. */
  private ObjectNode storeLimits() {
    Settings.StoreLimits applied = node.storeClient().limits();
    Settings.StoreLimits inForce = node.settings().currentStoreLimits();
    return Json.object()
        .put("requests_per_second", applied.requestsPerSecond())
        .put("changes_per_second", applied.writesPerSecond())
        .put("value_bytes", applied.valueBytes())
        .put("transaction_changes", applied.transactionOps())
        .put("change_announced", !applied.equals(inForce))
        .put("requests", node.storeClient().requestCount())
        .put("refused_for_rate", node.storeClient().rateLimitedCount())
        .put("changes_left", node.storeClient().writeBudget().available(node.eventLoop().now()));
  }

  private ObjectNode metrics() {
    metrics.registerTaskStarts(node.taskStartMonitor(), node.eventLoop()::now);
    ObjectNode out = metrics.toJson();
    LeaderTerm leader = node.leadingTerm();
    if (leader != null) {
      out.set("notices", leader.subscriptions().statistics());
      out.put(
          "ended_attempts",
          leader.cluster().machines().stream().mapToLong(Machine::countEndedAttempts).sum());
    }
    return out;
  }

  /** Durations of this controller's failovers by phase, and the most recent ones. */
  private ObjectNode failovers() {
    ObjectNode out = Json.object();
    ObjectNode phases = out.putObject("phases_s");
    for (FailoverTimings.Phase phase : FailoverTimings.Phase.values()) {
      Histogram histogram = node.failoverTimings().histogram(phase);
      if (histogram != null) {
        Metrics.writePercentiles(phases.putObject(phase.label()), histogram, 1e3);
      }
    }
    ArrayNode latest = out.putArray("latest");
    for (FailoverTimings.FailoverSummary failover : node.failoverTimings().recentFailovers()) {
      ObjectNode entry = latest.addObject().put("term", failover.term());
      failover
          .phases()
          .forEach((phase, duration) -> entry.put(phase.label(), duration.toMillis() / 1e3));
    }
    return out;
  }

  /** Handles a request that only the leader can answer. */
  public void handleAsLeader(
      LeaderTerm leader, String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (isSubscriptionPath(path)) {
      leader.subscriptions().handle(method, path.substring(PREFIX.length()), body, answer);
      return;
    }
    switch (path) {
      case PREFIX + "queue" -> answer.accept(json(200, queue(leader)));
      case PREFIX + "machines" -> answer.accept(json(200, machines(leader)));
      case PREFIX + "settings" -> updateSettings(leader, body, answer);
      case PREFIX + SNAPSHOT -> importSnapshot(body, answer);
      default -> answer.accept(error(404, "no such path"));
    }
  }

  private static ObjectNode queue(LeaderTerm leader) {
    ObjectNode out =
        Json.object()
            .put("term", leader.term())
            .put("jobs", leader.cluster().jobs.size())
            .put("waiting_writes", leader.pendingWrites())
            .put("jobs_at_fault", leader.scheduler().faultAttribution().countFailingJobs())
            .put(
                "machines_under_suspicion",
                leader.scheduler().faultAttribution().countQuarantinedMachines());
    ObjectNode entries = out.putObject("entries");
    leader
        .scheduler()
        .queue()
        .sizes()
        .forEach((place, size) -> entries.put(place.name().toLowerCase(Locale.ROOT), size));
    ObjectNode parked = out.putObject("parked");
    JobDependencies dependencies = leader.scheduler().dependencies();
    OptionalDouble slack = leader.minChainSlackSeconds();
    out.putObject("chains")
        .put("waiting", dependencies.countWaitingJobs())
        .put("longest", dependencies.longestChainLength())
        .put("least_slack_s", slack.isPresent() ? (Double) slack.getAsDouble() : null);
    leader
        .scheduler()
        .queue()
        .unschedulableByCheck()
        .forEach((check, size) -> parked.put(check.name().toLowerCase(Locale.ROOT), size));
    return out;
  }

  private ObjectNode machines(LeaderTerm leader) {
    ObjectNode out = Json.object();
    ArrayNode zones = out.putArray("zones");
    for (Zones.View zone : leader.autoscaler().zones().view(node.eventLoop().now())) {
      zones
          .addObject()
          .put("name", zone.name())
          .put("state", zone.state().toLowerCase(Locale.ROOT))
          .put("losses", zone.outageCount())
          .put("gone_s", zone.outageDuration().toMillis() / 1e3);
    }
    ArrayNode list = out.putArray("machines");
    for (Machine machine : leader.cluster().machines()) {
      list.addObject()
          .put("name", machine.name)
          .put("type", machine.type.name())
          .put("zone", machine.zone)
          .put("spot", machine.spot)
          .put("state", machine.state().name().toLowerCase(Locale.ROOT))
          .put("used_cpus", machine.used.cpus())
          .put("used_gpus", machine.used.gpus())
          .put("attempts", machine.attempts.size())
          .put("ended_attempts", machine.countEndedAttempts())
          .put("suspect", machine.quarantined)
          .put("draining", machine.draining)
          .put("images", machine.images.size());
    }
    return out;
  }

  private void importSnapshot(byte[] body, Consumer<HttpResponse> answer) {
    try {
      answer.accept(
          json(200, Json.object().put("jobs", node.replicaManager().importSnapshot(body))));
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
    }
  }

  /** The state of the stored records and of this controller's replica of them. */
  private ObjectNode records() {
    GenerationManager generations = node.replicaManager().generations();
    RecordReplica replica = node.replicaManager().replica();
    GenerationManager.Evidence evidence = generations.lastEvidence();
    ObjectNode out =
        Json.object()
            .put("state", generations.state().name().toLowerCase(Locale.ROOT))
            .put("generation", node.storeClient().generation().base())
            .put("exact", node.storeClient().generation().exact())
            .put("losses", generations.lossCount())
            .put("evidence", evidence == null ? null : evidence.name().toLowerCase(Locale.ROOT))
            .put("rebuilt", generations.rebuildProgress());
    out.putObject("copy")
        .put("state", node.replicaManager().follower().state().name().toLowerCase(Locale.ROOT))
        .put("generation", replica.base())
        .put("revision", replica.revision())
        .put("whole", replica.isComplete())
        .put("records", replica.recordCount())
        .put("final_states", replica.finalStateCount());
    if (node.replicaManager().snapshots() != null) {
      out.putObject("snapshots")
          .put("kept", node.replicaManager().snapshots().snapshotCount())
          .put("failures", node.replicaManager().snapshots().failures());
    }
    return out;
  }

  /** Validates new settings, stores them and responds once they are stored. */
  private void updateSettings(LeaderTerm leader, byte[] body, Consumer<HttpResponse> answer) {
    OperatorSettings requested;
    try {
      requested = RecordWire.parseOperatorSettings(Json.parseObject(body), node.operatorSettings());
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    Consumer<HttpResponse> firstResponse =
        HttpResponses.withTimeout(
            node.eventLoop(), answer, STORE_TIMEOUT, error(503, "not stored yet"));
    leader.storeOperatorSettings(
        requested, () -> firstResponse.accept(json(200, RecordWire.operatorSettings(requested))));
  }
}
