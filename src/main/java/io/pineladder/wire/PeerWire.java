package io.pineladder.wire;

import io.pineladder.net.HttpResponse;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Requests that controllers forward to each other, in MessagePack. */
public final class PeerWire {
  /** The path for forwarded requests on the cluster listener. */
  public static final String PATH = "/peer/v1";

  private static final int VERSION = 1;

  private PeerWire() {}

  /** A forwarded request; it may be forwarded {@code remainingHops} more times. */
  public record ForwardedRequest(String method, String path, byte[] body, int remainingHops) {}

  /**
   * The response to a forwarded request.
   *
   * @param decided false if the request may be retried at another controller
   * @param leader name of the leader known to the responding controller, or null
   */
  public record ForwardedResponse(boolean decided, HttpResponse response, String leader) {}

  /** Encodes a forwarded request. */
  public static byte[] write(ForwardedRequest request) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION);
      out.packString(request.method());
      out.packString(request.path());
      out.packBinaryHeader(request.body().length);
      out.writePayload(request.body());
      out.packInt(request.remainingHops());
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Decodes a forwarded request. */
  public static ForwardedRequest parseRequest(byte[] body) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      if (in.unpackInt() != VERSION) {
        throw new MalformedMessageException("another version");
      }
      String method = in.unpackString();
      String path = in.unpackString();
      byte[] payload = in.readPayload(in.unpackBinaryHeader());
      return new ForwardedRequest(method, path, payload, in.unpackInt());
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("not a forwarded request");
    }
  }

  /** Encodes the response to a forwarded request. */
  public static byte[] write(ForwardedResponse response) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION);
      out.packBoolean(response.decided());
      HttpResponse http = response.response();
      out.packInt(http.status());
      out.packInt(http.retryAfterSeconds());
      out.packBinaryHeader(http.body().length);
      out.writePayload(http.body());
      if (response.leader() == null) {
        out.packNil();
      } else {
        out.packString(response.leader());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Decodes the response to a forwarded request. */
  public static ForwardedResponse parseResponse(byte[] body) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      if (in.unpackInt() != VERSION) {
        throw new MalformedMessageException("another version");
      }
      boolean decided = in.unpackBoolean();
      int status = in.unpackInt();
      int retryAfter = in.unpackInt();
      byte[] payload = in.readPayload(in.unpackBinaryHeader());
      String leader = in.tryUnpackNil() ? null : in.unpackString();
      return new ForwardedResponse(decided, new HttpResponse(status, payload, retryAfter), leader);
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("not a peer's answer");
    }
  }
}
