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

/** The socket budget against a plain list of sockets, and on real ones. */
class ConnectionLimiterTest {
  private static final int LIMIT = 216;
  private static final int USABLE = 200;
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

  private static final class Clock implements EventLoop {
    Instant now = Instant.EPOCH;

    @Override
    public Instant now() {
      return now;
    }

    private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);

    @Override
    public Instant wallClock() {
      return now;
    }

    @Override
    public RandomGenerator random() {
      return random;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {}
  }

  /** What the plain model knows of a socket. */
  private static final class ModelSocket {
    TrafficClass trafficClass;
    Instant idleSince;

    /** Of those idle since the same moment the first goes first. */
    int idleOrder;

    ConnectionLimiter.Socket real;
    boolean closed;
  }

  private final Clock clock = new Clock();
  private final List<ModelSocket> model = new ArrayList<>();

  private long open(TrafficClass trafficClass) {
    return model.stream().filter(m -> m.trafficClass == trafficClass).count();
  }

  private boolean hasCapacity(TrafficClass trafficClass) {
    if (open(trafficClass) >= MAX_OPEN.get(trafficClass)) {
      return false;
    }
    long committed = 0;
    for (TrafficClass each : TrafficClass.values()) {
      committed += Math.max(open(each), RESERVED.get(each));
    }
    return open(trafficClass) < RESERVED.get(trafficClass) || committed < USABLE;
  }

