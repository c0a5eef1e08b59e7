package io.pineladder.cli;

import io.pineladder.wire.SettingsReader;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.ParseResult;

/** Entry point of the command line: runs a controller, or a command for administration. */
public final class Main {
  static final int EXIT_OK = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the command line and exits with its code, unless it started a service. */
  public static void main(String[] args) {
    int code = run(args);
    if (code >= 0) {
      System.exit(code);
    }
  }

  /**
   * Runs a command.
   *
   * @return the exit code, or a negative value when a service is running
   */
  static int run(String[] args) {
    Controller.configureLogging(System.getenv("LOG_LEVEL"));
    CommandLine commandLine = new CommandLine(spec());
    try {
      ParseResult parsed = commandLine.parseArgs(args);
      if (CommandLine.printHelpIfRequested(parsed)) {
        return EXIT_OK;
      }
      if (parsed.hasSubcommand()) {
        ParseResult command = parsed.subcommand();
        return switch (command.commandSpec().name()) {
          case "check" -> check(command.matchedPositionalValue(0, Path.of("")));
          case "admin" -> AdminCommand.run(command);
          case "train" -> ArchiveTrainingRun.run();
          case "receive" -> ReceiveCommand.run(command);
          case "keygen" -> KeygenCommand.run(command);
          default -> EXIT_USAGE;
        };
      }
      Path config = parsed.matchedOptionValue("--config", null);
      if (config == null) {
        System.err.println("--config FILE is missing");
        commandLine.usage(System.err);
        return EXIT_USAGE;
      }
      return Controller.serve(
          config,
          new Controller.ServeOptions(
              parsed.matchedOptionValue(Controller.DELIVERY_OPTION, null),
              parsed.matchedOptionValue(Controller.SNAPSHOTS_OPTION, null)));
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
                    .description("the settings file to check")
                    .build());
    check.usageMessage().description("Validates a settings file and reports all errors.");
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
                    .description("run a controller with this settings file")
                    .build())
            .addOption(
                OptionSpec.builder("--delivery")
                    .paramLabel("KEYFILE")
                    .type(Path.class)
                    .description(
                        "deliver webhook notifications; the file holds a 32-byte key in Base64")
                    .build())
            .addOption(
                OptionSpec.builder("--snapshots")
                    .paramLabel("DIR")
                    .type(Path.class)
                    .description(
                        "write snapshots of the records to a subdirectory of this directory")
                    .build())
            .addSubcommand("check", check)
            .addSubcommand("admin", admin)
            .addSubcommand("receive", ReceiveCommand.spec())
            .addSubcommand("keygen", KeygenCommand.spec())
            .addSubcommand("train", train);
    root.usageMessage().description("A cluster scheduler. Runs a controller with --config.");
    return root;
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return "pineladder " + (version == null ? "development" : version);
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
}
