package io.pineladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.net.OutboundClient.Outcome;
import io.pineladder.net.OutboundClient.Result;
import io.undertow.Undertow;
import io.undertow.util.HttpString;
import java.io.File;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Posts to loopback receivers that redirect, stall, send slow or oversized responses, are not
 * allowed as a destination, or present a wrong certificate.
 */
class OutboundHttpClientTest {
  private static final char[] PASSWORD = "changeit".toCharArray();

  @TempDir Path directory;
  private XnioEventLoop eventLoop;

  private static boolean anyAddress(InetAddress address) {
    return true;
  }

  @BeforeEach
  void startEventLoop() throws Exception {
    eventLoop = new XnioEventLoop(1_000, Duration.ofSeconds(3));
  }

  @AfterEach
  void stopEventLoop() {
    eventLoop.stop();
  }

  private Result post(OutboundHttpClient client, String url, Duration timeout) throws Exception {
    CompletableFuture<Result> received = new CompletableFuture<>();
    OutboundClient.Message message =
        new OutboundClient.Message(
            URI.create(url), Map.of("webhook-id", "x"), new byte[] {'{', '}'}, timeout);
    eventLoop.execute(() -> client.post(message, received::complete));
    return received.get(20, TimeUnit.SECONDS);
  }

  private Result post(Predicate<InetAddress> allowed, String url) throws Exception {
    return post(new OutboundHttpClient(eventLoop, allowed), url, Duration.ofSeconds(10));
  }

  private static int port(Undertow server) {
    return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
  }

