package io.pineladder.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.ParseResult;

/** {@code pineladder admin}: makes one request to a controller's administration API. */
final class AdminCommand {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Set<String> TOPICS =
      Set.of(
          "status",
          "queue",
          "machines",
          "metrics",
          "takeovers",
          "settings",
          "subscriptions",
          "networks",
          "snapshot");

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
                    .description("with settings: change a setting; may be repeated")
                    .build())
            .addOption(
                OptionSpec.builder("--file")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .description(
                        "with subscriptions put: the subscription in JSON; with snapshot: the file"
                            + " to write (fetch) or to read (handin)")
                    .build())
            .addOption(
                OptionSpec.builder("--from")
                    .paramLabel("SEQUENCE")
                    .type(Long.class)
                    .description("with subscriptions resume: the first notification to send")
                    .build())
            .addPositional(
                PositionalParamSpec.builder()
                    .index("0")
                    .paramLabel("TOPIC")
                    .type(String.class)
                    .arity("1")
                    .description(
                        "status, queue, machines, metrics, takeovers, settings, subscriptions,"
                            + " networks or snapshot")
                    .build())
            .addPositional(
                PositionalParamSpec.builder()
                    .index("1..*")
                    .paramLabel("WORD")
                    .type(List.class)
                    .auxiliaryTypes(String.class)
                    .arity("0..*")
                    .description(
                        "with subscriptions: schema, or show, put, pause, resume or delete and a"
                            + " name; omit to list all; with networks: none, or all networks that"
                            + " notifications may be sent to; omit to show them; with snapshot:"
                            + " fetch or handin")
                    .build());
    spec.usageMessage()
        .description("Queries a controller, or changes the cluster's settings and subscriptions.");
    return spec;
  }

  private record Call(String method, String path, byte[] body) {}

  private static Call networks(List<String> words) {
    List<String> networks = words.equals(List.of("none")) ? List.of() : words;
    return new Call("PUT", "networks", Json.bytes(DeliveryWire.networks(networks)));
  }

  /** The request for the given words, or null when they are not valid. */
  private static Call subscriptions(List<String> words, Path file, Long from) throws IOException {
    String path = "subscriptions";
    if (words.isEmpty()) {
      return new Call("GET", path, null);
    }
    String action = words.get(0);
    if (words.size() == 1) {
      return action.equals("schema") ? new Call("GET", path + "/schema", null) : null;
    }
    if (words.size() > 2 || (file == null) == action.equals("put")) {
      return null;
    }
    String subscription = path + "/" + words.get(1);
    return switch (action) {
      case "show" -> new Call("GET", subscription, null);
      case "put" -> new Call("PUT", subscription, Files.readAllBytes(file));
      case "delete" -> new Call("DELETE", subscription, null);
      case "pause" -> new Call("POST", subscription + "/pause", null);
      case "resume" ->
          new Call(
              "POST",
              subscription + "/resume",
              from == null ? null : Json.bytes(Json.object().put("sequence", from)));
      default -> null;
    };
  }

  private static Call snapshot(List<String> words, Path file) throws IOException {
    if (file == null || words.size() != 1) {
      return null;
    }
    return switch (words.get(0)) {
      case "fetch" -> new Call("GET", "snapshot", null);
      case "handin" -> new Call("PUT", "snapshot", Files.readAllBytes(file));
      default -> null;
    };
  }

  static int run(ParseResult parsed) {
    String topic = parsed.matchedPositionalValue(0, "");
    Map<String, Double> changes = parsed.matchedOptionValue("--set", Map.of());
    List<String> words = parsed.matchedPositionalValue(1, List.of());
    if (!TOPICS.contains(topic) || (!changes.isEmpty() && !topic.equals("settings"))) {
      System.err.println("TOPIC is one of " + List.copyOf(TOPICS) + "; --set goes with settings");
      return Main.EXIT_USAGE;
    }
    String address = parsed.matchedOptionValue("--address", "");
    try {
      Call call =
          switch (topic) {
            case "subscriptions" ->
                subscriptions(
                    words,
                    parsed.matchedOptionValue("--file", null),
                    parsed.matchedOptionValue("--from", null));
            case "networks" -> words.isEmpty() ? new Call("GET", topic, null) : networks(words);
            case "snapshot" -> snapshot(words, parsed.matchedOptionValue("--file", null));
            default -> {
              ObjectNode body = Json.object();
              changes.forEach(body::put);
              yield changes.isEmpty()
                  ? new Call("GET", topic, null)
                  : new Call("PUT", topic, Json.bytes(body));
            }
          };
      if (call == null) {
        System.err.println(
            "subscriptions [schema | show NAME | put NAME --file FILE | pause NAME"
                + " | resume NAME [--from SEQUENCE] | delete NAME];"
                + " snapshot fetch --file FILE | snapshot handin --file FILE");
        return Main.EXIT_USAGE;
      }
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + "/admin/v1/" + call.path))
              .timeout(TIMEOUT)
              .method(
                  call.method,
                  call.body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofByteArray(call.body))
              .build();
      HttpResponse<byte[]> response =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofByteArray());
      boolean isOk = response.statusCode() == 200 || response.statusCode() == 201;
      if (isOk && topic.equals("snapshot") && call.method.equals("GET")) {
        Files.write(parsed.matchedOptionValue("--file", Path.of("")), response.body());
        return Main.EXIT_OK;
      }
      (isOk ? System.out : System.err).println(new String(response.body(), StandardCharsets.UTF_8));
      return isOk ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IOException | IllegalArgumentException e) {
      System.err.println(address + ": " + e.getMessage());
      return Main.EXIT_FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Main.EXIT_FAILURE;
    }
  }
}
