package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.XnioEventLoop;
import io.pineladder.wire.Json;
import io.pineladder.wire.SettingsReaderTest;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Controllers as processes of their own on loopback, with the stand-ins in real time in this one.
 */
final class LoopbackCluster implements AutoCloseable {
  private static final Duration TICK = Duration.ofMillis(2);

  private final Path folder;
  private final XnioEventLoop runtime;
  private final SimulatedWorld world = new SimulatedWorld(1);
  final FakeKeyValueStore store = new FakeKeyValueStore(world, 12, 8192);
  private final List<Process> processes = new ArrayList<>();
  private final String storeAddress = freeAddress();
  private final String cloudAddress = freeAddress();
  private final List<String> fronts = new ArrayList<>();
  private final List<String> adminAddresses = new ArrayList<>();
  private final List<String> options;
  private final double coreShare;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private volatile boolean closed;

  /**
   * A cluster.
   *
   * @param coreShare how much of a core their settings say that each has
   * @param options the controllers' arguments before the settings file
   */
  LoopbackCluster(Path folder, int controllers, double coreShare, List<String> options)
      throws IOException {
    this.folder = folder;
    this.coreShare = coreShare;
    this.options = options;
    runtime = new XnioEventLoop(4_000, Duration.ofSeconds(3));
    FakeFleet fleet = new FakeFleet(world, new SafetyRules(world, List.of()), List.of());
    fleet.zoneCapacity = 0;
    runtime.serve(
        new XnioEventLoop.Listener(
            storeAddress,
            store,
            ConnectionLimiter.TrafficClass.USERS,
            path -> ConnectionLimiter.TrafficClass.USERS));
    runtime.serve(
        new XnioEventLoop.Listener(
            cloudAddress,
            fleet,
            ConnectionLimiter.TrafficClass.USERS,
            path -> ConnectionLimiter.TrafficClass.USERS));
    for (int i = 0; i < controllers; i++) {
      fronts.add(freeAddress());
      adminAddresses.add(freeAddress());
    }
    for (int i = 0; i < controllers; i++) {
      Files.writeString(folder.resolve("settings-" + i + ".toml"), settings(i));
      processes.add(null);
      startController(i);
    }
    runtime.execute(this::tick);
  }

  /** Lets virtual time follow the clock. */
  private void tick() {
    if (!closed) {
      Duration behind = Duration.between(world.now().minusSeconds(1_000), runtime.now());
      world.runFor(behind);
      runtime.schedule(TICK, this::tick);
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
    String good = SettingsReaderTest.VALID_SETTINGS;
    int seeds = good.indexOf("[[seeds]]");
    StringBuilder text =
        new StringBuilder(good.substring(0, seeds))
            .append(
                "[external]\ncloud = \"" + cloudAddress + "\"\nstate = \"" + storeAddress + "\"\n");
    for (int i = 0; i < fronts.size(); i++) {
      if (i != index) {
        text.append("[[seeds]]\nmember = \"rung-" + i + "\"\narea = \"a\"\naddress = \"")
            .append(adminAddresses.get(i))
            .append("\"\n");
      }
    }
    text.append(good.substring(good.indexOf("[deployment]")));
    return text.toString()
        .replace(
            "member = \"rung-0\"\narea = \"a\"\nfront",
            "member = \"rung-" + index + "\"\narea = \"a\"\nfront")
        .replace("10.0.0.1:8080", fronts.get(index))
        .replace("10.0.0.1:8081", adminAddresses.get(index))
        .replace("write_rps = 60.0", "write_rps = 2000.0")
        .replace("rps = 100.0", "rps = 5000.0")
        .replace("core_share = 0.2", "core_share = " + coreShare);
  }

  /** A process of this program's classes, ended with this one. */
  Process start(String name, String main, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(List.of("-Xmx128m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp"));
    command.add(
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
    command.add(main);
    command.addAll(arguments);
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
    List<String> arguments = new ArrayList<>(options);
    arguments.add(folder.resolve("settings-" + index + ".toml").toString());
    processes.set(index, start("controller-" + index, "io.pineladder.cli.Controller", arguments));
  }

  /** Ends a controller without a word and starts it again. */
  void killController(int index) throws InterruptedException {
    processes.get(index).destroyForcibly().waitFor();
    startController(index);
  }

  Process controller(int index) {
    return processes.get(index);
  }

  /** Reads something of the stand-ins, on their thread. */
  <T> T readOnEventLoop(Supplier<T> what) throws Exception {
    java.util.concurrent.CompletableFuture<T> got = new java.util.concurrent.CompletableFuture<>();
    runtime.execute(() -> got.complete(what.get()));
    return got.get();
  }

  /** One request; null when there was no answer. */
  private HttpResponse<String> ask(String address, String method, String path, ObjectNode body)
      throws InterruptedException {
    try {
      return http.send(
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

  /** One request to one controller's users' address; null when there was no answer. */
  HttpResponse<String> requestOnce(int index, String method, String path) throws InterruptedException {
    return ask(fronts.get(index), method, path, null);
  }

  /** The controllers' addresses for administrators. */
  List<String> adminAddresses() {
    return adminAddresses;
  }

  /** Asks one address until it answers with 200 or 201. */
  ObjectNode requestAddressUntilSuccess(String address, String method, String path) throws InterruptedException {
    return requestUntilSuccess(List.of(address), method, path, null);
  }

  /** Asks one controller after the other until one answers with 200 or 201. */
  ObjectNode requestUntilSuccess(boolean admin, String method, String path, ObjectNode body)
      throws InterruptedException {
    return requestUntilSuccess(admin ? adminAddresses : fronts, method, path, body);
  }

  private ObjectNode requestUntilSuccess(List<String> addresses, String method, String path, ObjectNode body)
      throws InterruptedException {
    int first = Math.floorMod(path.hashCode(), addresses.size());
    String last = "no answer";
    for (int tries = 0; tries < 2_000; tries++) {
      HttpResponse<String> got =
          ask(addresses.get((first + tries) % addresses.size()), method, path, body);
      if (got != null && got.statusCode() / 100 == 2) {
        try {
          return Json.parseObject(got.body().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        } catch (io.pineladder.wire.MalformedMessageException e) {
          throw new AssertionError(got.body(), e);
        }
      }
      last = got == null ? last : got.statusCode() + " " + got.body();
      Thread.sleep(50);
    }
    throw new AssertionError(method + " " + path + ": " + last);
  }

  @Override
  public void close() {
    closed = true;
    processes.forEach(Process::destroyForcibly);
    runtime.stop();
  }
}
