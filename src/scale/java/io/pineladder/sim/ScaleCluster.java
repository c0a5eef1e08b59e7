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
 * The processes of a scale run: controllers, hollow workers, and this process with the fake
 * key-value store and cloud. All listen on loopback addresses; {@link #close} stops all of them.
 */
final class ScaleCluster implements AutoCloseable, FakeFleet.ExternalWorkers {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);
  private static final long BOOT_INTERVAL_MILLIS = 50;

  /**
   * Each worker has an address 127.A.B.C of its own. All use the same port, lower than {@code
   * --port} by this offset.
   */
  private static final int WORKER_PORT_OFFSET = 1_000;

  private final ScaleOptions options;
  private final Path directory;
  private final RealTimeWorld realTimeWorld;
  private final TrafficCounters servicesTraffic = new TrafficCounters();
  private final TrafficCounters workerTraffic = new TrafficCounters();
  private final FakeKeyValueStore store;
  private final FakeFleet cloud;
  private final SafetyRules rules;
  private final TaskHistory history;
  private final Map<String, FakeFleet.Worker> workers = new HashMap<>();
  private final List<String> apiAddresses = new ArrayList<>();
  private final List<String> clusterAddresses = new ArrayList<>();
  private final String controlAddress;
  private final Map<String, ArrayNode> pendingBoots = new LinkedHashMap<>();
  private final Map<String, Integer> workersByProcess = new HashMap<>();
  private final List<Process> controllerProcesses = new ArrayList<>();
  private final List<Process> workerProcesses = new ArrayList<>();
  private final Consumer<Throwable> onFailure;

  /**
   * Creates the cluster without starting any process.
   *
   * @param onFailure receives the error that ends the run
   */
  ScaleCluster(
      ScaleOptions options,
      Path directory,
      RealTimeWorld realTimeWorld,
      Consumer<Throwable> onFailure) {
    this.options = options;
    this.controlAddress = loopbackAddress(2);
    this.directory = directory;
    this.realTimeWorld = realTimeWorld;
    this.onFailure = onFailure;
    SimulatedWorld world = realTimeWorld.world();
    this.rules = new SafetyRules(world, ScaleSettings.teams(options));
    this.history =
        new TaskHistory(
            rules,
            workers,
            IntStream.range(0, options.workerProcesses())
                .mapToObj(this::workerProcessAddress)
                .toList());
    this.store = new FakeKeyValueStore(world, options.txnOps, (int) (options.valueKb * 1024));
    store.pageSize = 1_000;
    store.retainedChanges = 10_000;
    this.cloud = new FakeFleet(world, rules, List.of());
    cloud.types = ScaleSettings.machineTypes(options.zones);
    // All machines are up from the start, and no more can be created.
    cloud.zoneCapacity = 0;
    cloud.externalWorkers = this;
    for (int i = 0; i < options.controllers; i++) {
      apiAddresses.add(loopbackAddress(10 + 2 * i));
      clusterAddresses.add(loopbackAddress(11 + 2 * i));
    }
  }

  private String loopbackAddress(int offset) {
    return "127.0.0.1:" + (options.port + offset);
  }

  RealTimeWorld realTimeWorld() {
    return realTimeWorld;
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

  TrafficCounters servicesTraffic() {
    return servicesTraffic;
  }

  TrafficCounters workerTraffic() {
    return workerTraffic;
  }

  List<String> apiAddresses() {
    return apiAddresses;
  }

  List<String> clusterAddresses() {
    return clusterAddresses;
  }

  /** Returns the number of running workers. */
  int runningWorkers() {
    return workersByProcess.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the process ids by role. */
  Map<String, List<Long>> pids() {
    Map<String, List<Long>> pids = new LinkedHashMap<>();
    pids.put("controller", controllerProcesses.stream().map(Process::pid).toList());
    pids.put(
        "hollow",
        workerProcesses.subList(options.single, workerProcesses.size()).stream()
            .map(Process::pid)
            .toList());
    pids.put(
        "single", workerProcesses.subList(0, options.single).stream().map(Process::pid).toList());
    pids.put("services", List.of(ProcessHandle.current().pid()));
    return pids;
  }

  /** Starts the fake key-value store and cloud; called on the event thread. */
  void startServices() {
    serve(loopbackAddress(0), store);
    serve(loopbackAddress(1), cloud);
    realTimeWorld.serve(controlAddress, this::handleEventBatch);
  }

  private void serve(String address, AsyncHttpHandler handler) {
    realTimeWorld.serve(
        address,
        (method, path, body, answer) -> {
          servicesTraffic.requestReceived(path, body.length);
          handler.handle(
              method,
              path,
              body,
              response -> {
                servicesTraffic.responseSent(path, response.body().length);
                answer.accept(response);
              });
        });
  }

  void startControllers() throws IOException {
    ScaleSettings settings =
        new ScaleSettings(
            options, loopbackAddress(0), loopbackAddress(1), apiAddresses, clusterAddresses);
    for (int i = 0; i < options.controllers; i++) {
      Files.writeString(settingsFile(i), settings.toml(i));
      controllerProcesses.add(startController(i));
    }
  }

  private Path settingsFile(int index) {
    return directory.resolve("controller-" + index + ".toml");
  }

  private Process startController(int index) throws IOException {
    String classes = options.jar == null ? classPath() : options.jar.toString();
    return startProcess(
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
            settingsFile(index).toString()));
  }

  /** Kills a controller without a graceful shutdown and restarts it after a delay. */
  void killController(int index, long restartDelayMillis) {
    controllerProcesses.get(index).destroyForcibly();
    realTimeWorld
        .world()
        .after(
            restartDelayMillis,
            () -> {
              try {
                controllerProcesses.set(index, startController(index));
              } catch (IOException e) {
                onFailure.accept(e);
              }
            });
  }

  void startHollowWorkers() throws IOException {
    for (int i = 0; i < options.workerProcesses(); i++) {
      workerProcesses.add(
          startProcess(
              "hollow-" + i,
              List.of(
                  "-XX:TieredStopAtLevel=1",
                  "-XX:+UseSerialGC",
                  "-Xmx" + (i < options.single ? 64 : 512) + "m",
                  "-cp",
                  classPath(),
                  HollowWorkers.class.getName(),
                  controlAddress,
                  workerProcessAddress(i),
                  String.join(",", apiAddresses),
                  Long.toString((long) (options.reportSeconds * 1000)),
                  Long.toString((long) (options.leaseSeconds * 1000)))));
    }
  }

  private String workerProcessAddress(int process) {
    return loopbackAddress(100 + process);
  }

  private static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  private Process startProcess(String name, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("LOG_LEVEL", "info");
    Process process =
        builder
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()))
            .start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return process;
  }

  /** Returns the name of a hollow worker process that has exited, or null if all are running. */
  String exitedWorkerProcess() {
    for (int i = 0; i < workerProcesses.size(); i++) {
      if (!workerProcesses.get(i).isAlive()) {
        return "hollow-" + i;
      }
    }
    return null;
  }

  /** Boots all workers. */
  void bootWorkers() {
    cloud.addRunningMachines(options.workers);
    sendPendingBoots();
  }

  private int processIndex(int number) {
    return number <= options.single
        ? number - 1
        : options.single + (number - 1 - options.single) / options.perProcess;
  }

  private static int workerNumber(FakeFleet.Worker worker) {
    return Integer.parseInt(worker.name.substring("m-".length()));
  }

  @Override
  public String address(int number) {
    return "127."
        + (10 + processIndex(number))
        + "."
        + number / 250
        + "."
        + (1 + number % 250)
        + ":"
        + (options.port - WORKER_PORT_OFFSET);
  }

  @Override
  public void boot(FakeFleet.Worker worker) {
    workers.put(worker.name, worker);
    String process = workerProcessAddress(processIndex(workerNumber(worker)));
    history.assignProcess(worker.name, process);
    pendingBoots
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
    post(workerProcessAddress(processIndex(workerNumber(worker))), "/end", request);
  }

  private void sendPendingBoots() {
    pendingBoots.forEach(
        (process, hosts) -> {
          ObjectNode request = Json.object();
          request.set("hosts", hosts);
          post(process, "/boot", request);
        });
    pendingBoots.clear();
    realTimeWorld.world().after(BOOT_INTERVAL_MILLIS, this::sendPendingBoots);
  }

  private void post(String address, String path, ObjectNode body) {
    realTimeWorld
        .httpClient()
        .call(
            AsyncHttpClient.Request.post(address, path, Json.bytes(body), REQUEST_TIMEOUT),
            reply -> {
              if (!reply.hasStatus(200)) {
                onFailure.accept(new AssertionError(address + path + ": " + reply));
              }
            });
  }

  private void handleEventBatch(
      String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    try {
      JsonNode batch = Json.parseObject(body);
      String process = batch.get("process").asText();
      workersByProcess.put(process, batch.get("workers").asInt());
      workerTraffic.add((ObjectNode) batch.get("traffic"));
      ObjectNode reply = history.addBatch(process, batch);
      answer.accept(new HttpResponse(200, Json.bytes(reply)));
    } catch (MalformedMessageException | AssertionError e) {
      onFailure.accept(e);
      answer.accept(new HttpResponse(500, new byte[0]));
    }
  }

  @Override
  public void close() {
    workerProcesses.forEach(Process::destroyForcibly);
    controllerProcesses.forEach(Process::destroyForcibly);
    realTimeWorld.close();
  }
}
