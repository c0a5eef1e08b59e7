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
 * The run from which the build makes the class-data archive: a controller on loopback leads, takes
 * a job and a report against the barest of surroundings, so that what it uses gets loaded.
 */
final class Training {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY = Duration.ofMillis(200);
  private static final long MOST_SECONDS = 60;

  private Training() {}

  static int run() {
    try {
      String front = freeAddress();
      String cluster = freeAddress();
      String outside = freeAddress();
      Settings settings = SettingsReader.parse(toml(front, cluster, outside));
      XnioEventLoop surroundings =
          new XnioEventLoop(settings.maxSockets(), settings.workerTimes().heartbeatInterval());
      surroundings.serve(
          new XnioEventLoop.Listener(
              outside,
              Training::surroundings,
              ConnectionLimiter.TrafficClass.SERVICES,
              path -> ConnectionLimiter.TrafficClass.SERVICES));
      Controller.start(settings, Controller.Extras.NONE);
      CountDownLatch over = new CountDownLatch(1);
      UndertowHttpClient caller =
          new UndertowHttpClient(surroundings, a -> ConnectionLimiter.TrafficClass.USERS);
      surroundings.execute(() -> submit(surroundings, caller, front, over));
      return over.await(MOST_SECONDS, TimeUnit.SECONDS) ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IOException | SettingsReader.BadSettingsException e) {
      System.err.println("the training run failed: " + e.getMessage());
      return Main.EXIT_FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Main.EXIT_FAILURE;
    }
  }

  /** Tries until the controller leads and takes the job. */
  private static void submit(
      XnioEventLoop time, UndertowHttpClient caller, String front, CountDownLatch over) {
    caller.call(
        Request.post(front, "/v1/jobs", JOB, TIMEOUT),
        reply -> {
          if (reply.hasStatus(201)) {
            report(caller, front, 1, over);
          } else {
            time.schedule(RETRY, () -> submit(time, caller, front, over));
          }
        });
  }

  private static void report(
      UndertowHttpClient caller, String front, int tally, CountDownLatch over) {
    ObjectNode report =
        Json.object()
            .put("host", "m-1")
            .put("addr", "127.0.0.1:1")
            .put("hull", "t")
            .put("yard", "z")
            .put("loaners", false)
            .put("shift", 1)
            .put("tally", tally)
            .put("baton", 7);
    report.putArray("pieces");
    caller.call(
        Request.post(front, "/v1/report", Json.bytes(report), TIMEOUT),
        reply -> {
          if (tally < 3) {
            report(caller, front, tally + 1, over);
          } else {
            caller.call(
                Request.get(front, "/v1/jobs/req-1", TIMEOUT),
                view -> caller.call(Request.get(front, "/ready", TIMEOUT), r -> over.countDown()));
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

  /** The state service's revision; a first leader's key has the next one. */
  private static final AtomicLong REVISION = new AtomicLong(6);

  /** Plays state service and cloud, just well enough to be led and scheduled by. */
  private static void surroundings(
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

  private static String toml(String front, String cluster, String outside) {
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
        .formatted(front, cluster, outside, outside);
  }
}
