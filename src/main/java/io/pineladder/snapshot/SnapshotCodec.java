package io.pineladder.snapshot;

import io.pineladder.model.Job;
import io.pineladder.snapshot.Snapshot.Entry;
import io.pineladder.wire.MalformedMessageException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes snapshots for files and for export and import: a header in MessagePack,
 * followed by sections, each compressed and with a checksum of its content.
 */
final class SnapshotCodec {
  private static final String MAGIC = "pineladder snapshot";
  private static final int FORMAT_VERSION = 1;

  /** A section ends after the entry with which it reaches this size. */
  private static final int TARGET_SECTION_BYTES = 256 * 1024;

  /** Rejects damaged or malicious input; sections written by this codec are smaller. */
  private static final int MAX_SECTION_BYTES = 4 * 1024 * 1024;

  private static final int MAX_SECTIONS = 4_096;

  private record Header(
      String cluster,
      long generationBase,
      long revision,
      Instant createdAt,
      int recordCount,
      int finalStateCount,
      int sectionCount) {}

  private record DecodedEntry(long version, byte[] json) implements Entry {}

  private SnapshotCodec() {}

  static long checksum(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return crc.getValue();
  }

  static byte[] encode(Snapshot snapshot) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      List<byte[]> sections = encodeSections(snapshot);
      out.packString(MAGIC);
      out.packInt(FORMAT_VERSION);
      out.packString(snapshot.cluster());
      out.packLong(snapshot.generationBase());
      out.packLong(snapshot.revision());
      out.packLong(snapshot.createdAt().toEpochMilli());
      out.packInt(snapshot.records().size());
      out.packInt(snapshot.finalStates().size());
      out.packInt(sections.size());
      for (byte[] section : sections) {
        byte[] compressed = deflate(section);
        out.packInt(section.length);
        out.packLong(checksum(section));
        out.packBinaryHeader(compressed.length);
        out.writePayload(compressed);
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<byte[]> encodeSections(Snapshot snapshot) throws IOException {
    List<byte[]> sections = new ArrayList<>();
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      for (Map.Entry<String, Entry> record : snapshot.records().entrySet()) {
        byte[] json = record.getValue().json();
        out.packString(record.getKey());
        out.packLong(record.getValue().version());
        out.packBinaryHeader(json.length);
        out.writePayload(json);
        endSection(out, sections, TARGET_SECTION_BYTES);
      }
      for (Map.Entry<String, Job.State> finalState : snapshot.finalStates().entrySet()) {
        out.packString(finalState.getKey());
        out.packInt(finalState.getValue().ordinal());
        endSection(out, sections, TARGET_SECTION_BYTES);
      }
      endSection(out, sections, 1);
    }
    return sections;
  }

  /** Ends the current section if it has at least that many bytes. */
  private static void endSection(MessageBufferPacker out, List<byte[]> sections, int minBytes) {
    if (out.getTotalWrittenBytes() >= minBytes) {
      sections.add(out.toByteArray());
      out.clear();
    }
  }

  private static byte[] deflate(byte[] bytes) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
      deflater.write(bytes);
    }
    return out.toByteArray();
  }

  static Snapshot decode(byte[] bytes) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      Header header = decodeHeader(in);
      ByteArrayOutputStream content = new ByteArrayOutputStream();
      for (int section = 0; section < header.sectionCount; section++) {
        int length = in.unpackInt();
        long checksum = in.unpackLong();
        byte[] compressed = in.readPayload(in.unpackBinaryHeader());
        content.write(inflate(compressed, length, checksum, section));
      }
      return decodeContent(header, content.toByteArray());
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("a snapshot that is damaged or cut short");
    }
  }

  private static Header decodeHeader(MessageUnpacker in)
      throws IOException, MalformedMessageException {
    if (!in.unpackString().equals(MAGIC)) {
      throw new MalformedMessageException("not a snapshot");
    }
    int version = in.unpackInt();
    if (version != FORMAT_VERSION) {
      throw new MalformedMessageException(
          "a snapshot of version " + version + ", not " + FORMAT_VERSION);
    }
    Header header =
        new Header(
            in.unpackString(),
            in.unpackLong(),
            in.unpackLong(),
            Instant.ofEpochMilli(in.unpackLong()),
            in.unpackInt(),
            in.unpackInt(),
            in.unpackInt());
    if (header.sectionCount < 0
        || header.sectionCount > MAX_SECTIONS
        || header.recordCount < 0
        || header.finalStateCount < 0) {
      throw new MalformedMessageException("a snapshot with " + header.sectionCount + " sections");
    }
    return header;
  }

  private static byte[] inflate(byte[] compressed, int length, long checksum, int section)
      throws MalformedMessageException {
    if (length < 0 || length > MAX_SECTION_BYTES) {
      throw new MalformedMessageException("section " + section + " is too long");
    }
    try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      // Reads one byte beyond the stated length, to detect a longer section without inflating it.
      byte[] content = in.readNBytes(length + 1);
      if (content.length == length && checksum(content) == checksum) {
        return content;
      }
    } catch (IOException e) {
      // Reported below like a checksum mismatch.
    }
    throw new MalformedMessageException("section " + section + " is damaged");
  }

  private static Snapshot decodeContent(Header header, byte[] content) throws IOException {
    Map<String, Entry> records = new TreeMap<>();
    Map<String, Job.State> finalStates = new TreeMap<>();
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(content)) {
      for (int i = 0; i < header.recordCount; i++) {
        String key = in.unpackString();
        long version = in.unpackLong();
        records.put(key, new DecodedEntry(version, in.readPayload(in.unpackBinaryHeader())));
      }
      for (int i = 0; i < header.finalStateCount; i++) {
        String job = in.unpackString();
        finalStates.put(job, Job.State.values()[in.unpackInt()]);
      }
    }
    return new Snapshot(
        header.cluster,
        header.generationBase,
        header.revision,
        header.createdAt,
        records,
        finalStates);
  }
}
