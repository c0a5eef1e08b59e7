package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.EventLoop;
import io.pineladder.net.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Virtual time and a network that cuts, delays and delivers late; everything follows one seed. */
final class SimulatedWorld {
  private record Timer(long at, long order, Runnable action) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  final RandomGenerator random;
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Map<String, AsyncHttpHandler> servers = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private long order;
  private long nowMillis = 1_000_000;

  /** Hosts whose process stands still, and until when; their clocks go on. */
  private final Map<String, Long> frozen = new HashMap<>();

  /** Hosts that send and that nothing reaches: neither requests nor answers to theirs. */
  final Set<String> unreachableHosts = new HashSet<>();

  /** Whether anything can reach the host from somewhere, and its process moves. */
  boolean hears(String host) {
    return !unreachableHosts.contains(host) && frozen.getOrDefault(host, 0L) <= nowMillis;
  }

  /** The part of messages whose reply is lost, and which may then be executed late. */
  double lossRate;

  /** The part of messages that are held up for seconds, on the way there or on the way back. */
  double delayRate;

  private static final int LONGEST_HELD = 7_000;

  /** What refuses whom: the first host's requests are answered 503 by the second. */
  private final Set<String> refusals = new HashSet<>();

  SimulatedWorld(long seed) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  Instant now() {
    return Instant.ofEpochMilli(nowMillis);
  }

  void after(long millis, Runnable action) {
    timers.add(new Timer(nowMillis + Math.max(0, millis), order++, action));
  }

  void runFor(Duration duration) {
    long end = nowMillis + duration.toMillis();
    while (!timers.isEmpty() && timers.peek().at <= end) {
      Timer next = timers.poll();
      nowMillis = next.at;
      next.action.run();
    }
    nowMillis = end;
  }

  /** The network outside, where this world is run beside real processes; null in a simulation. */
  interface ExternalNetwork {
    void serve(String address, AsyncHttpHandler handler);

    void stop(String address);

    AsyncHttpClient httpClient();
  }

  ExternalNetwork externalNetwork;

  /** Told of what is sent and answered here; not of what goes through {@link #externalNetwork}. */
  TrafficObserver traffic = TrafficObserver.NONE;

  void serve(String address, AsyncHttpHandler handler) {
    servers.put(address, handler);
    if (externalNetwork != null) {
      externalNetwork.serve(address, handler);
    }
  }

  void stop(String address) {
    servers.remove(address);
    if (externalNetwork != null) {
      externalNetwork.stop(address);
    }
  }

  /** Cuts two hosts from one another; packets on the way are lost or come late. */
  void cut(String one, String other) {
    cuts.add(one + " " + other);
    cuts.add(other + " " + one);
  }

  /**
   * Keeps {@code one} from reaching the other, as a packet filter does; not the other way round.
   */
  void cutOneWay(String one, String other) {
    cuts.add(one + " " + other);
  }

  /** The second host answers the first's requests with 503; watches that are open then wait. */
  void answerRefused(String one, String other, boolean refused) {
    if (refused) {
      refusals.add(one + " " + other);
    } else {
      refusals.remove(one + " " + other);
    }
  }

  /** Hands an answer on once its host is no longer refused. */
  private void unlessRefused(String way, Runnable action) {
    if (refusals.contains(way)) {
      after(500, () -> unlessRefused(way, action));
    } else {
      action.run();
    }
  }

  /** The host's process stands still; what comes for it meanwhile waits, timers too. */
  void freeze(String host, long millis) {
    frozen.merge(host, nowMillis + millis, Math::max);
  }

  /** Runs the action on the host, once its process moves again. */
  private void on(String host, Runnable action) {
    long until = frozen.getOrDefault(host, 0L);
    if (until > nowMillis) {
      timers.add(new Timer(until, order++, () -> on(host, action)));
    } else {
      action.run();
    }
  }

  void heal(String one, String other) {
    cuts.remove(one + " " + other);
    cuts.remove(other + " " + one);
  }

