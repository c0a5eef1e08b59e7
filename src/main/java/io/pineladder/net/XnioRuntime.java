package io.pineladder.net;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The one XNIO thread, on which everything runs: servers, the client, timers, the core. */
public final class XnioRuntime implements Timeline {
  private static final Logger log = LoggerFactory.getLogger(XnioRuntime.class);
  /** Larger bodies than a user may send; reports of full machines stay below it. */
  private static final int MAX_BODY = 1 << 20;

  private final XnioWorker worker;
  private final XnioIoThread thread;
  private final Instant origin = Instant.EPOCH;
  private final long originNanos = System.nanoTime();
  private final Clock wall = Clock.systemUTC();
  private Undertow server;

  public XnioRuntime() throws IOException {
    worker =
        Xnio.getInstance(XnioRuntime.class.getClassLoader())
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    thread = worker.getIoThread();
  }

  XnioWorker worker() {
    return worker;
  }

  XnioIoThread thread() {
    return thread;
  }

  @Override
  public Instant now() {
    return origin.plusNanos(System.nanoTime() - originNanos);
  }

  @Override
  public Instant timeOfDay() {
    return wall.instant();
  }

  @Override
  public void after(Duration delay, Runnable action) {
    thread.executeAfter(() -> guarded(action), Math.max(0, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  /** Runs {@code action} on the event thread. */
  public void execute(Runnable action) {
    thread.execute(() -> guarded(action));
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

  /** Starts one HTTP listener for each address. */
  public void serve(Map<String, HttpHandlerAsync> listeners) {
    Undertow.Builder builder =
        Undertow.builder()
            .setWorker(worker)
            .setBufferSize(8 * 1024)
            .setDirectBuffers(false)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setSocketOption(Options.REUSE_ADDRESSES, true)
            .setSocketOption(Options.BACKLOG, 512)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
            .setServerOption(UndertowOptions.ENABLE_STATISTICS, false);
    for (Map.Entry<String, HttpHandlerAsync> entry : listeners.entrySet()) {
      int colon = entry.getKey().lastIndexOf(':');
      HttpHandler root = adapt(entry.getValue());
      builder.addHttpListener(
          Integer.parseInt(entry.getKey().substring(colon + 1)),
          entry.getKey().substring(0, colon),
          root);
    }
    server = builder.build();
    server.start();
  }

  public void stop() {
    if (server != null) {
      server.stop();
    }
    worker.shutdownNow();
  }

  private static HttpHandler adapt(HttpHandlerAsync handler) {
    return exchange ->
        exchange
            .getRequestReceiver()
            .receiveFullBytes(
                (ex, body) -> guarded(() -> dispatch(handler, ex, body)),
                (ex, failure) -> {
                  // A body over the limit cannot be read to its end, so the connection closes.
                  ex.setPersistent(false);
                  send(ex, new HttpAnswer(400, new byte[0]));
                });
  }

  private static void dispatch(HttpHandlerAsync handler, HttpServerExchange exchange, byte[] body) {
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

  private static void send(HttpServerExchange exchange, HttpAnswer answer) {
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
