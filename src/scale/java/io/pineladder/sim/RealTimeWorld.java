package io.pineladder.sim;

import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.HttpResponse;
import io.pineladder.net.UndertowHttpClient;
import io.pineladder.net.XnioEventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The stand-ins' world with the real clock and the loopback network, on one event thread. */
final class RealTimeWorld implements SimulatedWorld.ExternalNetwork {
  private static final Duration TICK = Duration.ofMillis(2);
  private static final Duration CLOSE = Duration.ofSeconds(2);

  private final SimulatedWorld world;
  private final XnioEventLoop runtime;
  private final AsyncHttpClient caller;
  private final Traffic traffic;
  private final Map<String, AsyncHttpHandler> handlers = new HashMap<>();
  private final Set<String> listening = new HashSet<>();
  private final Instant worldBegun;
  private final Instant begun;
  private boolean closed;

  /**
   * A world.
   *
   * @param maxSockets how many sockets the process may have
   * @param traffic counts what is sent and received
   */
  RealTimeWorld(long seed, int maxSockets, Traffic traffic) throws IOException {
    this.world = new SimulatedWorld(seed);
    this.traffic = traffic;
    this.runtime = new XnioEventLoop(maxSockets, Duration.ofSeconds(5));
    this.caller = new UndertowHttpClient(runtime, address -> ConnectionLimiter.TrafficClass.ORDERS);
    this.worldBegun = world.now();
    this.begun = runtime.now();
    world.externalNetwork = this;
    runtime.execute(this::tick);
  }

  /** Ends the world: nothing of it happens after this. */
  void close() {
    CountDownLatch over = new CountDownLatch(1);
    runtime.execute(
        () -> {
          closed = true;
          over.countDown();
        });
    try {
      over.await(CLOSE.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    runtime.stop();
  }

  private void tick() {
    if (closed) {
      return;
    }
    Duration behind =
        Duration.between(begun, runtime.now()).minus(Duration.between(worldBegun, world.now()));
    world.runFor(behind);
    runtime.schedule(TICK, this::tick);
  }

  SimulatedWorld world() {
    return world;
  }

  XnioEventLoop runtime() {
    return runtime;
  }

  /** Answers at an address; a handler that was there before is replaced. */
  @Override
  public void serve(String address, AsyncHttpHandler handler) {
    handlers.put(address, handler);
    if (listening.add(address)) {
      try {
        runtime.serve(
            new XnioEventLoop.Listener(
                address,
                (method, path, body, answer) -> handle(address, method, path, body, answer),
                ConnectionLimiter.TrafficClass.ARRIVING,
                path -> ConnectionLimiter.TrafficClass.REPORTS));
      } catch (IOException e) {
        throw new UncheckedIOException("cannot listen on " + address, e);
      }
    }
  }

  private void handle(
      String address, String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    AsyncHttpHandler handler = closed ? null : handlers.get(address);
    if (handler == null) {
      // Nobody is there any more: the caller waits in vain.
      return;
    }
    traffic.received(path, body.length);
    handler.handle(
        method,
        path,
        body,
        given -> {
          traffic.answered(path, given.body().length);
          answer.accept(given);
        });
  }

  @Override
  public void stop(String address) {
    handlers.remove(address);
  }

  @Override
  public AsyncHttpClient httpClient() {
    return (request, onReply) -> {
      if (closed) {
        return;
      }
      traffic.sent(request.path(), request.body() == null ? 0 : request.body().length);
      caller.call(
          request,
          reply -> {
            if (closed) {
              return;
            }
            traffic.replied(request.path(), reply.body().length);
            onReply.accept(reply);
          });
    };
  }
}
