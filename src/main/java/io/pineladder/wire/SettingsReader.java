package io.pineladder.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.Team;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the settings file; one message names all errors in it. */
public final class SettingsReader {
  private static final Pattern IPV4_ADDRESS =
      Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:([1-9]\\d{0,4}|0)");
  private static final double MAX_NUMBER = 1e9;

  /** Key changes of the largest transaction that cannot be divided (docs/upgrades.md). */
  private static final int MIN_TRANSACTION_OPS = 4;

  /** The default number of sockets where the operating system allows no more. */
  private static final int MIN_DEFAULT_SOCKETS = 1000;

  /**
   * The maximum default number of sockets: the classes' reservations leave about 4,470 of them to
   * heartbeats, which is more than one for each of 4,000 machines.
   */
  static final int MAX_DEFAULT_SOCKETS = 7_000;

  /** File descriptors reserved for other files: class archives, logs, snapshots. */
  private static final int RESERVED_FILES = 100;

  private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
  private static final Pattern OPEN_FILES = Pattern.compile("Max open files +(\\d+) .*");

  private final List<String> faults = new ArrayList<>();

  private SettingsReader() {}

  /** The settings file is invalid; the message names all errors. */
  public static final class BadSettingsException extends Exception {
    BadSettingsException(List<String> faults) {
      super("bad settings: " + String.join("; ", faults));
    }
  }

  /** Reads a settings file. */
  public static Settings read(Path file) throws IOException, BadSettingsException {
    return parse(Files.readString(file));
  }

