package io.pineladder.wire;

import io.pineladder.model.ClusterVersion;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Heartbeats between controllers in MessagePack; they carry gossip about the other peers. */
public final class GossipWire {
  /** The path for heartbeats on the cluster listener. */
  public static final String PATH = "/peer/v1/beat";

  private static final int VERSION = 1;
  private static final int MAX_PEERS = 64;

  private GossipWire() {}

  /**
   * The latest heartbeat that a controller has received from a peer.
   *
   * @param age upper bound of the time since the peer sent it
   * @param nonce identifies the peer's process
   * @param sequence the heartbeat's sequence number, from which the peer derives its own upper
   *     bound of the age
   */
  public record PeerContact(Duration age, String nonce, long sequence) {}

  /**
   * A controller's view of the records in the key-value store.
   *
   * @param generationBase the generation that the controller considers current
   * @param highestRevision the highest known revision of that generation
   * @param replicaBase the generation of the controller's replica of the records
   * @param replicaRevision the revision of the replica
   * @param replicaComplete whether no record is missing from the replica
   * @param highestToken the highest known fencing token
   * @param recordsLost whether the controller has detected a loss of records in the current
   *     generation
   */
  public record RecordStatus(
      long generationBase,
      long highestRevision,
      long replicaBase,
      long replicaRevision,
      boolean replicaComplete,
      long highestToken,
      boolean recordsLost) {
    /** The status of a controller that does not send one. */
    public static final RecordStatus UNKNOWN = new RecordStatus(0, 0, 0, 0, false, 0, false);
  }

  /**
   * A heartbeat of one controller.
   *
   * @param nonce identifies the sending process
   * @param sequence sequence number within the process
   * @param storeHealthy whether the key-value store responds to the sender
   * @param term the term in which the sender leads with a valid lease; 0 if it does not lead
   * @param contacts the latest heartbeat from each of the sender's peers, by name
   * @param recordStatus the sender's view of the records
   * @param supportedVersion the newest cluster version that the sender supports
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

  /** Encodes a heartbeat. */
  public static byte[] write(Heartbeat heartbeat) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(VERSION);
      out.packString(heartbeat.member());
      out.packString(heartbeat.nonce());
      out.packLong(heartbeat.sequence());
      out.packBoolean(heartbeat.storeHealthy());
      out.packLong(heartbeat.term());
      out.packMapHeader(heartbeat.contacts().size());
      for (Map.Entry<String, PeerContact> contact : heartbeat.contacts().entrySet()) {
        out.packString(contact.getKey());
        out.packLong(contact.getValue().age().toMillis());
        out.packString(contact.getValue().nonce());
        out.packLong(contact.getValue().sequence());
      }
      RecordStatus recordStatus = heartbeat.recordStatus();
      out.packLong(recordStatus.generationBase());
      out.packLong(recordStatus.highestRevision());
      out.packLong(recordStatus.replicaBase());
      out.packLong(recordStatus.replicaRevision());
      out.packBoolean(recordStatus.replicaComplete());
      out.packLong(recordStatus.highestToken());
      out.packBoolean(recordStatus.recordsLost());
      // Earlier versions ignore the fields from here on.
      out.packInt(heartbeat.supportedVersion());
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Decodes a heartbeat of this or an earlier version. */
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
        long ageMillis = in.unpackLong();
        if (ageMillis < 0) {
          throw new MalformedMessageException("heard in the future");
        }
        contacts.put(
            peer,
            new PeerContact(Duration.ofMillis(ageMillis), in.unpackString(), in.unpackLong()));
      }
      // Earlier versions send no record status.
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
              : RecordStatus.UNKNOWN;
      int supportedVersion = in.hasNext() ? in.unpackInt() : ClusterVersion.UNVERSIONED;
      return new Heartbeat(
          member, nonce, sequence, storeHealthy, term, contacts, recordStatus, supportedVersion);
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("not a beat");
    }
  }
}
