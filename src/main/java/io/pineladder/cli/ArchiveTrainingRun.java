package io.pineladder.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.HttpResponse;
import io.pineladder.net.UndertowHttpClient;
import io.pineladder.net.XnioEventLoop;
import io.pineladder.wire.Json;
import io.pineladder.wire.SettingsReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The training run from which the build creates the class-data sharing (CDS) archive. A controller
 * on loopback becomes leader and receives a job and heartbeats, with stubs of the key-value store
 * and the cloud, so that the classes it uses are loaded.
 */
final class ArchiveTrainingRun {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);
  private static final long MAX_RUN_SECONDS = 60;

  private ArchiveTrainingRun() {}

  static int run() {
    try {
      String apiAddress = freeAddress();
      String clusterAddress = freeAddress();
      String serviceAddress = freeAddress();
      Settings settings = SettingsReader.parse(toml(apiAddress, clusterAddress, serviceAddress));
      XnioEventLoop eventLoop =
          new XnioEventLoop(settings.maxSockets(), settings.workerTimes().heartbeatInterval());
      eventLoop.serve(
          new XnioEventLoop.Listener(
              serviceAddress,
              ArchiveTrainingRun::serveStubServices,
              ConnectionLimiter.TrafficClass.SERVICES,
              path -> ConnectionLimiter.TrafficClass.SERVICES));
      Controller.start(settings, Controller.ServeOptions.NONE);
      CountDownLatch done = new CountDownLatch(1);
      UndertowHttpClient client =
          new UndertowHttpClient(eventLoop, address -> ConnectionLimiter.TrafficClass.USERS);
      eventLoop.execute(() -> submitJob(eventLoop, client, apiAddress, done));
      return done.await(MAX_RUN_SECONDS, TimeUnit.SECONDS) ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IOException | SettingsReader.BadSettingsException e) {
      System.err.println("the training run failed: " + e.getMessage());
      return Main.EXIT_FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Main.EXIT_FAILURE;
    }
  }

  /** Submits a job, retrying until the controller leads and accepts it. */
  private static void submitJob(
      XnioEventLoop eventLoop, UndertowHttpClient client, String apiAddress, CountDownLatch done) {
    client.call(
        Request.post(apiAddress, "/v1/jobs", JOB, REQUEST_TIMEOUT),
        reply -> {
          if (reply.hasStatus(201)) {
            sendHeartbeat(client, apiAddress, 1, done);
          } else {
            eventLoop.schedule(RETRY_DELAY, () -> submitJob(eventLoop, client, apiAddress, done));
          }
        });
  }

  private static void sendHeartbeat(
      UndertowHttpClient client, String apiAddress, int sequence, CountDownLatch done) {
    ObjectNode heartbeat =
        Json.object()
            .put("host", "m-1")
            .put("addr", "127.0.0.1:1")
            .put("hull", "t")
            .put("yard", "z")
            .put("loaners", false)
            .put("shift", 1)
            .put("tally", sequence)
            .put("baton", 7);
    heartbeat.putArray("pieces");
    client.call(
        Request.post(apiAddress, "/v1/report", Json.bytes(heartbeat), REQUEST_TIMEOUT),
        reply -> {
          if (sequence < 3) {
            sendHeartbeat(client, apiAddress, sequence + 1, done);
          } else {
            client.call(
                Request.get(apiAddress, "/v1/jobs/req-1", REQUEST_TIMEOUT),
                status ->
                    client.call(
                        Request.get(apiAddress, "/ready", REQUEST_TIMEOUT),
                        ready -> done.countDown()));
          }
        });
  }

  private static final byte[] JOB =
      """
{"ref":"req-1","jobclass":"c","owner":"t","shape":"array","rank":"low","pieces":2,
 "vcpus":1.0,"cards":0.0,"memory_gb":1.0,"bundle":"i","image_gb":1.0,"hulls":["t"],
 "together":false,"spread":false,"loaners":false,"guess_s":1.0,"mark_every_s":0.0,"stow_s":0.0}\
"""
          .getBytes(StandardCharsets.UTF_8);

  /** The revision of the key-value store stub. */
  private static final AtomicLong REVISION = new AtomicLong(6);

  /** Stub of the key-value store and the cloud API, sufficient to elect a leader and schedule. */
  private static void serveStubServices(
      String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    String text;
    int status = 200;
    if (path.equals("/holds")) {
      text = "{\"hold\":1}";
    } else if (path.startsWith("/holds/")) {
      text = "{}";
    } else if (path.equals("/multi")) {
      text = "{\"epoch\":" + REVISION.incrementAndGet() + "}";
    } else if (path.startsWith("/keys?")) {
      text = "{\"entries\":[],\"truncated\":false,\"epoch\":" + REVISION.get() + "}";
    } else if (path.startsWith("/keys/")) {
      status = 404;
      text = "{\"epoch\":" + REVISION.get() + "}";
    } else if (path.equals("/flavors")) {
      text =
          "{\"hulls\":[{\"sku\":\"t\",\"vcpus\":4,\"cards\":0,\"memory_gb\":8,\"local_gb\":9,"
              + "\"pull_gb_per_s\":1,\"hourly\":1,\"spot_price\":1,\"boot_s\":1,\"yards\":[\"z\"]}]}";
    } else if (path.equals("/rentals")) {
      text = "{\"hosts\":[\"m-1\"]}";
    } else if (path.startsWith("/rentals?")) {
      text = "{\"hosts\":[],\"truncated\":false}";
    } else {
      return;
    }
    answer.accept(new HttpResponse(status, text.getBytes(StandardCharsets.UTF_8)));
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static String toml(String apiAddress, String clusterAddress, String serviceAddress) {
    return """
    member = "n"
    area = "z"
    front = "%s"
    cluster_listen = "%s"
    [[seeds]]
    member = "m"
    area = "z"
    address = "127.0.0.1:1"
    [external]
    cloud = "%s"
    state = "%s"
    [deployment]
    zones = ["z"]
    [[deployment.teams]]
    name = "t"
    cpus = 0.0
    cpus_max = 0.0
    gpus = 0.0
    gpus_max = 0.0
    [[deployment.objectives]]
    kind = "wait"
    class = "c"
    within_s = 6.0
    share = 0.9
    [deployment.workers]
    report_s = 3.0
    lease_s = 20.0
    gang_wait_s = 20.0
    gang_peer_s = 5.0
    cancel_s = 20.0
    [deployment.state]
    rps = 100.0
    write_rps = 100.0
    value_kb = 8.0
    txn_ops = 12
    [deployment.cloud]
    rps = 5.0
    list_lag_s = 1.0
    """
        .formatted(apiAddress, clusterAddress, serviceAddress, serviceAddress);
  }
}
