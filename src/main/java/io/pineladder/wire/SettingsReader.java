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

/** Reads the settings file and reports all errors in it at once. */
public final class SettingsReader {
  private static final Pattern IPV4_ADDRESS =
      Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:([1-9]\\d{0,4}|0)");
  private static final double MAX_NUMBER = 1e9;

  /** Operations in the largest transaction that cannot be split (docs/upgrades.md). */
  private static final int MIN_TRANSACTION_OPS = 4;

  /** Lower bound of the default number of sockets. */
  private static final int MIN_DEFAULT_SOCKETS = 1000;

  /**
   * Upper bound of the default number of sockets. Less the sockets reserved for other traffic
   * classes, it leaves more than one socket for the heartbeats of each of 4,000 machines.
   */
  static final int MAX_DEFAULT_SOCKETS = 7_000;

  /** File descriptors not used for sockets: class archives, logs, snapshots. */
  private static final int RESERVED_FILE_DESCRIPTORS = 100;

  private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
  private static final Pattern OPEN_FILES_LIMIT = Pattern.compile("Max open files +(\\d+) .*");

  private final List<String> errors = new ArrayList<>();

  private SettingsReader() {}

  /** Thrown for an invalid settings file; the message lists all errors. */
  public static final class BadSettingsException extends Exception {
    BadSettingsException(List<String> errors) {
      super("bad settings: " + String.join("; ", errors));
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
    Settings settings = reader.readSettings(reader.new Table("", root));
    if (!reader.errors.isEmpty()) {
      throw new BadSettingsException(reader.errors);
    }
    return settings;
  }

  /** Reads all tables; errors are reported in the order of the reads. */
  private Settings readSettings(Table root) {
    Table external = root.table("external");
    Table deployment = root.table("deployment");
    Table workers = deployment.table("workers");
    Table state = deployment.table("state");
    Table cloud = deployment.table("cloud");
    String controllerName = root.string("member");
    String zone = root.string("area");
    String userAddress = root.address("front");
    String clusterAddress = root.address("cluster_listen");
    if (!userAddress.isEmpty() && userAddress.equals(clusterAddress)) {
      errors.add("front and cluster_listen are the same");
    }
    List<Settings.Peer> peers = readPeers(root);
    Duration heartbeatInterval = workers.seconds("report_s", 0.01);
    Duration leaseDuration = workers.seconds("lease_s", 0.1);
    if (workers.contains("report_s") && workers.contains("lease_s")) {
      checkLease(heartbeatInterval, leaseDuration);
    }
    List<Team> teams = readTeams(deployment);
    List<Settings.Objective> objectives = readObjectives(deployment);
    Settings.StoreLimits currentLimits = readStoreLimits(state, null);
    Settings.StoreLimits nextLimits =
        state.contains("next")
            ? readStoreLimits(state.table("next"), currentLimits)
            : currentLimits;
    return new Settings(
        controllerName,
        zone,
        userAddress,
        clusterAddress,
        peers,
        external.address("cloud"),
        external.address("state"),
        deployment.strings("zones"),
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
        readMaxSockets(deployment),
        readCoreShare(deployment));
  }

  private List<Settings.Peer> readPeers(Table root) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (Table peer : root.tables("seeds")) {
      peers.add(
          new Settings.Peer(peer.string("member"), peer.string("area"), peer.address("address")));
    }
    if (peers.isEmpty()) {
      errors.add("seeds names no other controller");
    }
    return List.copyOf(peers);
  }

  /**
   * Rejects a lease that can expire between two heartbeats, which may be late by a quarter of their
   * interval.
   */
  private void checkLease(Duration heartbeatInterval, Duration leaseDuration) {
    if (leaseDuration.compareTo(heartbeatInterval.plus(heartbeatInterval.dividedBy(4))) <= 0) {
      errors.add("deployment.workers.lease_s is not longer than a report may take to come");
    }
  }

  private static List<Team> readTeams(Table deployment) {
    List<Team> teams = new ArrayList<>();
    for (Table team : deployment.tables("teams")) {
      teams.add(
          new Team(
              team.string("name"),
              Resources.of(
                  team.number("cpus", 0, MAX_NUMBER), team.number("gpus", 0, MAX_NUMBER), 0),
              team.number("cpus_max", 0, MAX_NUMBER),
              team.number("gpus_max", 0, MAX_NUMBER)));
    }
    return List.copyOf(teams);
  }

