package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.ControllerNode;
import io.pineladder.admin.Metrics;
import io.pineladder.api.RequestRouter;
import io.pineladder.delivery.DeliveryContext;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.BackgroundExecutor;
import io.pineladder.net.EventLoop;
import io.pineladder.snapshot.SnapshotStore;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Several controllers in virtual time with a fake key-value store and a fake fleet, on a network
 * that can drop, delay and duplicate messages.
 */
abstract class SimulatedCluster {
  static final List<String> API_ADDRESSES =
      List.of("10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080");
  static final String STORE_ADDRESS = "10.2.0.1:2379";

  /** A controller slot; each restart creates a new node in it. */
  static final class Controller {
    final int index;
    boolean[] alive = new boolean[1];
    ControllerNode node;

    Controller(int index) {
      this.index = index;
    }
  }

  final List<Controller> controllers = new ArrayList<>();

  /** The API address of each controller. */
  List<String> apiAddresses = API_ADDRESSES;

  SimulatedWorld world;
  FakeKeyValueStore store;
  FakeFleet fleet;
  SafetyRules rules;
  StarvationCheck starvation;
  int lastJobNumber;
  int failedRequests;

  /**
   * Whether the store may lose data in this simulation. If not, a controller that starts a rebuild
   * fails the test.
   */
  boolean allowsDataLoss;

  /** Observes all traffic of the simulated network; must be set before the simulation begins. */
  TrafficObserver trafficObserver = TrafficObserver.NONE;

  /** Snapshot stores by controller index; empty unless a test adds some. */
  final Map<Integer, SnapshotStore> snapshotStores = new HashMap<>();

  static final BackgroundExecutor IMMEDIATE =
      new BackgroundExecutor() {
        @Override
        public <T> void run(Supplier<T> work, Consumer<T> then) {
          then.accept(work.get());
        }
      };

  /** An in-memory snapshot store that survives restarts of its controller. */
  static final class InMemorySnapshotStore implements SnapshotStore {
    final Map<String, byte[]> files = new TreeMap<>();

    @Override
    public void loadAll(Consumer<Map<String, byte[]>> onLoaded) {
      onLoaded.accept(new HashMap<>(files));
    }

    @Override
    public void replace(String name, byte[] bytes) {
      files.put(name, bytes);
    }

    @Override
    public void append(String name, byte[] bytes) {
      ByteArrayOutputStream contents = new ByteArrayOutputStream();
      contents.writeBytes(files.getOrDefault(name, new byte[0]));
      contents.writeBytes(bytes);
      files.put(name, contents.toByteArray());
    }

    @Override
    public void remove(String name) {
      files.remove(name);
    }

    @Override
    public long failures() {
      return 0;
    }
  }

  void begin(long seed) {
    world = new SimulatedWorld(seed);
    world.trafficObserver = trafficObserver;
    rules = new SafetyRules(world, settings(0).teams());
    store = new FakeKeyValueStore(world, 12, 8192);
    fleet = new FakeFleet(world, rules, apiAddresses);
    starvation = new StarvationCheck(world, rules, fleet, settings(0).teams());
    store.onChange = this::onStoreChange;
    if (!allowsDataLoss) {
      rules.machinesHolding = fleet::machinesHolding;
      rules.placementLookup = store::hasPlacement;
    }
    world.serve(STORE_ADDRESS, store);
    world.serve(FakeFleet.ADDRESS, fleet);
    for (int i = 0; i < apiAddresses.size(); i++) {
      controllers.add(new Controller(i));
      start(controllers.get(i));
    }
    runChecks();
  }

  void runChecks() {
    rules.checkCancelledJobs();
    rules.checkAcceptedJobs();
    starvation.check();
    world.after(500, this::runChecks);
  }

  Settings settings(int index) {
    String host = "10.0.0." + (index + 1);
    String text =
        SettingsReaderTest.VALID_SETTINGS
            .replace("member = \"rung-0\"\narea", "member = \"rung-" + index + "\"\narea")
            .replace("front = \"10.0.0.1:", "front = \"" + host + ":")
            .replace("cluster_listen = \"10.0.0.1:", "cluster_listen = \"" + host + ":");
    int peer = 0;
    for (int i = 1; i <= 2; i++) {
      if (peer == index) {
        peer++;
      }
      text =
          text.replace(
              "member = \"rung-"
                  + i
                  + "\"\narea = \""
                  + (i == 1 ? "b" : "a")
                  + "\"\naddress = \"10.0.0."
                  + (i + 1)
                  + ":8081\"",
              "member = \"RUNG-"
                  + peer
                  + "\"\narea = \"a\"\naddress = \"10.0.0."
                  + (peer + 1)
                  + ":8081\"");
      peer++;
    }
    try {
      return SettingsReader.parse(text.replace("RUNG-", "rung-"));
    } catch (SettingsReader.BadSettingsException e) {
      throw new AssertionError(e);
    }
  }

