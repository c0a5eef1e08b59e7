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

/** The cloud and the workers on its machines, from their protocols, watched by the rules. */
final class FakeFleet implements AsyncHttpHandler {
  static final String ADDRESS = "10.2.0.2:8443";
  private static final int CAPACITY = 12;
  private static final int PAGE = 500;

  /** A worker drops responses that take longer. */
  private static final long RESPONSE_MILLIS = 4_000;

  private final SimulatedWorld world;
  private final TaskWatcher rules;
  private final List<String> controllers;
  private final Map<String, ObjectNode> answered = new HashMap<>();
  final TreeMap<String, Worker> machines = new TreeMap<>();
  private int names;
  boolean outage;

  /** Machines of one zone at most. */
  int zoneCapacity = CAPACITY;

  /** How long a worker's lease lasts, and about how long it is between two of its reports. */
  long leaseMillis = 20_000;

  long reportMillis = 3_000;

  /** A machine's type. */
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

  List<MachineType> types = List.of(new MachineType("g4", 16, 4, 64, 1, 4, 1, 10, List.of("a", "b")));

  /** What a machine of this type has. */
  Resources size(String type) {
    MachineType of = types.stream().filter(t -> t.name.equals(type)).findFirst().orElseThrow();
    return Resources.of(of.cpus, of.gpus, of.memoryGb);
  }

  /** The part of reports of which a copy comes late, up to three leases, at any controller. */
  double duplicateReportRate;

  /** Reports are sent as soon as a task has exited too, and not only from time to time. */
  boolean reportsTaskExits;

  /** Copies of such reports are kept until {@link #deliverRetainedReports}. */
  boolean retainsReportCopies;

  private final List<byte[]> kept = new ArrayList<>();

  /** Machines are up within two seconds. */
  boolean fastBoots;

  /** Tasks that ended with their worker's lease. */
  int tasksEndedByLeaseExpiry;

  /** One of so many tasks that are no gang's fails; 0 for none. */
  int failsOneIn = 40;

  /** Where workers run that this stand-in rents out and does not run itself; null for none. */
  interface Launcher {
    /** Where a worker with this number is reached. */
    String address(int number);

    void boot(Worker worker);

    void end(Worker worker);
  }

  Launcher launcher;

  /** Half of the machines come up late or never. */
  boolean badBoots;

