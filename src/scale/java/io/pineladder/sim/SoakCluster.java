package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.HttpResponse;
import io.pineladder.net.UnfinishedRequests;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

/**
 * The controllers of a soak run, as processes started by the command of the deploy file, with the
 * key-value store, the cloud and the workers in this process. All listen on loopback; {@link
 * #close} ends the processes. Event thread only, but for the constructor and {@link #close}.
 */
final class SoakCluster implements AutoCloseable {
  /** Pages of jobs are left out: a job that is in a damaged page alone is lost. */
  private static final List<String> DAMAGED_PREFIXES = List.of("images/", "placed/", "done/");

  private static final int MAX_UNFINISHED_REQUESTS = 1_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final int WORKER_PORT_OFFSET = 1_000;
  private static final int WORKERS_PER_NETWORK = 250;

  private final ScaleOptions options;
  private final Path directory;
  private final RealTimeWorld realTimeWorld;
  private final SoakInvariants invariants;
  private final RandomGenerator random;
  private final List<String> apiAddresses = new ArrayList<>();
  private final List<String> clusterAddresses = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();
  private final boolean[] killed;
  private final boolean[] storeCut;
  private final boolean[] storeRefused;
  final FakeKeyValueStore store;
  final FakeFleet fleet;
  final FaultyNetwork network;

  SoakCluster(
      ScaleOptions options,
      Path directory,
      RealTimeWorld realTimeWorld,
      SafetyRules rules,
      SoakInvariants invariants,
      RandomGenerator random) {
    this.options = options;
    this.directory = directory;
    this.realTimeWorld = realTimeWorld;
    this.invariants = invariants;
    this.random = random;
    this.killed = new boolean[options.controllers];
    this.storeCut = new boolean[options.controllers];
    this.storeRefused = new boolean[options.controllers];
    for (int i = 0; i < options.controllers; i++) {
      apiAddresses.add(loopbackAddress(10 + 2 * i));
      clusterAddresses.add(loopbackAddress(11 + 2 * i));
    }
    SimulatedWorld world = realTimeWorld.world();
    this.network = new FaultyNetwork(realTimeWorld, apiAddresses, random);
    world.externalNetwork = network;
    this.store = new FakeKeyValueStore(world, options.txnOps, (int) (options.valueKb * 1024));
    this.fleet = newFleet(world);
    rules.placementLookup = store::hasPlacement;
  }

  private FakeFleet newFleet(SimulatedWorld world) {
    FakeFleet created = new FakeFleet(world, invariants, apiAddresses);
    created.types = ScaleSettings.machineTypes(options.zones);
    created.zoneCapacity = options.workers / options.zones + 2;
    created.fastBoots = true;
    created.sendsHeartbeatOnTaskExit = true;
    created.leaseMillis = (long) (options.leaseSeconds * 1_000);
    created.heartbeatMillis = (long) (options.reportSeconds * 1_000);
    created.workerAddress =
        number ->
            "127.20."
                + number / WORKERS_PER_NETWORK
                + "."
                + (1 + number % WORKERS_PER_NETWORK)
                + ":"
                + (options.port - WORKER_PORT_OFFSET);
    return created;
  }

  private String loopbackAddress(int offset) {
    return "127.0.0.1:" + (options.port + offset);
  }

  private String storeAddress(int controller) {
    return loopbackAddress(30 + controller);
  }

  List<String> apiAddresses() {
    return apiAddresses;
  }

  // ---- processes

  /** Starts the key-value store, the cloud and the controllers, and boots the workers. */
  void start() {
    realTimeWorld.serve(loopbackAddress(0), fleet);
    for (int i = 0; i < options.controllers; i++) {
      int controller = i;
      realTimeWorld.serve(
          storeAddress(i),
          (method, path, body, answer) ->
              handleStoreRequest(controller, method, path, body, answer));
      processes.add(null);
      writeSettings(i);
      startController(i);
    }
    fleet.addRunningMachines(options.workers);
    checkProcesses();
  }

  private void handleStoreRequest(
      int controller, String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    if (storeCut[controller]) {
      return;
    }
    if (storeRefused[controller]) {
      answer.accept(new HttpResponse(503, new byte[0]));
      return;
    }
    store.handle(
        method,
        path,
        body,
        response -> {
          if (!storeCut[controller]) {
            answer.accept(response);
          }
        });
  }

