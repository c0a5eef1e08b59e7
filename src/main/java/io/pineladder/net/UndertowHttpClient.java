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
 * HTTP client with a pool of idle connections and one request at a time per connection. A call
 * without a free socket in its traffic class waits for one until its timeout. Event thread only.
 */
public final class UndertowHttpClient implements AsyncHttpClient {
  /**
   * The longest response that is read, since a parsed one takes several times its size of the heap.
   * Only the store's changes, which have no limit of their own, may be longer.
   */
  public static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

  private static final int MAX_IDLE_PER_ADDRESS = 3;

  /** Keeps the idle connections to a large fleet from exhausting the sockets of the process. */
  private static final int MAX_IDLE_CONNECTIONS = 200;

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

  private final XnioEventLoop eventLoop;
  private final Function<String, ConnectionLimiter.TrafficClass> trafficClassOf;
  private final CancellableConnector connector;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024);
  private final Map<String, Deque<IdleConnection>> idleByAddress = new HashMap<>();

  /** All idle connections, the longest idle first. */
  private final Set<IdleConnection> idleByAge = new LinkedHashSet<>();

  /** Calls that wait for a socket, by traffic class, in FIFO order. */
  private final Map<ConnectionLimiter.TrafficClass, Deque<Call>> waitingCalls =
      new EnumMap<>(ConnectionLimiter.TrafficClass.class);

  /**
   * An open connection. Closing {@code channel} closes it immediately; closing {@code connection}
   * may wait for the peer.
   */
  private record OpenConnection(
      ClientConnection connection, ConnectionLimiter.Socket socket, StreamConnection channel) {}

  private record IdleConnection(String address, OpenConnection open, Instant since) {}

  /**
   * Creates a client.
   *
   * @param trafficClassOf maps an address to the traffic class of connections to it
   */
  public UndertowHttpClient(
      XnioEventLoop eventLoop, Function<String, ConnectionLimiter.TrafficClass> trafficClassOf) {
    this.eventLoop = eventLoop;
    this.trafficClassOf = trafficClassOf;
    this.connector = new CancellableConnector(eventLoop.thread());
    for (ConnectionLimiter.TrafficClass trafficClass : ConnectionLimiter.TrafficClass.values()) {
      waitingCalls.put(trafficClass, new ArrayDeque<>());
    }
  }

  @Override
  public void call(Request request, Consumer<Reply> onReply) {
    new Call(request, onReply).start();
  }

  private OpenConnection takeIdleConnection(String address) {
    Deque<IdleConnection> available = idleByAddress.get(address);
    while (available != null && !available.isEmpty()) {
      IdleConnection idleConnection = available.pollLast();
      idleByAge.remove(idleConnection);
      if (idleConnection.open.connection.isOpen()
          && idleConnection.since.plus(IDLE_TIMEOUT).isAfter(eventLoop.now())) {
        idleConnection.open.socket.markBusy();
        return idleConnection.open;
      }
      IoUtils.safeClose(idleConnection.open.connection);
    }
    if (available != null) {
      idleByAddress.remove(address);
    }
    return null;
  }

  private void release(String address, OpenConnection released) {
    Deque<IdleConnection> available =
        idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>(2));
    boolean noCallWaiting = waitingCalls.get(released.socket.trafficClass()).isEmpty();
    if (!released.connection.isOpen()
        || available.size() >= MAX_IDLE_PER_ADDRESS
        || !noCallWaiting) {
      IoUtils.safeClose(released.connection);
      return;
    }
    released.socket.markIdle();
    IdleConnection idleConnection = new IdleConnection(address, released, eventLoop.now());
    available.addLast(idleConnection);
    idleByAge.add(idleConnection);
    if (idleByAge.size() > MAX_IDLE_CONNECTIONS) {
      evict(idleByAge.iterator().next());
    }
  }

  private void evict(IdleConnection idleConnection) {
    idleByAge.remove(idleConnection);
    Deque<IdleConnection> available = idleByAddress.get(idleConnection.address);
    if (available.remove(idleConnection) && available.isEmpty()) {
      idleByAddress.remove(idleConnection.address);
    }
    IoUtils.safeClose(idleConnection.open.connection);
  }

  /** Passes the capacity of a closed socket to the longest waiting call of its class. */
  private void onSocketClosed(ConnectionLimiter.Socket socket) {
    socket.markClosed();
    Deque<Call> queue = waitingCalls.get(socket.trafficClass());
    if (!queue.isEmpty()) {
      eventLoop.execute(() -> connectWaiting(queue));
    }
  }

  private void connectWaiting(Deque<Call> queue) {
    Call call = queue.peekFirst();
    while (call != null && (call.state == Call.State.DONE || call.tryConnect())) {
      queue.pollFirst();
      call = queue.peekFirst();
    }
  }

  /** A request in progress. */
  private final class Call {
    /** The states of a call; {@code DONE} is final and is entered exactly once. */
    private enum State {
      /** Waiting for a free socket. */
      WAITING,
      CONNECTING,
      SENT,
      DONE
    }

    private final String address;

    /** Null once the call is done: its connection may stay open and refers to this call. */
    private Request request;

    /** Null once the call is done. */
    private Consumer<Reply> onReply;

    private State state = State.WAITING;
    private OpenConnection openConnection;
    private ConnectionLimiter.Socket socket;
    private IoFuture<StreamConnection> connecting;
    private XnioExecutor.Key timer;

    Call(Request request, Consumer<Reply> onReply) {
      this.address = request.address();
      this.request = request;
      this.onReply = onReply;
    }

    void start() {
      timer =
          eventLoop
              .thread()
              .executeAfter(
                  () -> XnioEventLoop.runOrHalt(this::onTimeout),
                  Math.max(1, request.timeout().toMillis()),
                  TimeUnit.MILLISECONDS);
      OpenConnection idleConnection = takeIdleConnection(address);
      if (idleConnection != null) {
        state = State.CONNECTING;
        eventLoop.execute(() -> send(idleConnection));
        return;
      }
      Deque<Call> queue = waitingCalls.get(trafficClassOf.apply(address));
      if (!queue.isEmpty() || !tryConnect()) {
        queue.addLast(this);
      }
    }

    /** Opens a connection; returns false if the traffic class has no free socket. */
    boolean tryConnect() {
      socket = eventLoop.connectionLimiter().tryOpen(trafficClassOf.apply(address), this::close);
      if (socket == null) {
        return false;
      }
      state = State.CONNECTING;
      connecting =
          connector.connect(
              URI.create("http://" + address),
              buffers,
              new ClientCallback<>() {
                @Override
                public void completed(ClientConnection connection) {
                  OpenConnection opened =
                      new OpenConnection(
                          connection, socket, CancellableConnector.completedConnection(connecting));
                  connection.addCloseListener(closed -> onSocketClosed(opened.socket));
                  XnioEventLoop.runOrHalt(() -> send(opened));
                }

                @Override
                public void failed(IOException e) {
                  onSocketClosed(socket);
                  XnioEventLoop.runOrHalt(() -> finish(Reply.NOT_SENT));
                }
              });
      return true;
    }

    /** Closes the socket on behalf of the connection limiter. */
    private void close() {
      IoUtils.safeClose(openConnection == null ? null : openConnection.connection);
    }

    private void onTimeout() {
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
      if (openConnection != null && reply.outcome() != Outcome.ANSWERED) {
        // Closing the client connection would wait up to 10 s for data from an unresponsive peer.
        IoUtils.safeClose(openConnection.channel);
      } else if (openConnection == null
          && connecting != null
          && reply.outcome() != Outcome.ANSWERED) {
        connecting.cancel();
        onSocketClosed(socket);
      }
      Consumer<Reply> receiver = onReply;
      onReply = null;
      request = null;
      XnioEventLoop.runOrHalt(() -> receiver.accept(reply));
    }

    private void send(OpenConnection target) {
      if (state == State.DONE) {
        // The call ended while the connection was being opened, so nothing was sent.
        IoUtils.safeClose(target.connection);
        return;
      }
      openConnection = target;
      state = State.SENT;
      ClientRequest clientRequest =
          new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
      clientRequest.getRequestHeaders().put(Headers.HOST, address);
      byte[] body = request.body();
      if (body != null) {
        clientRequest.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      }
      HttpExchange.send(
          openConnection.connection,
          clientRequest,
          body,
          MAX_RESPONSE_BYTES,
          new HttpExchange.Listener() {
            @Override
            public void onResponse(ClientResponse response, byte[] answer) {
              if (state != State.DONE) {
                // Undertow finishes its own part of the exchange before the connection is reused.
                eventLoop.execute(() -> release(address, openConnection));
              }
              finish(Reply.answered(response.getResponseCode(), answer));
            }

            @Override
            public void onTooLarge(String reason) {
              finish(Reply.TOO_LARGE);
            }

            @Override
            public void onFailure(String reason) {
              finish(Reply.UNKNOWN);
            }
          });
    }
  }
}
