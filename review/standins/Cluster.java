import com.sun.net.httpserver.HttpServer;
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
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Controllers started with the command of the deploy file, on free loopback ports. */
final class Cluster implements AutoCloseable {
  final ExecutorService threads = Executors.newCachedThreadPool(daemon());
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8, daemon());
  final List<Integer> fronts = new ArrayList<>();
  /** The addresses at which users reach the controllers. */
  private final List<Integer> users = new ArrayList<>();
  final List<Process> processes = new ArrayList<>();
  private final List<List<String>> commands = new ArrayList<>();
  final List<Integer> clusterPorts = new ArrayList<>();
  private final List<Integer> statePorts = new ArrayList<>();
  private int cloudPort;
  /** The links of each controller; empty unless they were asked for. */
  private final List<List<Silence>> links = new ArrayList<>();
  private String deployFile = "deploy/service.toml";
  private final Path key;
  private final Path folder;
  private final Record record;
  final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();

  Cluster(Record record) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("case");
    this.key = folder.resolve("delivery.key");
  }

  /** Starts the controllers with the command that also delivers final answers to subscribers. */
  void deliver() throws IOException {
    deployFile = "deploy/delivery.toml";
    byte[] bytes = new byte[32];
    new SecureRandom().nextBytes(bytes);
    Files.writeString(key, Base64.getEncoder().encodeToString(bytes) + "\n");
    Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
  }

  private static java.util.concurrent.ThreadFactory daemon() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** A free port below the range from which outgoing connections get theirs. */
  static int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = 12_000 + java.util.concurrent.ThreadLocalRandom.current().nextInt(18_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
        return port;
      } catch (IOException e) {
        // In use; another one is tried.
      }
    }
    throw new IOException("no free port");
  }

  void serve(StateService state, Fleet fleet, int controllers) throws IOException {
    for (int i = 0; i < controllers; i++) {
      int client = i;
      HttpServer server = Http.serve(0, threads, exchange -> state.handle(client, exchange));
      statePorts.add(Http.port(server));
    }
    cloudPort = Http.port(Http.serve(0, threads, fleet::handleCloud));
    for (int i = 0; i < controllers; i++) {
      fronts.add(freePort());
      clusterPorts.add(freePort());
    }
    users.addAll(fronts);
    fleet.setFronts(fronts);
  }

  /** Puts a link before each address, so that a controller's network can fall silent. */
  void addLinks(Fleet fleet) throws IOException {
    for (int i = 0; i < fronts.size(); i++) {
      links.add(new ArrayList<>());
    }
    List<Integer> linked = new ArrayList<>();
    for (int i = 0; i < fronts.size(); i++) {
      linked.add(link(fronts.get(i), i, i));
    }
    users.clear();
    users.addAll(linked);
    fleet.setFronts(linked);
  }

  private int link(int port, int one, int other) throws IOException {
    if (links.isEmpty()) {
      return port;
    }
    Silence link = new Silence(port);
    links.get(one).add(link);
    if (other != one) {
      links.get(other).add(link);
    }
    return link.port();
  }

  /** From now on this controller's network is silent, or no longer is; what is sent meanwhile is held. */
  void silence(int index, boolean on) {
    links.get(index).forEach(link -> link.set(on));
  }

  /**
   * Starts all controllers.
   *
   * @param zones the zone of each controller
   * @param deployment the tables of the settings from [deployment] on
   */
  void start(List<String> zones, String deployment) throws IOException {
    String run = null;
    for (String line : Files.readAllLines(Path.of(deployFile))) {
      if (line.startsWith("run = ")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    for (int i = 0; i < fronts.size(); i++) {
      StringBuilder text = new StringBuilder();
      text.append("member = \"rung-" + i + "\"\narea = \"" + zones.get(i) + "\"\n");
      text.append("front = \"127.0.0.1:" + fronts.get(i) + "\"\n");
      text.append("cluster_listen = \"127.0.0.1:" + clusterPorts.get(i) + "\"\n");
      for (int j = 0; j < fronts.size(); j++) {
        if (j != i) {
          text.append("\n[[seeds]]\nmember = \"rung-" + j + "\"\narea = \"" + zones.get(j) + "\"\n");
          text.append("address = \"127.0.0.1:" + link(clusterPorts.get(j), i, j) + "\"\n");
        }
      }
      text.append("\n[external]\ncloud = \"127.0.0.1:" + link(cloudPort, i, i) + "\"\n");
      text.append("state = \"127.0.0.1:" + link(statePorts.get(i), i, i) + "\"\n\n").append(deployment);
      Path settings = folder.resolve("rung-" + i + ".toml");
      Files.writeString(settings, text.toString());
      List<String> command = new ArrayList<>(List.of(run.replace("delivery.key", key.toString()).split(" ")));
      command.add(settings.toString());
      commands.add(command);
      processes.add(null);
      restart(i);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
  }

  /** Ends the run with exit code 2, as one that could not be carried out, after this time. */
  void endAfter(int seconds) {
    Thread limit = new Thread(() -> {
      try {
        Thread.sleep(seconds * 1000L);
        record.say("the time is over");
        record.close();
        close();
      } catch (InterruptedException e) {
        // Ended before.
      }
      Runtime.getRuntime().halt(2);
    });
    limit.setDaemon(true);
    limit.start();
  }

  /** Starts a controller, or starts it again with the same settings. */
  void restart(int index) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(commands.get(index));
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("rung-" + index + ".log").toFile()));
    processes.set(index, builder.start());
  }

  /** Waits until a controller is the leader and answers; returns its index, or -1 after the time. */
  int awaitLeader(StateService state, double seconds) throws InterruptedException {
    double until = record.seconds() + seconds;
    while (record.seconds() < until) {
      String leader = state.leader();
      if (leader != null && state.value("conf/types") != null) {
        return Integer.parseInt(leader.substring("rung-".length()));
      }
      Thread.sleep(100);
    }
    return -1;
  }

  /** The end of a controller's log. */
  List<String> logLines(int index, String containing) throws IOException {
    try (Stream<String> lines = Files.lines(folder.resolve("rung-" + index + ".log"))) {
      return lines.filter(line -> line.contains(containing)).toList();
    }
  }

  HttpResponse<String> request(int index, String method, String path, String body, double seconds)
      throws InterruptedException {
    try {
      return client.send(
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + users.get(index) + path))
              .timeout(Duration.ofMillis((long) (seconds * 1000)))
              .method(method, body == null
                  ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
              .build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    }
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      // The folder is temporary.
    }
  }
}
