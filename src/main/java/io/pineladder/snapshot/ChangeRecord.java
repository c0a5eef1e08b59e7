package io.pineladder.snapshot;

import io.pineladder.wire.MalformedMessageException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * One change of a record after a snapshot. A change file holds a checksum, a length and the content
 * of each change; a truncated or damaged change ends the readable part of the file.
 *
 * @param key the key of the record
 * @param version the revision of the change
 * @param json the new value, or null for a deleted key
 */
public record ChangeRecord(String key, long version, byte[] json) {
  byte[] encode() {
    try (MessageBufferPacker content = MessagePack.newDefaultBufferPacker();
        MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      content.packString(key);
      content.packLong(version);
      if (json == null) {
        content.packNil();
      } else {
        content.packBinaryHeader(json.length);
        content.writePayload(json);
      }
      byte[] bytes = content.toByteArray();
      out.packLong(SnapshotCodec.checksum(bytes));
      out.packBinaryHeader(bytes.length);
      out.writePayload(bytes);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Decodes all changes before the first that is truncated or damaged. */
  static List<ChangeRecord> decode(byte[] file) {
    List<ChangeRecord> changes = new ArrayList<>();
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(file)) {
      while (in.hasNext()) {
        long checksum = in.unpackLong();
        byte[] bytes = in.readPayload(in.unpackBinaryHeader());
        if (SnapshotCodec.checksum(bytes) != checksum) {
          return changes;
        }
        changes.add(decodeRecord(bytes));
      }
    } catch (IOException | RuntimeException | MalformedMessageException e) {
      // The process ended while the rest was being written.
      return changes;
    }
    return changes;
  }

  private static ChangeRecord decodeRecord(byte[] bytes) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      String key = in.unpackString();
      long version = in.unpackLong();
      byte[] json = in.tryUnpackNil() ? null : in.readPayload(in.unpackBinaryHeader());
      return new ChangeRecord(key, version, json);
    } catch (IOException e) {
      throw new MalformedMessageException("malformed change record: " + e.getMessage());
    }
  }
}
