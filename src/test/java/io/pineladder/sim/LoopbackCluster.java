package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.XnioEventLoop;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.SettingsReaderTest;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Controllers that run as separate processes on the loopback interface. The fake store and cloud
 * run in this process in real time.
 */
final class LoopbackCluster implements AutoCloseable {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(2);

  private final Path folder;
  private final XnioEventLoop eventLoop;
  private final SimulatedWorld world = new SimulatedWorld(1);
  final FakeKeyValueStore store = new FakeKeyValueStore(world, 12, 8192);
  private final List<Process> processes = new ArrayList<>();
  private final String storeAddress = freeAddress();
  private final String cloudAddress = freeAddress();
  private final List<String> apiAddresses = new ArrayList<>();
  private final List<String> adminAddresses = new ArrayList<>();
  private final List<String> controllerOptions;
  private final double coreShare;
  private final HttpClient httpClient =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private volatile boolean closed;

  /**
   * Starts the cluster.
   *
   * @param coreShare the share of a core that the settings give to each controller
   * @param options arguments of the controllers before the settings file
   */
  LoopbackCluster(Path folder, int controllers, double coreShare, List<String> options)
      throws IOException {
    this(folder, controllers, coreShare, options, (store, fleet) -> {});
  }

  /**
   * Starts the cluster.
   *
   * @param preparation prepares the store and the cloud before the controllers start
   */
  LoopbackCluster(
      Path folder,
      int controllers,
      double coreShare,
      List<String> options,
      BiConsumer<FakeKeyValueStore, FakeFleet> preparation)
      throws IOException {
    this.folder = folder;
    this.coreShare = coreShare;
    this.controllerOptions = options;
    eventLoop = new XnioEventLoop(4_000, Duration.ofSeconds(3));
    FakeFleet fleet = new FakeFleet(world, new SafetyRules(world, List.of()), List.of());
    fleet.zoneCapacity = 0;
    preparation.accept(store, fleet);
    eventLoop.serve(
        new XnioEventLoop.Listener(
            storeAddress,
            store,
            ConnectionLimiter.TrafficClass.USERS,
            path -> ConnectionLimiter.TrafficClass.USERS));
    eventLoop.serve(
        new XnioEventLoop.Listener(
            cloudAddress,
            fleet,
            ConnectionLimiter.TrafficClass.USERS,
            path -> ConnectionLimiter.TrafficClass.USERS));
    for (int i = 0; i < controllers; i++) {
      apiAddresses.add(freeAddress());
      adminAddresses.add(freeAddress());
    }
    for (int i = 0; i < controllers; i++) {
      Files.writeString(folder.resolve("settings-" + i + ".toml"), settings(i));
      processes.add(null);
      startController(i);
    }
    eventLoop.execute(this::tick);
  }

  /**
   * Advances virtual time, which starts at 1,000 s, to the time since the start of the event loop.
   */
  private void tick() {
    if (!closed) {
      Duration behind = Duration.between(world.now().minusSeconds(1_000), eventLoop.now());
      world.runFor(behind);
      eventLoop.schedule(TICK_INTERVAL, this::tick);
    }
  }

