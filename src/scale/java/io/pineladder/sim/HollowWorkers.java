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
 * A process of hollow workers: each speaks the protocol of a worker with a session, a lease and
 * tasks of its own, and runs nothing. One event thread and timers serve all of them.
 */
public final class HollowWorkers {
  private static final Duration PATIENCE = Duration.ofSeconds(4);
  private static final long FLUSH_MILLIS = 50;

  /**
   * Without an answer for so long the process that rents the workers is gone, and this one ends.
   */
  private static final long ORPHANED_MILLIS = 15_000;

  private final RealTimeWorld real;
  private final Traffic traffic = new Traffic();
  private final HollowTasks tasks = new HollowTasks();
  private final FakeFleet fleet;
  private final String control;
  private final String own;
  private boolean underWay;
  private long answeredMillis;

  private HollowWorkers(
      String control, String own, List<String> controllers, long reportMillis, long leaseMillis)
      throws IOException {
    this.control = control;
    this.own = own;
    this.real = new RealTimeWorld(own.hashCode(), 100_000, traffic);
    this.fleet = new FakeFleet(real.world(), tasks, controllers);
    fleet.reportMillis = reportMillis;
    fleet.leaseMillis = leaseMillis;
    fleet.failsOneIn = 0;
    fleet.reportsTaskExits = true;
    real.runtime()
        .execute(
            () -> {
              answeredMillis = real.world().now().toEpochMilli();
              real.serve(own, this::handle);
              flush();
            });
  }

  /**
   * Runs hollow workers until the process that rents them is gone.
   *
   * @param args the address of that process, this one's, the controllers', and how often workers
   *     report and how long their leases last, in milliseconds
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
    real.world().after(FLUSH_MILLIS, this::flush);
    long now = real.world().now().toEpochMilli();
    if (now - answeredMillis > ORPHANED_MILLIS) {
      Runtime.getRuntime().halt(1);
    }
    if (underWay) {
      return;
    }
    underWay = true;
    ObjectNode batch = tasks.take().put("process", own).put("workers", fleet.machines.size());
    batch.set("traffic", traffic.json());
    traffic.clear();
    real.httpClient()
        .call(
            AsyncHttpClient.Request.post(control, "/events", Json.bytes(batch), PATIENCE),
            reply -> {
              underWay = false;
              if (reply.hasStatus(200)) {
                answeredMillis = real.world().now().toEpochMilli();
                take(reply.body());
              } else {
                // What was in the batch is lost, and with it what the rules are checked by.
                System.err.println("events could not be handed over: " + reply);
                Runtime.getRuntime().halt(1);
              }
            });
  }

  private void take(byte[] body) {
    try {
      ObjectNode reply = Json.parseObject(body);
      tasks.learn(reply.get("jobs"));
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
