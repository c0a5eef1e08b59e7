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
  private static final Map<TrafficClass, Integer> KEPT =
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
  private static final Map<TrafficClass, Integer> MOST =
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
  private static final class Modelled {
    TrafficClass part;
    Instant idleSince;

    /** Of those idle since the same moment the first goes first. */
    int idleOrder;

    ConnectionLimiter.Socket real;
    boolean closed;
  }

  private final Clock clock = new Clock();
  private final List<Modelled> model = new ArrayList<>();

  private long open(TrafficClass part) {
    return model.stream().filter(m -> m.part == part).count();
  }

  private boolean isFree(TrafficClass part) {
    if (open(part) >= MOST.get(part)) {
      return false;
    }
    long claimed = 0;
    for (TrafficClass each : TrafficClass.values()) {
      claimed += Math.max(open(each), KEPT.get(each));
    }
    return open(part) < KEPT.get(part) || claimed < USABLE;
  }

  /** Takes the longest idle one out of the model if it is stale. */
  private Modelled takeStale(TrafficClass part) {
    Modelled longest = null;
    for (Modelled each : model) {
      if (each.part == part
          && each.idleSince != null
          && (longest == null || each.idleOrder < longest.idleOrder)) {
        longest = each;
      }
    }
    boolean stale =
        longest != null
            && !longest.idleSince.plusSeconds(STALE_SECONDS.get(part)).isAfter(clock.now);
    if (stale) {
      model.remove(longest);
      return longest;
    }
    return null;
  }

  private boolean hasRoom(TrafficClass part, List<Modelled> expectClosed) {
    if (isFree(part)) {
      return true;
    }
    Modelled stale = takeStale(part);
    if (stale != null) {
      expectClosed.add(stale);
    }
    return stale != null && isFree(part);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void itDoesWhatThePlainModelDoes(long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    ConnectionLimiter sockets = new ConnectionLimiter(LIMIT, Duration.ofSeconds(5), clock);
    int refused = 0;
    int stale = 0;
    for (int step = 0; step < 20_000; step++) {
      List<Modelled> expectClosed = new ArrayList<>();
      TrafficClass part = TrafficClass.values()[random.nextInt(TrafficClass.values().length)];
      Modelled some = model.isEmpty() ? null : model.get(random.nextInt(model.size()));
      switch (random.nextInt(9)) {
        case 0, 1, 2, 3 -> {
          boolean room = hasRoom(part, expectClosed);
          Modelled made = new Modelled();
          made.part = part;
          made.real = sockets.tryOpen(part, () -> made.closed = true);
          assertEquals(room, made.real != null, "step " + step);
          if (room) {
            model.add(made);
          } else {
            refused++;
          }
        }
        case 4 -> {
          if (some != null && some.part != part) {
            boolean room = hasRoom(part, expectClosed);
            // The one that moves may itself have been the stale one.
            if (!expectClosed.contains(some)) {
              assertEquals(room, some.real.reclassify(part));
              some.part = room ? part : some.part;
              some.idleSince = room ? null : some.idleSince;
              if (room) {
                some.real.markBusy();
              }
            } else {
              some.real.reclassify(part);
            }
          }
        }
        case 5, 6 -> {
          if (some != null) {
            some.real.markIdle();
            some.idleSince = clock.now;
            some.idleOrder = step;
          }
        }
        case 7 -> {
          if (some != null) {
            if (random.nextBoolean()) {
              some.real.markBusy();
              some.idleSince = null;
            } else {
              some.real.markClosed();
              model.remove(some);
            }
          }
        }
        default -> clock.now = clock.now.plusMillis(random.nextInt(400) + 1);
      }
      stale += expectClosed.size();
      for (Modelled each : expectClosed) {
        assertTrue(each.closed, "step " + step + ": a stale one of " + each.part + " stays");
      }
      for (TrafficClass each : TrafficClass.values()) {
        assertEquals(open(each), sockets.usage().get(each).open(), "step " + step + ": " + each);
      }
      assertTrue(model.size() <= USABLE);
    }
    assertTrue(refused > 100 && stale > 100, refused + " refused, " + stale + " stale");
  }

  /** Whatever the others take, a part gets what is kept for it. */
  @Test
  void noPartTakesAnothersShare() {
    ConnectionLimiter sockets = new ConnectionLimiter(LIMIT, Duration.ofSeconds(5), clock);
    for (TrafficClass greedy :
        List.of(TrafficClass.REPORTS, TrafficClass.USERS, TrafficClass.ARRIVING)) {
      int count = 0;
      while (sockets.tryOpen(greedy, () -> {}) != null) {
        count++;
      }
      assertTrue(count >= KEPT.get(greedy));
    }
    for (TrafficClass each :
        List.of(TrafficClass.PEERS, TrafficClass.SERVICES, TrafficClass.ORDERS)) {
      for (int i = 0; i < KEPT.get(each); i++) {
        assertNotNull(sockets.tryOpen(each, () -> {}), each + " got " + i);
      }
    }
  }

  private static <T> T onThread(XnioEventLoop runtime, java.util.function.Supplier<T> read)
      throws Exception {
    CompletableFuture<T> got = new CompletableFuture<>();
    runtime.execute(() -> got.complete(read.get()));
    return got.get(10, TimeUnit.SECONDS);
  }

  /**
   * Seen on laval-fleet: each call to a machine that was cut off left a socket behind on which the
   * system went on connecting for minutes, until the process was at its limit.
   */
  @Test
  void aCallThatIsGivenUpLeavesNoSocketBehind() throws Exception {
    XnioEventLoop runtime = new XnioEventLoop(100, Duration.ofSeconds(1));
    List<Socket> queue = new ArrayList<>();
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      // Once the queue of a listener that accepts nothing is full, connects to it hang.
      for (int i = 0; i < 2; i++) {
        queue.add(new Socket(deaf.getInetAddress(), deaf.getLocalPort()));
      }
      UndertowHttpClient caller = new UndertowHttpClient(runtime, address -> TrafficClass.ORDERS);
      String address = "127.0.0.1:" + deaf.getLocalPort();
      int calls = 40;
      List<AsyncHttpClient.Reply> replies = new ArrayList<>();
      CompletableFuture<Boolean> all = new CompletableFuture<>();
      onThread(
          runtime,
          () -> {
            for (int i = 0; i < calls; i++) {
              caller.call(
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
          onThread(runtime, () -> runtime.connectionLimiter().usage().get(TrafficClass.ORDERS));
      assertTrue(usage.peak() <= usage.maxOpen() && usage.refused() > 0, usage.toString());
      for (int i = 0; i < 100 && usage.open() > 0; i++) {
        Thread.sleep(20);
        usage =
            onThread(runtime, () -> runtime.connectionLimiter().usage().get(TrafficClass.ORDERS));
      }
      assertEquals(0, usage.open());
    } finally {
      for (Socket each : queue) {
        each.close();
      }
      runtime.stop();
    }
  }

  /** A peer that hangs with our request must not hold our socket for longer than the call lasts. */
  @Test
  void aRequestThatIsNeverAnsweredLeavesNoSocketBehind() throws Exception {
    XnioEventLoop runtime = new XnioEventLoop(100, Duration.ofSeconds(1));
    try (ServerSocket hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      UndertowHttpClient caller = new UndertowHttpClient(runtime, address -> TrafficClass.ORDERS);
      CompletableFuture<AsyncHttpClient.Reply> got = new CompletableFuture<>();
      runtime.execute(
          () ->
              caller.call(
                  AsyncHttpClient.Request.get(
                      "127.0.0.1:" + hanging.getLocalPort(), "/", Duration.ofMillis(300)),
                  got::complete));
      assertEquals(AsyncHttpClient.Reply.UNKNOWN, got.get(10, TimeUnit.SECONDS));
      int open = 1;
      for (int i = 0; i < 50 && open > 0; i++) {
        Thread.sleep(20);
        open =
            onThread(
                runtime, () -> runtime.connectionLimiter().usage().get(TrafficClass.ORDERS).open());
      }
      assertEquals(0, open);
    } finally {
      runtime.stop();
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
  void connectionsThatSayNothingShutNoPeerOut() throws Exception {
    XnioEventLoop runtime = new XnioEventLoop(100, Duration.ofSeconds(1));
    String front = freeAddress();
    String cluster = freeAddress();
    AsyncHttpHandler handler =
        (method, path, body, answer) -> answer.accept(new HttpResponse(200, new byte[0]));
    List<Socket> silent = new ArrayList<>();
    try {
      runtime.serve(
          new XnioEventLoop.Listener(
              front, handler, TrafficClass.ARRIVING, path -> TrafficClass.USERS));
      runtime.serve(
          new XnioEventLoop.Listener(
              cluster, handler, TrafficClass.PEERS, path -> TrafficClass.PEERS));
      int port = Integer.parseInt(front.substring(front.indexOf(':') + 1));
      for (int i = 0; i < 120; i++) {
        silent.add(new Socket(InetAddress.getLoopbackAddress(), port));
      }
      UndertowHttpClient caller = new UndertowHttpClient(runtime, to -> TrafficClass.SERVICES);
      CompletableFuture<AsyncHttpClient.Reply> got = new CompletableFuture<>();
      runtime.execute(
          () ->
              caller.call(
                  AsyncHttpClient.Request.get(cluster, "/peer", Duration.ofSeconds(5)),
                  got::complete));
      assertEquals(200, got.get(10, TimeUnit.SECONDS).status());
      Map<TrafficClass, ConnectionLimiter.Usage> usage =
          onThread(runtime, () -> runtime.connectionLimiter().usage());
      ConnectionLimiter.Usage arriving = usage.get(TrafficClass.ARRIVING);
      assertTrue(
          arriving.open() <= arriving.maxOpen() && arriving.refused() > 0, arriving.toString());
    } finally {
      for (Socket each : silent) {
        each.close();
      }
      runtime.stop();
    }
  }
}
