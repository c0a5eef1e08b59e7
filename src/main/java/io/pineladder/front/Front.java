package io.pineladder.front;

import io.pineladder.Leader;
import io.pineladder.Node;
import io.pineladder.admin.AdminApi;
import io.pineladder.admin.Metrics;
import io.pineladder.leadership.Election;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.MachineType;
import io.pineladder.model.Settings;
import io.pineladder.model.Team;
import io.pineladder.net.HttpAnswer;
import io.pineladder.net.HttpCaller.Request;
import io.pineladder.store.Keys;
import io.pineladder.store.Records;
import io.pineladder.wire.BeatWire;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedException;
import io.pineladder.wire.PeerWire;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import io.pineladder.wire.WorkerWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers users, workers and peers on one node. */
public final class Front {
  private static final Logger log = LoggerFactory.getLogger(Front.class);
  private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(1300);

  /** A submission can be stored by this node itself, so it waits less for the leader. */
  private static final Duration SUBMIT_TIMEOUT = Duration.ofMillis(700);

  private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(2500);
  private static final Duration CONTACT = Duration.ofSeconds(6);
  private static final byte[] EMPTY = new byte[0];

  /** A worker back so soon after it was sent to the leader has not reached it. */
  private static final Duration BOUNCE = Duration.ofSeconds(12);

  private static final int REDIRECTS_KEPT = 2000;

  private final Node node;

  /** When each worker was last sent to the leader, or its report handed on. */
  private final Map<String, Instant> redirects = new LinkedHashMap<>();

  /** The leader that those workers were sent to. */
  private RecordWire.LeaderRecord redirectedTo;

  private final Metrics metrics;
  private final AdminApi admin;
  private Instant leaderFailedAt;
  private boolean ready;

  public Front(Node node, Metrics metrics) {
    this.node = node;
    this.metrics = metrics;
    this.admin = new AdminApi(node, metrics);
  }

  // ---- paths

