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
 * A file of JSON lines, one for each notice, with a checksum. The line is the effect and, since it
 * holds the event's sequence, the position as well: one write, forced to the disk before it counts.
 */
public final class NotificationJournal implements NotificationStore {
  private final Path file;
  private final FileChannel channel;
  private final Map<String, Long> positions = new HashMap<>();
  private boolean broken;

  /**
   * Opens a journal, or begins one.
   *
   * @throws IOException when it is in use, or damaged other than by a torn last line; the message
   *     names the place
   */
  public NotificationJournal(Path file) throws IOException {
    this.file = file;
    this.channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      lock();
      long good = read();
      // A crash in the middle of a write leaves part of a line, of which nobody was told.
      channel.truncate(good);
      channel.position(good);
      // A line may be there that its writer had no time to force. From here on it counts.
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
      // As below: it is in use, by this very process.
    }
    throw new IOException(file + " is in use by another receiver");
  }

  private void forceDirectory() throws IOException {
    Path directory = file.toAbsolutePath().getParent();
    try (FileChannel folder = FileChannel.open(directory, StandardOpenOption.READ)) {
      folder.force(true);
    }
  }

  /** Reads all lines; returns where the last good one ends. */
  private long read() throws IOException {
    long good = 0;
    long lines = 0;
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int next = in.read(); next >= 0; next = in.read()) {
        if (next != '\n') {
          line.write(next);
          continue;
        }
        lines++;
        String place = file + ", line " + lines + ", byte " + good + ": ";
        try {
          take(parse(line.toByteArray()), place);
        } catch (MalformedMessageException e) {
          if (in.read() < 0) {
            return good;
          }
          throw new IOException(place + e.getMessage());
        }
        good += line.size() + 1;
        line.reset();
      }
    }
    return good;
  }

  private void take(Event event, String place) throws IOException {
    long before = positions.getOrDefault(event.source(), 0L);
    if (event.firstSequence() > before + 1 || event.sequence() <= before) {
      throw new IOException(
          place + "sequence " + event.sequence() + " of " + event.source() + " follows " + before);
    }
    positions.put(event.source(), event.sequence());
  }

  private static String checksum(JsonNode event) {
    CRC32C crc = new CRC32C();
    crc.update(Json.bytes(event));
    return HexFormat.of().toHexDigits((int) crc.getValue());
  }

  private static byte[] line(ObjectNode event) {
    ObjectNode line = Json.object().put("crc32c", checksum(event));
    line.set("event", event);
    byte[] json = Json.bytes(line);
    return ByteBuffer.allocate(json.length + 1).put(json).put((byte) '\n').array();
  }

  private static Event parse(byte[] line) throws MalformedMessageException {
    ObjectNode json = Json.parseObject(line);
    JsonNode event = json.path("event");
    if (!json.path("crc32c").asText().equals(checksum(event))) {
      throw new MalformedMessageException("the checksum does not fit");
    }
    return DeliveryWire.parseEvent(Json.bytes(event));
  }

  @Override
  public synchronized long lastSequence(String source) {
    return positions.getOrDefault(source, 0L);
  }

  @Override
  public synchronized void apply(Event event) throws IOException {
    if (broken) {
      throw new IOException(file + " cannot be written");
    }
    // After a write or force that failed nobody knows what the disk holds: it must be read anew.
    broken = true;
    ByteBuffer line = ByteBuffer.wrap(line(event.json()));
    while (line.hasRemaining()) {
      channel.write(line);
    }
    channel.force(false);
    broken = false;
    positions.put(event.source(), event.sequence());
  }

  @Override
  public synchronized void close() throws IOException {
    channel.close();
  }
}
