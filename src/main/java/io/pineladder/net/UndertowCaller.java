package io.pineladder.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** The HTTP client: a few idle connections kept for each address, one request on each at a time. */
public final class UndertowCaller implements HttpCaller {
  private static final int IDLE_PER_ADDRESS = 3;

  /** With a large fleet a connection kept for each machine would use up the process's sockets. */
  private static final int IDLE_IN_ALL = 200;

  private static final Duration IDLE_FOR = Duration.ofSeconds(20);

  private final XnioRuntime runtime;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024);
  private final Map<String, Deque<Idle>> idle = new HashMap<>();

  /** All idle connections, the longest idle first. */
  private final Set<Idle> byAge = new LinkedHashSet<>();

  private record Idle(String address, ClientConnection connection, Instant since) {}

  public UndertowCaller(XnioRuntime runtime) {
    this.runtime = runtime;
  }

  @Override
  public void call(Request request, Consumer<Reply> onReply) {
    new Call(request, onReply).begin();
  }

  private ClientConnection takeIdle(String address) {
    Deque<Idle> free = idle.get(address);
    while (free != null && !free.isEmpty()) {
      Idle kept = free.pollLast();
      byAge.remove(kept);
      if (kept.connection.isOpen() && kept.since.plus(IDLE_FOR).isAfter(runtime.now())) {
        return kept.connection;
      }
      IoUtils.safeClose(kept.connection);
    }
    if (free != null) {
      idle.remove(address);
    }
    return null;
  }

  private void giveBack(String address, ClientConnection connection) {
    Deque<Idle> free = idle.computeIfAbsent(address, a -> new ArrayDeque<>(2));
    if (!connection.isOpen() || free.size() >= IDLE_PER_ADDRESS) {
      IoUtils.safeClose(connection);
      return;
    }
    Idle kept = new Idle(address, connection, runtime.now());
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
    IoUtils.safeClose(kept.connection);
  }

  /** One request under way. */
  private final class Call {
    /** Where a call stands; {@code DONE} is reached once only. */
    private enum State {
      CONNECTING,
      SENT,
      DONE
    }

    private final Request request;
    private final Consumer<Reply> onReply;
    private State state = State.CONNECTING;
    private ClientConnection connection;
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
                  () -> XnioRuntime.guarded(this::timeOut),
                  Math.max(1, request.timeout().toMillis()),
                  TimeUnit.MILLISECONDS);
      ClientConnection kept = takeIdle(request.address());
      if (kept != null) {
        runtime.execute(() -> send(kept));
        return;
      }
      int colon = request.address().lastIndexOf(':');
      InetSocketAddress address =
          new InetSocketAddress(
              request.address().substring(0, colon),
              Integer.parseInt(request.address().substring(colon + 1)));
      UndertowClient.getInstance()
          .connect(
              new ClientCallback<>() {
                @Override
                public void completed(ClientConnection made) {
                  XnioRuntime.guarded(() -> send(made));
                }

                @Override
                public void failed(IOException e) {
                  XnioRuntime.guarded(() -> finish(Reply.NOT_SENT));
                }
              },
              URI.create("http://" + address.getHostString() + ":" + address.getPort()),
              runtime.thread(),
              buffers,
              OptionMap.EMPTY);
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
      if (connection != null && reply.outcome() != Outcome.ANSWERED) {
        IoUtils.safeClose(connection);
      }
      XnioRuntime.guarded(() -> onReply.accept(reply));
    }

    private void send(ClientConnection made) {
      if (state == State.DONE) {
        // Nothing was written on it: the call was given up while the connection was being made.
        IoUtils.safeClose(made);
        return;
      }
      connection = made;
      state = State.SENT;
      ClientRequest out =
          new ClientRequest()
              .setMethod(new HttpString(request.method()))
              .setPath(request.path());
      out.getRequestHeaders().put(Headers.HOST, request.address());
      byte[] body = request.body();
      if (body != null) {
        out.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        out.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      }
      try {
        made.sendRequest(out, onExchange(body));
      } catch (RuntimeException e) {
        // The client throws when its peer has closed the connection just now. Whether any of the
        // request left is not known; ending the process for it would cost far more than a retry.
        finish(Reply.UNKNOWN);
      }
    }

    private ClientCallback<ClientExchange> onExchange(byte[] body) {
      return new ClientCallback<>() {
        @Override
        public void completed(ClientExchange exchange) {
          exchange.setResponseListener(
              new ClientCallback<>() {
                @Override
                public void completed(ClientExchange answered) {
                  XnioRuntime.guarded(() -> receive(answered));
                }

                @Override
                public void failed(IOException e) {
                  XnioRuntime.guarded(() -> finish(Reply.UNKNOWN));
                }
              });
          try {
            write(exchange.getRequestChannel(), body);
          } catch (IOException e) {
            finish(Reply.UNKNOWN);
          }
        }

        @Override
        public void failed(IOException e) {
          XnioRuntime.guarded(() -> finish(Reply.UNKNOWN));
        }
      };
    }

    private void write(StreamSinkChannel sink, byte[] body) throws IOException {
      ByteBuffer left = ByteBuffer.wrap(body == null ? new byte[0] : body);
      if (pump(sink, left)) {
        return;
      }
      sink.getWriteSetter()
          .set(
              (ChannelListener<StreamSinkChannel>)
                  channel -> {
                    try {
                      if (pump(channel, left)) {
                        channel.suspendWrites();
                      }
                    } catch (IOException e) {
                      channel.suspendWrites();
                      XnioRuntime.guarded(() -> finish(Reply.UNKNOWN));
                    }
                  });
      sink.resumeWrites();
    }

    private boolean pump(StreamSinkChannel sink, ByteBuffer left) throws IOException {
      while (left.hasRemaining()) {
        if (sink.write(left) == 0) {
          return false;
        }
      }
      sink.shutdownWrites();
      return sink.flush();
    }

    private void receive(ClientExchange exchange) {
      StreamSourceChannel source = exchange.getResponseChannel();
      ByteArrayOutputStream collected = new ByteArrayOutputStream(512);
      int status = exchange.getResponse().getResponseCode();
      if (drain(source, collected, status)) {
        return;
      }
      source
          .getReadSetter()
          .set(
              (ChannelListener<StreamSourceChannel>)
                  channel ->
                      XnioRuntime.guarded(
                          () -> {
                            if (drain(channel, collected, status)) {
                              channel.suspendReads();
                            }
                          }));
      source.resumeReads();
    }

    /** Reads what is there; true once the call is over. */
    private boolean drain(StreamSourceChannel source, ByteArrayOutputStream into, int status) {
      ByteBuffer buffer = ByteBuffer.allocate(8 * 1024);
      try {
        while (true) {
          int read = source.read(buffer);
          if (read == 0) {
            return state == State.DONE;
          }
          if (read < 0) {
            if (state != State.DONE) {
              // Let the client finish its own end of the exchange before the connection is reused.
              runtime.execute(() -> giveBack(request.address(), connection));
            }
            finish(Reply.answered(status, into.toByteArray()));
            return true;
          }
          into.write(buffer.array(), 0, read);
          buffer.clear();
        }
      } catch (IOException e) {
        finish(Reply.UNKNOWN);
        return true;
      }
    }
  }
}