  /** Reads the text of a settings file. */
  public static Settings parse(String toml) throws BadSettingsException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(toml);
    } catch (IOException e) {
      throw new BadSettingsException(
          List.of("not TOML: " + e.getMessage().lines().findFirst().orElse("")));
    }
    SettingsReader reader = new SettingsReader();
    Settings settings = reader.settings(reader.new Table("", root));
    if (!reader.faults.isEmpty()) {
      throw new BadSettingsException(reader.faults);
    }
    return settings;
  }

  /** Reads all tables; the order of the reads is the order of the errors in the message. */
  private Settings settings(Table root) {
    Table external = root.table("external");
    Table deployment = root.table("deployment");
    Table workers = deployment.table("workers");
    Table state = deployment.table("state");
    Table cloud = deployment.table("cloud");
    String controllerName = root.text("member");
    String zone = root.text("area");
    String userAddress = root.address("front");
    String clusterAddress = root.address("cluster_listen");
    if (!userAddress.isEmpty() && userAddress.equals(clusterAddress)) {
      faults.add("front and cluster_listen are the same");
    }
    List<Settings.Peer> peers = peers(root);
    Duration heartbeatInterval = workers.seconds("report_s", 0.01);
    Duration leaseDuration = workers.seconds("lease_s", 0.1);
    if (workers.has("report_s") && workers.has("lease_s")) {
      checkLease(heartbeatInterval, leaseDuration);
    }
    List<Team> teams = teams(deployment);
    List<Settings.Objective> objectives = objectives(deployment);
    Settings.StoreLimits currentLimits = storeLimits(state, null);
    Settings.StoreLimits nextLimits =
        state.has("next") ? storeLimits(state.table("next"), currentLimits) : currentLimits;
    return new Settings(
        controllerName,
        zone,
        userAddress,
        clusterAddress,
        peers,
        external.address("cloud"),
        external.address("state"),
        deployment.texts("zones"),
        teams,
        objectives,
        new Settings.WorkerTimes(
            heartbeatInterval,
            leaseDuration,
            workers.seconds("gang_wait_s", 0.01),
            workers.seconds("gang_peer_s", 0.01),
            workers.seconds("cancel_s", 0.01)),
        currentLimits.strictest(nextLimits),
        currentLimits,
        new Settings.CloudLimits(
            cloud.number("rps", 0.01, MAX_NUMBER), cloud.seconds("list_lag_s", 0)),
        maxSockets(deployment),
        coreShare(deployment));
  }

  private List<Settings.Peer> peers(Table root) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (Table peer : root.tables("seeds")) {
      peers.add(new Settings.Peer(peer.text("member"), peer.text("area"), peer.address("address")));
    }
    if (peers.isEmpty()) {
      faults.add("seeds names no other controller");
    }
    return List.copyOf(peers);
  }

  /**
   * Heartbeats arrive up to a quarter late: with a shorter lease all tasks would end in between.
   */
  private void checkLease(Duration heartbeatInterval, Duration leaseDuration) {
    if (leaseDuration.compareTo(heartbeatInterval.plus(heartbeatInterval.dividedBy(4))) <= 0) {
      faults.add("deployment.workers.lease_s is not longer than a report may take to come");
    }
  }

  private static List<Team> teams(Table deployment) {
    List<Team> teams = new ArrayList<>();
    for (Table team : deployment.tables("teams")) {
      teams.add(
          new Team(
              team.text("name"),
              Resources.of(
                  team.number("cpus", 0, MAX_NUMBER), team.number("gpus", 0, MAX_NUMBER), 0),
              team.number("cpus_max", 0, MAX_NUMBER),
              team.number("gpus_max", 0, MAX_NUMBER)));
    }
    return List.copyOf(teams);
  }

  private static List<Settings.Objective> objectives(Table deployment) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (Table item : deployment.tables("objectives")) {
      objectives.add(
          new Settings.Objective(
              item.text("kind"),
              item.has("class") ? item.text("class") : null,
              item.has("within_s") ? item.seconds("within_s", 0) : null,
              item.has("share") ? item.number("share", 0, 1) : 1,
              item.has("times") ? item.number("times", 0, MAX_NUMBER) : 1));
    }
    return List.copyOf(objectives);
  }

  private static int maxSockets(Table deployment) {
    return deployment.has("resources")
        ? (int) deployment.table("resources").number("max_sockets", 64, MAX_NUMBER)
        : defaultMaxSockets(maxOpenFiles());
  }

  private static double coreShare(Table deployment) {
    return deployment.has("resources") && deployment.table("resources").has("core_share")
        ? deployment.table("resources").number("core_share", 0.001, MAX_NUMBER)
        : 1;
  }

  /** The number of sockets where the settings name none, by the limit of open files. */
  static int defaultMaxSockets(long openFiles) {
    return (int)
        Math.max(MIN_DEFAULT_SOCKETS, Math.min(MAX_DEFAULT_SOCKETS, openFiles - RESERVED_FILES));
  }

  /** The operating system's limit of open files for this process; 0 when it is not known. */
  private static long maxOpenFiles() {
    try {
      for (String line : Files.readAllLines(PROCESS_LIMITS)) {
        Matcher limit = OPEN_FILES.matcher(line);
        if (limit.matches()) {
          return Long.parseLong(limit.group(1));
        }
        if (line.startsWith("Max open files")) {
          return Long.MAX_VALUE;
        }
      }
    } catch (IOException | NumberFormatException e) {
      // The limit is not known.
    }
    return 0;
  }

  /**
   * The state service's limits.
   *
   * @param fallback limits for those that the table does not name; null when it must name all
   */
  private static Settings.StoreLimits storeLimits(Table table, Settings.StoreLimits fallback) {
    boolean required = fallback == null;
    return new Settings.StoreLimits(
        required || table.has("rps")
            ? table.number("rps", 1, MAX_NUMBER)
            : fallback.requestsPerSecond(),
        required || table.has("write_rps")
            ? table.number("write_rps", 1, MAX_NUMBER)
            : fallback.writesPerSecond(),
        required || table.has("value_kb")
            ? (int) (table.number("value_kb", 1, 1e5) * 1024)
            : fallback.valueBytes(),
        required || table.has("txn_ops")
            ? (int) table.number("txn_ops", MIN_TRANSACTION_OPS, MAX_NUMBER)
            : fallback.transactionOps());
  }

  /** One table of the file, with its path for messages. */
  private final class Table {
    private final String path;
    private final JsonNode node;

    Table(String place, JsonNode node) {
      this.path = place;
      this.node = node;
    }

    private String pathOf(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }

    boolean has(String name) {
      return node != null && node.has(name);
    }

    private JsonNode get(String name) {
      JsonNode found = node == null ? null : node.get(name);
      if (found == null) {
        faults.add(pathOf(name) + " is missing");
      }
      return found;
    }

    Table table(String name) {
      JsonNode found = get(name);
      if (found != null && !found.isObject()) {
        faults.add(pathOf(name) + " is not a table");
        found = null;
      }
      return new Table(pathOf(name), found);
    }

    List<Table> tables(String name) {
      List<Table> tables = new ArrayList<>();
      JsonNode found = node == null ? null : node.get(name);
      if (found == null) {
        return tables;
      }
      if (!found.isArray()) {
        faults.add(pathOf(name) + " is not a list of tables");
        return tables;
      }
      for (JsonNode item : found) {
        tables.add(new Table(pathOf(name) + "[" + tables.size() + "]", item));
      }
      return tables;
    }

    String text(String name) {
      JsonNode found = get(name);
      if (found == null) {
        return "";
      }
      if (!found.isTextual() || found.textValue().isEmpty()) {
        faults.add(pathOf(name) + " is not a text");
        return "";
      }
      return found.textValue();
    }

    String address(String name) {
      String found = text(name);
      if (!found.isEmpty()) {
        boolean valid = IPV4_ADDRESS.matcher(found).matches();
        if (!valid || Integer.parseInt(found.substring(found.lastIndexOf(':') + 1)) > 65535) {
          faults.add(pathOf(name) + " is not an IPv4 address with a port");
        }
      }
      return found;
    }

    List<String> texts(String name) {
      List<String> texts = new ArrayList<>();
      JsonNode found = get(name);
      if (found == null) {
        return texts;
      }
      if (!found.isArray() || found.isEmpty()) {
        faults.add(pathOf(name) + " is not a list of texts");
        return texts;
      }
      for (JsonNode item : found) {
        if (!item.isTextual()) {
          faults.add(pathOf(name) + " holds something that is not a text");
        }
        texts.add(item.asText());
      }
      return texts;
    }

    double number(String name, double min, double max) {
      JsonNode found = get(name);
      if (found == null) {
        return min;
      }
      if (!found.isNumber()) {
        faults.add(pathOf(name) + " is not a number");
        return min;
      }
      double value = found.doubleValue();
      if (!(value >= min && value <= max)) {
        faults.add(pathOf(name) + " is out of range");
        return min;
      }
      return value;
    }

    Duration seconds(String name, double min) {
      return Duration.ofNanos(Math.round(number(name, min, 1e6) * 1e9));
    }
  }
}
