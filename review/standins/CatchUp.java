import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One controller is silent while jobs come: its network holds what it sends and what is sent to it. */
public final class CatchUp {
  private static final int SILENT_SECONDS = 90;
  /** Arrays a second: four times the 0.83 of the site file. */
  private static final double ARRAYS_PER_SECOND = 3.33;
  /** One-task jobs: 800, 15 a second. */
  private static final int GUEST_JOBS = 800;
  private static final double GUESTS_PER_SECOND = 15;
  private static final long GUEST_MILLIS = 150_000;
  /** Large arrays that fill idle room. */
  private static final int FILLS = 6;
  private static final int MACHINES = 1000;
  private static final int SERVICES = 350;
  private static final double LAST_SECOND = 117.5;

  private CatchUp() {}

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

  private static String name(int number) {
    return String.format("req-%06d", number);
  }

  private static void submit(Cluster cluster, Load load, ObjectNode job, long millis) {
    cluster.threads.execute(() -> {
      try {
        load.submit(job, millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  private static int run(Record record, Cluster cluster, boolean trouble) throws Exception {
    StateService state = new StateService(100, 40, 32, 32, 3, cluster.timer);
    Load load = new Load(cluster, record);
    Fleet fleet = new Fleet(
        List.of(new Fleet.Hull("kelani24", 24, 4, 192, 25, List.of("wattala"))), 6, 36, load, record,
        cluster.threads, cluster.timer);
    cluster.serve(state, fleet, 3);
    cluster.addLinks(fleet);
    fleet.addRunning("kelani24", "wattala", MACHINES);
    cluster.start(List.of("wattala", "wattala", "wattala"), Sites.colombo());
    int leader = cluster.awaitLeader(state, 20);
    if (leader < 0) {
      record.say("no leader");
      return 2;
    }
    Thread.sleep(1_000);
    Random random = new Random(1);
    AtomicInteger number = new AtomicInteger();
    int[] sizes = {2, 2, 2, 6, 6, 12};
    for (int i = 0; i < SERVICES; i++) {
      int n = number.incrementAndGet();
      submit(cluster, load, Load.job(
          name(n), "beaconmap", String.format("harbourdesk-%02d", n % 16), "service", "prod",
          sizes[n % 6], 4, 1, 29, "map-" + n % 14, 0), -1);
      Thread.sleep(10);
    }
    cluster.timer.scheduleAtFixedRate(
        () -> {
          int n = number.incrementAndGet();
          int tasks = (int) Math.max(1, Math.min(180, 25 * Math.exp(0.843 * random.nextGaussian())));
          long run = (long) Math.min(120_000, 35_000 * Math.exp(0.5 * random.nextGaussian()));
          submit(cluster, load, Load.job(
              name(n), "pingdecode", String.format("harbourdesk-%02d", n % 16), "array",
              "standard", tasks, 5, 1, 36, "ping-" + n % 16, run / 1000.0), run);
        },
        0, (long) (1e6 / ARRAYS_PER_SECOND), TimeUnit.MICROSECONDS);
    for (int i = 0; i < FILLS; i++) {
      int n = number.incrementAndGet();
      long run = 300_000 + random.nextInt(60_000);
      submit(cluster, load, Load.job(
          name(n), "swellfill", "harbourdesk-01", "array", "low", 853, 6, 0, 43.2, "swell", 300), run);
    }
    AtomicInteger guests = new AtomicInteger();
    cluster.timer.scheduleAtFixedRate(
        () -> {
          if (guests.incrementAndGet() > GUEST_JOBS) {
            return;
          }
          int n = number.incrementAndGet();
          submit(cluster, load, Load.job(
              name(n), "buoyburst", "harbourdesk-00", "array", "low", 1, 0.25, 0, 1.8,
              "buoy", GUEST_MILLIS / 1000.0), GUEST_MILLIS);
        },
        0, (long) (1e6 / GUESTS_PER_SECOND), TimeUnit.MICROSECONDS);
    Thread.sleep(5_000);
    int follower = (Integer.parseInt(state.leader().substring(5)) + 1) % 3;
    record.say("silent from now on: rung-" + follower);
    if (trouble) {
      cluster.silence(follower, true);
    }
    for (int i = 0; i < SILENT_SECONDS / 5; i++) {
      Thread.sleep(5000);
      record.say("accepted " + load.accepted.size() + " changes " + state.changes + " bytes " + state.changedBytes
          + " requests " + state.requests + " 429 " + state.overLimit + " leader " + state.leader());
    }
    if (trouble) {
      cluster.silence(follower, false);
    }
    record.say("its network is back");
    for (int i = 0; i < 150 && record.seconds() < LAST_SECOND; i++) {
      Thread.sleep(100);
      for (int node = 0; node < 3; node++) {
        if (!cluster.processes.get(node).isAlive()) {
          record.say("rung-" + node + " ended by itself with code " + cluster.processes.get(node).exitValue()
              + ", largest answer " + state.largestFollow[node]);
          cluster.logLines(node, "rror").forEach(record::say);
          return 1;
        }
      }
    }
    record.say("largest answer " + state.largestFollow[follower]);
    return 0;
  }
}
