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

/** One request and its response on one connection. Event thread only. */
final class HttpExchange {
  /** Gets the end of the exchange; exactly one method is called, once. */
  interface Listener {
    /** The whole response has arrived. */
    void onResponse(ClientResponse response, byte[] body);

    /** The exchange failed; whether the request was executed is not known. */
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
   * @param body may be null
   * @param maxResponseBytes a response with a longer body is a failure
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
      // The client throws when the peer has just closed the connection. Whether any of the request
      // was sent is not known; ending the process for it would cost far more than a retry.
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
              public void completed(ClientExchange answered) {
                XnioEventLoop.runOrHalt(() -> readResponse(answered));
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

  /** Reads the available bytes; true once the exchange has ended. */
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
          fail("the answer is longer than " + maxResponseBytes + " bytes");
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
