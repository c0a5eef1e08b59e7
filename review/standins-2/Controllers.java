import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Controllers as processes, started by the command of the deploy file. */
final class Controllers implements AutoCloseable {
  private final Record record;
  private final Path folder;
  private final List<String> command;
  private final List<Process> processes = new ArrayList<>();
  private final Path workFolder;
  final int[] frontPorts;

  /** The zones of the controllers, in turn. */
  List<String> areas = List.of("wattala");

  final int[] clusterPorts;

  /**
   * Prepares the controllers.
   *
   * @param deployFile the deploy file, relative to the repository's root, the working directory
   */
  Controllers(Record record, Path folder, String deployFile, int count) throws IOException {
    this.record = record;
    this.folder = folder;
    this.command = runCommand(Path.of(deployFile));
    // The command names files below the working directory: the package, and a key for delivery.
    this.workFolder = Files.createDirectory(folder.resolve("work"));
    Files.createSymbolicLink(
        workFolder.resolve("target"), Path.of("target").toAbsolutePath());
    this.frontPorts = Http.freePorts(count);
    this.clusterPorts = Http.freePorts(count);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static List<String> runCommand(Path file) throws IOException {
    for (String line : Files.readAllLines(file)) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException(file + " has no run command");
  }

  /**
   * Writes the settings of all controllers and starts them.
   *
   * @param deployment the part of the settings that all have in common
   */
  void start(int cloudPort, int[] storePorts, String deployment) throws IOException {
    for (int i = 0; i < frontPorts.length; i++) {
      StringBuilder text = new StringBuilder();
      text.append("member = \"rung-" + i + "\"\narea = \"" + areas.get(i % areas.size()) + "\"\n");
      text.append("front = \"127.0.0.1:" + frontPorts[i] + "\"\n");
      text.append("cluster_listen = \"127.0.0.1:" + clusterPorts[i] + "\"\n");
      for (int j = 0; j < frontPorts.length; j++) {
        if (j != i) {
          text.append("\n[[seeds]]\nmember = \"rung-" + j + "\"\narea = \"" + areas.get(j % areas.size()) + "\"\n");
          text.append("address = \"127.0.0.1:" + clusterPorts[j] + "\"\n");
        }
      }
      text.append("\n[external]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
      text.append("state = \"127.0.0.1:" + storePorts[i] + "\"\n\n");
      text.append("[deployment]\ncount = " + frontPorts.length + "\n" + deployment);
      Files.writeString(folder.resolve("settings-" + i + ".toml"), text);
      processes.add(null);
      launch(i);
    }
  }

  /** The folder in which the command is run. */
  Path workFolder() {
    return workFolder;
  }

  /** Starts the process of a controller. */
  void launch(int index) throws IOException {
    List<String> words = new ArrayList<>(command);
    words.add(folder.resolve("settings-" + index + ".toml").toString());
    ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
    builder.directory(workFolder.toFile());
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    builder.environment().put("LOG_LEVEL", level);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("controller-" + index + ".log").toFile()));
    processes.set(index, builder.start());
    record.add("controller rung-" + index + " started");
  }

  boolean isAlive(int index) {
    return processes.get(index).isAlive();
  }

  int exitCode(int index) {
    return processes.get(index).exitValue();
  }

  long pid(int index) {
    return processes.get(index).pid();
  }

  /** Sends a signal: KILL, STOP or CONT. */
  void signal(int index, String name) {
    try {
      record.say("signal " + name + " to rung-" + index);
      new ProcessBuilder("kill", "-" + name, Long.toString(pid(index))).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The index of the controller that leads; -1 if none does. */
  int leader() {
    for (int i = 0; i < frontPorts.length; i++) {
      Http.Answer answer = Http.call("GET", clusterPorts[i], "/admin/v1/status", null, 800);
      if (answer.status() == 200
          && "leading".equals(Json.object(answer.body()).get("leadership"))) {
        return i;
      }
    }
    return -1;
  }

  /** Waits until a controller leads; returns its index, or -1. */
  int awaitLeader(double seconds) throws InterruptedException {
    long until = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < until) {
      int leader = leader();
      if (leader >= 0) {
        return leader;
      }
      Thread.sleep(200);
    }
    return -1;
  }

  Map<String, Object> status(int index) {
    return Json.object(Http.call("GET", clusterPorts[index], "/admin/v1/status", null, 800).body());
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }
}
