package io.pineladder.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.ParseResult;

/** {@code pineladder admin}: one call of a controller's administration API. */
final class AdminCommand {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Set<String> TOPICS =
      Set.of("status", "queue", "machines", "metrics", "takeovers", "settings");

  private AdminCommand() {}

  static CommandSpec spec() {
    CommandSpec spec =
        CommandSpec.create()
            .name("admin")
            .mixinStandardHelpOptions(true)
            .addOption(
                OptionSpec.builder("--address")
                    .paramLabel("HOST:PORT")
                    .type(String.class)
                    .required(true)
                    .description("a controller's cluster_listen address")
                    .build())
            .addOption(
                OptionSpec.builder("--set")
                    .paramLabel("NAME=SECONDS")
                    .type(Map.class)
                    .auxiliaryTypes(String.class, Double.class)
                    .description("with settings: change one; may be repeated")
                    .build())
            .addPositional(
                PositionalParamSpec.builder()
                    .paramLabel("TOPIC")
                    .type(String.class)
                    .arity("1")
                    .description("status, queue, machines, metrics, takeovers or settings")
                    .build());
    spec.usageMessage().description("Asks a controller, or changes the operators' settings.");
    return spec;
  }

  static int run(ParseResult parsed) {
    String topic = parsed.matchedPositionalValue(0, "");
    Map<String, Double> changes = parsed.matchedOptionValue("--set", Map.of());
    if (!TOPICS.contains(topic) || (!changes.isEmpty() && !topic.equals("settings"))) {
      System.err.println("TOPIC is one of " + List.copyOf(TOPICS) + "; --set goes with settings");
      return Main.EXIT_USAGE;
    }
    String address = parsed.matchedOptionValue("--address", "");
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://" + address + "/admin/v1/" + topic))
              .timeout(TIMEOUT);
      if (!changes.isEmpty()) {
        ObjectNode body = Json.object();
        changes.forEach(body::put);
        request.PUT(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)));
      }
      HttpResponse<String> response =
          HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
      (response.statusCode() == 200 ? System.out : System.err).println(response.body());
      return response.statusCode() == 200 ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IOException | IllegalArgumentException e) {
      System.err.println(address + ": " + e.getMessage());
      return Main.EXIT_FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Main.EXIT_FAILURE;
    }
  }
}