  /** Takes the longest idle one out of the model if it is stale. */
  private ModelSocket removeStale(TrafficClass trafficClass) {
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
    ModelSocket stale = removeStale(trafficClass);
    if (stale != null) {
      expectClosed.add(stale);
    }
    return stale != null && hasCapacity(trafficClass);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void itMatchesTheReferenceModel(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    ConnectionLimiter limiter = new ConnectionLimiter(LIMIT, Duration.ofSeconds(5), clock);
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
          opened.real = limiter.tryOpen(trafficClass, () -> opened.closed = true);
          assertEquals(expected, opened.real != null, "step " + step);
          if (expected) {
            model.add(opened);
          } else {
            refused++;
          }
        }
        case 4 -> {
          if (existing != null && existing.trafficClass != trafficClass) {
            boolean expected = ensureCapacity(trafficClass, expectClosed);
            // The one that moves may itself have been the stale one.
            if (!expectClosed.contains(existing)) {
              assertEquals(expected, existing.real.reclassify(trafficClass));
              existing.trafficClass = expected ? trafficClass : existing.trafficClass;
              existing.idleSince = expected ? null : existing.idleSince;
              if (expected) {
                existing.real.markBusy();
              }
            } else {
              existing.real.reclassify(trafficClass);
            }
          }
        }
        case 5, 6 -> {
          if (existing != null) {
            existing.real.markIdle();
            existing.idleSince = clock.now;
            existing.idleOrder = step;
          }
        }
        case 7 -> {
          if (existing != null) {
            if (random.nextBoolean()) {
              existing.real.markBusy();
              existing.idleSince = null;
            } else {
              existing.real.markClosed();
              model.remove(existing);
            }
          }
        }
        default -> clock.now = clock.now.plusMillis(random.nextInt(400) + 1);
      }
      stale += expectClosed.size();
      for (ModelSocket each : expectClosed) {
        assertTrue(
            each.closed, "step " + step + ": a stale one of " + each.trafficClass + " stays");
      }
      for (TrafficClass each : TrafficClass.values()) {
        assertEquals(open(each), limiter.usage().get(each).open(), "step " + step + ": " + each);
      }
      assertTrue(model.size() <= USABLE);
    }
    assertTrue(refused > 100 && stale > 100, refused + " refused, " + stale + " stale");
  }

  /** Whatever the others take, a part gets what is kept for it. */
  @Test
  void noTrafficClassTakesTheReservedSocketsOfAnother() {
    ConnectionLimiter limiter = new ConnectionLimiter(LIMIT, Duration.ofSeconds(5), clock);
    for (TrafficClass greedy :
        List.of(TrafficClass.REPORTS, TrafficClass.USERS, TrafficClass.ARRIVING)) {
      int count = 0;
      while (limiter.tryOpen(greedy, () -> {}) != null) {
        count++;
      }
      assertTrue(count >= RESERVED.get(greedy));
    }
    for (TrafficClass each :
        List.of(TrafficClass.PEERS, TrafficClass.SERVICES, TrafficClass.ORDERS)) {
      for (int i = 0; i < RESERVED.get(each); i++) {
        assertNotNull(limiter.tryOpen(each, () -> {}), each + " got " + i);
      }
    }
  }

  private static <T> T onThread(XnioEventLoop eventLoop, java.util.function.Supplier<T> read)
      throws Exception {
    CompletableFuture<T> got = new CompletableFuture<>();
    eventLoop.execute(() -> got.complete(read.get()));
    return got.get(10, TimeUnit.SECONDS);
  }

  /**
   * Seen on laval-fleet: each call to a machine that was cut off left a socket behind on which the
   * system went on connecting for minutes, until the process was at its limit.
   */
  @Test
  void aCancelledCallReleasesItsSocket() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, Duration.ofSeconds(1));
    List<Socket> queue = new ArrayList<>();
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      // Once the queue of a listener that accepts nothing is full, connects to it hang.
      for (int i = 0; i < 2; i++) {
        queue.add(new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
      }
      UndertowHttpClient httpClient =
          new UndertowHttpClient(eventLoop, address -> TrafficClass.ORDERS);
      String address = "127.0.0.1:" + unresponsive.getLocalPort();
      int calls = 40;
      List<AsyncHttpClient.Reply> replies = new ArrayList<>();
      CompletableFuture<Boolean> all = new CompletableFuture<>();
      onThread(
          eventLoop,
          () -> {
            for (int i = 0; i < calls; i++) {
              httpClient.call(
                  AsyncHttpClient.Request.get(address, "/", Duration.ofMillis(300)),
                  reply -> {
                    replies.add(reply);
                    if (replies.size() == calls) {
                      all.complete(true);
                    }
                  });
            }
            return true;
          });
      all.get(10, TimeUnit.SECONDS);
      assertTrue(replies.stream().noneMatch(AsyncHttpClient.Reply::isAnswered));
      ConnectionLimiter.Usage usage =
          onThread(eventLoop, () -> eventLoop.connectionLimiter().usage().get(TrafficClass.ORDERS));
      assertTrue(usage.peak() <= usage.maxOpen() && usage.refused() > 0, usage.toString());
      for (int i = 0; i < 100 && usage.open() > 0; i++) {
        Thread.sleep(20);
        usage =
            onThread(
                eventLoop, () -> eventLoop.connectionLimiter().usage().get(TrafficClass.ORDERS));
      }
      assertEquals(0, usage.open());
    } finally {
      for (Socket each : queue) {
        each.close();
      }
      eventLoop.stop();
    }
  }

  /** A peer that hangs with our request must not hold our socket for longer than the call lasts. */
  @Test
  void aRequestWithoutAResponseReleasesItsSocket() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, Duration.ofSeconds(1));
    try (ServerSocket hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      UndertowHttpClient httpClient =
          new UndertowHttpClient(eventLoop, address -> TrafficClass.ORDERS);
      CompletableFuture<AsyncHttpClient.Reply> got = new CompletableFuture<>();
      eventLoop.execute(
          () ->
              httpClient.call(
                  AsyncHttpClient.Request.get(
                      "127.0.0.1:" + hanging.getLocalPort(), "/", Duration.ofMillis(300)),
                  got::complete));
      assertEquals(AsyncHttpClient.Reply.UNKNOWN, got.get(10, TimeUnit.SECONDS));
      int open = 1;
      for (int i = 0; i < 50 && open > 0; i++) {
        Thread.sleep(20);
        open =
            onThread(
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
   * Connections that send nothing use up their own part; other controllers are served all the same.
   */
  @Test
  void silentConnectionsDoNotExhaustTheSocketsOfPeers() throws Exception {
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
      CompletableFuture<AsyncHttpClient.Reply> got = new CompletableFuture<>();
      eventLoop.execute(
          () ->
              httpClient.call(
                  AsyncHttpClient.Request.get(cluster, "/peer", Duration.ofSeconds(5)),
                  got::complete));
      assertEquals(200, got.get(10, TimeUnit.SECONDS).status());
      Map<TrafficClass, ConnectionLimiter.Usage> usage =
          onThread(eventLoop, () -> eventLoop.connectionLimiter().usage());
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
