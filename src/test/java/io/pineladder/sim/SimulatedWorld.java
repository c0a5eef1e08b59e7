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
  private final Set<String> cutRoutes = new HashSet<>();
  private long nextTimerSequence;
  private long nowMillis = 1_000_000;

  /** Hosts whose process stands still, and until when; their clocks go on. */
  private final Map<String, Long> frozenUntilMillis = new HashMap<>();

  /** Hosts that send and that nothing reaches: neither requests nor answers to theirs. */
  final Set<String> deaf = new HashSet<>();

  /** Whether anything can reach the host from somewhere, and its process moves. */
  boolean isReachable(String host) {
    return !deaf.contains(host) && frozenUntilMillis.getOrDefault(host, 0L) <= nowMillis;
  }

  /** The part of messages whose reply is lost, and which may then be executed late. */
  double lossy;

  /** The part of messages that are held up for seconds, on the way there or on the way back. */
  double held;

  private static final int MAX_DELAY_MILLIS = 7_000;

  /** What refuses whom: the first host's requests are answered 503 by the second. */
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

  /** The network outside, where this world is run beside real processes; null in a simulation. */
  interface Outside {
    void serve(String address, AsyncHttpHandler handler);

    void stop(String address);

    AsyncHttpClient caller();
  }

  Outside outside;

  /** Told of what is sent and answered here; not of what goes through {@link #outside}. */
  TrafficObserver trafficObserver = TrafficObserver.NONE;

  void serve(String address, AsyncHttpHandler handler) {
    servers.put(address, handler);
    if (outside != null) {
      outside.serve(address, handler);
    }
  }

  void stop(String address) {
    servers.remove(address);
    if (outside != null) {
      outside.stop(address);
    }
  }

  /** Cuts two hosts from one another; packets on the way are lost or come late. */
  void cut(String one, String other) {
    cutRoutes.add(one + " " + other);
    cutRoutes.add(other + " " + one);
  }

  /**
   * Keeps {@code one} from reaching the other, as a packet filter does; not the other way round.
   */
  void refuse(String one, String other) {
    cutRoutes.add(one + " " + other);
  }

  /** The second host answers the first's requests with 503; watches that are open then wait. */
  void setRejected(String one, String other, boolean refused) {
    if (refused) {
      rejectedRoutes.add(one + " " + other);
    } else {
      rejectedRoutes.remove(one + " " + other);
    }
  }

  /** Hands an answer on once its host is no longer refused. */
  private void runWhenNotRejected(String way, Runnable action) {
    if (rejectedRoutes.contains(way)) {
      after(500, () -> runWhenNotRejected(way, action));
    } else {
      action.run();
    }
  }

  /** The host's process stands still; what comes for it meanwhile waits, timers too. */
  void freeze(String host, long millis) {
    frozenUntilMillis.merge(host, nowMillis + millis, Math::max);
  }

  /** Runs the action on the host, once its process moves again. */
  private void runWhenUnfrozen(String host, Runnable action) {
    long until = frozenUntilMillis.getOrDefault(host, 0L);
    if (until > nowMillis) {
      timers.add(new Timer(until, nextTimerSequence++, () -> runWhenUnfrozen(host, action)));
    } else {
      action.run();
    }
  }

  void heal(String one, String other) {
    cutRoutes.remove(one + " " + other);
    cutRoutes.remove(other + " " + one);
  }

  static String host(String address) {
    return address.substring(0, address.indexOf(':'));
  }

  /** A clock of a process that ends when {@code alive} says so. */
  EventLoop timeline(String host, BooleanSupplier alive, double rate) {
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

  /** The network as one process on {@code from} uses it. */
  AsyncHttpClient caller(String from, BooleanSupplier alive) {
    if (outside != null) {
      return (request, onReply) ->
          outside
              .caller()
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
      boolean[] over = new boolean[1];
      Consumer<AsyncHttpClient.Reply> once =
          reply ->
              runWhenUnfrozen(
                  from,
                  () -> {
                    if (!over[0] && alive.getAsBoolean()) {
                      over[0] = true;
                      onReply.accept(reply);
                    }
                  });
      long timeout = request.timeout().toMillis();
      String way = from + " " + host(request.address());
      if (deaf.contains(host(request.address()))) {
        after(timeout, () -> once.accept(AsyncHttpClient.Reply.UNKNOWN));
        return;
      }
      if (cutRoutes.contains(way)) {
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
      if (rejectedRoutes.contains(way)) {
        after(5, () -> once.accept(AsyncHttpClient.Reply.answered(503, new byte[0])));
        return;
      }
      boolean lost = random.nextDouble() < lossy;
      boolean late = lost && random.nextBoolean();
      boolean holds = held > 0 && random.nextDouble() < held;
      boolean there = holds && random.nextBoolean();
      int back = holds && !there ? random.nextInt(MAX_DELAY_MILLIS) : 0;
      after(timeout, () -> once.accept(AsyncHttpClient.Reply.UNKNOWN));
      after(
          late
              ? random.nextInt(40_000)
              : 1 + random.nextInt(8) + (there ? random.nextInt(MAX_DELAY_MILLIS) : 0),
          () ->
              deliver(
                  request,
                  answer -> {
                    if (!lost && !cutRoutes.contains(way) && !deaf.contains(from)) {
                      after(
                          1 + random.nextInt(5) + back,
                          () ->
                              runWhenNotRejected(
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
