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

/** One request and its answer on one connection, on the event thread. */
final class HttpExchange {
  /** Told of the end, once. */
  interface Listener {
    void answered(ClientResponse response, byte[] body);

    /** Whether the request was executed is not known. */
    void failed(String why);
  }

  private final Listener listener;
  private final int mostAnswer;
  private boolean over;

  private HttpExchange(Listener listener, int mostAnswer) {
    this.listener = listener;
    this.mostAnswer = mostAnswer;
  }

  /**
   * Sends a request.
   *
   * @param body may be null
   * @param mostAnswer an answer of more bytes is a failure
   */
  static void begin(
      ClientConnection connection,
      ClientRequest request,
      byte[] body,
      int mostAnswer,
      Listener listener) {
    HttpExchange exchange = new HttpExchange(listener, mostAnswer);
    try {
      connection.sendRequest(request, exchange.onSent(body));
    } catch (RuntimeException e) {
      // The client throws when its peer has closed the connection just now. Whether any of the
      // request left is not known; ending the process for it would cost far more than a retry.
      exchange.fail("the connection was closed");
    }
  }

  private void fail(String why) {
    if (!over) {
      over = true;
      listener.failed(why);
    }
  }

  private void fail(IOException e) {
    XnioEventLoop.guarded(() -> fail(String.valueOf(e.getMessage())));
  }

  private ClientCallback<ClientExchange> onSent(byte[] body) {
    return new ClientCallback<>() {
      @Override
      public void completed(ClientExchange exchange) {
        exchange.setResponseListener(
            new ClientCallback<>() {
              @Override
              public void completed(ClientExchange answered) {
                XnioEventLoop.guarded(() -> receive(answered));
              }

              @Override
              public void failed(IOException e) {
                fail(e);
              }
            });
        try {
          write(exchange.getRequestChannel(), body);
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
                    fail(e);
                  }
                });
    sink.resumeWrites();
  }

  private static boolean pump(StreamSinkChannel sink, ByteBuffer left) throws IOException {
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
    ClientResponse response = exchange.getResponse();
    if (drain(source, collected, response)) {
      return;
    }
    source
        .getReadSetter()
        .set(
            (ChannelListener<StreamSourceChannel>)
                channel ->
                    XnioEventLoop.guarded(
                        () -> {
                          if (drain(channel, collected, response)) {
                            channel.suspendReads();
                          }
                        }));
    source.resumeReads();
  }

  /** Reads what is there; true once the exchange is over. */
  private boolean drain(
      StreamSourceChannel source, ByteArrayOutputStream into, ClientResponse response) {
    ByteBuffer buffer = ByteBuffer.allocate(8 * 1024);
    try {
      while (!over) {
        int read = source.read(buffer);
        if (read == 0) {
          return false;
        }
        if (read < 0) {
          over = true;
          listener.answered(response, into.toByteArray());
          return true;
        }
        if (into.size() + read > mostAnswer) {
          fail("the answer is longer than " + mostAnswer + " bytes");
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
