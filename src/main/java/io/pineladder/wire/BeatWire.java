package io.pineladder.wire;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** What controllers tell one another about themselves and the others, in MessagePack. */
public final class BeatWire {
  /** The path, on the cluster listener, that takes beats. */
  public static final String PATH = "/peer/v1/beat";

  private static final int VERSION = 1;
  private static final int MOST_PEERS = 64;

  private BeatWire() {}

  /**
   * One controller's view.
   *
   * @param nonce tells its processes apart
   * @param storeOk whether the state service answers it
   * @param term the term that it leads in with a valid lease; 0 when it does not lead
   * @param heard how long ago it heard each of its peers, by name
   */
  public record Beat(
      String member, String nonce, boolean storeOk, long term, Map<String, Duration> heard) {}

  public static byte[] write(Beat beat) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION);
      out.packString(beat.member());
      out.packString(beat.nonce());
      out.packBoolean(beat.storeOk());
      out.packLong(beat.term());
      out.packMapHeader(beat.heard().size());
      for (Map.Entry<String, Duration> each : beat.heard().entrySet()) {
        out.packString(each.getKey());
        out.packLong(each.getValue().toMillis());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public static Beat parse(byte[] body) throws MalformedException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      if (in.unpackInt() != VERSION) {
        throw new MalformedException("another version");
      }
      String member = in.unpackString();
      String nonce = in.unpackString();
      boolean storeOk = in.unpackBoolean();
      long term = in.unpackLong();
      int count = in.unpackMapHeader();
      if (count > MOST_PEERS) {
        throw new MalformedException("too many peers");
      }
      Map<String, Duration> heard = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        String peer = in.unpackString();
        long millis = in.unpackLong();
        if (millis < 0) {
          throw new MalformedException("heard in the future");
        }
        heard.put(peer, Duration.ofMillis(millis));
      }
      return new Beat(member, nonce, storeOk, term, heard);
    } catch (IOException | RuntimeException e) {
      throw new MalformedException("not a beat");
    }
  }
}
