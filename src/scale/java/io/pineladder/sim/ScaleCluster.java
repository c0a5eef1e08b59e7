package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * The processes of a scale run: controllers, hollow workers, and in this one state service and
 * cloud. All listen on loopback addresses, and all are ended with this object.
 */
final class ScaleCluster implements AutoCloseable, FakeFleet.Launcher {
  private static final Duration PATIENCE = Duration.ofSeconds(4);
  private static final long BOOT_MILLIS = 50;

  /** Workers' addresses are 127.A.B.C, each with the port that comes so much before the others. */
  private static final int WORKER_PORTS_BEFORE = 1_000;

  private final ScaleOptions options;
  private final Path folder;
  private final RealTimeWorld real;
  private final Traffic storeTraffic = new Traffic();
  private final Traffic workerTraffic = new Traffic();
  private final FakeKeyValueStore store;
  private final FakeFleet cloud;
  private final SafetyRules rules;
  private final TaskHistory history;
  private final Map<String, FakeFleet.Worker> workers = new HashMap<>();
  private final List<String> fronts = new ArrayList<>();
  private final List<String> clusters = new ArrayList<>();
  private final String control;
  private final Map<String, ArrayNode> toBoot = new LinkedHashMap<>();
  private final Map<String, Integer> reported = new HashMap<>();
  private final List<Process> controllers = new ArrayList<>();
  private final List<Process> hollow = new ArrayList<>();
  private final Consumer<Throwable> onFailure;

  /**
   * The processes, of which none is started yet.
   *
   * @param onFailure told of what ends the run
   */
  ScaleCluster(
      ScaleOptions options, Path folder, RealTimeWorld real, Consumer<Throwable> onFailure) {
    this.options = options;
    this.control = local(2);
    this.folder = folder;
    this.real = real;
    this.onFailure = onFailure;
    SimulatedWorld world = real.world();
    this.rules = new SafetyRules(world, ScaleSettings.teams(options));
    this.history =
        new TaskHistory(
            rules,
            workers,
            IntStream.range(0, options.processes()).mapToObj(this::hollowControl).toList());
    this.store = new FakeKeyValueStore(world, options.txnOps, (int) (options.valueKb * 1024));
    store.pageSize = 1_000;
    store.retainedChanges = 10_000;
    this.cloud = new FakeFleet(world, rules, List.of());
    FakeFleet.MachineType type = ScaleSettings.TYPE;
    cloud.types =
        List.of(
            new FakeFleet.MachineType(
                type.name(),
                type.cpus(),
                type.gpus(),
                type.memoryGb(),
                type.pullGbPerSecond(),
                type.hourlyPrice(),
                type.hourlySpotPrice(),
                type.bootSeconds(),
                ScaleSettings.zones(options.zones)));
    // All machines are up from the start, and no more are to be had.
    cloud.zoneCapacity = 0;
    cloud.launcher = this;
    for (int i = 0; i < options.controllers; i++) {
      fronts.add(local(10 + 2 * i));
      clusters.add(local(11 + 2 * i));
    }
  }

  private String local(int offset) {
    return "127.0.0.1:" + (options.port + offset);
  }

  RealTimeWorld real() {
    return real;
  }

  SafetyRules rules() {
    return rules;
  }

  TaskHistory history() {
    return history;
  }

  FakeKeyValueStore store() {
    return store;
  }

  Traffic storeTraffic() {
    return storeTraffic;
  }

  Traffic workerTraffic() {
    return workerTraffic;
  }

  List<String> fronts() {
    return fronts;
  }

  List<String> clusters() {
    return clusters;
  }