  FakeFleet(SimulatedWorld world, TaskWatcher rules, List<String> controllers) {
    this.world = world;
    this.rules = rules;
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
        answer.accept(rent(Json.parseObject(body)));
      } else if (path.equals("/rentals/release")) {
        for (JsonNode name : Json.parseObject(body).get("hosts")) {
          Worker worker = machines.remove(name.asText());
          if (worker != null) {
            worker.end();
          }
        }
        answer.accept(ok(Json.object()));
      } else {
        answer.accept(ok(list(path)));
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

  private HttpResponse rent(ObjectNode request) {
    String id = request.get("charter").asText();
    if (answered.containsKey(id)) {
      return ok(answered.get(id));
    }
    String zone = request.get("yard").asText();
    boolean spot = request.get("loaners").asBoolean();
    long there = machines.values().stream().filter(w -> w.zone.equals(zone)).count();
    int count = (int) Math.min(request.get("count").asInt(), zoneCapacity - there);
    if (count <= 0) {
      return new HttpResponse(503, Json.bytes(Json.object().put("error", "no capacity")));
    }
    ObjectNode out = Json.object();
    ArrayNode names = out.putArray("hosts");
    for (int i = 0; i < count; i++) {
      names.add(create(request.get("hull").asText(), zone, spot));
    }
    answered.put(id, out);
    return ok(out);
  }

  private String create(String type, String zone, boolean spot) {
    String name = String.format("m-%06d", ++names);
    Worker worker = new Worker(name, address(), type, zone, spot);
    machines.put(name, worker);
    // Some come up at once, some take several times as long, and a few never come.
    if (fastBoots) {
      world.after(world.random.nextInt(2_000), worker::boot);
      return name;
    }
    int luck = world.random.nextInt(badBoots ? 4 : 20);
    long late = luck == 0 ? 40_000 : luck == 1 ? 0 : 5_000;
    if (luck != 2) {
      world.after(late + world.random.nextInt(10_000), worker::boot);
    }
    return name;
  }

  private String address() {
    return launcher == null ? "10.1.0." + names + ":9000" : launcher.address(names);
  }

  /** A worker that another process rents out and this one runs. */
  void runWorker(String name, String address, String type, String zone, boolean spot) {
    Worker worker = new Worker(name, address, type, zone, spot);
    machines.put(name, worker);
    worker.boot();
  }

  /** Ordinary machines that are up from the start. */
  void addRunningMachines(int count) {
    List<String> zones = types.get(0).zones;
    for (int i = 0; i < count; i++) {
      String name = String.format("m-%06d", ++names);
      Worker worker =
          new Worker(name, address(), types.get(0).name, zones.get(i % zones.size()), false);
      machines.put(name, worker);
      world.after(world.random.nextInt(3_000), worker::boot);
    }
  }

  private ObjectNode list(String path) {
    int at = path.indexOf("since=");
    String since = at < 0 ? "" : path.substring(at + "since=".length());
    ObjectNode out = Json.object();
    ArrayNode hosts = out.putArray("hosts");
    for (Worker worker : machines.tailMap(since, false).values()) {
      if (hosts.size() == PAGE) {
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
    boolean more = hosts.size() == PAGE;
    return out.put("truncated", more);
  }

  /** One task on a worker. */
  static final class Task {
    final String id;
    final long attempt;
    String status = "fetching";
    String cause;
    boolean onMachine;

    Task(String piece, long attempt) {
      this.id = piece;
      this.attempt = attempt;
    }

    String jobId() {
      return id.substring(0, id.indexOf('/'));
    }

    int index() {
      return Integer.parseInt(id.substring(id.indexOf('/') + 1));
    }
  }

  /** A machine with its worker. */
  final class Worker implements AsyncHttpHandler {
    final String name;
    final String address;
    final String type;
    final String zone;
    final boolean spot;
    final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    boolean up;
    boolean ended;
    private long session = 1;
    private long sequence;
    private long token;
    private int at;
    private long answeredSentMillis;
    private long reportRound;
    private boolean reportUnderWay;
    private boolean changeSent;

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
      if (launcher != null) {
        launcher.boot(this);
        return;
      }
      world.serve(address, this);
      answeredSentMillis = world.now().toEpochMilli();
      at = world.random.nextInt(controllers.size());
      send();
      watchLease();
    }

    /** The machine is gone, and everything on it. */
    void end() {
      ended = true;
      up = false;
      if (launcher != null) {
        launcher.end(this);
        return;
      }
      world.stop(address);
      List.copyOf(tasks.values()).forEach(this::leave);
      tasks.clear();
    }

    private void leave(Task task) {
      if (task.onMachine) {
        task.onMachine = false;
        rules.onLeft(task, this);
      }
    }

    private void watchLease() {
      if (ended) {
        return;
      }
      if (world.now().toEpochMilli() - answeredSentMillis > leaseMillis) {
        tasksEndedByLeaseExpiry +=
            (int) tasks.values().stream().filter(t -> !t.status.equals("ended")).count();
        List.copyOf(tasks.values()).forEach(this::leave);
        tasks.clear();
        session++;
        sequence = 0;
        answeredSentMillis = world.now().toEpochMilli();
      }
      world.after(100, this::watchLease);
    }

    private ObjectNode report() {
      ObjectNode out =
          Json.object()
              .put("host", name)
              .put("addr", address)
              .put("hull", type)
              .put("yard", zone)
              .put("loaners", spot)
              .put("shift", session)
              .put("tally", ++sequence)
              .put("baton", token);
      ArrayNode pieces = out.putArray("pieces");
      for (Task task : tasks.values()) {
        ObjectNode piece =
            pieces
                .addObject()
                .put("piece", task.id)
                .put("try", task.attempt)
                .put("status", task.status);
        if (task.cause != null) {
          piece.put("cause", task.cause);
        }
      }
      return out;
    }

    private void send() {
      if (ended) {
        return;
      }
      long round = ++reportRound;
      reportUnderWay = true;
      long sentSession = session;
      long sentMillis = world.now().toEpochMilli();
      byte[] body = Json.bytes(report());
      if (retainsReportCopies && world.random.nextDouble() < duplicateReportRate) {
        kept.add(body);
      } else if (duplicateReportRate > 0 && world.random.nextDouble() < duplicateReportRate) {
        String where = controllers.get(world.random.nextInt(controllers.size()));
        world.deliverCopy(
            AsyncHttpClient.Request.post(where, "/v1/report", body, Duration.ofSeconds(4)),
            1_000 + world.random.nextLong(3 * leaseMillis));
      }
      AsyncHttpClient caller = world.httpClient(SimulatedWorld.host(address), () -> !ended);
      caller.call(
          AsyncHttpClient.Request.post(
              controllers.get(at), "/v1/report", body, Duration.ofSeconds(4)),
          reply -> {
            if (round == reportRound) {
              reportUnderWay = false;
              onReply(reply, sentSession, sentMillis);
            }
          });
    }

    private void onReply(AsyncHttpClient.Reply reply, long sentSession, long sentMillis) {
      try {
        if (reply.hasStatus(200)) {
          ObjectNode response = Json.parseObject(reply.body());
          long given = response.get("baton").asLong();
          boolean higher = given > token;
          boolean late = world.now().toEpochMilli() - sentMillis > RESPONSE_MILLIS;
          if (given >= token && sentSession == session && !late) {
            token = given;
            answeredSentMillis = sentMillis;
            execute(response.get("orders"));
          }
          sendAfter(
              higher ? 500 : reportMillis * 3 / 4 + world.random.nextInt((int) reportMillis / 2));
          return;
        }
        JsonNode leader = reply.hasStatus(421) ? Json.parseObject(reply.body()).get("foreman") : null;
        if (leader != null) {
          at = Integer.parseInt(leader.asText().substring("rung-".length()));
          sendAfter(world.random.nextInt(500));
          return;
        }
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
      at = (at + 1) % controllers.size();
      sendAfter(1_000);
    }

    /** Sends the next report, unless another one has been sent by then. */
    private void sendAfter(long millis) {
      long round = reportRound;
      world.after(
          millis,
          () -> {
            if (round == reportRound) {
              send();
            }
          });
    }

    private void execute(JsonNode orders) {
      for (JsonNode order : orders) {
        String piece = order.get("piece").asText();
        long attempt = order.get("try").asLong();
        String key = piece + "#" + attempt;
        Task task = tasks.get(key);
        switch (order.get("verb").asText()) {
          case "start" -> {
            if (task == null) {
              begin(key, new Task(piece, attempt));
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

    private void begin(String key, Task task) {
      tasks.put(key, task);
      rules.onStartCommand(task, this);
      world.after(500 + world.random.nextInt(3_000), () -> arrive(key, task));
    }

    private void arrive(String key, Task task) {
      if (ended || tasks.get(key) != task || !task.status.equals("fetching")) {
        return;
      }
      task.onMachine = true;
      rules.onStarted(task, this);
      if (rules.isGang(task)) {
        task.status = "gathering";
        world.after(
            15_000,
            () -> {
              if (tasks.get(key) == task && task.status.equals("gathering")) {
                exit(task, "incomplete");
              }
            });
        rules.onGangTaskReady(task);
      } else {
        runTask(key, task);
      }
    }

    void runTask(String key, Task task) {
      task.status = "running";
      long millis = rules.runMillis(task);
      if (millis > 0) {
        world.after(
            millis,
            () -> {
              if (!ended && tasks.get(key) == task && task.status.equals("running")) {
                boolean fails =
                    rules.alwaysFails(task)
                        || (failsOneIn > 0
                            && world.random.nextInt(failsOneIn) == 0
                            && !rules.isGang(task));
                if (!fails) {
                  rules.onCompleted(task);
                }
                exit(task, fails ? "error" : "done");
              }
            });
      }
    }

    private void exit(Task task, String cause) {
      task.status = "ended";
      task.cause = cause;
      leave(task);
      if (reportsTaskExits && !changeSent) {
        // A change is told at once, though not more often than every half second.
        changeSent = true;
        long last = answeredSentMillis;
        long wait = Math.max(0, last + 500 - world.now().toEpochMilli());
        world.after(wait, this::tellChange);
      }
    }

    private void tellChange() {
      changeSent = false;
      if (!ended && !reportUnderWay) {
        reportRound++;
        send();
      }
    }

    @Override
    public void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
      try {
        ObjectNode request = Json.parseObject(body);
        long given = request.get("baton").asLong();
        boolean good = given >= token && request.get("shift").asLong() == session;
        if (good) {
          token = given;
          execute(request.get("orders"));
        }
        answer.accept(new HttpResponse(good ? 200 : 409, Json.bytes(report())));
      } catch (MalformedMessageException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** The machines that have anything of a job that has not exited, wherever its image is. */
  List<String> machinesHolding(String job) {
    return machines.values().stream()
        .filter(
            w ->
                w.tasks.values().stream()
                    .anyMatch(t -> t.jobId().equals(job) && !t.status.equals("ended")))
        .map(w -> w.name)
        .toList();
  }

  /** What was kept arrives at every controller, each copy some time within two leases from now. */
  void deliverRetainedReports() {
    for (byte[] body : kept) {
      for (String where : controllers) {
        world.deliverCopy(
            AsyncHttpClient.Request.post(where, "/v1/report", body, Duration.ofSeconds(4)),
            world.random.nextInt(2) == 0 ? 0 : world.random.nextLong(2 * leaseMillis));
      }
    }
    kept.clear();
  }

  /** A machine dies, and everything on it. */
  void failMachine(Worker worker) {
    machines.remove(worker.name);
    worker.end();
  }

  List<Worker> runningWorkers() {
    return new ArrayList<>(machines.values().stream().filter(w -> w.up).toList());
  }
}
