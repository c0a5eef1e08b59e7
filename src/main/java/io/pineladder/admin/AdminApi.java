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
 * The administration API, on the cluster listener: what a controller knows, and the settings that
 * operators may change. What only the leader knows is asked of the leader.
 */
public final class AdminApi {
  private static final String SNAPSHOT = "snapshot";
  public static final String PREFIX = "/admin/v1/";

  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);

  private final ControllerNode node;
  private final Metrics metrics;

  public AdminApi(ControllerNode node, Metrics metrics) {
    this.node = node;
    this.metrics = metrics;
  }

  /** Whether a request is to be answered by the leader, whichever node gets it. */
  public boolean requiresLeader(String method, String path) {
    if (isAboutSubscriptions(path)) {
      return true;
    }
    return switch (path) {
      case PREFIX + "queue", PREFIX + "machines" -> method.equals("GET");
      case PREFIX + "settings", PREFIX + SNAPSHOT -> method.equals("PUT");
      default -> false;
    };
  }

  private static boolean isAboutSubscriptions(String path) {
    return path.equals(PREFIX + SubscriptionManager.PATH)
        || path.startsWith(PREFIX + SubscriptionManager.PATH + "/")
        || path.equals(PREFIX + SubscriptionManager.NETWORKS_PATH);
  }

  private static HttpResponse json(int status, ObjectNode body) {
    return new HttpResponse(status, Json.bytes(body));
  }

  /** What any node can answer itself. */
  public void handle(String method, String path, Consumer<HttpResponse> answer) {
    boolean known =
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
    if (!known) {
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
                case PREFIX + "takeovers" -> takeovers();
                default -> RecordWire.operatorSettings(node.operatorSettings());
              }));
    }
  }

  private ObjectNode status() {
    var known = node.election().knownLeader();
    LeaderTerm leader = node.termAcceptingHeartbeats();
    ObjectNode out = Json.object();
    out.put("member", node.settings().controllerName())
        .put("zone", node.settings().zone())
        .put("leadership", node.election().state().name().toLowerCase(Locale.ROOT))
        .put("leader", known == null ? null : known.controllerName())
        .put("term", leader == null ? node.election().knownLeaderTerm() : leader.term())
        .put("store_healthy", node.storeClient().isHealthy())
        .put("machine_types", node.machineTypes().size())
        .put(
            "doubts_itself",
            node.membership().localHealth() == Membership.LocalHealth.DEGRADED);
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

  /** Which version of the records is in force, and what this controller supports. */
  private ObjectNode version() {
    return Json.object()
        .put("in_force", node.clusterVersion().inForce())
        .put("supported", node.clusterVersion().supported());
  }

  /**
   * The state service's limits that this controller keeps to, and what it asked for in the last
   * second.
   */
  private ObjectNode storeLimits() {
    Settings.StoreLimits kept = node.storeClient().limits();
    Settings.StoreLimits inForce = node.settings().currentStoreLimits();
    return Json.object()
        .put("requests_per_second", kept.requestsPerSecond())
        .put("changes_per_second", kept.writesPerSecond())
        .put("value_bytes", kept.valueBytes())
        .put("transaction_changes", kept.transactionOps())
        .put("change_announced", !kept.equals(inForce))
        .put("requests", node.storeClient().requestCount())
        .put("refused_for_rate", node.storeClient().rateLimitedCount())
        .put("changes_left", node.storeClient().writeBudget().available(node.eventLoop().now()));
  }

  private ObjectNode metrics() {
    ObjectNode out = metrics.read();
    LeaderTerm leader = node.leadingTerm();
    if (leader != null) {
      out.set("notices", leader.subscriptions().figures());
    }
    return out;
  }

  /** How long takeovers took here, by phase, and the latest ones. */
  private ObjectNode takeovers() {
    ObjectNode out = Json.object();
    ObjectNode phases = out.putObject("phases_s");
    for (FailoverTimings.Phase phase : FailoverTimings.Phase.values()) {
      Histogram histogram = node.failoverTimings().histogram(phase);
      if (histogram != null) {
        Metrics.percentiles(phases.putObject(phase.label()), histogram, 1e3);
      }
    }
    ArrayNode latest = out.putArray("latest");
    for (FailoverTimings.FailoverSummary taken : node.failoverTimings().recentFailovers()) {
      ObjectNode one = latest.addObject().put("term", taken.term());
      taken.phases().forEach((phase, took) -> one.put(phase.label(), took.toMillis() / 1e3));
    }
    return out;
  }

  /** What only the leader can answer. */
  public void handleAsLeader(
      LeaderTerm leader, String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (isAboutSubscriptions(path)) {
      leader.subscriptions().handle(method, path.substring(PREFIX.length()), body, answer);
      return;
    }
    switch (path) {
      case PREFIX + "queue" -> answer.accept(json(200, queue(leader)));
      case PREFIX + "machines" -> answer.accept(json(200, machines(leader)));
      case PREFIX + "settings" -> change(leader, body, answer);
      case PREFIX + SNAPSHOT -> handIn(body, answer);
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
    ObjectNode places = out.putObject("entries");
    leader
        .scheduler()
        .queue()
        .sizes()
        .forEach((place, size) -> places.put(place.name().toLowerCase(Locale.ROOT), size));
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
          .put("suspect", machine.quarantined)
          .put("draining", machine.draining)
          .put("images", machine.images.size());
    }
    return out;
  }

  private void handIn(byte[] body, Consumer<HttpResponse> answer) {
    try {
      answer.accept(
          json(200, Json.object().put("jobs", node.replicaManager().importSnapshot(body))));
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
    }
  }

  /** Where the records stand, as this node knows it. */
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

  /** Checks new settings, stores them, and answers when they are stored. */
  private void change(LeaderTerm leader, byte[] body, Consumer<HttpResponse> answer) {
    OperatorSettings wanted;
    try {
      wanted = RecordWire.parseOperatorSettings(Json.parseObject(body), node.operatorSettings());
    } catch (MalformedMessageException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    Consumer<HttpResponse> first =
        HttpResponses.withTimeout(
            node.eventLoop(), answer, STORE_TIMEOUT, error(503, "not stored yet"));
    leader.storeOperatorSettings(
        wanted, () -> first.accept(json(200, RecordWire.operatorSettings(wanted))));
  }
}
