package io.pineladder.net;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Event loop on a single XNIO thread that runs listeners, clients, timers and the scheduler core. A
 * second thread runs background work.
 */
public final class XnioEventLoop implements EventLoop, BackgroundExecutor {
  private static final Logger log = LoggerFactory.getLogger(XnioEventLoop.class);

  /** Larger than any valid request body: user requests, and heartbeats of fully used machines. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  /** Exit code for an internal software error (EX_SOFTWARE in sysexits.h). */
  private static final int EXIT_CODE_FAULT = 70;

  private static final Duration SOCKET_SWEEP_INTERVAL = Duration.ofSeconds(1);

  private final XnioWorker worker;
  private final XnioIoThread thread;
  private final Instant origin = Instant.EPOCH;
  private final long originNanos = System.nanoTime();
  private final RandomGenerator random = new SplittableRandom();
  private final Clock systemClock = Clock.systemUTC();
  private final ConnectionLimiter connectionLimiter;
  private final IdentityHashMap<StreamConnection, ConnectionLimiter.Socket> acceptedSockets =
      new IdentityHashMap<>();
  private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();

  /**
   * Starts the event thread and the background thread.
   *
   * @param maxSockets how many sockets the process may have open
   * @param heartbeatInterval heartbeat interval of the workers
   */
  public XnioEventLoop(int maxSockets, Duration heartbeatInterval) throws IOException {
    connectionLimiter = new ConnectionLimiter(maxSockets, heartbeatInterval, this);
    worker =
        Xnio.getInstance(XnioEventLoop.class.getClassLoader())
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    thread = worker.getIoThread();
    schedule(SOCKET_SWEEP_INTERVAL, this::sweepSockets);
  }

  private void sweepSockets() {
    connectionLimiter.closeStaleSockets();
    schedule(SOCKET_SWEEP_INTERVAL, this::sweepSockets);
  }

  /** Returns the limiter of all sockets of the process. */
  public ConnectionLimiter connectionLimiter() {
    return connectionLimiter;
  }

  XnioIoThread thread() {
    return thread;
  }

  @Override
  public Instant now() {
    return origin.plusNanos(System.nanoTime() - originNanos);
  }