  @Test
  void reusesConnectionAndDoesNotFollowRedirects() throws Exception {
    AtomicInteger requests = new AtomicInteger();
    AtomicInteger connections = new AtomicInteger();
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange -> {
                  requests.incrementAndGet();
                  exchange.getConnection().addCloseListener(c -> connections.incrementAndGet());
                  exchange.getResponseHeaders().put(new HttpString("Location"), "/elsewhere");
                  exchange.getResponseHeaders().put(new HttpString("Retry-After"), "7");
                  exchange.setStatusCode(307).getResponseSender().send("moved");
                })
            .build();
    server.start();
    try {
      OutboundHttpClient client =
          new OutboundHttpClient(eventLoop, OutboundHttpClientTest::anyAddress);
      for (int i = 1; i <= 3; i++) {
        Result result =
            post(client, "http://localhost:" + port(server) + "/a?b=c", Duration.ofSeconds(10));
        assertEquals(307, result.status());
        assertEquals(Duration.ofSeconds(7), result.retryAfter());
        assertEquals("moved", new String(result.body(), StandardCharsets.UTF_8));
        assertEquals(i, requests.get());
      }
      assertEquals(
          1,
          eventLoop.connectionLimiter().usage().get(ConnectionLimiter.TrafficClass.NOTICES).peak());
    } finally {
      server.stop();
    }
  }

  /** Guards against connecting to a disallowed address; also covers an unresolvable host name. */
  @Test
  void doesNotConnectToDisallowedAddress() throws Exception {
    try (ServerSocket server =
        new ServerSocket(0, 5, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
      Result result = post(address -> false, "http://localhost:" + server.getLocalPort() + "/");
      assertEquals(Outcome.NOT_ALLOWED, result.outcome());
      server.setSoTimeout(300);
      boolean connected;
      try {
        server.accept().close();
        connected = true;
      } catch (java.net.SocketTimeoutException e) {
        connected = false;
      }
      assertTrue(!connected);
    }
    Result unknown = post(OutboundHttpClientTest::anyAddress, "http://no-such-name.invalid/");
    assertEquals(Outcome.FAILED, unknown.outcome());
  }

  /** Accepts one connection, sends {@code head} and {@code count} single bytes, then stalls. */
  private Thread sendByteByByte(ServerSocket server, String head, Duration pause, int count) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept();
                  InputStream in = socket.getInputStream()) {
                in.read(new byte[4_096]);
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                for (int i = 0; i < count; i++) {
                  socket.getOutputStream().write('x');
                  socket.getOutputStream().flush();
                  Thread.sleep(pause.toMillis());
                }
                Thread.sleep(20_000);
              } catch (java.io.IOException | InterruptedException e) {
                // Expected: the client closes the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Test
  void cancelsSlowEndlessAndOversizedResponses() throws Exception {
    OutboundHttpClient client =
        new OutboundHttpClient(eventLoop, OutboundHttpClientTest::anyAddress);
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
    for (int kind = 0; kind < 3; kind++) {
      try (ServerSocket server =
          new ServerSocket(0, 5, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
        sendByteByByte(
            server,
            kind == 0 ? "" : head,
            Duration.ofMillis(kind == 2 ? 0 : 50),
            kind == 2 ? 50_000 : kind * 1_000);
        Instant start = Instant.now();
        Result result =
            post(
                client,
                "http://127.0.0.1:" + server.getLocalPort() + "/",
                Duration.ofMillis(kind == 2 ? 15_000 : 800));
        assertEquals(Outcome.FAILED, result.outcome());
        assertTrue(Duration.between(start, Instant.now()).toSeconds() < 8, result.failureReason());
        assertEquals(
            kind == 2 ? "the answer is longer than 4096 bytes" : "no answer in time",
            result.failureReason());
      }
    }
    // Cancelled calls must release their sockets.
    for (int i = 0; i < 50 && openSocketCount() > 0; i++) {
      Thread.sleep(20);
    }
    assertEquals(0, openSocketCount());
  }

  private int openSocketCount() throws Exception {
    CompletableFuture<Integer> received = new CompletableFuture<>();
    eventLoop.execute(
        () ->
            received.complete(
                eventLoop
                    .connectionLimiter()
                    .usage()
                    .get(ConnectionLimiter.TrafficClass.NOTICES)
                    .open()));
    return received.get(5, TimeUnit.SECONDS);
  }

  /** Creates a TLS context with a self-signed certificate for {@code localhost}. */
  private SSLContext selfSignedContext() throws Exception {
    Path file = directory.resolve("keys.p12");
    Process keytool =
        new ProcessBuilder(
                System.getProperty("java.home") + File.separator + "bin/keytool",
                "-genkeypair",
                "-alias",
                "a",
                "-keyalg",
                "EC",
                "-dname",
                "CN=localhost",
                "-ext",
                "san=dns:localhost",
                "-validity",
                "2",
                "-storetype",
                "PKCS12",
                "-keystore",
                file.toString(),
                "-storepass",
                new String(PASSWORD))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    assertEquals(0, keytool.waitFor());
    KeyStore store = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(file)) {
      store.load(in, PASSWORD);
    }
    KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keys.init(store, PASSWORD);
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(store);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
    return context;
  }

  @Test
  void verifiesTlsTrustAndHostName() throws Exception {
    SSLContext context = selfSignedContext();
    Undertow server =
        Undertow.builder()
            .addHttpsListener(0, "127.0.0.1", context)
            .setHandler(exchange -> exchange.setStatusCode(204).endExchange())
            .build();
    server.start();
    try {
      int port = port(server);
      OutboundHttpClient trusting =
          new OutboundHttpClient(eventLoop, OutboundHttpClientTest::anyAddress, context);
      Duration timeout = Duration.ofSeconds(10);
      assertEquals(204, post(trusting, "https://localhost:" + port + "/", timeout).status());
      Result wrongName = post(trusting, "https://127.0.0.1:" + port + "/", timeout);
      assertEquals(Outcome.FAILED, wrongName.outcome(), "the certificate is for localhost");
      Result untrusted =
          post(OutboundHttpClientTest::anyAddress, "https://localhost:" + port + "/");
      assertEquals(
          Outcome.FAILED,
          untrusted.outcome(),
          "the certificate is not signed by a trusted authority");
    } finally {
      server.stop();
    }
  }
}
