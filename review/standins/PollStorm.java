import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Users ask many times as often, also about jobs that nobody has submitted. */
public final class PollStorm {
  private static final double ASKED_PER_SECOND = Double.parseDouble(System.getProperty("asked", "1000"));
  private static final int STORM_SECONDS = Integer.getInteger("storm", 18);
  private static final int JOBS = 10;
  private static final double BOUND_SECONDS = 90;
  private static final double LAST_SECOND = 118;

  private PollStorm() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (Record record = new Record(Path.of(args[0]));
        Cluster cluster = new Cluster(record)) {
      cluster.endAfter(119);
      code = run(record, cluster, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(code);
  }

  private static int run(Record record, Cluster cluster, boolean trouble) throws Exception {
    StateService state = new StateService(200, 60, 12, 8, 3, cluster.timer);
    Load load = new Load(cluster, record);
    Fleet fleet = new Fleet(
        List.of(new Fleet.Hull("erable16", 16, 2, 128, 45, List.of("laval", "levis"))), 5, 22, load, record,
        cluster.threads, cluster.timer);
    cluster.serve(state, fleet, 3);
    fleet.addRunning("erable16", "laval", 5);
    fleet.addRunning("erable16", "levis", 5);
    cluster.start(List.of("laval", "levis", "laval"), Sites.LAVAL);
    if (cluster.awaitLeader(state, 20) < 0) {
      record.say("no leader");
      return 2;
    }
    Thread.sleep(1500);
    if (!load.submit(Load.job("req-000001", "faceenrol", "accueil", "array", "standard", 1, 6, 1, 48, "img-01", 5), 5_000)) {
      return 2;
    }
    Thread.sleep(2500);
    record.say("first job started: " + fleet.started(List.of("req-000001")) + ", leader " + state.leader());
    AtomicInteger asked = new AtomicInteger();
    Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(1)).executor(cluster.threads).build();
    double stormEnds = record.seconds() + STORM_SECONDS;
    ScheduledFuture<?> storm = !trouble ? null : cluster.timer.scheduleAtFixedRate(
        () -> {
          int n = asked.incrementAndGet();
          client.sendAsync(
                  HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + cluster.fronts.get(n % 3)
                          + "/v1/jobs/req-9" + String.format("%05d", n % 5000)))
                      .timeout(Duration.ofSeconds(2)).build(),
                  HttpResponse.BodyHandlers.discarding())
              .whenComplete((response, error) -> answers
                  .computeIfAbsent(response == null ? 0 : response.statusCode(), s -> new AtomicInteger())
                  .incrementAndGet());
        },
        0, (long) (1e9 / ASKED_PER_SECOND), TimeUnit.NANOSECONDS);
    Thread.sleep((STORM_SECONDS - 10) * 1000L);
    List<String> refs = new ArrayList<>();
    List<Future<Boolean>> users = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String ref = String.format("req-%06d", 100 + i);
      refs.add(ref);
      ObjectNode job = Load.job(ref, "faceenrol", "accueil", "array", "standard", 1, 6, 1, 48, "img-01", 5);
      users.add(cluster.threads.submit(() -> load.submit(job, 5_000)));
    }
    while (record.seconds() < stormEnds) {
      Thread.sleep(20);
    }
    if (storm != null) {
      storm.cancel(false);
    }
    record.say("the storm is over: asked " + asked + ", answers " + new TreeMap<>(answers));
    for (Future<Boolean> user : users) {
      if (!user.get()) {
        record.say("a job was not accepted within 60 s");
        return 2;
      }
    }
    double from = record.seconds();
    record.say("accepted " + load.accepted.size() + "; running tasks " + fleet.running() + ", machines up with room 10");
    double next = from;
    while (record.seconds() < from + BOUND_SECONDS && record.seconds() < LAST_SECOND) {
      Thread.sleep(100);
      if (record.seconds() > next) {
        next += 5;
        record.say("leader " + state.leader() + ", started " + fleet.started(refs) + ", state: requests "
            + state.requests + ", changes " + state.changes + ", over the limit " + state.overLimit);
      }
      if (fleet.started(refs) == JOBS) {
        record.say("all jobs were started after " + (record.seconds() - from) + " s");
        return 0;
      }
    }
    double waited = record.seconds() - from;
    int started = fleet.started(refs);
    record.say("started " + started + " of " + JOBS + " jobs " + waited + " s after the storm");
    return started == JOBS ? 0 : waited >= BOUND_SECONDS ? 1 : 2;
  }
}
