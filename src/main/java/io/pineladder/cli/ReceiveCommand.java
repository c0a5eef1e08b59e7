package io.pineladder.cli;

import io.pineladder.delivery.WebhookSignature;
import io.pineladder.delivery.receiver.NotificationJournal;
import io.pineladder.delivery.receiver.Receiver;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/** {@code pineladder receive}: records each received notification once, as a JSON line. */
final class ReceiveCommand {
  private static final Pattern LISTEN_ADDRESS = Pattern.compile("(.+):(\\d{1,5})");
  private static final long MAX_BODY_BYTES = 64 * 1024;

  private ReceiveCommand() {}

  static CommandSpec spec() {
    CommandSpec spec =
        CommandSpec.create()
            .name("receive")
            .mixinStandardHelpOptions(true)
            .addOption(
                OptionSpec.builder("--listen")
                    .paramLabel("HOST:PORT")
                    .type(String.class)
                    .required(true)
                    .description(
                        "the address to listen on for notifications; port 0 selects a free port")
                    .build())
            .addOption(
                OptionSpec.builder("--journal")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .required(true)
                    .description("the journal file that notifications are recorded in")
                    .build())
            .addOption(
                OptionSpec.builder("--secrets")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .required(true)
                    .description("a file with the signing secrets, one per line")
                    .build());
    spec.usageMessage()
        .description("Receives webhook notifications and records each of them once.");
    return spec;
  }

  /**
   * Starts the receiver.
   *
   * @return the exit code, or a negative value when the receiver is running
   */
  static int run(ParseResult parsed) {
    var listenAddress = LISTEN_ADDRESS.matcher(parsed.matchedOptionValue("--listen", ""));
    if (!listenAddress.matches()) {
      System.err.println("--listen is not HOST:PORT");
      return Main.EXIT_USAGE;
    }
    try {
      List<byte[]> secrets = new ArrayList<>();
      for (String line : Files.readAllLines(parsed.matchedOptionValue("--secrets", null))) {
        if (!line.isBlank()) {
          secrets.add(WebhookSignature.parseSecret(line.strip()));
        }
      }
      if (secrets.isEmpty()) {
        throw new IOException("there is no signing secret");
      }
      Path file = parsed.matchedOptionValue("--journal", null);
      Receiver receiver = new Receiver(secrets, new NotificationJournal(file), Clock.systemUTC());
      Undertow server =
          Undertow.builder()
              .setIoThreads(1)
              .setWorkerThreads(4)
              .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
              .addHttpListener(
                  Integer.parseInt(listenAddress.group(2)),
                  listenAddress.group(1),
                  handler(receiver))
              .build();
      server.start();
      System.out.println("receiving on " + server.getListenerInfo().get(0).getAddress());
      return -1;
    } catch (IOException | RuntimeException e) {
      System.err.println("cannot receive: " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }

  private static HttpHandler handler(Receiver receiver) {
    return exchange -> {
      if (!exchange.getRequestMethod().equals(Methods.POST)) {
        exchange.setStatusCode(405).endExchange();
        return;
      }
      // Forcing the journal to disk blocks, so it is done on a worker thread.
      exchange
          .getRequestReceiver()
          .receiveFullBytes((ex, body) -> ex.dispatch(() -> respond(receiver, ex, body)));
    };
  }

  private static void respond(Receiver receiver, HttpServerExchange exchange, byte[] body) {
    Receiver.Reply reply =
        receiver.receive(name -> exchange.getRequestHeaders().getFirst(name), body);
    exchange.setStatusCode(reply.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
  }
}
