package io.pineladder.upgrade;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Notification;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.PeerWire;
import io.pineladder.wire.RecordWire;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Compatibility with the formats of cluster version 1 during a rolling upgrade. This software must
 * read records and messages as written by version 1 ({@code upgrade/version-1.json}, recorded from
 * production), and must write the same formats until the cluster version is raised.
 */
class FormatCompatibilityTest {
  private static final Instant TIMESTAMP = Instant.ofEpochMilli(1_764_655_200_123L);

  private static final MachineType TYPE =
      new MachineType(
          "g8",
          Resources.of(96, 8, 768),
          200,
          1,
          12,
          4.5,
          Duration.ofSeconds(45),
          List.of("a", "b"));

  private static final JobSpec GANG =
      new JobSpec(
          "req-000412",
          "train",
          "vision",
          JobKind.GANG,
          PriorityClass.HIGH,
          16,
          Resources.of(8, 1, 64),
          List.of("g8"),
          null,
          true,
          false,
          true,
          "img-07",
          6.2,
          Duration.ofSeconds(240),
          Duration.ofSeconds(30),
          Duration.ofSeconds(4),
          Duration.ofSeconds(900));

  private static final JobSpec SERVICE =
      new JobSpec(
          "req-000413",
          "serve",
          "vision",
          JobKind.SERVICE,
          PriorityClass.PRODUCTION,
          3,
          Resources.of(4, 1, 29),
          null,
          "a",
          false,
          false,
          false,
          "img-08",
          3.5,
          Duration.ZERO,
          Duration.ZERO,
          Duration.ZERO,
          null);

  private final ObjectNode recorded = loadRecordedFormats();