  @Override
  public Instant wallClock() {
    return systemClock.instant();
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void schedule(Duration delay, Runnable action) {
    thread.executeAfter(
        () -> runOrHalt(action), Math.max(0, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  /** Runs {@code action} on the event thread. */
  public void execute(Runnable action) {
    thread.execute(() -> runOrHalt(action));
  }

  @Override
  public <T> void run(Supplier<T> work, Consumer<T> onResult) {
    worker.execute(
        () ->
            runOrHalt(
                () -> {
                  T result = work.get();
                  execute(() -> onResult.accept(result));
                }));
  }

  Xnio xnio() {
    return worker.getXnio();
  }

  /**
   * Runs an action and halts the process with exit code 70 if it throws. After an unexpected
   * exception the state in memory may be inconsistent; the restarted process recovers from the
   * stored state.
   *
   * <p>If another thread stops the event loop while an action runs, the loop rejects timers that
   * the action schedules. This does not halt the process.
   */
  static void runOrHalt(Runnable action) {
    try {
      action.run();
    } catch (RejectedExecutionException rejected) {
      if (!isStoppedEventThread()) {
        halt(rejected);
      }
    } catch (Throwable fault) {
      halt(fault);
    }
  }

  private static boolean isStoppedEventThread() {
    return Thread.currentThread() instanceof XnioIoThread eventThread
        && eventThread.getWorker().isShutdown();
  }

  private static void halt(Throwable fault) {
    log.error("Unexpected exception, process halts: exitCode={}", EXIT_CODE_FAULT, fault);
    Runtime.getRuntime().halt(EXIT_CODE_FAULT);
  }

  /**
   * The configuration of an HTTP listener.
   *
   * @param address IPv4 address and port
   * @param acceptedClass the traffic class of a connection before its first request
   * @param trafficClassOf maps a request path to the traffic class of its connection
   */
  public record Listener(
      String address,
      AsyncHttpHandler handler,
      ConnectionLimiter.TrafficClass acceptedClass,
      Function<String, ConnectionLimiter.TrafficClass> trafficClassOf) {}

  /** Starts an HTTP listener. */
  public void serve(Listener listener) throws IOException {
    int colon = listener.address.lastIndexOf(':');
    HttpOpenListener http =
        new HttpOpenListener(
            new DefaultByteBufferPool(false, 8 * 1024),
            OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY_BYTES)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
                .set(UndertowOptions.ENABLE_STATISTICS, false)
                .getMap());
    http.setRootHandler(toUndertowHandler(listener));
    AcceptingChannel<StreamConnection> server =
        worker.createStreamConnectionServer(
            new InetSocketAddress(
                listener.address.substring(0, colon),
                Integer.parseInt(listener.address.substring(colon + 1))),
            ChannelListeners.openListenerAdapter(
                connection -> accept(connection, listener.acceptedClass, http)),
            OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, 512)
                .getMap());
    server.resumeAccepts();
    servers.add(server);
  }

  private void accept(
      StreamConnection connection,
      ConnectionLimiter.TrafficClass trafficClass,
      HttpOpenListener http) {
    ConnectionLimiter.Socket socket =
        connectionLimiter.tryOpen(trafficClass, () -> IoUtils.safeClose(connection));
    if (socket == null) {
      IoUtils.safeClose(connection);
      return;
    }
    socket.markIdle();
    acceptedSockets.put(connection, socket);
    // This call may already handle the first request, so the socket is registered before it.
    http.handleEvent(connection);
    ChannelListener<? super StreamConnection> undertowListener = connection.getCloseListener();
    connection.setCloseListener(
        closed -> {
          onConnectionClosed(connection);
          ChannelListeners.invokeChannelListener(closed, undertowListener);
        });
    if (!connection.isOpen()) {
      onConnectionClosed(connection);
    }
  }

  private void onConnectionClosed(StreamConnection connection) {
    ConnectionLimiter.Socket socket = acceptedSockets.remove(connection);
    if (socket != null) {
      socket.markClosed();
    }
  }

  /** Closes the listeners and stops the event thread; pending timers are dropped. */
  public void stop() {
    servers.forEach(IoUtils::safeClose);
    worker.shutdownNow();
  }

  private HttpHandler toUndertowHandler(Listener listener) {
    return exchange -> {
      classify(listener, exchange);
      exchange
          .getRequestReceiver()
          .receiveFullBytes(
              (ex, body) -> runOrHalt(() -> dispatch(listener.handler, ex, body)),
              (ex, failure) -> {
                // A body over the limit is not read completely, so the connection cannot be reused.
                ex.setPersistent(false);
                send(ex, new HttpResponse(400, new byte[0]));
              });
    };
  }

  /**
   * Moves the connection to the traffic class of its request. If that class has no capacity, the
   * connection is closed after the response.
   */
  private void classify(Listener listener, HttpServerExchange exchange) {
    StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
    ConnectionLimiter.Socket socket = acceptedSockets.get(connection);
    if (socket == null) {
      return;
    }
    socket.markBusy();
    if (!socket.reclassify(listener.trafficClassOf.apply(exchange.getRequestURI()))) {
      exchange.setPersistent(false);
    }
    exchange.addExchangeCompleteListener(
        (ex, next) -> {
          socket.markIdle();
          next.proceed();
        });
  }

  private static void dispatch(AsyncHttpHandler handler, HttpServerExchange exchange, byte[] body) {
    String query = exchange.getQueryString();
    String path =
        query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    exchange.dispatch(
        Runnable::run,
        () ->
            handler.handle(
                exchange.getRequestMethod().toString(),
                path,
                body,
                response -> send(exchange, response)));
  }

  private static void send(HttpServerExchange exchange, HttpResponse response) {
    exchange.setStatusCode(response.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (response.retryAfterSeconds() > 0) {
      exchange
          .getResponseHeaders()
          .put(Headers.RETRY_AFTER, Integer.toString(response.retryAfterSeconds()));
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
  }
}
