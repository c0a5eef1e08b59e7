package io.pineladder.sim;

import io.pineladder.net.HttpAnswer;
import io.pineladder.net.HttpCaller;
import io.pineladder.net.HttpHandlerAsync;
import io.pineladder.net.Sockets;
import io.pineladder.net.UndertowCaller;
import io.pineladder.net.XnioRuntime;
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
final class RealTimeWorld implements World.Outside {
  private static final Duration TICK = Duration.ofMillis(2);
  private static final Duration CLOSE = Duration.ofSeconds(2);

  private final World world;
  private final XnioRuntime runtime;
  private final HttpCaller caller;
  private final Traffic traffic;
  private final Map<String, HttpHandlerAsync> handlers = new HashMap<>();
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
    this.world = new World(seed);
    this.traffic = traffic;
    this.runtime = new XnioRuntime(maxSockets, Duration.ofSeconds(5));
    this.caller = new UndertowCaller(runtime, address -> Sockets.Part.ORDERS);
    this.worldBegun = world.now();
    this.begun = runtime.now();
    world.outside = this;
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
    runtime.after(TICK, this::tick);
  }

  World world() {
    return world;
  }

  XnioRuntime runtime() {
    return runtime;
  }

  /** Answers at an address; a handler that was there before is replaced. */
  @Override
  public void serve(String address, HttpHandlerAsync handler) {
    handlers.put(address, handler);
    if (listening.add(address)) {
      try {
        runtime.serve(
            new XnioRuntime.Listener(
                address,
                (method, path, body, answer) -> handle(address, method, path, body, answer),
                Sockets.Part.ARRIVING,
                path -> Sockets.Part.REPORTS));
      } catch (IOException e) {
        throw new UncheckedIOException("cannot listen on " + address, e);
      }
    }
  }

  private void handle(
      String address, String method, String path, byte[] body, Consumer<HttpAnswer> answer) {
    HttpHandlerAsync handler = closed ? null : handlers.get(address);
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
  public HttpCaller caller() {
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