  private static ObjectNode loadRecordedFormats() {
    try (InputStream in =
        FormatCompatibilityTest.class.getResourceAsStream("/upgrade/version-1.json")) {
      return Json.parseObject(in.readAllBytes());
    } catch (IOException | MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private JsonNode storedRecord(String key) {
    return recorded.get("records").get(key);
  }

  private byte[] recordedMessage(String name) {
    return HexFormat.of().parseHex(recorded.at("/messages/" + name).asText());
  }

  private static BitSet completedTasks() {
    BitSet done = new BitSet();
    done.set(0, 3);
    done.set(5);
    done.set(380, 390);
    return done;
  }

  private static Attempt attempt() {
    Machine machine = new Machine("m-000231", TYPE, "a", true, Instant.EPOCH);
    machine.address = "10.1.0.232:9000";
    Job job = new Job(GANG, TIMESTAMP, Job.State.ACTIVE);
    return new Attempt(
        job, 4, (412L << 20) + 3, machine, Instant.EPOCH, Attempt.State.PLACEMENT_STORED);
  }

  @Test
  void writesRecordsInVersionOneFormat() {
    Map<String, JsonNode> written = new LinkedHashMap<>();
    written.put("job/req-000412", RecordWire.job(GANG, TIMESTAMP, Job.State.ACTIVE));
    Notification notification =
        new Notification(17, "req-000399", "vision", "train", Job.State.DONE, 4, TIMESTAMP);
    written.put(
        "accepted/0",
        RecordWire.page(
            Stream.of(
                RecordWire.job(GANG, TIMESTAMP, Job.State.ACTIVE),
                RecordWire.job(SERVICE, TIMESTAMP, Job.State.CANCELLED).put("at_fault", true)),
            List.of(notification)));
    written.put(
        "done/0",
        RecordWire.page(
            Stream.of(
                RecordWire.completions("req-000412", completedTasks(), 0, 374),
                RecordWire.completions("req-000412", completedTasks(), 1, 374))));
    written.put(
        "placed/0", RecordWire.page(Stream.of(RecordWire.placement(attempt(), "10.1.0.232:9000"))));
    written.put(
        "images/0",
        RecordWire.page(Stream.of(RecordWire.images("m-000231", Map.of("img-07", 6.2)))));
    written.put("end/req-000399", RecordWire.finalState(Job.State.DONE));
    written.put(
        "lead/holder",
        RecordWire.leader(new RecordWire.LeaderRecord("rung-1", "10.0.0.2:8081", "nonce-1")));
    written.put(
        "generation/current",
        RecordWire.generation(
            new Generation(
                900,
                0,
                Generation.Phase.COMPLETE,
                true,
                new Generation.Writer("rung-0", "nonce-0"))));
    written.put("conf/types", RecordWire.machineTypes(List.of(TYPE)));
    written.put("conf/operator", RecordWire.operatorSettings(OperatorSettings.DEFAULTS));
    written.put(
        "ends/0", RecordWire.finalStates(Job.State.CANCELLED, List.of("req-000001", "req-000002")));
    written.forEach(
        (key, value) -> assertEquals(storedRecord(key).toString(), value.toString(), key));
    assertEquals(recorded.get("records").size(), written.size());
  }

  @Test
  void readsVersionOneRecords() throws MalformedMessageException {
    List<JsonNode> jobs = RecordWire.entries(storedRecord("accepted/0"));
    RecordWire.StoredJob gang = RecordWire.parseJob(jobs.get(0));
    assertEquals(GANG, gang.spec());
    assertTrue(gang.spec().prerequisites().isEmpty());
    assertNull(RecordWire.copySource(jobs.get(0)));
    assertEquals(SERVICE, RecordWire.parseJob(jobs.get(1)).spec());
    assertTrue(RecordWire.parseJob(jobs.get(1)).atFault());
    assertEquals(17, RecordWire.parseNotifications(storedRecord("accepted/0")).get(0).number());
    RecordWire.StoredCompletions chunk =
        RecordWire.parseCompletions(RecordWire.entries(storedRecord("done/0")).get(1));
    assertEquals(1, chunk.chunk());
    assertEquals(0, chunk.chunkTasks());
    assertEquals(10, chunk.completed().cardinality());
    RecordWire.Placement placement =
        RecordWire.parsePlacement(RecordWire.entries(storedRecord("placed/0")).get(0));
    assertEquals("m-000231", placement.machine());
    assertEquals((412L << 20) + 3, placement.attempt());
    assertEquals(Job.State.DONE, RecordWire.parseFinalState(storedRecord("end/req-000399")));
    assertEquals("rung-1", RecordWire.parseLeader(storedRecord("lead/holder")).controllerName());
    assertEquals(900, RecordWire.parseGeneration(storedRecord("generation/current"), 3).base());
    assertEquals(List.of(TYPE), RecordWire.parseMachineTypes(storedRecord("conf/types")));
    assertEquals(2, RecordWire.parseFinalStates(storedRecord("ends/0")).size());
  }

  /**
   * Readers of version 1 ignore trailing bytes, so new fields must come after the existing ones.
   */
  @Test
  void extendsVersionOneMessagesOnlyAtTheEnd() throws MalformedMessageException {
    Map<String, GossipWire.PeerContact> contacts = new LinkedHashMap<>();
    contacts.put("rung-1", new GossipWire.PeerContact(Duration.ofMillis(812), "nonce-1", 44));
    contacts.put("rung-2", new GossipWire.PeerContact(Duration.ofMillis(90), "nonce-2", 7));
    GossipWire.RecordStatus stored = new GossipWire.RecordStatus(0, 950, 0, 949, true, 412, false);
    byte[] versionOne = recordedMessage("beat");
    byte[] versionTwo =
        GossipWire.write(
            new GossipWire.Heartbeat("rung-0", "nonce-0", 91, true, 412, contacts, stored, 2));
    assertArrayEquals(versionOne, Arrays.copyOf(versionTwo, versionOne.length));
    assertEquals(ClusterVersion.UNVERSIONED, GossipWire.parse(versionOne).supportedVersion());
    assertEquals(2, GossipWire.parse(versionTwo).supportedVersion());
    assertEquals(stored, GossipWire.parse(versionOne).recordStatus());
    PeerWire.ForwardedRequest forward =
        new PeerWire.ForwardedRequest(
            "POST", "/v1/jobs", "{\"ref\":\"req-7\"}".getBytes(StandardCharsets.UTF_8), 1);
    assertArrayEquals(recordedMessage("forward"), PeerWire.write(forward));
    PeerWire.ForwardedResponse answer =
        new PeerWire.ForwardedResponse(
            true, new HttpResponse(201, "{}".getBytes(StandardCharsets.UTF_8), 0), "rung-1");
    assertArrayEquals(recordedMessage("answer"), PeerWire.write(answer));
    assertEquals("/v1/jobs", PeerWire.parseRequest(recordedMessage("forward")).path());
    assertEquals("rung-1", PeerWire.parseResponse(recordedMessage("answer")).leader());
  }

  @Test
  void roundTripsVersionTwoFields() throws MalformedMessageException {
    RecordWire.StoredCompletions chunk =
        RecordWire.parseCompletions(
            RecordWire.completionsWithChunkSize("req-000412", completedTasks(), 7, 54));
    assertEquals(54, chunk.chunkTasks());
    assertEquals(7, chunk.chunk());
    assertThrows(
        MalformedMessageException.class,
        () ->
            RecordWire.parseCompletions(
                RecordWire.completionsWithChunkSize("req-000412", completedTasks(), 0, 0)));
    JsonNode job = RecordWire.job(GANG, TIMESTAMP, Job.State.ACTIVE);
    JsonNode copy = RecordWire.copiedRecord(job, "accepted/3");
    assertEquals("accepted/3", RecordWire.copySource(copy));
    assertEquals(job, RecordWire.withoutCopySource(copy));
    assertEquals(2, RecordWire.parseVersion(RecordWire.version(2)));
  }
}
