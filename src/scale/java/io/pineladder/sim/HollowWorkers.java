package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * A process that simulates many workers. Each hollow worker speaks the worker protocol with its own
 * agent epoch, lease and tasks, but executes nothing. All workers share one event thread.
 */
public final class HollowWorkers {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);
  private static final long FLUSH_INTERVAL_MILLIS = 50;

  /** Without a response from the parent process for this long, this process exits. */
  private static final long ORPHAN_TIMEOUT_MILLIS = 15_000;

  private final RealTimeWorld realTimeWorld;
  private final TrafficCounters traffic = new TrafficCounters();
  private final HollowTaskRecorder recorder = new HollowTaskRecorder();
  private final FakeFleet fleet;
  private final String parentAddress;
  private final String ownAddress;
  private boolean flushInProgress;
  private long lastResponseMillis;

  private HollowWorkers(
      String parentAddress,
      String ownAddress,
      List<String> controllers,
      long heartbeatMillis,
      long leaseMillis)
      throws IOException {
    this.parentAddress = parentAddress;
    this.ownAddress = ownAddress;
    this.realTimeWorld = new RealTimeWorld(ownAddress.hashCode(), 100_000, traffic);
    this.fleet = new FakeFleet(realTimeWorld.world(), recorder, controllers);
    fleet.heartbeatMillis = heartbeatMillis;
    fleet.leaseMillis = leaseMillis;
    fleet.failsOneIn = 0;
    fleet.sendsHeartbeatOnTaskExit = true;
    realTimeWorld
        .eventLoop()
        .execute(
            () -> {
              lastResponseMillis = realTimeWorld.world().now().toEpochMilli();
              realTimeWorld.serve(ownAddress, this::handle);
              flush();
            });
  }

  /**
   * Runs hollow workers until the parent process exits.
   *
   * @param args the address of the parent process, the address of this process, the addresses of
   *     the controllers (comma-separated), the heartbeat interval and the lease duration of the
   *     workers, both in milliseconds
   */
  public static void main(String[] args) throws IOException {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    new HollowWorkers(
        args[0],
        args[1],
        List.of(args[2].split(",")),
        Long.parseLong(args[3]),
        Long.parseLong(args[4]));
  }

  private void handle(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    try {
      JsonNode request = Json.parseObject(body);
      switch (path) {
        case "/boot" ->
            request
                .get("hosts")
                .forEach(
                    host ->
                        fleet.runWorker(
                            host.get("ref").asText(),
                            host.get("addr").asText(),
                            host.get("hull").asText(),
                            host.get("yard").asText(),
                            host.get("loaners").asBoolean()));
        case "/end" ->
            request
                .get("hosts")
                .forEach(
                    name -> {
                      FakeFleet.Worker worker = fleet.machines.remove(name.asText());
                      if (worker != null) {
                        worker.end();
                      }
                    });
        default -> {
          answer.accept(new HttpResponse(404, new byte[0]));
          return;
        }
      }
      answer.accept(new HttpResponse(200, Json.bytes(Json.object())));
    } catch (MalformedMessageException e) {
      answer.accept(new HttpResponse(400, new byte[0]));
    }
  }

  private void flush() {
    realTimeWorld.world().after(FLUSH_INTERVAL_MILLIS, this::flush);
    long now = realTimeWorld.world().now().toEpochMilli();
    if (now - lastResponseMillis > ORPHAN_TIMEOUT_MILLIS) {
      Runtime.getRuntime().halt(1);
    }
    if (flushInProgress) {
      return;
    }
    flushInProgress = true;
    ObjectNode batch =
        recorder.drainBatch().put("process", ownAddress).put("workers", fleet.machines.size());
    batch.set("traffic", traffic.json());
    traffic.clear();
    realTimeWorld
        .httpClient()
        .call(
            AsyncHttpClient.Request.post(
                parentAddress, "/events", Json.bytes(batch), REQUEST_TIMEOUT),
            reply -> {
              flushInProgress = false;
              if (reply.hasStatus(200)) {
                lastResponseMillis = realTimeWorld.world().now().toEpochMilli();
                handleResponse(reply.body());
              } else {
                // The events of the batch are lost, so the safety rules cannot be checked any more.
                System.err.println("cannot send task events to " + parentAddress + ": " + reply);
                Runtime.getRuntime().halt(1);
              }
            });
  }

  private void handleResponse(byte[] body) {
    try {
      ObjectNode reply = Json.parseObject(body);
      recorder.addDescriptions(reply.get("jobs"));
      reply
          .get("run")
          .forEach(
              each -> {
                FakeFleet.Worker worker = fleet.machines.get(each.get(0).asText());
                String key = each.get(1).asText();
                FakeFleet.Task task = worker == null ? null : worker.tasks.get(key);
                if (task != null && task.status.equals("gathering")) {
                  worker.runTask(key, task);
                }
              });
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
