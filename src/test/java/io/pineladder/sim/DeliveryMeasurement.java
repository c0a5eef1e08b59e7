package io.pineladder.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.delivery.WebhookSignature;
import io.pineladder.delivery.receiver.NotificationStore;
import io.pineladder.delivery.receiver.Receiver;
import io.pineladder.wire.DeliveryWire.Event;
import io.pineladder.wire.Json;
import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures notification delivery by one controller process on the loopback interface; not part of
 * the tests. Arguments: the number of subscriptions, the number of jobs that end, and {@code late}
 * if the receiver should reject notifications until all jobs have ended.
 */
final class DeliveryMeasurement {
  private static final String SECRET =
      WebhookSignature.SECRET_PREFIX + Base64.getEncoder().encodeToString(new byte[32]);

  private DeliveryMeasurement() {}

  /** Runs the measurement and prints its results. */
  public static void main(String[] args) throws Exception {
    int subscribers = Integer.parseInt(args[0]);
    int endedJobs = Integer.parseInt(args[1]);
    boolean late = args[2].equals("late");
    Path folder = Files.createTempDirectory("measure");
    Files.writeString(folder.resolve("key"), Base64.getEncoder().encodeToString(new byte[32]));
    AtomicLong received = new AtomicLong();
    boolean[] accepting = {!late};
    Receiver receiver =
        new Receiver(
            List.of(WebhookSignature.parseSecret(SECRET)),
            new NotificationStore() {
              private final Map<String, Long> positions = new ConcurrentHashMap<>();

              @Override
              public long lastSequence(String source) {
                return positions.getOrDefault(source, 0L);
              }

              @Override
              public void apply(Event event) {
                positions.put(event.source(), event.sequence());
                received.incrementAndGet();
              }

              @Override
              public void close() {}
            },
            Clock.systemUTC());
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange ->
                    exchange
                        .getRequestReceiver()
                        .receiveFullBytes(
                            (ex, body) -> {
                              if (!accepting[0]) {
                                ex.setStatusCode(503).endExchange();
                                return;
                              }
                              Receiver.Reply reply =
                                  receiver.receive(
                                      name -> ex.getRequestHeaders().getFirst(name), body);
                              ex.setStatusCode(reply.status());
                              ex.getResponseSender().send(ByteBuffer.wrap(reply.body()));
                            }))
            .build();
    server.start();
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    try (LoopbackCluster cluster =
        new LoopbackCluster(
            folder, 1, 100, List.of("--delivery", folder.resolve("key").toString()))) {
      ObjectNode networks = Json.object();
      networks.putArray("networks").add("127.0.0.1");
      cluster.requestUntilSuccess(true, "PUT", "/admin/v1/networks", networks);
      for (int i = 0; i < subscribers; i++) {
        ObjectNode subscription = Json.object().put("url", "http://127.0.0.1:" + port + "/" + i);
        subscription.putArray("secrets").add(SECRET);
        cluster.requestUntilSuccess(true, "PUT", "/admin/v1/subscriptions/desk-" + i, subscription);
      }
      Map<String, Integer> before =
          cluster.readOnEventLoop(() -> Map.copyOf(cluster.store.changesByPrefix));
      Duration startCpuTime = cpuTime(cluster);
      Instant startedAt = Instant.now();
      AtomicInteger next = new AtomicInteger();
      ExecutorService users = Executors.newFixedThreadPool(16);
      for (int i = 0; i < 16; i++) {
        var unused =
            users.submit(
                () -> {
                  for (int n = next.getAndIncrement(); n < endedJobs; n = next.getAndIncrement()) {
                    DeliveryProcessTest.submitAndCancel(cluster, n);
                  }
                  return null;
                });
      }
      users.shutdown();
      users.awaitTermination(1, java.util.concurrent.TimeUnit.HOURS);
      report("ended", endedJobs, startedAt, startCpuTime, cluster);
      Instant drainStartedAt = Instant.now();
      Duration drainStartCpuTime = cpuTime(cluster);
      if (late) {
        accepting[0] = true;
        for (int i = 0; i < subscribers; i++) {
          String path = "/admin/v1/subscriptions/desk-" + i;
          cluster.requestUntilSuccess(true, "POST", path + "/pause", null);
          cluster.requestUntilSuccess(true, "POST", path + "/resume", null);
        }
      }
      long expected = (long) endedJobs * subscribers;
      while (received.get() < expected) {
        Thread.sleep(20);
      }
      report(
          "delivered after all jobs ended",
          late ? expected : endedJobs,
          drainStartedAt,
          drainStartCpuTime,
          cluster);
      report("total", late ? expected : endedJobs, startedAt, startCpuTime, cluster);
      Map<String, Integer> after =
          cluster.readOnEventLoop(() -> Map.copyOf(cluster.store.changesByPrefix));
      System.out.println("store changes by prefix before " + before + ", after " + after);
      System.out.println(
          cluster.requestUntilSuccess(true, "GET", "/admin/v1/metrics", null).get("notices"));
      System.out.println(
          "last errors: "
              + cluster
                  .requestUntilSuccess(true, "GET", "/admin/v1/subscriptions", null)
                  .findValues("last_error")
                  .stream()
                  .distinct()
                  .toList());
      System.out.println(
          "job pages: " + cluster.readOnEventLoop(() -> cluster.store.countKeys("accepted/")));
    } finally {
      server.stop();
    }
  }

  private static Duration cpuTime(LoopbackCluster cluster) {
    return cluster.controller(0).info().totalCpuDuration().orElse(Duration.ZERO);
  }

  private static void report(
      String phase, long count, Instant since, Duration startCpuTime, LoopbackCluster cluster) {
    double seconds = Duration.between(since, Instant.now()).toMillis() / 1e3;
    double used = cpuTime(cluster).minus(startCpuTime).toMillis() / 1e3;
    System.out.printf(
        "%s: %d in %.1f s, %.0f per second; CPU time %.1f s, %.3f ms each%n",
        phase, count, seconds, count / seconds, used, used * 1e3 / count);
  }
}
