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

/**
 * Runs a {@link SimulatedWorld} in real time on one event thread and connects its addresses to the
 * loopback network.
 */
final class RealTimeWorld implements SimulatedWorld.ExternalNetwork {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(2);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final SimulatedWorld world;
  private final XnioEventLoop eventLoop;
  private final AsyncHttpClient httpClient;
  private final TrafficCounters traffic;
  private final Map<String, AsyncHttpHandler> handlers = new HashMap<>();
  private final Set<String> listeningAddresses = new HashSet<>();
  private final Instant worldStart;
  private final Instant realStart;
  private boolean closed;

  /**
   * Creates the world and starts its event thread.
   *
   * @param maxSockets how many sockets the process may have open
   * @param traffic counts the messages sent and received
   */
  RealTimeWorld(long seed, int maxSockets, TrafficCounters traffic) throws IOException {
    this.world = new SimulatedWorld(seed);
    this.traffic = traffic;
    this.eventLoop = new XnioEventLoop(maxSockets, Duration.ofSeconds(5));
    this.httpClient =
        new UndertowHttpClient(eventLoop, address -> ConnectionLimiter.TrafficClass.ORDERS);
    this.worldStart = world.now();
    this.realStart = eventLoop.now();
    world.externalNetwork = this;
    eventLoop.execute(this::tick);
  }

  /** Stops the world; no timer or request of it is executed afterwards. */
  void close() {
    CountDownLatch closing = new CountDownLatch(1);
    eventLoop.execute(
        () -> {
          closed = true;
          closing.countDown();
        });
    try {
      closing.await(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    eventLoop.stop();
  }

  private void tick() {
    if (closed) {
      return;
    }
    Duration elapsed =
        Duration.between(realStart, eventLoop.now())
            .minus(Duration.between(worldStart, world.now()));
    world.runFor(elapsed);
    eventLoop.schedule(TICK_INTERVAL, this::tick);
  }

  SimulatedWorld world() {
    return world;
  }

  XnioEventLoop eventLoop() {
    return eventLoop;
  }

  /** Serves requests to an address; replaces a previous handler. */
  @Override
  public void serve(String address, AsyncHttpHandler handler) {
    handlers.put(address, handler);
    if (listeningAddresses.add(address)) {
      try {
        eventLoop.serve(
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
      // No response, as from a host that is down: the caller's request times out.
      return;
    }
    traffic.requestReceived(path, body.length);
    handler.handle(
        method,
        path,
        body,
        response -> {
          traffic.responseSent(path, response.body().length);
          answer.accept(response);
        });
  }

  @Override
  public void stop(String address) {
    handlers.remove(address);
  }

  @Override
  public AsyncHttpClient httpClient(String from) {
    return httpClient();
  }

  /** The client of this process. */
  AsyncHttpClient httpClient() {
    return (request, onReply) -> {
      if (closed) {
        return;
      }
      traffic.requestSent(request.path(), request.body() == null ? 0 : request.body().length);
      httpClient.call(
          request,
          reply -> {
            if (closed) {
              return;
            }
            traffic.responseReceived(request.path(), reply.body().length);
            onReply.accept(reply);
          });
    };
  }
}