  static String freeAddress() {
    try (ServerSocket socket =
        new ServerSocket(0, 1, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
      return "127.0.0.1:" + socket.getLocalPort();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private String settings(int index) {
    String template = SettingsReaderTest.VALID_SETTINGS;
    int seeds = template.indexOf("[[seeds]]");
    StringBuilder text =
        new StringBuilder(template.substring(0, seeds))
            .append(
                "[external]\ncloud = \"" + cloudAddress + "\"\nstate = \"" + storeAddress + "\"\n");
    for (int i = 0; i < apiAddresses.size(); i++) {
      if (i != index) {
        text.append("[[seeds]]\nmember = \"rung-" + i + "\"\narea = \"a\"\naddress = \"")
            .append(adminAddresses.get(i))
            .append("\"\n");
      }
    }
    text.append(template.substring(template.indexOf("[deployment]")));
    return text.toString()
        .replace(
            "member = \"rung-0\"\narea = \"a\"\nfront",
            "member = \"rung-" + index + "\"\narea = \"a\"\nfront")
        .replace("10.0.0.1:8080", apiAddresses.get(index))
        .replace("10.0.0.1:8081", adminAddresses.get(index))
        .replace("write_rps = 60.0", "write_rps = 2000.0")
        .replace("rps = 100.0", "rps = 5000.0")
        .replace("core_share = 0.2", "core_share = " + coreShare);
  }

  /** Starts a JVM with the class path of this process; it is killed when this process exits. */
  Process start(String name, String mainClass, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(List.of("-Xmx128m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp"));
    command.add(DeployCommand.ownClassPath());
    command.add(mainClass);
    command.addAll(arguments);
    return start(name, command);
  }

  private Process start(String name, List<String> command) {
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
              .start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
      return process;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  void startController(int index) {
    List<String> command = DeployCommand.of(null);
    command.addAll(controllerOptions);
    command.add(folder.resolve("settings-" + index + ".toml").toString());
    processes.set(index, start("controller-" + index, command));
  }

  /** Kills the process of a controller and starts it again. */
  void killController(int index) throws InterruptedException {
    processes.get(index).destroyForcibly().waitFor();
    startController(index);
  }

  Process controller(int index) {
    return processes.get(index);
  }

  /** Changes the fake services on their event loop. */
  void runOnEventLoop(Runnable action) throws Exception {
    readOnEventLoop(
        () -> {
          action.run();
          return true;
        });
  }

  /** Reads from the fake services on their event loop. */
  <T> T readOnEventLoop(Supplier<T> supplier) throws Exception {
    java.util.concurrent.CompletableFuture<T> result =
        new java.util.concurrent.CompletableFuture<>();
    eventLoop.execute(() -> result.complete(supplier.get()));
    return result.get();
  }

  /** Sends one request; returns null if there is no answer. */
  private HttpResponse<String> sendRequest(
      String address, String method, String path, ObjectNode body) throws InterruptedException {
    try {
      return httpClient.send(
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofSeconds(5))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)))
              .build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    }
  }

  /** Sends one request to the API address of a controller; returns null if there is no answer. */
  HttpResponse<String> requestOnce(int index, String method, String path)
      throws InterruptedException {
    return sendRequest(apiAddresses.get(index), method, path, null);
  }

  /** Sends one request to the admin API of a controller; returns null if it does not succeed. */
  ObjectNode adminRequestOnce(int index, String path) throws InterruptedException {
    HttpResponse<String> response = sendRequest(adminAddresses.get(index), "GET", path, null);
    return response == null || response.statusCode() != 200 ? null : parse(response);
  }

  private static ObjectNode parse(HttpResponse<String> response) {
    try {
      return Json.parseObject(response.body().getBytes(StandardCharsets.UTF_8));
    } catch (MalformedMessageException e) {
      throw new AssertionError("malformed answer: " + response.body(), e);
    }
  }

  /** Submits a job to a controller once; returns null if there is no answer. */
  HttpResponse<String> submitOnce(int index, ObjectNode spec) throws InterruptedException {
    return sendRequest(apiAddresses.get(index), "POST", "/v1/jobs", spec);
  }

  /** The cluster addresses of the controllers, which also serve the admin API. */
  List<String> adminAddresses() {
    return adminAddresses;
  }

  /** Repeats a request to one address until it succeeds; fails after 2,000 attempts. */
  ObjectNode requestAddressUntilSuccess(String address, String method, String path)
      throws InterruptedException {
    return requestUntilSuccess(List.of(address), method, path, null);
  }

  /** Repeats a request to the controllers in turn until it succeeds; fails after 2,000 attempts. */
  ObjectNode requestUntilSuccess(boolean admin, String method, String path, ObjectNode body)
      throws InterruptedException {
    return requestUntilSuccess(admin ? adminAddresses : apiAddresses, method, path, body);
  }

  private ObjectNode requestUntilSuccess(
      List<String> addresses, String method, String path, ObjectNode body)
      throws InterruptedException {
    int firstIndex = Math.floorMod(path.hashCode(), addresses.size());
    String lastAnswer = "no answer";
    for (int attempt = 0; attempt < 2_000; attempt++) {
      HttpResponse<String> response =
          sendRequest(addresses.get((firstIndex + attempt) % addresses.size()), method, path, body);
      if (response != null && response.statusCode() / 100 == 2) {
        return parse(response);
      }
      lastAnswer = response == null ? lastAnswer : response.statusCode() + " " + response.body();
      Thread.sleep(50);
    }
    throw new AssertionError(method + " " + path + " did not succeed: " + lastAnswer);
  }

  @Override
  public void close() {
    closed = true;
    processes.forEach(Process::destroyForcibly);
    eventLoop.stop();
  }
}
