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
 * Sends POST requests to receivers outside the cluster. For each connection the host name is
 * resolved, the address is checked, and the connection is opened to that same address, so that DNS
 * rebinding cannot bypass the check. Redirects are not followed. Event thread only, except for name
 * resolution.
 */
public final class OutboundHttpClient implements OutboundClient {
  /** Bounds the memory for a response; a longer response is a failure. */
  private static final int MAX_RESPONSE_BYTES = 4 * 1024;

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(15);

  private final XnioEventLoop eventLoop;
  private final Predicate<InetAddress> addressAllowed;
  private final SSLContext sslContext;
  private final CancellableConnector connector;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024);

  /**
   * Name resolution blocks; each lookup has its own thread, so a slow one does not delay others.
   */
  private final ExecutorService lookupExecutor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "lookup");
            thread.setDaemon(true);
            return thread;
          });

  /** At most one idle connection per origin, the longest idle first. */
  private final Map<String, IdleConnection> idleByOrigin = new LinkedHashMap<>();

  private XnioSsl ssl;

  private record OpenConnection(
      ClientConnection connection,
      ConnectionLimiter.Socket socket,
      StreamConnection channel,
      InetAddress address) {}

  private record IdleConnection(OpenConnection open, Instant since) {}

  /**
   * Creates a client that trusts the certificate authorities of the Java runtime.
   *
   * @param addressAllowed tests whether a connection to an address is allowed
   */
  public OutboundHttpClient(XnioEventLoop eventLoop, Predicate<InetAddress> addressAllowed) {
    this(eventLoop, addressAllowed, null);
  }

  /** Creates a client with a TLS context; null selects the default of the Java runtime. */
  OutboundHttpClient(
      XnioEventLoop eventLoop, Predicate<InetAddress> addressAllowed, SSLContext sslContext) {
    this.eventLoop = eventLoop;
    this.sslContext = sslContext;
    this.addressAllowed = addressAllowed;
    this.connector = new CancellableConnector(eventLoop.thread());
  }

  @Override
  public void post(Message message, Consumer<Result> onResult) {
    new Call(message, onResult).start();
  }

  private XnioSsl ssl() throws GeneralSecurityException {
    if (ssl == null) {
      ssl =
          new UndertowXnioSsl(
              eventLoop.xnio(),
              OptionMap.EMPTY,
              sslContext == null ? SSLContext.getDefault() : sslContext);
    }
    return ssl;
  }

  /** Returns the scheme, host and port of a URL, which all requests on a connection share. */
  private static String origin(URI url) {
    return url.getScheme() + "://" + url.getRawAuthority();
  }

  private OpenConnection takeIdleConnection(String origin) {
    IdleConnection idleConnection = idleByOrigin.remove(origin);
    if (idleConnection == null) {
      return null;
    }
    // The allowed networks may have changed since the connection was opened.
    if (idleConnection.open.connection.isOpen()
        && idleConnection.since.plus(IDLE_TIMEOUT).isAfter(eventLoop.now())
        && addressAllowed.test(idleConnection.open.address)) {
      idleConnection.open.socket.markBusy();
      return idleConnection.open;
    }
    IoUtils.safeClose(idleConnection.open.channel);
    return null;
  }

  private void release(String origin, OpenConnection released) {
    if (!released.connection.isOpen()) {
      return;
    }
    released.socket.markIdle();
    IdleConnection replaced = idleByOrigin.remove(origin);
    idleByOrigin.put(origin, new IdleConnection(released, eventLoop.now()));
    if (replaced != null) {
      IoUtils.safeClose(replaced.open.channel);
    }
  }

  /** Closes the longest idle connection to free its socket; returns false if none is idle. */
  private boolean closeLongestIdle() {
    Iterator<IdleConnection> oldestFirst = idleByOrigin.values().iterator();
    if (!oldestFirst.hasNext()) {
      return false;
    }
    OpenConnection longest = oldestFirst.next().open;
    oldestFirst.remove();
    IoUtils.safeClose(longest.channel);
    longest.socket.markClosed();
    return true;
  }

  /**
   * A request in progress. The administration API shows its failure reasons, including those of
   * {@link HttpExchange}, as {@code last_error}.
   */
  private final class Call {
    /** Null once the call is done: its connection may stay open and refers to this call. */
    private Message message;

    /** Null once the call is done. */
    private Consumer<Result> onResult;

    private final String origin;
    private boolean finished;
    private OpenConnection openConnection;
    private ConnectionLimiter.Socket socket;
    private IoFuture<StreamConnection> connecting;
    private XnioExecutor.Key timer;

    Call(Message message, Consumer<Result> onResult) {
      this.message = message;
      this.onResult = onResult;
      this.origin = origin(message.url());
    }

    void start() {
      timer =
          eventLoop
              .thread()
              .executeAfter(
                  () -> XnioEventLoop.runOrHalt(() -> finish(Result.failed("no answer in time"))),
                  Math.max(1, message.timeout().toMillis()),
                  TimeUnit.MILLISECONDS);
      OpenConnection idleConnection = takeIdleConnection(origin);
      if (idleConnection != null) {
        eventLoop.execute(() -> send(idleConnection));
        return;
      }
      String host = message.url().getHost();
      lookupExecutor.execute(
          () -> {
            InetAddress[] found;
            try {
              found = InetAddress.getAllByName(host);
            } catch (UnknownHostException e) {
              found = new InetAddress[0];
            }
            InetAddress[] addresses = found;
            eventLoop.execute(() -> connect(host, addresses));
          });
    }

    private void connect(String host, InetAddress[] addresses) {
      if (finished) {
        return;
      }
      if (addresses.length == 0) {
        finish(Result.failed("the name " + host + " is not known"));
        return;
      }
      InetAddress allowedAddress = null;
      for (InetAddress address : addresses) {
        allowedAddress =
            allowedAddress == null && addressAllowed.test(address) ? address : allowedAddress;
      }
      if (allowedAddress == null) {
        finish(
            Result.notAllowed(
                "no address of "
                    + host
                    + " is in an allowed network: "
                    + addresses[0].getHostAddress()));
        return;
      }
      socket =
          eventLoop
              .connectionLimiter()
              .tryOpen(ConnectionLimiter.TrafficClass.NOTICES, this::close);
      if (socket == null && closeLongestIdle()) {
        socket =
            eventLoop
                .connectionLimiter()
                .tryOpen(ConnectionLimiter.TrafficClass.NOTICES, this::close);
      }
      if (socket == null) {
        finish(Result.failed("no socket is free for notices"));
        return;
      }
      URI url = message.url();
      String literal = allowedAddress.getHostAddress();
      if (allowedAddress instanceof Inet6Address) {
        // A URL cannot contain a scope; only link-local addresses need one.
        int scope = literal.indexOf('%');
        literal = "[" + (scope < 0 ? literal : literal.substring(0, scope)) + "]";
      }
      boolean secure = url.getScheme().equals("https");
      int port = url.getPort() > 0 ? url.getPort() : secure ? 443 : 80;
      URI address = URI.create(url.getScheme() + "://" + literal + ":" + port);
      try {
        connecting =
            secure
                ? connector.connect(
                    address, host, ssl(), buffers, connectionCallback(allowedAddress))
                : connector.connect(address, buffers, connectionCallback(allowedAddress));
      } catch (GeneralSecurityException e) {
        socket.markClosed();
        finish(Result.failed("no TLS: " + e.getMessage()));
      }
    }

    private ClientCallback<ClientConnection> connectionCallback(InetAddress remoteAddress) {
      return new ClientCallback<>() {
        @Override
        public void completed(ClientConnection connection) {
          OpenConnection opened =
              new OpenConnection(
                  connection,
                  socket,
                  CancellableConnector.completedConnection(connecting),
                  remoteAddress);
          connection.addCloseListener(closed -> opened.socket.markClosed());
          XnioEventLoop.runOrHalt(() -> send(opened));
        }

        @Override
        public void failed(IOException e) {
          socket.markClosed();
          XnioEventLoop.runOrHalt(() -> finish(Result.failed(String.valueOf(e.getMessage()))));
        }
      };
    }

    /** Closes the socket on behalf of the connection limiter. */
    private void close() {
      IoUtils.safeClose(openConnection == null ? null : openConnection.channel);
    }

    private void finish(Result result) {
      if (finished) {
        return;
      }
      finished = true;
      timer.remove();
      if (result.outcome() != Outcome.ANSWERED) {
        if (openConnection != null) {
          IoUtils.safeClose(openConnection.channel);
        } else if (connecting != null) {
          connecting.cancel();
          socket.markClosed();
        }
      }
      Consumer<Result> receiver = onResult;
      onResult = null;
      message = null;
      XnioEventLoop.runOrHalt(() -> receiver.accept(result));
    }

    private void send(OpenConnection target) {
      if (finished) {
        IoUtils.safeClose(target.channel);
        return;
      }
      openConnection = target;
      URI url = message.url();
      String path = url.getRawPath().isEmpty() ? "/" : url.getRawPath();
      ClientRequest request =
          new ClientRequest()
              .setMethod(Methods.POST)
              .setPath(url.getRawQuery() == null ? path : path + "?" + url.getRawQuery());
      request.getRequestHeaders().put(Headers.HOST, url.getRawAuthority());
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, message.body().length);
      message
          .headers()
          .forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
      HttpExchange.send(
          openConnection.connection,
          request,
          message.body(),
          MAX_RESPONSE_BYTES,
          new HttpExchange.Listener() {
            @Override
            public void onResponse(ClientResponse response, byte[] body) {
              if (!finished) {
                eventLoop.execute(() -> release(origin, openConnection));
              }
              finish(
                  Result.answered(
                      response.getResponseCode(),
                      parseRetryAfter(response.getResponseHeaders().getFirst(Headers.RETRY_AFTER)),
                      body));
            }

            @Override
            public void onTooLarge(String reason) {
              finish(Result.failed(reason));
            }

            @Override
            public void onFailure(String reason) {
              finish(Result.failed(reason));
            }
          });
    }
  }

  /** Parses a Retry-After header in seconds; returns null for a date or any other value. */
  private static Duration parseRetryAfter(String header) {
    return header != null && header.matches("[0-9]{1,9}")
        ? Duration.ofSeconds(Long.parseLong(header))
        : null;
  }
}
