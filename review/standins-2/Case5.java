import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Do jobs get machines of one zone while a job bound to another zone waits, which is full? */
final class Case5 {
  private static final String BOUND = "req-000001";
  private static final int OTHERS = 8;
  private static final double LIMIT_SECONDS = 85;

  private Case5() {}

  public static void main(String[] arguments) throws Exception {
    Harness.run(arguments, Case5::run);
  }

  private static String ref(int number) {
    return String.format("req-%06d", number);
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    Controllers controllers = new Controllers(record, folder, "deploy/service.toml", 3);
    controllers.areas = List.of("laval", "levis");
    int[] ports = Http.freePorts(2);
    Fleet fleet = new Fleet(record, controllers.frontPorts, 3, 22);
    fleet.sku = "erable16";
    fleet.vcpus = 16;
    fleet.cards = 2;
    fleet.memoryGb = 128;
    fleet.yards = List.of("laval", "levis");
    fleet.capacity = 60;
    if (trouble) {
      fleet.capacityByYard.put("laval", 0);
    }
    Http.serve(ports[0], fleet);
    Http.serve(ports[1], new Store(200, 60, 8, 12));
    controllers.start(
        ports[0],
        new int[] {ports[1], ports[1], ports[1]},
        Deployments.laval().replace("[\"wattala\"]", "[\"laval\", \"levis\"]"));
    int leader = controllers.awaitLeader(20);
    if (leader < 0) {
      throw new IllegalStateException("no leader");
    }
    submit(record, controllers, leader, job(1, "laval"));
    for (int i = 2; i <= 1 + OTHERS; i++) {
      submit(record, controllers, leader, job(i, null));
    }
    double from = record.seconds();
    boolean started =
        Harness.holdsWithin(
            LIMIT_SECONDS,
            () -> {
              Thread.sleep(500);
              return startedOthers(fleet) > 0;
            });
    record.say(
        String.format(
            "%.0f s after the jobs were accepted: %d tasks were started, machines %s",
            record.seconds() - from, fleet.starts(), fleet.machines.keySet()));
    if (!started) {
      // Shows what held the others back; does not count.
      Http.Answer answer =
          Http.call(
              "POST", controllers.frontPorts[leader], "/v1/jobs/" + BOUND + "/cancel", "", 5_000);
      record.say("cancel " + BOUND + ": " + answer.status() + " " + answer.body());
      Harness.holdsWithin(15, () -> startedOthers(fleet) == OTHERS);
      record.say(
          startedOthers(fleet) + " of " + OTHERS + " other jobs have started since, machines "
              + fleet.machines.keySet());
    }
    return started;
  }

  private static long startedOthers(Fleet fleet) {
    long count = 0;
    for (int i = 2; i <= 1 + OTHERS; i++) {
      count += fleet.startsOf(ref(i)) > 0 ? 1 : 0;
    }
    return count;
  }

  private static Map<String, Object> job(int number, String yard) {
    Map<String, Object> job = Deployments.job(ref(number), "service", 1, 5, 1, 38);
    job.put("owner", "accueil");
    job.put("jobclass", "badgegate");
    job.put("yard", yard);
    return job;
  }

  private static void submit(
      Record record, Controllers controllers, int to, Map<String, Object> job) throws Exception {
    Harness.await(
        job.get("ref") + " is accepted",
        30,
        () -> {
          Http.Answer answer =
              Http.call("POST", controllers.frontPorts[to], "/v1/jobs", Json.write(job), 5_000);
          record.add("submit " + Json.write(job) + ": " + answer.status() + " " + answer.body());
          return answer.status() / 100 == 2;
        });
  }
}
