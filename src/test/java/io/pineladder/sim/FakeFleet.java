package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Resources;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * A fake cloud provider and the workers on its machines. Task events go to a {@link TaskWatcher}.
 */
final class FakeFleet implements AsyncHttpHandler {
  static final String ADDRESS = "10.2.0.2:8443";
  private static final int DEFAULT_ZONE_CAPACITY = 12;
  private static final int PAGE_SIZE = 500;

  /** Workers ignore answers to heartbeats that take longer than this. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 4_000;

  private final SimulatedWorld world;
  private final TaskWatcher taskWatcher;
  private final List<String> controllers;
  private final Map<String, ObjectNode> rentalAnswers = new HashMap<>();
  final TreeMap<String, Worker> machines = new TreeMap<>();
  private int lastMachineNumber;
  boolean outage;

  /** The maximum number of machines in each zone. */
  int zoneCapacity = DEFAULT_ZONE_CAPACITY;

  long leaseMillis = 20_000;

  /** The mean interval between two heartbeats of a worker. */
  long heartbeatMillis = 3_000;

  /** A machine type with its prices, image download rate and typical boot time. */
  record MachineType(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double pullGbPerSecond,
      double hourlyPrice,
      double hourlySpotPrice,
      double bootSeconds,
      List<String> zones) {}

  List<MachineType> types =
      List.of(new MachineType("g4", 16, 4, 64, 1, 4, 1, 10, List.of("a", "b")));

  /** The total resources of a machine of this type. */
  Resources machineResources(String type) {
    MachineType found = types.stream().filter(t -> t.name.equals(type)).findFirst().orElseThrow();
    return Resources.of(found.cpus, found.gpus, found.memoryGb);
  }

  /**
   * The fraction of heartbeats that are also delivered to a random controller, up to three lease
   * durations late.
   */
  double duplicateHeartbeatRate;

  /** Whether a worker also sends a heartbeat as soon as a task has exited. */
  boolean sendsHeartbeatOnTaskExit;

  /** Whether copies of heartbeats are held back until {@link #deliverRetainedHeartbeats}. */
  boolean retainsHeartbeatCopies;

  /** The sequence number with which workers boot, as if they had run for long; 0 for new ones. */
  long firstHeartbeatSequence;

  private final List<byte[]> retainedHeartbeats = new ArrayList<>();

  /** The fraction of executed command requests of which a copy arrives once more. */
  double copiedCommandRate;

  /** The least and the greatest time from the execution of a command request to its copy. */
  Duration minCommandCopyDelay = Duration.ofMillis(300);

  Duration maxCommandCopyDelay = Duration.ofMinutes(4);

  /** Whether workers refuse requests with a lower token or another agent epoch. */
  boolean refusesFencedRequests = true;

  /** How many copies of command requests have arrived at a running machine. */
  int commandCopies;

  /** Whether machines boot within two seconds. */
  boolean fastBoots;

  /** How many tasks ended because their worker's lease expired. */
  int tasksEndedByLeaseExpiry;

  /** One in this many tasks outside of gangs fails; 0 for none. */
  int failsOneIn = 40;

  /** Runs the workers outside of this process. */
  interface ExternalWorkers {
    /** The address of the worker with this number. */
    String address(int number);

    void boot(Worker worker);

    void end(Worker worker);
  }

  /** Runs the workers; null to run them in this process. */
  ExternalWorkers externalWorkers;

  /** The address of the worker with a number that runs in this process. */
  IntFunction<String> workerAddress = number -> "10.1.0." + number + ":9000";

  /** Whether half of the machines boot late or never. */
  boolean unreliableBoots;