  /** How many workers run. */
  int workersUp() {
    return reported.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The processes' ids by role. */
  Map<String, List<Long>> pids() {
    Map<String, List<Long>> found = new LinkedHashMap<>();
    found.put("controller", controllers.stream().map(Process::pid).toList());
    found.put(
        "hollow",
        hollow.subList(options.single, hollow.size()).stream().map(Process::pid).toList());
    found.put("single", hollow.subList(0, options.single).stream().map(Process::pid).toList());
    found.put("services", List.of(ProcessHandle.current().pid()));
    return found;
  }

  // ---- start and end

  /** Starts everything but the workers; called on the event thread. */
  void startServices() {
    serve(local(0), store);
    serve(local(1), cloud);
    real.serve(control, this::handleControl);
  }

  private void serve(String address, AsyncHttpHandler handler) {
    real.serve(
        address,
        (method, path, body, answer) -> {
          storeTraffic.received(path, body.length);
          handler.handle(
              method,
              path,
              body,
              given -> {
                storeTraffic.answered(path, given.body().length);
                answer.accept(given);
              });
        });
  }

  void startControllers() throws IOException {
    ScaleSettings settings = new ScaleSettings(options, local(0), local(1), fronts, clusters);
    for (int i = 0; i < options.controllers; i++) {
      Files.writeString(settingsOf(i), settings.toml(i));
      controllers.add(startController(i));
    }
  }

  private Path settingsOf(int index) {
    return folder.resolve("controller-" + index + ".toml");
  }

  private Process startController(int index) throws IOException {
    String classes = options.jar == null ? classPath() : options.jar.toString();
    return start(
        "controller-" + index,
        List.of(
            "-XX:TieredStopAtLevel=1",
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-Xms24m",
            "-Xmx" + options.heapMb + "m",
            "-Xss512k",
            "-cp",
            classes,
            "io.pineladder.cli.Controller",
            settingsOf(index).toString()));
  }

  /** Kills a controller without a word and starts it again after the pause. */
  void killController(int index, long backMillis) {
    controllers.get(index).destroyForcibly();
    real.world()
        .after(
            backMillis,
            () -> {
              try {
                controllers.set(index, startController(index));
              } catch (IOException e) {
                onFailure.accept(e);
              }
            });
  }

  void startHollowWorkers() throws IOException {
    for (int i = 0; i < options.processes(); i++) {
      hollow.add(
          start(
              "hollow-" + i,
              List.of(
                  "-XX:TieredStopAtLevel=1",
                  "-XX:+UseSerialGC",
                  "-Xmx" + (i < options.single ? 64 : 512) + "m",
                  "-cp",
                  classPath(),
                  HollowWorkers.class.getName(),
                  control,
                  hollowControl(i),
                  String.join(",", fronts),
                  Long.toString((long) (options.reportSeconds * 1000)),
                  Long.toString((long) (options.leaseSeconds * 1000)))));
    }
  }

  private String hollowControl(int process) {
    return local(100 + process);
  }

  private static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  private Process start(String name, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("LOG_LEVEL", "info");
    Process process =
        builder
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
            .start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return process;
  }

  /** Whether a process has ended that nobody ended. */
  String endedByItself() {
    for (int i = 0; i < hollow.size(); i++) {
      if (!hollow.get(i).isAlive()) {
        return "hollow-" + i;
      }
    }
    return null;
  }

  // ---- hollow workers

  /** Has all workers boot. */
  void bootWorkers() {
    cloud.addRunningMachines(options.workers);
    sendBoots();
  }

  private int processOf(int number) {
    return number <= options.single
        ? number - 1
        : options.single + (number - 1 - options.single) / options.perProcess;
  }

  private static int number(FakeFleet.Worker worker) {
    return Integer.parseInt(worker.name.substring("m-".length()));
  }

  @Override
  public String address(int number) {
    return "127."
        + (10 + processOf(number))
        + "."
        + number / 250
        + "."
        + (1 + number % 250)
        + ":"
        + (options.port - WORKER_PORTS_BEFORE);
  }

  @Override
  public void boot(FakeFleet.Worker worker) {
    workers.put(worker.name, worker);
    String process = hollowControl(processOf(number(worker)));
    history.runsIn(worker.name, process);
    toBoot
        .computeIfAbsent(process, p -> Json.array())
        .addObject()
        .put("ref", worker.name)
        .put("addr", worker.address)
        .put("hull", worker.type)
        .put("yard", worker.zone)
        .put("loaners", worker.spot);
  }

  @Override
  public void end(FakeFleet.Worker worker) {
    ObjectNode request = Json.object();
    request.putArray("hosts").add(worker.name);
    post(hollowControl(processOf(number(worker))), "/end", request);
  }

  private void sendBoots() {
    toBoot.forEach(
        (process, hosts) -> {
          ObjectNode request = Json.object();
          request.set("hosts", hosts);
          post(process, "/boot", request);
        });
    toBoot.clear();
    real.world().after(BOOT_MILLIS, this::sendBoots);
  }

  private void post(String address, String path, ObjectNode body) {
    real.httpClient()
        .call(
            AsyncHttpClient.Request.post(address, path, Json.bytes(body), PATIENCE),
            reply -> {
              if (!reply.hasStatus(200)) {
                onFailure.accept(new AssertionError(address + path + ": " + reply));
              }
            });
  }

  private void handleControl(
      String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    try {
      JsonNode batch = Json.parseObject(body);
      String process = batch.get("process").asText();
      reported.put(process, batch.get("workers").asInt());
      workerTraffic.add((ObjectNode) batch.get("traffic"));
      ObjectNode reply = history.take(process, batch);
      answer.accept(new HttpResponse(200, Json.bytes(reply)));
    } catch (MalformedMessageException | AssertionError e) {
      onFailure.accept(e);
      answer.accept(new HttpResponse(500, new byte[0]));
    }
  }

  @Override
  public void close() {
    hollow.forEach(Process::destroyForcibly);
    controllers.forEach(Process::destroyForcibly);
    real.close();
  }
}