  static String host(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  /** A clock of a process that ends when {@code alive} says so. */
  EventLoop eventLoop(String host, BooleanSupplier alive, double rate) {
    Instant begun = now();
    return new EventLoop() {
      @Override
      public Instant now() {
        long real = Duration.between(begun, SimulatedWorld.this.now()).toNanos();
        return begun.plusNanos((long) (real * rate));
      }

      @Override
      public Instant wallClock() {
        return SimulatedWorld.this.now();
      }

      @Override
      public RandomGenerator random() {
        return random;
      }

      @Override
      public void schedule(Duration delay, Runnable action) {
        SimulatedWorld.this.after(
            (long) Math.ceil(delay.toNanos() / 1e6 / rate),
            () ->
                on(
                    host,
                    () -> {
                      if (alive.getAsBoolean()) {
                        action.run();
                      }
                    }));
      }
    };
  }

  /** The network as one process on {@code from} uses it. */
  AsyncHttpClient httpClient(String from, BooleanSupplier alive) {
    if (externalNetwork != null) {
      return (request, onReply) ->
          externalNetwork
              .httpClient()
              .call(
                  request,
                  reply -> {
                    if (alive.getAsBoolean()) {
                      onReply.accept(reply);
                    }
                  });
    }
    return (request, onReply) -> {
      traffic.sent(now(), from, request);
      boolean[] over = new boolean[1];
      Consumer<AsyncHttpClient.Reply> once =
          reply ->
              on(
                  from,
                  () -> {
                    if (!over[0] && alive.getAsBoolean()) {
                      over[0] = true;
                      onReply.accept(reply);
                    }
                  });
      long timeout = request.timeout().toMillis();
      String way = from + " " + host(request.address());
      if (unreachableHosts.contains(host(request.address()))) {
        after(timeout, () -> once.accept(AsyncHttpClient.Reply.UNKNOWN));
        return;
      }
      if (cuts.contains(way)) {
        // A connection that stood before the cut carries the request late; a new one never does.
        boolean late = random.nextInt(3) == 0;
        after(
            timeout,
            () ->
                once.accept(late ? AsyncHttpClient.Reply.UNKNOWN : AsyncHttpClient.Reply.NOT_SENT));
        if (late) {
          after(timeout + random.nextInt(60_000), () -> deliver(request, answer -> {}));
        }
        return;
      }
      if (!servers.containsKey(request.address())) {
        after(1, () -> once.accept(AsyncHttpClient.Reply.NOT_SENT));
        return;
      }
      if (refusals.contains(way)) {
        after(5, () -> once.accept(AsyncHttpClient.Reply.answered(503, new byte[0])));
        return;
      }
      boolean lost = random.nextDouble() < lossRate;
      boolean late = lost && random.nextBoolean();
      boolean holds = delayRate > 0 && random.nextDouble() < delayRate;
      boolean there = holds && random.nextBoolean();
      int back = holds && !there ? random.nextInt(LONGEST_HELD) : 0;
      after(timeout, () -> once.accept(AsyncHttpClient.Reply.UNKNOWN));
      after(
          late
              ? random.nextInt(40_000)
              : 1 + random.nextInt(8) + (there ? random.nextInt(LONGEST_HELD) : 0),
          () ->
              deliver(
                  request,
                  answer -> {
                    if (!lost && !cuts.contains(way) && !unreachableHosts.contains(from)) {
                      after(
                          1 + random.nextInt(5) + back,
                          () ->
                              unlessRefused(
                                  way,
                                  () ->
                                      once.accept(
                                          AsyncHttpClient.Reply.answered(
                                              answer.status(), answer.body()))));
                    }
                  }));
    };
  }

  /**
   * Delivers a copy of a request later, to whoever is there by then; nobody waits for its answer.
   */
  void deliverCopy(AsyncHttpClient.Request request, long millis) {
    after(millis, () -> deliver(request, answer -> {}));
  }

  private void deliver(AsyncHttpClient.Request request, Consumer<HttpResponse> onAnswer) {
    AsyncHttpHandler server = servers.get(request.address());
    if (server != null) {
      byte[] body = request.body() == null ? new byte[0] : request.body();
      on(
          host(request.address()),
          () -> {
            if (servers.get(request.address()) == server) {
              server.handle(
                  request.method(),
                  request.path(),
                  body,
                  answer -> {
                    traffic.answered(now(), request, answer);
                    onAnswer.accept(answer);
                  });
            }
          });
    }
  }
}
