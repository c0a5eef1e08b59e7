package io.pineladder.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.snapshot.SnapshotManager;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Instant;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against records that are not read back as they were written, whatever users chose. */
class RecordRoundTripTest {
  private static final int ROUNDS = 400;
  private static final int MAX_VALUE_BYTES = 2_000;
  private static final String[] CHARACTERS = {
    "a",
    "\"",
    "\\",
    "/",
    "\u0000",
    "\u001f",
    "\u007f",
    "\u00e9",
    "\u2028",
    "\uffff",
    "\ufeff",
    "\ud83d\ude00",
    "\ud800",
    "\udbff",
    "\udc00",
    "\udfff"
  };
  private static final double[] AMOUNTS = {0, Double.MIN_VALUE, 0.1, 1e-7, 4, 123_456.789, 1e6};

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(73);

  private String text(int maxCharacters) {
    StringBuilder text = new StringBuilder();
    int length = 1 + random.nextInt(maxCharacters);
    while (text.length() < length) {
      text.append(CHARACTERS[random.nextInt(CHARACTERS.length)]);
    }
    return text.substring(0, length);
  }

  private double amount() {
    return AMOUNTS[random.nextInt(AMOUNTS.length)];
  }

  private ObjectNode submission(int number) {
    ObjectNode job =
        Json.object()
            .put("ref", "req-" + number)
            .put("jobclass", text(200))
            .put("owner", text(200))
            .put("shape", "array")
            .put("rank", "low")
            .put("pieces", random.nextBoolean() ? 1 : 100_000)
            .put("vcpus", amount())
            .put("cards", amount())
            .put("memory_gb", amount())
            .put("yard", text(300))
            .put("together", random.nextBoolean())
            .put("spread", random.nextBoolean())
            .put("loaners", random.nextBoolean())
            .put("bundle", text(200))
            .put("image_gb", amount())
            .put("guess_s", amount())
            .put("mark_every_s", amount())
            .put("stow_s", amount())
            .put("due_s", amount());
    ArrayNode types = job.putArray("hulls");
    Stream.generate(() -> text(40)).limit(1 + random.nextInt(5)).forEach(types::add);
    // A field that is not known may have any name.
    job.put(text(10), 1);
    return job;
  }

  private JsonNode jobPage() throws Exception {
    var spec = JobWire.parse(Json.bytes(submission(random.nextInt(1_000_000))));
    Notification notification =
        new Notification(
            Long.MAX_VALUE,
            spec.id(),
            spec.team(),
            spec.jobClass(),
            Job.State.CANCELLED,
            spec.tasks(),
            Instant.ofEpochMilli(random.nextLong(1L << 50)));
    return RecordWire.page(
        Stream.of(RecordWire.job(spec, Instant.ofEpochMilli(1), Job.State.ACTIVE)),
        List.of(notification));
  }

  private JsonNode imagePage() {
    Map<String, Double> images = new LinkedHashMap<>();
    Stream.generate(() -> text(200)).limit(8).forEach(name -> images.put(name, amount()));
    return RecordWire.page(Stream.of(RecordWire.images("m-1", images)));
  }

  private JsonNode completionPage() {
    BitSet completed = new BitSet();
    random.ints(30, 0, 100_000).forEach(completed::set);
    return RecordWire.page(
        Stream.of(RecordWire.completionsWithChunkSize("req-1", completed, 0, 100_000)));
  }

  private JsonNode placementPage() {
    return RecordWire.page(
        Stream.generate(
                () ->
                    (JsonNode)
                        Json.array()
                            .add("m-1")
                            .add(random.nextBoolean() ? null : "10.0.0.1:9")
                            .add(text(40))
                            .add(text(40))
                            .add(true)
                            .add("req-1")
                            .add(99_999)
                            .add(Long.MAX_VALUE))
            .limit(20));
  }

  private Map<String, JsonNode> records() throws Exception {
    Map<String, JsonNode> records = new TreeMap<>();
    records.put("accepted/" + random.nextInt(5), jobPage());
    records.put("done/1", completionPage());
    records.put("images/0", imagePage());
    records.put("placed/999999999999", placementPage());
    records.put("conf/operator", Json.object().put(text(10), text(10)));
    return records;
  }

  /** Writes the records in a transaction and lists what a store answers that keeps its values. */
  private static List<StoreWire.Entry> storeAndList(Map<String, JsonNode> records)
      throws Exception {
    StoreWire.Transaction transaction = new StoreWire.Transaction("g7/");
    records.forEach(transaction::put);
    ObjectNode response = Json.object().put("epoch", 9).put("truncated", false);
    ArrayNode entries = response.putArray("entries");
    for (JsonNode change : Json.parseObject(transaction.bytes()).get("apply")) {
      entries
          .addObject()
          .put("path", change.get("write").asText())
          .put("stamp", 5)
          .set("v", change.get("v"));
    }
    return StoreWire.parsePage(Json.bytes(response), "g7/").entries();
  }

  /** As text, since trees distinguish whole numbers by the size of their type. */
  private static Map<String, String> values(List<StoreWire.Entry> entries) throws Exception {
    Map<String, String> values = new TreeMap<>();
    for (StoreWire.Entry entry : entries) {
      values.put(entry.key(), entry.value().toString());
    }
    return values;
  }

  @Test
  void readsBackEveryRecordAsItWasWritten() throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      Map<String, JsonNode> records = records();
      Map<String, String> written = new TreeMap<>();
      records.forEach((key, value) -> written.put(key, value.toString()));
      List<StoreWire.Entry> listed = storeAndList(records);
      assertEquals(written, values(listed));

      RecordReplica replica = new RecordReplica(0);
      listed.forEach(entry -> replica.put(entry, RecordSource.FOLLOWER_LISTING));
      assertEquals(written, values(replica.generationEntries()), "nothing is left out");
      Snapshot snapshot = Snapshot.decode(replica.snapshot("c", Instant.EPOCH).encode());
      RecordReplica restored =
          RecordReplica.fromSnapshot(new SnapshotManager.LoadedSnapshot(snapshot, List.of()));
      assertEquals(written, values(restored.generationEntries()));
      for (StoreWire.Entry part : restored.generationEntries(MAX_VALUE_BYTES)) {
        assertTrue(RecordKind.isReadable(part), part.key());
      }
    }
  }

  @Test
  void parsesSubmissionWithAnyNamesAsItWasWritten() throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      ObjectNode submission = submission(round);
      var spec = JobWire.parse(Json.bytes(submission));
      assertEquals(submission.get("bundle").textValue(), spec.image());
      JsonNode record = RecordWire.job(spec, Instant.EPOCH, Job.State.ACTIVE);
      assertEquals(spec, RecordWire.parseJob(Json.parseObject(Json.bytes(record))).spec());
    }
  }
}