  /** What users, workers and the load balancer ask. */
  public void handle(String method, String path, byte[] body, Consumer<HttpAnswer> onAnswer) {
    Instant begun = node.time().now();
    Consumer<HttpAnswer> answer =
        http -> {
          metrics.answered(
              Metrics.Operation.of(method, path),
              http.status(),
              Duration.between(begun, node.time().now()));
          onAnswer.accept(http);
        };
    String plain = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
    switch (plain) {
      case "/ready" -> {
        if (allow("GET", method, answer)) {
          answer.accept(new HttpAnswer(isReady() ? 200 : 503, EMPTY));
        }
        return;
      }
      case "/v1/report" -> {
        if (allow("POST", method, answer)) {
          report(body, false, answer);
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
    if (!JobWire.isId(id)) {
      // Nothing with such an id is ever accepted.
      answer.accept(error(404, "no such job"));
      return;
    }
    JobWire.Status known = node.finalState(id);
    if (known != null) {
      answer.accept(new HttpAnswer(200, JobWire.view(id, known)));
      return;
    }
    serve(method, plain, EMPTY, answer, () -> alone(id, cancel, answer));
  }

  private static boolean allow(String wanted, String method, Consumer<HttpAnswer> answer) {
    if (wanted.equals(method)) {
      return true;
    }
    answer.accept(error(405, "use " + wanted));
    return false;
  }

  private static HttpAnswer error(int status, String reason) {
    return new HttpAnswer(status, JobWire.error(reason));
  }

  private static HttpAnswer later(String reason) {
    return new HttpAnswer(503, JobWire.error(reason), 1);
  }

  // ---- where a request is served

  /** Serves a user's request here if this node leads, else by the leader, else as it can. */
  private void serve(
      String method, String path, byte[] body, Consumer<HttpAnswer> answer, Runnable alone) {
    Leader leader = node.actingLeader();
    if (leader != null && (!isSubmission(path) || node.store().isHealthy())) {
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
      String method, String path, byte[] body, Consumer<HttpAnswer> answer, Runnable alone) {
    List<String> ways = new ArrayList<>();
    RecordWire.LeaderRecord known = node.election().known();
    if (reachesLeader(known)) {
      ways.add(known.address());
    }
    if (!node.store().isHealthy()) {
      // Cut off from the store this node may know an old leader only; its peers may know better.
      for (String peer : node.membership().likely()) {
        if (!ways.contains(peer)) {
          ways.add(peer);
        }
      }
    }
    forwardTo(ways, 0, new PeerWire.Forward(method, path, body, 1), answer, alone);
  }

  /** Whether there is a leader other than this node that has not failed to answer just now. */
  private boolean reachesLeader(RecordWire.LeaderRecord known) {
    boolean other = known != null && !known.member().equals(node.settings().member());
    boolean failed =
        leaderFailedAt != null && leaderFailedAt.plusMillis(1000).isAfter(node.time().now());
    return other && !failed && !node.membership().isUnreachable(known.member());
  }

  private void forwardTo(
      List<String> ways,
      int from,
      PeerWire.Forward forward,
      Consumer<HttpAnswer> answer,
      Runnable alone) {
    if (from >= ways.size()) {
      alone.run();
      return;
    }
    String way = ways.get(from);
    node.http().call(
        Request.post(
            way,
            PeerWire.PATH,
            PeerWire.write(forward),
            isSubmission(forward.path()) ? SUBMIT_TIMEOUT : FORWARD_TIMEOUT),
        reply -> {
          try {
            if (reply.is(200)) {
              PeerWire.Answer got = PeerWire.parseAnswer(reply.body());
              if (got.decided()) {
                answer.accept(got.answer());
                return;
              }
            }
          } catch (MalformedException e) {
            log.warn("a peer's answer is malformed");
          }
          RecordWire.LeaderRecord known = node.election().known();
          if (known != null && known.address().equals(way)) {
            leaderFailedAt = node.time().now();
          }
          forwardTo(ways, from + 1, forward, answer, alone);
        });
  }

  /** A request that a peer hands on. */
  public void handlePeer(byte[] body, Consumer<HttpAnswer> answer) {
    PeerWire.Forward forward;
    try {
      forward = PeerWire.parseForward(body);
    } catch (MalformedException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    RecordWire.LeaderRecord known = node.election().known();
    String name = known == null ? null : known.member();
    Consumer<HttpAnswer> decided =
        http -> answer.accept(ok(PeerWire.write(new PeerWire.Answer(true, http, name))));
    Runnable undecided =
        () ->
            answer.accept(
                ok(PeerWire.write(new PeerWire.Answer(false, later("no leader"), name))));
    // A submission that this node cannot take is better tried by the next one than given up.
    Consumer<HttpAnswer> taken =
        isSubmission(forward.path())
            ? http -> {
              if (http.status() == 503) {
                undecided.run();
              } else {
                decided.accept(http);
              }
            }
            : decided;
    Leader leader = node.actingLeader();
    if (leader != null) {
      lead(leader, forward.method(), forward.path(), forward.body(), taken);
      return;
    }
    if (forward.hops() <= 0 || !reachesLeader(known)) {
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
        new PeerWire.Forward(forward.method(), forward.path(), forward.body(), forward.hops() - 1),
        decided,
        isSubmission(forward.path()) ? () -> storeFor(forward.body(), taken) : undecided);
  }

  /** Stores a submission on behalf of a peer that reaches neither a leader nor the store. */
  private void storeFor(byte[] body, Consumer<HttpAnswer> answer) {
    try {
      submitAlone(JobWire.parse(body), once(answer, COMMIT_TIMEOUT));
    } catch (MalformedException e) {
      answer.accept(error(400, e.getMessage()));
    }
  }

  private static HttpAnswer ok(byte[] body) {
    return new HttpAnswer(200, body);
  }

  /** Serves a user's request as the leader. */
  private void lead(
      Leader leader, String method, String path, byte[] body, Consumer<HttpAnswer> answer) {
    if (path.startsWith(AdminApi.PREFIX)) {
      admin.lead(leader, method, path, body, answer);
      return;
    }
    if (path.equals("/v1/report")) {
      report(body, true, answer);
      return;
    }
    Consumer<HttpAnswer> counted =
        http -> {
          if (http.status() < 500) {
            leader.answered();
          }
          answer.accept(http);
        };
    if (path.equals("/v1/jobs")) {
      try {
        submitTo(leader, JobWire.parse(body), once(counted, COMMIT_TIMEOUT));
      } catch (MalformedException e) {
        answer.accept(error(400, e.getMessage()));
      }
      return;
    }
    String rest = path.substring("/v1/jobs/".length());
    if (method.equals("POST")) {
      String id = rest.substring(0, rest.length() - "/cancel".length());
      if (!node.store().isHealthy()) {
        answer.accept(later("the state service is not available"));
        return;
      }
      Consumer<HttpAnswer> bounded = once(counted, COMMIT_TIMEOUT);
      leader.cancel(id, view -> bounded.accept(toAnswer(id, view)));
    } else {
      Consumer<HttpAnswer> bounded = once(counted, FORWARD_TIMEOUT);
      leader.view(rest, view -> bounded.accept(toAnswer(rest, view)));
    }
  }

  /** An answer is given in time, as "later" if need be; what comes after that is dropped. */
  private Consumer<HttpAnswer> once(Consumer<HttpAnswer> answer, Duration within) {
    boolean[] given = new boolean[1];
    Consumer<HttpAnswer> first =
        http -> {
          if (!given[0]) {
            given[0] = true;
            answer.accept(http);
          }
        };
    node.time().after(within, () -> first.accept(later("not certain yet")));
    return first;
  }

  private static HttpAnswer toAnswer(String id, Leader.View view) {
    if (view == null) {
      return error(404, "no such job");
    }
    if (view.status() == null) {
      return later("not certain yet");
    }
    return ok(
        view.status().isFinal()
            ? JobWire.view(id, view.status())
            : JobWire.view(id, view.status(), view.done(), view.running()));
  }

  // ---- submissions

  private void submit(byte[] body, Consumer<HttpAnswer> answer) {
    JobSpec spec;
    try {
      spec = JobWire.parse(body);
    } catch (MalformedException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    JobWire.Status known = node.finalState(spec.id());
    if (known != null) {
      answer.accept(ok(JobWire.view(spec.id(), known)));
      return;
    }
    Instant begun = node.time().now();
    Consumer<HttpAnswer> logged =
        http -> {
          Duration took = Duration.between(begun, node.time().now());
          log.debug("submission of {}: {} after {}", spec.id(), http.status(), took);
          answer.accept(http);
        };
    serve("POST", "/v1/jobs", body, logged, () -> submitAlone(spec, once(logged, COMMIT_TIMEOUT)));
  }

  private void submitTo(Leader leader, JobSpec spec, Consumer<HttpAnswer> answer) {
    if (!leader.knows(spec.id())) {
      if (node.types().isEmpty()) {
        answer.accept(later("the machine types are not known yet"));
        return;
      }
      String never = neverRuns(spec);
      if (never != null) {
        // What was accepted once stays accepted, whatever is judged now.
        leader.view(
            spec.id(),
            view -> answer.accept(view == null ? error(422, never) : toAnswer(spec.id(), view)));
        return;
      }
    }
    if (!node.store().isHealthy()) {
      answer.accept(later("the state service is not available"));
      return;
    }
    leader.submit(
        spec,
        status ->
            answer.accept(
                status == null
                    ? later("not certain yet")
                    : new HttpAnswer(
                        status == JobWire.Status.PENDING ? 201 : 200,
                        JobWire.view(spec.id(), status))),
        view -> answer.accept(toAnswer(spec.id(), view)));
  }

  /** Why a job can never run, or null. */
  private String neverRuns(JobSpec spec) {
    // Sent to the store it would be refused as malformed, and the leader with it.
    if (!Records.fits(spec, node.settings().store().valueBytes())) {
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
    boolean fits = false;
    for (MachineType type : node.types()) {
      fits |=
          spec.allowsType(type.name())
              && spec.each().fitsIn(type.size())
              && (spec.zone() == null || type.zones().contains(spec.zone()));
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    return team.allows(spec.least()) ? null : "beyond the team's limit";
  }

  /**
   * Accepts a job without a leader: the record is the same that a leader would write, on the same
   * conditions, and an entry in the inbox tells the next leader.
   */
  private void submitAlone(JobSpec spec, Consumer<HttpAnswer> answer) {
    if (node.types().isEmpty() || !node.store().isHealthy()) {
      answer.accept(later("no leader"));
      return;
    }
    String never = neverRuns(spec);
    String id = spec.id();
    if (never != null) {
      readAlone(
          id, false, found -> answer.accept(found.status() == 404 ? error(422, never) : found));
      return;
    }
    byte[] body =
        new StoreWire.Transaction()
            .require(Keys.JOB + id, 0)
            .require(Keys.END + id, 0)
            .put(
                Keys.JOB + id,
                RecordWire.job(spec, node.time().timeOfDay(), Job.State.ACTIVE))
            .put(Keys.INBOX + id, Json.object().put("by", node.settings().member()))
            .bytes();
    node.store().changeForUser(
        node.store().post("/multi", body),
        2,
        reply -> {
          if (reply.is(200)) {
            log.debug("job {} accepted without a leader", id);
            answer.accept(
                new HttpAnswer(201, JobWire.view(id, JobWire.Status.PENDING)));
          } else if (reply.is(409)) {
            readAlone(id, false, answer);
          } else {
            answer.accept(later("no leader"));
          }
        });
  }

  private void alone(String id, boolean cancel, Consumer<HttpAnswer> answer) {
    if (!node.store().isHealthy()) {
      answer.accept(later("no leader"));
      return;
    }
    readAlone(id, cancel, once(answer, FORWARD_TIMEOUT));
  }

  /** Answers from a fresh read of the store; a cancel gets an answer only when the job is over. */
  private void readAlone(String id, boolean cancel, Consumer<HttpAnswer> answer) {
    // A job goes from its own key or its page to its final state in one transaction, so this order
    // misses none.
    node.store().readForUser(
        Keys.JOB + id,
        read -> {
          if (!read.certain()) {
            answer.accept(later("no leader"));
          } else if (read.found()) {
            tellStored(id, cancel, read.entry(), answer);
          } else {
            readAccepted(id, cancel, answer);
          }
        });
  }

  private void readAccepted(String id, boolean cancel, Consumer<HttpAnswer> answer) {
    node.accepted()
        .refresh(
            fresh -> {
              if (!fresh) {
                answer.accept(later("no leader"));
                return;
              }
              Job.State found = node.accepted().find(id);
              if (found != null) {
                tellState(id, cancel, found, answer);
              } else {
                readEnd(id, answer);
              }
            });
  }

  private void readEnd(String id, Consumer<HttpAnswer> answer) {
    node.store().readForUser(
        Keys.END + id,
        end -> {
          if (!end.certain()) {
            answer.accept(later("no leader"));
          } else if (!end.found()) {
            answer.accept(error(404, "no such job"));
          } else {
            tellEnd(id, end.entry(), answer);
          }
        });
  }

  private void tellStored(
      String id, boolean cancel, StoreWire.Entry entry, Consumer<HttpAnswer> answer) {
    try {
      tellState(id, cancel, RecordWire.parseJob(entry.value()).state(), answer);
    } catch (MalformedException e) {
      answer.accept(later("the stored job cannot be read"));
    }
  }

  private void tellState(
      String id, boolean cancel, Job.State state, Consumer<HttpAnswer> answer) {
    JobWire.Status status = Leader.toStatus(state);
    if (status.isFinal()) {
      node.learnFinal(id, status);
      answer.accept(ok(JobWire.view(id, status)));
    } else if (cancel) {
      answer.accept(later("no leader"));
    } else {
      answer.accept(ok(JobWire.view(id, status, 0, 0)));
    }
  }

  private void tellEnd(String id, StoreWire.Entry entry, Consumer<HttpAnswer> answer) {
    try {
      JobWire.Status status = Leader.toStatus(RecordWire.parseEnd(entry.value()));
      node.learnFinal(id, status);
      answer.accept(ok(JobWire.view(id, status)));
    } catch (MalformedException e) {
      answer.accept(later("the stored job cannot be read"));
    }
  }

  // ---- workers

  private void report(byte[] body, boolean relayed, Consumer<HttpAnswer> answer) {
    WorkerWire.Report report;
    try {
      report = WorkerWire.parseReport(body);
    } catch (MalformedException e) {
      answer.accept(error(400, e.getMessage()));
      return;
    }
    Leader holder = node.termHolder();
    if (holder != null && report.token() <= holder.term()) {
      byte[] response = holder.onReport(report, relayed);
      if (response != null) {
        answer.accept(ok(response));
        return;
      }
    } else if (holder != null) {
      holder.onReport(report, relayed);
    }
    RecordWire.LeaderRecord known = node.election().known();
    boolean other = known != null && !known.member().equals(node.settings().member());
    Instant now = node.time().now();
    if (other && !known.equals(redirectedTo)) {
      // That a worker did not reach an earlier leader says nothing of this one. Otherwise reports
      // once handed on would be handed on for ever, and each new leader make way in its turn.
      redirects.clear();
      redirectedTo = known;
    }
    Instant redirected = redirects.get(report.machine());
    if (other && redirected != null && redirected.plus(BOUNCE).isAfter(now)) {
      // It was sent to the leader, and is back.
      if (!node.membership().isUnreachable(known.member())) {
        relay(known, report, body, answer);
        return;
      }
      if (keepsAlive(known) && report.token() <= node.election().knownVersion()) {
        answer.accept(
            ok(
                WorkerWire.reportResponse(
                    node.election().knownVersion(), new WorkerWire.Orders())));
        return;
      }
    }
    if (other) {
      redirects.put(report.machine(), now);
      if (redirects.size() > REDIRECTS_KEPT) {
        redirects.remove(redirects.keySet().iterator().next());
      }
    }
    answer.accept(new HttpAnswer(421, WorkerWire.redirect(other ? known.member() : null)));
  }

  /**
   * A worker that was sent to the leader and is back soon after has not reached it. This node can,
   * so it hands the report on and the response back; a response is as good from any node.
   */
  private void relay(
      RecordWire.LeaderRecord leader,
      WorkerWire.Report report,
      byte[] body,
      Consumer<HttpAnswer> answer) {
    forwardTo(
        List.of(leader.address()),
        0,
        new PeerWire.Forward("POST", "/v1/report", body, 0),
        http -> {
          redirects.put(report.machine(), node.time().now());
          answer.accept(http);
        },
        () -> answer.accept(new HttpAnswer(421, WorkerWire.redirect(null))));
  }

  /**
   * Whether this node answers reports in place of a leader that it cannot reach, and whose term the
   * store confirms: without that a zone cut off from its leader would lose all its tasks. It gives
   * no orders. No leader ever takes the end of a worker's lease as proof, so prolonging it is safe.
   */
  private boolean keepsAlive(RecordWire.LeaderRecord known) {
    Duration longest = Election.longestKeepAlive(node.settings().workers());
    Instant leaderAt = node.membership().answeredAt(known.member());
    return node.store().isHealthy()
        && leaderAt != null
        && node.time().now().isBefore(leaderAt.plus(longest));
  }

  // ---- readiness

  private boolean isRecent(Instant at) {
    return at != null && at.plus(CONTACT).isAfter(node.time().now());
  }

  /**
   * A node is ready while it reaches the store, leads, or reaches a peer. In an outage of the store
   * no node serves better than another, and one taken out of service would come back late.
   */
  private boolean isReady() {
    boolean now =
        node.actingLeader() != null
            || isRecent(node.store().answeredAt())
            || isRecent(node.membership().heardAnyAt());
    if (now != ready) {
      log.info("ready: {}", now);
      ready = now;
    }
    return now;
  }

  /** What arrives on the cluster listener. */
  public void handleCluster(String method, String path, byte[] body, Consumer<HttpAnswer> answer) {
    if (path.equals(BeatWire.PATH)) {
      try {
        answer.accept(ok(node.membership().handle(body)));
      } catch (MalformedException e) {
        answer.accept(error(400, e.getMessage()));
      }
    } else if (path.equals(PeerWire.PATH)) {
      handlePeer(body, answer);
    } else if (admin.isLeadersMatter(method, path)) {
      serve(method, path, body, answer, () -> answer.accept(later("no leader")));
    } else {
      admin.handle(method, path, answer);
    }
  }
}
