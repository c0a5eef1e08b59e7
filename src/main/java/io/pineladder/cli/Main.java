package io.pineladder.cli;

import io.pineladder.Node;
import io.pineladder.admin.Metrics;
import io.pineladder.front.Front;
import io.pineladder.model.Settings;
import io.pineladder.net.HttpCaller;
import io.pineladder.net.Sockets;
import io.pineladder.net.UndertowCaller;
import io.pineladder.net.XnioRuntime;
import io.pineladder.wire.SettingsReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.ParseResult;

/** The program: serves, checks a settings file, or talks to a controller's administration API. */
public final class Main {
  static final int EXIT_OK = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private Main() {}

  public static void main(String[] args) {
    int code = run(args);
    if (code >= 0) {
      System.exit(code);
    }
  }

  /** Runs a command; a negative result means that the service goes on running. */
  static int run(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    CommandLine commandLine = new CommandLine(spec());
    try {
      ParseResult parsed = commandLine.parseArgs(args);
      if (CommandLine.printHelpIfRequested(parsed)) {
        return EXIT_OK;
      }
      if (parsed.hasSubcommand()) {
        ParseResult sub = parsed.subcommand();
        return switch (sub.commandSpec().name()) {
          case "check" -> check(sub.matchedPositionalValue(0, Path.of("")));
          case "admin" -> AdminCommand.run(sub);
          case "train" -> Training.run();
          default -> EXIT_USAGE;
        };
      }
      Path config = parsed.matchedOptionValue("--config", null);
      if (config == null) {
        System.err.println("--config FILE is missing");
        commandLine.usage(System.err);
        return EXIT_USAGE;
      }
      return serve(config);
    } catch (CommandLine.ParameterException e) {
      System.err.println(e.getMessage());
      e.getCommandLine().usage(System.err);
      return EXIT_USAGE;
    }
  }

  private static CommandSpec spec() {
    CommandSpec check =
        CommandSpec.create()
            .name("check")
            .mixinStandardHelpOptions(true)
            .addPositional(
                PositionalParamSpec.builder()
                    .paramLabel("FILE")
                    .type(Path.class)
                    .arity("1")
                    .description("settings file to check")
                    .build());
    check.usageMessage().description("Checks a settings file and names all its faults.");
    CommandSpec admin = AdminCommand.spec();
    CommandSpec train = CommandSpec.create().name("train");
    train.usageMessage().hidden(true);
    CommandSpec root =
        CommandSpec.create()
            .name("pineladder")
            .mixinStandardHelpOptions(true)
            .version(version())
            .addOption(
                OptionSpec.builder("--config")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .description("serve with this settings file")
                    .build())
            .addSubcommand("check", check)
            .addSubcommand("admin", admin)
            .addSubcommand("train", train);
    root.usageMessage().description("A cluster scheduler. With --config it serves.");
    return root;
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return "pineladder " + (version == null ? "development" : version);
  }

  private static void configureLogging(String level) {
    String chosen = level == null || level.isBlank() ? "info" : level.toLowerCase();
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.io.pineladder", chosen);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.jboss.logging.provider", "slf4j");
  }

  private static int check(Path file) {
    try {
      SettingsReader.read(file);
      System.out.println(file + " is good");
      return EXIT_OK;
    } catch (IOException | SettingsReader.BadSettingsException e) {
      System.err.println(file + ": " + e.getMessage());
      return EXIT_FAILURE;
    }
  }

  private static int serve(Path file) {
    Logger log = LoggerFactory.getLogger(Main.class);
    Settings settings;
    try {
      settings = SettingsReader.read(file);
    } catch (IOException | SettingsReader.BadSettingsException e) {
      log.error("{}: {}", file, e.getMessage());
      return EXIT_FAILURE;
    }
    try {
      start(settings);
      return -1;
    } catch (IOException | RuntimeException e) {
      log.error("cannot serve: {}", e.getMessage(), e);
      return EXIT_FAILURE;
    }
  }

  /** What a connection to the front is for, by the path that is asked for. */
  private static Sockets.Part frontPart(String path) {
    return switch (Metrics.Operation.of("POST", path)) {
      case REPORT -> Sockets.Part.REPORTS;
      case READY -> Sockets.Part.ARRIVING;
      default -> Sockets.Part.USERS;
    };
  }

  /** What a connection to an address is for. */
  private static Sockets.Part part(Settings settings, String address) {
    if (address.equals(settings.storeAddress()) || address.equals(settings.cloudAddress())) {
      return Sockets.Part.SERVICES;
    }
    boolean peer = settings.peers().stream().anyMatch(p -> p.address().equals(address));
    return peer ? Sockets.Part.PEERS : Sockets.Part.ORDERS;
  }

  /** Starts a controller; everything happens on the runtime's thread from then on. */
  static XnioRuntime start(Settings settings) throws IOException {
    XnioRuntime runtime = new XnioRuntime(settings.maxSockets(), settings.workers().report());
    HttpCaller http = new UndertowCaller(runtime, address -> part(settings, address));
    byte[] nonce = new byte[12];
    RandomGenerator.of("SecureRandom").nextBytes(nonce);
    Node node = new Node(settings, runtime, http, HexFormat.of().formatHex(nonce));
    Metrics metrics = new Metrics();
    metrics.watch(runtime.sockets());
    Front front = new Front(node, metrics);
    runtime.serve(
        new XnioRuntime.Listener(settings.frontAddress(), front::handle, Main::frontPart));
    runtime.serve(
        new XnioRuntime.Listener(
            settings.clusterAddress(), front::handleCluster, path -> Sockets.Part.PEERS));
    runtime.execute(node::start);
    return runtime;
  }
}
