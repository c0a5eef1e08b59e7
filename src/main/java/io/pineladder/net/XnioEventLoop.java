package io.pineladder.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
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
  private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();
  private final InboundScheduler inboundScheduler = new InboundScheduler(this, System::nanoTime);

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

  /** Returns the scheduler of inbound requests. */
  public InboundScheduler inboundScheduler() {
    return inboundScheduler;
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
        () -> {
          inboundScheduler.onTimer();
          runOrHalt(action);
        },
        Math.max(0, delay.toMillis()),
        TimeUnit.MILLISECONDS);
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
    InboundConnections connections =
        new InboundConnections(listener, connectionLimiter, inboundScheduler);
    AcceptingChannel<StreamConnection> server =
        worker.createStreamConnectionServer(
            new InetSocketAddress(
                listener.address.substring(0, colon),
                Integer.parseInt(listener.address.substring(colon + 1))),
            connections::acceptAll,
            OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, 512)
                .getMap());
    server.resumeAccepts();
    servers.add(server);
  }

  /** Closes the listeners and stops the event thread; pending timers are dropped. */
  public void stop() {
    servers.forEach(IoUtils::safeClose);
    worker.shutdownNow();
  }
}
