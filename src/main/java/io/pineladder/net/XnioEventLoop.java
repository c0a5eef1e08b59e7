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
import java.util.Map;
import java.util.SplittableRandom;
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

/** The one XNIO thread, on which everything runs: servers, the client, timers, the core. */
public final class XnioEventLoop implements EventLoop, BackgroundExecutor {
  private static final Logger log = LoggerFactory.getLogger(XnioEventLoop.class);

  /** Larger bodies than a user may send; reports of full machines stay below it. */
  private static final int MAX_BODY = 1 << 20;

  private static final Duration SWEEP = Duration.ofSeconds(1);

  private final XnioWorker worker;
  private final XnioIoThread thread;
  private final Instant origin = Instant.EPOCH;
  private final long originNanos = System.nanoTime();
  private final RandomGenerator random = new SplittableRandom();
  private final Clock wall = Clock.systemUTC();
  private final ConnectionLimiter sockets;
  private final Map<StreamConnection, ConnectionLimiter.Socket> accepted = new IdentityHashMap<>();
  private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();

  /**
   * A runtime.
   *
   * @param maxSockets how many sockets the process may have
   * @param report how often a worker reports
   */
  public XnioEventLoop(int maxSockets, Duration report) throws IOException {
    sockets = new ConnectionLimiter(maxSockets, report, this);
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
    schedule(SWEEP, this::sweep);
  }

  private void sweep() {
    sockets.sweep();
    schedule(SWEEP, this::sweep);
  }

  /** The process's sockets. */
  public ConnectionLimiter sockets() {
    return sockets;
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
    return wall.instant();
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void schedule(Duration delay, Runnable action) {
    thread.executeAfter(
        () -> guarded(action), Math.max(0, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  /** Runs {@code action} on the event thread. */
  public void execute(Runnable action) {
    thread.execute(() -> guarded(action));
  }

  @Override
  public <T> void run(Supplier<T> work, Consumer<T> then) {
    worker.execute(
        () ->
            guarded(
                () -> {
                  T result = work.get();
                  execute(() -> then.accept(result));
                }));
  }

  Xnio xnio() {
    return worker.getXnio();
  }

  /**
   * A fault in one message must not end the event thread, yet the state it left is not to be
   * trusted: the process ends and its successor starts from the stored state.
   */
  static void guarded(Runnable action) {
    try {
      action.run();
    } catch (Throwable fault) {
      log.error("unexpected fault, stopping", fault);
      Runtime.getRuntime().halt(70);
    }
  }

  /**
   * A listener.
   *
   * @param accepted what a connection counts as until it asks for something
   * @param parts what a connection is for, by the path that is asked for
   */
  public record Listener(
      String address,
      AsyncHttpHandler handler,
      ConnectionLimiter.TrafficClass accepted,
      Function<String, ConnectionLimiter.TrafficClass> parts) {}

  /** Starts an HTTP listener. */
  public void serve(Listener listener) throws IOException {
    int colon = listener.address.lastIndexOf(':');
    HttpOpenListener http =
        new HttpOpenListener(
            new DefaultByteBufferPool(false, 8 * 1024),
            OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
                .set(UndertowOptions.ENABLE_STATISTICS, false)
                .getMap());
    http.setRootHandler(adapt(listener));
    AcceptingChannel<StreamConnection> server =
        worker.createStreamConnectionServer(
            new InetSocketAddress(
                listener.address.substring(0, colon),
                Integer.parseInt(listener.address.substring(colon + 1))),
            ChannelListeners.openListenerAdapter(
                connection -> accept(connection, listener.accepted, http)),
            OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, 512)
                .getMap());
    server.resumeAccepts();
    servers.add(server);
  }

  private void accept(
      StreamConnection connection, ConnectionLimiter.TrafficClass part, HttpOpenListener http) {
    ConnectionLimiter.Socket socket = sockets.open(part, () -> IoUtils.safeClose(connection));
    if (socket == null) {
      IoUtils.safeClose(connection);
      return;
    }
    socket.idle();
    accepted.put(connection, socket);
    // It may answer the first request at once, so whose socket it is must be known by now.
    http.handleEvent(connection);
    ChannelListener<? super StreamConnection> theirs = connection.getCloseListener();
    connection.setCloseListener(
        closed -> {
          forget(connection);
          ChannelListeners.invokeChannelListener(closed, theirs);
        });
    if (!connection.isOpen()) {
      forget(connection);
    }
  }

  private void forget(StreamConnection connection) {
    ConnectionLimiter.Socket socket = accepted.remove(connection);
    if (socket != null) {
      socket.closed();
    }
  }

  public void stop() {
    servers.forEach(IoUtils::safeClose);
    worker.shutdownNow();
  }

  private HttpHandler adapt(Listener listener) {
    return exchange -> {
      occupy(listener, exchange);
      exchange
          .getRequestReceiver()
          .receiveFullBytes(
              (ex, body) -> guarded(() -> dispatch(listener.handler, ex, body)),
              (ex, failure) -> {
                // A body over the limit cannot be read to its end, so the connection closes.
                ex.setPersistent(false);
                send(ex, new HttpResponse(400, new byte[0]));
              });
    };
  }

  /**
   * Counts the connection to its part; one that finds no room there gets its answer and is closed.
   */
  private void occupy(Listener listener, HttpServerExchange exchange) {
    StreamConnection connection = ((HttpServerConnection) exchange.getConnection()).getChannel();
    ConnectionLimiter.Socket socket = accepted.get(connection);
    if (socket == null) {
      return;
    }
    socket.busy();
    if (!socket.moveTo(listener.parts.apply(exchange.getRequestURI()))) {
      exchange.setPersistent(false);
    }
    exchange.addExchangeCompleteListener(
        (ex, next) -> {
          socket.idle();
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
                answer -> send(exchange, answer)));
  }

  private static void send(HttpServerExchange exchange, HttpResponse answer) {
    exchange.setStatusCode(answer.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (answer.retryAfterSeconds() > 0) {
      exchange
          .getResponseHeaders()
          .put(Headers.RETRY_AFTER, Integer.toString(answer.retryAfterSeconds()));
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
  }
}
