package io.pineladder.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Sends one request on a connection and reads its response. Event thread only. */
final class HttpExchange {
  /** Receives the result of the exchange: exactly one of the methods is called, once. */
  interface Listener {
    /** Called when the whole response has arrived. */
    void onResponse(ClientResponse response, byte[] body);

    /** Called when the response is longer than the caller accepts. */
    void onTooLarge(String reason);

    /** Called when the exchange failed; the request may or may not have been executed. */
    void onFailure(String reason);
  }

  private final Listener listener;
  private final int maxResponseBytes;
  private boolean finished;

  private HttpExchange(Listener listener, int maxResponseBytes) {
    this.listener = listener;
    this.maxResponseBytes = maxResponseBytes;
  }

  /**
   * Sends a request.
   *
   * @param body the body, or null for none
   * @param maxResponseBytes the exchange fails if the response body is longer
   */
  static void send(
      ClientConnection connection,
      ClientRequest request,
      byte[] body,
      int maxResponseBytes,
      Listener listener) {
    HttpExchange exchange = new HttpExchange(listener, maxResponseBytes);
    try {
      connection.sendRequest(request, exchange.requestCallback(body));
    } catch (RuntimeException e) {
      // The client throws if the peer has just closed the connection. Part of the request may have
      // been sent. This is an expected network failure, so it must not reach runOrHalt.
      exchange.fail("the connection was closed");
    }
  }

  private void fail(String reason) {
    if (!finished) {
      finished = true;
      listener.onFailure(reason);
    }
  }

  private void fail(IOException e) {
    XnioEventLoop.runOrHalt(() -> fail(String.valueOf(e.getMessage())));
  }

  private ClientCallback<ClientExchange> requestCallback(byte[] body) {
    return new ClientCallback<>() {
      @Override
      public void completed(ClientExchange exchange) {
        exchange.setResponseListener(
            new ClientCallback<>() {
              @Override
              public void completed(ClientExchange responding) {
                XnioEventLoop.runOrHalt(() -> readResponse(responding));
              }

              @Override
              public void failed(IOException e) {
                fail(e);
              }
            });
        try {
          writeBody(exchange.getRequestChannel(), body);
        } catch (IOException e) {
          fail(e);
        }
      }

      @Override
      public void failed(IOException e) {
        fail(e);
      }
    };
  }

  private void writeBody(StreamSinkChannel sink, byte[] body) throws IOException {
    ByteBuffer remaining = ByteBuffer.wrap(body == null ? new byte[0] : body);
    if (writeAvailable(sink, remaining)) {
      return;
    }
    sink.getWriteSetter()
        .set(
            (ChannelListener<StreamSinkChannel>)
                channel -> {
                  try {
                    if (writeAvailable(channel, remaining)) {
                      channel.suspendWrites();
                    }
                  } catch (IOException e) {
                    channel.suspendWrites();
                    fail(e);
                  }
                });
    sink.resumeWrites();
  }

  private static boolean writeAvailable(StreamSinkChannel sink, ByteBuffer remaining)
      throws IOException {
    while (remaining.hasRemaining()) {
      if (sink.write(remaining) == 0) {
        return false;
      }
    }
    sink.shutdownWrites();
    return sink.flush();
  }

  private void readResponse(ClientExchange exchange) {
    StreamSourceChannel source = exchange.getResponseChannel();
    ByteArrayOutputStream collected = new ByteArrayOutputStream(512);
    ClientResponse response = exchange.getResponse();
    if (readAvailable(source, collected, response)) {
      return;
    }
    source
        .getReadSetter()
        .set(
            (ChannelListener<StreamSourceChannel>)
                channel ->
                    XnioEventLoop.runOrHalt(
                        () -> {
                          if (readAvailable(channel, collected, response)) {
                            channel.suspendReads();
                          }
                        }));
    source.resumeReads();
  }

  /** Reads the available bytes; returns true once the exchange has ended. */
  private boolean readAvailable(
      StreamSourceChannel source, ByteArrayOutputStream into, ClientResponse response) {
    ByteBuffer buffer = ByteBuffer.allocate(8 * 1024);
    try {
      while (!finished) {
        int read = source.read(buffer);
        if (read == 0) {
          return false;
        }
        if (read < 0) {
          finished = true;
          listener.onResponse(response, into.toByteArray());
          return true;
        }
        if (into.size() + read > maxResponseBytes) {
          finished = true;
          listener.onTooLarge("the answer is longer than " + maxResponseBytes + " bytes");
          return true;
        }
        into.write(buffer.array(), 0, read);
        buffer.clear();
      }
    } catch (IOException e) {
      fail(e);
    }
    return true;
  }
}