  void start(Controller controller) {
    boolean[] alive = {true};
    controller.alive = alive;
    Settings settings = settings(controller.index);
    double rate = 1 + (world.random.nextDouble() - 0.5) * 0.001;
    String host = "10.0.0." + (controller.index + 1);
    EventLoop eventLoop = world.eventLoop(host, () -> alive[0], rate);
    AsyncHttpClient httpClient = world.httpClient(host, () -> alive[0]);
    ControllerNode node =
        new ControllerNode(
            settings,
            eventLoop,
            httpClient,
            "nonce-" + world.random.nextLong(),
            deliveryContext(host),
            snapshotStores.get(controller.index),
            IMMEDIATE,
            version(controller.index));
    controller.node = node;
    RequestRouter router = new RequestRouter(node, new Metrics());
    world.serve(settings.apiAddress(), router::handle);
    world.serve(settings.clusterAddress(), router::handleCluster);
    node.start();
  }

  /** The cluster version that the controller's software supports. */
  ClusterVersion version(int index) {
    return new ClusterVersion();
  }

  /** Called after a key in the key-value store has changed. */
  void onStoreChange(String key) {}

  /** Called when an answer shows a later state of the job than any answer before it. */
  void onStateAdvanced(SafetyRules.TrackedJob job) {}

  /** The delivery context of the host, or null if it delivers no notifications. */
  DeliveryContext deliveryContext(String host) {
    return null;
  }

  void kill(Controller controller, long downtimeMillis) {
    if (!controller.alive[0]) {
      return;
    }
    controller.alive[0] = false;
    world.stop(apiAddresses.get(controller.index));
    world.stop("10.0.0." + (controller.index + 1) + ":8081");
    world.after(downtimeMillis, () -> start(controller));
  }

  ObjectNode jobSpec(String shape, int tasks, String owner) {
    ObjectNode spec =
        Json.object()
            .put("ref", String.format("req-%06d", ++lastJobNumber))
            .put("jobclass", shape.equals("service") ? "serve" : "work")
            .put("owner", owner)
            .put("shape", shape)
            .put(
                "rank",
                shape.equals("service") ? "prod" : lastJobNumber % 3 == 0 ? "low" : "standard")
            .put("pieces", tasks)
            .put("vcpus", 2.0)
            .put("cards", 1.0)
            .put("memory_gb", 4.0)
            .put("bundle", "img-" + lastJobNumber % 3)
            .put("image_gb", 2.0)
            .put("together", lastJobNumber % 5 == 0)
            .put("spread", lastJobNumber % 5 == 1)
            .put("loaners", !shape.equals("service") && lastJobNumber % 2 == 0)
            .put("guess_s", shape.equals("service") ? 0 : 5 + lastJobNumber % 20)
            .put("mark_every_s", 0.0)
            .put("stow_s", 0.0);
    return spec;
  }

  /** Registers a job for the checks, with the current time as its submission time. */
  SafetyRules.TrackedJob trackJob(ObjectNode spec) {
    SafetyRules.TrackedJob job = new SafetyRules.TrackedJob(spec.get("ref").asText(), spec);
    rules.jobs.put(job.id, job);
    job.submittedAt = world.now();
    return job;
  }

  SafetyRules.TrackedJob submit(ObjectNode spec) {
    SafetyRules.TrackedJob job = trackJob(spec);
    send(job, "POST", "/v1/jobs", Json.bytes(spec));
    return job;
  }

  void cancel(SafetyRules.TrackedJob job) {
    job.cancelRequested = true;
    send(job, "POST", "/v1/jobs/" + job.id + "/cancel", null);
  }

  void send(SafetyRules.TrackedJob job, String method, String path, byte[] body) {
    String node = apiAddresses.get(world.random.nextInt(apiAddresses.size()));
    boolean poll = method.equals("GET");
    boolean submission = path.equals("/v1/jobs");
    send(
        job,
        node,
        method,
        path,
        body,
        succeeded -> {
          if (!succeeded && !poll && !job.invalid) {
            world.after(1_000, () -> send(job, method, path, body));
          } else if (submission && succeeded && !job.polled) {
            job.polled = true;
            world.after(2_000, () -> poll(job));
          }
        });
  }

  /**
   * Sends one request about a job to one node; {@code onResult} receives whether it was answered
   * with 200 or 201.
   */
  void send(
      SafetyRules.TrackedJob job,
      String node,
      String method,
      String path,
      byte[] body,
      Consumer<Boolean> onResult) {
    SafetyRules.ReportedState before = job.reportedState();
    Duration timeout = Duration.ofSeconds(method.equals("GET") ? 2 : 5);
    world
        .httpClient("user", () -> true)
        .call(
            new AsyncHttpClient.Request(node, method, path, body, timeout),
            reply -> {
              boolean succeeded = reply.hasStatus(200) || reply.hasStatus(201);
              try {
                String state =
                    succeeded ? Json.parseObject(reply.body()).get("status").asText() : null;
                if (reply.isAnswered()) {
                  rules.checkAnswer(job, before, reply.status(), state);
                }
              } catch (MalformedMessageException e) {
                throw new AssertionError(e);
              }
              if (job.reportedState().compareTo(before) > 0
                  && job.reportedState() != job.lastAdvancedState) {
                job.lastAdvancedState = job.reportedState();
                onStateAdvanced(job);
              }
              failedRequests += succeeded ? 0 : 1;
              onResult.accept(succeeded);
            });
  }