  private void writeSettings(int controller) {
    ScaleSettings settings =
        new ScaleSettings(
            options, storeAddress(controller), loopbackAddress(0), apiAddresses, clusterAddresses);
    try {
      Files.writeString(settingsFile(controller), settings.toml(controller));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Path settingsFile(int controller) {
    return directory.resolve("controller-" + controller + ".toml");
  }

  private void startController(int controller) {
    List<String> command = new ArrayList<>(DeployCommand.of(options.jar));
    command.add(settingsFile(controller).toString());
    Path log = directory.resolve("controller-" + controller + ".log");
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    try {
      Process process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
      processes.set(controller, process);
      killed[controller] = false;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void checkProcesses() {
    for (int i = 0; i < processes.size(); i++) {
      Process process = processes.get(i);
      if (!killed[i] && !process.isAlive()) {
        invariants.onControllerExited(i, process.exitValue());
        startController(i);
      }
    }
    realTimeWorld.world().after(500, this::checkProcesses);
  }

  /** Asks each controller whether it leads, and passes the first that does. */
  private void findLeader(IntConsumer onLeader) {
    for (int i = 0; i < clusterAddresses.size(); i++) {
      int controller = i;
      realTimeWorld
          .httpClient()
          .call(
              AsyncHttpClient.Request.get(
                  clusterAddresses.get(i), "/admin/v1/status", REQUEST_TIMEOUT),
              reply -> {
                if (reply.hasStatus(200) && isLeading(reply.body())) {
                  onLeader.accept(controller);
                }
              });
    }
  }

  private static boolean isLeading(byte[] status) {
    try {
      return Json.parseObject(status).path("leadership").asText().equals("leading");
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private void kill(int controller, long downtimeMillis) {
    if (killed[controller]) {
      return;
    }
    invariants.record("kill controller " + controller);
    killed[controller] = true;
    processes.get(controller).destroyForcibly();
    realTimeWorld.world().after(downtimeMillis, () -> startController(controller));
  }

  private void signal(int controller, String signal) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(processes.get(controller).pid())).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  // ---- faults

  /** Begins a fault and ends it after its duration. */
  void inject(SoakPlan.Fault fault) {
    invariants.record("fault " + fault);
    int controller = fault.controller();
    long millis = fault.duration().toMillis();
    switch (fault.kind()) {
      case KILL -> kill(controller, millis);
      case KILL_ALL -> {
        for (int i = 0; i < processes.size(); i++) {
          kill(i, 200 + i * millis / processes.size());
        }
      }
      case KILL_LEADERS -> {
        for (int i = 0; i < 4; i++) {
          after(i * millis / 4, () -> findLeader(leader -> kill(leader, 300)));
        }
      }
      case PAUSE -> {
        signal(controller, "-STOP");
        after(millis, () -> signal(controller, "-CONT"));
      }
      case STORE_CUT -> {
        storeCut[controller] = true;
        after(millis, () -> storeCut[controller] = false);
      }
      case STORE_REFUSE -> {
        storeRefused[controller] = true;
        after(millis, () -> storeRefused[controller] = false);
      }
      case STORE_OUTAGE -> {
        store.outage = true;
        after(millis, store::endOutage);
      }
      case STORE_LATE_WRITES -> {
        store.delayedTransactionRate = fault.share() / 4;
        after(millis, () -> store.delayedTransactionRate = 0);
      }
      case STORE_LOST_ANSWERS -> {
        store.lostAnswerRate = fault.share() / 4;
        after(millis, () -> store.lostAnswerRate = 0);
      }
      case STORE_DAMAGED_PAGES ->
          DAMAGED_PREFIXES.forEach(prefix -> store.replaceValue(prefix, page -> Json.object()));
      case CLOUD_OUTAGE -> {
        fleet.outage = true;
        after(millis, () -> fleet.outage = false);
      }
      case WORKERS_MUTE -> {
        List<String> hosts = someHosts(fault.share());
        network.muteHosts.addAll(hosts);
        after(millis, () -> hosts.forEach(network.muteHosts::remove));
      }
      case WORKERS_DEAF -> {
        List<String> hosts = someHosts(fault.share());
        network.deafHosts.addAll(hosts);
        after(millis, () -> hosts.forEach(network.deafHosts::remove));
      }
      case WORKERS_SLOW -> {
        network.delayRate = fault.share();
        after(millis, () -> network.delayRate = 0);
      }
      case LATE_REPORTS -> {
        network.lateReportRate = fault.share();
        after(millis, () -> network.lateReportRate = 0);
      }
      case LATE_COMMANDS -> {
        network.lateCommandRate = fault.share() / 2;
        after(millis, () -> network.lateCommandRate = 0);
      }
      case COPIED_COMMANDS -> {
        fleet.copiedCommandRate = fault.share();
        after(millis, () -> fleet.copiedCommandRate = 0);
      }
      case MACHINES_DIE ->
          fleet.runningWorkers().stream()
              .filter(worker -> random.nextDouble() < fault.share() / 3)
              .forEach(fleet::failMachine);
      case UNFINISHED_REQUESTS -> {
        UnfinishedRequests requests = openUnfinishedRequests(controller, fault.share());
        after(millis, requests::close);
      }
    }
  }

  private UnfinishedRequests openUnfinishedRequests(int controller, double share) {
    String address = apiAddresses.get(controller);
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    UnfinishedRequests.Kind[] kinds = UnfinishedRequests.Kind.values();
    return new UnfinishedRequests(
        new InetSocketAddress(SimulatedWorld.host(address), port),
        kinds[random.nextInt(kinds.length)],
        (int) (share * MAX_UNFINISHED_REQUESTS));
  }

  private void after(long millis, Runnable action) {
    realTimeWorld.world().after(millis, action);
  }

  private List<String> someHosts(double share) {
    return fleet.runningWorkers().stream()
        .map(worker -> SimulatedWorld.host(worker.address))
        .filter(host -> random.nextDouble() < share)
        .toList();
  }

  @Override
  public void close() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
    realTimeWorld.close();
  }
}
