package io.pineladder.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.ControllerNode;
import io.pineladder.admin.Metrics;
import io.pineladder.model.Settings;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.UndertowHttpClient;
import io.pineladder.net.XnioEventLoop;
import io.pineladder.wire.SettingsReader;
import io.pineladder.wire.SettingsReaderTest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A single controller over HTTP on loopback, without reachable peers or key-value store. */
class RequestRouterHttpTest {
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static XnioEventLoop eventLoop;
  private static String userAddress;
  private static String clusterAddress;

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static final int MAX_SOCKETS = 100;

  @BeforeAll
  static void start() throws IOException, SettingsReader.BadSettingsException {
    userAddress = freeAddress();
    clusterAddress = freeAddress();
    String unusedAddress = freeAddress();
    Settings settings =
        SettingsReader.parse(
            SettingsReaderTest.VALID_SETTINGS
                .replace("10.0.0.1:8080", userAddress)
                .replace("10.0.0.1:8081", clusterAddress)
                .replaceAll("10\\.[02]\\.0\\.\\d:\\d+", unusedAddress));
    eventLoop = new XnioEventLoop(MAX_SOCKETS, Duration.ofSeconds(1));
    UndertowHttpClient http =
        new UndertowHttpClient(eventLoop, address -> ConnectionLimiter.TrafficClass.SERVICES);
    ControllerNode node = new ControllerNode(settings, eventLoop, http, "nonce", null, null, null);
    Metrics metrics = new Metrics();
    metrics.setConnectionLimiter(eventLoop.connectionLimiter());
    RequestRouter router = new RequestRouter(node, metrics);
    eventLoop.serve(
        new XnioEventLoop.Listener(
            userAddress,
            router::handle,
            ConnectionLimiter.TrafficClass.ARRIVING,
            path ->
                path.equals("/v1/report")
                    ? ConnectionLimiter.TrafficClass.REPORTS
                    : ConnectionLimiter.TrafficClass.USERS));
    eventLoop.serve(
        new XnioEventLoop.Listener(
            clusterAddress,
            router::handleCluster,
            ConnectionLimiter.TrafficClass.PEERS,
            path -> ConnectionLimiter.TrafficClass.PEERS));
  }

  @AfterAll
  static void stop() {
    eventLoop.stop();
  }

  private static HttpResponse<String> send(String address, String method, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body == null ? "" : body))
            .build();
    return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "POST|/v1/jobs|nonsense|400",
        "POST|/v1/jobs|[]|400",
        "POST|/v1/jobs|{\"ref\":\"req-1\"}|400",
        "POST|/v1/report|{\"host\":7}|400",
        "GET|/v1/jobs||405",
        "DELETE|/v1/jobs/req-1||405",
        "GET|/v1/jobs/req-1/cancel||405",
        "POST|/ready||405",
        "GET|/v1/unknown||404",
        "GET|/v1/jobs/req-1/tasks||404",
        "GET|/v1/jobs/never-valid||404",
        "GET|/v1/jobs/req-1||503",
        "POST|/v1/jobs/req-1/cancel||503",
        "GET|/ready||503",
      })
  void returnsExpectedStatus(String method, String path, String body, int status)
      throws IOException, InterruptedException {
    assertEquals(status, send(userAddress, method, path, body).statusCode());
  }

  @Test
  void rejectsBodyOver64KiB() throws IOException, InterruptedException {
    String body = "{\"ref\":\"" + "x".repeat(70_000) + "\"}";
    assertEquals(400, send(userAddress, "POST", "/v1/jobs", body).statusCode());
  }

  @Test
  void returnsUnavailableWhenStoreIsUnreachable() throws IOException, InterruptedException {
    String job =
        """
        {"ref":"req-1","jobclass":"c","owner":"red","shape":"array","rank":"low","pieces":2,
         "vcpus":1.0,"cards":0.0,"memory_gb":1.0,"together":false,"spread":false,"loaners":true,
         "bundle":"i","image_gb":1.0,"guess_s":1.0,"mark_every_s":0.0,"stow_s":0.0}\
        """;
    HttpResponse<String> response = send(userAddress, "POST", "/v1/jobs", job);
    assertEquals(503, response.statusCode());
    assertEquals("1", response.headers().firstValue("Retry-After").orElse(""));
  }

  /** A controller without a term must redirect the worker, or its lease would expire. */
  @Test
  void redirectsHeartbeatWhenNoLeaderIsKnown() throws IOException, InterruptedException {
    String heartbeat =
        """
        {"host":"m-1","addr":"10.1.0.1:9000","hull":"g4","yard":"a","loaners":false,"shift":1,
         "tally":1,"baton":0,"recall_s":null,"pieces":[]}\
        """;
    assertEquals(421, send(userAddress, "POST", "/v1/report", heartbeat).statusCode());
  }

  @Test
  void servesAdminAndPeerRequestsWithoutLeader() throws IOException, InterruptedException {
    String status = send(clusterAddress, "GET", "/admin/v1/status", null).body();
    assertTrue(status.contains("\"member\":\"rung-0\""), status);
    assertTrue(status.contains("\"peers\":[{\"member\":\"rung-1\",\"state\":"), status);
    assertTrue(status.contains("\"sockets\":{\"arriving\":{\"open\":"), status);
    assertTrue(
        send(clusterAddress, "GET", "/admin/v1/takeovers", null).body().contains("\"latest\":[]"));
    String settings = send(clusterAddress, "GET", "/admin/v1/settings", null).body();
    assertTrue(settings.contains("\"max_backoff_s\":10.0"), settings);
    assertTrue(send(clusterAddress, "GET", "/admin/v1/metrics", null).body().contains("latency_s"));
    assertEquals(503, send(clusterAddress, "PUT", "/admin/v1/settings", "{}").statusCode());
    assertEquals(404, send(clusterAddress, "GET", "/admin/v1/nothing", null).statusCode());
    assertEquals(400, send(clusterAddress, "POST", "/peer/v1", "junk").statusCode());
    assertEquals(400, send(clusterAddress, "POST", "/peer/v1/beat", "junk").statusCode());
  }
}
