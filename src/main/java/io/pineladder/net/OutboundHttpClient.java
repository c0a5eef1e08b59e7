package io.pineladder.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import javax.net.ssl.SSLContext;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.ssl.XnioSsl;

/**
 * Posts to receivers outside the cluster. A name is looked up for each connection, the address
 * found is checked, and that very address is connected to, so that a name which changes in between
 * does not lead past the check. Redirects are answers like any other and are not followed.
 */
public final class OutboundHttpClient implements OutboundClient {
  /** A receiver's answer is a few words; the rest is not wanted in memory. */
  private static final int MOST_ANSWER = 4 * 1024;

  private static final Duration IDLE_FOR = Duration.ofSeconds(15);

  private final XnioEventLoop runtime;
  private final Predicate<InetAddress> allowed;
  private final SSLContext context;
  private final CancellableConnector connector;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024);

  /** Looking up a name blocks; a name server that is slow for one must not delay the others. */
  private final ExecutorService lookups =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "lookup");
            thread.setDaemon(true);
            return thread;
          });

  /** A connection for each origin, the longest idle first. */
  private final Map<String, Idle> idle = new LinkedHashMap<>();

  private XnioSsl ssl;

  private record Made(
      ClientConnection connection,
      ConnectionLimiter.Socket socket,
      StreamConnection raw,
      InetAddress address) {}

  private record Idle(Made made, Instant since) {}

  /**
   * A caller on the runtime's thread.
   *
   * @param allowed whether an address may be connected to
   */
  public OutboundHttpClient(XnioEventLoop runtime, Predicate<InetAddress> allowed) {
    this(runtime, allowed, null);
  }

  /** A caller that trusts what {@code context} does; null for what the Java runtime does. */
  OutboundHttpClient(XnioEventLoop runtime, Predicate<InetAddress> allowed, SSLContext context) {
    this.runtime = runtime;
    this.context = context;
    this.allowed = allowed;
    this.connector = new CancellableConnector(runtime.thread());
  }

  @Override
  public void post(Message message, Consumer<Answer> onAnswer) {
    new Call(message, onAnswer).begin();
  }

  private XnioSsl ssl() throws GeneralSecurityException {
    if (ssl == null) {
      ssl =
          new UndertowXnioSsl(
              runtime.xnio(), OptionMap.EMPTY, context == null ? SSLContext.getDefault() : context);
    }
    return ssl;
  }

  /** What connections of one kind have in common. */
  private static String origin(URI url) {
    return url.getScheme() + "://" + url.getRawAuthority();
  }

  private Made takeIdle(String origin) {
    Idle kept = idle.remove(origin);
    if (kept == null) {
      return null;
    }
    // What was allowed when it was made need not be now.
    if (kept.made.connection.isOpen()
        && kept.since.plus(IDLE_FOR).isAfter(runtime.now())
        && allowed.test(kept.made.address)) {
      kept.made.socket.busy();
      return kept.made;
    }
    IoUtils.safeClose(kept.made.raw);
    return null;
  }

  private void giveBack(String origin, Made made) {
    if (!made.connection.isOpen()) {
      return;
    }
    made.socket.idle();
    Idle before = idle.remove(origin);
    idle.put(origin, new Idle(made, runtime.now()));
    if (before != null) {
      IoUtils.safeClose(before.made.raw);
    }
  }

  /** Makes room for a connection that is needed; false when none is idle. */
  private boolean closeLongestIdle() {
    Iterator<Idle> all = idle.values().iterator();
    if (!all.hasNext()) {
      return false;
    }
    Made longest = all.next().made;
    all.remove();
    IoUtils.safeClose(longest.raw);
    longest.socket.closed();
    return true;
  }

  /** One request under way. */
  private final class Call {
    private final Message message;
    private final Consumer<Answer> onAnswer;
    private final String origin;
    private boolean over;
    private Made made;
    private ConnectionLimiter.Socket socket;
    private IoFuture<StreamConnection> connecting;
    private XnioExecutor.Key timer;

    Call(Message message, Consumer<Answer> onAnswer) {
      this.message = message;
      this.onAnswer = onAnswer;
      this.origin = origin(message.url());
    }

    void begin() {
      timer =
          runtime
              .thread()
              .executeAfter(
                  () -> XnioEventLoop.guarded(() -> finish(Answer.failed("no answer in time"))),
                  Math.max(1, message.timeout().toMillis()),
                  TimeUnit.MILLISECONDS);
      Made kept = takeIdle(origin);
      if (kept != null) {
        runtime.execute(() -> send(kept));
        return;
      }
      String host = message.url().getHost();
      lookups.execute(
          () -> {
            InetAddress[] found;
            try {
              found = InetAddress.getAllByName(host);
            } catch (UnknownHostException e) {
              found = new InetAddress[0];
            }
            InetAddress[] addresses = found;
            runtime.execute(() -> connect(host, addresses));
          });
    }

    private void connect(String host, InetAddress[] addresses) {
      if (over) {
        return;
      }
      if (addresses.length == 0) {
        finish(Answer.failed("the name " + host + " is not known"));
        return;
      }
      InetAddress to = null;
      for (InetAddress address : addresses) {
        to = to == null && allowed.test(address) ? address : to;
      }
      if (to == null) {
        finish(
            Answer.notAllowed(
                "no address of "
                    + host
                    + " is in an allowed network: "
                    + addresses[0].getHostAddress()));
        return;
      }
      socket = runtime.sockets().open(ConnectionLimiter.TrafficClass.NOTICES, this::close);
      if (socket == null && closeLongestIdle()) {
        socket = runtime.sockets().open(ConnectionLimiter.TrafficClass.NOTICES, this::close);
      }
      if (socket == null) {
        finish(Answer.failed("no socket is free for notices"));
        return;
      }
      URI url = message.url();
      String literal = to.getHostAddress();
      if (to instanceof Inet6Address) {
        // A scope has no place in a URL; addresses that need one are link-local.
        int scope = literal.indexOf('%');
        literal = "[" + (scope < 0 ? literal : literal.substring(0, scope)) + "]";
      }
      boolean secure = url.getScheme().equals("https");
      int port = url.getPort() > 0 ? url.getPort() : secure ? 443 : 80;
      URI address = URI.create(url.getScheme() + "://" + literal + ":" + port);
      try {
        connecting =
            secure
                ? connector.connect(address, host, ssl(), buffers, onMade(to))
                : connector.connect(address, buffers, onMade(to));
      } catch (GeneralSecurityException e) {
        socket.closed();
        finish(Answer.failed("no TLS: " + e.getMessage()));
      }
    }

    private ClientCallback<ClientConnection> onMade(InetAddress to) {
      return new ClientCallback<>() {
        @Override
        public void completed(ClientConnection connection) {
          Made now = new Made(connection, socket, CancellableConnector.made(connecting), to);
          connection.addCloseListener(closed -> now.socket.closed());
          XnioEventLoop.guarded(() -> send(now));
        }

        @Override
        public void failed(IOException e) {
          socket.closed();
          XnioEventLoop.guarded(() -> finish(Answer.failed(String.valueOf(e.getMessage()))));
        }
      };
    }

    /** Called by the socket's owner when it must go. */
    private void close() {
      IoUtils.safeClose(made == null ? null : made.raw);
    }

    private void finish(Answer answer) {
      if (over) {
        return;
      }
      over = true;
      timer.remove();
      if (answer.outcome() != Outcome.ANSWERED) {
        if (made != null) {
          IoUtils.safeClose(made.raw);
        } else if (connecting != null) {
          connecting.cancel();
          socket.closed();
        }
      }
      XnioEventLoop.guarded(() -> onAnswer.accept(answer));
    }

    private void send(Made on) {
      if (over) {
        IoUtils.safeClose(on.raw);
        return;
      }
      made = on;
      URI url = message.url();
      String path = url.getRawPath().isEmpty() ? "/" : url.getRawPath();
      ClientRequest out =
          new ClientRequest()
              .setMethod(Methods.POST)
              .setPath(url.getRawQuery() == null ? path : path + "?" + url.getRawQuery());
      out.getRequestHeaders().put(Headers.HOST, url.getRawAuthority());
      out.getRequestHeaders().put(Headers.CONTENT_LENGTH, message.body().length);
      message
          .headers()
          .forEach((name, value) -> out.getRequestHeaders().put(new HttpString(name), value));
      HttpExchange.begin(
          made.connection,
          out,
          message.body(),
          MOST_ANSWER,
          new HttpExchange.Listener() {
            @Override
            public void answered(ClientResponse response, byte[] body) {
              if (!over) {
                runtime.execute(() -> giveBack(origin, made));
              }
              finish(
                  Answer.answered(
                      response.getResponseCode(),
                      seconds(response.getResponseHeaders().getFirst(Headers.RETRY_AFTER)),
                      body));
            }

            @Override
            public void failed(String why) {
              finish(Answer.failed(why));
            }
          });
    }
  }

  /** A {@code Retry-After} in seconds; a date, or anything else, is passed over. */
  private static Duration seconds(String header) {
    return header != null && header.matches("[0-9]{1,9}")
        ? Duration.ofSeconds(Long.parseLong(header))
        : null;
  }
}
