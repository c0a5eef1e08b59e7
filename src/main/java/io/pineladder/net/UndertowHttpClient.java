package io.pineladder.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * The HTTP client: a few idle connections kept for each address, one request on each at a time. A
 * call that finds no socket of its part free waits for one, as long as its time lasts.
 */
public final class UndertowHttpClient implements AsyncHttpClient {
  private static final int IDLE_PER_ADDRESS = 3;

  /** With a large fleet a connection kept for each machine would use up the process's sockets. */
  private static final int IDLE_IN_ALL = 200;

  private static final Duration IDLE_FOR = Duration.ofSeconds(20);

  private final XnioEventLoop runtime;
  private final Function<String, ConnectionLimiter.TrafficClass> parts;
  private final CancellableConnector connector;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024);
  private final Map<String, Deque<Idle>> idle = new HashMap<>();

  /** All idle connections, the longest idle first. */
  private final Set<Idle> byAge = new LinkedHashSet<>();

  /** Calls without a socket, by part. */
  private final Map<ConnectionLimiter.TrafficClass, Deque<Call>> waiting =
      new EnumMap<>(ConnectionLimiter.TrafficClass.class);

  /**
   * A connection; {@code raw} is what closes it at once, where the client would wait for its peer.
   */
  private record Made(
      ClientConnection connection, ConnectionLimiter.Socket socket, StreamConnection raw) {}

  private record Idle(String address, Made made, Instant since) {}

  /**
   * A client on the runtime's thread.
   *
   * @param parts tells which part of the sockets a connection to an address belongs to
   */
  public UndertowHttpClient(
      XnioEventLoop runtime, Function<String, ConnectionLimiter.TrafficClass> parts) {
    this.runtime = runtime;
    this.parts = parts;
    this.connector = new CancellableConnector(runtime.thread());
    for (ConnectionLimiter.TrafficClass part : ConnectionLimiter.TrafficClass.values()) {
      waiting.put(part, new ArrayDeque<>());
    }
  }

  @Override
  public void call(Request request, Consumer<Reply> onReply) {
    new Call(request, onReply).begin();
  }

  private Made takeIdle(String address) {
    Deque<Idle> free = idle.get(address);
    while (free != null && !free.isEmpty()) {
      Idle kept = free.pollLast();
      byAge.remove(kept);
      if (kept.made.connection.isOpen() && kept.since.plus(IDLE_FOR).isAfter(runtime.now())) {
        kept.made.socket.busy();
        return kept.made;
      }
      IoUtils.safeClose(kept.made.connection);
    }
    if (free != null) {
      idle.remove(address);
    }
    return null;
  }

  private void giveBack(String address, Made made) {
    Deque<Idle> free = idle.computeIfAbsent(address, a -> new ArrayDeque<>(2));
    boolean wanted = waiting.get(made.socket.part()).isEmpty();
    if (!made.connection.isOpen() || free.size() >= IDLE_PER_ADDRESS || !wanted) {
      IoUtils.safeClose(made.connection);
      return;
    }
    made.socket.idle();
    Idle kept = new Idle(address, made, runtime.now());
    free.addLast(kept);
    byAge.add(kept);
    if (byAge.size() > IDLE_IN_ALL) {
      drop(byAge.iterator().next());
    }
  }

  private void drop(Idle kept) {
    byAge.remove(kept);
    Deque<Idle> free = idle.get(kept.address);
    if (free.remove(kept) && free.isEmpty()) {
      idle.remove(kept.address);
    }
    IoUtils.safeClose(kept.made.connection);
  }

  /** A socket is closed: the call that has waited longest for one of its part gets the room. */
  private void released(ConnectionLimiter.Socket socket) {
    socket.closed();
    Deque<Call> queue = waiting.get(socket.part());
    if (!queue.isEmpty()) {
      runtime.execute(() -> next(queue));
    }
  }

  private void next(Deque<Call> queue) {
    Call call = queue.peekFirst();
    while (call != null && (call.state == Call.State.DONE || call.connect())) {
      queue.pollFirst();
      call = queue.peekFirst();
    }
  }

  /** One request under way. */
  private final class Call {
    /** Where a call stands; {@code DONE} is reached once only. */
    private enum State {
      /** No socket is free. */
      WAITING,
      CONNECTING,
      SENT,
      DONE
    }

    private final Request request;
    private final Consumer<Reply> onReply;
    private State state = State.WAITING;
    private Made made;
    private ConnectionLimiter.Socket socket;
    private IoFuture<StreamConnection> connecting;
    private XnioExecutor.Key timer;

    Call(Request request, Consumer<Reply> onReply) {
      this.request = request;
      this.onReply = onReply;
    }

    void begin() {
      timer =
          runtime
              .thread()
              .executeAfter(
                  () -> XnioEventLoop.guarded(this::timeOut),
                  Math.max(1, request.timeout().toMillis()),
                  TimeUnit.MILLISECONDS);
      Made kept = takeIdle(request.address());
      if (kept != null) {
        state = State.CONNECTING;
        runtime.execute(() -> send(kept));
        return;
      }
      Deque<Call> queue = waiting.get(parts.apply(request.address()));
      if (!queue.isEmpty() || !connect()) {
        queue.addLast(this);
      }
    }

    /** Begins to connect; false when there is no socket for it. */
    boolean connect() {
      socket = runtime.sockets().open(parts.apply(request.address()), this::close);
      if (socket == null) {
        return false;
      }
      state = State.CONNECTING;
      connecting =
          connector.connect(
              URI.create("http://" + request.address()),
              buffers,
              new ClientCallback<>() {
                @Override
                public void completed(ClientConnection connection) {
                  Made now = new Made(connection, socket, CancellableConnector.made(connecting));
                  connection.addCloseListener(closed -> released(now.socket));
                  XnioEventLoop.guarded(() -> send(now));
                }

                @Override
                public void failed(IOException e) {
                  released(socket);
                  XnioEventLoop.guarded(() -> finish(Reply.NOT_SENT));
                }
              });
      return true;
    }

    /** Called by the socket's owner when it must go. */
    private void close() {
      IoUtils.safeClose(made == null ? null : made.connection);
    }

    private void timeOut() {
      timer = null;
      finish(state == State.SENT ? Reply.UNKNOWN : Reply.NOT_SENT);
    }

    private void finish(Reply reply) {
      if (state == State.DONE) {
        return;
      }
      state = State.DONE;
      if (timer != null) {
        timer.remove();
      }
      if (made != null && reply.outcome() != Outcome.ANSWERED) {
        // The client's own close goes on reading for 10 s, and a peer that hangs says nothing.
        IoUtils.safeClose(made.raw);
      } else if (made == null && connecting != null && reply.outcome() != Outcome.ANSWERED) {
        connecting.cancel();
        released(socket);
      }
      XnioEventLoop.guarded(() -> onReply.accept(reply));
    }

    private void send(Made on) {
      if (state == State.DONE) {
        // Nothing was written on it: the call was given up while the connection was being made.
        IoUtils.safeClose(on.connection);
        return;
      }
      made = on;
      state = State.SENT;
      ClientRequest out =
          new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
      out.getRequestHeaders().put(Headers.HOST, request.address());
      byte[] body = request.body();
      if (body != null) {
        out.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        out.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      }
      HttpExchange.begin(
          made.connection,
          out,
          body,
          Integer.MAX_VALUE,
          new HttpExchange.Listener() {
            @Override
            public void answered(ClientResponse response, byte[] answer) {
              if (state != State.DONE) {
                // Let the client finish its own end of the exchange before the connection is
                // reused.
                runtime.execute(() -> giveBack(request.address(), made));
              }
              finish(Reply.answered(response.getResponseCode(), answer));
            }

            @Override
            public void failed(String why) {
              finish(Reply.UNKNOWN);
            }
          });
    }
  }
}
