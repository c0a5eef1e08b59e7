package io.pineladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.net.ConnectionLimiter.TrafficClass;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the connection limiter with a reference model, and tests it with real sockets. */
class ConnectionLimiterTest {
  private static final int MAX_SOCKETS = 216;
  private static final int USABLE_SOCKETS = 200;
  private static final Map<TrafficClass, Integer> RESERVED =
      new EnumMap<>(
          Map.of(
              TrafficClass.ARRIVING,
              12,
              TrafficClass.USERS,
              24,
              TrafficClass.REPORTS,
              40,
              TrafficClass.PEERS,
              12,
              TrafficClass.SERVICES,
              8,
              TrafficClass.ORDERS,
              16,
              TrafficClass.NOTICES,
              0));
  private static final Map<TrafficClass, Integer> MAX_OPEN =
      new EnumMap<>(
          Map.of(
              TrafficClass.ARRIVING,
              40,
              TrafficClass.USERS,
              80,
              TrafficClass.REPORTS,
              150,
              TrafficClass.PEERS,
              30,
              TrafficClass.SERVICES,
              24,
              TrafficClass.ORDERS,
              30,
              TrafficClass.NOTICES,
              6));
  private static final Map<TrafficClass, Integer> STALE_SECONDS =
      new EnumMap<>(
          Map.of(
              TrafficClass.ARRIVING,
              5,
              TrafficClass.USERS,
              20,
              TrafficClass.REPORTS,
              12,
              TrafficClass.PEERS,
              30,
              TrafficClass.SERVICES,
              20,
              TrafficClass.ORDERS,
              20,
              TrafficClass.NOTICES,
              20));

  /** A socket in the reference model. */
  private static final class ModelSocket {
    TrafficClass trafficClass;
    Instant idleSince;

    /** Orders sockets that became idle at the same time. */
    int idleOrder;

    ConnectionLimiter.Socket socket;
    boolean closed;
  }

  private final ManualEventLoop clock = new ManualEventLoop();
  private final List<ModelSocket> model = new ArrayList<>();

  private long openCount(TrafficClass trafficClass) {
    return model.stream().filter(m -> m.trafficClass == trafficClass).count();
  }

  private boolean hasCapacity(TrafficClass trafficClass) {
    if (openCount(trafficClass) >= MAX_OPEN.get(trafficClass)) {
      return false;
    }
    long committed = 0;
    for (TrafficClass each : TrafficClass.values()) {
      committed += Math.max(openCount(each), RESERVED.get(each));
    }
    return openCount(trafficClass) < RESERVED.get(trafficClass) || committed < USABLE_SOCKETS;
  }

  /** Removes the longest idle socket of the class from the model and returns it if it is stale. */
  private ModelSocket removeLongestIdleIfStale(TrafficClass trafficClass) {
    ModelSocket longest = null;
    for (ModelSocket each : model) {
      if (each.trafficClass == trafficClass
          && each.idleSince != null
          && (longest == null || each.idleOrder < longest.idleOrder)) {
        longest = each;
      }
    }
    boolean stale =
        longest != null
            && !longest.idleSince.plusSeconds(STALE_SECONDS.get(trafficClass)).isAfter(clock.now);
    if (stale) {
      model.remove(longest);
      return longest;
    }
    return null;
  }

