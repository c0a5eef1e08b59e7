package io.pineladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.net.Sockets.Part;
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
class SocketsTest {
  private static final int LIMIT = 216;
  private static final int USABLE = 200;
  private static final Map<Part, Integer> KEPT =
      new EnumMap<>(
          Map.of(
              Part.ARRIVING,
              12,
              Part.USERS,
              24,
              Part.REPORTS,
              40,
              Part.PEERS,
              12,
              Part.SERVICES,
              8,
              Part.ORDERS,
              16,
              Part.NOTICES,
              0));
  private static final Map<Part, Integer> MOST =
      new EnumMap<>(
          Map.of(
              Part.ARRIVING,
              40,
              Part.USERS,
              80,
              Part.REPORTS,
              150,
              Part.PEERS,
              30,
              Part.SERVICES,
              24,
              Part.ORDERS,
              30,
              Part.NOTICES,
              6));
  private static final Map<Part, Integer> STALE_SECONDS =
      new EnumMap<>(
          Map.of(
              Part.ARRIVING,
              5,
              Part.USERS,
              20,
              Part.REPORTS,
              12,
              Part.PEERS,
              30,
              Part.SERVICES,
              20,
              Part.ORDERS,
              20,
              Part.NOTICES,
              20));

  private static final class Clock implements Timeline {
    Instant now = Instant.EPOCH;

    @Override
    public Instant now() {
      return now;
    }

    private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);

    @Override
    public Instant timeOfDay() {
      return now;
    }

    @Override
    public RandomGenerator random() {
      return random;
    }

