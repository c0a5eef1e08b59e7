import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Do the controllers survive the crash of one of them while many tasks run? */
final class Case4 {
  private static final String HUGE = "req-000001";
  private static final int TASKS = 90_000;
  private static final int MACHINES = 131;

  /** The platform starts a controller again this long after its end. */
  private static final int BACK_SECONDS = 8;

  /** The controllers that have ended and are not back yet. */
  private static final Set<Integer> BACK = ConcurrentHashMap.newKeySet();

  private Case4() {}

  public static void main(String[] arguments) throws Exception {
    Harness.run(arguments, Case4::run);
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
    fleet.capacityByYard.put("laval", 57);
    fleet.capacityByYard.put("levis", 74);
    fleet.recordTasks = false;
    Http.serve(ports[0], fleet);
    Http.serve(ports[1], new Store(200, 60, 8, 12));
    controllers.start(ports[0], new int[] {ports[1], ports[1], ports[1]},
        Deployments.laval().replace("[\"wattala\"]", "[\"laval\", \"levis\"]"));
    int leader = controllers.awaitLeader(20);
    if (leader < 0) {
      throw new IllegalStateException("no leader");
    }
    for (int i = 0; i < MACHINES; i++) {
      // 49 ordinary and 8 spot machines in one zone, 64 and 10 in the other.
      fleet.addMachine(i < 57 ? "laval" : "levis", i < 8 || i >= 57 && i < 67);
    }
    Thread.sleep(8_000);
    fleet.runMillis.put(HUGE, 0L);
    Map<String, Object> job = Deployments.job(HUGE, "service", TASKS, 0.02, 0, 0.15);
    job.put("owner", "accueil");
    job.put("jobclass", "badgegate");
    job.put("rank", "standard");
    job.put("loaners", true);
    Harness.await(
        HUGE + " is accepted",
        20,
        () -> {
          Http.Answer answer =
              Http.call("POST", controllers.frontPorts[leader], "/v1/jobs", Json.write(job), 5_000);
          record.add("submit " + Json.write(job) + ": " + answer.status() + " " + answer.body());
          return answer.status() / 100 == 2;
        });
    Harness.holdsWithin(45, () -> fleet.startsOf(HUGE) >= TASKS);
    record.say(
        String.format(
            "%d of %d tasks started on %d machines after %.0f s; longest report %d bytes, longest"
                + " answer %d, longest command %d",
            fleet.startsOf(HUGE), TASKS, MACHINES, record.seconds(), fleet.largestReport,
            fleet.largestAnswer, fleet.largestCommand));
    if (fleet.largestReport > 64 * 1024) {
      throw new IllegalStateException("the stand-in's own report is too long");
    }
    int ended = countEnded(record, controllers, 2);
    if (trouble) {
      controllers.signal(leader, "KILL");
      launchLater(controllers, leader);
    }
    int answered = 0;
    int asked = 0;
    long until = System.nanoTime() + 40_000_000_000L;
    while (System.nanoTime() < until) {
      ended += countEnded(record, controllers, 1);
      Http.Answer answer =
          Http.call("GET", controllers.frontPorts[asked % 3], "/v1/jobs/" + HUGE, null, 2_000);
      record.add("ask rung-" + asked % 3 + ": " + answer.status() + " " + answer.body());
      asked++;
      answered += answer.status() == 200 ? 1 : 0;
    }
    record.say(
        "controllers that ended by themselves: " + ended + "; questions about the job answered: "
            + answered + " of " + asked + "; leader: " + controllers.leader());
    return ended == 0;
  }

  private static void launchLater(Controllers controllers, int index) {
    BACK.add(index);
    Http.THREADS.execute(
        () -> {
          try {
            Thread.sleep(BACK_SECONDS * 1_000L);
            controllers.launch(index);
            BACK.remove(index);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Starts controllers that have ended again, as the platform does; returns how many had. */
  private static int countEnded(Record record, Controllers controllers, int seconds)
      throws Exception {
    int ended = 0;
    Thread.sleep(seconds * 1_000L);
    for (int i = 0; i < controllers.frontPorts.length; i++) {
      if (!BACK.contains(i) && !controllers.isAlive(i)) {
        ended++;
        record.say("rung-" + i + " has ended by itself, exit code " + controllers.exitCode(i));
        launchLater(controllers, i);
      }
    }
    return ended;
  }
}