  FakeFleet(SimulatedWorld world, TaskWatcher taskWatcher, List<String> controllers) {
    this.world = world;
    this.taskWatcher = taskWatcher;
    this.controllers = controllers;
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (outage) {
      answer.accept(new HttpResponse(503, Json.bytes(Json.object().put("error", "trouble"))));
      return;
    }
    try {
      if (path.equals("/flavors")) {
        answer.accept(ok(flavors()));
      } else if (path.equals("/rentals")) {
        answer.accept(rentMachines(Json.parseObject(body)));
      } else if (path.equals("/rentals/release")) {
        for (JsonNode name : Json.parseObject(body).get("hosts")) {
          Worker worker = machines.remove(name.asText());
          if (worker != null) {
            worker.end();
          }
        }
        answer.accept(ok(Json.object()));
      } else {
        answer.accept(ok(listMachines(path)));
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private static HttpResponse ok(JsonNode body) {
    return new HttpResponse(200, Json.bytes(body));
  }

  private ObjectNode flavors() {
    ObjectNode out = Json.object();
    ArrayNode hulls = out.putArray("hulls");
    for (MachineType type : types) {
      ArrayNode yards =
          hulls
              .addObject()
              .put("sku", type.name)
              .put("vcpus", type.cpus)
              .put("cards", type.gpus)
              .put("memory_gb", type.memoryGb)
              .put("local_gb", 50.0)
              .put("pull_gb_per_s", type.pullGbPerSecond)
              .put("hourly", type.hourlyPrice)
              .put("spot_price", type.hourlySpotPrice)
              .put("boot_s", type.bootSeconds)
              .putArray("yards");
      type.zones.forEach(yards::add);
    }
    return out;
  }

  private HttpResponse rentMachines(ObjectNode request) {
    String id = request.get("charter").asText();
    if (rentalAnswers.containsKey(id)) {
      return ok(rentalAnswers.get(id));
    }
    String zone = request.get("yard").asText();
    boolean spot = request.get("loaners").asBoolean();
    long inZone = machines.values().stream().filter(w -> w.zone.equals(zone)).count();
    int count = (int) Math.min(request.get("count").asInt(), zoneCapacity - inZone);
    if (count <= 0) {
      return new HttpResponse(503, Json.bytes(Json.object().put("error", "no capacity")));
    }
    ObjectNode out = Json.object();
    ArrayNode names = out.putArray("hosts");
    for (int i = 0; i < count; i++) {
      names.add(createMachine(request.get("hull").asText(), zone, spot));
    }
    rentalAnswers.put(id, out);
    return ok(out);
  }

  private String createMachine(String type, String zone, boolean spot) {
    String name = String.format("m-%06d", ++lastMachineNumber);
    Worker worker = new Worker(name, nextAddress(), type, zone, spot);
    machines.put(name, worker);
    if (fastBoots) {
      world.after(world.random.nextInt(2_000), worker::boot);
      return name;
    }
    // Some machines boot early, some late, and some never.
    int outcome = world.random.nextInt(unreliableBoots ? 4 : 20);
    long delayMillis = outcome == 0 ? 40_000 : outcome == 1 ? 0 : 5_000;
    if (outcome != 2) {
      world.after(delayMillis + world.random.nextInt(10_000), worker::boot);
    }
    return name;
  }

  private String nextAddress() {
    return externalWorkers == null
        ? workerAddress.apply(lastMachineNumber)
        : externalWorkers.address(lastMachineNumber);
  }

  /** Runs the worker of a machine that the cloud in another process has created. */
  void runWorker(String name, String address, String type, String zone, boolean spot) {
    Worker worker = new Worker(name, address, type, zone, spot);
    machines.put(name, worker);
    worker.boot();
  }

  /** Adds on-demand machines that boot within three seconds. */
  void addRunningMachines(int count) {
    List<String> zones = types.get(0).zones;
    for (int i = 0; i < count; i++) {
      String name = String.format("m-%06d", ++lastMachineNumber);
      Worker worker =
          new Worker(name, nextAddress(), types.get(0).name, zones.get(i % zones.size()), false);
      machines.put(name, worker);
      world.after(world.random.nextInt(3_000), worker::boot);
    }
  }

  private ObjectNode listMachines(String path) {
    int start = path.indexOf("since=");
    String since = start < 0 ? "" : path.substring(start + "since=".length());
    ObjectNode out = Json.object();
    ArrayNode hosts = out.putArray("hosts");
    for (Worker worker : machines.tailMap(since, false).values()) {
      if (hosts.size() == PAGE_SIZE) {
        break;
      }
      hosts
          .addObject()
          .put("ref", worker.name)
          .put("addr", worker.address)
          .put("hull", worker.type)
          .put("yard", worker.zone)
          .put("loaners", worker.spot)
          .put("status", worker.up ? "running" : "booting")
          .put("age_s", 20.0);
    }
    boolean truncated = hosts.size() == PAGE_SIZE;
    return out.put("truncated", truncated);
  }

  /** An attempt of a task on a worker. */
  static final class Task {
    final String id;
    final long attempt;
    String status = "fetching";
    String exitCause;

    /** Whether the image has been fetched and the task has not exited. */
    boolean onMachine;

    Task(String id, long attempt) {
      this.id = id;
      this.attempt = attempt;
    }

    String jobId() {
      return id.substring(0, id.indexOf('/'));
    }

    int index() {
      return Integer.parseInt(id.substring(id.indexOf('/') + 1));
    }
  }

  /** A machine and the worker on it. */
  final class Worker implements AsyncHttpHandler {
    final String name;
    final String address;
    final String type;
    final String zone;
    final boolean spot;
    final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    boolean up;
    boolean ended;
    private long epoch = 1;

    /** The sequence number sent in heartbeats; restarts with each agent epoch. */
    private long heartbeatSequence;

    private long fencingToken;
    private int controllerIndex;
    private long leaseRenewedAtMillis;

    /** Counts heartbeats in this process; replies to all but the last one are ignored. */
    private long heartbeatNumber;

    private boolean heartbeatInFlight;
    private boolean exitHeartbeatScheduled;

    Worker(String name, String address, String type, String zone, boolean spot) {
      this.name = name;
      this.type = type;
      this.address = address;
      this.zone = zone;
      this.spot = spot;
    }

    void boot() {
      if (ended) {
        return;
      }
      up = true;
      if (externalWorkers != null) {
        externalWorkers.boot(this);
        return;
      }
      world.serve(address, this);
      heartbeatSequence = firstHeartbeatSequence;
      leaseRenewedAtMillis = world.now().toEpochMilli();
      controllerIndex = world.random.nextInt(controllers.size());
      sendHeartbeat();
      checkLease();
    }

    /** The highest fencing token that the worker has seen. */
    long fencingToken() {
      return fencingToken;
    }

    /** Terminates the machine and all tasks on it. */
    void end() {
      ended = true;
      up = false;
      if (externalWorkers != null) {
        externalWorkers.end(this);
        return;
      }
      world.stop(address);
      List.copyOf(tasks.values()).forEach(this::notifyLeft);
      tasks.clear();
    }

    /** Starts the worker's process anew, without its tasks and with the first agent epoch. */
    void restart() {
      List.copyOf(tasks.values()).forEach(this::notifyLeft);
      tasks.clear();
      epoch = 1;
      heartbeatSequence = 0;
      fencingToken = 0;
      leaseRenewedAtMillis = world.now().toEpochMilli();
      sendHeartbeat();
    }

    private void notifyLeft(Task task) {
      if (task.onMachine) {
        task.onMachine = false;
        taskWatcher.onLeft(task, this);
      }
    }

    private void checkLease() {
      if (ended) {
        return;
      }
      if (world.now().toEpochMilli() - leaseRenewedAtMillis > leaseMillis) {
        tasksEndedByLeaseExpiry +=
            (int) tasks.values().stream().filter(t -> !t.status.equals("ended")).count();
        List.copyOf(tasks.values()).forEach(this::notifyLeft);
        tasks.clear();
        epoch++;
        heartbeatSequence = 0;
        leaseRenewedAtMillis = world.now().toEpochMilli();
      }
      world.after(100, this::checkLease);
    }

    private ObjectNode buildHeartbeat() {
      ObjectNode out =
          Json.object()
              .put("host", name)
              .put("addr", address)
              .put("hull", type)
              .put("yard", zone)
              .put("loaners", spot)
              .put("shift", epoch)
              .put("tally", ++heartbeatSequence)
              .put("baton", fencingToken);
      ArrayNode pieces = out.putArray("pieces");
      for (Task task : tasks.values()) {
        ObjectNode piece =
            pieces
                .addObject()
                .put("piece", task.id)
                .put("try", task.attempt)
                .put("status", task.status);
        if (task.exitCause != null) {
          piece.put("cause", task.exitCause);
        }
      }
      return out;
    }

    private void sendHeartbeat() {
      if (ended) {
        return;
      }
      long number = ++heartbeatNumber;
      heartbeatInFlight = true;
      long sentEpoch = epoch;
      long sentMillis = world.now().toEpochMilli();
      byte[] body = Json.bytes(buildHeartbeat());
      if (retainsHeartbeatCopies && world.random.nextDouble() < duplicateHeartbeatRate) {
        retainedHeartbeats.add(body);
      } else if (duplicateHeartbeatRate > 0 && world.random.nextDouble() < duplicateHeartbeatRate) {
        String target = controllers.get(world.random.nextInt(controllers.size()));
        world.deliverDuplicate(
            AsyncHttpClient.Request.post(target, "/v1/report", body, Duration.ofSeconds(4)),
            1_000 + world.random.nextLong(3 * leaseMillis));
      }
      AsyncHttpClient caller = world.httpClient(SimulatedWorld.host(address), () -> !ended);
      caller.call(
          AsyncHttpClient.Request.post(
              controllers.get(controllerIndex), "/v1/report", body, Duration.ofSeconds(4)),
          reply -> {
            if (number == heartbeatNumber) {
              heartbeatInFlight = false;
              onReply(reply, sentEpoch, sentMillis);
            }
          });
    }

    private void onReply(AsyncHttpClient.Reply reply, long sentEpoch, long sentMillis) {
      try {
        if (reply.hasStatus(200)) {
          ObjectNode response = Json.parseObject(reply.body());
          long receivedToken = response.get("baton").asLong();
          boolean higher = receivedToken > fencingToken;
          boolean late = world.now().toEpochMilli() - sentMillis > RESPONSE_TIMEOUT_MILLIS;
          if (receivedToken >= fencingToken && sentEpoch == epoch && !late) {
            fencingToken = receivedToken;
            leaseRenewedAtMillis = sentMillis;
            execute(response.get("orders"));
          }
          scheduleHeartbeat(
              higher
                  ? 500
                  : heartbeatMillis * 3 / 4 + world.random.nextInt((int) heartbeatMillis / 2));
          return;
        }
        JsonNode leader =
            reply.hasStatus(421) ? Json.parseObject(reply.body()).get("foreman") : null;
        if (leader != null) {
          controllerIndex = Integer.parseInt(leader.asText().substring("rung-".length()));
          scheduleHeartbeat(world.random.nextInt(500));
          return;
        }
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
      controllerIndex = (controllerIndex + 1) % controllers.size();
      scheduleHeartbeat(1_000);
    }

    /** Sends a heartbeat after the delay, unless another one was sent in the meantime. */
    private void scheduleHeartbeat(long millis) {
      long number = heartbeatNumber;
      world.after(
          millis,
          () -> {
            if (number == heartbeatNumber) {
              sendHeartbeat();
            }
          });
    }

    private void execute(JsonNode commands) {
      for (JsonNode command : commands) {
        String taskId = command.get("piece").asText();
        long attempt = command.get("try").asLong();
        String key = taskId + "#" + attempt;
        Task task = tasks.get(key);
        switch (command.get("verb").asText()) {
          case "start" -> {
            if (task == null) {
              startFetch(key, new Task(taskId, attempt));
            }
          }
          case "kill" -> {
            if (task != null && !task.status.equals("ended")) {
              exit(task, "stopped");
            }
          }
          default -> {
            if (task != null && task.status.equals("ended")) {
              tasks.remove(key);
            }
          }
        }
      }
    }

    private void startFetch(String key, Task task) {
      tasks.put(key, task);
      taskWatcher.onStartCommand(task, this);
      world.after(500 + world.random.nextInt(3_000), () -> onImageFetched(key, task));
    }

    private void onImageFetched(String key, Task task) {
      if (ended || tasks.get(key) != task || !task.status.equals("fetching")) {
        return;
      }
      task.onMachine = true;
      taskWatcher.onStarted(task, this);
      if (taskWatcher.isGang(task)) {
        task.status = "gathering";
        world.after(
            15_000,
            () -> {
              if (tasks.get(key) == task && task.status.equals("gathering")) {
                exit(task, "incomplete");
              }
            });
        taskWatcher.onGangTaskReady(task);
      } else {
        runTask(key, task);
      }
    }

    void runTask(String key, Task task) {
      task.status = "running";
      long millis = taskWatcher.runMillis(task);
      if (millis > 0) {
        world.after(
            millis,
            () -> {
              if (!ended && tasks.get(key) == task && task.status.equals("running")) {
                boolean fails =
                    taskWatcher.alwaysFails(task)
                        || (failsOneIn > 0
                            && world.random.nextInt(failsOneIn) == 0
                            && !taskWatcher.isGang(task));
                if (!fails) {
                  taskWatcher.onCompleted(task);
                }
                exit(task, fails ? "error" : "done");
              }
            });
      }
    }

    private void exit(Task task, String cause) {
      task.status = "ended";
      task.exitCause = cause;
      notifyLeft(task);
      if (sendsHeartbeatOnTaskExit && !exitHeartbeatScheduled) {
        // Sends the heartbeat at once, but at least 500 ms after the last heartbeat that was
        // answered.
        exitHeartbeatScheduled = true;
        long lastHeartbeatMillis = leaseRenewedAtMillis;
        long delayMillis = Math.max(0, lastHeartbeatMillis + 500 - world.now().toEpochMilli());
        world.after(delayMillis, this::sendExitHeartbeat);
      }
    }

    private void sendExitHeartbeat() {
      exitHeartbeatScheduled = false;
      if (!ended && !heartbeatInFlight) {
        heartbeatNumber++;
        sendHeartbeat();
      }
    }

    @Override
    public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
      ObjectNode request = parse(body);
      boolean accepted = executeRequest(request);
      if (accepted
          && !request.get("orders").isEmpty()
          && copiedCommandRate > 0
          && world.random.nextDouble() < copiedCommandRate) {
        world.after(randomCopyDelayMillis(), () -> receiveCopy(request));
      }
      answer.accept(new HttpResponse(accepted ? 200 : 409, Json.bytes(buildHeartbeat())));
    }

    /** Executes the commands of a request if its token and agent epoch match. */
    private boolean executeRequest(ObjectNode request) {
      long receivedToken = request.get("baton").asLong();
      boolean fenced = receivedToken < fencingToken || request.get("shift").asLong() != epoch;
      boolean accepted = !fenced || !refusesFencedRequests;
      if (accepted) {
        fencingToken = Math.max(fencingToken, receivedToken);
        execute(request.get("orders"));
      }
      return accepted;
    }

    private void receiveCopy(ObjectNode request) {
      if (!ended) {
        commandCopies++;
        executeRequest(request);
      }
    }
  }

  /** A delay between the bounds; each order of magnitude is equally likely. */
  private long randomCopyDelayMillis() {
    double min = minCommandCopyDelay.toMillis();
    double max = maxCommandCopyDelay.toMillis();
    return (long) (min * Math.pow(max / min, world.random.nextDouble()));
  }

  private static ObjectNode parse(byte[] body) {
    try {
      return Json.parseObject(body);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * The names of machines with a task of the job that has not exited, including tasks that still
   * fetch their image.
   */
  List<String> machinesHolding(String job) {
    return machines.values().stream()
        .filter(
            w ->
                w.tasks.values().stream()
                    .anyMatch(t -> t.jobId().equals(job) && !t.status.equals("ended")))
        .map(w -> w.name)
        .toList();
  }

  /**
   * Delivers the retained heartbeats to every controller, at random times within two lease
   * durations.
   */
  void deliverRetainedHeartbeats() {
    for (byte[] body : retainedHeartbeats) {
      for (String controller : controllers) {
        world.deliverDuplicate(
            AsyncHttpClient.Request.post(controller, "/v1/report", body, Duration.ofSeconds(4)),
            world.random.nextInt(2) == 0 ? 0 : world.random.nextLong(2 * leaseMillis));
      }
    }
    retainedHeartbeats.clear();
  }

  /** Whether a request with commands holds a start. */
  static boolean hasStartCommand(byte[] body) {
    for (JsonNode command : parse(body).get("orders")) {
      if (command.get("verb").asText().equals("start")) {
        return true;
      }
    }
    return false;
  }

  /** Terminates the machine without notifying any controller. */
  void failMachine(Worker worker) {
    machines.remove(worker.name);
    worker.end();
  }

  List<Worker> runningWorkers() {
    return new ArrayList<>(machines.values().stream().filter(w -> w.up).toList());
  }
}
