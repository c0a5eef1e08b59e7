package io.pineladder.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Generation;
import io.pineladder.model.Job;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.snapshot.SnapshotManager;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire.Entry;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** What several sources make together, against a plain model that knows the rules by heart. */
class RecordReplicaTest {
  private static final List<String> PAGES =
      List.of("accepted/0", "accepted/1", "done/0", "done/1", "placed/0", "placed/1", "conf/types");

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(31);

  /**
   * What is stored under each key in the end: the highest revision wins, final states are united.
   */
  private static final class Model {
    final Map<String, Entry> records = new TreeMap<>();
    final Map<String, Job.State> ends = new TreeMap<>();

    void take(Entry entry) {
      if (entry.key().startsWith(RecordKeys.FINAL_STATE)) {
        ends.putIfAbsent(
            entry.key().substring(RecordKeys.FINAL_STATE.length()), state(entry.value()));
      } else {
        records.merge(entry.key(), entry, (a, b) -> b.revision() > a.revision() ? b : a);
      }
    }
  }

  private static Job.State state(JsonNode value) {
    return value.get("state").asText().equals("done") ? Job.State.DONE : Job.State.CANCELLED;
  }

  /** One history of a store; sources know different parts of it. */
  private List<Entry> history() {
    List<Entry> all = new ArrayList<>();
    for (long revision = 1; revision <= 60; revision++) {
      if (random.nextInt(3) == 0) {
        Job.State state = random.nextBoolean() ? Job.State.DONE : Job.State.CANCELLED;
        all.add(
            new Entry(
                RecordKeys.FINAL_STATE + "req-" + revision,
                RecordWire.finalState(state),
                revision));
      } else {
        JsonNode value = Json.object().put("n", "r" + revision).set("entries", Json.array());
        all.add(new Entry(PAGES.get(random.nextInt(PAGES.size())), value, revision));
      }
    }
    return all;
  }

  private static Map<String, JsonNode> records(RecordReplica replica) {
    Map<String, JsonNode> found = new TreeMap<>();
    for (Entry entry : replica.generationEntries()) {
      if (!entry.key().startsWith(RecordKeys.ARCHIVED_FINAL_STATES)) {
        found.put(entry.key(), entry.value());
      }
    }
    return found;
  }

  private static Map<String, Job.State> ends(RecordReplica replica) throws Exception {
    Map<String, Job.State> found = new TreeMap<>();
    for (Entry entry : replica.generationEntries()) {
      if (entry.key().startsWith(RecordKeys.ARCHIVED_FINAL_STATES)) {
        for (String job : RecordWire.parseFinalStates(entry.value())) {
          assertEquals(null, found.put(job, state(entry.value())), job + " is there twice");
        }
      }
    }
    return found;
  }

  @Test
  void sourcesMakeTogetherWhatThePlainModelMakes() throws Exception {
    for (int round = 0; round < 300; round++) {
      RecordReplica replica = new RecordReplica(0);
      Model model = new Model();
      List<Entry> rest = new ArrayList<>();
      int seen = random.nextInt(60);
      for (Entry entry : history()) {
        if (entry.revision() <= seen) {
          replica.put(entry.key(), entry.value(), entry.revision(), random.nextBoolean());
          model.take(entry);
        }
        // What the store still holds: anything, older or newer.
        if (random.nextInt(2) == 0) {
          rest.add(entry);
          model.take(entry);
        }
      }
      replica.mergeSurviving(rest);
      Map<String, JsonNode> expected = new TreeMap<>();
      model.records.forEach((key, entry) -> expected.put(key, entry.value()));
      assertEquals(expected, records(replica));
      assertEquals(model.ends, ends(replica));

      // A snapshot with the changes since is the same again, in whatever generation.
      Snapshot kept = Snapshot.decode(replica.snapshot("c", Instant.EPOCH).encode());
      RecordReplica back =
          RecordReplica.fromSnapshot(new SnapshotManager.LoadedSnapshot(kept, List.of()));
      assertEquals(replica.generationEntries(), back.generationEntries());
      back.rebaseTo(
          new Generation(
              1L << 30, 5, Generation.Phase.COMPLETE, true, new Generation.Writer("m", "n")));
      assertEquals(expected, records(back));
      assertEquals(model.ends, ends(back));
    }
  }

  @Test
  void aPageThatIsOlderThanItWasSeenIsMissed() {
    RecordReplica replica = new RecordReplica(0);
    JsonNode page = Json.object().set("entries", Json.array());
    replica.put("placed/0", page, 7, false);
    replica.put("placed/1", page, 9, false);
    replica.recordsLoaded();
    List<Entry> whole = List.of(new Entry("placed/0", page, 8), new Entry("placed/1", page, 9));
    assertEquals(null, replica.firstMissingKey(RecordKeys.PLACEMENTS, whole));
    assertEquals("placed/1", replica.firstMissingKey(RecordKeys.PLACEMENTS, whole.subList(0, 1)));
    assertEquals(
        "placed/0",
        replica.firstMissingKey(
            RecordKeys.PLACEMENTS,
            List.of(new Entry("placed/0", page, 6), new Entry("placed/1", page, 9))));
  }
}
