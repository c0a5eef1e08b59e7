package io.pineladder.delivery.receiver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.DeliveryWire.Event;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Appends each notification to a file as a JSON line with a checksum. The line records both the
 * effect and, through the event's sequence, the receiver's position. A notification counts as
 * stored once its line is forced to disk.
 */
public final class NotificationJournal implements NotificationStore {
  private final Path file;
  private final FileChannel channel;
  private final Map<String, Long> positions = new HashMap<>();
  private boolean writeFailed;

  /**
   * Opens a journal, or creates it.
   *
   * @throws IOException when it is in use, or damaged other than by a torn last line; the message
   *     names the line and byte offset
   */
  public NotificationJournal(Path file) throws IOException {
    this.file = file;
    this.channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      lock();
      long validLength = recover();
      // A crash during a write leaves a partial line, which was never acknowledged.
      channel.truncate(validLength);
      channel.position(validLength);
      // The last line may not have been forced to disk before the crash.
      channel.force(true);
      forceDirectory();
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e;
    }
  }

  private void lock() throws IOException {
    try {
      if (channel.tryLock() != null) {
        return;
      }
    } catch (OverlappingFileLockException e) {
      // In use by this process; reported below.
    }
    throw new IOException(file + " is in use by another receiver");
  }

  private void forceDirectory() throws IOException {
    Path directory = file.toAbsolutePath().getParent();
    try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
      directoryChannel.force(true);
    }
  }

  /** Replays all lines; returns the offset at which the last valid one ends. */
  private long recover() throws IOException {
    long validLength = 0;
    long lines = 0;
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int next = in.read(); next >= 0; next = in.read()) {
        if (next != '\n') {
          line.write(next);
          continue;
        }
        lines++;
        String location = file + ", line " + lines + ", byte " + validLength + ": ";
        try {
          replay(parse(line.toByteArray()), location);
        } catch (MalformedMessageException e) {
          // Only the last line can be torn; any other malformed line is damaged.
          if (in.read() < 0) {
            return validLength;
          }
          throw new IOException(location + e.getMessage());
        }
        validLength += line.size() + 1;
        line.reset();
      }
    }
    return validLength;
  }

  private void replay(Event event, String location) throws IOException {
    long before = positions.getOrDefault(event.source(), 0L);
    if (event.firstSequence() > before + 1 || event.sequence() <= before) {
      throw new IOException(
          location
              + "sequence "
              + event.sequence()
              + " of "
              + event.source()
              + " does not follow "
              + before);
    }
    positions.put(event.source(), event.sequence());
  }

  private static String checksum(JsonNode event) {
    CRC32C crc = new CRC32C();
    crc.update(Json.bytes(event));
    return HexFormat.of().toHexDigits((int) crc.getValue());
  }

  private static byte[] encode(ObjectNode event) {
    ObjectNode line = Json.object().put("crc32c", checksum(event));
    line.set("event", event);
    byte[] json = Json.bytes(line);
    return ByteBuffer.allocate(json.length + 1).put(json).put((byte) '\n').array();
  }

  private static Event parse(byte[] line) throws MalformedMessageException {
    ObjectNode json = Json.parseObject(line);
    JsonNode event = json.path("event");
    String recorded = json.path("crc32c").asText();
    String computed = checksum(event);
    if (!recorded.equals(computed)) {
      throw new MalformedMessageException(
          "checksum mismatch: recorded " + recorded + ", computed " + computed);
    }
    return DeliveryWire.parseEvent(Json.bytes(event));
  }

  @Override
  public synchronized long lastSequence(String source) {
    return positions.getOrDefault(source, 0L);
  }

  @Override
  public synchronized void apply(Event event) throws IOException {
    if (writeFailed) {
      throw new IOException(file + " is not written to after an earlier write failure");
    }
    // After a failed write or force the contents on disk are unknown until the file is reopened.
    writeFailed = true;
    ByteBuffer line = ByteBuffer.wrap(encode(event.json()));
    while (line.hasRemaining()) {
      channel.write(line);
    }
    channel.force(false);
    writeFailed = false;
    positions.put(event.source(), event.sequence());
  }

  @Override
  public synchronized void close() throws IOException {
    channel.close();
  }
}
