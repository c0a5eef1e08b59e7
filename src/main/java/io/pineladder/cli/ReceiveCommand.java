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

/** {@code pineladder receive}: a receiver that records each notice once, as a JSON line. */
final class ReceiveCommand {
  private static final Pattern LISTEN = Pattern.compile("(.+):(\\d{1,5})");
  private static final long MAX_BODY = 64 * 1024;

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
                    .description("where notices are posted to; port 0 for any")
                    .build())
            .addOption(
                OptionSpec.builder("--journal")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .required(true)
                    .description("what the notices are recorded in")
                    .build())
            .addOption(
                OptionSpec.builder("--secrets")
                    .paramLabel("FILE")
                    .type(Path.class)
                    .required(true)
                    .description("the signing secrets, one on each line")
                    .build());
    spec.usageMessage().description("Receives notices and records each of them once.");
    return spec;
  }

  /** Receives until the process is ended; a negative result means that it goes on. */
  static int run(ParseResult parsed) {
    var listen = LISTEN.matcher(parsed.matchedOptionValue("--listen", ""));
    if (!listen.matches()) {
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
              .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY)
              .addHttpListener(
                  Integer.parseInt(listen.group(2)), listen.group(1), handler(receiver))
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
      // Forcing a line to the disk blocks, so it is done beside the I/O thread.
      exchange
          .getRequestReceiver()
          .receiveFullBytes((ex, body) -> ex.dispatch(() -> answer(receiver, ex, body)));
    };
  }

  private static void answer(Receiver receiver, HttpServerExchange exchange, byte[] body) {
    Receiver.Reply reply =
        receiver.receive(name -> exchange.getRequestHeaders().getFirst(name), body);
    exchange.setStatusCode(reply.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
  }
}
