import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Are final answers delivered although the receiver is killed twice and the leader once? */
final class Case5 {
  private static final int FIRST_JOBS = 108;
  private static final int BURST_JOBS = 120;
  private static final int LATER_JOBS = 160;
  private static final int USERS = 16;

  /** The position after which the receiver is killed for the second time. */
  private static final int CRASH_AFTER = 103;

  private Case5() {}

  public static void main(String[] arguments) throws Exception {
    Harness.run(arguments, Case5::run);
  }

  private static String ref(int number) {
    return String.format("req-%06d", number);
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    Controllers controllers = new Controllers(record, folder, "deploy/delivery.toml", 3);
    Files.writeString(
        controllers.workFolder().resolve("delivery.key"),
        Base64.getEncoder().encodeToString(new byte[32]));
    int[] ports = Http.freePorts(3);
    // The first machines boot, so the jobs wait.
    Fleet fleet = new Fleet(record, controllers.frontPorts, 3, 22);
    fleet.sku = "erable16";
    fleet.vcpus = 16;
    fleet.cards = 2;
    fleet.memoryGb = 128;
    fleet.capacity = 49;
    fleet.bootMillis = 45_000;
    Http.serve(ports[0], fleet);
    Receiver receiver = new Receiver(record, ports[2]);
    receiver.start();
    CountDownLatch burst = new CountDownLatch(1);
    Store store = new Store(200, 60, 8, 12);
    Http.serve(
        ports[1],
        (method, path, body) -> {
          Thread.sleep(2);
          Http.Answer answer = store.handle(method, path, body);
          if (path.equals("/multi")) {
            recordBacklog(record, body, answer);
            if (trouble && body.contains("{\"write\":\"delivered/")) {
              record.add("state: progress of the subscriber written, answered after 300 ms");
              if (receiver.position() >= 100) {
                burst.countDown();
              }
              Thread.sleep(300);
            }
          }
          return answer;
        });
    controllers.start(
        ports[0], new int[] {ports[1], ports[1], ports[1]}, Deployments.laval());
    int leader = controllers.awaitLeader(20);
    if (leader < 0) {
      throw new IllegalStateException("no leader");
    }
    subscribe(controllers, ports[2]);

    int jobs = FIRST_JOBS + BURST_JOBS;
    submitAll(record, controllers, leader, 1, jobs);
    if (trouble) {
      receiver.crash();
    }
    for (int i = 1; i <= FIRST_JOBS; i++) {
      cancel(record, controllers, leader, i);
    }
    if (trouble) {
      receiver.crashAfter(CRASH_AFTER);
      receiver.start();
      if (!burst.await(30, TimeUnit.SECONDS)) {
        throw new IllegalStateException("the receiver did not get to the second crash");
      }
    } else {
      Harness.await(
          "the first answers are recorded", 20, () -> receiver.position() >= FIRST_JOBS);
    }
    cancelTogether(record, controllers, leader, FIRST_JOBS + 1, jobs);
    submitAll(record, controllers, leader, jobs + 1, jobs + LATER_JOBS);
    record.say("later jobs are accepted");
    Thread.sleep(2_000);
    if (trouble) {
      controllers.signal(leader, "KILL");
      receiver.start();
      Thread.sleep(8_000);
      controllers.launch(leader);
    }
    Harness.holdsWithin(30, () -> receiver.position() >= jobs);
    Thread.sleep(1_000);
    return judge(record, receiver, jobs);
  }

  private static void recordBacklog(Record record, String body, Http.Answer answer) {
    for (String verb : List.of("write", "remove")) {
      int at = body.indexOf("{\"" + verb + "\":\"backlog/");
      if (at >= 0) {
        String key = body.substring(at).split("\"")[3];
        record.add("state: " + verb + " " + key + " " + answer.status());
      }
    }
  }

  private static boolean judge(Record record, Receiver receiver, int jobs) {
    Map<String, Integer> answers = receiver.answers();
    int missing = 0;
    int repeated = 0;
    for (int i = 1; i <= jobs; i++) {
      int count = answers.getOrDefault(ref(i), 0);
      missing += count == 0 ? 1 : 0;
      repeated += count > 1 ? 1 : 0;
    }
    record.say(
        jobs + " jobs were confirmed as cancelled; the receiver has recorded the final answers of "
            + answers.size() + ", of " + missing + " never, of " + repeated
            + " more than once; told as lost: " + receiver.lost());
    return missing + repeated == 0;
  }

  private static void subscribe(Controllers controllers, int receiverPort) throws Exception {
    String secret = "whsec_" + Base64.getEncoder().encodeToString(new byte[32]);
    String networks = "{\"networks\":[\"127.0.0.1\"]}";
    String subscription =
        Json.write(
            Json.map(
                "url", "http://127.0.0.1:" + receiverPort + "/hook", "secrets", List.of(secret)));
    Harness.await(
        "the networks are stored",
        10,
        () -> admin(controllers, "/admin/v1/networks", networks) == 200);
    Harness.await(
        "the subscription is stored",
        10,
        () -> admin(controllers, "/admin/v1/subscriptions/desk", subscription) / 100 == 2);
  }

  private static int admin(Controllers controllers, String path, String body) {
    return Http.call("PUT", controllers.clusterPorts[0], path, body, 4_000).status();
  }

  private static String job(int number) {
    Map<String, Object> job = Deployments.job(ref(number), "array", 1, 6, 1, 48);
    job.put("owner", "accueil");
    job.put("jobclass", "faceenrol");
    return Json.write(job);
  }

  /** Some users submit these jobs. */
  private static void submitAll(
      Record record, Controllers controllers, int to, int first, int last) throws Exception {
    CountDownLatch done = new CountDownLatch(USERS);
    for (int i = 0; i < USERS; i++) {
      int user = i;
      Http.THREADS.execute(
          () -> {
            for (int number = first + user; number <= last; number += USERS) {
              call(record, controllers, to, "/v1/jobs", job(number), "submit " + ref(number));
            }
            done.countDown();
          });
    }
    if (!done.await(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("not all submissions were answered");
    }
  }

  private static void cancel(Record record, Controllers controllers, int to, int number) {
    String path = "/v1/jobs/" + ref(number) + "/cancel";
    call(record, controllers, to, path, "", "cancel " + ref(number));
  }

  /** Users call off these jobs within a fifth of a second. */
  private static void cancelTogether(
      Record record, Controllers controllers, int to, int first, int last) throws Exception {
    List<Integer> numbers = new ArrayList<>();
    for (int i = first; i <= last; i++) {
      numbers.add(i);
    }
    Collections.shuffle(numbers, new Random(4));
    record.say("users cancel " + numbers.size() + " jobs");
    CountDownLatch done = new CountDownLatch(numbers.size());
    for (int i = 0; i < numbers.size(); i++) {
      int number = numbers.get(i);
      Http.THREADS.execute(
          () -> {
            cancel(record, controllers, to, number);
            done.countDown();
          });
      if (i % USERS == USERS - 1) {
        Thread.sleep(20);
      }
    }
    if (!done.await(40, TimeUnit.SECONDS)) {
      throw new IllegalStateException("not all cancellations were answered");
    }
    record.say("all are confirmed as cancelled");
  }

  /** Sends a request until it gets 200 or 201, as users do. */
  private static void call(
      Record record, Controllers controllers, int to, String path, String body, String what) {
    for (int attempt = 0; attempt < 30; attempt++) {
      Http.Answer answer = Http.call("POST", controllers.frontPorts[to], path, body, 5_000);
      record.add(what + ": " + answer.status() + " " + answer.body());
      if (answer.status() / 100 == 2) {
        return;
      }
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