  /** Sends a request to a node and runs the simulation until it has answered. */
  AsyncHttpClient.Reply sendAndAwait(String node, String method, String path, byte[] body) {
    AsyncHttpClient.Reply[] got = new AsyncHttpClient.Reply[1];
    world
        .httpClient("user", () -> true)
        .call(
            new AsyncHttpClient.Request(node, method, path, body, Duration.ofSeconds(5)),
            reply -> got[0] = reply);
    for (int i = 0; i < 600 && got[0] == null; i++) {
      world.runFor(Duration.ofMillis(10));
    }
    return got[0];
  }

  void poll(SafetyRules.TrackedJob job) {
    send(job, "GET", "/v1/jobs/" + job.id, null);
    world.after(job.isFinished() ? 20_000 : 5_000, () -> poll(job));
  }

  ObjectNode randomJobSpec() {
    return switch (world.random.nextInt(4)) {
      case 0 -> jobSpec("service", 1 + world.random.nextInt(2), "red");
      case 1 -> jobSpec("group", 2 + world.random.nextInt(3), "red");
      default -> jobSpec("array", 1 + world.random.nextInt(6), "blue");
    };
  }

  /** Runs without message loss for the given time, then asserts that all jobs have finished. */
  void settle(Duration time) {
    world.lossRate = 0;
    world.runFor(time);
    List<SafetyRules.TrackedJob> known =
        rules.jobs.values().stream().filter(job -> !job.recordLost).toList();
    for (SafetyRules.TrackedJob job : known) {
      boolean service = job.spec.get("shape").asText().equals("service");
      assertTrue(job.accepted, job.id + " was never accepted");
      assertTrue(
          service || job.alwaysFails || job.isFinished(),
          job.id + " did not finish; completed tasks: " + job.completedTasks);
    }
    assertTrue(rules.starts > 0);
    assertTrue(
        allowsDataLoss || store.generationPrefix().isEmpty(),
        "a rebuild took place although no data was lost");
    assertEquals(0, store.countKeys("inbox/"));
    List<String> open =
        known.stream().filter(j -> !j.isFinished()).map(j -> j.id).sorted().toList();
    List<String> stored =
        store.jobIds().stream().filter(id -> !rules.jobs.get(id).recordLost).toList();
    assertEquals(open, stored);
  }

  int leaderIndex() {
    String member = store.value("lead/holder").get("member").asText();
    return Integer.parseInt(member.substring(member.length() - 1));
  }

  void injectFault(int kind) {
    Controller target = controllers.get(world.random.nextInt(3));
    String host = "10.0.0." + (target.index + 1);
    long millis = 2_000L + world.random.nextInt(30_000);
    switch (kind) {
      case 0 -> kill(target, 6_000);
      case 1 -> {
        world.cut(host, "10.2.0.1");
        world.after(millis, () -> world.heal(host, "10.2.0.1"));
      }
      case 2 -> {
        store.outage = true;
        world.after(millis, store::endOutage);
      }
      case 3 -> {
        fleet.outage = true;
        world.after(millis, () -> fleet.outage = false);
      }
      case 4 -> {
        // Cuts the workers of one zone from one controller.
        for (FakeFleet.Worker worker : fleet.runningWorkers()) {
          if (worker.zone.equals("a")) {
            String workerHost = SimulatedWorld.host(worker.address);
            world.cut(host, workerHost);
            world.after(millis, () -> world.heal(host, workerHost));
          }
        }
      }
      case 5 -> {
        for (FakeFleet.Worker worker : fleet.runningWorkers()) {
          if (world.random.nextInt(4) == 0) {
            for (int i = 1; i <= 3; i++) {
              String node = "10.0.0." + i;
              String workerHost = SimulatedWorld.host(worker.address);
              world.cut(node, workerHost);
              world.after(millis, () -> world.heal(node, workerHost));
            }
          }
        }
      }
      case 6 -> {
        for (Controller controller : controllers) {
          kill(controller, 6_000 + controller.index * 500L);
        }
      }
      case 7 -> {
        List<FakeFleet.Worker> up = fleet.runningWorkers();
        if (!up.isEmpty()) {
          fleet.failMachine(up.get(world.random.nextInt(up.size())));
        }
      }
      case 8, 9 -> world.freeze(host, millis);
      case 10 -> {
        fleet.unreliableBoots = true;
        world.after(millis, () -> fleet.unreliableBoots = false);
      }
      case 11 -> {
        // Polls every job repeatedly.
        for (int i = 0; i < 8; i++) {
          world.after(
              i * 500L, () -> rules.jobs.values().stream().toList().forEach(this::queryStatus));
        }
      }
      default -> {}
    }
  }

  void queryStatus(SafetyRules.TrackedJob job) {
    if (job.accepted) {
      send(job, "GET", "/v1/jobs/" + job.id, null);
    }
  }
}
