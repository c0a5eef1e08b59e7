package io.pineladder.snapshot;

import io.pineladder.model.Job;
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
 * All records as of one revision, as bytes: a head in MessagePack, then sections, each compressed
 * and with a checksum of its content. Immutable, so that it can be encoded beside the event thread.
 *
 * @param cluster whose records these are
 * @param base the generation, as its base
 * @param revision up to which everything is in it
 * @param at when it was made, by the time of day
 * @param records the records by key
 * @param ends final states by job
 */
public record Snapshot(
    String cluster,
    long generationBase,
    long revision,
    Instant createdAt,
    Map<String, Entry> records,
    Map<String, Job.State> finalStates) {
  private static final String MAGIC = "pineladder snapshot";
  private static final int FORMAT_VERSION = 1;

  /** A section holds so many bytes at most, and one entry more. */
  private static final int TARGET_SECTION_BYTES = 256 * 1024;

  /** More than any snapshot of this program; what claims more is damaged or hostile. */
  private static final int MAX_SECTION_BYTES = 4 * 1024 * 1024;

  private static final int MAX_SECTIONS = 4_096;

  /** A value, as JSON, with the revision of its last change. */
  public interface Entry {
    long version();

    byte[] json();
  }

  /** An entry that was read. */
  record DecodedEntry(long version, byte[] json) implements Entry {}

  private interface EntryWriter {
    void write(MessageBufferPacker out) throws IOException;
  }

  /**
   * Asks that it is a snapshot of this cluster.
   *
   * @throws MalformedMessageException when it is of another
   */
  public void requireCluster(String expected) throws MalformedMessageException {
    if (!cluster.equals(expected)) {
      throw new MalformedMessageException("a snapshot of the cluster " + cluster);
    }
  }

  /** The snapshot as bytes; nothing is left out. */
  public byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      List<byte[]> sections = sections();
      out.packString(MAGIC);
      out.packInt(FORMAT_VERSION);
      out.packString(cluster);
      out.packLong(generationBase);
      out.packLong(revision);
      out.packLong(createdAt.toEpochMilli());
      out.packInt(records.size());
      out.packInt(finalStates.size());
      out.packInt(sections.size());
      for (byte[] section : sections) {
        byte[] small = deflate(section);
        out.packInt(section.length);
        out.packLong(checksum(section));
        out.packBinaryHeader(small.length);
        out.writePayload(small);
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private List<byte[]> sections() throws IOException {
    List<EntryWriter> fillers = new ArrayList<>();
    records.forEach(
        (key, entry) ->
            fillers.add(
                out -> {
                  byte[] json = entry.json();
                  out.packString(key);
                  out.packLong(entry.version());
                  out.packBinaryHeader(json.length);
                  out.writePayload(json);
                }));
    finalStates.forEach(
        (job, state) ->
            fillers.add(
                out -> {
                  out.packString(job);
                  out.packInt(state.ordinal());
                }));
    List<byte[]> sections = new ArrayList<>();
    MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
    for (EntryWriter filler : fillers) {
      filler.write(out);
      if (out.getTotalWrittenBytes() >= TARGET_SECTION_BYTES) {
        sections.add(out.toByteArray());
        out.clear();
      }
    }
    if (out.getTotalWrittenBytes() > 0) {
      sections.add(out.toByteArray());
    }
    out.close();
    return sections;
  }

  static long checksum(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return crc.getValue();
  }

  private static byte[] deflate(byte[] bytes) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DeflaterOutputStream small = new DeflaterOutputStream(out)) {
      small.write(bytes);
    }
    return out.toByteArray();
  }

  /**
   * Reads a snapshot.
   *
   * @throws MalformedMessageException when it is none, is damaged or cut short, or is of a newer
   *     version; the message says which
   */
  public static Snapshot decode(byte[] bytes) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      if (!in.unpackString().equals(MAGIC)) {
        throw new MalformedMessageException("not a snapshot");
      }
      int version = in.unpackInt();
      if (version != FORMAT_VERSION) {
        throw new MalformedMessageException(
            "a snapshot of version " + version + ", not " + FORMAT_VERSION);
      }
      String cluster = in.unpackString();
      long base = in.unpackLong();
      long revision = in.unpackLong();
      Instant at = Instant.ofEpochMilli(in.unpackLong());
      int recordCount = in.unpackInt();
      int endCount = in.unpackInt();
      int count = in.unpackInt();
      if (count < 0 || count > MAX_SECTIONS || recordCount < 0 || endCount < 0) {
        throw new MalformedMessageException("a snapshot with " + count + " sections");
      }
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int i = 0; i < count; i++) {
        int length = in.unpackInt();
        long sum = in.unpackLong();
        byte[] small = in.readPayload(in.unpackBinaryHeader());
        all.write(inflate(small, length, sum, i));
      }
      return read(all.toByteArray(), cluster, base, revision, at, recordCount, endCount);
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("a snapshot that is damaged or cut short");
    }
  }

  private static byte[] inflate(byte[] small, int length, long sum, int section)
      throws MalformedMessageException {
    if (length < 0 || length > MAX_SECTION_BYTES) {
      throw new MalformedMessageException("section " + section + " is too long");
    }
    try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(small))) {
      byte[] whole = in.readNBytes(length + 1);
      if (whole.length == length && checksum(whole) == sum) {
        return whole;
      }
    } catch (IOException e) {
      // Said below.
    }
    throw new MalformedMessageException("section " + section + " is damaged");
  }

  private static Snapshot read(
      byte[] content,
      String cluster,
      long base,
      long revision,
      Instant at,
      int recordCount,
      int endCount)
      throws IOException {
    Map<String, Entry> records = new TreeMap<>();
    Map<String, Job.State> ends = new TreeMap<>();
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(content)) {
      for (int i = 0; i < recordCount; i++) {
        String key = in.unpackString();
        long version = in.unpackLong();
        records.put(key, new DecodedEntry(version, in.readPayload(in.unpackBinaryHeader())));
      }
      for (int i = 0; i < endCount; i++) {
        String job = in.unpackString();
        ends.put(job, Job.State.values()[in.unpackInt()]);
      }
    }
    return new Snapshot(cluster, base, revision, at, records, ends);
  }
}
