import java.nio.file.Path;
import java.util.Map;

/** Does an answer to a worker stay within 64 KiB when a job of many small tasks is cancelled? */
final class Case6 {
  private static final int MAX_LINE = 64 * 1024;
  private static final int SMALL_TASKS = 950;
  private static final String SMALL = "req-000001";
  private static final String SERVICE = "req-000002";

  private Case6() {}

  public static void main(String[] arguments) throws Exception {
    Harness.run(arguments, Case6::run);
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    Controllers controllers = new Controllers(record, folder, "deploy/service.toml", 3);
    int[] ports = Http.freePorts(2);
    Fleet fleet = new Fleet(record, controllers.frontPorts, 3, 36);
    fleet.capacity = 1;
    Http.serve(ports[0], fleet);
    Http.serve(ports[1], new Store(100, 40, 32, 32));
    controllers.start(
        ports[0], new int[] {ports[1], ports[1], ports[1]}, Deployments.colombo());
    int leader = controllers.awaitLeader(20);
    if (leader < 0) {
      throw new IllegalStateException("no leader");
    }
    fleet.runMillis.put(SERVICE, 0L);
    Map<String, Object> service = Deployments.job(SERVICE, "service", 1, 4, 1, 29);
    service.put("owner", "harbourdesk-01");
    submit(record, controllers, leader, service);
    Harness.await("the service runs", 20, () -> fleet.onMachines(SERVICE).size() == 1);
    fleet.runMillis.put(SMALL, 0L);
    submit(
        record, controllers, leader, Deployments.job(SMALL, "array", SMALL_TASKS, 0.02, 0, 0.1));
    Harness.await(
        "all small tasks run", 40, () -> fleet.onMachines(SMALL).size() == SMALL_TASKS);
    Thread.sleep(5_000);
    record.say(
        SMALL_TASKS + " small tasks and the service run on one machine; longest report "
            + fleet.largestReport + " bytes, longest answer " + fleet.largestAnswer);
    if (trouble) {
      record.say("the user cancels " + SMALL);
      String path = "/v1/jobs/" + SMALL + "/cancel";
      Harness.holdsWithin(
          50,
          () -> {
            Http.Answer answer =
                Http.call("POST", controllers.frontPorts[leader], path, "", 5_000);
            record.add("cancel " + SMALL + ": " + answer.status() + " " + answer.body());
            if (answer.status() != 200) {
              Thread.sleep(1_000);
            }
            return answer.status() == 200;
          });
    }
    Thread.sleep(5_000);
    record.say(
        "longest line of an answer to a report: " + fleet.largestAnswer
            + " bytes, longest body of a direct command: " + fleet.largestCommand
            + "; dropped answers: " + fleet.refusedAnswers
            + ", refused commands: " + fleet.refusedCommands
            + "; sessions of the worker: " + fleet.sessions()
            + "; starts of the service: " + fleet.startsOf(SERVICE)
            + "; longest report: " + fleet.largestReport);
    if (fleet.largestReport > MAX_LINE) {
      throw new IllegalStateException("the stand-in's own report is too long");
    }
    return fleet.largestAnswer <= MAX_LINE && fleet.largestCommand <= MAX_LINE;
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