    @Override
    public void after(Duration delay, Runnable action) {}
  }

  /** What the plain model knows of a socket. */
  private static final class Modelled {
    Part part;
    Instant idleSince;

    /** Of those idle since the same moment the first goes first. */
    int idleOrder;

    Sockets.Socket real;
    boolean closed;
  }

  private final Clock clock = new Clock();
  private final List<Modelled> model = new ArrayList<>();

  private long open(Part part) {
    return model.stream().filter(m -> m.part == part).count();
  }

  private boolean isFree(Part part) {
    if (open(part) >= MOST.get(part)) {
      return false;
    }
    long claimed = 0;
    for (Part each : Part.values()) {
      claimed += Math.max(open(each), KEPT.get(each));
    }
    return open(part) < KEPT.get(part) || claimed < USABLE;
  }

  /** Takes the longest idle one out of the model if it is stale. */
  private Modelled takeStale(Part part) {
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

  private boolean hasRoom(Part part, List<Modelled> expectClosed) {
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
    Sockets sockets = new Sockets(LIMIT, Duration.ofSeconds(5), clock);
    int refused = 0;
    int stale = 0;
    for (int step = 0; step < 20_000; step++) {
      List<Modelled> expectClosed = new ArrayList<>();
      Part part = Part.values()[random.nextInt(Part.values().length)];
      Modelled some = model.isEmpty() ? null : model.get(random.nextInt(model.size()));
      switch (random.nextInt(9)) {
        case 0, 1, 2, 3 -> {
          boolean room = hasRoom(part, expectClosed);
          Modelled made = new Modelled();
          made.part = part;
          made.real = sockets.open(part, () -> made.closed = true);
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
              assertEquals(room, some.real.moveTo(part));
              some.part = room ? part : some.part;
              some.idleSince = room ? null : some.idleSince;
              if (room) {
                some.real.busy();
              }
            } else {
              some.real.moveTo(part);
            }
          }
        }
        case 5, 6 -> {
          if (some != null) {
            some.real.idle();
            some.idleSince = clock.now;
            some.idleOrder = step;
          }
        }
        case 7 -> {
          if (some != null) {
            if (random.nextBoolean()) {
              some.real.busy();
              some.idleSince = null;
            } else {
              some.real.closed();
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
      for (Part each : Part.values()) {
        assertEquals(open(each), sockets.usage().get(each).open(), "step " + step + ": " + each);
      }
      assertTrue(model.size() <= USABLE);
    }
    assertTrue(refused > 100 && stale > 100, refused + " refused, " + stale + " stale");
  }

  /** Whatever the others take, a part gets what is kept for it. */
  @Test
  void noPartTakesAnothersShare() {
    Sockets sockets = new Sockets(LIMIT, Duration.ofSeconds(5), clock);
    for (Part greedy : List.of(Part.REPORTS, Part.USERS, Part.ARRIVING)) {
      int count = 0;
      while (sockets.open(greedy, () -> {}) != null) {
        count++;
      }
      assertTrue(count >= KEPT.get(greedy));
    }
    for (Part each : List.of(Part.PEERS, Part.SERVICES, Part.ORDERS)) {
      for (int i = 0; i < KEPT.get(each); i++) {
        assertNotNull(sockets.open(each, () -> {}), each + " got " + i);
      }
    }
  }

  private static <T> T onThread(XnioRuntime runtime, java.util.function.Supplier<T> read)
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
    XnioRuntime runtime = new XnioRuntime(100, Duration.ofSeconds(1));
    List<Socket> queue = new ArrayList<>();
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      // Once the queue of a listener that accepts nothing is full, connects to it hang.
      for (int i = 0; i < 2; i++) {
        queue.add(new Socket(deaf.getInetAddress(), deaf.getLocalPort()));
      }
      UndertowCaller caller = new UndertowCaller(runtime, address -> Part.ORDERS);
      String address = "127.0.0.1:" + deaf.getLocalPort();
      int calls = 40;
      List<HttpCaller.Reply> replies = new ArrayList<>();
      CompletableFuture<Boolean> all = new CompletableFuture<>();
      onThread(
          runtime,
          () -> {
            for (int i = 0; i < calls; i++) {
              caller.call(
                  HttpCaller.Request.get(address, "/", Duration.ofMillis(300)),
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
      assertTrue(replies.stream().noneMatch(HttpCaller.Reply::isAnswered));
      Sockets.Usage usage = onThread(runtime, () -> runtime.sockets().usage().get(Part.ORDERS));
      assertTrue(usage.peak() <= usage.most() && usage.refused() > 0, usage.toString());
      for (int i = 0; i < 100 && usage.open() > 0; i++) {
        Thread.sleep(20);
        usage = onThread(runtime, () -> runtime.sockets().usage().get(Part.ORDERS));
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
    XnioRuntime runtime = new XnioRuntime(100, Duration.ofSeconds(1));
    try (ServerSocket hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      UndertowCaller caller = new UndertowCaller(runtime, address -> Part.ORDERS);
      CompletableFuture<HttpCaller.Reply> got = new CompletableFuture<>();
      runtime.execute(
          () ->
              caller.call(
                  HttpCaller.Request.get(
                      "127.0.0.1:" + hanging.getLocalPort(), "/", Duration.ofMillis(300)),
                  got::complete));
      assertEquals(HttpCaller.Reply.UNKNOWN, got.get(10, TimeUnit.SECONDS));
      int open = 1;
      for (int i = 0; i < 50 && open > 0; i++) {
        Thread.sleep(20);
        open = onThread(runtime, () -> runtime.sockets().usage().get(Part.ORDERS).open());
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
    XnioRuntime runtime = new XnioRuntime(100, Duration.ofSeconds(1));
    String front = freeAddress();
    String cluster = freeAddress();
    HttpHandlerAsync handler =
        (method, path, body, answer) -> answer.accept(new HttpAnswer(200, new byte[0]));
    List<Socket> silent = new ArrayList<>();
    try {
      runtime.serve(new XnioRuntime.Listener(front, handler, Part.ARRIVING, path -> Part.USERS));
      runtime.serve(new XnioRuntime.Listener(cluster, handler, Part.PEERS, path -> Part.PEERS));
      int port = Integer.parseInt(front.substring(front.indexOf(':') + 1));
      for (int i = 0; i < 120; i++) {
        silent.add(new Socket(InetAddress.getLoopbackAddress(), port));
      }
      UndertowCaller caller = new UndertowCaller(runtime, to -> Part.SERVICES);
      CompletableFuture<HttpCaller.Reply> got = new CompletableFuture<>();
      runtime.execute(
          () ->
              caller.call(
                  HttpCaller.Request.get(cluster, "/peer", Duration.ofSeconds(5)), got::complete));
      assertEquals(200, got.get(10, TimeUnit.SECONDS).status());
      Map<Part, Sockets.Usage> usage = onThread(runtime, () -> runtime.sockets().usage());
      Sockets.Usage arriving = usage.get(Part.ARRIVING);
      assertTrue(arriving.open() <= arriving.most() && arriving.refused() > 0, arriving.toString());
    } finally {
      for (Socket each : silent) {
        each.close();
      }
      runtime.stop();
    }
  }
}
