import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A night's pipeline: one matching job that still runs, scans that need it, purges that each need all
 * scans, and a roster for each purge. The leader's process is killed and is back 8 s later. Jobs
 * that need nothing are submitted after that.
 */
public final class Chain {
  private static final int SCANS = 100;
  private static final int PURGES = Integer.getInteger("purges", 540);
  private static final int MACHINES = 10;
  private static final int LATER_JOBS = 10;
  private static final int RESTART_SECONDS = 8;
  private static final double BOUND_SECONDS = 90;
  private static final double LAST_SECOND = 118;

  private Chain() {}

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

  private static ObjectNode job(
      String ref, String jobClass, String rank, double vcpus, double guessSeconds, List<String> waits) {
    ObjectNode job =
        Load.job(ref, jobClass, "accueil", "array", rank, 1, vcpus, 0, 12.8, "img-" + jobClass, guessSeconds);
    if (!waits.isEmpty()) {
      ArrayNode list = job.putArray("waits_on");
      waits.forEach(list::add);
    }
    return job;
  }

  /** Four users submit the jobs, each user one after another; returns whether all were accepted. */
  private static boolean submitAll(Cluster cluster, Load load, List<ObjectNode> jobs, long runMillis)
      throws Exception {
    ConcurrentLinkedQueue<ObjectNode> left = new ConcurrentLinkedQueue<>(jobs);
    List<Future<Boolean>> users = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      users.add(cluster.threads.submit(() -> {
        boolean all = true;
        for (ObjectNode job = left.poll(); job != null; job = left.poll()) {
          all &= load.submit(job, runMillis);
        }
        return all;
      }));
    }
    boolean all = true;
    for (Future<Boolean> user : users) {
      all &= user.get();
    }
    return all;
  }

  private static int run(Record record, Cluster cluster, boolean trouble) throws Exception {
    StateService state = new StateService(200, 60, 12, 8, 3, cluster.timer);
    Load load = new Load(cluster, record);
    Fleet fleet = new Fleet(
        List.of(new Fleet.Hull("erable16", 16, 2, 128, 45, List.of("laval", "levis"))), 5, 22, load, record,
        cluster.threads, cluster.timer);
    cluster.serve(state, fleet, 3);
    fleet.addRunning("erable16", "laval", MACHINES / 2);
    fleet.addRunning("erable16", "levis", MACHINES / 2);
    cluster.start(List.of("laval", "levis", "laval"), Sites.LAVAL);
    if (cluster.awaitLeader(state, 20) < 0) {
      record.say("no leader");
      return 2;
    }
    Thread.sleep(1500);
    String matching = "req-000001";
    boolean accepted =
        submitAll(cluster, load, List.of(job(matching, "faceenrol", "standard", 6, 180, List.of())), 180_000);
    List<String> scans = new ArrayList<>();
    List<ObjectNode> jobs = new ArrayList<>();
    for (int i = 0; i < SCANS; i++) {
      scans.add(String.format("req-%06d", 100_000 + i));
      jobs.add(job(scans.get(i), "lapsescan", "low", 1, 15, List.of(matching)));
    }
    accepted &= submitAll(cluster, load, jobs, 15_000);
    record.say("accepted with the scans: " + load.accepted.size());
    jobs.clear();
    for (int i = 0; i < PURGES; i++) {
      jobs.add(job(String.format("req-%06d", 200_000 + i), "lockerpurge", "low", 2, 25, scans));
    }
    accepted &= submitAll(cluster, load, jobs, 25_000);
    record.say("accepted with the purges: " + load.accepted.size());
    jobs.clear();
    for (int i = 0; i < PURGES; i++) {
      jobs.add(job(
          String.format("req-%06d", 300_000 + i), "rosterbuild", "urgent", 1, 8,
          List.of(String.format("req-%06d", 200_000 + i))).put("due_s", 900.0 - i));
    }
    accepted &= submitAll(cluster, load, jobs, 8_000);
    record.say("accepted with the rosters: " + load.accepted.size() + ", leader " + state.leader());
    if (!accepted || state.leader() == null) {
      return 2;
    }
    int leader = Integer.parseInt(state.leader().substring("rung-".length()));
    Future<?> back = null;
    if (trouble) {
      record.say("rung-" + leader + " is killed");
      cluster.processes.get(leader).destroyForcibly().waitFor();
      back = cluster.timer.schedule(
          () -> {
            cluster.restart(leader);
            record.say("rung-" + leader + " is back");
            return null;
          },
          RESTART_SECONDS, TimeUnit.SECONDS);
    }
    List<String> later = new ArrayList<>();
    jobs.clear();
    for (int i = 0; i < LATER_JOBS; i++) {
      later.add(String.format("req-%06d", 400_000 + i));
      jobs.add(job(later.get(i), "faceenrol", "standard", 6, 10, List.of()));
    }
    if (!submitAll(cluster, load, jobs, 10_000)) {
      record.say("the later jobs were not accepted within 60 s");
      return 2;
    }
    if (back != null) {
      back.get();
    }
    double from = record.seconds();
    record.say("accepted with the later jobs: " + load.accepted.size() + "; running tasks: " + fleet.running()
        + ", machines up with room: " + MACHINES);
    String lastLeader = "";
    int leaders = 0;
    int rounds = 0;
    while (record.seconds() < from + BOUND_SECONDS && record.seconds() < LAST_SECOND) {
      Thread.sleep(250);
      String now = String.valueOf(state.leader());
      if (!now.equals(lastLeader)) {
        record.line("leader's key: " + now);
        leaders += now.equals("null") ? 0 : 1;
        lastLeader = now;
      }
      if (rounds++ % 20 == 0) {
        for (int node = 0; node < 3; node++) {
          int asked = node;
          cluster.threads.execute(() -> poll(cluster, record, asked, later.get(0)));
        }
      }
      if (fleet.started(later) == LATER_JOBS) {
        record.say("all later jobs were started after " + (record.seconds() - from) + " s");
        return 0;
      }
    }
    double waited = record.seconds() - from;
    int started = fleet.started(later);
    record.say("started " + started + " of " + LATER_JOBS + " later jobs after " + waited
        + " s; leaders in this time: " + leaders);
    for (int node = 0; node < 3; node++) {
      for (String line : cluster.logLines(node, "Election state changed")) {
        record.line("rung-" + node + " " + line);
      }
      for (String line : cluster.logLines(node, "paused or overloaded")) {
        record.line("rung-" + node + " " + line);
      }
    }
    if (started == LATER_JOBS) {
      return 0;
    }
    return waited >= BOUND_SECONDS ? 1 : 2;
  }

  private static void poll(Cluster cluster, Record record, int node, String ref) {
    try {
      HttpResponse<String> answer = cluster.request(node, "GET", "/v1/jobs/" + ref, null, 2);
      record.line("poll " + ref + " at rung-" + node + " "
          + (answer == null ? "none" : answer.statusCode() + " " + answer.body()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
