import java.nio.file.Path;
import java.util.Map;

/** Does a job that takes cards and no CPU start on a machine whose CPUs are all used? */
final class Case7 {
  private static final String FULL = "req-000001";
  private static final String CARDS = "req-000002";
  private static final int MACHINES = 30;
  private static final double LIMIT_SECONDS = 91;

  private Case7() {}

  public static void main(String[] arguments) throws Exception {
    Harness.run(arguments, Case7::run);
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    Controllers controllers = new Controllers(record, folder, "deploy/service.toml", 3);
    int[] ports = Http.freePorts(2);
    Fleet fleet = new Fleet(record, controllers.frontPorts, 3, 36);
    fleet.capacity = MACHINES;
    Http.serve(ports[0], fleet);
    Http.serve(ports[1], new Store(100, 40, 32, 32));
    controllers.start(
        ports[0], new int[] {ports[1], ports[1], ports[1]}, Deployments.colombo());
    int leader = controllers.awaitLeader(20);
    if (leader < 0) {
      throw new IllegalStateException("no leader");
    }
    fleet.runMillis.put(FULL, 0L);
    Map<String, Object> full = Deployments.job(FULL, "service", MACHINES, trouble ? 24 : 23, 0, 29);
    full.put("owner", "harbourdesk-01");
    submit(record, controllers, leader, full);
    Harness.await("the service runs", 20, () -> fleet.onMachines(FULL).size() == MACHINES);
    fleet.runMillis.put(CARDS, 5_000L);
    submit(record, controllers, leader, Deployments.job(CARDS, "array", 1, 0, 1, 4));
    double acceptedAt = record.seconds();
    boolean started =
        Harness.holdsWithin(
            LIMIT_SECONDS,
            () -> {
              Thread.sleep(1_000);
              Http.Answer answer =
                  Http.call(
                      "GET", controllers.frontPorts[leader], "/v1/jobs/" + CARDS, null, 2_000);
              record.add("ask " + CARDS + ": " + answer.status() + " " + answer.body());
              return fleet.startsOf(CARDS) > 0;
            });
    record.say(
        String.format(
            "%s %s within %.0f s; %d machines, 4 of 4 cards and 163 of 192 GB free on each",
            CARDS, started ? "started" : "did not start", record.seconds() - acceptedAt,
            fleet.machines.size()));
    return started;
  }

  private static void submit(
      Record record, Controllers controllers, int to, Map<String, Object> job) throws Exception {
    Harness.await(
        job.get("ref") + " is accepted",
        30,
        () -> {
          Http.Answer answer =
              Http.call("POST", controllers.frontPorts[to], "/v1/jobs", Json.write(job), 5_000);
          record.add("submit " + job.get("ref") + ": " + answer.status() + " " + answer.body());
          return answer.status() / 100 == 2;
        });
  }
}