  private boolean ensureCapacity(TrafficClass trafficClass, List<ModelSocket> expectClosed) {
    if (hasCapacity(trafficClass)) {
      return true;
    }
    ModelSocket stale = removeLongestIdleIfStale(trafficClass);
    if (stale != null) {
      expectClosed.add(stale);
    }
    return stale != null && hasCapacity(trafficClass);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void matchesReferenceModel(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    ConnectionLimiter limiter = new ConnectionLimiter(MAX_SOCKETS, Duration.ofSeconds(5), clock);
    int refused = 0;
    int stale = 0;
    for (int step = 0; step < 20_000; step++) {
      List<ModelSocket> expectClosed = new ArrayList<>();
      TrafficClass trafficClass =
          TrafficClass.values()[random.nextInt(TrafficClass.values().length)];
      ModelSocket existing = model.isEmpty() ? null : model.get(random.nextInt(model.size()));
      switch (random.nextInt(9)) {
        case 0, 1, 2, 3 -> {
          boolean expected = ensureCapacity(trafficClass, expectClosed);
          ModelSocket opened = new ModelSocket();
          opened.trafficClass = trafficClass;
          opened.socket = limiter.tryOpen(trafficClass, () -> opened.closed = true);
          assertEquals(expected, opened.socket != null, "step " + step);
          if (expected) {
            model.add(opened);
          } else {
            refused++;
          }
        }
        case 4 -> {
          if (existing != null && existing.trafficClass != trafficClass) {
            boolean expected = ensureCapacity(trafficClass, expectClosed);
            // The socket to be reclassified may itself be the stale one that was closed.
            if (!expectClosed.contains(existing)) {
              assertEquals(expected, existing.socket.reclassify(trafficClass));
              existing.trafficClass = expected ? trafficClass : existing.trafficClass;
              existing.idleSince = expected ? null : existing.idleSince;
              if (expected) {
                existing.socket.markBusy();
              }
            } else {
              existing.socket.reclassify(trafficClass);
            }
          }
        }
        case 5, 6 -> {
          if (existing != null) {
            existing.socket.markIdle();
            existing.idleSince = clock.now;
            existing.idleOrder = step;
          }
        }
        case 7 -> {
          if (existing != null) {
            if (random.nextBoolean()) {
              existing.socket.markBusy();
              existing.idleSince = null;
            } else {
              existing.socket.markClosed();
              model.remove(existing);
            }
          }
        }
        default -> clock.now = clock.now.plusMillis(random.nextInt(400) + 1);
      }
      stale += expectClosed.size();
      for (ModelSocket each : expectClosed) {
        assertTrue(
            each.closed, "step " + step + ": stale " + each.trafficClass + " socket is still open");
      }
      for (TrafficClass each : TrafficClass.values()) {
        assertEquals(
            openCount(each), limiter.usage().get(each).open(), "step " + step + ": " + each);
      }
      assertTrue(model.size() <= USABLE_SOCKETS);
    }
    assertTrue(refused > 100 && stale > 100, refused + " refused, " + stale + " stale");
  }

  /** Each traffic class can open its reserved sockets even if other classes take all they can. */
  @Test
  void keepsReservedSocketsOfEachTrafficClass() {
    ConnectionLimiter limiter = new ConnectionLimiter(MAX_SOCKETS, Duration.ofSeconds(5), clock);
    for (TrafficClass trafficClass :
        List.of(TrafficClass.REPORTS, TrafficClass.USERS, TrafficClass.ARRIVING)) {
      int count = 0;
      while (limiter.tryOpen(trafficClass, () -> {}) != null) {
        count++;
      }
      assertTrue(count >= RESERVED.get(trafficClass));
    }
    for (TrafficClass each :
        List.of(TrafficClass.PEERS, TrafficClass.SERVICES, TrafficClass.ORDERS)) {
      for (int i = 0; i < RESERVED.get(each); i++) {
        assertNotNull(limiter.tryOpen(each, () -> {}), each + " opened only " + i);
      }
    }
  }

  private static <T> T getOnEventThread(
      XnioEventLoop eventLoop, java.util.function.Supplier<T> read) throws Exception {
    CompletableFuture<T> received = new CompletableFuture<>();
    eventLoop.execute(() -> received.complete(read.get()));
    return received.get(10, TimeUnit.SECONDS);
  }

  /**
   * Guards against leaking the sockets of calls to unreachable hosts, on which the operating system
   * would continue to connect for minutes.
   */
  @Test
  void releasesSocketWhenConnectTimesOut() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, Duration.ofSeconds(1));
    List<Socket> backlog = new ArrayList<>();
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      // Connections hang once the backlog of a listener that accepts nothing is full.
      for (int i = 0; i < 2; i++) {
        backlog.add(new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
      }
      UndertowHttpClient httpClient =
          new UndertowHttpClient(eventLoop, address -> TrafficClass.ORDERS);
      String address = "127.0.0.1:" + unresponsive.getLocalPort();
      int calls = 40;
      List<AsyncHttpClient.Reply> replies = new ArrayList<>();
      CompletableFuture<Boolean> allReplied = new CompletableFuture<>();
      getOnEventThread(
          eventLoop,
          () -> {
            for (int i = 0; i < calls; i++) {
              httpClient.call(
                  AsyncHttpClient.Request.get(address, "/", Duration.ofMillis(300)),
                  reply -> {
                    replies.add(reply);
                    if (replies.size() == calls) {
                      allReplied.complete(true);
                    }
                  });
            }
            return true;
          });
      allReplied.get(10, TimeUnit.SECONDS);
      assertTrue(replies.stream().noneMatch(AsyncHttpClient.Reply::isAnswered));
      ConnectionLimiter.Usage usage =
          getOnEventThread(
              eventLoop, () -> eventLoop.connectionLimiter().usage().get(TrafficClass.ORDERS));
      assertTrue(usage.peak() <= usage.maxOpen() && usage.refused() > 0, usage.toString());
      for (int i = 0; i < 100 && usage.open() > 0; i++) {
        Thread.sleep(20);
        usage =
            getOnEventThread(
                eventLoop, () -> eventLoop.connectionLimiter().usage().get(TrafficClass.ORDERS));
      }
      assertEquals(0, usage.open());
    } finally {
      for (Socket each : backlog) {
        each.close();
      }
      eventLoop.stop();
    }
  }

  /** Guards against holding the socket of a call to an unresponsive peer after its timeout. */
  @Test
  void releasesSocketWhenResponseTimesOut() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, Duration.ofSeconds(1));
    try (ServerSocket hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      UndertowHttpClient httpClient =
          new UndertowHttpClient(eventLoop, address -> TrafficClass.ORDERS);
      CompletableFuture<AsyncHttpClient.Reply> received = new CompletableFuture<>();
      eventLoop.execute(
          () ->
              httpClient.call(
                  AsyncHttpClient.Request.get(
                      "127.0.0.1:" + hanging.getLocalPort(), "/", Duration.ofMillis(300)),
                  received::complete));
      assertEquals(AsyncHttpClient.Reply.UNKNOWN, received.get(10, TimeUnit.SECONDS));
      int open = 1;
      for (int i = 0; i < 50 && open > 0; i++) {
        Thread.sleep(20);
        open =
            getOnEventThread(
                eventLoop,
                () -> eventLoop.connectionLimiter().usage().get(TrafficClass.ORDERS).open());
      }
      assertEquals(0, open);
    } finally {
      eventLoop.stop();
    }
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + free.getLocalPort();
    }
  }

  /**
   * Connections that send no request exhaust only the sockets of their own traffic class; requests
   * of other controllers are still served.
   */
  @Test
  void servesPeersWhileSilentConnectionsReachTheirLimit() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, Duration.ofSeconds(1));
    String front = freeAddress();
    String cluster = freeAddress();
    AsyncHttpHandler handler =
        (method, path, body, answer) -> answer.accept(new HttpResponse(200, new byte[0]));
    List<Socket> silent = new ArrayList<>();
    try {
      eventLoop.serve(
          new XnioEventLoop.Listener(
              front, handler, TrafficClass.ARRIVING, path -> TrafficClass.USERS));
      eventLoop.serve(
          new XnioEventLoop.Listener(
              cluster, handler, TrafficClass.PEERS, path -> TrafficClass.PEERS));
      int port = Integer.parseInt(front.substring(front.indexOf(':') + 1));
      for (int i = 0; i < 120; i++) {
        silent.add(new Socket(InetAddress.getLoopbackAddress(), port));
      }
      UndertowHttpClient httpClient =
          new UndertowHttpClient(eventLoop, to -> TrafficClass.SERVICES);
      CompletableFuture<AsyncHttpClient.Reply> received = new CompletableFuture<>();
      eventLoop.execute(
          () ->
              httpClient.call(
                  AsyncHttpClient.Request.get(cluster, "/peer", Duration.ofSeconds(5)),
                  received::complete));
      assertEquals(200, received.get(10, TimeUnit.SECONDS).status());
      Map<TrafficClass, ConnectionLimiter.Usage> usage =
          getOnEventThread(eventLoop, () -> eventLoop.connectionLimiter().usage());
      ConnectionLimiter.Usage arriving = usage.get(TrafficClass.ARRIVING);
      assertTrue(
          arriving.open() <= arriving.maxOpen() && arriving.refused() > 0, arriving.toString());
    } finally {
      for (Socket each : silent) {
        each.close();
      }
      eventLoop.stop();
    }
  }
}
