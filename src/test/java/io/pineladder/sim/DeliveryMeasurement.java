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
 * Measures delivery through one controller process on loopback; not part of the tests. Arguments:
 * the subscribers, the ends, whether receivers are there from the start or only after all ends.
 */
final class DeliveryMeasurement {
  private static final String SECRET =
      WebhookSignature.SECRET_PREFIX + Base64.getEncoder().encodeToString(new byte[32]);

  private DeliveryMeasurement() {}

  public static void main(String[] args) throws Exception {
    int subscribers = Integer.parseInt(args[0]);
    int ends = Integer.parseInt(args[1]);
    boolean late = args[2].equals("late");
    Path folder = Files.createTempDirectory("measure");
    Files.writeString(folder.resolve("key"), Base64.getEncoder().encodeToString(new byte[32]));
    AtomicLong taken = new AtomicLong();
    boolean[] open = {!late};
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
                taken.incrementAndGet();
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
                              if (!open[0]) {
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
        ObjectNode wanted = Json.object().put("url", "http://127.0.0.1:" + port + "/" + i);
        wanted.putArray("secrets").add(SECRET);
        cluster.requestUntilSuccess(true, "PUT", "/admin/v1/subscriptions/desk-" + i, wanted);
      }
      Map<String, Integer> before = cluster.readOnEventLoop(() -> Map.copyOf(cluster.store.changesByPrefix));
      Duration processor = processor(cluster);
      Instant begun = Instant.now();
      AtomicInteger next = new AtomicInteger();
      ExecutorService users = Executors.newFixedThreadPool(16);
      for (int i = 0; i < 16; i++) {
        var unused =
            users.submit(
                () -> {
                  for (int n = next.getAndIncrement(); n < ends; n = next.getAndIncrement()) {
                    DeliveryProcessTest.end(cluster, n);
                  }
                  return null;
                });
      }
      users.shutdown();
      users.awaitTermination(1, java.util.concurrent.TimeUnit.HOURS);
      report("ended", ends, begun, processor, cluster);
      Instant drain = Instant.now();
      Duration processorThen = processor(cluster);
      if (late) {
        open[0] = true;
        for (int i = 0; i < subscribers; i++) {
          String one = "/admin/v1/subscriptions/desk-" + i;
          cluster.requestUntilSuccess(true, "POST", one + "/pause", null);
          cluster.requestUntilSuccess(true, "POST", one + "/resume", null);
        }
      }
      long wanted = (long) ends * subscribers;
      while (taken.get() < wanted) {
        Thread.sleep(20);
      }
      report("delivered after that", late ? wanted : ends, drain, processorThen, cluster);
      report("all", late ? wanted : ends, begun, processor, cluster);
      Map<String, Integer> after = cluster.readOnEventLoop(() -> Map.copyOf(cluster.store.changesByPrefix));
      System.out.println("changes before " + before + ", after " + after);
      System.out.println(cluster.requestUntilSuccess(true, "GET", "/admin/v1/metrics", null).get("notices"));
      System.out.println(
          "last errors: "
              + cluster
                  .requestUntilSuccess(true, "GET", "/admin/v1/subscriptions", null)
                  .findValues("last_error")
                  .stream()
                  .distinct()
                  .toList());
      System.out.println("pages of jobs: " + cluster.readOnEventLoop(() -> cluster.store.countKeys("accepted/")));
    } finally {
      server.stop();
    }
  }

  private static Duration processor(LoopbackCluster cluster) {
    return cluster.controller(0).info().totalCpuDuration().orElse(Duration.ZERO);
  }

  private static void report(
      String what, long count, Instant since, Duration processor, LoopbackCluster cluster) {
    double seconds = Duration.between(since, Instant.now()).toMillis() / 1e3;
    double used = processor(cluster).minus(processor).toMillis() / 1e3;
    System.out.printf(
        "%s: %d in %.1f s, %.0f a second; processor %.1f s, %.3f ms each%n",
        what, count, seconds, count / seconds, used, used * 1e3 / count);
  }
}