  private static List<Settings.Objective> readObjectives(Table deployment) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (Table item : deployment.tables("objectives")) {
      objectives.add(
          new Settings.Objective(
              item.string("kind"),
              item.contains("class") ? item.string("class") : null,
              item.contains("within_s") ? item.seconds("within_s", 0) : null,
              item.contains("share") ? item.number("share", 0, 1) : 1,
              item.contains("times") ? item.number("times", 0, MAX_NUMBER) : 1));
    }
    return List.copyOf(objectives);
  }

  private static int readMaxSockets(Table deployment) {
    return deployment.contains("resources")
        ? (int) deployment.table("resources").number("max_sockets", 64, MAX_NUMBER)
        : defaultMaxSockets(maxOpenFiles());
  }

  private static double readCoreShare(Table deployment) {
    return deployment.contains("resources") && deployment.table("resources").contains("core_share")
        ? deployment.table("resources").number("core_share", 0.001, MAX_NUMBER)
        : 1;
  }

  /** The number of sockets if the settings do not specify it, given the limit of open files. */
  static int defaultMaxSockets(long maxOpenFiles) {
    return (int)
        Math.max(
            MIN_DEFAULT_SOCKETS,
            Math.min(MAX_DEFAULT_SOCKETS, maxOpenFiles - RESERVED_FILE_DESCRIPTORS));
  }

  /** The operating system's limit of open files for this process; 0 if unknown. */
  private static long maxOpenFiles() {
    try {
      for (String line : Files.readAllLines(PROCESS_LIMITS)) {
        Matcher limit = OPEN_FILES_LIMIT.matcher(line);
        if (limit.matches()) {
          return Long.parseLong(limit.group(1));
        }
        if (line.startsWith("Max open files")) {
          return Long.MAX_VALUE;
        }
      }
    } catch (IOException | NumberFormatException e) {
      // The limit is unknown.
    }
    return 0;
  }

  /**
   * Reads the limits of the key-value store.
   *
   * @param defaults limits for absent fields; null if all fields are required
   */
  private static Settings.StoreLimits readStoreLimits(Table table, Settings.StoreLimits defaults) {
    boolean required = defaults == null;
    return new Settings.StoreLimits(
        required || table.contains("rps")
            ? table.number("rps", 1, MAX_NUMBER)
            : defaults.requestsPerSecond(),
        required || table.contains("write_rps")
            ? table.number("write_rps", 1, MAX_NUMBER)
            : defaults.writesPerSecond(),
        required || table.contains("value_kb")
            ? (int) (table.number("value_kb", 1, 1e5) * 1024)
            : defaults.valueBytes(),
        required || table.contains("txn_ops")
            ? (int) table.number("txn_ops", MIN_TRANSACTION_OPS, MAX_NUMBER)
            : defaults.transactionOps());
  }

  /** A table of the settings file, with its path for error messages. */
  private final class Table {
    private final String path;
    private final JsonNode node;

    Table(String path, JsonNode node) {
      this.path = path;
      this.node = node;
    }

    private String pathOf(String name) {
      return path.isEmpty() ? name : path + "." + name;
    }

    boolean contains(String name) {
      return node != null && node.has(name);
    }

    private JsonNode required(String name) {
      JsonNode value = node == null ? null : node.get(name);
      if (value == null) {
        errors.add(pathOf(name) + " is missing");
      }
      return value;
    }

    Table table(String name) {
      JsonNode value = required(name);
      if (value != null && !value.isObject()) {
        errors.add(pathOf(name) + " is not a table");
        value = null;
      }
      return new Table(pathOf(name), value);
    }

    List<Table> tables(String name) {
      List<Table> tables = new ArrayList<>();
      JsonNode value = node == null ? null : node.get(name);
      if (value == null) {
        return tables;
      }
      if (!value.isArray()) {
        errors.add(pathOf(name) + " is not a list of tables");
        return tables;
      }
      for (JsonNode item : value) {
        tables.add(new Table(pathOf(name) + "[" + tables.size() + "]", item));
      }
      return tables;
    }

    String string(String name) {
      JsonNode value = required(name);
      if (value == null) {
        return "";
      }
      if (!value.isTextual() || value.textValue().isEmpty()) {
        errors.add(pathOf(name) + " is not a text");
        return "";
      }
      return value.textValue();
    }

    String address(String name) {
      String address = string(name);
      if (!address.isEmpty()) {
        boolean valid = IPV4_ADDRESS.matcher(address).matches();
        if (!valid || Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)) > 65535) {
          errors.add(pathOf(name) + " is not an IPv4 address with a port");
        }
      }
      return address;
    }

    List<String> strings(String name) {
      List<String> strings = new ArrayList<>();
      JsonNode value = required(name);
      if (value == null) {
        return strings;
      }
      if (!value.isArray() || value.isEmpty()) {
        errors.add(pathOf(name) + " is not a list of texts");
        return strings;
      }
      for (JsonNode item : value) {
        if (!item.isTextual()) {
          errors.add(pathOf(name) + " holds something that is not a text");
        }
        strings.add(item.asText());
      }
      return strings;
    }

    double number(String name, double min, double max) {
      JsonNode value = required(name);
      if (value == null) {
        return min;
      }
      if (!value.isNumber()) {
        errors.add(pathOf(name) + " is not a number");
        return min;
      }
      double number = value.doubleValue();
      if (!(number >= min && number <= max)) {
        errors.add(pathOf(name) + " is out of range");
        return min;
      }
      return number;
    }

    Duration seconds(String name, double min) {
      return Duration.ofNanos(Math.round(number(name, min, 1e6) * 1e9));
    }
  }
}
