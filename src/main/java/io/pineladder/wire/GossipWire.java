package io.pineladder.wire;

import io.pineladder.model.ClusterVersion;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** What controllers tell one another about themselves and the others, in MessagePack. */
public final class GossipWire {
  /** The path, on the cluster listener, that takes beats. */
  public static final String PATH = "/peer/v1/beat";

  private static final int VERSION = 1;
  private static final int MAX_PEERS = 64;

  private GossipWire() {}

  /**
   * What a controller has of a peer.
   *
   * @param ago how long ago, at most, the peer made the newest beat that was heard
   * @param nonce the peer's process
   * @param sequence the number of that beat, which shows the peer how old this is at most
   */
  public record PeerContact(Duration age, String nonce, long sequence) {}

  /**
   * What a controller knows of the records in the state service.
   *
   * @param base the generation that counts for it
   * @param seen the highest revision that it knows the service to have had in that generation
   * @param copied up to which revision it has a copy of the records, in the generation {@code
   *     copyBase}
   * @param complete whether nothing is missing from that copy
   * @param token the highest token that it knows anybody to have used
   * @param lost whether it knows that records of that generation were lost
   */
  public record RecordStatus(
      long generationBase,
      long highestRevision,
      long replicaBase,
      long replicaRevision,
      boolean replicaComplete,
      long highestToken,
      boolean recordsLost) {
    public static final RecordStatus NOTHING = new RecordStatus(0, 0, 0, 0, false, 0, false);
  }

  /**
   * One controller's view.
   *
   * @param nonce tells its processes apart
   * @param sequence counts the beats of the process
   * @param storeOk whether the state service answers it
   * @param term the term that it leads in with a valid lease; 0 when it does not lead
   * @param heard what it has of each of its peers, by name
   * @param stored what it knows of the records
   * @param version the newest cluster version that its software supports
   */
  public record Heartbeat(
      String member,
      String nonce,
      long sequence,
      boolean storeHealthy,
      long term,
      Map<String, PeerContact> contacts,
      RecordStatus recordStatus,
      int supportedVersion) {}

  public static byte[] write(Heartbeat heartbeat) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION);
      out.packString(heartbeat.member());
      out.packString(heartbeat.nonce());
      out.packLong(heartbeat.sequence());
      out.packBoolean(heartbeat.storeHealthy());
      out.packLong(heartbeat.term());
      out.packMapHeader(heartbeat.contacts().size());
      for (Map.Entry<String, PeerContact> each : heartbeat.contacts().entrySet()) {
        out.packString(each.getKey());
        out.packLong(each.getValue().age().toMillis());
        out.packString(each.getValue().nonce());
        out.packLong(each.getValue().sequence());
      }
      RecordStatus recordStatus = heartbeat.recordStatus();
      out.packLong(recordStatus.generationBase());
      out.packLong(recordStatus.highestRevision());
      out.packLong(recordStatus.replicaBase());
      out.packLong(recordStatus.replicaRevision());
      out.packBoolean(recordStatus.replicaComplete());
      out.packLong(recordStatus.highestToken());
      out.packBoolean(recordStatus.recordsLost());
      // Readers of before stop here and ignore what follows.
      out.packInt(heartbeat.supportedVersion());
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public static Heartbeat parse(byte[] body) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      if (in.unpackInt() != VERSION) {
        throw new MalformedMessageException("another version");
      }
      String member = in.unpackString();
      String nonce = in.unpackString();
      long sequence = in.unpackLong();
      boolean storeHealthy = in.unpackBoolean();
      long term = in.unpackLong();
      int count = in.unpackMapHeader();
      if (count > MAX_PEERS) {
        throw new MalformedMessageException("too many peers");
      }
      Map<String, PeerContact> contacts = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        String peer = in.unpackString();
        long millis = in.unpackLong();
        if (millis < 0) {
          throw new MalformedMessageException("heard in the future");
        }
        contacts.put(
            peer, new PeerContact(Duration.ofMillis(millis), in.unpackString(), in.unpackLong()));
      }
      // Controllers of before tell nothing of the records.
      RecordStatus recordStatus =
          in.hasNext()
              ? new RecordStatus(
                  in.unpackLong(),
                  in.unpackLong(),
                  in.unpackLong(),
                  in.unpackLong(),
                  in.unpackBoolean(),
                  in.unpackLong(),
                  in.unpackBoolean())
              : RecordStatus.NOTHING;
      int supportedVersion = in.hasNext() ? in.unpackInt() : ClusterVersion.UNVERSIONED;
      return new Heartbeat(
          member, nonce, sequence, storeHealthy, term, contacts, recordStatus, supportedVersion);
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("not a beat");
    }
  }
}
