package io.pineladder.sim;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command of the deploy file that starts a controller, with its heap and other JVM options. */
final class DeployCommand {
  private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");

  private DeployCommand() {}

  /**
   * The command for a packaged controller, without the settings file.
   *
   * @param jar the packaged controller; null for the class path of this process, without the
   *     class-data archive of the package
   */
  static List<String> of(Path jar) {
    List<String> command = new ArrayList<>();
    try {
      String run = new TomlMapper().readTree(DEPLOY_FILE.toFile()).get("run").asText();
      for (String argument : run.split(" ", -1)) {
        if (jar != null || !argument.contains("pineladder.jsa")) {
          command.add(argument);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    command.set(
        0, System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.set(command.indexOf("-cp") + 1, jar != null ? jar.toString() : ownClassPath());
    return command;
  }

  /** The class path of this process. */
  static String ownClassPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }
}
