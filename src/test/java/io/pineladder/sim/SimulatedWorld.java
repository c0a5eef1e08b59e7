package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.EventLoop;
import io.pineladder.net.HttpResponse;
import io.pineladder.net.UndertowHttpClient;
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

/**
 * Virtual time and a simulated network that loses, delays and duplicates messages. All random
 * choices follow from one seed.
 */
final class SimulatedWorld {
  private record Timer(long dueMillis, long sequence, Runnable action)
      implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byTime = Long.compare(dueMillis, other.dueMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  final RandomGenerator random;
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Map<String, AsyncHttpHandler> servers = new HashMap<>();

  /** The longest response that a client reads. */
  int maxResponseBytes = UndertowHttpClient.MAX_RESPONSE_BYTES;

  /** How many responses were longer. */
  int responsesTooLarge;

  private final Set<String> cutRoutes = new HashSet<>();
  private long nextTimerSequence;
  private long nowMillis = 1_000_000;

  /** Until when the process of each host is frozen. Its clock keeps running. */
  private final Map<String, Long> frozenUntilMillis = new HashMap<>();

  /** Hosts that can send but receive neither requests nor answers. */
  final Set<String> unreachableHosts = new HashSet<>();

  /** Whether the host receives messages and its process is not frozen. */
  boolean isReachable(String host) {
    return !unreachableHosts.contains(host)
        && frozenUntilMillis.getOrDefault(host, 0L) <= nowMillis;
  }

  /** The fraction of requests whose answer is lost; half of those are delivered late. */
  double lossRate;

  /** The fraction of requests of which either the request or the answer is delayed by seconds. */
  double delayRate;

  private static final int MAX_DELAY_MILLIS = 7_000;

  /** Pairs of hosts; requests from the first to the second are answered with 503. */
  private final Set<String> rejectedRoutes = new HashSet<>();

  SimulatedWorld(long seed) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  Instant now() {
    return Instant.ofEpochMilli(nowMillis);
  }

  void after(long millis, Runnable action) {
    timers.add(new Timer(nowMillis + Math.max(0, millis), nextTimerSequence++, action));
  }

  void runFor(Duration duration) {
    long end = nowMillis + duration.toMillis();
    while (!timers.isEmpty() && timers.peek().dueMillis <= end) {
      Timer next = timers.poll();
      nowMillis = next.dueMillis;
      next.action.run();
    }
    nowMillis = end;
  }

  /** A real network, for a world that runs along with real processes. */
  interface ExternalNetwork {
    void serve(String address, AsyncHttpHandler handler);

    void stop(String address);

    /** The client of a process on the host {@code from}. */
    AsyncHttpClient httpClient(String from);
  }

  /** The real network in use; null in a simulation. */
  ExternalNetwork externalNetwork;

  /** Observes simulated traffic only, not what goes through {@link #externalNetwork}. */
  TrafficObserver trafficObserver = TrafficObserver.NONE;

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

  /**
   * Partitions two hosts from each other; requests sent during the partition are lost or arrive
   * late.
   */
  void cut(String host, String peer) {
    cutRoutes.add(host + " " + peer);
    cutRoutes.add(peer + " " + host);
  }

  /** Blocks requests in one direction only, as a packet filter does. */
  void cutOneWay(String from, String to) {
    cutRoutes.add(from + " " + to);
  }

  /**
   * Sets whether requests from one host to another are answered with 503. Answers to earlier
   * requests, such as open watches, are delivered once it is set to false.
   */
  void setRejected(String from, String to, boolean rejected) {
    if (rejected) {
      rejectedRoutes.add(from + " " + to);
    } else {
      rejectedRoutes.remove(from + " " + to);
    }
  }

  private void runWhenNotRejected(String route, Runnable action) {
    if (rejectedRoutes.contains(route)) {
      after(500, () -> runWhenNotRejected(route, action));
    } else {
      action.run();
    }
  }

  /** Freezes the host's process; its timers and incoming messages wait until it resumes. */
  void freeze(String host, long millis) {
    frozenUntilMillis.merge(host, nowMillis + millis, Math::max);
  }

  private void runWhenUnfrozen(String host, Runnable action) {
    long until = frozenUntilMillis.getOrDefault(host, 0L);
    if (until > nowMillis) {
      timers.add(new Timer(until, nextTimerSequence++, () -> runWhenUnfrozen(host, action)));
    } else {
      action.run();
    }
  }

  void heal(String host, String peer) {
    cutRoutes.remove(host + " " + peer);
    cutRoutes.remove(peer + " " + host);
  }

  static String host(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  /**
   * The event loop of a process on a host.
   *
   * @param alive false once the process has ended; its timers no longer run then
   * @param rate how fast the clock of the process runs, relative to virtual time
   */
  EventLoop eventLoop(String host, BooleanSupplier alive, double rate) {
    Instant startedAt = now();
    return new EventLoop() {
      @Override
      public Instant now() {
        long elapsed = Duration.between(startedAt, SimulatedWorld.this.now()).toNanos();
        return startedAt.plusNanos((long) (elapsed * rate));
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
                runWhenUnfrozen(
                    host,
                    () -> {
                      if (alive.getAsBoolean()) {
                        action.run();
                      }
                    }));
      }
    };
  }

  /** An HTTP client for a process on the host {@code from}; answers are dropped once it ended. */
  AsyncHttpClient httpClient(String from, BooleanSupplier alive) {
    if (externalNetwork != null) {
      return (request, onReply) ->
          externalNetwork
              .httpClient(from)
              .call(
                  request,
                  reply -> {
                    if (alive.getAsBoolean()) {
                      onReply.accept(reply);
                    }
                  });
    }
    return (request, onReply) -> {
      trafficObserver.onRequest(now(), from, request);
      boolean[] completed = new boolean[1];
      Consumer<AsyncHttpClient.Reply> once =
          reply ->
              runWhenUnfrozen(
                  from,
                  () -> {
                    if (!completed[0] && alive.getAsBoolean()) {
                      completed[0] = true;
                      onReply.accept(reply);
                    }
                  });
      long timeout = request.timeout().toMillis();
      String route = from + " " + host(request.address());
      if (unreachableHosts.contains(host(request.address()))) {
        after(timeout, () -> once.accept(AsyncHttpClient.Reply.UNKNOWN));
        return;
      }
      if (cutRoutes.contains(route)) {
        // A connection opened before the cut may deliver the request late; a new one cannot.
        boolean deliveredLate = random.nextInt(3) == 0;
        after(
            timeout,
            () ->
                once.accept(
                    deliveredLate
                        ? AsyncHttpClient.Reply.UNKNOWN
                        : AsyncHttpClient.Reply.NOT_SENT));
        if (deliveredLate) {
          after(timeout + random.nextInt(60_000), () -> deliver(request, answer -> {}));
        }
        return;
      }
      if (!servers.containsKey(request.address())) {
        after(1, () -> once.accept(AsyncHttpClient.Reply.NOT_SENT));
        return;
      }
      if (rejectedRoutes.contains(route)) {
        after(5, () -> once.accept(AsyncHttpClient.Reply.answered(503, new byte[0])));
        return;
      }
      boolean lost = random.nextDouble() < lossRate;
      boolean deliveredLate = lost && random.nextBoolean();
      boolean delayed = delayRate > 0 && random.nextDouble() < delayRate;
      boolean requestDelayed = delayed && random.nextBoolean();
      int answerDelay = delayed && !requestDelayed ? random.nextInt(MAX_DELAY_MILLIS) : 0;
      after(timeout, () -> once.accept(AsyncHttpClient.Reply.UNKNOWN));
      after(
          deliveredLate
              ? random.nextInt(40_000)
              : 1 + random.nextInt(8) + (requestDelayed ? random.nextInt(MAX_DELAY_MILLIS) : 0),
          () ->
              deliver(
                  request,
                  answer -> {
                    if (!lost && !cutRoutes.contains(route) && !unreachableHosts.contains(from)) {
                      after(
                          1 + random.nextInt(5) + answerDelay,
                          () -> runWhenNotRejected(route, () -> once.accept(toReply(answer))));
                    }
                  }));
    };
  }

  private AsyncHttpClient.Reply toReply(HttpResponse answer) {
    if (answer.body().length > maxResponseBytes) {
      responsesTooLarge++;
      return AsyncHttpClient.Reply.TOO_LARGE;
    }
    return AsyncHttpClient.Reply.answered(answer.status(), answer.body());
  }

  /** Delivers a copy of a request after a delay and ignores the answer. */
  void deliverDuplicate(AsyncHttpClient.Request request, long millis) {
    after(millis, () -> deliver(request, answer -> {}));
  }

  private void deliver(AsyncHttpClient.Request request, Consumer<HttpResponse> onAnswer) {
    AsyncHttpHandler server = servers.get(request.address());
    if (server != null) {
      byte[] body = request.body() == null ? new byte[0] : request.body();
      runWhenUnfrozen(
          host(request.address()),
          () -> {
            if (servers.get(request.address()) == server) {
              server.handle(
                  request.method(),
                  request.path(),
                  body,
                  answer -> {
                    trafficObserver.onAnswer(now(), request, answer);
                    onAnswer.accept(answer);
                  });
            }
          });
    }
  }
}
