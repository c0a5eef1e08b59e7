package io.pineladder.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.pineladder.net.ConnectionLimiter.TrafficClass;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Responses of any length, over loopback. */
class UndertowHttpClientTest {
  private static final int MEBIBYTE = 1024 * 1024;

  /** Answers one request with a body of this length. */
  private static void answerOnce(ServerSocket listener, int bodyBytes) {
    try (Socket socket = listener.accept()) {
      int unused = socket.getInputStream().read(new byte[4096]);
      OutputStream out = socket.getOutputStream();
      String head = "HTTP/1.1 200 OK\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      byte[] chunk = new byte[MEBIBYTE];
      for (int sent = 0; sent < bodyBytes; sent += chunk.length) {
        out.write(chunk, 0, Math.min(chunk.length, bodyBytes - sent));
      }
    } catch (IOException e) {
      // The client closes the connection of a response that it does not read.
    }
  }

  private static AsyncHttpClient.Reply callWithResponse(int bodyBytes) throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(10, Duration.ofSeconds(1));
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread server = new Thread(() -> answerOnce(listener, bodyBytes));
      server.start();
      UndertowHttpClient client = new UndertowHttpClient(eventLoop, to -> TrafficClass.SERVICES);
      String address = "127.0.0.1:" + listener.getLocalPort();
      CompletableFuture<AsyncHttpClient.Reply> received = new CompletableFuture<>();
      eventLoop.execute(
          () ->
              client.call(
                  AsyncHttpClient.Request.get(address, "/", Duration.ofSeconds(20)),
                  received::complete));
      AsyncHttpClient.Reply reply = received.get(30, TimeUnit.SECONDS);
      server.join(10_000);
      return reply;
    } finally {
      eventLoop.stop();
    }
  }

  /** Guards against a process that ends for memory while it reads all that it has missed. */
  @Test
  void responseBeyondTheLimitIsNotRead() throws Exception {
    assertFalse(callWithResponse(12 * MEBIBYTE).isAnswered());
  }

  @Test
  void responseWithinTheLimitIsRead() throws Exception {
    assertEquals(7 * MEBIBYTE, callWithResponse(7 * MEBIBYTE).body().length);
  }
}
